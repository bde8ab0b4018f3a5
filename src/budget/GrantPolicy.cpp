#include "gentianloom/budget/GrantPolicy.h"

#include <cmath>

#include <algorithm>

namespace gentianloom {

Tokens TokensFor(double aDemand, double aSeconds, Tokens aLargest)
{
  constexpr double kDeviations = 1.5;
  const double mean = aDemand * aSeconds;
  return static_cast<Tokens>(mean + kDeviations * std::sqrt(mean * static_cast<double>(aLargest)));
}

namespace {

/// Of what is left, a router takes at most this part of its equal share at a time.
constexpr Tokens kShareDivisor = 2;
/// A router with any demand holds so many of its largest requests.
constexpr Tokens kLargestHeld = 2;

class FixedPolicy final : public GrantPolicy
{
public:
  explicit FixedPolicy(Tokens aTokens)
    : mTokens(aTokens)
  {
  }
  Tokens Target(const GrantInput& /*aInput*/) const override { return mTokens; }

private:
  Tokens mTokens;
};

/// What the demand of the window needs, and never less than two of the largest requests.
class DemandPolicy : public GrantPolicy
{
public:
  explicit DemandPolicy(Millis aWindow)
    : mSeconds(std::chrono::duration<double>(aWindow).count())
  {
  }
  Tokens Target(const GrantInput& aInput) const override
  {
    return std::max(kLargestHeld * aInput.mLargest, static_cast<Tokens>(aInput.mDemand * mSeconds));
  }

protected:
  double Seconds() const { return mSeconds; }

private:
  double mSeconds;
};

/// As demand, but only a part of an equal share of what is left.
class ShrinkingPolicy final : public DemandPolicy
{
public:
  using DemandPolicy::DemandPolicy;
  Tokens Target(const GrantInput& aInput) const override
  {
    const auto share = std::max<Tokens>(0, aInput.mLeft) / (kShareDivisor * aInput.mHolders);
    return std::min(DemandPolicy::Target(aInput), share);
  }
};

} // namespace

/**
 * As demand, but for a router that has to live through outages and may be killed at any time.
 *
 * Before demand is known it holds a part of its equal share, and it never holds more than that
 * share. After an outage the reserve grows again only as fast as time passes: outages seldom follow
 * on each other at once, and kills often come with them.
 */
class OutagePolicy final : public DemandPolicy
{
public:
  using DemandPolicy::DemandPolicy;
  Tokens Target(const GrantInput& aInput) const override
  {
    // Other holders probably have as much as this one.
    const auto whole = std::max<Tokens>(0, aInput.mLeft) / aInput.mHolders + aInput.mFree;
    const auto share = static_cast<Tokens>(static_cast<double>(whole) * kMostShare);
    const double seconds = std::min(Seconds(), kLeastSeconds + aInput.mSteadyFor);
    const auto demand = TokensFor(aInput.mDemand, seconds, aInput.mLargest);
    const auto first = static_cast<double>(share) * kFirstShare * (1 - aInput.mObserved);
    return std::min(std::max(demand, static_cast<Tokens>(first)), share);
  }

private:
  double RefillBelow() const override { return kRefillBelow; }

  /// An outage may begin at any time, so that the reserve is kept nearly full.
  static constexpr double kRefillBelow = 0.85;
  /// Part of the equal share of what is not used that is held at most.
  static constexpr double kMostShare = 0.6;
  /// Part of the equal share that is held before demand is known.
  static constexpr double kFirstShare = 0.25;
  /// Seconds of demand that are held right after an outage.
  static constexpr double kLeastSeconds = 2;
};

std::unique_ptr<GrantPolicy> GrantPolicy::Create(const BudgetSettings& aSettings)
{
  const auto seconds = [](Millis aTime) { return std::chrono::duration<double>(aTime).count(); };
  std::unique_ptr<GrantPolicy> out;
  if (aSettings.mPolicy == "fixed") {
    out = std::make_unique<FixedPolicy>(aSettings.mFixedTokens);
  } else if (aSettings.mPolicy == "demand") {
    out = std::make_unique<DemandPolicy>(aSettings.mDemandWindow);
  } else if (aSettings.mPolicy == "outage") {
    out = std::make_unique<OutagePolicy>(aSettings.mDemandWindow);
  } else {
    out = std::make_unique<ShrinkingPolicy>(aSettings.mDemandWindow);
  }
  out->mDemandMemory = seconds(aSettings.mDemandMemory);
  out->mKeptSeconds = seconds(aSettings.mKeptTime);
  out->mChargeInterval = aSettings.mChargeInterval;
  return out;
}

} // namespace gentianloom
