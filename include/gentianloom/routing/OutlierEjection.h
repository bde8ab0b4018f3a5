#ifndef GENTIANLOOM_ROUTING_OUTLIER_EJECTION_H
#define GENTIANLOOM_ROUTING_OUTLIER_EJECTION_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/routing/AttemptObserver.h"

#include <cstdint>

namespace gentianloom {

/// Whether an endpoint may get requests, by the outcomes of earlier ones.
enum class EjectionState
{
  Healthy,
  Ejected, ///< gets no requests until EjectedUntil()
  Probing  ///< gets one request at a time until enough of them succeed
};

/**
 * @brief Ejects an endpoint whose requests fail and readmits it gradually.
 *
 * An endpoint is ejected after kFailuresToEject consecutive failures. When the ejection ends, it is
 * probed with one request at a time: kSuccessesToRecover complete answers make it healthy, one
 * failure ejects it again, for twice as long up to a limit.
 */
class OutlierEjection
{
public:
  /// @brief Records the outcome of one attempt.
  void OnAttempt(AttemptOutcome aOutcome, TimePoint aNow);

  /// @brief State at a point in time.
  EjectionState StateAt(TimePoint aNow) const;

  /// @brief Time at which the ejection ends and probing starts.
  TimePoint EjectedUntil() const { return mEjectedUntil; }

  /// Consecutive failures that eject an endpoint.
  static constexpr std::int64_t kFailuresToEject = 3;

  /// Complete answers that make a probed endpoint healthy again.
  static constexpr std::int64_t kSuccessesToRecover = 3;

private:
  void Eject(TimePoint aNow);

  bool mIsEjectedOrProbing = false; ///< whether the state is not Healthy
  TimePoint mEjectedUntil{};
  std::int64_t mConsecutiveFailures = 0;
  std::int64_t mSuccesses = 0; ///< complete answers since the last failure
  std::int64_t mEjections = 0; ///< ejections since the endpoint was last healthy
};

} // namespace gentianloom

#endif
