#ifndef GENTIANLOOM_BUDGET_WRITE_PACER_H
#define GENTIANLOOM_BUDGET_WRITE_PACER_H

#include "gentianloom/base/Clock.h"

namespace gentianloom {

/**
 * @brief Limits the rate of a router's writes to the key-value service.
 *
 * Allows one write per interval, or one per two intervals while no request waits, and a short
 * burst of urgent writes. While the service is unavailable it applies exponential back-off. Does no
 * input or output.
 */
class WritePacer
{
public:
  /// Default maximum of the back-off.
  static constexpr Millis kMaxBackOff{ 10'000 };

  explicit WritePacer(Millis aInterval, Millis aMaxBackOff = kMaxBackOff);

  /// @brief Sets the interval between writes, for example when the fleet grows.
  void SetInterval(Millis aInterval);

  /// @brief Returns the earliest time of the next write. @param aIsUrgent whether requests wait
  TimePoint NextWrite(TimePoint aNow, bool aIsUrgent) const;

  /// @brief Deducts a write, which is about to be made, from the allowance.
  void OnWrite(TimePoint aNow);

  /// @brief Ends the back-off.
  void OnSuccess();

  /// @brief Extends the back-off. @param aJitter random number from 0 to 1, so that routers do not
  ///        all retry at the same time
  void OnFailure(TimePoint aNow, double aJitter);

  /// @brief Whether the last call to the service failed.
  bool IsStoreUnavailable() const { return mFailures > 0; }

private:
  double CreditAt(TimePoint aNow) const;

  Millis mInterval;
  Millis mMaxBackOff;
  double mCredit;         ///< number of writes that were allowed at mLast; may be fractional
  TimePoint mLast{};      ///< time of the last write
  TimePoint mNotBefore{}; ///< end of the back-off
  int mFailures = 0;      ///< consecutive failed calls
};

/**
 * @brief Returns the interval between one router's calls that keeps a fleet within a rate limit.
 * @param aInterval shortest interval to return
 * @param aRouters number of routers in the fleet
 * @param aFleetCallsPerSecond limit for the whole fleet
 */
Millis FleetInterval(Millis aInterval, std::size_t aRouters, std::int64_t aFleetCallsPerSecond);

} // namespace gentianloom

#endif
