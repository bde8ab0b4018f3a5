#include "gentianloom/routing/FirstTokenModel.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// Part of an observation's weight that is left after the next one.
constexpr double kMemory = 0.995;
/// Observations before the line is relied on.
constexpr double kEnough = 30;
/// Milliseconds a token and at no tokens, before that.
constexpr double kFirstSlope = 0.02;
constexpr double kFirstBase = 50;
/// Bounds on what a line may say.
constexpr double kLeastSlope = 0.002;
constexpr double kMostSlope = 0.5;
/// Observations that took longer are those of failing endpoints, milliseconds.
constexpr double kMostMillis = 3'000;

} // namespace

void FirstTokenModel::Learn(double aTokens, double aMillis)
{
  if (aMillis > kMostMillis) {
    return;
  }
  mWeight = mWeight * kMemory + 1;
  mTokens = mTokens * kMemory + aTokens;
  mMillis = mMillis * kMemory + aMillis;
  mTokensSquared = mTokensSquared * kMemory + aTokens * aTokens;
  mProduct = mProduct * kMemory + aTokens * aMillis;
}

double FirstTokenModel::Slope() const
{
  const double spread = mWeight * mTokensSquared - mTokens * mTokens;
  if (mWeight < kEnough || spread <= 0) {
    return kFirstSlope;
  }
  const double slope = (mWeight * mProduct - mTokens * mMillis) / spread;
  return std::clamp(slope, kLeastSlope, kMostSlope);
}

double FirstTokenModel::Base() const
{
  if (mWeight < kEnough) {
    return kFirstBase;
  }
  return std::max(1.0, (mMillis - Slope() * mTokens) / mWeight);
}

double FirstTokenModel::Predict(double aTokens) const
{
  return Base() + Slope() * aTokens;
}

} // namespace gentianloom
