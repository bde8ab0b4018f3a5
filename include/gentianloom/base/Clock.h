#ifndef GENTIANLOOM_BASE_CLOCK_H
#define GENTIANLOOM_BASE_CLOCK_H

#include <chrono>
#include <ctime>

namespace gentianloom {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;

/// Point in time on a router's own monotone clock. Never compared between processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;

/**
 * @brief Source of time; decision code takes time only through it or as an argument.
 */
class Clock
{
public:
  virtual ~Clock() = default;

  /// @brief Returns the monotone time of this process.
  virtual TimePoint Now() const = 0;

  /// @brief Returns wall-clock milliseconds since 1970-01-01 UTC, for records people read.
  virtual Millis WallTime() const = 0;
};

/// The machine's clock.
class SystemClock final : public Clock
{
public:
  TimePoint Now() const override
  {
    return std::chrono::time_point_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now());
  }

  Millis WallTime() const override
  {
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch());
  }
};

/**
 * @brief The machine's clock that also counts the time in which the machine was suspended.
 *
 * Leases and deadlines run on elsewhere while this process stands still.
 */
class BootClock final : public Clock
{
public:
  TimePoint Now() const override
  {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    const auto since = std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
    return TimePoint(std::chrono::duration_cast<Micros>(since));
  }

  Millis WallTime() const override { return SystemClock().WallTime(); }
};

/// A clock that moves only when told to, for tests and deterministic runs.
class ManualClock final : public Clock
{
public:
  TimePoint Now() const override { return mNow; }
  Millis WallTime() const override
  {
    return std::chrono::duration_cast<Millis>(mNow.time_since_epoch());
  }
  void Advance(Micros aStep) { mNow += aStep; }

private:
  TimePoint mNow{ std::chrono::hours(1) };
};

} // namespace gentianloom

#endif
