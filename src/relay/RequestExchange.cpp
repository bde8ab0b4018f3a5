#include "gentianloom/relay/RequestExchange.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/net/HttpStatus.h"
#include "gentianloom/outcome/RetryAfter.h"
#include "gentianloom/relay/RequestFingerprint.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace gentianloom {

namespace {

/// Retry-After when no endpoint accepts work or no configuration has been read yet.
constexpr Millis kRetryAfter{ 400 };
/// Bounds of the Retry-After when all endpoints have asked for a pause.
constexpr Millis kMinPauseRetryAfter{ 50 };
constexpr Millis kMaxPauseRetryAfter{ 4'000 };
/// Time limit of a request for which the caller states none; the timeout of the route applies as
/// well.
constexpr Millis kDefaultTimeout{ 30'000 };

/// A request waits for tokens for at most the time that its caller waits, divided by this: the rest
/// is needed to serve it.
constexpr int kMaxReserveWaitDivisor = 3;

/// Requests that this instance serves for others at a time, on top of those of its own callers.
constexpr int kMaxPeerRequests = 96;

std::string ToSecondsText(Millis aTime)
{
  std::array<char, 32> buf{};
  const int n =
    std::snprintf(buf.data(), buf.size(), "%.3f", static_cast<double>(aTime.count()) / 1'000.0);
  return { buf.data(), static_cast<std::size_t>(n) };
}

/// Whether another instance may be able to serve a request that this one rejects with an error.
bool MayBeServedElsewhere(ErrorCode aCode)
{
  constexpr std::array kCodes = { ErrorCode::Leaving,
                                  ErrorCode::PlatformUnavailable,
                                  ErrorCode::UnknownPath,
                                  ErrorCode::NotAuthenticated,
                                  ErrorCode::NoEndpoint };
  return std::find(kCodes.begin(), kCodes.end(), aCode) != kCodes.end();
}

} // namespace

RequestExchange::RequestExchange(RelayContext& aContext,
                                 net::Channel& aChannel,
                                 std::shared_ptr<net::Signal> aSignal,
                                 net::RequestHead aHead,
                                 std::string aBody,
                                 bool aHasBody,
                                 RequestSource aSource)
  : mContext(aContext)
  , mSignal(std::move(aSignal))
  , mHead(std::move(aHead))
  , mBody(std::move(aBody))
  , mHasBody(aHasBody)
  , mSource(aSource)
  , mWriter(aChannel, mHead.mKeepAlive && !aContext.mIsLeaving)
  , mStartedAt(aContext.mClock.Now())
  , mDeadline(mStartedAt + kDefaultTimeout)
{
  ++mContext.mOpenRequests;
  mContext.mOpenPeerRequests += mSource == RequestSource::Caller ? 0 : 1;
}

RequestExchange::~RequestExchange()
{
  --mContext.mOpenRequests;
  mContext.mOpenPeerRequests -= mSource == RequestSource::Caller ? 0 : 1;
}

net::Task<bool> RequestExchange::Run()
{
  bool isAdmitted = Admit();
  if (isAdmitted && IsContactLost()) {
    co_await RunAtPeers();
    isAdmitted = false;
  }
  if (isAdmitted) {
    isAdmitted = co_await FindStreamOrigin();
  }
  if (isAdmitted) {
    mContext.mRetryBudgets.Of(mService).OnRequest();
    const bool isReserved = co_await ReserveTokens();
    if (isReserved) {
      co_await RunAttempts();
      SettleTokens();
    }
  }
  Log();
  co_return mWriter.KeepsAlive();
}

bool RequestExchange::Admit()
{
  auto request = mContext.mCodec.Decode(mHead);
  if (!request) {
    SendError(net::kBadRequest, request.error());
    return false;
  }
  mRequest = std::move(request.value());
  if (mSource == RequestSource::UnknownPeer || mContext.mOpenPeerRequests > kMaxPeerRequests) {
    auto error = MakeError(ErrorCode::NoEndpoint,
                           Step::RequestAccept,
                           "peer",
                           "this instance serves no further requests of other instances");
    error.mRetryAfter = kRetryAfter;
    SendError(net::kUnavailable, error);
    return false;
  }
  if (mContext.mRejectsNewRequests) {
    RejectLeaving();
    return false;
  }
  mRoutes = mContext.mRoutes;
  if (!mRoutes) {
    auto error = MakeError(ErrorCode::PlatformUnavailable,
                           Step::RequestAccept,
                           "self",
                           "no configuration has been loaded yet; the request did not run");
    error.mRetryAfter = kRetryAfter;
    SendError(net::kUnavailable, error);
    return false;
  }
  mRoute = mRoutes->Find(mRequest.mHost, mRequest.mPath);
  if (mRoute == nullptr) {
    SendError(net::kNotFound,
              MakeError(ErrorCode::UnknownPath,
                        Step::RequestAccept,
                        "caller",
                        "no route matches this host and path"));
    return false;
  }
  const auto timeout = std::min(mRequest.mTimeout.value_or(kDefaultTimeout), mRoute->mTimeout);
  mDeadline = mStartedAt + timeout;
  if (mContext.mServesUntil && mDeadline > *mContext.mServesUntil && !mRoute->IsRepeatable()) {
    // It could be cut at the end of this instance, and its caller could not send it again.
    RejectLeaving();
    return false;
  }
  if (mRoutes->HasAccounts()) {
    mAccount = mRoutes->AccountByKey(mRequest.mApiKey);
    if (mAccount == nullptr && !mRoute->mAllowsAnonymous) {
      SendError(net::kUnauthorized,
                MakeError(ErrorCode::NotAuthenticated,
                          Step::RequestAuthenticate,
                          "caller",
                          "the API key is missing or unknown"));
      return false;
    }
  }
  mAllowedZones = mContext.mRegions.ZonesIn(Intersect(
    mRoute->mAllowedRegions, mAccount == nullptr ? AllowedRegions() : mAccount->mAllowedRegions));
  mService = RouteTable::ChooseService(*mRoute, StableHash(mRequest.mId));
  const auto organisation = mAccount == nullptr ? std::string_view() : mAccount->mName;
  mCrashKeys =
    MakeCrashKeys(MakeRequestFingerprint(organisation, mRequest.mHost + mHead.mTarget, mBody),
                  mRequest.mPromptParts);
  const auto blockedFor = BlockedFor();
  if (blockedFor && !mContext.mGuard->IsTrialDue(mCrashKeys)) {
    RejectBlocked(*blockedFor);
    return false;
  }
  return true;
}

void RequestExchange::RejectLeaving()
{
  auto error =
    MakeError(ErrorCode::Leaving,
              Step::RequestAccept,
              "self",
              "this instance is shutting down; the request did not run; retry on another instance");
  error.mRetryAfter = Millis(0);
  SendError(net::kUnavailable, error);
}

Micros RequestExchange::TimeLeft() const
{
  const auto& end = mContext.mServesUntil;
  return (end ? std::min(mDeadline, *end) : mDeadline) - mContext.mClock.Now();
}

void RequestExchange::RejectResume(std::string_view aReason)
{
  auto error = MakeError(ErrorCode::NoEndpoint,
                         Step::RequestPlace,
                         mService,
                         std::string(aReason) + "; the request did not run");
  error.mRetryAfter = kRetryAfter;
  SendError(net::kUnavailable, error);
}

net::Task<bool> RequestExchange::ReserveTokens()
{
  const bool isPrepaidRequest = mAccount != nullptr && mAccount->mPrepaid && mRequest.mPromptTokens;
  if (!isPrepaidRequest) {
    co_return true;
  }
  const auto maxTokens = mRequest.MaxTokens();
  if (!maxTokens) {
    SendError(net::kBadRequest,
              MakeError(ErrorCode::MalformedRequest,
                        Step::RequestReserve,
                        "caller",
                        "the token counts of the request are out of range; it did not run"));
    co_return false;
  }
  TokenRequest request;
  request.mBudget = mAccount->mName;
  request.mTokens = *maxTokens;
  request.mMaxWait = std::min<Micros>(TimeLeft(), mRoute->mPatience) / kMaxReserveWaitDivisor;
  request.mLifetime = TimeLeft();
  request.mSignal = mSignal;
  request.mIsAbandoned = [this] { return mWriter.IsCallerDisconnected(); };
  const auto tokens = request.mTokens;
  mReservation = co_await mContext.mReservations.Reserve(std::move(request));
  mReserveDuration = mContext.mClock.Now() - mStartedAt;
  if (mReservation.mOutcome != ReservationOutcome::Reserved) {
    OnTokensNotReserved(tokens);
    co_return false;
  }
  co_return true;
}

void RequestExchange::OnTokensNotReserved(Tokens aTokens)
{
  if (mReservation.mOutcome == ReservationOutcome::Abandoned) {
    mFailureReason = "the caller disconnected while tokens were being reserved";
    return;
  }
  if (mReservation.mOutcome == ReservationOutcome::Exhausted) {
    SendError(net::kPaymentRequired,
              MakeError(ErrorCode::BudgetExhausted,
                        Step::RequestReserve,
                        mAccount->mName,
                        "the remaining budget does not cover " + std::to_string(aTokens) +
                          " tokens; the request did not run"));
    return;
  }
  auto error = MakeError(ErrorCode::BudgetBusy,
                         Step::RequestReserve,
                         mAccount->mName,
                         "tokens cannot be reserved at the moment; the request did not run");
  error.mRetryAfter = EstimateRetryAfter(mReservation.mOutage);
  SendError(net::kUnavailable, error);
}

bool RequestExchange::MayRetry(const AttemptResult& aResult)
{
  const auto attempts = static_cast<std::int64_t>(mTriedEndpoints.size());
  const bool isResponseStarted = mWriter.State() != ResponseState::NotStarted;
  // Without the position of the last event, an endpoint would begin the stream anew.
  const bool isResumable = mRoute->mIsResumable && mProgress.mLastEventId;
  const bool isRetrySafe =
    aResult.mRequestDidNotRun || (mRoute->IsRepeatable() && (!isResponseStarted || isResumable));
  if (!isRetrySafe || IsSuspect() || mWriter.IsCallerDisconnected() ||
      aResult.mOutcome == AttemptOutcome::TimedOut ||
      aResult.mOutcome == AttemptOutcome::InstanceEnded ||
      aResult.mOutcome == AttemptOutcome::CallerDisconnected || TimeLeft() <= Micros(0)) {
    return false;
  }
  if (aResult.mOutcome == AttemptOutcome::NotReached) {
    return attempts < kMaxAttempts;
  }
  return attempts < mRoute->mMaxAttempts && mContext.mRetryBudgets.Of(mService).TryTake();
}

net::Task<void> RequestExchange::RunAttempt()
{
  const AttemptRequest request{ mHead,
                                mBody,
                                mHasBody,
                                mSource,
                                mRequest,
                                *mRoute,
                                mAccount == nullptr ? std::string() : mAccount->mName,
                                Stream(),
                                PartKeys(),
                                mDeadline };
  EndpointAttempt attempt(mContext, request, mPlacement, mWriter, mProgress, mSignal);
  mLastAttempt = co_await attempt.Run();
  mRequestMayHaveRun = mRequestMayHaveRun || !mLastAttempt.mRequestDidNotRun;
}

net::Task<void> RequestExchange::RunAttempts()
{
  bool willRetry = true;
  while (willRetry) {
    bool isAllowed = true;
    if (!mRequestMayHaveRun) {
      isAllowed = co_await PassGuard();
    }
    if (!isAllowed) {
      co_return;
    }
    if (!mTriedEndpoints.empty() && IsContactLost() && MayAskPeers()) {
      co_await RunAtPeers();
      co_return;
    }
    co_await Place();
    if (mWriter.IsCallerDisconnected()) {
      mFailureReason = "the caller disconnected";
      co_return;
    }
    if (!mPlacement.mEndpoint) {
      mFailureReason = "no endpoint of " + mService +
                       (mProgress.mOrigin ? " with the stream's software version" : "") +
                       " accepts work";
      break;
    }
    if (mContext.mServesUntil && TimeLeft() <= Micros(0)) {
      mFailureReason = "this instance has shut down";
      break;
    }
    co_await RunAttempt();
    ReportToGuard();
    mTriedEndpoints.push_back(mPlacement.mEndpoint->mEntry.mId);
    mNotReachedAttempts += mLastAttempt.mOutcome == AttemptOutcome::NotReached ? 1 : 0;
    if (mLastAttempt.mOutcome == AttemptOutcome::Done ||
        mLastAttempt.mOutcome == AttemptOutcome::CallerDisconnected) {
      co_return;
    }
    willRetry = MayRetry(mLastAttempt);
    LogFailedAttempt(willRetry);
  }
  const bool isNotReached =
    !mTriedEndpoints.empty() && mLastAttempt.mOutcome == AttemptOutcome::NotReached;
  if (isNotReached && MayAskPeers() && !IsSuspect()) {
    co_await RunAtPeers();
    co_return;
  }
  ReportFailedAttempts();
}

Millis RequestExchange::RetryAfterRefusal() const
{
  const auto pause =
    mContext.mEndpoints.TimeUntilPauseEnds(mService, mContext.mClock.Now(), mAllowedZones);
  if (!pause) {
    return kRetryAfter;
  }
  return std::clamp(std::chrono::ceil<Millis>(*pause), kMinPauseRetryAfter, kMaxPauseRetryAfter);
}

void RequestExchange::ReportFailedAttempts()
{
  if (mWriter.State() == ResponseState::Streaming) {
    mWriter.Abort();
    return;
  }
  if (!mRequestMayHaveRun) {
    const bool isNoneReached = WasNoEndpointReached() || IsContactLost();
    const bool mayAnotherReachOne = isNoneReached && mSource != RequestSource::Caller;
    auto error = MakeError(mayAnotherReachOne ? ErrorCode::NoEndpoint : ErrorCode::Overloaded,
                           Step::RequestDispatch,
                           mService,
                           isNoneReached ? "no endpoint can be reached; the request did not run"
                                         : "no endpoint accepted the request; it did not run");
    error.mRetryAfter = RetryAfterRefusal();
    SendError(net::kUnavailable, error);
    return;
  }
  const bool isTimedOut = mLastAttempt.mOutcome == AttemptOutcome::TimedOut;
  SendError(isTimedOut ? net::kGatewayTimeout : net::kBadGateway,
            MakeError(isTimedOut ? ErrorCode::DeadlineExceeded : ErrorCode::EndpointFailed,
                      Step::RequestRelay,
                      mTriedPeers.empty() ? mTriedEndpoints.back() : mTriedPeers.back(),
                      mLastAttempt.mReason + "; the request may have run"));
}

void RequestExchange::SendError(int aStatus, const Error& aError)
{
  mFailureReason = aError.mText;
  net::ResponseHead head{ aStatus, std::string(ToString(aError.mCode)), {}, true };
  head.mHeaders.Add("Content-Type", "application/json");
  if (aError.mRetryAfter) {
    head.mHeaders.Add("Retry-After", ToSecondsText(*aError.mRetryAfter));
  }
  mContext.mCodec.AddRequestId(head, mRequest);
  if (mSource != RequestSource::Caller && !mRequestMayHaveRun &&
      MayBeServedElsewhere(aError.mCode)) {
    mContext.mCodec.AddDeclined(head);
  }
  mWriter.SendComplete(std::move(head),
                       "{\"error\":\"" + std::string(ToString(aError.mCode)) + "\"}");
}

void RequestExchange::SettleTokens()
{
  if (mReservation.mTokens == 0) {
    return;
  }
  Tokens usedTokens = 0;
  if (mRequestMayHaveRun) {
    const auto* service = mRoutes->Service(mService);
    const bool isEngine = service != nullptr && service->mEngine;
    const auto tokensPerEvent = isEngine ? service->mEngine->mTokensPerEvent : 1;
    const auto outputTokens =
      std::min(mProgress.mEventCount * tokensPerEvent, mRequest.mMaxOutputTokens.value_or(0));
    usedTokens = mRequest.mPromptTokens.value_or(0) + outputTokens;
  }
  mContext.mReservations.Settle(mReservation, usedTokens);
  mReservation.mTokens = 0;
}

void RequestExchange::ReleaseTokens()
{
  if (mReservation.mTokens > 0) {
    mContext.mReservations.Settle(mReservation, 0);
    mReservation.mTokens = 0;
  }
}

} // namespace gentianloom
