#include "gentianloom/routing/SlowdownEstimate.h"

#include <algorithm>
#include <cmath>

namespace gentianloom {

namespace {

/// Weight of one sample in the moving mean of a baseline.
constexpr double kBaselineWeight = 0.02;
/// Weight of one sample in the moving mean of an endpoint.
constexpr double kEndpointWeight = 0.25;
/// Half-life of the logarithm of the slowdown factor without new samples.
constexpr double kHalfLifeSeconds = 30;
/// Lower bound of a sample, in milliseconds or as a ratio: 0 has no logarithm.
constexpr double kMinSample = 0.01;
/// Bound of the logarithm of one sample: a factor of about 33.
constexpr double kMaxLogFactor = 3.5;

} // namespace

void LatencyBaseline::UpdateMean(double& aMean, double aMs)
{
  const double logMs = std::log(std::max(aMs, kMinSample));
  aMean = std::exp((1 - kBaselineWeight) * std::log(aMean) + kBaselineWeight * logMs);
}

void SlowdownEstimate::AddSample(double aRatio, TimePoint aNow)
{
  const double logRatio =
    std::clamp(std::log(std::max(aRatio, kMinSample)), -kMaxLogFactor, kMaxLogFactor);
  mLogFactor = (1 - kEndpointWeight) * std::log(SlowdownFactor(aNow)) + kEndpointWeight * logRatio;
  mUpdatedAt = aNow;
}

double SlowdownEstimate::SlowdownFactor(TimePoint aNow) const
{
  const std::chrono::duration<double> age = aNow - mUpdatedAt;
  return std::exp(mLogFactor * std::exp2(-age.count() / kHalfLifeSeconds));
}

} // namespace gentianloom
