#include "gentianloom/budget/Holding.h"

#include <algorithm>
#include <cmath>

namespace gentianloom {

namespace {

/// A young estimate is raised as if it were at least this part of the memory old.
constexpr double kLeastWeight = 0.4;
/// Demand below this counts as none, tokens a second.
constexpr double kNoDemand = 0.5;

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
  if (mRevoked) {
    return 0;
  }
  return mGranted + Received() - mReturned - mReturning - mSpent - mStaged - mReserved - mGiven;
}

void Holding::See(const BudgetRecord& aBudget, const HolderRecord& aOwn)
{
  mLeftSeen = aBudget.Unallocated();
  mPrepaidSeen = aBudget.mPrepaid;
  mHoldersSeen = std::max(1, static_cast<int>(aBudget.mHolders.size()));
  const auto spent = aBudget.Spent() - aOwn.mSpent;
  mOthersRest = std::max<Tokens>(0, aBudget.Granted() - aOwn.Net() - spent);
  // A holder that is closed may leave the record with less than it spent before.
  if (mLeftSeen + Free() >= mRefusedFrom) {
    mRefusedUntil = TimePoint{};
  }
  mOthersTaken += std::max<Tokens>(0, spent - mOthersSpentSeen.value_or(spent));
  mOthersSpentSeen = spent;
}

bool Holding::MayDraw() const
{
  return !mRevoked && (!mLooked || mLeftSeen >= mWantedMost - Free());
}

void Holding::Tick(TimePoint aNow, double aMemory)
{
  const double passed = std::chrono::duration<double>(aNow - mTicked).count();
  if (passed <= 0) {
    return;
  }
  const double weight = std::exp(-passed / aMemory);
  mDemand = weight * mDemand + (1.0 - weight) * static_cast<double>(mTaken) / passed;
  mWeight = weight * mWeight + (1.0 - weight);
  mOthersDemand =
    weight * mOthersDemand + (1.0 - weight) * static_cast<double>(mOthersTaken) / passed;
  mTaken = 0;
  mOthersTaken = 0;
  mTicked = aNow;
  if (mDemand < kNoDemand) {
    mLargest = 0;
  }
}

GrantInput Holding::Input() const
{
  const double weight = std::max(kLeastWeight, mWeight);
  return { mLeftSeen, mDemand / weight, mLargest,     mHoldersSeen, std::max<Tokens>(0, Free()),
           mWeight,   mSteadyFor,       mPrepaidSeen, mOthersRest,  mOthersDemand / weight };
}

Tokens Holding::Draw(const GrantPolicy& aPolicy, Tokens aLeft) const
{
  auto input = Input();
  input.mUnallocated = aLeft;
  const auto target = aPolicy.Target(input);
  const auto free = Free();
  // What waits is drawn in any case; more only when part of the target is used up.
  // What serves none of them is left to others.
  const bool servesOne = aLeft + free >= mWantedLeast;
  Tokens more = servesOne ? std::max<Tokens>(0, mWaitingTokens - free) : 0;
  if (servesOne && static_cast<double>(free - mWaitingTokens) <
                     static_cast<double>(target) * aPolicy.RefillBelow(input)) {
    more = std::max(more, target + mWaitingTokens - free);
  }
  return std::clamp<Tokens>(more, 0, std::max<Tokens>(0, aLeft));
}

Tokens Holding::Excess(const GrantPolicy& aPolicy, Tokens aLeft) const
{
  const auto free = Free();
  const auto overdrawn = std::min(free, -aLeft);
  if (mWaitingTokens > 0) {
    return std::max<Tokens>(0, overdrawn);
  }
  auto input = Input();
  input.mUnallocated = std::max<Tokens>(0, aLeft);
  const auto kept = aPolicy.Kept(input);
  const auto idle = free > aPolicy.GiveBackAbove(input, kept) ? free - kept : 0;
  return std::max<Tokens>({ 0, overdrawn, idle });
}

bool Holding::IsLow(const GrantPolicy& aPolicy) const
{
  const auto input = Input();
  const auto target = static_cast<double>(aPolicy.Target(input));
  return mWaitingTokens > 0 ||
         (mLeftSeen > 0 && static_cast<double>(Free()) < target * aPolicy.RefillBelow(input));
}

} // namespace gentianloom
