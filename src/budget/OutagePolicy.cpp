#include "gentianloom/budget/OutagePolicy.h"

#include <algorithm>
#include <limits>

namespace gentianloom {

namespace {

/// Fraction of the target below which a refill is due. It is high because an outage may begin at
/// any time.
constexpr double kRefillFraction = 0.85;
/// The same if a budget has more than kLargeFleetHolders holders: most of their writes conflict.
constexpr double kRefillFractionLargeFleet = 0.35;
constexpr int kLargeFleetHolders = 12;
/// If more than this fraction of the fleet's unspent tokens is unallocated, the routers of a large
/// fleet return no tokens.
constexpr double kPlentifulShare = 0.25;
/// Fraction of the fleet's unspent tokens that all routers together hold at most, each in
/// proportion to its share of the demand.
constexpr double kMaxShare = 0.5;
/// The same for a router that receives all of the demand.
constexpr double kMaxShareSoleRouter = 0.6;
/// Fraction of Bound() that is held before demand is known.
constexpr double kInitialShare = 0.25;
/// Seconds of demand for which tokens are held right after an outage.
constexpr double kMinDemandSeconds = 2;
/// A budget is pooled when less than this fraction of it is unspent.
constexpr double kPooledShare = 0.1;
/// Seconds of demand for which tokens of a pooled budget are held.
constexpr double kPooledSeconds = 0.5;
/// The same for a router that receives nearly all of the demand: no other router needs the pool.
constexpr double kPooledSecondsSoleRouter = 2;
/// Share of the demand from which a router counts as the sole router that receives demand.
constexpr double kSoleRouterDemandShare = 0.7;
/// Addition to the return threshold of a pooled budget, as a fraction of the budget: the return of
/// fewer tokens is not worth a write.
constexpr double kPooledReturnSlack = 0.0005;
/// Free tokens above this multiple of the tokens to keep are returned.
constexpr double kReturnFactor = 1.5;

/// Returns the unspent tokens of the budget in the whole fleet, as far as this router knows.
Tokens FleetUnspent(const GrantInput& aInput)
{
  return std::max<Tokens>(0, aInput.mUnallocated) + aInput.mFree + aInput.mOthersUnspent;
}

/// Returns this router's share of the fleet's demand, at least an equal share. Other routers report
/// with a delay, so an equal share is assumed as long as demand has not been observed.
double DemandShare(const GrantInput& aInput)
{
  const double equal = 1.0 / aInput.mHolders;
  const double total = aInput.mDemand + aInput.mOthersDemand;
  const double observed = total > 0 ? std::max(equal, aInput.mDemand / total) : equal;
  return aInput.mObservedFraction * observed + (1 - aInput.mObservedFraction) * equal;
}

} // namespace

bool OutagePolicy::IsPooled(const GrantInput& aInput)
{
  const auto unspent = static_cast<double>(FleetUnspent(aInput));
  return aInput.mPrepaid > 0 && unspent < kPooledShare * static_cast<double>(aInput.mPrepaid);
}

Tokens OutagePolicy::Bound(const GrantInput& aInput) const
{
  const double demandShare = DemandShare(aInput);
  const double maxShare = kMaxShare + (kMaxShareSoleRouter - kMaxShare) * demandShare * demandShare;
  // Tokens held by others cannot be drawn until they return them.
  const auto reachable =
    static_cast<double>(std::max<Tokens>(0, aInput.mUnallocated) + aInput.mFree);
  const auto unspent = static_cast<double>(FleetUnspent(aInput));
  return static_cast<Tokens>(std::min(reachable, unspent * demandShare * maxShare));
}

Tokens OutagePolicy::Target(const GrantInput& aInput) const
{
  if (IsPooled(aInput)) {
    const bool isSoleRouter = DemandShare(aInput) >= kSoleRouterDemandShare;
    return static_cast<Tokens>(aInput.mDemand *
                               (isSoleRouter ? kPooledSecondsSoleRouter : kPooledSeconds));
  }
  const auto bound = Bound(aInput);
  const double seconds = std::min(mSeconds, kMinDemandSeconds + aInput.mSecondsSinceOutage);
  const auto demand = DemandTokens(aInput.mDemand, seconds, aInput.mLargestRequest);
  const auto initial = static_cast<double>(bound) * kInitialShare * (1 - aInput.mObservedFraction);
  return std::min(std::max(demand, static_cast<Tokens>(initial)), bound);
}

Tokens OutagePolicy::TokensToKeep(const GrantInput& aInput) const
{
  return IsPooled(aInput) ? Target(aInput) : GrantPolicy::TokensToKeep(aInput);
}

Tokens OutagePolicy::ReturnThreshold(const GrantInput& aInput, Tokens aKept) const
{
  const auto plentiful = static_cast<double>(FleetUnspent(aInput)) * kPlentifulShare;
  const bool isLargeFleet = aInput.mHolders > kLargeFleetHolders;
  if (isLargeFleet && !IsPooled(aInput) && static_cast<double>(aInput.mUnallocated) > plentiful) {
    return std::numeric_limits<Tokens>::max();
  }
  const double slack =
    IsPooled(aInput) ? static_cast<double>(aInput.mPrepaid) * kPooledReturnSlack : 0;
  return static_cast<Tokens>(static_cast<double>(aKept) * kReturnFactor + slack);
}

double OutagePolicy::RefillFraction(const GrantInput& aInput) const
{
  return aInput.mHolders > kLargeFleetHolders ? kRefillFractionLargeFleet : kRefillFraction;
}

} // namespace gentianloom
