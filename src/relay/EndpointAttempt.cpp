#include "gentianloom/relay/EndpointAttempt.h"

#include "gentianloom/net/HttpClient.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// Longest time to make a connection to an endpoint.
constexpr Millis kConnectTime{ 600 };
/// Idle time after which a connection is not used for work that must not repeat.
constexpr Millis kMostIdleOnce{ 500 };
/// Idle time after which a connection is not used, where the endpoint states no time.
constexpr Millis kMostIdle{ 4'000 };
/// Taken off the idle time that an endpoint states, for the way there.
constexpr Millis kIdleMargin{ 700 };
/// Bytes that may wait for a caller that reads slowly before the endpoint is slowed as well.
constexpr std::size_t kMostUnsent = 64 * 1'024;
/// Largest answer that is not a stream.
constexpr std::size_t kMostAnswerBytes = 8 * 1'024 * 1'024;
/// An answer that the endpoint ends at its time limit still gets through.
constexpr Millis kDeadlineGrace{ 60 };

bool IsSuccess(int aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

} // namespace

EndpointAttempt::EndpointAttempt(RelayParts& aParts,
                                 const AttemptRequest& aRequest,
                                 const PlacementChoice& aChoice,
                                 CallerSide& aCaller,
                                 StreamProgress& aProgress,
                                 std::shared_ptr<net::Signal> aSignal)
  : mParts(aParts)
  , mRequest(aRequest)
  , mEndpoint(aChoice.mEndpoint)
  , mCaller(aCaller)
  , mProgress(aProgress)
  , mSignal(std::move(aSignal))
  , mTokensBefore(static_cast<double>(aChoice.mPending + aChoice.mPrefillTokens))
  , mWork(mEndpoint->mLoad.OnSent(aChoice.mPrefillTokens))
  , mParser(aRequest.mHead.mMethod == "HEAD")
{
}

EndpointAttempt::~EndpointAttempt()
{
  mEndpoint->mLoad.OnEnded(mWork);
  NotePendingChange();
  Release();
}

Micros EndpointAttempt::TimeLeft() const
{
  return mRequest.mDeadline + kDeadlineGrace - mParts.mClock.Now();
}

void EndpointAttempt::OnFirstEvent()
{
  if (!mEndpoint->mLoad.OnStarted(mWork)) {
    return;
  }
  NotePendingChange();
  const auto took = std::chrono::duration<double, std::milli>(mParts.mClock.Now() - mSentAt);
  auto& model = mParts.mFirstTokens[mEndpoint->mEntry.mService];
  const double predicted = model.Predict(mTokensBefore);
  mEndpoint->mLoad.OnLatency(took.count() / predicted, mParts.mClock.Now());
  model.AddSample(mTokensBefore, took.count());
}

void EndpointAttempt::NotePendingChange() const
{
  if (mParts.mOnPendingChange && IsStream()) {
    mParts.mOnPendingChange();
  }
}

net::Task<AttemptResult> EndpointAttempt::Run()
{
  const bool isOpen = co_await Open();
  if (isOpen) {
    SendRequest();
    co_await Receive();
  }
  co_return mResult.value_or(AttemptResult{});
}

net::Task<bool> EndpointAttempt::Open()
{
  const auto& entry = mEndpoint->mEntry;
  const auto mostIdle = MustFinish() ? kMostIdleOnce : kMostIdle;
  mChannel = mParts.mConnections.Take(entry.mId, mostIdle);
  if (mChannel) {
    mChannel->SetListener(mSignal);
    co_return true;
  }
  const auto address = net::ParseEndpoint(entry.mAddress);
  if (!address) {
    Finish(AttemptOutcome::NotReached, true, address.error().mText);
    co_return false;
  }
  mChannel = mParts.mConnections.Connect(address.value());
  mChannel->SetListener(mSignal);
  mParts.mMetrics.CounterOf("gentianloom_endpoint_connections_total").Add();
  const auto deadline = mParts.mClock.Now() + std::min<Micros>(kConnectTime, TimeLeft());
  while (mChannel->State() == net::ChannelState::Connecting) {
    const auto left = deadline - mParts.mClock.Now();
    if (mCaller.IsGone()) {
      Finish(
        AttemptOutcome::CallerDisconnected, true, "the caller left while the connection was made");
      co_return false;
    }
    if (left <= Micros(0)) {
      Finish(AttemptOutcome::NotReached, true, "no connection in time");
      co_return false;
    }
    co_await mSignal->WaitFor(left);
  }
  if (!mChannel->IsUsable()) {
    Finish(AttemptOutcome::NotReached, true, "the connection was refused");
    co_return false;
  }
  if (mCaller.IsGone() || !mEndpoint->AcceptsRequests()) {
    // The configuration or the list of endpoints may have changed while the connection was made.
    const auto end =
      mCaller.IsGone() ? AttemptOutcome::CallerDisconnected : AttemptOutcome::NotReached;
    Finish(end, true, "the caller left or the endpoint is leaving");
    co_return false;
  }
  co_return true;
}

void EndpointAttempt::SendRequest()
{
  ForwardFacts facts;
  facts.mEndpoint = mEndpoint->mEntry.mId;
  const auto left = std::chrono::floor<Millis>(mRequest.mDeadline - mParts.mClock.Now());
  facts.mTimeLeft = std::max(Millis(1), left);
  facts.mOrganisation = mRequest.mOrganisation;
  facts.mResumeAfter = mProgress.mLastId ? mProgress.mLastId : mRequest.mCaller.mResumeAfter;
  const auto head = mParts.mCodec.Encode(mRequest.mHead, facts);
  std::optional<std::size_t> size;
  if (mRequest.mHasBody) {
    size = mRequest.mBody.size();
  }
  auto text = net::RequestText(head, size) + mRequest.mBody;
  mSentBefore = mChannel->Sent();
  mChannel->Send(std::move(text));
  mHasSent = true;
  mSentAt = mParts.mClock.Now();
  mEndpoint->mLoad.Cache().Touch(mRequest.mCaller.mParts);
  NotePendingChange();
}

net::Task<void> EndpointAttempt::Receive()
{
  while (!mResult) {
    if (mCaller.IsGone() && !MustFinish()) {
      Finish(AttemptOutcome::CallerDisconnected, false, "the caller left");
      break;
    }
    const bool callerIsSlow = mCaller.Unsent() > kMostUnsent;
    if (!callerIsSlow && Read()) {
      continue;
    }
    const auto left = TimeLeft();
    if (left <= Micros(0)) {
      Finish(AttemptOutcome::TimedOut, false, "no whole answer before the deadline");
      break;
    }
    co_await mSignal->WaitFor(left);
  }
}

bool EndpointAttempt::Read()
{
  const auto before = mParser.State();
  const auto used = mParser.Put(mChannel->Received(), mBody);
  mChannel->Consume(used);
  if (used == 0 && mChannel->State() == net::ChannelState::Ended) {
    mParser.PutEnd();
  }
  const auto state = mParser.State();
  if (!mHeadSeen && (state == net::ParseState::HeadDone || state == net::ParseState::Done)) {
    mHeadSeen = true;
    OnHead();
  }
  if (mResult) {
    return true;
  }
  if (mHeadSeen && !mBody.empty()) {
    OnBody();
  }
  if (mResult) {
    return true;
  }
  if (state == net::ParseState::Done) {
    OnWhole();
    return true;
  }
  if (state == net::ParseState::Failed) {
    Finish(AttemptOutcome::Interrupted,
           false,
           mHeadSeen ? "the answer is incomplete" : "no HTTP answer");
    return true;
  }
  if (used == 0 && mChannel->State() == net::ChannelState::Broken) {
    // A kept connection may have been closed by the endpoint before any byte went out.
    const bool nothingSent = mChannel->Sent() == mSentBefore;
    Finish(nothingSent ? AttemptOutcome::NotReached : AttemptOutcome::Interrupted,
           nothingSent,
           "the connection broke");
    return true;
  }
  return used > 0 || state != before;
}

void EndpointAttempt::OnHead()
{
  const auto now = mParts.mClock.Now();
  mAnswer = mParts.mCodec.DecodeAnswer(mParser.Head(), mRequest.mCaller);
  if (mAnswer.mLoad) {
    mEndpoint->mLoad.OnReportedLoad(*mAnswer.mLoad, now);
  }
  if (mAnswer.mIsOther) {
    mParts.mEndpoints.OnAddressReassigned(mEndpoint->mEntry.mId);
    Finish(AttemptOutcome::Refused, true, "another endpoint has the address");
    return;
  }
  if (!mAnswer.mIsForRequest) {
    Finish(AttemptOutcome::Interrupted, false, "the answer belongs to another request");
    return;
  }
  const int status = mParser.Head().mStatus;
  if (mAnswer.mDidNotRun) {
    Finish(
      AttemptOutcome::Refused, true, "the endpoint refused with status " + std::to_string(status));
    return;
  }
  if (IsSuccess(status) && !mAnswer.mHasSignature) {
    Finish(AttemptOutcome::Interrupted, false, "a success without the endpoint's signature");
  }
}

net::ResponseHead EndpointAttempt::CallerHead() const
{
  auto out = mParser.Head();
  out.mHeaders.RemoveHopByHop();
  return out;
}

void EndpointAttempt::OnBody()
{
  if (!IsStream() || !IsSuccess(mParser.Head().mStatus)) {
    if (mBody.size() > kMostAnswerBytes) {
      Finish(AttemptOutcome::Interrupted, false, "the answer is too large");
    }
    return;
  }
  PassEvents();
}

void EndpointAttempt::PassEvents()
{
  const auto events = mEvents.Put(mBody);
  mBody.clear();
  std::string part;
  for (const auto& it : events) {
    const bool isKnown = it.mId && mProgress.mLastId && *it.mId <= *mProgress.mLastId;
    if (isKnown) {
      continue;
    }
    part += it.mBytes;
    mProgress.mLastId = it.mId ? it.mId : mProgress.mLastId;
    ++mProgress.mEvents;
  }
  if (part.empty()) {
    return;
  }
  if (mCaller.State() == AnswerState::NotBegun) {
    mProgress.mFirstAt = mParts.mClock.Now();
    mCaller.BeginStream(CallerHead());
  }
  OnFirstEvent();
  mCaller.SendPart(part);
}

void EndpointAttempt::OnWhole()
{
  const int status = mParser.Head().mStatus;
  if (IsStream() && IsSuccess(status)) {
    if (mCaller.State() == AnswerState::NotBegun) {
      mCaller.BeginStream(CallerHead());
    }
    mCaller.SendPart(mEvents.Rest());
    mCaller.EndStream();
  } else if (mCaller.State() == AnswerState::NotBegun) {
    mCaller.SendWhole(CallerHead(), mBody);
  } else {
    Finish(AttemptOutcome::Interrupted,
           false,
           "a resumed stream was answered with status " + std::to_string(status));
    return;
  }
  Finish(AttemptOutcome::Done, false, "");
}

void EndpointAttempt::Finish(AttemptOutcome aEnd, bool aProvedNotRun, std::string aWhy)
{
  mResult = AttemptResult{ aEnd, aProvedNotRun, std::move(aWhy) };
  const auto now = mParts.mClock.Now();
  const bool failed = aEnd == AttemptOutcome::Interrupted || aEnd == AttemptOutcome::NotReached;
  if (failed || aEnd == AttemptOutcome::Done) {
    const bool isError = aEnd == AttemptOutcome::Done && mParser.Head().mStatus >= 500;
    mEndpoint->mLoad.OnOutcome(failed || isError, now);
  }
}

void EndpointAttempt::Release()
{
  if (!mChannel) {
    return;
  }
  mChannel->SetListener(nullptr);
  const bool isRead = mParser.State() == net::ParseState::Done && mChannel->Received().empty();
  const bool isSent = mHasSent && mChannel->Unsent() == 0;
  if (isRead && isSent && mChannel->IsUsable() && mParser.Head().mKeepAlive) {
    const auto life = mAnswer.mIdleTime ? *mAnswer.mIdleTime - kIdleMargin : kMostIdle;
    if (life > Millis(0)) {
      mParts.mConnections.Put(mEndpoint->mEntry.mId, mChannel, std::min(life, kMostIdle));
      mChannel = nullptr;
      return;
    }
  }
  mChannel->Reset();
  mChannel = nullptr;
}

} // namespace gentianloom
