#include "gentianloom/outcome/RetryPolicy.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// Fraction of the fleet's burst that is handed out; the rest allows for changes of the fleet size.
constexpr double kBurstSafetyFactor = 0.5;
/// Minimum divisor of the fleet's burst, because some instances may not be known yet.
constexpr std::size_t kMinInstances = 8;
/// A bucket with a smaller capacity could never hold a whole retry.
constexpr double kMinBurst = 1;

} // namespace

RetryBudget::RetryBudget(double aRatio, double aBurst)
  : mRatio(aRatio)
  , mBurst(aBurst)
  , mAvailable(aBurst)
{
}

void RetryBudget::SetBurst(double aBurst)
{
  const std::lock_guard lock(mMutex);
  mBurst = aBurst;
  mAvailable = std::min(mAvailable, mBurst);
}

void RetryBudget::OnRequest()
{
  const std::lock_guard lock(mMutex);
  mAvailable = std::min(mBurst, mAvailable + mRatio);
}

bool RetryBudget::TryTake()
{
  const std::lock_guard lock(mMutex);
  if (mAvailable < 1) {
    return false;
  }
  mAvailable -= 1;
  return true;
}

RetryBudgets::RetryBudgets(double aRatio, double aBurst)
  : mRatio(aRatio)
  , mBurst(aBurst)
{
}

RetryBudget& RetryBudgets::Of(std::string_view aService)
{
  const auto it = mBudgets.find(aService);
  return it != mBudgets.end()
           ? it->second
           : mBudgets.try_emplace(std::string(aService), mRatio, mBurst).first->second;
}

void RetryBudgets::SetBurst(double aBurst)
{
  mBurst = aBurst;
  for (auto& [service, it] : mBudgets) {
    it.SetBurst(aBurst);
  }
}

double ComputeRetryBurst(double aFleetBurst, std::size_t aInstances)
{
  const auto instances = std::max(kMinInstances, aInstances);
  return std::max(kMinBurst, aFleetBurst * kBurstSafetyFactor / static_cast<double>(instances));
}

RetryAction RetryDecision::OnFailure(const AttemptFailure& aFailure,
                                     TimePoint aNow,
                                     RetryBudget& aBudget)
{
  ++mAttempts;
  mNoAttemptRan = mNoAttemptRan && aFailure.mRequestDidNotRun;
  const bool isRetryAllowed = !aFailure.mReachedCaller && (mIsIdempotent || mNoAttemptRan);
  if (!isRetryAllowed || mAttempts >= kMaxAttempts || aNow >= mDeadline || !aBudget.TryTake()) {
    return FinalAction();
  }
  return RetryAction::Retry;
}

RetryAction RetryDecision::FinalAction() const
{
  return mNoAttemptRan ? RetryAction::ReportNotRun : RetryAction::ReportUnknown;
}

} // namespace gentianloom
