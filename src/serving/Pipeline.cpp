#include "gentianloom/serving/Pipeline.h"

namespace gentianloom {

namespace {

constexpr Millis kOverloadWait{ 500 };

Error OverloadError(Step aStep)
{
  auto error =
    MakeError(ErrorCode::Overloaded, aStep, "self", "too many requests at once; come back later");
  error.mRetryAfter = kOverloadWait;
  return error;
}

} // namespace

Pipeline::Pipeline(ConfigurationSource aConfiguration,
                   BudgetDuty& aBudgets,
                   EndpointTable& aEndpoints,
                   const Clock& aClock,
                   const Settings& aSettings,
                   Metrics& aMetrics)
  : mEndpoints(aEndpoints)
  , mBudgets(aBudgets)
  , mZone(aSettings.mZone)
{
  const auto slots = static_cast<std::size_t>(aSettings.mServing.mRingSlots);
  const auto connections = static_cast<std::size_t>(aSettings.mServing.mMaxConnections);
  const Stage::Refused refused = [this](const ExchangePtr& it, const Error& aError) {
    RefuseExchange(it, aError);
  };
  auto reserve = std::make_unique<ReserveFilter>(aBudgets, aClock);
  mReserveFilter = reserve.get();
  mSettle = std::make_unique<Stage>(
    std::make_unique<SettleFilter>(aBudgets),
    connections * 2,
    [](const ExchangePtr&) {},
    [](const ExchangePtr&, const Error&) {},
    aMetrics);
  const Stage::Next open = [](const ExchangePtr& it) { it->Open(std::nullopt); };
  auto place = std::make_unique<PlaceFilter>(
    aEndpoints, aSettings.mRouting, aSettings.mZone, aClock, open, refused, aMetrics);
  mPlaceFilter = place.get();
  mPlace = std::make_unique<Stage>(std::move(place), slots, open, refused, aMetrics);
  mReserve = std::make_unique<Stage>(
    std::move(reserve),
    slots,
    [this, open](const ExchangePtr& it) {
      // Calls of plain services are placed by their relay, after their intent was looked up.
      if (it->mKind == ExchangeKind::Service) {
        open(it);
      } else {
        PassOn(*mPlace, it);
      }
    },
    refused,
    aMetrics);
  mAuthenticate = std::make_unique<Stage>(
    std::make_unique<AuthenticateFilter>(std::move(aConfiguration)),
    slots,
    [this](const ExchangePtr& it) { PassOn(*mReserve, it); },
    refused,
    aMetrics);
}

Pipeline::~Pipeline()
{
  Stop();
}

void Pipeline::Start()
{
  for (auto* it : { mSettle.get(), mPlace.get(), mReserve.get(), mAuthenticate.get() }) {
    it->Start();
  }
  mPlaceFilter->Start();
}

void Pipeline::Stop()
{
  for (auto* it : { mAuthenticate.get(), mReserve.get(), mPlace.get(), mSettle.get() }) {
    it->Stop();
  }
  mPlaceFilter->Stop();
  for (const auto& it : mReserveFilter->TakeParked()) {
    RefuseExchange(it, OverloadError(Step::RequestReserve));
  }
}

std::optional<Error> Pipeline::Admit(const ExchangePtr& aExchange)
{
  if (!mAuthenticate->Submit(aExchange)) {
    return OverloadError(Step::RequestAccept);
  }
  return aExchange->WaitOpen();
}

void Pipeline::Unplace(const ExchangePtr& aExchange)
{
  if (aExchange->mPlacement && aExchange->mCounted) {
    mEndpoints.Release(aExchange->mPlacement->mEndpoint);
  }
  if (aExchange->mPlacement && aExchange->mKind == ExchangeKind::Chat) {
    mPlaceFilter->OnFinished(aExchange);
  }
  aExchange->mPlacement.reset();
  aExchange->mCounted = true;
}

Result<void> Pipeline::PlaceAgain(const ExchangePtr& aExchange,
                                  std::span<const std::string> aExcluded)
{
  Unplace(aExchange);
  const auto& configuration = *aExchange->mConfiguration;
  auto placement =
    aExchange->mKind == ExchangeKind::Chat
      ? mEndpoints.PlaceModel(
          configuration, aExchange->mModel, mZone, aExcluded, HintsOf(*aExchange))
      : mEndpoints.PlaceService(*configuration.Service(aExchange->mService), mZone, aExcluded);
  if (!placement) {
    return placement.error();
  }
  aExchange->mPlacement = placement.value();
  return success();
}

Result<void> Pipeline::PlaceAt(const ExchangePtr& aExchange, const std::string& aEndpoint)
{
  Unplace(aExchange);
  const auto* endpoint = aExchange->mConfiguration->Endpoint(aEndpoint);
  auto address = mEndpoints.AddressOf(aEndpoint);
  if (endpoint == nullptr || endpoint->mModel != aExchange->mModel || address.empty()) {
    return MakeError(ErrorCode::NoEndpoint,
                     Step::RequestPlace,
                     "self",
                     "the endpoint \"" + aEndpoint + "\" that ran the request is not known here");
  }
  aExchange->mPlacement = Placement{ aEndpoint, std::move(address) };
  aExchange->mCounted = false;
  return success();
}

void Pipeline::Finish(const ExchangePtr& aExchange)
{
  mObserver(*aExchange, std::nullopt);
  Unplace(aExchange);
  while (!mSettle->Submit(aExchange)) {
    std::this_thread::yield();
  }
}

void Pipeline::RetryParked()
{
  for (const auto& it : mReserveFilter->TakeParked()) {
    PassOn(*mReserve, it);
  }
}

void Pipeline::PassOn(Stage& aNext, const ExchangePtr& aExchange)
{
  if (!aNext.Submit(aExchange)) {
    RefuseExchange(aExchange, OverloadError(Step::RequestAccept));
  }
}

void Pipeline::RefuseExchange(const ExchangePtr& aExchange, const Error& aError)
{
  if (aExchange->mReserved > 0) {
    mBudgets.Settle(aExchange->mBudget, aExchange->mReserved, 0);
    aExchange->mReserved = 0;
  }
  mObserver(*aExchange, aError);
  aExchange->Open(aError);
}

} // namespace gentianloom
