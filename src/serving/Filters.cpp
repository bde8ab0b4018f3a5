#include "gentianloom/serving/Filters.h"

#include "gentianloom/base/Ids.h"

namespace gentianloom {

namespace {

FilterResult Reject(ErrorCode aCode,
                    Step aStep,
                    std::string aText,
                    std::optional<Millis> aRetryAfter = std::nullopt)
{
  auto error = MakeError(aCode, aStep, "self", std::move(aText));
  error.mRetryAfter = aRetryAfter;
  return { FilterDecision::Reject, std::move(error) };
}

constexpr Millis kNoConfigurationRetryAfter{ 1'000 };
constexpr Millis kBudgetRetryAfter{ 1'000 };
constexpr Millis kExhaustedRetryAfter{ 60'000 };

} // namespace

FilterResult AuthenticateFilter::Apply(const ExchangePtr& aExchange)
{
  const auto configuration = mConfiguration();
  if (!configuration) {
    return Reject(ErrorCode::NoEndpoint,
                  HandledStep(),
                  "no configuration is in force on this router yet; retry later",
                  kNoConfigurationRetryAfter);
  }
  const auto* organisation = configuration->OrganisationByKey(KeyDigest(aExchange->mBearerKey));
  if (organisation == nullptr) {
    return Reject(ErrorCode::NotAuthenticated,
                  HandledStep(),
                  "unknown bearer key; send the header Authorization: Bearer KEY");
  }
  aExchange->mConfiguration = configuration;
  aExchange->mOrganisation = organisation->mName;
  aExchange->mBudget = organisation->mBudget;
  aExchange->mFingerprint = ContentFingerprint(organisation->mName, aExchange->mBody);
  if (aExchange->mKind == ExchangeKind::Service) {
    if (configuration->Service(aExchange->mService) == nullptr) {
      return Reject(ErrorCode::UnknownService,
                    HandledStep(),
                    "the service \"" + aExchange->mService + "\" is not in the configuration");
    }
    return {};
  }
  if (configuration->Model(aExchange->mModel) == nullptr) {
    return Reject(ErrorCode::UnknownModel,
                  HandledStep(),
                  "the model \"" + aExchange->mModel +
                    "\" is not in the configuration; see GET /v1/models");
  }
  if (aExchange->mBudget.empty()) {
    return Reject(ErrorCode::BudgetExhausted,
                  HandledStep(),
                  "the organisation \"" + organisation->mName + "\" has no budget");
  }
  return {};
}

FilterResult ReserveFilter::Apply(const ExchangePtr& aExchange)
{
  if (aExchange->mKind == ExchangeKind::Service) {
    return {};
  }
  if (mClock.Now() >= aExchange->mDeadline) {
    return Reject(ErrorCode::DeadlineExceeded,
                  HandledStep(),
                  "the deadline passed before tokens were reserved in the budget; retry",
                  kBudgetRetryAfter);
  }
  const Tokens bound = aExchange->mPromptBound + aExchange->mOutputBound;
  switch (mBudgets.Reserve(aExchange->mBudget, bound)) {
    case ReserveAnswer::Reserved:
      aExchange->mReserved = bound;
      return {};
    case ReserveAnswer::Exhausted:
      return Reject(ErrorCode::BudgetExhausted,
                    HandledStep(),
                    "the budget \"" + aExchange->mBudget + "\" has fewer than " +
                      std::to_string(bound) + " tokens left; top it up or lower max_tokens",
                    kExhaustedRetryAfter);
    case ReserveAnswer::Unavailable:
      return Reject(ErrorCode::BudgetBusy,
                    HandledStep(),
                    "tokens of the budget \"" + aExchange->mBudget +
                      "\" cannot be obtained now, and the other routers hold too few; retry later",
                    kBudgetRetryAfter);
    case ReserveAnswer::Wait:
      break;
  }
  const std::lock_guard lock(mMutex);
  mParked.push_back(aExchange);
  return { FilterDecision::Park };
}

std::vector<ExchangePtr> ReserveFilter::TakeParked()
{
  const std::lock_guard lock(mMutex);
  return std::exchange(mParked, {});
}

PlacementHints MakePlacementHints(const Exchange& aExchange)
{
  return { aExchange.mFingerprint, "", aExchange.mPrefixes };
}

FilterResult SettleFilter::Apply(const ExchangePtr& aExchange)
{
  if (aExchange->mReserved > 0) {
    const auto& it = *aExchange;
    mBudgets.Settle({ MakeBillKey(it.mOrganisation, it.mRequestId, it.mBody),
                      it.mBudget,
                      it.mOrganisation,
                      it.mModel,
                      DaysSinceEpoch(SystemClock().WallTime()),
                      it.mPromptTokens + it.mOutputTokens },
                    it.mReserved);
  }
  return {};
}

} // namespace gentianloom
