#include "gentianloom/gateway/CallerServer.h"

#include "gentianloom/base/Log.h"
#include "gentianloom/net/HttpService.h"
#include "gentianloom/net/HttpStatus.h"

#include <algorithm>

namespace gentianloom {

namespace {

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
/// Delay before closing after a rejection. Closing while the caller still sends would reset the
/// connection, and the response could be lost.
constexpr Millis kLingerTime{ 500 };

int StatusForFault(net::ParseFault aFault)
{
  switch (aFault) {
    case net::ParseFault::HeadTooLarge:
      return net::kHeadTooLarge;
    case net::ParseFault::BodyTooLarge:
      return net::kBodyTooLarge;
    case net::ParseFault::Malformed:
      break;
  }
  return net::kBadRequest;
}

void RespondAndClose(net::Channel& aChannel, int aStatus)
{
  net::ResponseHead head{ aStatus, "", {}, false };
  head.mHeaders.Add("Connection", "close");
  aChannel.Send(net::SerializeResponseHead(head, net::Framing::Length, 0));
  aChannel.CloseAfterSending();
}

} // namespace

Result<void> CallerServer::Start(const net::Channel::Address& aAddress)
{
  return net::Listen(mRelay.mLoop, aAddress, [this](net::Channel::Ptr aChannel) {
    AddChannel(aChannel);
    net::Start(mRelay.mLoop, "caller", Serve(std::move(aChannel)));
  });
}

void CallerServer::AddChannel(const net::Channel::Ptr& aChannel)
{
  if (mChannels.size() >= mPruneSize) {
    std::erase_if(mChannels, [](const auto& it) { return it.expired(); });
    mPruneSize = std::max(kMinPruneSize, 2 * mChannels.size());
  }
  mChannels.push_back(aChannel);
}

bool CallerServer::HasUnsentBytes() const
{
  return std::any_of(mChannels.begin(), mChannels.end(), [](const auto& it) {
    const auto channel = it.lock();
    return channel && channel->State() != net::ChannelState::Closed && channel->Unsent() > 0;
  });
}

CallerLimits CallerServer::Limits() const
{
  return mRelay.mRoutes ? mRelay.mRoutes->Limits() : CallerLimits{};
}

void CallerServer::RejectRequest(net::Channel& aChannel, net::ParseFault aFault)
{
  const int status = StatusForFault(aFault);
  LogChange(LogLevel::Info,
            "caller",
            "rejected a request that could not be parsed",
            { { "status", std::to_string(status) } });
  RespondAndClose(aChannel, status);
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
    if (!hasStarted && !aChannel.Received().empty()) {
      hasStarted = true;
      deadline = mRelay.mClock.Now() + limits.mHeaderTimeout;
    }
    const auto previousState = aParser.State();
    const auto consumed = aParser.Put(aChannel.Received());
    aChannel.Consume(consumed);
    if (aParser.State() == net::ParseState::Failed) {
      RejectRequest(aChannel, aParser.Fault());
      co_await net::Signal::Sleep(mRelay.mLoop, kLingerTime);
      aChannel.Close();
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
        RespondAndClose(aChannel, net::kRequestTimeout);
      } else {
        aChannel.CloseAfterSending();
      }
      co_return false;
    }
    co_await aSignal.WaitFor(timeLeft);
  }
  co_return true;
}

net::Task<void> CallerServer::Serve(net::Channel::Ptr aChannel)
{
  const auto signal = std::make_shared<net::Signal>(mRelay.mLoop);
  aChannel->SetListener(signal);
  while (true) {
    const auto limits = Limits();
    net::RequestParser parser({ limits.mMaxHeaderBytes, limits.mMaxBodyBytes });
    const bool isComplete = co_await ReadRequest(*aChannel, *signal, parser);
    if (!isComplete) {
      break;
    }
    auto head = parser.Head();
    RequestExchange exchange(mRelay,
                             *aChannel,
                             signal,
                             std::move(head),
                             parser.TakeBody(),
                             parser.HasBody(),
                             mSourceOf(aChannel->PeerHost()));
    const bool keepsConnection = co_await exchange.Run();
    if (!keepsConnection) {
      aChannel->CloseAfterSending();
      break;
    }
  }
  aChannel->SetListener(nullptr);
}

} // namespace gentianloom
