#include "gentianloom/gateway/PrefixWatcher.h"

#include "gentianloom/base/Log.h"

#include <algorithm>
#include <utility>

namespace gentianloom {

namespace {

/// A key deleted within this time after an outage may have had its lease expire in it.
constexpr Millis kOutageGracePeriod{ 1'500 };
/// Like kOutageGracePeriod, for what other instances tell: they may notice the end of an outage
/// later than this instance by the pause between two of their calls.
constexpr Millis kToldOutageGracePeriod{ 3'000 };
/// Interval at which an instance that follows others checks that their updates still arrive.
constexpr Millis kFollowCheckInterval{ 100 };
/// Share of the timeout that the watches of instances with followers wait, so that one lost update
/// is no silence.
constexpr double kWatcherTimeoutShare = 0.6;
/// Keys whose last handled change is remembered, more than are ever stored under a prefix.
constexpr std::size_t kMaxHandledKeys = 50'000;
/// Shortest and longest pause after failed calls.
constexpr Millis kFirstPause{ 40 };
constexpr Millis kMaxPause{ 640 };
/// Pause of an instance that the service turns away while others tell it of changes.
constexpr Millis kRetryIntervalWhileUpdated{ 1'000 };

} // namespace

PrefixWatcher::PrefixWatcher(net::Loop& aLoop,
                             AsyncStore& aStore,
                             std::string aPrefix,
                             PrefixWatchTiming aTiming,
                             PrefixWatchHandlers aHandlers,
                             WatchRelay* aRelay,
                             const Clock& aClock,
                             Metrics& aMetrics)
  : mLoop(aLoop)
  , mStore(aStore)
  , mPrefix(std::move(aPrefix))
  , mTiming(aTiming)
  , mHandlers(std::move(aHandlers))
  , mRelay(aRelay)
  , mClock(aClock)
  , mMetrics(aMetrics)
  , mUpdateSignal(aLoop)
  , mBackoff(kFirstPause, kMaxPause)
{
}

void PrefixWatcher::Start()
{
  if (mRelay != nullptr) {
    mRelay->Subscribe(mPrefix, [this](const PrefixUpdate& it) { OnUpdate(it); });
  }
  net::Start(mLoop, "watch " + mPrefix, Run());
}

StoreAvailability PrefixWatcher::Availability() const
{
  const auto now = mClock.Now();
  const bool isRestored = mRestoredAt && now - *mRestoredAt < kOutageGracePeriod;
  return isRestored || mStore.Contact().HadOutageWithin(kOutageGracePeriod, now)
           ? StoreAvailability::RecentlyUnavailable
           : StoreAvailability::Available;
}

StoreAvailability PrefixWatcher::AvailabilityFor(const PrefixUpdate& aUpdate) const
{
  // The other instance may have been cut off alone. An outage of the service is one here as well.
  const bool wasOutage = aUpdate.mIsAfterOutage &&
                         mStore.Contact().HadOutageWithin(kToldOutageGracePeriod, mClock.Now());
  return wasOutage ? StoreAvailability::RecentlyUnavailable : Availability();
}

net::Task<void> PrefixWatcher::Run()
{
  while (true) {
    bool hasSucceeded = false;
    co_await Follow();
    if (mNeedsSnapshot) {
      hasSucceeded = co_await ReadSnapshot();
    } else {
      hasSucceeded = co_await Watch();
    }
    if (hasSucceeded) {
      continue;
    }
    co_await AwaitRetry();
  }
}

template<typename T>
bool PrefixWatcher::IsCurrent(const Result<T>& aAnswer)
{
  const bool isOutdated = aAnswer && aAnswer.value().mEra < mStore.Era();
  if (isOutdated) {
    RecordCallResult(false, "a delayed response of an older era");
  } else {
    RecordCallResult(aAnswer.has_value(), aAnswer ? "" : ToString(aAnswer.error()));
  }
  return aAnswer && !isOutdated;
}

net::Task<bool> PrefixWatcher::ReadSnapshot()
{
  const auto askedAt = mClock.Now();
  const auto answer = co_await mStore.Range(mPrefix);
  if (!IsCurrent(answer)) {
    co_return false;
  }
  CheckEra(answer.value().mEra);
  mConfirmedUntil = askedAt;
  mRevision = answer.value().mRevision;
  mOwnRevision = mRevision;
  mSnapshotRevision = mRevision;
  mLastEventAt = mRevision;
  mHandled.clear();
  mNeedsSnapshot = false;
  mHasMissedChange = false;
  mHasSynced = true;
  const bool isRestored = std::exchange(mIsRestored, false);
  mHandlers.mOnSnapshot(answer.value().mEntries,
                        isRestored ? StoreAvailability::RestoredFromCopy : Availability());
  Publish(mRevision, mRevision, {});
  co_return true;
}

bool PrefixWatcher::CheckEra(std::int64_t aEra)
{
  if (aEra <= mEra) {
    return false;
  }
  if (mHasSynced) {
    // Keys that were written since the copy are missing until their owners write them again.
    mRestoredAt = mClock.Now();
    mNeedsSnapshot = true;
    mIsRestored = true;
    LogChange(LogLevel::Warning,
              "store",
              "the key-value service came back from an older copy; reading a new snapshot",
              { { "prefix", mPrefix }, { "era", std::to_string(aEra) } });
  }
  mEra = aEra;
  return mHasSynced;
}

net::Task<bool> PrefixWatcher::Watch()
{
  if (CheckEra(mStore.Era())) {
    co_return true;
  }
  LogOwnCall();
  const bool hasFollowers = mRelay != nullptr && mRelay->HasFollowers();
  const auto timeout =
    hasFollowers ? std::chrono::duration_cast<Millis>(mTiming.mTimeout * kWatcherTimeoutShare)
                 : mTiming.mTimeout;
  // A watcher goes by its own calls only, so that a wrong update of one does not spread.
  const auto after = mRelay != nullptr && mRelay->IsWatcher() ? mOwnRevision : mRevision;
  const auto answer = co_await mStore.Watch(mPrefix, after, timeout);
  if (!IsCurrent(answer)) {
    co_return false;
  }
  const auto& it = answer.value();
  if (CheckEra(it.mEra)) {
    co_return true; // its revisions are of another history
  }
  if (it.mIsTooOld) {
    LogChange(LogLevel::Warning,
              "store",
              "the watched revision is no longer in the history; reading a new snapshot",
              { { "prefix", mPrefix }, { "revision", std::to_string(mRevision) } });
    mNeedsSnapshot = true;
    co_return true;
  }
  HandleEvents(it.mEvents, Availability(), "own watch");
  mRevision = std::max(mRevision, it.mRevision);
  mConfirmedUntil = mClock.Now();
  mHasMissedChange = false;
  RecordOwnWatch(after, it);
  // Not mRevision: an update of another instance may have told of changes that are not in here.
  const bool isUnchanged = it.mEvents.empty() && after <= mOwnRevision;
  Publish(isUnchanged ? std::min(mLastEventAt, after) : after, it.mRevision, it.mEvents);
  if (!it.mEvents.empty()) {
    co_await net::Signal::Sleep(mLoop, mTiming.mBatchTime);
  }
  co_return true;
}

void PrefixWatcher::LogOwnCall()
{
  if (mRelay == nullptr || mRelay->IsWatcher() || mUpdatedAt == TimePoint{}) {
    return;
  }
  const auto calls = mOwnCallLog.Add(mClock.Now());
  if (calls) {
    LogChange(LogLevel::Info,
              "store",
              "an instance that follows others watches the key-value service itself",
              { { "prefix", mPrefix },
                { "reason", mHasMissedChange ? "gap" : "silence" },
                { "view_age_ms", std::to_string(ReportAge().count()) },
                { "calls", std::to_string(*calls) } });
  }
}

Millis PrefixWatcher::ReportAge()
{
  const auto age = mHasSynced ? mClock.Now() - mConfirmedUntil : Micros(0);
  const auto out = std::chrono::duration_cast<Millis>(age);
  mMetrics.GaugeOf("gentianloom_view_age_milliseconds", "prefix=\"" + mPrefix + "\"")
    .Set(out.count());
  return out;
}

void PrefixWatcher::RecordOwnWatch(Revision aAfter, const WatchResponse& aResponse)
{
  if (aAfter > mOwnRevision) {
    return; // changes between them are known from others only
  }
  mOwnRevision = std::max(mOwnRevision, aResponse.mRevision);
  for (const auto& it : aResponse.mEvents) {
    mLastEventAt = std::max(mLastEventAt, it.mEntry.mModRevision);
  }
}

void PrefixWatcher::HandleEvents(std::vector<WatchEvent> aEvents,
                                 StoreAvailability aAvailability,
                                 std::string_view aSource)
{
  std::sort(aEvents.begin(), aEvents.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mEntry.mModRevision < aRight.mEntry.mModRevision;
  });
  std::erase_if(aEvents, [this](const WatchEvent& it) {
    const auto revision = it.mEntry.mModRevision;
    auto& handled = mHandled[it.mEntry.mKey];
    const bool isKnown = revision <= std::max(handled, mSnapshotRevision);
    handled = std::max(handled, revision);
    return isKnown;
  });
  if (!aEvents.empty()) {
    LogChange(LogLevel::Info,
              "store",
              "read changes",
              { { "prefix", mPrefix },
                { "source", std::string(aSource) },
                { "changes", std::to_string(aEvents.size()) },
                { "revision", std::to_string(aEvents.back().mEntry.mModRevision) },
                { "view_age_ms", std::to_string(ReportAge().count()) } });
    mHandlers.mOnEvents(aEvents, aAvailability);
  }
  if (mHandled.size() > kMaxHandledKeys) {
    mNeedsSnapshot = true; // forgets keys that were deleted long ago
  }
}

void PrefixWatcher::Publish(Revision aAfter, Revision aUpTo, std::vector<WatchEvent> aEvents)
{
  if (mRelay == nullptr || !mRelay->HasFollowers()) {
    return;
  }
  PrefixUpdate update;
  update.mPrefix = mPrefix;
  update.mEra = mEra;
  update.mAfter = aAfter;
  update.mRevision = aUpTo;
  update.mAge = std::chrono::ceil<Millis>(mClock.Now() - mConfirmedUntil);
  update.mIsAfterOutage = Availability() != StoreAvailability::Available;
  update.mEvents = std::move(aEvents);
  mRelay->Publish(update);
}

void PrefixWatcher::OnUpdate(const PrefixUpdate& aUpdate)
{
  if (mNeedsSnapshot || aUpdate.mEra < mEra) {
    return; // there is nothing yet that the update could continue, or it is of an older history
  }
  if (aUpdate.mEra > mEra || aUpdate.mAfter > mRevision) {
    mHasMissedChange = true;
    mUpdateSignal.Notify();
    return;
  }
  HandleEvents(aUpdate.mEvents, AvailabilityFor(aUpdate), aUpdate.mSender);
  mRevision = std::max(mRevision, aUpdate.mRevision);
  const auto trueAt = mClock.Now() - aUpdate.mAge;
  mUpdatedAt = std::max(mUpdatedAt, trueAt);
  mConfirmedUntil = std::max(mConfirmedUntil, trueAt);
  mUpdateSignal.Notify();
}

bool PrefixWatcher::IsUpdated() const
{
  const bool isRecent = mUpdatedAt != TimePoint{} && mClock.Now() - mUpdatedAt < mTiming.mTimeout;
  return isRecent && !mHasMissedChange && !mNeedsSnapshot && mStore.Era() == mEra;
}

bool PrefixWatcher::IsFollowing() const
{
  return IsUpdated() && !mRelay->IsWatcher();
}

net::Task<void> PrefixWatcher::AwaitRetry()
{
  if (IsUpdated()) {
    co_await net::Signal::Sleep(mLoop, kRetryIntervalWhileUpdated);
    co_return;
  }
  // Ends early when an update of another instance arrives.
  co_await mUpdateSignal.WaitFor(mBackoff.Next());
}

net::Task<void> PrefixWatcher::Follow()
{
  while (mRelay != nullptr && IsFollowing()) {
    co_await mUpdateSignal.WaitFor(kFollowCheckInterval);
  }
}

void PrefixWatcher::RecordCallResult(bool aHasSucceeded, const std::string& aError)
{
  if (aHasSucceeded == mIsUnavailable) {
    LogChange(aHasSucceeded ? LogLevel::Info : LogLevel::Warning,
              "store",
              aHasSucceeded ? "the key-value service is available again"
                            : "the key-value service is unavailable; continuing with cached data",
              { { "prefix", mPrefix }, { "error", aError } });
  }
  mIsUnavailable = !aHasSucceeded;
  if (aHasSucceeded) {
    mBackoff.Reset();
    return;
  }
  mMetrics.CounterOf("gentianloom_store_failures_total", "prefix=\"" + mPrefix + "\"").Add();
}

} // namespace gentianloom
