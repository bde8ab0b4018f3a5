#include "gentianloom/budget/OutagePolicy.h"

#include <algorithm>
#include <limits>

namespace gentianloom {

namespace {

/// An outage may begin at any time, so that the reserve is kept nearly full.
constexpr double kRefillBelow = 0.85;
/// The same in a fleet of more than kManyHolders, where most writes meet others' writes.
constexpr double kRefillBelowOfMany = 0.35;
constexpr int kManyHolders = 12;
/// In such a fleet nothing is given back while at least this part of what is unspent is granted to
/// nobody.
constexpr double kPlenty = 0.25;
/// Part of what the fleet has not spent that routers hold at most, by their part of the demand.
constexpr double kMostShare = 0.5;
/// The same for a router that nearly all of the demand meets.
constexpr double kMostShareAlone = 0.6;
/// Part of the equal share that is held before demand is known.
constexpr double kFirstShare = 0.25;
/// Seconds of demand that are held right after an outage.
constexpr double kLeastSeconds = 2;
/// Part of a budget that is pooled at its end.
constexpr double kPooledShare = 0.1;
/// Seconds of demand that are held of a pooled budget.
constexpr double kPooledSeconds = 0.5;
/// The same for a router that nearly all of the demand meets: there is no one to pool with.
constexpr double kPooledSecondsAlone = 2;
/// Part of the demand from which on a router counts as such.
constexpr double kAlone = 0.7;
/// Free rights of a pooled budget that are not worth a write, as a part of the budget.
constexpr double kPooledSlack = 0.0005;
/// Free rights beyond this many times what is kept are given back.
constexpr double kGiveBackFactor = 1.5;

Tokens Unspent(const GrantInput& aInput)
{
  return std::max<Tokens>(0, aInput.mUnallocated) + aInput.mFree + aInput.mOthersRest;
}

/// Part of the fleet's demand that meets this router. What others spent is known late, so equal
/// parts count for as much as demand is not observed yet.
double PartOfDemand(const GrantInput& aInput)
{
  const double equal = 1.0 / aInput.mHolders;
  const double all = aInput.mDemand + aInput.mOthersDemand;
  const double seen = all > 0 ? std::max(equal, aInput.mDemand / all) : equal;
  return aInput.mObserved * seen + (1 - aInput.mObserved) * equal;
}

} // namespace

bool OutagePolicy::IsPooled(const GrantInput& aInput)
{
  const auto unspent = static_cast<double>(Unspent(aInput));
  return aInput.mPrepaid > 0 && unspent < kPooledShare * static_cast<double>(aInput.mPrepaid);
}

Tokens OutagePolicy::Bound(const GrantInput& aInput) const
{
  const double part = PartOfDemand(aInput);
  const double most = kMostShare + (kMostShareAlone - kMostShare) * part * part;
  // What others hold is not to be had, but for what they give back.
  const auto own = static_cast<double>(std::max<Tokens>(0, aInput.mUnallocated) + aInput.mFree);
  const auto all = static_cast<double>(Unspent(aInput));
  return static_cast<Tokens>(std::min(own, all * part * most));
}

Tokens OutagePolicy::Target(const GrantInput& aInput) const
{
  if (IsPooled(aInput)) {
    const bool isAlone = PartOfDemand(aInput) >= kAlone;
    return static_cast<Tokens>(aInput.mDemand * (isAlone ? kPooledSecondsAlone : kPooledSeconds));
  }
  const auto bound = Bound(aInput);
  const double seconds = std::min(mSeconds, kLeastSeconds + aInput.mSteadyFor);
  const auto demand = TokensFor(aInput.mDemand, seconds, aInput.mLargest);
  const auto first = static_cast<double>(bound) * kFirstShare * (1 - aInput.mObserved);
  return std::min(std::max(demand, static_cast<Tokens>(first)), bound);
}

Tokens OutagePolicy::Kept(const GrantInput& aInput) const
{
  return IsPooled(aInput) ? Target(aInput) : GrantPolicy::Kept(aInput);
}

Tokens OutagePolicy::GiveBackAbove(const GrantInput& aInput, Tokens aKept) const
{
  const auto plenty = static_cast<double>(Unspent(aInput)) * kPlenty;
  const bool isLarge = aInput.mHolders > kManyHolders;
  if (isLarge && !IsPooled(aInput) && static_cast<double>(aInput.mUnallocated) > plenty) {
    return std::numeric_limits<Tokens>::max();
  }
  const double slack = IsPooled(aInput) ? static_cast<double>(aInput.mPrepaid) * kPooledSlack : 0;
  return static_cast<Tokens>(static_cast<double>(aKept) * kGiveBackFactor + slack);
}

double OutagePolicy::RefillBelow(const GrantInput& aInput) const
{
  return aInput.mHolders > kManyHolders ? kRefillBelowOfMany : kRefillBelow;
}

} // namespace gentianloom
