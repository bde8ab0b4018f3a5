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
 * @brief Tells peers of rare news at once, on a thread of its own.
 *
 * Announce() waits a bounded time for that, so that a caller that is answered after it and tries
 * another router finds the news there.
 */
class GossipFlusher
{
public:
  /// @param aTell tells the peers; may block
  GossipFlusher(std::function<void()> aTell, Millis aLongestWait)
    : mTell(std::move(aTell))
    , mLongestWait(aLongestWait)
  {
  }
  ~GossipFlusher();

  void Start();
  void Stop();

  /// @brief Asks for a round and waits for its end, but no longer than the limit. Thread-safe.
  void FlushAndWait();

private:
  void Run();

  std::function<void()> mTell;
  Millis mLongestWait;
  std::mutex mMutex;
  std::condition_variable mWake;
  std::condition_variable mTold;
  std::uint64_t mAsked = 0; ///< rounds asked for
  std::uint64_t mDone = 0;  ///< last round that was asked for before the last tell began
  bool mRunning = false;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace gentianloom

#endif
