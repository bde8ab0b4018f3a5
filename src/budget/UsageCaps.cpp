#include "gentianloom/budget/UsageCaps.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace gentianloom {

namespace {

/// A cap leaves room for so many of the largest requests, if that is no more than one part in
/// kFewShare of what is free.
constexpr Tokens kFewRequests = 3;
constexpr Tokens kFewShare = 3;
/// Part of what is free that is within the cap before demand is known.
constexpr double kFirstShare = 0.25;

/// On the same boot the monotone clock and the wall clock agree but for what the latter was set by;
/// after a loss of power the former starts anywhere.
constexpr Millis kMostSet{ 10'000 };
/// Wall time that gains or loses more than this against the monotone clock was set.
constexpr Millis kMostDrift{ 200 };

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
  const nlohmann::json out = { { "incarnation", aReport.mIncarnation },
                               { "boot", aReport.mBoot },
                               { "reported_at_ms", aReport.mReportedAt.count() },
                               { "opens_after_ms", aReport.mOpensAfter.count() },
                               { "wall_ms", aReport.mWallTime.count() },
                               { "wall_steady", aReport.mIsWallClockSteady },
                               { "caps", aReport.mCaps } };
  return out.dump();
}

Result<UsageReport> ParseUsageReport(std::string_view aText)
{
  try {
    const auto json = nlohmann::json::parse(aText);
    UsageReport out;
    out.mIncarnation = json.at("incarnation").get<std::string>();
    out.mBoot = json.at("boot").get<std::string>();
    out.mReportedAt = Millis(json.at("reported_at_ms").get<std::int64_t>());
    out.mOpensAfter = Millis(json.at("opens_after_ms").get<std::int64_t>());
    out.mWallTime = Millis(json.value("wall_ms", std::int64_t{ 0 }));
    out.mIsWallClockSteady = json.value("wall_steady", false);
    out.mCaps = json.at("caps").get<std::map<std::string, Tokens>>();
    return out;
  } catch (const nlohmann::json::exception& ex) {
    return MakeError(ErrorCode::MalformedJson, Step::GrantRead, "key-value service", ex.what());
  }
}

bool EndedWithinCaps(const UsageReport& aPredecessor, const PredecessorEvidence& aSigns)
{
  const auto isShort = [&](Millis aTime) {
    return aTime >= Millis(0) && aTime <= aPredecessor.mOpensAfter;
  };
  const auto ranFor = aSigns.mStartedAt - aPredecessor.mReportedAt;
  const auto ranForByWall = aSigns.mWallTime - aPredecessor.mWallTime;
  const bool agrees = ranFor - ranForByWall < kMostSet && ranForByWall - ranFor < kMostSet;
  if (!aSigns.mBoot.empty() && aPredecessor.mBoot == aSigns.mBoot && agrees) {
    return isShort(ranFor);
  }
  // After a loss of power only the wall clock goes on. It may have been set meanwhile, so the
  // lease, which the key-value service times, has to agree.
  return aSigns.mLeaseIsAlive && aPredecessor.mIsWallClockSteady && isShort(ranForByWall);
}

Tokens FoldPredecessor(ShardRecord& aShard, const UsageReport& aPredecessor, bool aIsWithinCaps)
{
  Tokens freed = 0;
  for (auto& [name, budget] : aShard.mBudgets) {
    const auto found = budget.mHolders.find(aPredecessor.mIncarnation);
    if (found == budget.mHolders.end()) {
      continue;
    }
    auto& holder = found->second;
    if (!holder.mReceived.empty() || holder.mGiven != 0) {
      continue; // rights that came from or went to peers need an operator's look
    }
    if (aIsWithinCaps) {
      const auto cap = aPredecessor.mCaps.find(name);
      const auto used = cap == aPredecessor.mCaps.end() ? Tokens{ 0 } : cap->second;
      const auto kept = std::min(holder.Net(), std::max(used, holder.mSpent));
      freed += holder.Net() - kept;
      holder.mReturned = holder.mGranted - kept;
    }
    holder.mSpent = holder.Net();
    budget.Fold(aPredecessor.mIncarnation);
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

bool UsageCaps::IsOpen(TimePoint aNow) const
{
  const auto left = OpensIn(aNow);
  return left && *left < Millis(0);
}

std::optional<Millis> UsageCaps::OpensIn(TimePoint aNow) const
{
  if (!mHasReported) {
    return std::nullopt;
  }
  // A report that may be stored is the one by which a successor would judge.
  auto opensAt = mReport.mReportedAt + mReport.mOpensAfter;
  for (const auto& [reportedAt, it] : mUnresolved) {
    opensAt = std::max(opensAt, it);
  }
  return opensAt - MillisOf(aNow);
}

Tokens UsageCaps::Room(const std::string& aBudget, const Holding& aHolding, TimePoint aNow) const
{
  if (IsOpen(aNow)) {
    return std::numeric_limits<Tokens>::max();
  }
  const auto it = mReport.mCaps.find(aBudget);
  return it == mReport.mCaps.end() ? 0 : std::max<Tokens>(0, it->second - aHolding.Used());
}

Tokens UsageCaps::CapFor(const Holding& aHolding) const
{
  const auto input = aHolding.Input();
  const auto free = std::max<Tokens>(0, aHolding.Free() + aHolding.mDrawing);
  const double demand = input.mDemand * SecondsOf(mSettings.mHeadroom);
  const double first = static_cast<double>(free) * kFirstShare * (1 - input.mObserved);
  // The first requests of an outage should not have to wait for the reserve.
  const auto few =
    static_cast<double>(std::min(kFewRequests * aHolding.mLargest, free / kFewShare));
  const auto room = static_cast<Tokens>(std::max({ demand, first, few })) + aHolding.mWaitingTokens;
  return aHolding.Used() + std::min(room, free);
}

bool UsageCaps::IsDue(const std::map<std::string, Holding>& aHoldings, TimePoint aNow) const
{
  if (!mHasReported || MillisOf(aNow) - mReport.mReportedAt >= mSettings.mReportEvery) {
    return true;
  }
  return std::any_of(aHoldings.begin(), aHoldings.end(), [&](const auto& it) {
    const auto room = Room(it.first, it.second, aNow);
    const auto wanted = CapFor(it.second) - it.second.Used();
    return room < wanted / 2;
  });
}

/// Notices when the wall clock is set. Each report is made with it.
void UsageCaps::WatchWallClock(TimePoint aNow, Millis aWallTime)
{
  const auto offset = aWallTime - MillisOf(aNow);
  if (mWallOffset && (offset - *mWallOffset > kMostDrift || *mWallOffset - offset > kMostDrift)) {
    mIsWallClockSteady = false;
  }
  mWallOffset = offset;
}

UsageReport UsageCaps::Plan(const std::map<std::string, Holding>& aHoldings,
                            TimePoint aNow,
                            Millis aWallTime)
{
  WatchWallClock(aNow, aWallTime);
  UsageReport out;
  out.mWallTime = aWallTime;
  out.mIsWallClockSteady = mIsWallClockSteady;
  out.mIncarnation = mIncarnation;
  out.mBoot = mBoot;
  out.mReportedAt = MillisOf(aNow);
  out.mOpensAfter = OpensAfter();
  for (const auto& [name, it] : aHoldings) {
    const auto known = mReport.mCaps.find(name);
    const auto before = known == mReport.mCaps.end() ? Tokens{ 0 } : known->second;
    // What is used by now may be above the cap, if the reserve was open.
    out.mCaps[name] = std::max({ before, it.Used(), CapFor(it) });
  }
  mUnresolved[out.mReportedAt] = out.mReportedAt + out.mOpensAfter;
  return out;
}

void UsageCaps::OnCommitted(const UsageReport& aReport)
{
  mHasReported = true;
  mReport = aReport;
  // Later writes are conditional on this one's predecessors: older unresolved ones cannot come.
  mUnresolved.erase(mUnresolved.begin(), mUnresolved.upper_bound(aReport.mReportedAt));
}

void UsageCaps::OnNotCommitted(const UsageReport& aReport)
{
  mUnresolved.erase(aReport.mReportedAt);
}

} // namespace gentianloom
