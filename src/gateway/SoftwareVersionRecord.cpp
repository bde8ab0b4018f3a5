#include "gentianloom/gateway/SoftwareVersionRecord.h"

#include "gentianloom/base/BoundedJson.h"
#include "gentianloom/base/Jitter.h"
#include "gentianloom/base/Log.h"

#include <nlohmann/json.hpp>

namespace gentianloom {

namespace {

/// Interval at which the history is compared with the record, and a failed call is repeated. It is
/// multiplied by a random factor, since all instances notice a new version at once.
constexpr Millis kUpdateInterval{ 500 };
constexpr double kMinJitterFactor = 0.5;
/// Time after which a version is removed. The histories of two instances differ by less than
/// kMaxStreamAge, so none of them adds a version again that another one has removed.
constexpr Millis kRemovalTime = 2 * SoftwareVersionHistory::kMaxStreamAge;

} // namespace

std::string ToText(const SoftwareVersions& aVersions)
{
  return nlohmann::json(aVersions).dump();
}

Result<SoftwareVersions> ParseSoftwareVersions(std::string_view aText)
{
  try {
    BOOST_OUTCOME_TRY(json, ParseBoundedJson(aText));
    return json.get<SoftwareVersions>();
  } catch (const nlohmann::json::exception& ex) {
    return MakeError(
      ErrorCode::MalformedJson, Step::ApplicationCheck, "key-value service", ex.what());
  }
}

SoftwareVersions UpdateSoftwareVersions(const SoftwareVersions& aRecorded,
                                        const SoftwareVersionHistory& aHistory,
                                        TimePoint aNow)
{
  auto out = aHistory.ObservedWithin(SoftwareVersionHistory::kMaxStreamAge, aNow);
  const auto needed = aHistory.ObservedWithin(kRemovalTime, aNow);
  for (const auto& [service, versions] : aRecorded) {
    const auto known = needed.find(service);
    if (known == needed.end()) {
      continue;
    }
    for (const auto& it : versions) {
      if (known->second.contains(it)) {
        out[service].insert(it);
      }
    }
  }
  return out;
}

SoftwareVersionRecord::SoftwareVersionRecord(net::Loop& aLoop,
                                             AsyncStore& aStore,
                                             SoftwareVersionHistory& aHistory,
                                             const Clock& aClock)
  : mLoop(aLoop)
  , mStore(aStore)
  , mHistory(aHistory)
  , mClock(aClock)
{
}

void SoftwareVersionRecord::Start()
{
  net::Start(mLoop, "software versions", Run());
}

net::Task<void> SoftwareVersionRecord::Run()
{
  bool isRead = false;
  while (true) {
    if (mStore.Era() != mEra) {
      mEra = mStore.Era(); // the record may be an older one now
      isRead = false;
    }
    if (!isRead) {
      isRead = co_await Read();
      mHasRead = mHasRead || isRead;
    } else if (UpdateSoftwareVersions(mRecorded, mHistory, mClock.Now()) != mRecorded) {
      co_await Update();
    }
    const auto pause = kUpdateInterval * (kMinJitterFactor + Jitter());
    co_await net::Signal::Sleep(mLoop, std::chrono::duration_cast<Micros>(pause));
  }
}

bool SoftwareVersionRecord::Load(std::span<const KeyValue> aEntries)
{
  mRevision = 0;
  mRecorded.clear();
  auto versions = Result<SoftwareVersions>(SoftwareVersions());
  if (const auto* const entry = FindEntry(aEntries, kSoftwareVersionKey)) {
    mRevision = entry->mModRevision;
    versions = ParseSoftwareVersions(entry->mValue);
  }
  if (versions) {
    mRecorded = std::move(versions.value());
  } else {
    LogChange(LogLevel::Warning,
              "endpoints",
              "the record of software versions is invalid; it will be replaced",
              { { "error", ToString(versions.error()) } });
  }
  mHistory.SetRecorded(mRecorded);
  return versions.has_value();
}

net::Task<bool> SoftwareVersionRecord::Read()
{
  const auto answer = co_await mStore.Range(std::string(kSoftwareVersionKey));
  if (!answer) {
    co_return false;
  }
  const bool isValid = Load(answer.value().mEntries);
  const auto now = mClock.Now();
  for (const auto& [service, versions] : mRecorded) {
    for (const auto& it : versions) {
      mHistory.Observe(service, it, now);
    }
  }
  const Millis missingTime = isValid ? Millis(0) : SoftwareVersionHistory::kMaxStreamAge;
  mHistory.SetCompleteFrom(now + missingTime);
  LogChange(LogLevel::Info,
            "endpoints",
            "read the record of software versions",
            { { "versions", ToText(mRecorded) }, { "revision", std::to_string(mRevision) } });
  co_return true;
}

net::Task<bool> SoftwareVersionRecord::Refresh()
{
  const auto begin = mClock.Now();
  if (begin - mRefreshedAt < kRefreshInterval) {
    co_return true;
  }
  if (begin < mNoRefreshUntil) {
    co_return false;
  }
  const auto answer = co_await mStore.Range(std::string(kSoftwareVersionKey));
  if (!answer) {
    mNoRefreshUntil = mClock.Now() + kFailedRefreshPause;
    co_return false;
  }
  const bool isValid = Load(answer.value().mEntries);
  for (const auto& [service, versions] : mRecorded) {
    for (const auto& it : versions) {
      mHistory.ObserveUnknown(service, it, mClock.Now());
    }
  }
  mRefreshedAt = begin;
  co_return isValid;
}

net::Task<void> SoftwareVersionRecord::Update()
{
  const auto answer = co_await mStore.Range(std::string(kSoftwareVersionKey));
  if (!answer) {
    co_return;
  }
  Load(answer.value().mEntries);
  auto updated = UpdateSoftwareVersions(mRecorded, mHistory, mClock.Now());
  if (updated == mRecorded) {
    co_return;
  }
  Transaction transaction;
  transaction.mCompares.push_back({ std::string(kSoftwareVersionKey), mRevision });
  transaction.mWrites.push_back({ std::string(kSoftwareVersionKey), ToText(updated) });
  const auto result = co_await mStore.Commit(std::move(transaction));
  if (result.mCommit.mEffect != Effect::Applied) {
    co_return; // the next round reads the record again
  }
  mRevision = result.mCommit.mRevision;
  mRecorded = std::move(updated);
  mHistory.SetRecorded(mRecorded);
  LogChange(LogLevel::Info,
            "endpoints",
            "wrote the record of software versions",
            { { "versions", ToText(mRecorded) }, { "revision", std::to_string(mRevision) } });
}

} // namespace gentianloom
