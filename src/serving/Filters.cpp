#include "gentianloom/serving/Filters.h"

#include "gentianloom/base/Ids.h"

namespace gentianloom {

namespace {

FilterAnswer Refuse(ErrorCode aCode,
                    Step aStep,
                    std::string aText,
                    std::optional<Millis> aRetryAfter = std::nullopt)
{
  auto error = MakeError(aCode, aStep, "self", std::move(aText));
  error.mRetryAfter = aRetryAfter;
  return { Verdict::Refuse, std::move(error) };
}

constexpr Millis kConfigurationWait{ 1'000 };
constexpr Millis kBudgetWait{ 1'000 };
constexpr Millis kExhaustedWait{ 60'000 };

} // namespace

FilterAnswer AuthenticateFilter::Apply(const ExchangePtr& aExchange)
{
  const auto configuration = mConfiguration();
  if (!configuration) {
    return Refuse(ErrorCode::NoEndpoint,
                  Duty(),
                  "no configuration is in force here yet; come back later",
                  kConfigurationWait);
  }
  const auto* organisation = configuration->OrganisationByKey(KeyDigest(aExchange->mBearerKey));
  if (organisation == nullptr) {
    return Refuse(ErrorCode::NotAuthenticated,
                  Duty(),
                  "the bearer key is not known; send Authorization: Bearer KEY");
  }
  aExchange->mConfiguration = configuration;
  aExchange->mOrganisation = organisation->mName;
  aExchange->mBudget = organisation->mBudget;
  aExchange->mFingerprint = ContentFingerprint(organisation->mName, aExchange->mBody);
  if (aExchange->mKind == ExchangeKind::Service) {
    if (configuration->Service(aExchange->mService) == nullptr) {
      return Refuse(ErrorCode::UnknownService,
                    Duty(),
                    "the service \"" + aExchange->mService + "\" is not stated");
    }
    return {};
  }
  if (configuration->Model(aExchange->mModel) == nullptr) {
    return Refuse(ErrorCode::UnknownModel,
                  Duty(),
                  "the model \"" + aExchange->mModel + "\" is not stated; see GET /v1/models");
  }
  if (aExchange->mBudget.empty()) {
    return Refuse(ErrorCode::BudgetExhausted,
                  Duty(),
                  "the organisation \"" + organisation->mName + "\" has no budget");
  }
  return {};
}

FilterAnswer ReserveFilter::Apply(const ExchangePtr& aExchange)
{
  if (aExchange->mKind == ExchangeKind::Service) {
    return {};
  }
  if (mClock.Now() >= aExchange->mDeadline) {
    return Refuse(ErrorCode::DeadlineExceeded,
                  Duty(),
                  "the deadline passed while rights were drawn; try again",
                  kBudgetWait);
  }
  const Tokens bound = aExchange->mPromptBound + aExchange->mOutputBound;
  switch (mBudgets.Reserve(aExchange->mBudget, bound)) {
    case ReserveAnswer::Reserved:
      aExchange->mReserved = bound;
      return {};
    case ReserveAnswer::Exhausted:
      return Refuse(ErrorCode::BudgetExhausted,
                    Duty(),
                    "the budget \"" + aExchange->mBudget + "\" has fewer than " +
                      std::to_string(bound) + " tokens left; top it up or ask for fewer",
                    kExhaustedWait);
    case ReserveAnswer::Unavailable:
      return Refuse(ErrorCode::BudgetBusy,
                    Duty(),
                    "rights of the budget \"" + aExchange->mBudget +
                      "\" cannot be drawn now and peers hold too few; come back later",
                    kBudgetWait);
    case ReserveAnswer::Wait:
      break;
  }
  const std::lock_guard lock(mMutex);
  mParked.push_back(aExchange);
  return { Verdict::Park };
}

std::vector<ExchangePtr> ReserveFilter::TakeParked()
{
  const std::lock_guard lock(mMutex);
  return std::exchange(mParked, {});
}

PlaceHints HintsOf(const Exchange& aExchange)
{
  return { aExchange.mFingerprint, "", aExchange.mPrefixes };
}

FilterAnswer SettleFilter::Apply(const ExchangePtr& aExchange)
{
  if (aExchange->mReserved > 0) {
    const auto& it = *aExchange;
    mBudgets.Settle({ BillKeyOf(it.mOrganisation, it.mRequestId, it.mBody),
                      it.mBudget,
                      it.mOrganisation,
                      it.mModel,
                      DayOf(SystemClock().WallTime()),
                      it.mPromptTokens + it.mOutputTokens },
                    it.mReserved);
  }
  return {};
}

} // namespace gentianloom
