#include "gentianloom/net/LoopMonitor.h"

#include "gentianloom/base/Log.h"
#include "gentianloom/net/Signal.h"

#include <algorithm>
#include <string>

namespace gentianloom::net {

namespace {

/// Time between two measurements.
constexpr Millis kProbeInterval{ 100 };
/// Delays from this one on are logged.
constexpr Millis kLoggedDelay{ 200 };
/// Minimum time between two log lines.
constexpr Millis kMinLogInterval{ 1'000 };

} // namespace

LoopMonitor::LoopMonitor(Loop& aLoop, const Clock& aClock, Metrics& aMetrics)
  : mLoop(aLoop)
  , mClock(aClock)
  , mHistogram(aMetrics.HistogramOf("gentianloom_loop_delay_seconds"))
{
}

void LoopMonitor::Start()
{
  net::Start(mLoop, "loop monitor", Run());
}

Task<void> LoopMonitor::Run()
{
  while (true) {
    const auto startedAt = mClock.Now();
    co_await Signal::Sleep(mLoop, kProbeInterval);
    mDelay = std::max(Micros(0), mClock.Now() - startedAt - kProbeInterval);
    mLongestDelay = std::max(mLongestDelay, mDelay);
    mHistogram.Observe(std::chrono::duration<double>(mDelay).count());
    LogDelay();
  }
}

void LoopMonitor::LogDelay()
{
  const auto now = mClock.Now();
  if (mDelay < kLoggedDelay || now - mLoggedAt < kMinLogInterval) {
    return;
  }
  mLoggedAt = now;
  const auto delay = std::chrono::duration_cast<Millis>(mDelay);
  LogChange(LogLevel::Warning,
            "net",
            "the event loop is delayed",
            { { "delay_ms", std::to_string(delay.count()) } });
}

} // namespace gentianloom::net
