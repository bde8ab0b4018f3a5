#ifndef GENTIANLOOM_GATEWAY_PREFIX_WATCHER_H
#define GENTIANLOOM_GATEWAY_PREFIX_WATCHER_H

#include "gentianloom/base/LogLimiter.h"
#include "gentianloom/base/Metrics.h"
#include "gentianloom/external/AsyncStore.h"
#include "gentianloom/gateway/WatchRelay.h"
#include "gentianloom/net/Backoff.h"
#include "gentianloom/net/Signal.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace gentianloom {

/**
 * Whether the key-value service had an outage within kOutageGracePeriod, by StoreContact.
 *
 * After an outage a missing key does not mean that its owner is gone: the lease may have expired
 * because the owner could not renew it.
 */
enum class StoreAvailability : std::uint8_t
{
  Available,
  RecentlyUnavailable,
  RestoredFromCopy ///< the service has come back from an older copy; entries may be older than seen
};

/// Callbacks of a PrefixWatcher.
struct PrefixWatchHandlers
{
  /// Receives all keys with the prefix, at the start and whenever the service no longer has the
  /// changes since the watched revision in its history.
  std::function<void(const std::vector<KeyValue>&, StoreAvailability)> mOnSnapshot;
  /// Receives the changes since the last snapshot or the last events.
  std::function<void(const std::vector<WatchEvent>&, StoreAvailability)> mOnEvents;
};

/// Timing of a PrefixWatcher.
struct PrefixWatchTiming
{
  /// Maximum time that one watch waits for changes, and that an instance which follows others goes
  /// without their updates.
  Millis mTimeout{ 0 };
  Millis mBatchTime{ 0 }; ///< pause after changes, so that those of many keys come with one call
};

/**
 * @brief Watches all keys with a prefix: reads a snapshot, then watches from its revision on.
 *
 * A watch returns after a bounded time even if nothing has changed, so a dead connection is
 * detected. If the revision to watch from is no longer in the service's history, the watcher
 * reads a new snapshot at once. Failed calls are retried with exponential backoff and jitter.
 *
 * With a WatchRelay, an instance that is no watcher of its zone follows the updates of those that
 * are, and calls the service only after a gap or a silence.
 */
class PrefixWatcher
{
public:
  PrefixWatcher(net::Loop& aLoop,
                AsyncStore& aStore,
                std::string aPrefix,
                PrefixWatchTiming aTiming,
                PrefixWatchHandlers aHandlers,
                WatchRelay* aRelay,
                const Clock& aClock,
                Metrics& aMetrics);

  /// @brief Starts the watch loop; the handlers are called on the event loop.
  void Start();

  /// @brief Whether the first snapshot has been read.
  bool HasSynced() const { return mHasSynced; }

  /// @brief Time until which all changes have been received.
  TimePoint ConfirmedUntil() const { return mConfirmedUntil; }

  /// @brief Time since ConfirmedUntil(), which is also set as the gauge
  /// `gentianloom_view_age_milliseconds`; zero before the first snapshot.
  Millis ReportAge();

private:
  net::Task<void> Run();
  /// Reads all keys with the prefix. Returns whether the call succeeded.
  net::Task<bool> ReadSnapshot();
  /// Waits once for changes. Returns whether the call succeeded.
  net::Task<bool> Watch();
  /// Waits as long as the updates of other instances are complete and recent.
  net::Task<void> Follow();
  /// Whether the updates of other instances are complete and recent.
  bool IsUpdated() const;
  /// Whether the updates of other instances make a call needless.
  bool IsFollowing() const;
  /// Waits until a failed call is repeated.
  net::Task<void> AwaitRetry();
  void OnUpdate(const PrefixUpdate& aUpdate);
  /// Notes what this instance has read itself, unless a part before it is known from others only.
  void RecordOwnWatch(Revision aAfter, const WatchResponse& aResponse);
  /// Tells other instances of all changes after one revision and up to another one.
  void Publish(Revision aAfter, Revision aUpTo, std::vector<WatchEvent> aEvents);
  /// Hands events to their handler, but for those that were handled before.
  /// @param aSource where they were read, for the log
  void HandleEvents(std::vector<WatchEvent> aEvents,
                    StoreAvailability aAvailability,
                    std::string_view aSource);
  /// Logs why an instance that follows others calls the service itself.
  void LogOwnCall();
  /// Makes the next call read a snapshot if the service has come back from an older copy, since
  /// revisions are then given out a second time. Returns whether it has.
  bool CheckEra(std::int64_t aEra);
  /// Whether a call returned a response of the current era; records the result of the call.
  template<typename T>
  bool IsCurrent(const Result<T>& aAnswer);
  void RecordCallResult(bool aHasSucceeded, const std::string& aError);
  StoreAvailability Availability() const;
  /// Availability for the events of another instance's update.
  StoreAvailability AvailabilityFor(const PrefixUpdate& aUpdate) const;

  net::Loop& mLoop;
  AsyncStore& mStore;
  std::string mPrefix;
  PrefixWatchTiming mTiming;
  PrefixWatchHandlers mHandlers;
  WatchRelay* mRelay; ///< null: this instance watches for itself only
  const Clock& mClock;
  Metrics& mMetrics;
  bool mHasSynced = false;
  bool mNeedsSnapshot = true;
  bool mIsRestored = false; ///< the next snapshot is the first one of an era
  bool mIsUnavailable = false;
  std::int64_t mEra = 0;          ///< of the service, when mRevision was read
  Revision mRevision = 0;         ///< all changes up to this one were read here or told by others
  Revision mOwnRevision = 0;      ///< all changes up to this one were read here
  Revision mLastEventAt = 0;      ///< no change was read between this revision and mOwnRevision
  Revision mSnapshotRevision = 0; ///< of the last snapshot
  std::map<std::string, Revision> mHandled; ///< last handled change of each key since then
  TimePoint mUpdatedAt{};                   ///< when the last update of another instance was true
  bool mHasMissedChange = false;            ///< an update of another instance shows a gap
  net::Signal mUpdateSignal;
  net::Backoff mBackoff;
  LogLimiter mOwnCallLog;
  std::optional<TimePoint> mRestoredAt; ///< when the service was seen to be back from a copy
  TimePoint mConfirmedUntil{};
};

} // namespace gentianloom

#endif
