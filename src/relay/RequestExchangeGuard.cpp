#include "gentianloom/net/HttpStatus.h"
#include "gentianloom/relay/RequestExchange.h"

namespace gentianloom {

std::string RequestExchange::Fingerprint() const
{
  return mCrashKeys.empty() ? std::string() : mCrashKeys.front();
}

std::span<const std::string> RequestExchange::PartKeys() const
{
  return std::span(mCrashKeys).subspan(1);
}

std::optional<Millis> RequestExchange::BlockedFor() const
{
  return mContext.mGuard == nullptr ? std::nullopt : mContext.mGuard->BlockedFor(mCrashKeys);
}

bool RequestExchange::IsSuspect() const
{
  return mContext.mGuard != nullptr && (BlockedFor() || !mContext.mGuard->MayRetry(Fingerprint()));
}

void RequestExchange::RejectBlocked(Millis aTime)
{
  auto error = MakeError(ErrorCode::RequestCrashesEndpoints,
                         Step::RequestPlace,
                         mService,
                         "endpoints ended one after the other under this request or under others "
                         "that share a part of its prompt; it did not run");
  error.mRetryAfter = aTime;
  SendError(net::kUnavailable, error);
}

net::Task<bool> RequestExchange::PassGuard()
{
  if (!BlockedFor()) {
    co_return true;
  }
  mIsTrial = co_await mContext.mGuard->TakeTrial(mCrashKeys);
  if (mIsTrial) {
    co_return true;
  }
  const auto blockedFor = BlockedFor();
  if (blockedFor) {
    RejectBlocked(*blockedFor);
  }
  co_return !blockedFor;
}

void RequestExchange::ReportToGuard()
{
  const auto& end = mLastAttempt.mResponseEnd;
  if (mContext.mGuard == nullptr || !end.mAfterSending) {
    return;
  }
  const auto sentAt = mContext.mClock.Now() - *end.mAfterSending;
  const std::span<const std::string> keys = mCrashKeys;
  if (mLastAttempt.mOutcome == AttemptOutcome::Done) {
    // An error response shows nothing of the prompt: it may come before the endpoint reads it.
    const bool isSuccess = net::IsSuccess(mWriter.Status());
    mContext.mGuard->OnSurvived(isSuccess ? keys : keys.first(1), sentAt);
    return;
  }
  const bool isWriting =
    end.mSinceFirstEvent && *end.mSinceFirstEvent >= RequestGuard::kBeginOfResponse;
  if (mLastAttempt.mOutcome == AttemptOutcome::Interrupted &&
      end.mConnection != net::ChannelState::Open && !isWriting) {
    mContext.mGuard->OnInterrupted(mCrashKeys, sentAt, mPlacement.mEndpoint->mEntry.mAddress);
  }
}

} // namespace gentianloom
