#include "gentianloom/relay/EndpointAttempt.h"

#include "gentianloom/net/HttpClient.h"
#include "gentianloom/net/HttpStatus.h"
#include "gentianloom/net/ResponseEnd.h"

#include <algorithm>
#include <array>

namespace gentianloom {

namespace {

/// Time limit for connecting to an endpoint.
constexpr Millis kConnectTimeout{ 600 };
/// Time limit for connecting to another instance; others can be asked instead.
constexpr Millis kPeerConnectTimeout{ 200 };
/// Longest idle time of a connection that is reused for an at-most-once request. After a longer
/// time the endpoint may be closing the connection, and such a request cannot be retried once the
/// endpoint may have received it.
constexpr Millis kMaxIdleAtMostOnce{ 500 };
/// Longest idle time of a reused connection; the endpoint can state a shorter one.
constexpr Millis kMaxIdle{ 4'000 };
/// Subtracted from the idle timeout that an endpoint states, to allow for network latency.
constexpr Millis kIdleMargin{ 700 };
/// Backpressure: with more bytes unsent to a slow caller, the endpoint connection is not read.
constexpr std::size_t kMaxUnsentBytes = 64 * 1'024;
/// Extra time after the deadline, so that a response that the endpoint completes at its own time
/// limit still reaches the caller.
constexpr Millis kDeadlineGrace{ 60 };
/// Statuses that promise the caller that the request did not run and never will.
constexpr std::array<int, 4> kNotRunStatuses = { net::kRequestTimeout,
                                                 net::kMisdirectedRequest,
                                                 net::kTooManyRequests,
                                                 net::kUnavailable };

} // namespace

EndpointAttempt::EndpointAttempt(RelayContext& aContext,
                                 const AttemptRequest& aRequest,
                                 const PlacementChoice& aPlacement,
                                 ResponseWriter& aWriter,
                                 StreamProgress& aProgress,
                                 std::shared_ptr<net::Signal> aSignal)
  : mContext(aContext)
  , mRequest(aRequest)
  , mEndpoint(aPlacement.mEndpoint)
  , mContact(IsAtPeer() ? nullptr : &aContext.mContacts[mEndpoint->mEntry.mService])
  , mWriter(aWriter)
  , mProgress(aProgress)
  , mSignal(std::move(aSignal))
  , mTokensToPrefill(static_cast<double>(aPlacement.mPendingTokens + aPlacement.mPrefillTokens))
  , mLoadHandle(mEndpoint->mLoad.OnSent(aPlacement.mPrefillTokens))
  , mPermitUntil(aPlacement.mPermitUntil)
  , mIsTrial(mEndpoint->mHold.OnSent())
  , mParser(aRequest.mHead.mMethod == "HEAD")
  , mIsContinuation(aProgress.mLastEventId.has_value())
{
}

EndpointAttempt::~EndpointAttempt()
{
  if (mContact != nullptr) {
    mContact->RemoveListener(*this);
  }
  mEndpoint->mLoad.OnEnded(mLoadHandle);
  if (mIsTrial) {
    mEndpoint->mHold.OnTrialEnded();
  }
  NotifyPendingTokensChanged();
  CountBuffered(0);
  ReleaseConnection();
}

Micros EndpointAttempt::TimeLeft() const
{
  const auto deadline = mRequest.mDeadline + kDeadlineGrace;
  const auto end = mContext.mServesUntil ? std::min(deadline, *mContext.mServesUntil) : deadline;
  return end - mContext.mClock.Now();
}

void EndpointAttempt::OnFirstEvent()
{
  if (!mEndpoint->mLoad.OnStarted(mLoadHandle) || IsAtPeer()) {
    return;
  }
  NotifyPendingTokensChanged();
  const auto latency =
    std::chrono::duration<double, std::milli>(mContext.mClock.Now() - mRequestSentAt);
  auto& model = mContext.mFirstTokenModels[mEndpoint->mEntry.mService];
  const double predicted = model.Predict(mTokensToPrefill);
  mEndpoint->mLoad.OnLatency(latency.count() / predicted, mContext.mClock.Now());
  model.AddSample(mTokensToPrefill, latency.count());
}

net::Task<AttemptResult> EndpointAttempt::Run()
{
  const bool isOpen = co_await OpenConnection();
  if (isOpen) {
    SendRequest();
    co_await ReceiveResponse();
  }
  co_return mResult.value_or(AttemptResult{});
}

net::Task<bool> EndpointAttempt::OpenConnection()
{
  const auto& entry = mEndpoint->mEntry;
  mConnection = mContext.mConnections.Take(
    entry.mId, mRequest.mCallerRequest.mId, IsAtMostOnce() ? kMaxIdleAtMostOnce : kMaxIdle);
  if (mConnection) {
    mConnection->SetListener(mSignal);
    co_return true;
  }
  const auto address = net::ParseSocketAddress(entry.mAddress);
  if (!address) {
    Finish(AttemptOutcome::NotReached, true, address.error().mText);
    co_return false;
  }
  mConnection = mContext.mConnections.Connect(address.value());
  mConnection->CountTraffic(IsAtPeer() ? mContext.mInstanceTraffic : mContext.mEndpointTraffic);
  mConnection->SetListener(mSignal);
  mContext.mMetrics.CounterOf("gentianloom_endpoint_connections_total").Add();
  const auto timeout = IsAtPeer() ? kPeerConnectTimeout : kConnectTimeout;
  const auto deadline = mContext.mClock.Now() + std::min<Micros>(timeout, TimeLeft());
  while (mConnection->State() == net::ChannelState::Connecting) {
    const auto left = deadline - mContext.mClock.Now();
    if (mWriter.IsCallerDisconnected()) {
      Finish(AttemptOutcome::CallerDisconnected,
             true,
             "the caller disconnected while the endpoint connection was being opened");
      co_return false;
    }
    if (left <= Micros(0)) {
      ReportNotConnected();
      Finish(AttemptOutcome::NotReached, true, "connecting to the endpoint timed out");
      co_return false;
    }
    co_await mSignal->WaitFor(left);
  }
  if (!mConnection->IsUsable()) {
    ReportNotConnected();
    Finish(AttemptOutcome::NotReached, true, "the endpoint refused the connection");
    co_return false;
  }
  if (mContact != nullptr) {
    mContact->OnConnected();
  }
  if (mWriter.IsCallerDisconnected() || !AcceptsRequest()) {
    // The list of endpoints or what the endpoint wants may have changed while the connection was
    // being opened.
    const auto outcome = mWriter.IsCallerDisconnected() ? AttemptOutcome::CallerDisconnected
                                                        : AttemptOutcome::NotReached;
    Finish(outcome, true, "the caller disconnected or the endpoint no longer accepts work");
    co_return false;
  }
  co_return true;
}

bool EndpointAttempt::AcceptsRequest() const
{
  const auto now = mContext.mClock.Now();
  const bool hasPermit = mPermitUntil && now <= *mPermitUntil;
  return (hasPermit || !mEndpoint->NeedsPermit(now)) && mEndpoint->AcceptsRequests(now);
}

net::RequestHead EndpointAttempt::MakeForwardedRequestHead() const
{
  const auto left = std::chrono::floor<Millis>(mRequest.mDeadline - mContext.mClock.Now());
  const auto timeLeft = std::max(Millis(1), left);
  if (IsAtPeer()) {
    return mContext.mCodec.EncodeForPeer(mRequest.mHead, timeLeft);
  }
  ForwardingInfo info;
  info.mEndpoint = mEndpoint->mEntry.mId;
  info.mTimeLeft = timeLeft;
  info.mOrganisation = mRequest.mOrganisation;
  info.mResumeAfter = mProgress.mLastEventId;
  return mContext.mCodec.Encode(mRequest.mHead, info);
}

void EndpointAttempt::SendRequest()
{
  const auto head = MakeForwardedRequestHead();
  std::optional<std::size_t> size;
  if (mRequest.mHasBody) {
    size = mRequest.mBody.size();
  }
  auto text = net::SerializeRequestHead(head, size) + mRequest.mBody;
  mBytesSentBefore = mConnection->Sent();
  mConnection.OnRequest(mRequest.mCallerRequest.mId);
  mConnection->Send(std::move(text));
  mIsRequestSent = true;
  mRequestSentAt = mContext.mClock.Now();
  if (mContact != nullptr) {
    mContact->OnRequestSent(mRequestSentAt);
    mContact->AddListener(*this);
  }
  mEndpoint->mLoad.Cache().Touch(mRequest.mCallerRequest.mPromptParts);
  NotifyPendingTokensChanged();
}

net::Task<void> EndpointAttempt::ReceiveResponse()
{
  while (!mResult) {
    // An at-most-once request is not cancelled when its caller disconnects, so that it completes.
    if (mWriter.IsCallerDisconnected() && !IsAtMostOnce()) {
      Finish(AttemptOutcome::CallerDisconnected, false, "the caller disconnected");
      break;
    }
    // Only what may run twice is given to another instance; the rest may be running here.
    if (mIsContactLost && !mIsHeadReceived && mRequest.mRoute.IsRepeatable()) {
      Finish(AttemptOutcome::Interrupted, false, "contact with all endpoints was lost");
      break;
    }
    const bool isCallerSlow = mWriter.UnsentBytes() > kMaxUnsentBytes;
    if (!isCallerSlow && ProcessReceived()) {
      continue;
    }
    const auto left = TimeLeft();
    if (left <= Micros(0)) {
      FinishLate();
      break;
    }
    co_await mSignal->WaitFor(std::min(left, net::TimeUntilResponseEnd(*mConnection, mParser)));
  }
}

void EndpointAttempt::FinishLate()
{
  const auto& end = mContext.mServesUntil;
  if (end && *end <= mContext.mClock.Now()) {
    Finish(AttemptOutcome::InstanceEnded, false, "this instance has shut down");
  } else {
    Finish(AttemptOutcome::TimedOut, false, "no complete response before the deadline");
  }
}

bool EndpointAttempt::ProcessReceived()
{
  const auto stateBefore = mParser.State();
  const auto consumed = mParser.Put(mConnection->Received(), mUnforwardedBody);
  mConnection->Consume(consumed);
  if (consumed > 0 && mContact != nullptr) {
    mContact->OnBytesReceived();
  }
  if (consumed == 0 && net::TimeUntilResponseEnd(*mConnection, mParser) == Micros(0)) {
    mParser.PutEof();
  }
  const auto state = mParser.State();
  if (!mIsHeadReceived && (state == net::ParseState::HeadDone || state == net::ParseState::Done)) {
    mIsHeadReceived = true;
    OnResponseHead();
  }
  if (mResult) {
    return true;
  }
  if (mIsHeadReceived && !mUnforwardedBody.empty()) {
    OnResponseBody();
  }
  if (mResult) {
    return true;
  }
  if (state == net::ParseState::Done) {
    OnResponseComplete();
    return true;
  }
  if (state == net::ParseState::Failed) {
    Finish(AttemptOutcome::Interrupted,
           false,
           mIsHeadReceived ? "the response is incomplete" : "no valid HTTP response");
    return true;
  }
  if (consumed == 0 && mConnection->State() == net::ChannelState::Closed) {
    // The endpoint may have closed a reused connection before any byte of the request was sent.
    const bool isNothingSent = mConnection->Sent() == mBytesSentBefore;
    Finish(isNothingSent ? AttemptOutcome::NotReached : AttemptOutcome::Interrupted,
           isNothingSent,
           "the endpoint connection failed");
    return true;
  }
  return consumed > 0 || state != stateBefore;
}

void EndpointAttempt::OnResponseHead()
{
  const auto now = mContext.mClock.Now();
  mResponse = mContext.mCodec.DecodeResponse(mParser.Head(), mRequest.mCallerRequest);
  if (IsAtPeer()) {
    OnPeerResponseHead();
    return;
  }
  if (mResponse.mLoad) {
    mEndpoint->mLoad.OnReportedLoad(*mResponse.mLoad, now);
  }
  if (mResponse.mIsMisdirected && IsResponseToThisRequest()) {
    mContext.mEndpoints.OnAddressReassigned(mEndpoint->mEntry.mId, now);
    Finish(AttemptOutcome::Refused, true, "the address now belongs to another endpoint");
    return;
  }
  ObserveEndpointState();
  if (mResponse.mRequestId != ResponseRequestId::Same) {
    Finish(AttemptOutcome::Interrupted, false, "the response belongs to another request");
    return;
  }
  const int status = mParser.Head().mStatus;
  if (mResponse.mDidNotRun) {
    Finish(AttemptOutcome::Refused,
           true,
           "the endpoint refused the request with status " + std::to_string(status));
    return;
  }
  if (IsUnprovedRefusal()) {
    Finish(AttemptOutcome::Interrupted,
           false,
           "the endpoint did not state that the request with status " + std::to_string(status) +
             " did not run");
    return;
  }
  if (net::IsSuccess(status) && !mResponse.mHasSignature) {
    Finish(AttemptOutcome::Interrupted, false, "success status without the endpoint's signature");
    return;
  }
  if (mWriter.State() != ResponseState::NotStarted && !ContinuesStream()) {
    // Its body must not reach the caller, and there is no reason to wait for its end.
    Finish(AttemptOutcome::Interrupted,
           false,
           "the request to resume the stream failed with status " + std::to_string(status));
  }
}

void EndpointAttempt::OnPeerResponseHead()
{
  if (mResponse.mRequestId != ResponseRequestId::Same) {
    Finish(AttemptOutcome::Interrupted, false, "the response belongs to another request");
    return;
  }
  if (mResponse.mIsDeclined) {
    mContext.mPeers->OnDeclined(mEndpoint);
    Finish(AttemptOutcome::NotReached, true, "the instance cannot serve the request either");
    return;
  }
  mContext.mPeers->OnAnswered(mEndpoint);
  if (mResponse.mIsLeaving) {
    mContext.mEndpoints.OnLeaving(mResponse.mPeerEndpoint);
  }
  if (net::IsSuccess(mParser.Head().mStatus) && !mResponse.mHasSignature) {
    Finish(AttemptOutcome::Interrupted, false, "success status without the endpoint's signature");
  }
}

bool EndpointAttempt::IsUnprovedRefusal() const
{
  const auto& statuses = kNotRunStatuses;
  const bool isRefusal =
    std::find(statuses.begin(), statuses.end(), mParser.Head().mStatus) != statuses.end();
  return isRefusal && !mResponse.mDidNotRun && !mRequest.mRoute.IsRepeatable();
}

bool EndpointAttempt::IsResponseToThisRequest() const
{
  // The platform's example of a misdirection has no id. It belongs to this request if the
  // connection has carried no other; otherwise it may be a late response to an earlier one.
  const bool isFirstRequest = mBytesSentBefore == 0;
  return mResponse.mRequestId == ResponseRequestId::Same ||
         (mResponse.mRequestId == ResponseRequestId::Missing && isFirstRequest);
}

net::ResponseHead EndpointAttempt::MakeForwardedResponseHead() const
{
  auto out = mParser.Head();
  out.mHeaders.RemoveHopByHop();
  mContext.mCodec.RemovePeerHeaders(out);
  if (mRequest.mSource != RequestSource::Caller && !IsAtPeer()) {
    mContext.mCodec.AddEndpoint(out, mEndpoint->mEntry.mId);
  }
  return out;
}

void EndpointAttempt::OnResponseComplete()
{
  const int status = mParser.Head().mStatus;
  if (IsStream() && net::IsSuccess(status)) {
    if (IsStreamTruncated()) {
      Finish(AttemptOutcome::Interrupted, false, "the stream ended before its last event");
      return;
    }
    if (mWriter.State() == ResponseState::NotStarted) {
      StartStream();
    }
    mWriter.SendChunk(mSplitter.Incomplete());
    mWriter.EndStream();
  } else {
    mWriter.SendComplete(MakeForwardedResponseHead(), mUnforwardedBody);
  }
  Finish(AttemptOutcome::Done, false, "");
}

void EndpointAttempt::Finish(AttemptOutcome aOutcome, bool aRequestDidNotRun, std::string aReason)
{
  ResponseEnd end;
  end.mFraming = mParser.BodyFraming();
  end.mConnection = mConnection ? mConnection->State() : net::ChannelState::Closed;
  end.mPartialEventBytes = mSplitter.Incomplete().size();
  const auto now = mContext.mClock.Now();
  if (mIsRequestSent) {
    end.mAfterSending = std::chrono::duration_cast<Micros>(now - mRequestSentAt);
  }
  if (mFirstEventAt) {
    end.mSinceFirstEvent = std::chrono::duration_cast<Micros>(now - *mFirstEventAt);
  }
  end.mIsHeadReceived = mIsHeadReceived;
  end.mInFlight = static_cast<std::size_t>(mEndpoint->mLoad.InFlight());
  mResult = AttemptResult{ aOutcome, aRequestDidNotRun, std::move(aReason), end };
  const bool hasFailed =
    aOutcome == AttemptOutcome::Interrupted || aOutcome == AttemptOutcome::NotReached;
  if (hasFailed || aOutcome == AttemptOutcome::Done) {
    const bool isServerError =
      aOutcome == AttemptOutcome::Done && mParser.Head().mStatus >= net::kFirstServerError;
    mEndpoint->mLoad.OnOutcome(hasFailed || isServerError, now);
  }
}

void EndpointAttempt::ReleaseConnection()
{
  if (!mConnection) {
    return;
  }
  mConnection->SetListener(nullptr);
  const bool isInterrupted = mResult && mResult->mOutcome == AttemptOutcome::Interrupted;
  const bool isResponseRead =
    !isInterrupted && mParser.State() == net::ParseState::Done && mConnection->Received().empty();
  const bool isRequestSent = mIsRequestSent && mConnection->Unsent() == 0;
  const bool isReusable = mConnection->IsUsable() && mConnection.MayBeReused();
  if (isResponseRead && isRequestSent && isReusable && mParser.Head().mKeepAlive) {
    const auto maxIdle = mResponse.mIdleTimeout ? *mResponse.mIdleTimeout - kIdleMargin : kMaxIdle;
    if (maxIdle > Millis(0)) {
      mContext.mConnections.Put(
        mEndpoint->mEntry.mId, std::move(mConnection), std::min(maxIdle, kMaxIdle));
      return;
    }
  }
  mConnection->Reset();
}

} // namespace gentianloom
