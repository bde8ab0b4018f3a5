#ifndef GENTIANLOOM_BUDGET_WRITE_PACER_H
#define GENTIANLOOM_BUDGET_WRITE_PACER_H

#include "gentianloom/base/Clock.h"

namespace gentianloom {

/**
 * @brief Limits a router's writes to the key-value service: one each interval, half as many
 *        while no request waits, a few urgent ones ahead of it, and exponential back-off while the
 * service is away. Pure.
 */
class WritePacer
{
public:
  /// Longest back-off where none is stated.
  static constexpr Millis kLongestBackOff{ 10'000 };

  explicit WritePacer(Millis aInterval, Millis aLongestBackOff = kLongestBackOff);

  /// @brief Sets the time between writes, for example when the fleet grows.
  void SetInterval(Millis aInterval);

  /// @brief First time at which a write may be made. @param aUrgent whether requests wait for it
  TimePoint NextWrite(TimePoint aNow, bool aUrgent) const;

  /// @brief Notes a write that is about to be made.
  void OnWrite(TimePoint aNow);

  void OnSuccess();

  /// @param aJitter random number from 0 to 1, so that routers do not come back all at once
  void OnFailure(TimePoint aNow, double aJitter);

  /// @brief Whether the service counts as away.
  bool IsStoreUnavailable() const { return mFailures > 0; }

private:
  double CreditAt(TimePoint aNow) const;

  Millis mInterval;
  Millis mLongestBackOff;
  double mCredit; ///< writes that may be made at mLast
  TimePoint mLast{};
  TimePoint mNotBefore{};
  int mFailures = 0;
};

/**
 * @brief Time between calls of one router that keeps a fleet inside a rate.
 * @param aInterval shortest time
 * @param aFleetCalls calls a second of the whole fleet
 */
Millis FleetInterval(Millis aInterval, std::size_t aRouters, std::int64_t aFleetCalls);

} // namespace gentianloom

#endif
