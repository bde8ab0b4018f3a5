#include "gentianloom/gateway/CallerServer.h"

#include "gentianloom/base/Log.h"
#include "gentianloom/net/HttpService.h"
#include "gentianloom/net/HttpStatus.h"

#include <algorithm>

namespace gentianloom {

namespace {

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
/// Responses are not produced ahead for a caller with more unread bytes than this. Those to a few
/// pipelined small requests are below it.
constexpr std::size_t kMaxUnreadBytes = 16 * 1'024;
/// A running request holds its body and the copy that is sent to the endpoint.
constexpr std::size_t kBodyCopies = 2;

} // namespace

Result<void> CallerServer::Start(const net::Channel::Address& aAddress, const AcceptPolicy& aPolicy)
{
  const auto serve = [this](net::Channel::Ptr aChannel) {
    AddChannel(aChannel);
    net::Start(mRelay.mLoop, "caller", Serve(std::move(aChannel)));
  };
  return net::Listen(
    mRelay.mLoop,
    aAddress,
    { mRelay.mCallerMemory, net::kMaxReceivedBytes, aPolicy.mBacklog, aPolicy.mTimeUntilAccept },
    serve);
}

void CallerServer::AddChannel(const net::Channel::Ptr& aChannel)
{
  if (mChannels.size() >= mPruneSize) {
    std::erase_if(mChannels, [](const auto& it) { return it.expired(); });
    mPruneSize = std::max(kMinPruneSize, 2 * mChannels.size());
  }
  mChannels.push_back(aChannel);
  const bool isCaller = mSourceOf(aChannel->PeerHost()) == RequestSource::Caller;
  aChannel->CountTraffic(isCaller ? mRelay.mCallerTraffic : mRelay.mInstanceTraffic);
}

bool CallerServer::HasUnsentBytes() const
{
  return std::any_of(mChannels.begin(), mChannels.end(), [](const auto& it) {
    const auto channel = it.lock();
    return channel && channel->State() != net::ChannelState::Closed && channel->Unsent() > 0;
  });
}

void CallerServer::NotifyRequests()
{
  for (const auto& it : mChannels) {
    if (const auto channel = it.lock()) {
      channel->NotifyListener();
    }
  }
}

CallerLimits CallerServer::Limits() const
{
  return mRelay.mRoutes ? mRelay.mRoutes->Limits() : CallerLimits{};
}

void CallerServer::CountRejection(int aStatus, std::string_view aText)
{
  const auto label = "status=\"" + std::to_string(aStatus) + "\"";
  mRelay.mMetrics.CounterOf("gentianloom_requests_rejected_total", label).Add();
  if (const auto count = mRejectionLogs[aStatus].Add(mRelay.mClock.Now())) {
    LogChange(LogLevel::Info,
              "caller",
              aText,
              { { "status", std::to_string(aStatus) }, { "count", std::to_string(*count) } });
  }
}

void CallerServer::RejectRequest(net::Channel& aChannel, net::ParseFault aFault)
{
  const int status = net::StatusForFault(aFault);
  CountRejection(status, "rejected requests that could not be parsed");
  net::RespondAndClose(aChannel, { status, "", {}, false });
}

void CallerServer::RejectLateRequest(net::Channel& aChannel)
{
  CountRejection(net::kRequestTimeout, "rejected requests that did not arrive in time");
  net::RespondAndClose(aChannel, { net::kRequestTimeout, "", {}, false });
}

void CallerServer::RefuseForMemory(net::Channel& aChannel, const net::RequestParser& aParser)
{
  auto head = net::MakeMemoryRefusal();
  if (aParser.State() != net::ParseState::NeedMore) {
    // An instance that sent the request on takes it back only with these headers.
    const auto request = mRelay.mCodec.Decode(aParser.Head());
    if (request) {
      mRelay.mCodec.AddRequestId(head, request.value());
    }
    if (mSourceOf(aChannel.PeerHost()) != RequestSource::Caller) {
      mRelay.mCodec.AddDeclined(head);
    }
  }
  net::RespondAndClose(aChannel, std::move(head));
}

bool CallerServer::HoldsTooMuch(net::Channel& aChannel,
                                const net::RequestParser& aParser,
                                std::size_t aCopies)
{
  SetHeld(aChannel, aParser.HeadBytes(), aParser.BodyBytes() * aCopies);
  if (aChannel.Share() == nullptr || !aChannel.Share()->IsShed()) {
    return false;
  }
  RefuseForMemory(aChannel, aParser);
  return true;
}

void CallerServer::SetHeld(net::Channel& aChannel, std::size_t aHeadBytes, std::size_t aBodyBytes)
{
  if (aChannel.Share() != nullptr) {
    aChannel.Share()->Set(net::HeldKind::Head, aHeadBytes);
    aChannel.Share()->Set(net::HeldKind::Body, aBodyBytes);
  }
}

net::Task<bool> CallerServer::ReadRequest(net::Channel& aChannel,
                                          net::Signal& aSignal,
                                          net::RequestParser& aParser)
{
  const auto limits = Limits();
  auto deadline = mRelay.mClock.Now() + limits.mIdleTimeout;
  bool hasStarted = false;
  bool hasSentContinue = false;
  while (aParser.State() != net::ParseState::Done) {
    const bool isResponseRead = hasStarted || aChannel.Unsent() <= kMaxUnreadBytes;
    if (!hasStarted && isResponseRead && !aChannel.Received().empty()) {
      hasStarted = true;
      SetState(aChannel, net::CallerState::Reading);
      deadline = mRelay.mClock.Now() + limits.mHeaderTimeout;
    }
    const auto previousState = aParser.State();
    const auto consumed = isResponseRead ? aParser.Put(aChannel.Received()) : 0;
    aChannel.Consume(consumed);
    if (aParser.State() == net::ParseState::Failed) {
      RejectRequest(aChannel, aParser.Fault());
      co_return false;
    }
    if (HoldsTooMuch(aChannel, aParser, 1)) {
      co_return false;
    }
    if (previousState == net::ParseState::NeedMore && aParser.State() != previousState) {
      deadline = mRelay.mClock.Now() + limits.mIdleTimeout;
    }
    if (aParser.State() == net::ParseState::HeadDone && aParser.ExpectsContinue() &&
        !hasSentContinue) {
      hasSentContinue = true;
      aChannel.Send(std::string(kContinue));
    }
    if (consumed > 0) {
      deadline = std::max(deadline, mRelay.mClock.Now() + limits.mHeaderTimeout);
      continue;
    }
    const auto timeLeft = deadline - mRelay.mClock.Now();
    if (!aChannel.IsUsable()) {
      aChannel.Close();
      co_return false;
    }
    if (timeLeft <= Micros(0)) {
      if (hasStarted) {
        RejectLateRequest(aChannel);
      } else if (!isResponseRead) {
        aChannel.Reset();
      } else {
        aChannel.CloseAfterSending();
      }
      co_return false;
    }
    co_await aSignal.WaitFor(timeLeft);
  }
  co_return true;
}

void CallerServer::SetState(net::Channel& aChannel, net::CallerState aState)
{
  if (aChannel.Share() != nullptr) {
    aChannel.Share()->SetState(aState);
  }
}

net::Task<void> CallerServer::Serve(net::Channel::Ptr aChannel)
{
  const auto signal = std::make_shared<net::Signal>(mRelay.mLoop);
  aChannel->SetListener(signal);
  while (true) {
    const auto limits = Limits();
    net::RequestParser parser({ limits.mMaxHeaderBytes, limits.mMaxBodyBytes });
    const bool isComplete = co_await ReadRequest(*aChannel, *signal, parser);
    if (!isComplete || HoldsTooMuch(*aChannel, parser, kBodyCopies)) {
      break;
    }
    SetState(*aChannel, net::CallerState::Running);
    const bool hasBody = parser.HasBody(); // looks at the head
    auto head = parser.TakeHead();
    RequestExchange exchange(mRelay,
                             *aChannel,
                             signal,
                             std::move(head),
                             parser.TakeBody(),
                             hasBody,
                             mSourceOf(aChannel->PeerHost()));
    const bool keepsConnection = co_await exchange.Run();
    SetState(*aChannel, net::CallerState::Idle);
    if (!keepsConnection) {
      aChannel->CloseAfterSending();
      break;
    }
  }
  SetHeld(*aChannel, 0, 0);
  SetState(*aChannel, net::CallerState::Idle);
  aChannel->SetListener(nullptr);
}

} // namespace gentianloom
