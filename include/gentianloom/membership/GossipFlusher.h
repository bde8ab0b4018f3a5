#ifndef GENTIANLOOM_MEMBERSHIP_GOSSIP_FLUSHER_H
#define GENTIANLOOM_MEMBERSHIP_GOSSIP_FLUSHER_H

#include "gentianloom/base/Clock.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>

namespace gentianloom {

/**
 * @brief Sends pending gossip to peers immediately, on its own thread.
 *
 * FlushAndWait() waits for the flush, up to a limit. If a request is answered only after that and
 * its caller retries at another router, that router normally has the gossip already; it may not if
 * the limit was reached.
 */
class GossipFlusher
{
public:
  /// @param aFlush sends the gossip; may block
  /// @param aMaxWait longest wait of FlushAndWait()
  GossipFlusher(std::function<void()> aFlush, Millis aMaxWait)
    : mFlush(std::move(aFlush))
    , mMaxWait(aMaxWait)
  {
  }
  ~GossipFlusher();

  void Start();
  void Stop();

  /// @brief Requests a flush and waits until it is complete or the limit has passed. Thread-safe.
  /// Returns at once unless the thread is running.
  void FlushAndWait();

private:
  void Run();

  std::function<void()> mFlush;
  Millis mMaxWait;
  std::mutex mMutex;
  std::condition_variable mWake;
  std::condition_variable mFlushedCondition;
  std::uint64_t mRequestedRounds = 0; ///< number of flushes requested
  std::uint64_t mCompletedRound = 0;  ///< mRequestedRounds when the last completed flush began
  bool mRunning = false;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace gentianloom

#endif
