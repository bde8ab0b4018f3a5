#include "gentianloom/relay/RequestExchange.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/outcome/ComeBack.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace gentianloom {

namespace {

/// When callers may come back after a refusal for lack of endpoints or of the key-value service.
constexpr Millis kComeBack{ 400 };
/// Time limit of a request whose caller and route state none.
constexpr Millis kDefaultPatience{ 30'000 };

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kPaymentRequired = 402;
constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

std::string Number(std::int64_t aNumber)
{
  return std::to_string(aNumber);
}

std::string MillisText(Micros aTime)
{
  return Number(std::chrono::duration_cast<Millis>(aTime).count());
}

std::string SecondsText(Millis aTime)
{
  std::array<char, 32> buf{};
  const int n =
    std::snprintf(buf.data(), buf.size(), "%.3f", static_cast<double>(aTime.count()) / 1'000.0);
  return { buf.data(), static_cast<std::size_t>(n) };
}

std::string_view ToString(AttemptOutcome aEnd)
{
  switch (aEnd) {
    case AttemptOutcome::Done:
      return "done";
    case AttemptOutcome::Refused:
      return "refused";
    case AttemptOutcome::NotReached:
      return "not-reached";
    case AttemptOutcome::Interrupted:
      return "broke";
    case AttemptOutcome::TimedOut:
      return "timed-out";
    case AttemptOutcome::CallerDisconnected:
      return "caller-left";
  }
  return "unknown";
}

} // namespace

RequestExchange::RequestExchange(RelayParts& aParts,
                                 net::Channel& aChannel,
                                 std::shared_ptr<net::Signal> aSignal,
                                 net::RequestHead aHead,
                                 std::string aBody,
                                 bool aHasBody)
  : mParts(aParts)
  , mSignal(std::move(aSignal))
  , mHead(std::move(aHead))
  , mBody(std::move(aBody))
  , mHasBody(aHasBody)
  , mCaller(aChannel, mHead.mKeepAlive && !aParts.mIsLeaving)
  , mStartedAt(aParts.mClock.Now())
  , mDeadline(mStartedAt + kDefaultPatience)
{
  ++mParts.mOpenRequests;
}

RequestExchange::~RequestExchange()
{
  --mParts.mOpenRequests;
}

net::Task<bool> RequestExchange::Run()
{
  mParts.mRetries.OnRequest();
  if (Admit()) {
    const bool hasRights = co_await Reserve();
    if (hasRights) {
      co_await Serve();
      Settle();
    }
  }
  Log();
  co_return mCaller.KeepsAlive();
}

bool RequestExchange::Admit()
{
  auto request = mParts.mCodec.Decode(mHead);
  if (!request) {
    Refuse(kBadRequest, request.error());
    return false;
  }
  mRequest = std::move(request.value());
  if (mParts.mRefusesNew) {
    auto error = MakeError(ErrorCode::Leaving,
                           Step::RequestAccept,
                           "self",
                           "this instance is leaving; the request did not run; use another one");
    error.mRetryAfter = Millis(0);
    Refuse(kUnavailable, error);
    return false;
  }
  mRoutes = mParts.mRoutes;
  if (!mRoutes) {
    auto error = MakeError(ErrorCode::PlatformUnavailable,
                           Step::RequestAccept,
                           "self",
                           "no configuration was read yet; the request did not run");
    error.mRetryAfter = kComeBack;
    Refuse(kUnavailable, error);
    return false;
  }
  mRoute = mRoutes->Find(mRequest.mHost, mRequest.mPath);
  if (mRoute == nullptr) {
    Refuse(kNotFound,
           MakeError(ErrorCode::UnknownPath,
                     Step::RequestAccept,
                     "caller",
                     "no route serves this host and path"));
    return false;
  }
  const auto patience = std::min(mRequest.mPatience.value_or(kDefaultPatience), mRoute->mTimeout);
  mDeadline = mStartedAt + patience;
  if (mRoutes->HasAccounts()) {
    mPayer = mRoutes->AccountByKey(mRequest.mKey);
    if (mPayer == nullptr && !mRoute->mAllowsAnonymous) {
      Refuse(kUnauthorized,
             MakeError(ErrorCode::NotAuthenticated,
                       Step::RequestAuthenticate,
                       "caller",
                       "the key is missing or not known"));
      return false;
    }
  }
  mService = RouteTable::ChooseService(*mRoute, StableHash(mRequest.mId));
  return true;
}

net::Task<bool> RequestExchange::Reserve()
{
  const bool isLimited = mPayer != nullptr && mPayer->mPrepaid && mRequest.mPromptTokens;
  if (!isLimited) {
    co_return true;
  }
  const auto wanted = *mRequest.mPromptTokens + mRequest.mMostOutputTokens.value_or(0);
  while (true) {
    const auto answer = mParts.mRights.Reserve(mPayer->mName, wanted, mSignal, TimeLeft());
    if (answer == ReserveAnswer::Reserved) {
      mReserved = wanted;
      break;
    }
    const auto told = mParts.mRights.TimesTold();
    while (answer == ReserveAnswer::Wait && told == mParts.mRights.TimesTold() &&
           !mCaller.IsGone() && TimeLeft() > Micros(0)) {
      co_await mSignal->WaitFor(TimeLeft());
    }
    if (mCaller.IsGone()) {
      mRefusal = "the caller left while tokens were drawn";
      co_return false;
    }
    if (answer == ReserveAnswer::Exhausted) {
      Refuse(kPaymentRequired,
             MakeError(ErrorCode::BudgetExhausted,
                       Step::RequestReserve,
                       mPayer->mName,
                       "what is left of the budget does not cover " + Number(wanted) +
                         " tokens; the request did not run"));
      co_return false;
    }
    if (answer == ReserveAnswer::Unavailable || TimeLeft() <= Micros(0)) {
      auto error = MakeError(ErrorCode::BudgetBusy,
                             Step::RequestReserve,
                             mPayer->mName,
                             "tokens cannot be drawn now; the request did not run");
      error.mRetryAfter = ComeBackAfter(mParts.mRights.AwayFor());
      Refuse(kUnavailable, error);
      co_return false;
    }
  }
  mReserveTime = mParts.mClock.Now() - mStartedAt;
  co_return true;
}

PlacementChoice RequestExchange::Place()
{
  const auto now = mParts.mClock.Now();
  const auto usable = mParts.mEndpoints.UsableEndpoints(mService);
  PlacementRequest request;
  request.mTieBreakHash = StableHash(mRequest.mId);
  request.mZone = mParts.mZone;
  request.mParts = mRequest.mParts;
  request.mTarget = mRoute->mLatencyTarget;
  request.mTried = mTried;
  const auto* service = mRoutes->Service(mService);
  if (service != nullptr && service->mEngine) {
    auto& model = mParts.mFirstTokens[mService];
    auto choice = ChooseEngineEndpoint(request, usable, *service->mEngine, model, now);
    if (choice.mEndpoint) {
      choice.mEndpoint->mLoad.Cache().SetCapacity(service->mEngine->mCacheTokens);
    }
    return choice;
  }
  return ChoosePlainEndpoint(request, usable, now);
}

bool RequestExchange::MayRetry(const AttemptResult& aResult)
{
  const auto sends = static_cast<std::int64_t>(mTried.size());
  const bool repeatable = mRoute->mKind == RouteKind::Idempotent || mRoute->mIsResumable;
  const bool begun = mCaller.State() != AnswerState::NotBegun;
  const bool safe = aResult.mProvedNotRun || (repeatable && (!begun || mRoute->mIsResumable));
  if (!safe || mCaller.IsGone() || aResult.mEnd == AttemptOutcome::TimedOut ||
      aResult.mEnd == AttemptOutcome::CallerDisconnected || TimeLeft() <= Micros(0)) {
    return false;
  }
  if (aResult.mEnd == AttemptOutcome::NotReached) {
    return sends < kMostAttempts;
  }
  return sends < mRoute->mMaxAttempts && mParts.mRetries.TryTake();
}

net::Task<void> RequestExchange::Serve()
{
  const AttemptRequest request{ mHead,    mBody,
                                mHasBody, mRequest,
                                *mRoute,  mPayer == nullptr ? std::string() : mPayer->mName,
                                mDeadline };
  bool goesOn = true;
  while (goesOn) {
    if (mCaller.IsGone()) {
      mRefusal = "the caller left";
      co_return;
    }
    mChoice = Place();
    if (!mChoice.mEndpoint) {
      mRefusal = "no endpoint of " + mService + " takes work";
      break;
    }
    {
      EndpointAttempt attempt(mParts, request, mChoice, mCaller, mProgress, mSignal);
      mLast = co_await attempt.Run();
    }
    mTried.push_back(mChoice.mEndpoint->mEntry.mId);
    mMayHaveRun = mMayHaveRun || !mLast.mProvedNotRun;
    if (mLast.mEnd == AttemptOutcome::Done || mLast.mEnd == AttemptOutcome::CallerDisconnected) {
      co_return;
    }
    goesOn = MayRetry(mLast);
    LogChange(LogLevel::Info,
              "relay",
              "an attempt failed",
              { { "request", mRequest.mId },
                { "endpoint", mTried.back() },
                { "end", std::string(ToString(mLast.mEnd)) },
                { "why", mLast.mWhy },
                { "proved_not_run", mLast.mProvedNotRun ? "yes" : "no" },
                { "retried", goesOn ? "yes" : "no" } });
  }
  AnswerFailure();
}

void RequestExchange::AnswerFailure()
{
  if (mCaller.State() == AnswerState::Streaming) {
    mCaller.CutOff();
    return;
  }
  if (!mMayHaveRun) {
    auto error = MakeError(ErrorCode::Overloaded,
                           Step::RequestDispatch,
                           mService,
                           "no endpoint took the request; it did not run");
    error.mRetryAfter = kComeBack;
    Refuse(kUnavailable, error);
    return;
  }
  const bool late = mLast.mEnd == AttemptOutcome::TimedOut;
  Refuse(late ? kGatewayTimeout : kBadGateway,
         MakeError(late ? ErrorCode::DeadlineExceeded : ErrorCode::EndpointFailed,
                   Step::RequestRelay,
                   mTried.back(),
                   mLast.mWhy + "; it may have run"));
}

void RequestExchange::Refuse(int aStatus, const Error& aError)
{
  mRefusal = aError.mText;
  net::ResponseHead head{ aStatus, std::string(ToString(aError.mCode)), {}, true };
  head.mHeaders.Add("Content-Type", "application/json");
  if (aError.mRetryAfter) {
    head.mHeaders.Add("Retry-After", SecondsText(*aError.mRetryAfter));
  }
  mParts.mCodec.MarkOwnAnswer(head, mRequest);
  mCaller.SendWhole(std::move(head), "{\"error\":\"" + std::string(ToString(aError.mCode)) + "\"}");
}

void RequestExchange::Settle()
{
  if (mReserved == 0) {
    return;
  }
  Tokens used = 0;
  if (mMayHaveRun) {
    const auto* service = mRoutes->Service(mService);
    const bool isEngine = service != nullptr && service->mEngine;
    const auto perEvent = isEngine ? service->mEngine->mTokensPerEvent : 1;
    const auto output =
      std::min(mProgress.mEvents * perEvent, mRequest.mMostOutputTokens.value_or(0));
    used = mRequest.mPromptTokens.value_or(0) + output;
  }
  mParts.mRights.Settle(mPayer->mName, mReserved, used);
  mReserved = 0;
}

void RequestExchange::Log() const
{
  const auto now = mParts.mClock.Now();
  const auto status = Number(mCaller.Status());
  const auto kind = mRoute == nullptr ? std::string("none") : mRoute->mName;
  mParts.mMetrics.CounterOf("gentianloom_requests_total", "status=\"" + status + "\"").Add();
  const auto total = std::chrono::duration<double>(now - mStartedAt).count();
  mParts.mMetrics.HistogramOf("gentianloom_request_seconds").Observe(total);
  const bool hasEvents = mProgress.mEvents > 0;
  if (hasEvents) {
    mParts.mMetrics.HistogramOf("gentianloom_first_event_seconds")
      .Observe(std::chrono::duration<double>(mProgress.mFirstAt - mStartedAt).count());
  }
  const auto& endpoint = mChoice.mEndpoint;
  LogChange(LogLevel::Info,
            "relay",
            "a request ended",
            { { "request", mRequest.mId },
              { "status", status },
              { "why", mRefusal },
              { "route", kind },
              { "service", mService },
              { "organisation", mPayer == nullptr ? "" : mPayer->mName },
              { "configuration", mRoutes ? Number(mRoutes->Version()) : "none" },
              { "endpoint", endpoint ? endpoint->mEntry.mId : "" },
              { "entry_age_ms", endpoint ? MillisText(now - endpoint->mLastSeenAt) : "" },
              { "prompt", Number(mRequest.mPromptTokens.value_or(0)) },
              { "cached", Number(mChoice.mCachedTokens) },
              { "pending", Number(mChoice.mPending) },
              { "running", Number(static_cast<std::int64_t>(mChoice.mRunning)) },
              { "predicted_ms", Number(static_cast<std::int64_t>(mChoice.mPredictedMs)) },
              { "cost", Number(static_cast<std::int64_t>(mChoice.mCost)) },
              { "attempts", Number(static_cast<std::int64_t>(mTried.size())) },
              { "end", mTried.empty() ? "" : std::string(ToString(mLast.mEnd)) },
              { "events", Number(mProgress.mEvents) },
              { "reserve_ms", MillisText(mReserveTime) },
              { "first_ms", hasEvents ? MillisText(mProgress.mFirstAt - mStartedAt) : "" },
              { "total_ms", MillisText(now - mStartedAt) } });
}

} // namespace gentianloom
