#include "gentianloom/serving/PlaceFilter.h"

#include "gentianloom/serving/Filters.h"

namespace gentianloom {

namespace {

constexpr Millis kDispatchInterval{ 50 };
constexpr Millis kStandingWait{ 1'500 }; ///< longest wait for news of any endpoint
constexpr std::int64_t kBytesPerToken = 4;

/// Requests that the same endpoints can take wait in one queue.
std::string PoolOf(const Exchange& aExchange, bool aSuspect)
{
  return aExchange.mModel + (aSuspect ? "\nsuspect" : "");
}

QueuedRequest WaitingOf(const Exchange& aExchange, std::uint64_t aId, TimePoint aNow)
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

Error ShedError(const ShedRequest& aShed, const Error& aWhy)
{
  auto out = aWhy;
  out.mRetryAfter = aShed.mRetryAfter;
  if (aShed.mReason == ShedReason::QueueFull) {
    out = MakeError(ErrorCode::Overloaded,
                    Step::RequestPlace,
                    "self",
                    "too many requests wait, most of them of this organisation; come back later");
    out.mRetryAfter = aShed.mRetryAfter;
  } else if (aShed.mReason == ShedReason::DeadlineUnreachable) {
    out.mText = "the deadline cannot be met: " + aWhy.mText;
  }
  return out;
}

Error StopError()
{
  auto out = MakeError(ErrorCode::Leaving, Step::RequestPlace, "self", "this router is leaving");
  out.mRetryAfter = Millis(0);
  return out;
}

} // namespace

PlaceFilter::PlaceFilter(EndpointTable& aEndpoints,
                         const RoutingSettings& aSettings,
                         std::string aZone,
                         const Clock& aClock,
                         Placed aPlaced,
                         Refused aRefused,
                         Metrics& aMetrics)
  : mEndpoints(aEndpoints)
  , mZone(std::move(aZone))
  , mClock(aClock)
  , mPlaced(std::move(aPlaced))
  , mRefused(std::move(aRefused))
  , mWaitingGauge(aMetrics.GaugeOf("gentianloom_admission_waiting"))
  , mQueued(aMetrics.CounterOf("gentianloom_admission_queued_total"))
  , mShedCount(aMetrics.CounterOf("gentianloom_admission_shed_total"))
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
    mStopping = true;
  }
  mWake.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
  for (const auto& [id, it] : std::exchange(mParked, {})) {
    mRefused(it.mExchange, StopError());
  }
}

Result<Placement> PlaceFilter::Place(const Exchange& aExchange)
{
  return mEndpoints.PlaceModel(
    *aExchange.mConfiguration, aExchange.mModel, mZone, {}, HintsOf(aExchange));
}

void PlaceFilter::Settle(const ExchangePtr& aExchange, const Placement& aPlacement)
{
  aExchange->mPlacement = aPlacement;
  aExchange->mPlacedAt = mClock.Now();
}

bool PlaceFilter::MayWait(const Exchange& aExchange, const Error& aWhy)
{
  return aWhy.mCode == ErrorCode::Overloaded ||
         (aWhy.mCode == ErrorCode::NoEndpoint &&
          mEndpoints.HasRecoverableEndpoint(*aExchange.mConfiguration, aExchange.mModel));
}

FilterAnswer PlaceFilter::Apply(const ExchangePtr& aExchange)
{
  if (aExchange->mKind == ExchangeKind::Service) {
    const auto& service = *aExchange->mConfiguration->Service(aExchange->mService);
    auto placement = mEndpoints.PlaceService(service, mZone);
    if (!placement) {
      return { Verdict::Refuse, placement.error() };
    }
    Settle(aExchange, placement.value());
    return {};
  }
  aExchange->mPrefixes = HashPrefixes(ExtractPrompt(aExchange->mBody));
  const bool suspect = mEndpoints.IsSuspect(aExchange->mFingerprint);
  const auto pool = PoolOf(*aExchange, suspect);
  {
    const std::lock_guard lock(mMutex);
    if (!mAdmission.HasQueuedRequests(pool)) {
      auto placement = Place(*aExchange);
      if (placement) {
        Settle(aExchange, placement.value());
        return {};
      }
      if (!MayWait(*aExchange, placement.error())) {
        return { Verdict::Refuse, placement.error() };
      }
      return Park(aExchange, pool, placement.error());
    }
    return Park(aExchange,
                pool,
                MakeError(ErrorCode::Overloaded,
                          Step::RequestPlace,
                          "self",
                          "other requests wait for an endpoint already; come back later"));
  }
}

