#include "gentianloom/gateway/CrashEvidenceRecord.h"

#include "gentianloom/base/BoundedJson.h"
#include "gentianloom/base/Log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace gentianloom {

namespace {

/// Time to live of the lease of a record, the longest that the key-value service grants.
constexpr Millis kLeaseTtl{ 600'000 };
/// Age up to which a lease is used for further writes. A record then lives at least as long as its
/// suspects are remembered.
constexpr Millis kMaxLeaseAge = kLeaseTtl - CrashEvidence::kMemory;
/// Most suspects and interruptions that a record may state.
constexpr std::size_t kMaxStatedSuspects = 1'024;
constexpr std::int64_t kMaxStatedInterruptions = 1'000'000;

Millis AgeAt(TimePoint aTime, TimePoint aNow)
{
  const auto age = std::chrono::duration_cast<Millis>(aNow - aTime);
  return std::clamp(age, Millis(0), CrashEvidence::kMemory);
}

void LogRecorded(const Suspects& aSuspects)
{
  const auto first = aSuspects.empty() ? Suspects::value_type() : aSuspects.front();
  LogChange(LogLevel::Info,
            "guard",
            "recorded what is known of interrupted requests",
            { { "suspects", std::to_string(aSuspects.size()) },
              { "key", first.first },
              { "interruptions", std::to_string(first.second.mInterruptions) } });
}

} // namespace

std::string EncodeSuspects(const Suspects& aSuspects, TimePoint aNow)
{
  auto suspects = nlohmann::json::array();
  for (const auto& [key, it] : aSuspects) {
    suspects.push_back({ { "key", key },
                         { "interruptions", it.mInterruptions },
                         { "first_ago_ms", AgeAt(it.mFirstAt, aNow).count() },
                         { "last_ago_ms", AgeAt(it.mLastAt, aNow).count() } });
  }
  const nlohmann::json out = { { "suspects", std::move(suspects) } };
  return out.dump();
}

Result<Suspects> ParseSuspects(std::string_view aText, TimePoint aNow)
{
  try {
    BOOST_OUTCOME_TRY(json, ParseBoundedJson(aText));
    Suspects out;
    for (const auto& it : json.at("suspects")) {
      if (out.size() == kMaxStatedSuspects) {
        break;
      }
      const auto readTime = [&](const char* aName) {
        return aNow - Millis(ToBoundedNumber(it.at(aName), CrashEvidence::kMemory.count()));
      };
      CrashEvidence::Suspect suspect;
      suspect.mInterruptions =
        static_cast<int>(ToBoundedNumber(it.at("interruptions"), kMaxStatedInterruptions));
      suspect.mFirstAt = readTime("first_ago_ms");
      suspect.mLastAt = readTime("last_ago_ms");
      out.emplace_back(it.at("key").get<std::string>(), suspect);
    }
    return out;
  } catch (const nlohmann::json::exception& ex) {
    return MakeError(ErrorCode::MalformedJson, Step::RequestPlace, "key-value service", ex.what());
  }
}

CrashEvidenceRecord::CrashEvidenceRecord(CrashEvidence& aEvidence,
                                         std::string aSelf,
                                         std::function<bool(const std::string&)> aIsRecorder,
                                         std::function<std::size_t()> aPeerCount,
                                         AsyncStore& aStore,
                                         const Clock& aClock,
                                         Metrics& aMetrics)
  : mEvidence(aEvidence)
  , mSelf(std::move(aSelf))
  , mIsRecorder(std::move(aIsRecorder))
  , mPeerCount(std::move(aPeerCount))
  , mStore(aStore)
  , mClock(aClock)
  , mMetrics(aMetrics)
{
}

CrashEvidenceRecord::Summary CrashEvidenceRecord::Summarize(const Suspects& aSuspects)
{
  Summary out;
  out.reserve(aSuspects.size());
  for (const auto& [key, it] : aSuspects) {
    // Beyond that the block counts, which has a record of its own.
    out.emplace_back(key, std::min(it.mInterruptions, CrashEvidence::kInterruptionsToBlock));
  }
  std::sort(out.begin(), out.end());
  return out;
}

std::string CrashEvidenceRecord::RecordKey() const
{
  return std::string(kCrashEvidencePrefix) + mSelf;
}

void CrashEvidenceRecord::SetDue(Millis aDelay)
{
  const auto at = mClock.Now() + aDelay;
  mDueAt = mDueAt ? std::min(*mDueAt, at) : at;
}

void CrashEvidenceRecord::OnChanged(const std::string& aKey)
{
  const auto suspect = mEvidence.Find(aKey);
  if (suspect && mIsRecorder(aKey)) {
    SetDue(suspect->mInterruptions > 1 ? Millis(0) : kFirstInterruptionDelay);
  }
}

bool CrashEvidenceRecord::IsWanted(const std::string& aKey) const
{
  // After the keepers have changed, the new ones may not have recorded the key yet.
  const bool isWritten =
    std::any_of(mWritten.begin(), mWritten.end(), [&](const auto& it) { return it.first == aKey; });
  return isWritten || mIsRecorder(aKey);
}

net::Task<std::vector<std::string>> CrashEvidenceRecord::Read()
{
  std::vector<std::string> out;
  mNextCallAt = mClock.Now() + kMinWriteInterval;
  const auto answer = co_await mStore.Range(std::string(kCrashEvidencePrefix));
  if (!answer) {
    co_return out;
  }
  for (const auto& it : answer.value().mEntries) {
    const auto keys = TakeOver(it);
    out.insert(out.end(), keys.begin(), keys.end());
  }
  mHasRead = true;
  mEra = mStore.Era();
  SetDue(kFirstInterruptionDelay);
  co_return out;
}

void CrashEvidenceRecord::CheckEra()
{
  if (mEra != mStore.Era()) {
    mEra = mStore.Era();
    mWritten.clear();
    mLease.reset();
    SetDue(Millis(0));
  }
}

std::vector<std::string> CrashEvidenceRecord::TakeOver(const KeyValue& aEntry)
{
  std::vector<std::string> out;
  const auto suspects = ParseSuspects(aEntry.mValue, mClock.Now());
  if (!suspects) {
    LogChange(LogLevel::Warning,
              "guard",
              "ignored an invalid record of suspect requests",
              { { "record", aEntry.mKey }, { "error", ToString(suspects.error()) } });
    return out;
  }
  if (aEntry.mKey == RecordKey()) {
    mWritten = Summarize(suspects.value());
  }
  for (const auto& [key, it] : suspects.value()) {
    if (mEvidence.TakeOver(key, it)) {
      out.push_back(key);
    }
  }
  LogChange(LogLevel::Info,
            "guard",
            "took over what another process knew of interrupted requests",
            { { "record", aEntry.mKey },
              { "suspects", std::to_string(suspects.value().size()) },
              { "new", std::to_string(out.size()) } });
  return out;
}

net::Task<std::optional<LeaseId>> CrashEvidenceRecord::EnsureLease()
{
  const auto now = mClock.Now();
  if (!mLease || now - mLeaseGrantedAt > kMaxLeaseAge) {
    const auto lease = co_await mStore.GrantLease(kLeaseTtl);
    if (!lease) {
      co_return std::nullopt;
    }
    mLease = lease.value();
    mLeaseGrantedAt = now;
  }
  co_return mLease;
}

net::Task<bool> CrashEvidenceRecord::Write(Suspects aSuspects)
{
  const auto lease = co_await EnsureLease();
  if (!lease) {
    co_return false;
  }
  Transaction transaction;
  transaction.mWrites.push_back({ RecordKey(), EncodeSuspects(aSuspects, mClock.Now()), *lease });
  const auto answer = co_await mStore.Commit(std::move(transaction));
  mMetrics.CounterOf("gentianloom_crash_evidence_writes_total").Add();
  if (answer.mCommit.mEffect != Effect::Applied) {
    mLease.reset(); // it may have ended
    co_return false;
  }
  LogRecorded(aSuspects);
  co_return true;
}

net::Task<std::vector<std::string>> CrashEvidenceRecord::Update()
{
  std::vector<std::string> out;
  if (mClock.Now() < mNextCallAt) {
    co_return out;
  }
  if (mHasRead) {
    CheckEra();
    co_await WriteIfDue();
  } else {
    out = co_await Read();
  }
  co_return out;
}

net::Task<void> CrashEvidenceRecord::WriteIfDue()
{
  const auto now = mClock.Now();
  if (!mDueAt || now < *mDueAt) {
    co_return;
  }
  mDueAt.reset();
  auto suspects = mEvidence.MostSuspicious(
    kMaxSuspects, [this](const std::string& aKey) { return IsWanted(aKey); });
  const auto summary = Summarize(suspects);
  if (!summary.empty() || !mWritten.empty()) {
    SetDue(kRemovalDelay);
  }
  if (summary == mWritten) {
    co_return;
  }
  const auto peers = static_cast<std::int64_t>(mPeerCount());
  mNextCallAt = now + std::max(kMinWriteInterval, kWriteIntervalPerInstance * peers);
  const bool isWritten = co_await Write(std::move(suspects));
  if (isWritten) {
    mWritten = summary;
  } else {
    SetDue(kMinWriteInterval);
  }
}

} // namespace gentianloom
