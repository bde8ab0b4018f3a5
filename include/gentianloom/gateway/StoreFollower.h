#ifndef GENTIANLOOM_GATEWAY_STORE_FOLLOWER_H
#define GENTIANLOOM_GATEWAY_STORE_FOLLOWER_H

#include "gentianloom/base/Metrics.h"
#include "gentianloom/external/AsyncStore.h"
#include "gentianloom/net/Signal.h"

#include <functional>
#include <string>
#include <vector>

namespace gentianloom {

/// Whether what vanished may only have lapsed while the key-value service was away.
enum class StoreCondition : std::uint8_t
{
  Steady,
  AfterOutage
};

/// What a follower is told.
struct FollowerSink
{
  std::function<void(const std::vector<KeyValue>&, StoreCondition)> mOnSnapshot;
  std::function<void(const std::vector<WatchEvent>&, StoreCondition)> mOnEvents;
};

/**
 * @brief Follows all keys with a prefix: one read, then watches from its revision on.
 *
 * A watch returns after a bounded time even if nothing changed, so a connection that fell silent is
 * noticed. When the history is gone everything is read again at once.
 */
class StoreFollower
{
public:
  /// @param aWait longest time that one watch waits
  StoreFollower(net::Loop& aLoop,
                AsyncStore& aStore,
                std::string aPrefix,
                Millis aWait,
                FollowerSink aSink,
                const Clock& aClock,
                Metrics& aMetrics);

  void Start();

  /// @brief Whether the first read has succeeded.
  bool HasRead() const { return mHasRead; }

private:
  net::Task<void> Run();
  net::Task<bool> Read();
  net::Task<bool> Watch();
  void NoteAnswer(bool aAnswered, const std::string& aWhy);
  StoreCondition Condition() const;

  net::Loop& mLoop;
  AsyncStore& mStore;
  std::string mPrefix;
  Millis mWait;
  FollowerSink mSink;
  const Clock& mClock;
  Metrics& mMetrics;
  bool mHasRead = false;
  bool mMustRead = true;
  bool mIsAway = false;
  Revision mRevision = 0;
  TimePoint mFailedAt{};
  int mFailures = 0;
};

} // namespace gentianloom

#endif
