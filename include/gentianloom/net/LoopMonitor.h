#ifndef GENTIANLOOM_NET_LOOP_MONITOR_H
#define GENTIANLOOM_NET_LOOP_MONITOR_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/base/Metrics.h"
#include "gentianloom/net/Task.h"

#include <utility>

namespace gentianloom::net {

/**
 * @brief Measures the delay of an event loop: how much later than requested a timer fires.
 *
 * A long delay means that the process has more work than processor time, so that everything it
 * handles, including disconnects and responses, is handled that much later. The delay is served as
 * the histogram `gentianloom_loop_delay_seconds`, and a long one is logged.
 */
class LoopMonitor
{
public:
  LoopMonitor(Loop& aLoop, const Clock& aClock, Metrics& aMetrics);

  /// @brief Starts measuring. Call it once.
  void Start();

  /// @brief Returns the last measured delay.
  Micros Delay() const { return mDelay; }

  /// @brief Returns the longest delay since the last call, and forgets it.
  Micros TakeLongestDelay() { return std::exchange(mLongestDelay, Micros(0)); }

private:
  Task<void> Run();
  void LogDelay();

  Loop& mLoop;
  const Clock& mClock;
  Histogram& mHistogram;
  Micros mDelay{ 0 };
  Micros mLongestDelay{ 0 };
  TimePoint mLoggedAt{};
};

} // namespace gentianloom::net

#endif
