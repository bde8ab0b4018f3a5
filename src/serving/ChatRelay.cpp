#include "gentianloom/serving/ChatRelay.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/serving/ChatDelta.h"
#include "gentianloom/serving/EngineRequests.h"
#include "gentianloom/serving/HttpMessages.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <algorithm>

namespace gentianloom {

namespace {

constexpr Millis kEndpointRetryAfter{ 1'000 };
constexpr int kMaxResumes = 2;
/// Time between two checks of the deadline and of the caller while events arrive.
constexpr Millis kCheckInterval{ 100 };
constexpr int kOk = 200;

Json UsageToJson(const Exchange& aExchange)
{
  return { { "prompt_tokens", aExchange.mPromptTokens },
           { "completion_tokens", aExchange.mOutputTokens },
           { "total_tokens", aExchange.mPromptTokens + aExchange.mOutputTokens } };
}

} // namespace

ChatRelay::ChatRelay(const ExchangePtr& aExchange,
                     const RelayDependencies& aDependencies,
                     Poco::Net::HTTPServerRequest& aRequest,
                     Poco::Net::HTTPServerResponse& aResponse)
  : mExchange(aExchange)
  , mDependencies(aDependencies)
  , mRequest(aRequest)
  , mResponse(aResponse)
{
}

void ChatRelay::Run()
{
  mDependencies.mRetryBudget.OnRequest();
  if (mExchange->mResumeEndpoint.empty()) {
    RunAttempts();
  } else {
    ResumeRequestedStream();
  }
}

void ChatRelay::RunAttempts()
{
  RetryDecision decision(true, mExchange->mDeadline);
  while (true) {
    if (IsClientDisconnected(mRequest)) {
      const bool isNotRun = decision.FinalAction() == RetryAction::ReportNotRun;
      mExchange->mOutcome = isNotRun ? Outcome::NotRun : Outcome::Unknown;
      return;
    }
    if (!decision.MaySend(mDependencies.mClock.Now())) {
      SendFailure(MakeError(ErrorCode::DeadlineExceeded,
                            Step::RequestDispatch,
                            "self",
                            "the deadline passed before the request was sent"),
                  decision.FinalAction() == RetryAction::ReportNotRun ? Outcome::NotRun
                                                                      : Outcome::Unknown);
      return;
    }
    auto failure = RunAttempt();
    if (!failure) {
      return;
    }
    auto action =
      decision.OnFailure(failure->mFailure, mDependencies.mClock.Now(), mDependencies.mRetryBudget);
    if (action == RetryAction::Retry) {
      mDependencies.mMetrics.CounterOf("gentianloom_retries_total", "kind=\"chat\"").Add();
      if (mDependencies.mPipeline.PlaceExcluding(mExchange, mTriedEndpoints)) {
        continue;
      }
      action = decision.FinalAction();
    }
    const bool isNotRun = action == RetryAction::ReportNotRun;
    SendFailure(std::move(failure->mError), isNotRun ? Outcome::NotRun : Outcome::Unknown);
    return;
  }
}

std::optional<ChatRelay::FailedAttempt> ChatRelay::RunAttempt()
{
  mTriedEndpoints.push_back(mExchange->mPlacement->mEndpoint);
  mResponseText.clear();
  mExchange->mPromptTokens = 0;
  mExchange->mOutputTokens = 0;
  auto failure = OpenStream(MakeCompletionRequest(*mExchange), 0);
  if (!failure) {
    failure = RelayEvents();
  }
  while (failure && mValidator && mValidator->LastSequence() > 0 && !mIsFinished && Resume()) {
    failure = RelayEvents();
  }
  ReportAttempt(failure ? failure->mAttemptOutcome : AttemptOutcome::Done);
  return failure;
}

std::optional<ChatRelay::FailedAttempt> ChatRelay::OpenStream(const HttpRequest& aRequest,
                                                              std::int64_t aAfter)
{
  const auto& placement = *mExchange->mPlacement;
  mStream.reset();
  mAttemptId = MakeId("attempt");
  mDispatchedAt = mDependencies.mClock.Now();
  mFirstTokenAt = {};
  auto request = aRequest;
  request.mHeaders.emplace_back(kAttemptHeader, mAttemptId);
  const auto left = std::chrono::ceil<Millis>(mExchange->mDeadline - mDispatchedAt);
  auto stream = EngineStream::Start(placement.mAddress, request, mDependencies.mSettings, left);
  if (!stream) {
    const bool mayHaveRun = stream.error().mProgress == CallProgress::Sent;
    return FailedAttempt{ { !mayHaveRun, mStreamOut != nullptr },
                          mayHaveRun ? AttemptOutcome::Interrupted : AttemptOutcome::NotReached,
                          stream.error().mError };
  }
  mStream = std::move(stream.value());
  auto status = mStream->ReadStatus();
  if (!status) {
    return FailedAttempt{ { false, mStreamOut != nullptr },
                          AttemptOutcome::Interrupted,
                          status.error() };
  }
  if (status.value() != kOk) {
    auto failure = MakeFailure(AttemptOutcome::Refused,
                               ErrorCode::EndpointFailed,
                               "the endpoint rejected the request with status " +
                                 std::to_string(status.value()) + ": " + mStream->ReadRemainder());
    failure.mFailure.mRequestDidNotRun = StatesNotRun(status.value());
    return failure;
  }
  mValidator.emplace(
    mExchange->mRequestId, placement.mEndpoint, mDependencies.mEchoingEngines, aAfter);
  return std::nullopt;
}

ChatRelay::FailedAttempt ChatRelay::MakeFailure(AttemptOutcome aAttemptOutcome,
                                                ErrorCode aCode,
                                                std::string aText)
{
  auto error =
    MakeError(aCode, Step::RequestRelay, mExchange->mPlacement->mEndpoint, std::move(aText));
  error.mRetryAfter = kEndpointRetryAfter;
  return { { false, mStreamOut != nullptr }, aAttemptOutcome, std::move(error) };
}

bool ChatRelay::Resume()
{
  if (mResumeCount >= kMaxResumes || mDependencies.mClock.Now() >= mExchange->mDeadline ||
      IsClientDisconnected(mRequest)) {
    return false;
  }
  ++mResumeCount;
  const auto after = mValidator->LastSequence();
  const bool isResumed = !OpenStream(MakeResumeRequest(*mExchange, after), after);
  mDependencies.mMetrics
    .CounterOf("gentianloom_resumes_total", isResumed ? "result=\"done\"" : "result=\"failed\"")
    .Add();
  return isResumed;
}

void ChatRelay::ResumeRequestedStream()
{
  const auto after = mExchange->mResumeAfter;
  auto placed = mDependencies.mPipeline.PlaceOnEndpoint(mExchange, mExchange->mResumeEndpoint);
  if (!placed) {
    SendError(mResponse, placed.error(), mExchange->mOutcome = Outcome::Unknown);
    return;
  }
  auto failure = OpenStream(MakeResumeRequest(*mExchange, after), after);
  if (!failure) {
    failure = RelayEvents();
  }
  while (failure && mValidator && !mIsFinished && Resume()) {
    failure = RelayEvents();
  }
  if (!failure) {
    return;
  }
  failure->mError.mCode = ErrorCode::OutcomeUnknown;
  failure->mError.mText =
    "the endpoint cannot resume this stream (" + failure->mError.mText +
    "); send the request without Gentianloom-Resume and with a new X-Request-Id to run it again";
  if (!mValidator) { // the stream could not be opened, so this router charges nothing
    SendError(mResponse, failure->mError, mExchange->mOutcome = Outcome::Unknown);
    return;
  }
  SendFailure(std::move(failure->mError), Outcome::Unknown);
}

std::optional<ChatRelay::FailedAttempt> ChatRelay::RelayEvents()
{
  auto lastReceived = mDependencies.mClock.Now();
  auto lastChecked = lastReceived;
  while (!mIsFinished) {
    const auto before = mDependencies.mClock.Now();
    const auto event = mStream->ReadEvent();
    const auto now = std::max(before, mDependencies.mClock.Now());
    const bool isIdle = event.mState == StreamState::Idle;
    if (!isIdle) {
      lastReceived = now;
    }
    if (isIdle || now - lastChecked > kCheckInterval) {
      lastChecked = now;
      if (auto failure = CheckStillWanted(lastReceived)) {
        return failure;
      }
    }
    if (mIsFinished || isIdle || event.mState == StreamState::Comment) {
      continue;
    }
    if (auto failure = HandleEvent(event)) {
      mStream.reset(); // a connection with unread response data must not be reused
      return failure;
    }
  }
  return std::nullopt;
}

std::optional<ChatRelay::FailedAttempt> ChatRelay::CheckStillWanted(TimePoint aLastReceived)
{
  const auto now = mDependencies.mClock.Now();
  if (now >= mExchange->mDeadline) {
    CancelStream();
    return MakeFailure(AttemptOutcome::TimedOut,
                       ErrorCode::DeadlineExceeded,
                       "the deadline passed before the response was complete");
  }
  if (now - aLastReceived > mDependencies.mSettings.mEndpointIdleTimeout) {
    mStream.reset();
    return MakeFailure(AttemptOutcome::TimedOut,
                       ErrorCode::AnswerIncomplete,
                       "the endpoint stopped sending before the response was complete");
  }
  if (IsClientDisconnected(mRequest)) {
    HandleCallerDisconnect();
  }
  return std::nullopt;
}

std::optional<ChatRelay::FailedAttempt> ChatRelay::HandleEvent(const StreamEvent& aEvent)
{
  if (aEvent.mState == StreamState::Broken) {
    return MakeFailure(AttemptOutcome::Interrupted,
                       ErrorCode::AnswerIncomplete,
                       "the endpoint's response ended before its end marker");
  }
  if (aEvent.mState == StreamState::Done) {
    FinishSuccessfully();
    return std::nullopt;
  }
  const auto result = mValidator->Check(aEvent.mData, aEvent.mSequence, aEvent.mOutputTokens);
  if (result == EventCheckResult::Duplicate) {
    return std::nullopt;
  }
  if (result != EventCheckResult::InOrder) {
    const bool isWrongExchange = result == EventCheckResult::WrongExchange;
    mDependencies.mMetrics
      .CounterOf("gentianloom_bad_events_total",
                 isWrongExchange ? "kind=\"crossed\"" : "kind=\"gap\"")
      .Add();
    return MakeFailure(AttemptOutcome::Interrupted,
                       ErrorCode::AnswerIncomplete,
                       isWrongExchange ? "the endpoint sent an event of another request"
                                       : "the endpoint's events are out of order");
  }
  mExchange->mPromptTokens = aEvent.mPromptTokens;
  mExchange->RecordTokens(aEvent.mOutputTokens, mDependencies.mClock.Now());
  if (mFirstTokenAt == TimePoint{}) {
    mFirstTokenAt = mDependencies.mClock.Now();
    mDependencies.mObserver.OnFirstToken(mExchange->mPlacement->mEndpoint,
                                         mFirstTokenAt - mDispatchedAt);
  }
  if (ExceedsOutputBound()) {
    mFinishReason = "length";
    CancelStream();
    FinishSuccessfully();
  } else if (!RelayEvent(aEvent)) {
    HandleCallerDisconnect();
  }
  return std::nullopt;
}

bool ChatRelay::RelayEvent(const StreamEvent& aEvent)
{
  if (!mExchange->mIsStreaming) {
    AppendText(aEvent.mData);
    return true;
  }
  SendHeaders();
  if (aEvent.mSequence > 0) {
    *mStreamOut << "id: " << aEvent.mSequence << "\n";
  }
  *mStreamOut << "data: " << aEvent.mData << "\n\n";
  if (!aEvent.mHasMoreBuffered) {
    mStreamOut->flush();
  }
  return mStreamOut->good();
}

void ChatRelay::HandleCallerDisconnect()
{
  ChargeUnreportedPrompt();
  CancelStream();
  mExchange->mOutcome = Outcome::Unknown;
  mIsFinished = true;
}

void ChatRelay::CancelStream()
{
  mStream.reset();
  const auto response = CallHttp(mExchange->mPlacement->mAddress,
                                 MakeCancelRequest(*mExchange, mAttemptId),
                                 mDependencies.mSettings.mConnectTimeout,
                                 Step::RequestRelay);
  mDependencies.mMetrics
    .CounterOf("gentianloom_cancels_total", response ? "result=\"sent\"" : "result=\"failed\"")
    .Add();
}

void ChatRelay::ReportAttempt(AttemptOutcome aAttemptOutcome)
{
  gentianloom::Attempt attempt;
  attempt.mEndpoint = mExchange->mPlacement->mEndpoint;
  attempt.mFingerprint = mExchange->mFingerprint;
  attempt.mOutcome = aAttemptOutcome == AttemptOutcome::Done && mExchange->mOutcome != Outcome::Done
                       ? AttemptOutcome::CallerDisconnected
                       : aAttemptOutcome;
  attempt.mTotal = mDependencies.mClock.Now() - mDispatchedAt;
  if (mFirstTokenAt != TimePoint{}) {
    attempt.mFirstToken = mFirstTokenAt - mDispatchedAt;
  }
  attempt.mOutputTokens = mExchange->mOutputTokens;
  mDependencies.mObserver.OnAttempt(attempt);
}

bool ChatRelay::ExceedsOutputBound() const
{
  return mExchange->mOutputTokens > mExchange->mOutputBound;
}

void ChatRelay::SendHeaders()
{
  if (mStreamOut != nullptr) {
    return;
  }
  mResponse.setStatus(Poco::Net::HTTPResponse::HTTP_OK);
  mResponse.setContentType("text/event-stream");
  mResponse.set("Cache-Control", "no-store");
  mResponse.set(kResumeHeader, mExchange->mPlacement->mEndpoint);
  mResponse.setChunkedTransferEncoding(true);
  mStreamOut = &mResponse.send();
}

void ChatRelay::AppendText(const std::string& aData)
{
  auto delta = ParseChatDelta(aData);
  mResponseText += delta.mText;
  if (!delta.mFinishReason.empty()) {
    mFinishReason = std::move(delta.mFinishReason);
  }
}

void ChatRelay::FinishSuccessfully()
{
  mIsFinished = true;
  mExchange->mOutcome = Outcome::Done;
  mExchange->mOutputTokens = std::min(mExchange->mOutputTokens, mExchange->mOutputBound);
  Json body = { { "id", mExchange->mRequestId },
                { "model", mExchange->mModel },
                { "usage", UsageToJson(*mExchange) },
                { "gentianloom", { { "outcome", "done" } } } };
  if (mExchange->mIsStreaming) {
    SendHeaders();
    body["object"] = "chat.completion.chunk";
    body["choices"] = Json::array();
    *mStreamOut << "data: " << body.dump() << "\n\ndata: [DONE]\n\n" << std::flush;
    return;
  }
  body["object"] = "chat.completion";
  body["choices"] =
    Json::array({ { { "index", 0 },
                    { "message", { { "role", "assistant" }, { "content", mResponseText } } },
                    { "finish_reason", mFinishReason } } });
  mResponse.set("Gentianloom-Outcome", "done");
  SendJson(mResponse, kOk, body);
}

void ChatRelay::ChargeUnreportedPrompt()
{
  // The engine may have processed the whole prompt before it reported any usage.
  if (mExchange->mPromptTokens == 0) {
    mExchange->mPromptTokens = mExchange->mPromptBound;
  }
}

void ChatRelay::SendFailure(Error aError, Outcome aOutcome)
{
  mIsFinished = true;
  mExchange->mOutcome = aOutcome;
  if (aOutcome == Outcome::Unknown) {
    ChargeUnreportedPrompt();
  }
  if (!aError.mRetryAfter) {
    aError.mRetryAfter = kEndpointRetryAfter;
  }
  if (mStreamOut == nullptr) {
    SendError(mResponse, aError, aOutcome);
    return;
  }
  *mStreamOut << "data: " << ErrorToJson(aError, aOutcome).dump() << "\n\n" << std::flush;
}

} // namespace gentianloom
