#include "gentianloom/serving/BurnAdmin.h"

#include "gentianloom/configuration/AccessControl.h"
#include "gentianloom/serving/HttpAnswer.h"

namespace gentianloom {

namespace {

/// Refusals of requests that were within their organisation's rights.
bool IsWrongRefusal(ErrorCode aCode)
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

std::optional<BurnSample> SampleOf(const Exchange& aExchange,
                                   const std::optional<Error>& aRefusal,
                                   TimePoint aNow)
{
  if (aExchange.mOrganisation.empty() || (aRefusal && !IsWrongRefusal(aRefusal->mCode) &&
                                          aRefusal->mCode != ErrorCode::BudgetExhausted)) {
    return std::nullopt;
  }
  BurnSample out;
  const bool chat = aExchange.mKind == ExchangeKind::Chat;
  out.mKey = { aExchange.mOrganisation, chat ? aExchange.mModel : aExchange.mService };
  out.mAdmitted = !aRefusal;
  out.mWronglyRefused = aRefusal && IsWrongRefusal(aRefusal->mCode);
  out.mInDeadline = aExchange.mOutcome == Outcome::Done && aNow <= aExchange.mDeadline;
  if (aExchange.mFirstToken != TimePoint{}) {
    out.mFirstToken = aExchange.mFirstToken - aExchange.mArrived;
    if (aExchange.mOutputTokens > 1) {
      out.mBetweenTokens =
        (aExchange.mLastToken - aExchange.mFirstToken) / (aExchange.mOutputTokens - 1);
    }
  }
  return out;
}

BurnGatherer::BurnGatherer(std::string aInstance, const Clock& aClock)
  : mInstance(std::move(aInstance))
  , mClock(aClock)
  , mStarted(aClock.Now())
{
}

void BurnGatherer::OnEnd(const Exchange& aExchange, const std::optional<Error>& aRefusal)
{
  const auto now = mClock.Now();
  const auto sample = SampleOf(aExchange, aRefusal, now);
  if (!sample || !aExchange.mConfiguration) {
    return;
  }
  const std::lock_guard lock(mMutex);
  mRecorder.Record(*sample, aExchange.mConfiguration->Spec().mObjectives, now);
}

InstanceBurn BurnGatherer::Gather() const
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
  auto burn = mGatherer.Gather();
  if (configuration) {
    burn.mObjectives = configuration->Spec().mObjectives;
  }
  std::erase_if(burn.mCounts, [&](const auto& it) {
    const auto* organisation =
      configuration ? configuration->Organisation(it.first.first) : nullptr;
    return !MaySeeTeam(aCall.mOperator, organisation == nullptr ? "" : organisation->mTeam);
  });
  SendJson(aCall.mResponse, 200, InstanceBurnJson(burn));
  return true;
}

} // namespace gentianloom
