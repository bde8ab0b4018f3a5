#ifndef GENTIANLOOM_ROUTING_CONCURRENCY_LIMIT_H
#define GENTIANLOOM_ROUTING_CONCURRENCY_LIMIT_H

#include "gentianloom/base/Clock.h"

#include <cstdint>

namespace gentianloom {

/**
 * @brief Adaptive limit (AIMD) on the number of a router's requests in flight on one endpoint.
 *
 * The limit increases additively while first tokens are in time and the limit is used. It decreases
 * multiplicatively when they are late, at most once per second.
 */
class ConcurrencyLimit
{
public:
  /// @param aMax upper bound: the endpoint's slots
  /// @param aTarget maximum time to the first token that counts as in time
  ConcurrencyLimit(std::int64_t aMax, Millis aTarget);

  /// @brief Adjusts the limit after the first token of an answer.
  /// @param aInFlight this router's requests on the endpoint at that time
  void OnFirstToken(Micros aTimeToFirstToken, std::int64_t aInFlight, TimePoint aNow);

  /// @brief Lowers the limit after the endpoint refused a request.
  void OnRefused(TimePoint aNow) { Decrease(aNow); }

  /// @brief Changes the upper bound, after the configuration or a load report changed it.
  void SetMax(std::int64_t aMax);

  /// @brief Number of this router's requests that may be in flight, at least 1.
  std::int64_t Value() const { return static_cast<std::int64_t>(mValue); }

private:
  void Decrease(TimePoint aNow);

  double mMax;
  Millis mTarget;
  double mValue;
  TimePoint mLastDecrease{};
};

} // namespace gentianloom

#endif
