#ifndef GENTIANLOOM_ROUTING_SLOWDOWN_ESTIMATE_H
#define GENTIANLOOM_ROUTING_SLOWDOWN_ESTIMATE_H

#include "gentianloom/base/Clock.h"

#include <cstdint>

namespace gentianloom {

/**
 * @brief Latencies of a model over all its endpoints: moving geometric means, in
 * milliseconds, of the times that exchanges took.
 */
class LatencyBaseline
{
public:
  void OnFirstToken(double aMs) { UpdateMean(mFirstTokenMs, aMs); }
  void OnTokenTime(double aMs) { UpdateMean(mTokenMs, aMs); }
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

  double SlowdownFactor(TimePoint aNow) const;

private:
  double mLogFactor = 0; ///< logarithm of the slowdown factor
  TimePoint mUpdatedAt{};
};

} // namespace gentianloom

#endif