FilterAnswer PlaceFilter::Park(const ExchangePtr& aExchange, const std::string& aPool, Error aWhy)
{
  const auto now = mClock.Now();
  const auto id = ++mLastId;
  auto waiting = WaitingOf(*aExchange, id, now);
  if (aWhy.mCode == ErrorCode::NoEndpoint) {
    waiting.mMaxWait = kStandingWait;
  }
  mParked.emplace(id, Parked{ aExchange, std::move(aWhy) });
  Refusals refused;
  CollectShed(mAdmission.Enqueue(aPool, std::move(waiting), now), refused);
  mQueued.Add();
  mWaitingGauge.Set(static_cast<std::int64_t>(mParked.size()));
  FilterAnswer out{ Verdict::Park };
  for (auto& [it, error] : refused) {
    if (it == aExchange) {
      out = { Verdict::Refuse, std::move(error) };
      continue;
    }
    mRefused(it, error);
  }
  return out;
}

void PlaceFilter::CollectShed(const std::vector<ShedRequest>& aShed, Refusals& aOut)
{
  for (const auto& shed : aShed) {
    const auto it = mParked.find(shed.mId);
    if (it == mParked.end()) {
      continue;
    }
    aOut.emplace_back(it->second.mExchange, ShedError(shed, it->second.mWhy));
    mParked.erase(it);
    mShedCount.Add();
  }
}

void PlaceFilter::OnFinished(const ExchangePtr& aExchange)
{
  {
    const std::lock_guard lock(mMutex);
    if (aExchange->mKind == ExchangeKind::Chat && aExchange->mOutcome == Outcome::Done) {
      mAdmission.OnCompleted(PoolOf(*aExchange, false), mClock.Now() - aExchange->mPlacedAt);
    }
    mRoom = true;
  }
  mWake.notify_all();
}

void PlaceFilter::Run()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    mWake.wait_for(lock, kDispatchInterval, [this] { return mStopping || mRoom; });
    mRoom = false;
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
  Refusals refused;
  {
    const std::lock_guard lock(mMutex);
    for (const auto& pool : mAdmission.PoolsWithQueuedRequests()) {
      DispatchPool(pool, placed, refused);
    }
    CollectShed(mAdmission.RemoveExpired(mClock.Now()), refused);
    mWaitingGauge.Set(static_cast<std::int64_t>(mParked.size()));
  }
  for (const auto& it : placed) {
    mPlaced(it);
  }
  for (const auto& [it, error] : refused) {
    mRefused(it, error);
  }
}

void PlaceFilter::DispatchPool(const std::string& aPool,
                               std::vector<ExchangePtr>& aPlaced,
                               Refusals& aRefused)
{
  while (const auto next = mAdmission.Peek(aPool)) {
    const auto it = mParked.find(next->mId);
    auto placement = Place(*it->second.mExchange);
    if (!placement && MayWait(*it->second.mExchange, placement.error())) {
      it->second.mWhy = placement.error();
      return;
    }
    if (placement) {
      mAdmission.Pop(aPool, mClock.Now());
      Settle(it->second.mExchange, placement.value());
      aPlaced.push_back(it->second.mExchange);
    } else {
      mAdmission.Remove(aPool, next->mId);
      aRefused.emplace_back(it->second.mExchange, placement.error());
    }
    mParked.erase(it);
  }
}

} // namespace gentianloom
