#ifndef GENTIANLOOM_ROUTING_SLOWDOWN_ESTIMATE_H
#define GENTIANLOOM_ROUTING_SLOWDOWN_ESTIMATE_H

#include "gentianloom/base/Clock.h"

#include <cstdint>

namespace gentianloom {

/**
 * @brief Average latencies of a model over all its endpoints: moving geometric means, in
 * milliseconds.
 */
class LatencyBaseline
{
public:
  /// @brief Adds an observed time to the first token.
  void OnFirstToken(double aMs) { UpdateMean(mFirstTokenMs, aMs); }
  /// @brief Adds an observed time per output token.
  void OnTokenTime(double aMs) { UpdateMean(mTokenMs, aMs); }
  /// @brief Adds an observed time from dispatch to the end of the answer.
  void OnTotal(double aMs) { UpdateMean(mTotalMs, aMs); }

  double FirstTokenMs() const { return mFirstTokenMs; }
  double TokenMs() const { return mTokenMs; }
  double TotalMs() const { return mTotalMs; }

private:
  static void UpdateMean(double& aMean, double aMs);

  double mFirstTokenMs = 200;
  double mTokenMs = 20;
  double mTotalMs = 2'000;
};

/**
 * @brief Estimates by which factor one endpoint is slower than the baseline of its model; 1 is
 * average.
 *
 * Without new samples the estimate decays to 1, so that an endpoint that was slow gets requests
 * again.
 */
class SlowdownEstimate
{
public:
  /// @brief Adds one sample. @param aRatio observed time divided by the baseline
  void AddSample(double aRatio, TimePoint aNow);

  /// @brief Observed time relative to the baseline; above 1, the endpoint is slower than average.
  double SlowdownFactor(TimePoint aNow) const;

private:
  double mLogFactor = 0; ///< logarithm of the slowdown factor at mUpdatedAt
  TimePoint mUpdatedAt{};
};

} // namespace gentianloom

#endif
