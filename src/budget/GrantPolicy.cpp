#include "gentianloom/budget/GrantPolicy.h"

#include "gentianloom/budget/OutagePolicy.h"

#include <cmath>

#include <algorithm>

namespace gentianloom {

Tokens DemandTokens(double aDemand, double aSeconds, Tokens aLargestRequest)
{
  constexpr double kStandardDeviations = 1.5;
  const double mean = aDemand * aSeconds;
  return static_cast<Tokens>(mean + kStandardDeviations *
                                      std::sqrt(mean * static_cast<double>(aLargestRequest)));
}

namespace {

/// The target of ShrinkingPolicy is at most an equal share of the unallocated tokens, divided by
/// this.
constexpr Tokens kShareDivisor = 2;
/// DemandPolicy holds tokens for at least this many of the largest requests.
constexpr Tokens kMinRequestsHeld = 2;

/// Holds a configured number of tokens.
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

/// Holds tokens for the demand of a time window, and for at least two of the largest requests.
class DemandPolicy : public GrantPolicy
{
public:
  explicit DemandPolicy(Millis aWindow)
    : mSeconds(std::chrono::duration<double>(aWindow).count())
  {
  }
  Tokens Target(const GrantInput& aInput) const override
  {
    return std::max(kMinRequestsHeld * aInput.mLargestRequest,
                    static_cast<Tokens>(aInput.mDemand * mSeconds));
  }

protected:
  double Seconds() const { return mSeconds; }

private:
  double mSeconds;
};

/// Like DemandPolicy, but limited to a part of an equal share of the unallocated tokens.
class ShrinkingPolicy final : public DemandPolicy
{
public:
  using DemandPolicy::DemandPolicy;
  Tokens Target(const GrantInput& aInput) const override
  {
    const auto share = std::max<Tokens>(0, aInput.mUnallocated) / (kShareDivisor * aInput.mHolders);
    return std::min(DemandPolicy::Target(aInput), share);
  }
};

} // namespace

Tokens GrantPolicy::TokensToKeep(const GrantInput& aInput) const
{
  const auto demand = static_cast<Tokens>(aInput.mDemand * mKeptSeconds);
  return std::max({ Target(aInput), demand, aInput.mLargestRequest });
}

Tokens GrantPolicy::ReturnThreshold(const GrantInput& /*aInput*/, Tokens aKept) const
{
  constexpr Tokens kFactor = 2;
  return kFactor * aKept;
}

std::unique_ptr<GrantPolicy> GrantPolicy::Create(const BudgetSettings& aSettings)
{
  const auto seconds = [](Millis aTime) { return std::chrono::duration<double>(aTime).count(); };
  std::unique_ptr<GrantPolicy> out;
  if (aSettings.mPolicy == "fixed") {
    out = std::make_unique<FixedPolicy>(aSettings.mFixedTokens);
  } else if (aSettings.mPolicy == "demand") {
    out = std::make_unique<DemandPolicy>(aSettings.mDemandWindow);
  } else if (aSettings.mPolicy == "outage") {
    out = std::make_unique<OutagePolicy>(seconds(aSettings.mDemandWindow));
  } else {
    out = std::make_unique<ShrinkingPolicy>(aSettings.mDemandWindow);
  }
  out->mDemandMemory = seconds(aSettings.mDemandTimeConstant);
  out->mKeptSeconds = seconds(aSettings.mMinKeptTime);
  out->mChargeInterval = aSettings.mChargeInterval;
  return out;
}

} // namespace gentianloom
