#include "gentianloom/base/Ids.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/relay/RequestExchange.h"

#include <algorithm>
#include <span>

// The part of RequestExchange that chooses an endpoint.

namespace gentianloom {

namespace {

/// Endpoints with a rate limit that may turn a request away; after them it goes to one without.
constexpr int kMaxDenials = 3;

} // namespace

net::Task<void> RequestExchange::Place()
{
  for (int denials = 0;; ++denials) {
    mPlacement = ChooseEndpoint(denials >= kMaxDenials);
    if (mIsNoneRecorded && mContext.mRecordedVersions != nullptr) {
      // Another instance may have recorded one that this instance has not read yet.
      co_await mContext.mRecordedVersions->Refresh();
      mPlacement = ChooseEndpoint(denials >= kMaxDenials);
    }
    const bool needsPermit = mPlacement.mEndpoint && mContext.mPermits != nullptr &&
                             mPlacement.mEndpoint->NeedsPermit(mContext.mClock.Now());
    if (!needsPermit) {
      co_return;
    }
    mPlacement.mPermitUntil = co_await mContext.mPermits->Take(mPlacement.mEndpoint);
    const auto now = mContext.mClock.Now();
    // What the endpoint wants may have changed while the permit was asked for.
    if (mPlacement.mPermitUntil && now <= *mPlacement.mPermitUntil &&
        mPlacement.mEndpoint->AcceptsRequests(now)) {
      co_return;
    }
    if (mPlacement.mPermitUntil) {
      mContext.mMetrics.CounterOf("gentianloom_endpoint_permits_unused_total").Add();
    }
  }
}

PlacementChoice RequestExchange::ChooseEndpoint(bool aOnlyUnlimited)
{
  const auto now = mContext.mClock.Now();
  std::optional<std::string_view> softwareVersion;
  if (mProgress.mOrigin) {
    softwareVersion = mProgress.mOrigin->mSoftwareVersion;
  }
  auto usable = mContext.mEndpoints.UsableEndpoints(mService, now, softwareVersion, mAllowedZones);
  if (aOnlyUnlimited) {
    std::erase_if(usable, [now](const auto& it) { return it->NeedsPermit(now); });
  }
  if (mRoute->mIsResumable && !mProgress.mOrigin) {
    KeepRecordedVersions(usable);
  }
  PlacementRequest request;
  request.mTieBreakHash = StableHash(mRequest.mId);
  request.mZone = mContext.mZone;
  request.mParts = mRequest.mPromptParts;
  request.mTarget = mRoute->mLatencyTarget;
  request.mTriedEndpoints = mTriedEndpoints;
  request.mIsLoadEvened = IsLoadEvened(usable);
  if (request.mIsLoadEvened) {
    mContext.mMetrics.CounterOf("gentianloom_evened_choices_total").Add();
  }
  const auto* service = mRoutes->Service(mService);
  if (service != nullptr && service->mEngine && !mIsTrial) {
    auto& model = mContext.mFirstTokenModels[mService];
    auto choice = ChooseEngineEndpoint(request, usable, *service->mEngine, model, now);
    if (choice.mEndpoint) {
      choice.mEndpoint->mLoad.Cache().SetCapacity(service->mEngine->mCacheTokens,
                                                  mContext.mEndpoints.All().size());
    }
    return choice;
  }
  return ChoosePlainEndpoint(request, usable, now);
}

bool RequestExchange::IsLoadEvened(std::span<const EndpointRegistry::Ptr> aEndpoints)
{
  if (mContext.mEvenLoad.Observe(mService, aEndpoints)) {
    LogChange(LogLevel::Info,
              "routing",
              "the load of the service's endpoints is evened out from now on",
              { { "service", mService } });
  }
  return mContext.mEvenLoad.IsOn(mService) && !mIsTrial;
}

void RequestExchange::KeepRecordedVersions(std::vector<EndpointRegistry::Ptr>& aEndpoints)
{
  const auto firstUnrecorded =
    std::stable_partition(aEndpoints.begin(), aEndpoints.end(), [this](const auto& it) {
      return mContext.mVersionHistory.IsRecorded(mService, it->mEntry.mSoftwareVersion);
    });
  // An endpoint of an unrecorded version is better than none.
  mIsNoneRecorded = firstUnrecorded == aEndpoints.begin() && !aEndpoints.empty();
  if (!mIsNoneRecorded) {
    aEndpoints.erase(firstUnrecorded, aEndpoints.end());
  }
}

} // namespace gentianloom
