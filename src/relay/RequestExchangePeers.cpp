#include "gentianloom/net/HttpStatus.h"
#include "gentianloom/relay/RequestExchange.h"

namespace gentianloom {

namespace {

/// Other instances that are asked to serve a request, one after the other.
constexpr int kMaxPeerAttempts = 3;

} // namespace

bool RequestExchange::IsContactLost() const
{
  const auto it = mContext.mContacts.find(mService);
  return it != mContext.mContacts.end() && it->second.IsLost();
}

bool RequestExchange::WasNoEndpointReached() const
{
  return !mRequestMayHaveRun && !mTriedEndpoints.empty() &&
         mNotReachedAttempts == mTriedEndpoints.size();
}

bool RequestExchange::MayAskPeers() const
{
  const bool isAllowed = mContext.mPeers != nullptr && mSource == RequestSource::Caller;
  const bool isSafe = !mRequestMayHaveRun || mRoute->IsRepeatable();
  return isAllowed && isSafe && mWriter.State() == ResponseState::NotStarted &&
         !mWriter.IsCallerDisconnected() && TimeLeft() > Micros(0);
}

net::Task<void> RequestExchange::RunAtPeers()
{
  if (!mRequestMayHaveRun) {
    SettleTokens(); // the instance that serves the request reserves them for itself
  }
  for (int n = 0; n < kMaxPeerAttempts && MayAskPeers(); ++n) {
    mPlacement = {};
    mPlacement.mEndpoint = mContext.mPeers->Choose(mService, mTriedPeers, mAllowedZones);
    if (!mPlacement.mEndpoint) {
      break;
    }
    co_await RunAttempt();
    mTriedPeers.push_back(mPlacement.mEndpoint->mEntry.mId);
    if (mLastAttempt.mOutcome == AttemptOutcome::Done) {
      if (net::IsSuccess(mWriter.Status())) {
        ReleaseTokens(); // charged by the instance that served the request
      }
      co_return;
    }
    if (mLastAttempt.mOutcome == AttemptOutcome::CallerDisconnected) {
      co_return;
    }
    const bool mayTryNext = mLastAttempt.mOutcome == AttemptOutcome::NotReached;
    LogFailedAttempt(mayTryNext);
    if (!mayTryNext) {
      break;
    }
  }
  ReportFailedAttempts();
}

} // namespace gentianloom
