#include "gentianloom/routing/FirstTokenModel.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// Factor by which the weight of a sample decays with each further sample.
constexpr double kDecay = 0.995;
/// Minimum total weight of the samples before the regression is used.
constexpr double kMinWeight = 30;
/// Milliseconds per token that are assumed before the regression is used.
constexpr double kDefaultSlope = 0.02;
/// Milliseconds at zero tokens that are assumed before the regression is used.
constexpr double kDefaultBase = 50;
/// Bounds of the slope, in milliseconds per token.
constexpr double kMinSlope = 0.002;
constexpr double kMaxSlope = 0.5;
/// Samples above this many milliseconds come from failing endpoints and are ignored.
constexpr double kMaxMillis = 3'000;

} // namespace

void FirstTokenModel::AddSample(double aTokens, double aMillis)
{
  if (aMillis > kMaxMillis) {
    return;
  }
  mWeight = mWeight * kDecay + 1;
  mTokenSum = mTokenSum * kDecay + aTokens;
  mMillisSum = mMillisSum * kDecay + aMillis;
  mTokensSquaredSum = mTokensSquaredSum * kDecay + aTokens * aTokens;
  mTokensTimesMillisSum = mTokensTimesMillisSum * kDecay + aTokens * aMillis;
}

double FirstTokenModel::Slope() const
{
  const double spread = mWeight * mTokensSquaredSum - mTokenSum * mTokenSum;
  if (mWeight < kMinWeight || spread <= 0) {
    return kDefaultSlope;
  }
  const double slope = (mWeight * mTokensTimesMillisSum - mTokenSum * mMillisSum) / spread;
  return std::clamp(slope, kMinSlope, kMaxSlope);
}

double FirstTokenModel::Base() const
{
  if (mWeight < kMinWeight) {
    return kDefaultBase;
  }
  return std::max(1.0, (mMillisSum - Slope() * mTokenSum) / mWeight);
}

double FirstTokenModel::Predict(double aTokens) const
{
  return Base() + Slope() * aTokens;
}

} // namespace gentianloom
