#include "gentianloom/budget/Holding.h"

#include <algorithm>
#include <cmath>

namespace gentianloom {

namespace {

/// Minimum of the weight by which a new demand estimate is divided; it limits the extrapolation
/// from few observations.
constexpr double kMinEstimateWeight = 0.4;
/// Demand in tokens per second below which the largest request is forgotten.
constexpr double kMinDemand = 0.5;

} // namespace

Tokens Holding::Received() const
{
  Tokens n = 0;
  for (const auto& [giver, tokens] : mReceived) {
    n += tokens;
  }
  return n;
}

Tokens Holding::Free() const
{
  if (mIsRevoked) {
    return 0;
  }
  return mGranted + Received() - mReturned - mReturning - mSpent - mStagedTokens - mReserved -
         mGiven;
}

void Holding::UpdateFromRecord(const BudgetRecord& aBudget, const HolderRecord& aOwn)
{
  mLastUnallocated = aBudget.Unallocated();
  mLastPrepaid = aBudget.mPrepaid;
  mLastHolderCount = std::max(1, aBudget.OpenHolders());
  const auto spent = aBudget.Spent() - aOwn.mSpent;
  mOthersUnspent = std::max<Tokens>(0, aBudget.Granted() - aOwn.NetGranted() - spent);
  if (mLastUnallocated + Free() >= mMinRefusedTokens) {
    mRefusedUntil = TimePoint{};
  }
  // The sum may decrease when a holder is closed.
  mOthersSpentSinceUpdate += std::max<Tokens>(0, spent - mLastOthersSpent.value_or(spent));
  mLastOthersSpent = spent;
}

bool Holding::MayDraw() const
{
  return !mIsRevoked && (!mIsDrawPlanned || mLastUnallocated >= mLargestWaiting - Free());
}

void Holding::UpdateDemand(TimePoint aNow, double aTimeConstant)
{
  const double passed = std::chrono::duration<double>(aNow - mDemandUpdatedAt).count();
  if (passed <= 0) {
    return;
  }
  const double weight = std::exp(-passed / aTimeConstant);
  mDemand = weight * mDemand + (1.0 - weight) * static_cast<double>(mReservedSinceUpdate) / passed;
  mEstimateWeight = weight * mEstimateWeight + (1.0 - weight);
  mOthersDemand =
    weight * mOthersDemand + (1.0 - weight) * static_cast<double>(mOthersSpentSinceUpdate) / passed;
  mReservedSinceUpdate = 0;
  mOthersSpentSinceUpdate = 0;
  mDemandUpdatedAt = aNow;
  if (mDemand < kMinDemand) {
    mLargestRequest = 0;
  }
}

GrantInput Holding::MakeGrantInput() const
{
  const double weight = std::max(kMinEstimateWeight, mEstimateWeight);
  return { mLastUnallocated,
           mDemand / weight,
           mLargestRequest,
           mLastHolderCount,
           std::max<Tokens>(0, Free()),
           mEstimateWeight,
           mSecondsSinceOutage,
           mLastPrepaid,
           mOthersUnspent,
           mOthersDemand / weight };
}

Tokens Holding::Target(const GrantPolicy& aPolicy, const GrantInput& aInput) const
{
  return mHoldsReserve ? aPolicy.Target(aInput) : 0;
}

Tokens Holding::TokensToDraw(const GrantPolicy& aPolicy, Tokens aUnallocated) const
{
  auto input = MakeGrantInput();
  input.mUnallocated = aUnallocated;
  const auto target = Target(aPolicy, input);
  const auto free = Free();
  // Tokens for waiting requests are always drawn, further tokens only below the refill threshold.
  // If a draw could not serve any waiting request, nothing is drawn, so that other routers can use
  // the tokens.
  const bool canServeAny = aUnallocated + free >= mSmallestWaiting;
  Tokens drawn = canServeAny ? std::max<Tokens>(0, mWaitingTokens - free) : 0;
  if (canServeAny && static_cast<double>(free - mWaitingTokens) <
                       static_cast<double>(target) * aPolicy.RefillFraction(input)) {
    drawn = std::max(drawn, target + mWaitingTokens - free);
  }
  return std::clamp<Tokens>(drawn, 0, std::max<Tokens>(0, aUnallocated));
}

Tokens Holding::TokensToReturn(const GrantPolicy& aPolicy, Tokens aUnallocated) const
{
  const auto free = Free();
  const auto overdrawn = std::min(free, -aUnallocated);
  if (mWaitingTokens > 0) {
    return std::max<Tokens>(0, overdrawn);
  }
  auto input = MakeGrantInput();
  input.mUnallocated = std::max<Tokens>(0, aUnallocated);
  const auto kept = mHoldsReserve ? aPolicy.TokensToKeep(input) : mLargestRequest;
  const auto threshold = mHoldsReserve ? aPolicy.ReturnThreshold(input, kept) : kept;
  const auto idle = free > threshold ? free - kept : 0;
  return std::max<Tokens>({ 0, overdrawn, idle });
}

bool Holding::NeedsRefill(const GrantPolicy& aPolicy) const
{
  const auto input = MakeGrantInput();
  const auto target = static_cast<double>(Target(aPolicy, input));
  return mWaitingTokens > 0 || (mLastUnallocated > 0 && static_cast<double>(Free()) <
                                                          target * aPolicy.RefillFraction(input));
}

} // namespace gentianloom
