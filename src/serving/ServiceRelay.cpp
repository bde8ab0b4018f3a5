#include "gentianloom/serving/ServiceRelay.h"

#include "gentianloom/serving/HttpAnswer.h"

#include <Poco/Net/HTTPServerResponse.h>

#include <algorithm>

namespace gentianloom {

namespace {

constexpr Millis kEndpointWait{ 1'000 };
constexpr Millis kStoreWait{ 2'000 };
constexpr int kTooManyRequests = 429;

/// Statuses by which a service or a gateway before it says that it could not serve the call.
bool IsFailure(int aStatus)
{
  return aStatus == 502 || aStatus == 503 || aStatus == 504;
}

struct RulingText
{
  ErrorCode mCode;
  Outcome mOutcome;
  std::optional<Millis> mRetryAfter;
  std::string_view mText;
};

RulingText TextOf(IntentReply aRuling)
{
  switch (aRuling) {
    case IntentReply::Running:
      return { ErrorCode::AlreadyRunning,
               Outcome::Unknown,
               kRunningRetryAfter,
               "a call with this Idempotency-Key is under way; send it again later with the same "
               "key to get its answer" };
    case IntentReply::Conflict:
      return { ErrorCode::IdempotencyKeyConflict,
               Outcome::NotRun,
               std::nullopt,
               "this Idempotency-Key was used with another call; this call did not run; choose a "
               "new key for new work" };
    case IntentReply::AnswerNotKept:
      return { ErrorCode::AnswerNotKept,
               Outcome::Unknown,
               std::nullopt,
               "the work ran once before; its answer was too large to be kept; ask the service "
               "for its state" };
    case IntentReply::StoreUnavailable:
      return { ErrorCode::PlatformUnavailable,
               Outcome::NotRun,
               kStoreWait,
               "work that must not repeat needs the key-value service, which does not answer in "
               "time; it did not run; send it again later with the same key" };
    case IntentReply::Unknown:
    case IntentReply::Stored:
      break;
  }
  return { ErrorCode::OutcomeUnknown,
           Outcome::Unknown,
           std::nullopt,
           "an earlier call with this Idempotency-Key may have run and is never run again; ask "
           "the service for its state before you choose a new key" };
}

} // namespace

bool IsRepeatable(const ServiceSpec& aService, std::string_view aMethod, std::string_view aPath)
{
  for (const auto& it : aService.mCalls) {
    if (it.mMethod == aMethod && aPath.starts_with(it.mPath)) {
      return it.mIsIdempotent;
    }
  }
  return false;
}

ServiceRelay::ServiceRelay(const ExchangePtr& aExchange,
                           const RelayParts& aParts,
                           Poco::Net::HTTPServerResponse& aResponse)
  : mExchange(aExchange)
  , mParts(aParts)
  , mResponse(aResponse)
{
}

void ServiceRelay::Run(std::string aBody)
{
  mCall.mMethod = mExchange->mMethod;
  mCall.mPath = mExchange->mPath;
  mCall.mBody = std::move(aBody);
  mCall.mContentType = mExchange->mContentType;
  mCall.mHeaders = { { "X-Request-Id", mExchange->mRequestId },
                     { "Gentianloom-Organisation", mExchange->mOrganisation } };
  if (!mExchange->mIdempotencyKey.empty()) {
    mCall.mHeaders.emplace_back("Idempotency-Key", mExchange->mIdempotencyKey);
  }
  mParts.mRetries.OnRequest();
  const auto& service = *mExchange->mConfiguration->Service(mExchange->mService);
  if (IsRepeatable(service, mExchange->mMethod, mExchange->mPath)) {
    RunRepeatable();
  } else {
    RunOnce();
  }
}

ServiceRelay::Attempted ServiceRelay::TryOnce()
{
  Attempted out;
  const auto& placement = *mExchange->mPlacement;
  mTried.push_back(placement.mEndpoint);
  const auto left = std::chrono::ceil<Millis>(mExchange->mDeadline - mParts.mClock.Now());
  const auto timeout = std::clamp(left, Millis(1), mParts.mSettings.mEndpointIdleTimeout);
  auto answer = CallHttp(placement.mAddress, mCall, timeout, Step::RequestDispatch);
  if (!answer) {
    out.mFacts.mProvedNotRun = answer.error().mProgress == CallProgress::NotSent;
    out.mError = answer.error().mError;
    out.mError.mCode = ErrorCode::EndpointFailed;
    out.mError.mPeer = placement.mEndpoint;
    return out;
  }
  const auto& it = answer.value();
  const bool refused = it.mStatus == kTooManyRequests;
  if (!it.mWhole || refused || IsFailure(it.mStatus)) {
    out.mFacts.mProvedNotRun = refused;
    out.mError = MakeError(
      it.mWhole ? ErrorCode::EndpointFailed : ErrorCode::AnswerIncomplete,
      Step::RequestDispatch,
      placement.mEndpoint,
      it.mWhole ? "the endpoint answered with status " + std::to_string(it.mStatus)
                : "the endpoint's answer has neither a length nor an end marker that was reached");
    return out;
  }
  out.mAnswer = ServiceResponse{ it.mStatus, it.mContentType, it.mBody };
  return out;
}

bool ServiceRelay::PlaceFirst()
{
  auto placed = mParts.mPipeline.PlaceAgain(mExchange, {});
  if (!placed) {
    GiveUp(std::move(placed.error()), Outcome::NotRun);
  }
  return placed.has_value();
}

bool ServiceRelay::PlaceElsewhere()
{
  mParts.mMetrics.CounterOf("gentianloom_retries_total", "kind=\"service\"").Add();
  auto& pipeline = mParts.mPipeline;
  return pipeline.PlaceAgain(mExchange, mTried) || pipeline.PlaceAgain(mExchange, {});
}

void ServiceRelay::RunRepeatable()
{
  if (!PlaceFirst()) {
    return;
  }
  RetryDecision decision(true, mExchange->mDeadline);
  while (true) {
    auto attempt = TryOnce();
    if (attempt.mAnswer) {
      Tell(*attempt.mAnswer);
      return;
    }
    auto order = decision.OnFailure(attempt.mFacts, mParts.mClock.Now(), mParts.mRetries);
    if (order == RetryAction::Retry) {
      if (PlaceElsewhere()) {
        continue;
      }
      order = decision.FinalAction();
    }
    GiveUp(std::move(attempt.mError),
           order == RetryAction::ReportNotRun ? Outcome::NotRun : Outcome::Unknown);
    return;
  }
}

void ServiceRelay::RunOnce()
{
  const auto& key = mExchange->mIdempotencyKey;
  if (key.empty() || key.size() > kMaxIdempotencyKeyBytes) {
    GiveUp(MakeError(ErrorCode::IdempotencyKeyMissing,
                     Step::IntentCreate,
                     "caller",
                     "this call must not repeat; send the header Idempotency-Key with 1 to " +
                       std::to_string(kMaxIdempotencyKeyBytes) +
                       " bytes, a new one for each piece of work and the same one on a retry"),
           Outcome::NotRun);
    return;
  }
  IntentCall call;
  call.mKey = MakeIntentKey(mExchange->mOrganisation, mExchange->mService, key);
  call.mFingerprint =
    ComputeCallFingerprint(mCall.mMethod, mCall.mPath, mCall.mContentType, mCall.mBody);
  call.mDeadline = mExchange->mDeadline;
  const auto permit = mParts.mIntents.Begin(call);
  if (permit.mMayRun) {
    Dispatch(permit);
  } else if (permit.mReply == IntentReply::Stored) {
    mResponse.set("Gentianloom-Answer", "stored");
    Tell(permit.mResponse);
  } else {
    TellRuling(permit);
  }
}

void ServiceRelay::Dispatch(const IntentPermit& aPermit)
{
  if (!PlaceFirst()) {
    mParts.mIntents.Resolve(aPermit, IntentState::NotRun, {});
    return;
  }
  RetryDecision decision(false, mExchange->mDeadline);
  auto error = MakeError(ErrorCode::DeadlineExceeded,
                         Step::IntentDispatch,
                         "self",
                         "the time to send this call passed before it was sent; it did not run");
  auto order = RetryAction::Retry;
  while (order == RetryAction::Retry) {
    if (!aPermit.mAttempt->MayDispatch(mParts.mClock.Now())) {
      order = decision.FinalAction();
      break;
    }
    auto attempt = TryOnce();
    if (attempt.mAnswer) {
      mParts.mIntents.Resolve(aPermit, IntentState::Done, *attempt.mAnswer);
      Tell(*attempt.mAnswer);
      return;
    }
    error = std::move(attempt.mError);
    order = decision.OnFailure(attempt.mFacts, mParts.mClock.Now(), mParts.mRetries);
    if (order == RetryAction::Retry && !PlaceElsewhere()) {
      order = decision.FinalAction();
    }
  }
  const bool notRun = order == RetryAction::ReportNotRun;
  mParts.mIntents.Resolve(aPermit, notRun ? IntentState::NotRun : IntentState::Unknown, {});
  GiveUp(std::move(error), notRun ? Outcome::NotRun : Outcome::Unknown);
}

void ServiceRelay::Tell(const ServiceResponse& aAnswer)
{
  mExchange->mOutcome = Outcome::Done;
  mResponse.set("Gentianloom-Outcome", "done");
  mResponse.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(aAnswer.mStatus));
  mResponse.setReason(Poco::Net::HTTPResponse::getReasonForStatus(mResponse.getStatus()));
  mResponse.setContentType(aAnswer.mContentType);
  mResponse.setContentLength(static_cast<std::streamsize>(aAnswer.mBody.size()));
  mResponse.send() << aAnswer.mBody << std::flush;
}

void ServiceRelay::TellRuling(const IntentPermit& aPermit)
{
  const auto ruling = TextOf(aPermit.mReply);
  auto error =
    MakeError(ruling.mCode, Step::IntentCreate, "key-value service", std::string(ruling.mText));
  error.mRetryAfter = ruling.mRetryAfter;
  GiveUp(std::move(error), ruling.mOutcome);
}

void ServiceRelay::GiveUp(Error aError, Outcome aOutcome)
{
  if (aOutcome == Outcome::NotRun && aError.mCode == ErrorCode::EndpointFailed) {
    aError.mRetryAfter = kEndpointWait;
  }
  mExchange->mOutcome = aOutcome;
  SendError(mResponse, aError, aOutcome);
}

} // namespace gentianloom
