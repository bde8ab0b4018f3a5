#include "gentianloom/control/EndpointJob.h"

namespace gentianloom {

namespace {

constexpr int kRenewalsPerTtl = 3;

} // namespace

EndpointJob::EndpointJob(EndpointTarget aTarget, const ControlOptions& aOptions, TimePoint aNow)
  : mTarget(std::move(aTarget))
  , mOptions(aOptions)
  , mNextStepAt(aNow)
{
}

void EndpointJob::Finish(JobOutcome aOutcome, std::string aReason)
{
  mOutcome = aOutcome;
  mReason = std::move(aReason);
}

bool EndpointJob::IsLeaseExpired(TimePoint aNow) const
{
  return mGrant && aNow + mOptions.mLeaseMargin >= mGrant->mValidUntil;
}

JobAction EndpointJob::NextAction(TimePoint aNow)
{
  if (mOutcome == JobOutcome::None && IsLeaseExpired(aNow) &&
      (mPhase == Phase::AwaitEarlierOrders || mOptions.mRecheckAfterSend)) {
    Finish(JobOutcome::LockLost, "the lease on the endpoint expired");
  }
  if (mOutcome != JobOutcome::None) {
    return JobAction::End;
  }
  if (mPhase == Phase::AwaitLock) {
    return JobAction::AcquireLock;
  }
  if (mPhase != Phase::AwaitPermit && aNow >= mNextRenewalAt) {
    return JobAction::RenewLock;
  }
  if (aNow < mNextStepAt) {
    return JobAction::Wait;
  }
  if (mPhase == Phase::AwaitPermit) {
    return JobAction::RequestPermit;
  }
  return mPhase == Phase::AwaitEarlierOrders ? JobAction::Send : JobAction::Observe;
}

void EndpointJob::OnPermitResult(bool aIsGranted, Millis aRetryAfter, TimePoint aNow)
{
  if (aIsGranted) {
    mPhase = Phase::AwaitLock;
  } else {
    mNextStepAt = aNow + aRetryAfter;
    mReason = "waiting for a permit from the weight store";
  }
}

void EndpointJob::OnLockResult(const std::optional<LockGrant>& aGrant,
                               std::string aReason,
                               TimePoint aNow)
{
  if (!aGrant) {
    Finish(JobOutcome::LockUnavailable, std::move(aReason));
    return;
  }
  mGrant = aGrant;
  mPhase = Phase::AwaitEarlierOrders;
  mNextRenewalAt = aNow + Millis(mOptions.mLeaseTtl) / kRenewalsPerTtl;
  mNextStepAt = mTarget.mChecksFencing ? aNow : aNow + mOptions.mMaxOrderDelay;
  mReason = "waiting until orders of earlier lock holders can no longer arrive";
}

void EndpointJob::OnRenewed(const std::optional<TimePoint>& aValidUntil, TimePoint aNow)
{
  if (aValidUntil) {
    mGrant->mValidUntil = *aValidUntil;
  }
  const auto delay =
    aValidUntil ? Millis(mOptions.mLeaseTtl) / kRenewalsPerTtl : mOptions.mObserveInterval;
  mNextRenewalAt = aNow + delay;
}

EngineOrder EndpointJob::Order() const
{
  return { mTarget.mEngineTarget,
           mTarget.mConfigurationVersion,
           mGrant ? mGrant->mFencingToken : 0 };
}

void EndpointJob::OnSent(OrderResult aResult, TimePoint aNow)
{
  mPhase = Phase::Verify;
  mSentAt = aNow;
  mNextStepAt = aNow;
  mReason = "the engine is loading";
  if (mOptions.mRecheckAfterSend && IsLeaseExpired(aNow)) {
    Finish(JobOutcome::LockLost, "the lease expired while the order was being sent");
  } else if (aResult == OrderResult::Rejected) {
    Finish(JobOutcome::LockLost, "the engine holds a newer fencing token");
  }
}

void EndpointJob::OnObserved(const std::optional<EngineStatus>& aStatus, TimePoint aNow)
{
  mNextStepAt = aNow + mOptions.mObserveInterval;
  if (mOptions.mRecheckAfterSend && IsLeaseExpired(aNow)) {
    Finish(JobOutcome::LockLost, "the lease on the endpoint expired");
    return;
  }
  const bool isLate = aNow - mSentAt > mOptions.mMaxOrderDelay;
  if (!aStatus) {
    if (isLate) {
      Finish(JobOutcome::Failed, "the engine did not answer after the order was sent");
    }
    return;
  }
  if (aStatus->mConfigurationVersion > mTarget.mConfigurationVersion) {
    Finish(JobOutcome::Superseded, "the engine holds an order of a newer configuration");
  } else if (aStatus->mTarget != mTarget.mEngineTarget) {
    if (isLate) {
      Finish(JobOutcome::Failed, "the engine did not apply the order");
    }
  } else if (aStatus->mState == EngineState::Ready) {
    Finish(JobOutcome::Succeeded, "");
  } else if (aStatus->mState == EngineState::Failed) {
    Finish(JobOutcome::Failed, "the engine failed to load: " + aStatus->mReason);
  } else if (aNow - mSentAt > mOptions.mLoadTimeout) {
    Finish(JobOutcome::Failed, "loading timed out");
  }
}

} // namespace gentianloom
