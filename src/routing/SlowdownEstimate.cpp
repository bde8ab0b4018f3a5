#include "gentianloom/routing/SlowdownEstimate.h"

#include <algorithm>
#include <cmath>

namespace gentianloom {

namespace {

constexpr double kBaselineWeight = 0.02;
constexpr double kEndpointWeight = 0.25;
constexpr double kHalfLifeSeconds = 30;
constexpr double kMinMs = 0.01;
constexpr double kMaxLogFactor = 3.5;

} // namespace

void LatencyBaseline::UpdateMean(double& aMean, double aMs)
{
  const double log = std::log(std::max(aMs, kMinMs));
  aMean = std::exp((1 - kBaselineWeight) * std::log(aMean) + kBaselineWeight * log);
}

void SlowdownEstimate::AddSample(double aRatio, TimePoint aNow)
{
  const double log = std::clamp(std::log(std::max(aRatio, kMinMs)), -kMaxLogFactor, kMaxLogFactor);
  mLogFactor = (1 - kEndpointWeight) * std::log(SlowdownFactor(aNow)) + kEndpointWeight * log;
  mUpdatedAt = aNow;
}

double SlowdownEstimate::SlowdownFactor(TimePoint aNow) const
{
  const std::chrono::duration<double> age = aNow - mUpdatedAt;
  return std::exp(mLogFactor * std::exp2(-age.count() / kHalfLifeSeconds));
}

} // namespace gentianloom
