#include "gentianloom/budget/Holding.h"

#include <algorithm>
#include <cmath>

namespace gentianloom {

namespace {

/// A young estimate is raised as if it were at least this part of the memory old.
constexpr double kLeastWeight = 0.15;
/// Demand below this counts as none, tokens a second.
constexpr double kNoDemand = 0.5;
/// Rights above this many times the target are given back.
constexpr Tokens kExcessFactor = 2;

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
  mTaken = 0;
  mTicked = aNow;
  if (mDemand < kNoDemand) {
    mLargest = 0;
  }
}

GrantInput Holding::Input() const
{
  return { mLeftSeen,
           mDemand / std::max(kLeastWeight, mWeight),
           mLargest,
           mHoldersSeen,
           std::max<Tokens>(0, Free()),
           mWeight,
           mSteadyFor };
}

Tokens Holding::Draw(const GrantPolicy& aPolicy, Tokens aLeft) const
{
  auto input = Input();
  input.mLeft = aLeft;
  const auto target = aPolicy.Target(input);
  const auto free = Free();
  // What waits is drawn in any case; more only when part of the target is used up.
  Tokens more = std::max<Tokens>(0, mWanted - free);
  if (static_cast<double>(free - mWanted) < static_cast<double>(target) * aPolicy.RefillBelow()) {
    more = std::max(more, target + mWanted - free);
  }
  return std::clamp<Tokens>(more, 0, std::max<Tokens>(0, aLeft));
}

Tokens Holding::Excess(const GrantPolicy& aPolicy, Tokens aLeft) const
{
  const auto free = Free();
  const auto overdrawn = std::min(free, -aLeft);
  if (mWanted > 0) {
    return std::max<Tokens>(0, overdrawn);
  }
  auto input = Input();
  input.mLeft = std::max<Tokens>(0, aLeft);
  const auto kept = std::max({ aPolicy.Target(input),
                               static_cast<Tokens>(input.mDemand * aPolicy.KeptSeconds()),
                               mLargest });
  const auto idle = free > kExcessFactor * kept ? free - kept : 0;
  return std::max<Tokens>({ 0, overdrawn, idle });
}

bool Holding::IsLow(const GrantPolicy& aPolicy) const
{
  const auto target = static_cast<double>(aPolicy.Target(Input()));
  return mWanted > 0 ||
         (mLeftSeen > 0 && static_cast<double>(Free()) < target * aPolicy.RefillBelow());
}

} // namespace gentianloom
