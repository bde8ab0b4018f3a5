#include "gentianloom/serving/BurnAdmin.h"

#include "gentianloom/configuration/AccessControl.h"
#include "gentianloom/serving/HttpMessages.h"

namespace gentianloom {

namespace {

/// Whether a request was rejected because of the state of the router, the platform or the
/// endpoints, for example an overload, and not because of the request or the limits of its
/// organisation.
bool IsServerSideRejection(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::BudgetBusy:
    case ErrorCode::Overloaded:
    case ErrorCode::NoEndpoint:
    case ErrorCode::Leaving:
    case ErrorCode::EndpointFailed:
    case ErrorCode::PlatformUnavailable:
    case ErrorCode::Internal:
      return true;
    default:
      return false;
  }
}

} // namespace

std::optional<BurnSample> MakeBurnSample(const Exchange& aExchange,
                                         const std::optional<Error>& aRejection,
                                         TimePoint aNow)
{
  // A request that exceeds its budget counts as a request of the organisation, but not as wrongly
  // rejected.
  if (aExchange.mOrganisation.empty() || (aRejection && !IsServerSideRejection(aRejection->mCode) &&
                                          aRejection->mCode != ErrorCode::BudgetExhausted)) {
    return std::nullopt;
  }
  BurnSample out;
  const bool isChat = aExchange.mKind == ExchangeKind::Chat;
  out.mKey = { aExchange.mOrganisation, isChat ? aExchange.mModel : aExchange.mService };
  out.mAdmitted = !aRejection;
  out.mWronglyRefused = aRejection && IsServerSideRejection(aRejection->mCode);
  out.mInDeadline = aExchange.mOutcome == Outcome::Done && aNow <= aExchange.mDeadline;
  if (aExchange.mFirstTokenAt != TimePoint{}) {
    out.mFirstToken = aExchange.mFirstTokenAt - aExchange.mArrived;
    if (aExchange.mOutputTokens > 1) {
      out.mBetweenTokens =
        (aExchange.mLastTokenAt - aExchange.mFirstTokenAt) / (aExchange.mOutputTokens - 1);
    }
  }
  return out;
}

BurnCollector::BurnCollector(std::string aInstance, const Clock& aClock)
  : mInstance(std::move(aInstance))
  , mClock(aClock)
  , mStarted(aClock.Now())
{
}

void BurnCollector::RecordExchange(const Exchange& aExchange,
                                   const std::optional<Error>& aRejection)
{
  const auto now = mClock.Now();
  const auto sample = MakeBurnSample(aExchange, aRejection, now);
  if (!sample || !aExchange.mConfiguration) {
    return;
  }
  const std::lock_guard lock(mMutex);
  mRecorder.Record(*sample, aExchange.mConfiguration->Spec().mObjectives, now);
}

InstanceBurn BurnCollector::Collect() const
{
  InstanceBurn out;
  out.mInstance = mInstance;
  out.mSeconds = std::chrono::duration_cast<std::chrono::seconds>(mClock.Now() - mStarted).count();
  const std::lock_guard lock(mMutex);
  out.mCounts = mRecorder.Counts(mClock.Now());
  return out;
}

bool BurnAdmin::Handle(const AdminCall& aCall)
{
  if (aCall.mPath != "/report/burn" || aCall.mMethod != "GET") {
    return false;
  }
  const auto configuration = mConfiguration();
  auto burn = mCollector.Collect();
  if (configuration) {
    burn.mObjectives = configuration->Spec().mObjectives;
  }
  std::erase_if(burn.mCounts, [&](const auto& it) {
    // The key is the organisation, then the model or service.
    const auto* organisation =
      configuration ? configuration->Organisation(it.first.first) : nullptr;
    return !MaySeeTeam(aCall.mOperator, organisation == nullptr ? "" : organisation->mTeam);
  });
  SendJson(aCall.mResponse, 200, InstanceBurnToJson(burn));
  return true;
}

} // namespace gentianloom
