#include "gentianloom/control/EndpointJob.h"

namespace gentianloom {

namespace {

constexpr int kKeepsPerTtl = 3;

} // namespace

EndpointJob::EndpointJob(EndpointTarget aTarget, const ControlOptions& aRules, TimePoint aNow)
  : mTarget(std::move(aTarget))
  , mRules(aRules)
  , mNotBefore(aNow)
{
}

void EndpointJob::Finish(JobOutcome aEnd, std::string aReason)
{
  mEnd = aEnd;
  mReason = std::move(aReason);
}

bool EndpointJob::Lapsed(TimePoint aNow) const
{
  return mGrant && aNow + mRules.mLeaseMargin >= mGrant->mValidUntil;
}

JobAction EndpointJob::NextAction(TimePoint aNow)
{
  if (mEnd == JobOutcome::None && Lapsed(aNow) &&
      (mPhase == Phase::Settle || mRules.mRecheckAfterSend)) {
    Finish(JobOutcome::Lapsed, "the lease on the endpoint lapsed");
  }
  if (mEnd != JobOutcome::None) {
    return JobAction::End;
  }
  if (mPhase == Phase::Lock) {
    return JobAction::AcquireLock;
  }
  if (mPhase != Phase::Permit && aNow >= mNextKeep) {
    return JobAction::RenewLock;
  }
  if (aNow < mNotBefore) {
    return JobAction::Wait;
  }
  if (mPhase == Phase::Permit) {
    return JobAction::RequestPermit;
  }
  return mPhase == Phase::Settle ? JobAction::Send : JobAction::Observe;
}

void EndpointJob::OnPermitResult(bool aGiven, Millis aComeBack, TimePoint aNow)
{
  if (aGiven) {
    mPhase = Phase::Lock;
  } else {
    mNotBefore = aNow + aComeBack;
    mReason = "waits for a permit of the weight store";
  }
}

void EndpointJob::OnLockResult(const std::optional<LockGrant>& aGrant,
                               std::string aReason,
                               TimePoint aNow)
{
  if (!aGrant) {
    Finish(JobOutcome::Busy, std::move(aReason));
    return;
  }
  mGrant = aGrant;
  mPhase = Phase::Settle;
  mNextKeep = aNow + Millis(mRules.mLeaseTtl) / kKeepsPerTtl;
  mNotBefore = mTarget.mChecksFencing ? aNow : aNow + mRules.mMaxOrderDelay;
  mReason = "waits until no order of an earlier holder can arrive";
}

void EndpointJob::OnRenewed(const std::optional<TimePoint>& aValidUntil, TimePoint aNow)
{
  if (aValidUntil) {
    mGrant->mValidUntil = *aValidUntil;
  }
  const auto pause = aValidUntil ? Millis(mRules.mLeaseTtl) / kKeepsPerTtl : mRules.mObservePause;
  mNextKeep = aNow + pause;
}

EngineOrder EndpointJob::Order() const
{
  return { mTarget.mEngineTarget,
           mTarget.mConfigurationVersion,
           mGrant ? mGrant->mFencingToken : 0 };
}

void EndpointJob::OnSent(OrderResult aAnswer, TimePoint aNow)
{
  mPhase = Phase::Verify;
  mSentAt = aNow;
  mNotBefore = aNow;
  mReason = "loads";
  if (mRules.mRecheckAfterSend && Lapsed(aNow)) {
    Finish(JobOutcome::Lapsed, "the lease lapsed while the order was under way");
  } else if (aAnswer == OrderResult::Refused) {
    Finish(JobOutcome::Lapsed, "the engine holds a newer fencing number");
  }
}

void EndpointJob::OnObserved(const std::optional<EngineStatus>& aStatus, TimePoint aNow)
{
  mNotBefore = aNow + mRules.mObservePause;
  if (mRules.mRecheckAfterSend && Lapsed(aNow)) {
    Finish(JobOutcome::Lapsed, "the lease on the endpoint lapsed");
    return;
  }
  const bool late = aNow - mSentAt > mRules.mMaxOrderDelay;
  if (!aStatus) {
    if (late) {
      Finish(JobOutcome::Failed, "the engine does not answer after the order");
    }
    return;
  }
  if (aStatus->mConfigurationVersion > mTarget.mConfigurationVersion) {
    Finish(JobOutcome::Behind, "the engine holds an order of a newer configuration");
  } else if (aStatus->mTarget != mTarget.mEngineTarget) {
    if (late) {
      Finish(JobOutcome::Failed, "the engine did not take the order");
    }
  } else if (aStatus->mState == EngineState::Ready) {
    Finish(JobOutcome::Succeeded, "");
  } else if (aStatus->mState == EngineState::Failed) {
    Finish(JobOutcome::Failed, "the engine could not load: " + aStatus->mReason);
  } else if (aNow - mSentAt > mRules.mLoadLimit) {
    Finish(JobOutcome::Failed, "loading takes longer than allowed");
  }
}

} // namespace gentianloom
