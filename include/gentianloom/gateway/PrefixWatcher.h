#ifndef GENTIANLOOM_GATEWAY_PREFIX_WATCHER_H
#define GENTIANLOOM_GATEWAY_PREFIX_WATCHER_H

#include "gentianloom/base/Metrics.h"
#include "gentianloom/external/AsyncStore.h"
#include "gentianloom/net/Signal.h"

#include <functional>
#include <string>
#include <vector>

namespace gentianloom {

/// Whether what vanished may only have lapsed while the key-value service was away.
enum class StoreAvailability : std::uint8_t
{
  Available,
  RecentlyUnavailable
};

/// What a follower is told.
struct PrefixWatchHandlers
{
  std::function<void(const std::vector<KeyValue>&, StoreAvailability)> mOnSnapshot;
  std::function<void(const std::vector<WatchEvent>&, StoreAvailability)> mOnEvents;
};

/**
 * @brief Follows all keys with a prefix: one read, then watches from its revision on.
 *
 * A watch returns after a bounded time even if nothing changed, so a connection that fell silent is
 * noticed. When the history is gone everything is read again at once.
 */
class PrefixWatcher
{
public:
  /// @param aWatchTimeout longest time that one watch waits
  PrefixWatcher(net::Loop& aLoop,
                AsyncStore& aStore,
                std::string aPrefix,
                Millis aWatchTimeout,
                PrefixWatchHandlers aHandlers,
                const Clock& aClock,
                Metrics& aMetrics);

  void Start();

  /// @brief Whether the first read has succeeded.
  bool HasSynced() const { return mHasSynced; }

private:
  net::Task<void> Run();
  net::Task<bool> ReadSnapshot();
  net::Task<bool> Watch();
  void RecordCallResult(bool aHasSucceeded, const std::string& aError);
  StoreAvailability Availability() const;

  net::Loop& mLoop;
  AsyncStore& mStore;
  std::string mPrefix;
  Millis mWatchTimeout;
  PrefixWatchHandlers mHandlers;
  const Clock& mClock;
  Metrics& mMetrics;
  bool mHasSynced = false;
  bool mNeedsSnapshot = true;
  bool mIsUnavailable = false;
  Revision mRevision = 0;
  TimePoint mLastFailureAt{};
  int mConsecutiveFailures = 0;
};

} // namespace gentianloom

#endif
