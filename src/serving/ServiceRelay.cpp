#include "gentianloom/serving/ServiceRelay.h"

#include "gentianloom/serving/HttpMessages.h"

#include <Poco/Net/HTTPServerResponse.h>

#include <algorithm>

namespace gentianloom {

namespace {

constexpr Millis kEndpointRetryAfter{ 1'000 };
constexpr Millis kStoreRetryAfter{ 2'000 };
constexpr int kTooManyRequests = 429;

/// Whether a status means that a service, or a gateway in front of it, could not serve the call.
bool IsGatewayError(int aStatus)
{
  return aStatus == 502 || aStatus == 503 || aStatus == 504;
}

struct IntentReplyText
{
  ErrorCode mCode;
  Outcome mOutcome;
  std::optional<Millis> mRetryAfter;
  std::string_view mText;
};

IntentReplyText DescribeReply(IntentReply aReply)
{
  switch (aReply) {
    case IntentReply::Running:
      return { ErrorCode::AlreadyRunning,
               Outcome::Unknown,
               kRunningRetryAfter,
               "a call with this Idempotency-Key is still running; retry later with the same key "
               "to get its response" };
    case IntentReply::Conflict:
      return { ErrorCode::IdempotencyKeyConflict,
               Outcome::NotRun,
               std::nullopt,
               "this Idempotency-Key was used for a different call; this call did not run; use a "
               "new key for a new call" };
    case IntentReply::AnswerNotKept:
      return { ErrorCode::AnswerNotKept,
               Outcome::Unknown,
               std::nullopt,
               "the call has already run; its response was too large to be stored; query the state "
               "of the service" };
    case IntentReply::StoreUnavailable:
      return { ErrorCode::PlatformUnavailable,
               Outcome::NotRun,
               kStoreRetryAfter,
               "the call did not run: it is not idempotent and needs the key-value service, which "
               "did not respond in time; retry later with the same key" };
    case IntentReply::Unknown:
    case IntentReply::Stored:
      break;
  }
  return {
    ErrorCode::OutcomeUnknown,
    Outcome::Unknown,
    std::nullopt,
    "an earlier call with this Idempotency-Key may have run and will not be run again; query "
    "the state of the service before using a new key"
  };
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
                           const RelayDependencies& aDependencies,
                           Poco::Net::HTTPServerResponse& aResponse)
  : mExchange(aExchange)
  , mDependencies(aDependencies)
  , mResponse(aResponse)
{
}

void ServiceRelay::Run(std::string aBody)
{
  mRequest.mMethod = mExchange->mMethod;
  mRequest.mPath = mExchange->mPath;
  mRequest.mBody = std::move(aBody);
  mRequest.mContentType = mExchange->mContentType;
  mRequest.mHeaders = { { "X-Request-Id", mExchange->mRequestId },
                        { "Gentianloom-Organisation", mExchange->mOrganisation } };
  if (!mExchange->mIdempotencyKey.empty()) {
    mRequest.mHeaders.emplace_back("Idempotency-Key", mExchange->mIdempotencyKey);
  }
  mDependencies.mRetryBudget.OnRequest();
  const auto& service = *mExchange->mConfiguration->Service(mExchange->mService);
  if (IsRepeatable(service, mExchange->mMethod, mExchange->mPath)) {
    RunRepeatable();
  } else {
    RunAtMostOnce();
  }
}

ServiceRelay::CallResult ServiceRelay::RunAttempt()
{
  CallResult out;
  const auto& placement = *mExchange->mPlacement;
  mTriedEndpoints.push_back(placement.mEndpoint);
  const auto left = std::chrono::ceil<Millis>(mExchange->mDeadline - mDependencies.mClock.Now());
  const auto timeout = std::clamp(left, Millis(1), mDependencies.mSettings.mEndpointIdleTimeout);
  const auto maxDuration = std::max(left, timeout);
  auto result = CallHttp(placement.mAddress, mRequest, timeout, Step::RequestDispatch, maxDuration);
  if (!result) {
    out.mFailure.mRequestDidNotRun = result.error().mProgress == CallProgress::NotSent;
    out.mError = result.error().mError;
    out.mError.mCode = ErrorCode::EndpointFailed;
    out.mError.mPeer = placement.mEndpoint;
    return out;
  }
  const auto& it = result.value();
  const bool isRejected = it.mStatus == kTooManyRequests;
  if (!it.mIsComplete || isRejected || IsGatewayError(it.mStatus)) {
    out.mFailure.mRequestDidNotRun = isRejected;
    out.mError = MakeError(
      it.mIsComplete ? ErrorCode::EndpointFailed : ErrorCode::AnswerIncomplete,
      Step::RequestDispatch,
      placement.mEndpoint,
      it.mIsComplete
        ? "the endpoint responded with status " + std::to_string(it.mStatus)
        : "the endpoint's response is incomplete or has neither a length nor an end marker");
    return out;
  }
  out.mResponse = ServiceResponse{ it.mStatus, it.mContentType, it.mBody };
  return out;
}

bool ServiceRelay::ChooseFirstEndpoint()
{
  auto placed = mDependencies.mPipeline.PlaceExcluding(mExchange, {});
  if (!placed) {
    SendFailure(std::move(placed.error()), Outcome::NotRun);
  }
  return placed.has_value();
}

bool ServiceRelay::ChooseNextEndpoint()
{
  mDependencies.mMetrics.CounterOf("gentianloom_retries_total", "kind=\"service\"").Add();
  auto& pipeline = mDependencies.mPipeline;
  return pipeline.PlaceExcluding(mExchange, mTriedEndpoints) ||
         pipeline.PlaceExcluding(mExchange, {});
}

void ServiceRelay::RunRepeatable()
{
  if (!ChooseFirstEndpoint()) {
    return;
  }
  RetryDecision decision(true, mExchange->mDeadline);
  while (true) {
    auto attempt = RunAttempt();
    if (attempt.mResponse) {
      SendServiceResponse(*attempt.mResponse);
      return;
    }
    auto action =
      decision.OnFailure(attempt.mFailure, mDependencies.mClock.Now(), mDependencies.mRetryBudget);
    if (action == RetryAction::Retry) {
      if (ChooseNextEndpoint()) {
        continue;
      }
      action = decision.FinalAction();
    }
    SendFailure(std::move(attempt.mError),
                action == RetryAction::ReportNotRun ? Outcome::NotRun : Outcome::Unknown);
    return;
  }
}

void ServiceRelay::RunAtMostOnce()
{
  const auto& key = mExchange->mIdempotencyKey;
  if (key.empty() || key.size() > kMaxIdempotencyKeyBytes) {
    SendFailure(
      MakeError(ErrorCode::IdempotencyKeyMissing,
                Step::IntentCreate,
                "caller",
                "this call is not idempotent; send the header Idempotency-Key with 1 to " +
                  std::to_string(kMaxIdempotencyKeyBytes) +
                  " bytes, a new key for each new call and the same key for a retry"),
      Outcome::NotRun);
    return;
  }
  IntentCall call;
  call.mKey = MakeIntentKey(mExchange->mOrganisation, mExchange->mService, key);
  call.mFingerprint =
    ComputeCallFingerprint(mRequest.mMethod, mRequest.mPath, mRequest.mContentType, mRequest.mBody);
  call.mDeadline = mExchange->mDeadline;
  const auto beginResult = mDependencies.mIntents.Begin(call);
  if (beginResult.mMayRun) {
    Dispatch(beginResult);
  } else if (beginResult.mReply == IntentReply::Stored) {
    mResponse.set("Gentianloom-Answer", "stored");
    SendServiceResponse(beginResult.mResponse);
  } else {
    SendIntentReply(beginResult);
  }
}

void ServiceRelay::Dispatch(const IntentBeginResult& aBeginResult)
{
  if (!ChooseFirstEndpoint()) {
    mDependencies.mIntents.Resolve(aBeginResult, IntentState::NotRun, {});
    return;
  }
  RetryDecision decision(false, mExchange->mDeadline);
  auto error = MakeError(ErrorCode::DeadlineExceeded,
                         Step::IntentDispatch,
                         "self",
                         "the deadline for sending this call passed; it did not run");
  auto action = RetryAction::Retry;
  while (action == RetryAction::Retry) {
    if (!aBeginResult.mAttempt->MayDispatch(mDependencies.mClock.Now())) {
      action = decision.FinalAction();
      break;
    }
    auto attempt = RunAttempt();
    if (attempt.mResponse) {
      mDependencies.mIntents.Resolve(aBeginResult, IntentState::Done, *attempt.mResponse);
      SendServiceResponse(*attempt.mResponse);
      return;
    }
    error = std::move(attempt.mError);
    action =
      decision.OnFailure(attempt.mFailure, mDependencies.mClock.Now(), mDependencies.mRetryBudget);
    if (action == RetryAction::Retry && !ChooseNextEndpoint()) {
      action = decision.FinalAction();
    }
  }
  const bool isNotRun = action == RetryAction::ReportNotRun;
  mDependencies.mIntents.Resolve(
    aBeginResult, isNotRun ? IntentState::NotRun : IntentState::Unknown, {});
  SendFailure(std::move(error), isNotRun ? Outcome::NotRun : Outcome::Unknown);
}

void ServiceRelay::SendServiceResponse(const ServiceResponse& aServiceResponse)
{
  mExchange->mOutcome = Outcome::Done;
  mResponse.set("Gentianloom-Outcome", "done");
  mResponse.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(aServiceResponse.mStatus));
  mResponse.setReason(Poco::Net::HTTPResponse::getReasonForStatus(mResponse.getStatus()));
  mResponse.setContentType(aServiceResponse.mContentType);
  mResponse.setContentLength(static_cast<std::streamsize>(aServiceResponse.mBody.size()));
  mResponse.send() << aServiceResponse.mBody << std::flush;
}

void ServiceRelay::SendIntentReply(const IntentBeginResult& aBeginResult)
{
  const auto text = DescribeReply(aBeginResult.mReply);
  auto error =
    MakeError(text.mCode, Step::IntentCreate, "key-value service", std::string(text.mText));
  error.mRetryAfter = text.mRetryAfter;
  SendFailure(std::move(error), text.mOutcome);
}

void ServiceRelay::SendFailure(Error aError, Outcome aOutcome)
{
  if (aOutcome == Outcome::NotRun && aError.mCode == ErrorCode::EndpointFailed) {
    aError.mRetryAfter = kEndpointRetryAfter;
  }
  mExchange->mOutcome = aOutcome;
  SendError(mResponse, aError, aOutcome);
}

} // namespace gentianloom
