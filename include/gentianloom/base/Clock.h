#ifndef GENTIANLOOM_BASE_CLOCK_H
#define GENTIANLOOM_BASE_CLOCK_H

#include <chrono>
#include <ctime>

namespace gentianloom {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;

/// Point in time on the monotonic clock of one process. Not comparable between processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;

/**
 * @brief Source of time. Code that makes decisions gets the time only from a Clock or as an
 * argument, so that tests and simulations can control it.
 */
class Clock
{
public:
  virtual ~Clock() = default;

  /// @brief Returns the monotonic time of this process.
  virtual TimePoint Now() const = 0;

  /// @brief Returns the wall-clock time in milliseconds since 1970-01-01 UTC, for records that
  /// people read.
  virtual Millis WallTime() const = 0;
};

/// The clock of the operating system.
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
 * @brief The clock of the operating system that also advances while the system is suspended.
 *
 * Leases and deadlines keep running on other instances while this process is suspended.
 */
class BootClock final : public Clock
{
public:
  TimePoint Now() const override
  {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    const auto sinceBoot = std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
    return TimePoint(std::chrono::duration_cast<Micros>(sinceBoot));
  }

  Millis WallTime() const override { return SystemClock().WallTime(); }
};

/// A clock that advances only by Advance(), for tests and deterministic simulations.
class ManualClock final : public Clock
{
public:
  TimePoint Now() const override { return mNow; }
  Millis WallTime() const override
  {
    return std::chrono::duration_cast<Millis>(mNow.time_since_epoch());
  }
  void Advance(Micros aDuration) { mNow += aDuration; }

private:
  TimePoint mNow{ std::chrono::hours(1) };
};

} // namespace gentianloom

#endif
