#include "gentianloom/serving/Pipeline.h"

namespace gentianloom {

namespace {

constexpr Millis kOverloadRetryAfter{ 500 };

Error MakeOverloadError(Step aStep)
{
  auto error =
    MakeError(ErrorCode::Overloaded, aStep, "self", "too many concurrent requests; retry later");
  error.mRetryAfter = kOverloadRetryAfter;
  return error;
}

} // namespace

Pipeline::Pipeline(ConfigurationSource aConfiguration,
                   BudgetManager& aBudgets,
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
  const Stage::RejectedCallback rejected = [this](const ExchangePtr& it, const Error& aError) {
    RejectExchange(it, aError);
  };
  auto reserve = std::make_unique<ReserveFilter>(aBudgets, aClock);
  mReserveFilter = reserve.get();
  mSettleStage = std::make_unique<Stage>(
    std::make_unique<SettleFilter>(aBudgets),
    connections * 2,
    [](const ExchangePtr&) {},
    [](const ExchangePtr&, const Error&) {},
    aMetrics);
  const Stage::PassedCallback finishAdmission = [](const ExchangePtr& it) {
    it->FinishAdmission(std::nullopt);
  };
  auto place = std::make_unique<PlaceFilter>(
    aEndpoints, aSettings.mRouting, aSettings.mZone, aClock, finishAdmission, rejected, aMetrics);
  mPlaceFilter = place.get();
  mPlaceStage =
    std::make_unique<Stage>(std::move(place), slots, finishAdmission, rejected, aMetrics);
  mReserveStage = std::make_unique<Stage>(
    std::move(reserve),
    slots,
    [this, finishAdmission](const ExchangePtr& it) {
      // ServiceRelay places calls of plain services itself, after looking up their intent.
      if (it->mKind == ExchangeKind::Service) {
        finishAdmission(it);
      } else {
        SubmitOrReject(*mPlaceStage, it);
      }
    },
    rejected,
    aMetrics);
  mAuthenticateStage = std::make_unique<Stage>(
    std::make_unique<AuthenticateFilter>(std::move(aConfiguration)),
    slots,
    [this](const ExchangePtr& it) { SubmitOrReject(*mReserveStage, it); },
    rejected,
    aMetrics);
}

Pipeline::~Pipeline()
{
  Stop();
}

void Pipeline::Start()
{
  for (auto* it :
       { mSettleStage.get(), mPlaceStage.get(), mReserveStage.get(), mAuthenticateStage.get() }) {
    it->Start();
  }
  mPlaceFilter->Start();
}

void Pipeline::Stop()
{
  for (auto* it :
       { mAuthenticateStage.get(), mReserveStage.get(), mPlaceStage.get(), mSettleStage.get() }) {
    it->Stop();
  }
  mPlaceFilter->Stop();
  for (const auto& it : mReserveFilter->TakeParked()) {
    RejectExchange(it, MakeOverloadError(Step::RequestReserve));
  }
}

std::optional<Error> Pipeline::Admit(const ExchangePtr& aExchange)
{
  if (!mAuthenticateStage->Submit(aExchange)) {
    return MakeOverloadError(Step::RequestAccept);
  }
  return aExchange->WaitForAdmission();
}

void Pipeline::ReleasePlacement(const ExchangePtr& aExchange)
{
  if (aExchange->mPlacement && aExchange->mIsCountedInFlight) {
    mEndpoints.Release(aExchange->mPlacement->mEndpoint);
  }
  if (aExchange->mPlacement && aExchange->mKind == ExchangeKind::Chat) {
    mPlaceFilter->OnFinished(aExchange);
  }
  aExchange->mPlacement.reset();
  aExchange->mIsCountedInFlight = true;
}

Result<void> Pipeline::PlaceExcluding(const ExchangePtr& aExchange,
                                      std::span<const std::string> aExcluded)
{
  ReleasePlacement(aExchange);
  const auto& configuration = *aExchange->mConfiguration;
  auto placement =
    aExchange->mKind == ExchangeKind::Chat
      ? mEndpoints.PlaceModel(
          configuration, aExchange->mModel, mZone, aExcluded, MakePlacementHints(*aExchange))
      : mEndpoints.PlaceService(*configuration.Service(aExchange->mService), mZone, aExcluded);
  if (!placement) {
    return placement.error();
  }
  aExchange->mPlacement = placement.value();
  return success();
}

Result<void> Pipeline::PlaceOnEndpoint(const ExchangePtr& aExchange, const std::string& aEndpoint)
{
  ReleasePlacement(aExchange);
  const auto* endpoint = aExchange->mConfiguration->Endpoint(aEndpoint);
  auto address = mEndpoints.AddressOf(aEndpoint);
  if (endpoint == nullptr || endpoint->mModel != aExchange->mModel || address.empty()) {
    return MakeError(ErrorCode::NoEndpoint,
                     Step::RequestPlace,
                     "self",
                     "this router does not know the endpoint \"" + aEndpoint +
                       "\" that ran the request");
  }
  aExchange->mPlacement = Placement{ aEndpoint, std::move(address) };
  aExchange->mIsCountedInFlight = false;
  return success();
}

void Pipeline::Finish(const ExchangePtr& aExchange)
{
  mObserver(*aExchange, std::nullopt);
  ReleasePlacement(aExchange);
  while (!mSettleStage->Submit(aExchange)) {
    std::this_thread::yield();
  }
}

void Pipeline::RetryParked()
{
  for (const auto& it : mReserveFilter->TakeParked()) {
    SubmitOrReject(*mReserveStage, it);
  }
}

void Pipeline::SubmitOrReject(Stage& aStage, const ExchangePtr& aExchange)
{
  if (!aStage.Submit(aExchange)) {
    RejectExchange(aExchange, MakeOverloadError(Step::RequestAccept));
  }
}

void Pipeline::RejectExchange(const ExchangePtr& aExchange, const Error& aError)
{
  if (aExchange->mReserved > 0) {
    mBudgets.Settle(aExchange->mBudget, aExchange->mReserved, 0);
    aExchange->mReserved = 0;
  }
  mObserver(*aExchange, aError);
  aExchange->FinishAdmission(aError);
}

} // namespace gentianloom
