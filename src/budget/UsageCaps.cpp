#include "gentianloom/budget/UsageCaps.h"

#include "gentianloom/base/BoundedJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace gentianloom {

namespace {

/// A cap leaves room for this many of the largest requests, but for no more than the free tokens
/// divided by kCapRequestsDivisor.
constexpr Tokens kCapRequests = 3;
constexpr Tokens kCapRequestsDivisor = 3;
/// Fraction of the free tokens for which a cap leaves room before demand is known.
constexpr double kInitialShare = 0.25;
/// A cap leaves room for demand of at most this share of what is unspent in the whole fleet: the
/// room is lost if the process ends.
constexpr double kMaxUnspentShare = 0.15;

/// Largest difference between the time elapsed by the monotonic clock and by the wall clock within
/// one boot. A larger one means that the monotonic clock restarted, after a power loss.
constexpr Millis kMaxClockDisagreement{ 10'000 };
/// If the wall clock gains or loses more than this against the monotonic clock between two reports,
/// it was set.
constexpr Millis kMaxClockDrift{ 200 };

Millis MillisOf(TimePoint aTime)
{
  return std::chrono::duration_cast<Millis>(aTime.time_since_epoch());
}

double SecondsOf(Millis aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

std::string UsageReportKey(std::string_view aInstance)
{
  return "/gentianloom/usage/" + std::string(aInstance);
}

std::string ToText(const UsageReport& aReport)
{
  auto shards = nlohmann::json::array();
  for (const auto& [shard, it] : aReport.mShards) {
    shards.push_back(ToJson(it));
    shards.back()["shard"] = shard;
  }
  const nlohmann::json out = { { "incarnation", aReport.mIncarnation },
                               { "boot", aReport.mBoot },
                               { "reported_at_ms", aReport.mReportedAt.count() },
                               { "opens_after_ms", aReport.mReserveDelay.count() },
                               { "wall_ms", aReport.mWallTime.count() },
                               { "wall_steady", aReport.mIsWallClockSteady },
                               { "caps", aReport.mCaps },
                               { "shards", std::move(shards) },
                               { "era", aReport.mEra } };
  return out.dump();
}

Result<UsageReport> ParseUsageReport(std::string_view aText)
{
  try {
    BOOST_OUTCOME_TRY(json, ParseBoundedJson(aText));
    UsageReport out;
    out.mIncarnation = json.at("incarnation").get<std::string>();
    out.mBoot = json.at("boot").get<std::string>();
    out.mReportedAt = Millis(json.at("reported_at_ms").get<std::int64_t>());
    out.mReserveDelay = Millis(json.at("opens_after_ms").get<std::int64_t>());
    out.mWallTime = Millis(json.value("wall_ms", std::int64_t{ 0 }));
    out.mIsWallClockSteady = json.value("wall_steady", false);
    out.mEra = json.value("era", std::int64_t{ 0 });
    out.mCaps = json.at("caps").get<std::map<std::string, Tokens>>();
    // Reports of older versions have no shards: their entries are in the shards themselves.
    const auto shards = json.value("shards", nlohmann::json::array());
    for (const auto& it : shards) {
      out.mShards[it.at("shard").get<int>()] = ParseSeparateHoldings(it);
    }
    return out;
  } catch (const nlohmann::json::exception& ex) {
    return MakeError(ErrorCode::MalformedJson, Step::GrantRead, "key-value service", ex.what());
  }
}

bool EndedWithinCaps(const UsageReport& aPredecessor, const PredecessorEvidence& aEvidence)
{
  if (aPredecessor.mEra != aEvidence.mEra) {
    return false;
  }
  const auto isWithinDelay = [&](Millis aTime) {
    return aTime >= Millis(0) && aTime <= aPredecessor.mReserveDelay;
  };
  const auto sinceReport = aEvidence.mStartedAt - aPredecessor.mReportedAt;
  const auto sinceReportByWallClock = aEvidence.mWallTime - aPredecessor.mWallTime;
  const bool clocksAgree = sinceReport - sinceReportByWallClock < kMaxClockDisagreement &&
                           sinceReportByWallClock - sinceReport < kMaxClockDisagreement;
  if (!aEvidence.mBoot.empty() && aPredecessor.mBoot == aEvidence.mBoot && clocksAgree) {
    return isWithinDelay(sinceReport);
  }
  // After a power loss only the wall clock has continued. It may have been set meanwhile, so the
  // lease, whose expiry the key-value service decides, has to confirm the elapsed time.
  return aEvidence.mIsLeaseAlive && aPredecessor.mIsWallClockSteady &&
         isWithinDelay(sinceReportByWallClock);
}

Tokens ClosePredecessor(ShardRecord& aShard, const UsageReport& aPredecessor, bool aIsWithinCaps)
{
  Tokens freed = 0;
  for (auto& [name, budget] : aShard.mBudgets) {
    const auto found = budget.mHolders.find(aPredecessor.mIncarnation);
    if (found == budget.mHolders.end()) {
      continue;
    }
    auto& holder = found->second;
    if (!holder.mReceived.empty() || holder.mGiven != 0) {
      continue; // transfers with peers have to be checked by an operator
    }
    if (aIsWithinCaps) {
      const auto cap = aPredecessor.mCaps.find(name);
      const auto used = cap == aPredecessor.mCaps.end() ? Tokens{ 0 } : cap->second;
      const auto kept = std::min(holder.NetGranted(), std::max(used, holder.mSpent));
      freed += holder.NetGranted() - kept;
      holder.mReturned = holder.mGranted - kept;
    }
    holder.mSpent = holder.NetGranted();
    budget.CloseHolder(aPredecessor.mIncarnation);
  }
  aShard.mWriters.erase(aPredecessor.mIncarnation);
  return freed;
}

UsageCaps::UsageCaps(std::string aIncarnation, std::string aBoot, const UsageCapSettings& aSettings)
  : mIncarnation(std::move(aIncarnation))
  , mBoot(std::move(aBoot))
  , mSettings(aSettings)
{
}

bool UsageCaps::IsReserveOpen(TimePoint aNow) const
{
  const auto remaining = TimeUntilReserveOpens(aNow);
  return remaining && *remaining < Millis(0);
}

std::optional<Millis> UsageCaps::TimeUntilReserveOpens(TimePoint aNow) const
{
  if (!mHasReported) {
    return std::nullopt;
  }
  // The report that a successor will read may be one whose outcome is unknown here.
  auto opensAt = mReport.mReportedAt + mReport.mReserveDelay;
  for (const auto& [reportedAt, it] : mUnresolved) {
    opensAt = std::max(opensAt, it);
  }
  return opensAt - MillisOf(aNow);
}

Tokens UsageCaps::UsableTokens(const std::string& aBudget,
                               const Holding& aHolding,
                               TimePoint aNow) const
{
  if (IsReserveOpen(aNow)) {
    return std::numeric_limits<Tokens>::max();
  }
  const auto it = mReport.mCaps.find(aBudget);
  return it == mReport.mCaps.end() ? 0 : std::max<Tokens>(0, it->second - aHolding.Used());
}

Tokens UsageCaps::CapFor(const Holding& aHolding) const
{
  const auto input = aHolding.MakeGrantInput();
  const auto free = std::max<Tokens>(0, aHolding.Free() + aHolding.mDrawing);
  const double demandRoom = input.mDemand * SecondsOf(ReserveDelay()) * mSettings.mHeadroomFactor;
  const double initialRoom =
    static_cast<double>(free) * kInitialShare * (1 - input.mObservedFraction);
  const auto unspent =
    static_cast<double>(std::max<Tokens>(0, input.mUnallocated) + free + input.mOthersUnspent);
  const double boundedRoom = std::min(demandRoom, unspent * kMaxUnspentShare);
  // The first requests after an outage begins should not have to wait for the reserve to open.
  const auto requestRoom = static_cast<double>(
    std::min(kCapRequests * aHolding.mLargestRequest, free / kCapRequestsDivisor));
  const auto room = static_cast<Tokens>(std::max({ boundedRoom, initialRoom, requestRoom })) +
                    aHolding.mWaitingTokens;
  return aHolding.Used() + std::min(room, free);
}

bool UsageCaps::IsDue(const std::map<std::string, Holding>& aHoldings, TimePoint aNow) const
{
  if (!mHasReported || MillisOf(aNow) - mReport.mReportedAt >= mSettings.mReportInterval) {
    return true;
  }
  return std::any_of(aHoldings.begin(), aHoldings.end(), [&](const auto& it) {
    const auto usable = UsableTokens(it.first, it.second, aNow);
    const auto needed = CapFor(it.second) - it.second.Used();
    return usable < needed / 2;
  });
}

/// Detects whether the wall clock was set since the previous report.
void UsageCaps::CheckWallClock(TimePoint aNow, Millis aWallTime)
{
  const auto offset = aWallTime - MillisOf(aNow);
  if (mWallOffset &&
      (offset - *mWallOffset > kMaxClockDrift || *mWallOffset - offset > kMaxClockDrift)) {
    mIsWallClockSteady = false;
  }
  mWallOffset = offset;
}

UsageReport UsageCaps::Plan(const std::map<std::string, Holding>& aHoldings,
                            TimePoint aNow,
                            Millis aWallTime)
{
  CheckWallClock(aNow, aWallTime);
  UsageReport out;
  out.mWallTime = aWallTime;
  out.mIsWallClockSteady = mIsWallClockSteady;
  out.mIncarnation = mIncarnation;
  out.mBoot = mBoot;
  out.mReportedAt = MillisOf(aNow);
  out.mReserveDelay = ReserveDelay();
  for (const auto& [name, it] : aHoldings) {
    const auto known = mReport.mCaps.find(name);
    const auto before = known == mReport.mCaps.end() ? Tokens{ 0 } : known->second;
    // The tokens used may exceed the cap if the reserve was open.
    out.mCaps[name] = std::max({ before, it.Used(), CapFor(it) });
  }
  mUnresolved[out.mReportedAt] = out.mReportedAt + out.mReserveDelay;
  return out;
}

void UsageCaps::OnCommitted(const UsageReport& aReport)
{
  mHasReported = true;
  mReport = aReport;
  // Each report is written on condition that no other one was stored since the last read, so older
  // reports of unknown outcome can no longer be stored.
  mUnresolved.erase(mUnresolved.begin(), mUnresolved.upper_bound(aReport.mReportedAt));
}

void UsageCaps::OnNotCommitted(const UsageReport& aReport)
{
  mUnresolved.erase(aReport.mReportedAt);
}

} // namespace gentianloom
