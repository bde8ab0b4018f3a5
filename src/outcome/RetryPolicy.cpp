#include "gentianloom/outcome/RetryPolicy.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// Part of the fleet's slack that is used, for changes of the fleet's size.
constexpr double kSlackCaution = 0.5;
/// The slack is divided among no fewer instances, since some may not be known yet.
constexpr std::size_t kLeastInstances = 8;
/// With less, no instance could ever save up one retry of its share.
constexpr double kLeastSlack = 1;

} // namespace

RetryBudget::RetryBudget(double aShare, double aMostSaved)
  : mShare(aShare)
  , mMost(aMostSaved)
  , mSaved(aMostSaved)
{
}

void RetryBudget::SetBurst(double aMostSaved)
{
  const std::lock_guard lock(mMutex);
  mMost = aMostSaved;
  mSaved = std::min(mSaved, mMost);
}

void RetryBudget::OnRequest()
{
  const std::lock_guard lock(mMutex);
  mSaved = std::min(mMost, mSaved + mShare);
}

bool RetryBudget::TryTake()
{
  const std::lock_guard lock(mMutex);
  if (mSaved < 1) {
    return false;
  }
  mSaved -= 1;
  return true;
}

double ComputeRetryBurst(double aFleetSlack, std::size_t aInstances)
{
  const auto instances = std::max(kLeastInstances, aInstances);
  return std::max(kLeastSlack, aFleetSlack * kSlackCaution / static_cast<double>(instances));
}

RetryAction RetryDecision::OnFailure(const AttemptFailure& aFacts,
                                     TimePoint aNow,
                                     RetryBudget& aBudget)
{
  ++mAttempts;
  mAllProved = mAllProved && aFacts.mProvedNotRun;
  const bool allowed = !aFacts.mReachedCaller && (mRepeatable || mAllProved);
  if (!allowed || mAttempts >= kMaxAttempts || aNow >= mDeadline || !aBudget.TryTake()) {
    return FinalAction();
  }
  return RetryAction::Retry;
}

RetryAction RetryDecision::FinalAction() const
{
  return mAllProved ? RetryAction::ReportNotRun : RetryAction::ReportUnknown;
}

} // namespace gentianloom
