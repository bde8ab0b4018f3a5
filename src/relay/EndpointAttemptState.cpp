#include "gentianloom/base/Jitter.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/relay/EndpointAttempt.h"

#include <algorithm>

namespace gentianloom {

void EndpointAttempt::ObserveEndpointState()
{
  if (IsResponseToThisRequest()) {
    ObserveRateLimit();
    ObserveWarmUp();
    ObserveLeaving();
    ObserveRoom();
  }
  // Without an id it may answer an earlier request, but it comes from this endpoint all the same.
  if (mResponse.mRequestId != ResponseRequestId::Other) {
    ObservePause();
  }
}

void EndpointAttempt::ObserveLeaving()
{
  if (!mResponse.mIsLeaving || mEndpoint->mHasAnnouncedLeaving) {
    return;
  }
  mEndpoint->mHasAnnouncedLeaving = true;
  LogChange(LogLevel::Info,
            "endpoints",
            "an endpoint stated in a response that it is leaving",
            { { "endpoint", mEndpoint->mEntry.mId }, { "request", mRequest.mCallerRequest.mId } });
}

void EndpointAttempt::ObserveRoom()
{
  const auto inFlight = mEndpoint->mLoad.InFlight();
  // As long as nothing was refused, nothing shows that there is less room than stated.
  mEndpoint->mWindow.OnStated(mResponse.mIsBrittle, std::max(inFlight, mEndpoint->mEntry.mSlots));
  if (!mResponse.mDidNotRun) {
    mEndpoint->mWindow.OnServed(inFlight);
  } else if (mResponse.mIsBrittle && mContext.mPermits != nullptr) {
    mContext.mPermits->OnFull(mEndpoint);
  }
}

void EndpointAttempt::ObservePause()
{
  if (mResponse.mIsRetryAfterInvalid) {
    CountPause("invalid");
  }
  if (mResponse.mRetryAfter) {
    mEndpoint->mHold.Begin(*mResponse.mRetryAfter, mContext.mClock.Now(), Jitter());
    CountPause("asked");
    LogChange(LogLevel::Info,
              "endpoints",
              "an endpoint asked for a pause",
              { { "endpoint", mEndpoint->mEntry.mId },
                { "request", mRequest.mCallerRequest.mId },
                { "pause_ms", std::to_string(mResponse.mRetryAfter->count()) } });
  } else if (mIsTrial && IsResponseToThisRequest()) {
    mEndpoint->mHold.OnTrialAnswered();
  }
}

void EndpointAttempt::ObserveRateLimit()
{
  if (mResponse.mIsRateLimitInvalid) {
    mContext.mMetrics.CounterOf("gentianloom_endpoint_limits_invalid_total").Add();
    return;
  }
  const bool isCertain = mResponse.mRequestId == ResponseRequestId::Same;
  if (isCertain && mContext.mPermits != nullptr) {
    mContext.mPermits->OnStated(mEndpoint, mResponse.mRateLimit);
  }
}

void EndpointAttempt::ObserveWarmUp()
{
  if (mResponse.mIsWarmUpInvalid) {
    mContext.mMetrics.CounterOf("gentianloom_endpoint_warm_ups_invalid_total").Add();
    if (mEndpoint->mWarmUp.OnInvalid()) {
      LogChange(
        LogLevel::Warning,
        "endpoints",
        "ignored a warm-up time that is no number in range",
        { { "endpoint", mEndpoint->mEntry.mId }, { "request", mRequest.mCallerRequest.mId } });
    }
    return;
  }
  const bool isCertain = mResponse.mRequestId == ResponseRequestId::Same;
  if (isCertain && mResponse.mWarmUpRemaining && mContext.mPermits != nullptr) {
    mContext.mPermits->OnWarmUpStated(mEndpoint, *mResponse.mWarmUpRemaining);
  }
}

void EndpointAttempt::CountPause(std::string_view aKind) const
{
  mContext.mMetrics
    .CounterOf("gentianloom_endpoint_pauses_total", "kind=\"" + std::string(aKind) + "\"")
    .Add();
}

void EndpointAttempt::RecordOrigin()
{
  if (mHasForwardedEvent || IsAtPeer()) {
    return;
  }
  if (!mProgress.mOrigin) {
    mProgress.mOrigin =
      StreamOrigin{ mEndpoint->mEntry.mService, mEndpoint->mEntry.mSoftwareVersion };
  }
  if (mRequest.mRoute.mIsResumable && mContext.mStreamOrigins != nullptr) {
    mContext.mStreamOrigins->Record(mRequest.mStream, *mProgress.mOrigin);
  }
}

void EndpointAttempt::ReportSurvivedBegin()
{
  const bool isSurvived =
    mFirstEventAt && mContext.mClock.Now() - *mFirstEventAt >= RequestGuard::kBeginOfResponse;
  if (isSurvived && !mHasReportedSurvival && !IsAtPeer() && mContext.mGuard != nullptr) {
    mHasReportedSurvival = true;
    mContext.mGuard->OnSurvived(mRequest.mPartKeys, mRequestSentAt);
  }
}

void EndpointAttempt::NotifyPendingTokensChanged() const
{
  if (mContext.mOnPendingTokensChanged && IsStream()) {
    mContext.mOnPendingTokensChanged();
  }
}

void EndpointAttempt::OnContactLost()
{
  mIsContactLost = true;
  mSignal->Notify();
}

void EndpointAttempt::ReportNotConnected()
{
  if (mContact != nullptr) {
    mContact->OnNotConnected();
  }
}

} // namespace gentianloom
