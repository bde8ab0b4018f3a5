#include "gentianloom/serving/PlaceFilter.h"

#include "gentianloom/serving/Filters.h"

namespace gentianloom {

namespace {

/// Maximum time between two attempts to place the parked requests.
constexpr Millis kDispatchInterval{ 50 };

/// Maximum wait of a request for which no endpoint is available at all.
constexpr Millis kMaxWaitForAvailableEndpoint{ 1'500 };

/// Approximate size of a token, for the cost of a prompt. mPromptBound counts each byte as a token.
constexpr std::int64_t kBytesPerToken = 4;

/// Returns the name of a request's queue. Requests that the same endpoints can serve share a queue.
std::string PoolName(const Exchange& aExchange, bool aIsSuspect)
{
  return aExchange.mModel + (aIsSuspect ? "\nsuspect" : "");
}

QueuedRequest MakeQueuedRequest(const Exchange& aExchange, std::uint64_t aId, TimePoint aNow)
{
  QueuedRequest out;
  out.mId = aId;
  out.mOrganisation = aExchange.mOrganisation;
  out.mCost = aExchange.mPromptBound / kBytesPerToken + aExchange.mOutputBound;
  out.mArrived = aNow;
  out.mDeadline = aExchange.mDeadline;
  const auto* organisation = aExchange.mConfiguration->Organisation(aExchange.mOrganisation);
  if (organisation != nullptr) {
    out.mWeight = organisation->mWeight;
    out.mPriority = organisation->mPriority;
  }
  return out;
}

Error MakeShedError(const ShedRequest& aShed, const Error& aPlacementError)
{
  auto out = aPlacementError;
  out.mRetryAfter = aShed.mRetryAfter;
  if (aShed.mReason == ShedReason::QueueFull) {
    out =
      MakeError(ErrorCode::Overloaded,
                Step::RequestPlace,
                "self",
                "the queue is full, and this organisation has the largest backlog for its weight; "
                "retry later");
    out.mRetryAfter = aShed.mRetryAfter;
  } else if (aShed.mReason == ShedReason::DeadlineUnreachable) {
    out.mText = "the deadline cannot be met: " + aPlacementError.mText;
  }
  return out;
}

Error MakeShutdownError()
{
  auto out =
    MakeError(ErrorCode::Leaving, Step::RequestPlace, "self", "this router is shutting down");
  out.mRetryAfter = Millis(0);
  return out;
}

} // namespace

PlaceFilter::PlaceFilter(EndpointTable& aEndpoints,
                         const RoutingSettings& aSettings,
                         std::string aZone,
                         const Clock& aClock,
                         PlacedCallback aOnPlaced,
                         RejectedCallback aOnRejected,
                         Metrics& aMetrics)
  : mEndpoints(aEndpoints)
  , mZone(std::move(aZone))
  , mClock(aClock)
  , mOnPlaced(std::move(aOnPlaced))
  , mOnRejected(std::move(aOnRejected))
  , mWaitingGauge(aMetrics.GaugeOf("gentianloom_admission_waiting"))
  , mQueuedCounter(aMetrics.CounterOf("gentianloom_admission_queued_total"))
  , mShedCounter(aMetrics.CounterOf("gentianloom_admission_shed_total"))
  , mAdmission(aSettings)
{
}

PlaceFilter::~PlaceFilter()
{
  Stop();
}

void PlaceFilter::Start()
{
  mThread = std::thread([this] { Run(); });
}

void PlaceFilter::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mWake.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
  for (const auto& [id, it] : std::exchange(mParked, {})) {
    mOnRejected(it.mExchange, MakeShutdownError());
  }
}

Result<Placement> PlaceFilter::Place(const Exchange& aExchange)
{
  return mEndpoints.PlaceModel(
    *aExchange.mConfiguration, aExchange.mModel, mZone, {}, MakePlacementHints(aExchange));
}

void PlaceFilter::AssignPlacement(const ExchangePtr& aExchange, const Placement& aPlacement)
{
  aExchange->mPlacement = aPlacement;
  aExchange->mPlacedAt = mClock.Now();
}

bool PlaceFilter::MayWait(const Exchange& aExchange, const Error& aPlacementError)
{
  return aPlacementError.mCode == ErrorCode::Overloaded ||
         (aPlacementError.mCode == ErrorCode::NoEndpoint &&
          mEndpoints.HasNonLeavingEndpoint(*aExchange.mConfiguration, aExchange.mModel));
}

FilterResult PlaceFilter::Apply(const ExchangePtr& aExchange)
{
  if (aExchange->mKind == ExchangeKind::Service) {
    const auto& service = *aExchange->mConfiguration->Service(aExchange->mService);
    auto placement = mEndpoints.PlaceService(service, mZone);
    if (!placement) {
      return { FilterDecision::Reject, placement.error() };
    }
    AssignPlacement(aExchange, placement.value());
    return {};
  }
  aExchange->mPrefixes = HashPrefixes(ExtractPrompt(aExchange->mBody));
  const bool isSuspect = mEndpoints.IsSuspect(aExchange->mFingerprint);
  const auto pool = PoolName(*aExchange, isSuspect);
  {
    const std::lock_guard lock(mMutex);
    if (!mAdmission.HasQueuedRequests(pool)) {
      auto placement = Place(*aExchange);
      if (placement) {
        AssignPlacement(aExchange, placement.value());
        return {};
      }
      if (!MayWait(*aExchange, placement.error())) {
        return { FilterDecision::Reject, placement.error() };
      }
      return Park(aExchange, pool, placement.error());
    }
    return Park(aExchange,
                pool,
                MakeError(ErrorCode::Overloaded,
                          Step::RequestPlace,
                          "self",
                          "other requests are already waiting for an endpoint; retry later"));
  }
}

FilterResult PlaceFilter::Park(const ExchangePtr& aExchange,
                               const std::string& aPool,
                               Error aPlacementError)
{
  const auto now = mClock.Now();
  const auto id = ++mLastId;
  auto request = MakeQueuedRequest(*aExchange, id, now);
  if (aPlacementError.mCode == ErrorCode::NoEndpoint) {
    request.mMaxWait = kMaxWaitForAvailableEndpoint;
  }
  mParked.emplace(id, Parked{ aExchange, std::move(aPlacementError) });
  Rejections rejected;
  CollectShed(mAdmission.Enqueue(aPool, std::move(request), now), rejected);
  mQueuedCounter.Add();
  mWaitingGauge.Set(static_cast<std::int64_t>(mParked.size()));
  FilterResult out{ FilterDecision::Park };
  for (auto& [it, error] : rejected) {
    if (it == aExchange) {
      out = { FilterDecision::Reject, std::move(error) };
      continue;
    }
    mOnRejected(it, error);
  }
  return out;
}

void PlaceFilter::CollectShed(const std::vector<ShedRequest>& aShed, Rejections& aOut)
{
  for (const auto& shed : aShed) {
    const auto it = mParked.find(shed.mId);
    if (it == mParked.end()) {
      continue;
    }
    aOut.emplace_back(it->second.mExchange, MakeShedError(shed, it->second.mPlacementError));
    mParked.erase(it);
    mShedCounter.Add();
  }
}

void PlaceFilter::OnFinished(const ExchangePtr& aExchange)
{
  {
    const std::lock_guard lock(mMutex);
    if (aExchange->mKind == ExchangeKind::Chat && aExchange->mOutcome == Outcome::Done) {
      mAdmission.OnCompleted(PoolName(*aExchange, false), mClock.Now() - aExchange->mPlacedAt);
    }
    mMayHaveCapacity = true;
  }
  mWake.notify_all();
}

void PlaceFilter::Run()
{
  std::unique_lock lock(mMutex);
  while (!mIsStopping) {
    mWake.wait_for(lock, kDispatchInterval, [this] { return mIsStopping || mMayHaveCapacity; });
    mMayHaveCapacity = false;
    if (mParked.empty()) {
      continue;
    }
    lock.unlock();
    Dispatch();
    lock.lock();
  }
}

void PlaceFilter::Dispatch()
{
  std::vector<ExchangePtr> placed;
  Rejections rejected;
  {
    const std::lock_guard lock(mMutex);
    for (const auto& pool : mAdmission.PoolsWithQueuedRequests()) {
      DispatchPool(pool, placed, rejected);
    }
    CollectShed(mAdmission.RemoveExpired(mClock.Now()), rejected);
    mWaitingGauge.Set(static_cast<std::int64_t>(mParked.size()));
  }
  for (const auto& it : placed) {
    mOnPlaced(it);
  }
  for (const auto& [it, error] : rejected) {
    mOnRejected(it, error);
  }
}

void PlaceFilter::DispatchPool(const std::string& aPool,
                               std::vector<ExchangePtr>& aPlaced,
                               Rejections& aRejected)
{
  while (const auto next = mAdmission.Peek(aPool)) {
    const auto it = mParked.find(next->mId);
    auto placement = Place(*it->second.mExchange);
    if (!placement && MayWait(*it->second.mExchange, placement.error())) {
      it->second.mPlacementError = placement.error();
      return;
    }
    if (placement) {
      mAdmission.Pop(aPool, mClock.Now());
      AssignPlacement(it->second.mExchange, placement.value());
      aPlaced.push_back(it->second.mExchange);
    } else {
      mAdmission.Remove(aPool, next->mId);
      aRejected.emplace_back(it->second.mExchange, placement.error());
    }
    mParked.erase(it);
  }
}

} // namespace gentianloom
