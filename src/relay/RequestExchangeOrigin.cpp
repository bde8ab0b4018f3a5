#include "gentianloom/relay/RequestExchange.h"

#include <algorithm>

// The part of RequestExchange that finds what began a stream which a request takes up again.

namespace gentianloom {

StreamKey RequestExchange::Stream() const
{
  const auto& begunBy = mRequest.mResumedRequest.empty() ? mRequest.mId : mRequest.mResumedRequest;
  return MakeStreamKey(mAccount == nullptr ? std::string() : mAccount->mName, begunBy);
}

net::Task<bool> RequestExchange::FindStreamOrigin()
{
  const bool isResume = mRequest.mResumeAfter || !mRequest.mResumedRequest.empty();
  if (mRoute->mKind != RouteKind::Streaming || !isResume) {
    co_return true;
  }
  mProgress.mLastEventId = mRequest.mResumeAfter;
  if (!mRequest.mResumedRequest.empty() && mContext.mStreamOrigins != nullptr) {
    mProgress.mOrigin = co_await mContext.mStreamOrigins->Find(Stream());
  }
  if (!mProgress.mOrigin) {
    mProgress.mOrigin = co_await FindSoleOrigin();
  }
  if (!mProgress.mOrigin) {
    RejectResume("the software version that began this stream is not known");
    co_return false;
  }
  const auto& service = mProgress.mOrigin->mService;
  const auto& services = mRoute->mServices;
  const bool isOnRoute = std::any_of(
    services.begin(), services.end(), [&](const auto& it) { return it.mService == service; });
  if (!isOnRoute) {
    RejectResume("the service that began this stream is not on its route any more");
    co_return false;
  }
  mService = service;
  co_return true;
}

net::Task<std::optional<StreamOrigin>> RequestExchange::FindSoleOrigin()
{
  if (!SoleOrigin()) {
    co_return std::nullopt;
  }
  if (mContext.mRecordedVersions != nullptr) {
    // Streams begin at recorded versions only, so a record that is read now names all that can have
    // begun this one, also those that this instance has not heard of.
    const bool isRead = co_await mContext.mRecordedVersions->Refresh();
    if (!isRead) {
      co_return std::nullopt;
    }
  }
  co_return SoleOrigin();
}

std::optional<StreamOrigin> RequestExchange::SoleOrigin() const
{
  if (mRoute->mServices.size() != 1) {
    return std::nullopt;
  }
  auto version = mContext.mVersionHistory.SoleVersion(mService, mContext.mClock.Now());
  if (!version) {
    return std::nullopt;
  }
  return StreamOrigin{ mService, std::move(*version) };
}

} // namespace gentianloom
