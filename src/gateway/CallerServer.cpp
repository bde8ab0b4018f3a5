#include "gentianloom/gateway/CallerServer.h"

#include "gentianloom/base/Log.h"
#include "gentianloom/net/HttpService.h"

namespace gentianloom {

namespace {

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
/// Time to read the rest of what a refused caller still sends.
constexpr Millis kLingerTime{ 500 };

int StatusOf(net::ParseFault aFault)
{
  switch (aFault) {
    case net::ParseFault::HeadTooLarge:
      return kHeadTooLarge;
    case net::ParseFault::BodyTooLarge:
      return kBodyTooLarge;
    case net::ParseFault::Malformed:
      break;
  }
  return kBadRequest;
}

void AnswerAndClose(net::Channel& aChannel, int aStatus)
{
  net::ResponseHead head{ aStatus, "", {}, false };
  head.mHeaders.Add("Connection", "close");
  aChannel.Send(net::ResponseText(head, net::Framing::Length, 0));
  aChannel.CloseAfterSending();
}

} // namespace

Result<void> CallerServer::Start(const net::Channel::Address& aAddress)
{
  return net::Listen(mParts.mLoop, aAddress, [this](net::Channel::Ptr aChannel) {
    net::Start(mParts.mLoop, "caller", Serve(std::move(aChannel)));
  });
}

CallerLimits CallerServer::Limits() const
{
  return mParts.mRoutes ? mParts.mRoutes->Limits() : CallerLimits{};
}

void CallerServer::AnswerFault(net::Channel& aChannel, net::ParseFault aFault)
{
  const int status = StatusOf(aFault);
  LogChange(LogLevel::Info,
            "caller",
            "a request was refused before it was read whole",
            { { "status", std::to_string(status) } });
  AnswerAndClose(aChannel, status);
}

net::Task<bool> CallerServer::ReadRequest(net::Channel& aChannel,
                                          net::Signal& aSignal,
                                          net::RequestParser& aParser)
{
  const auto limits = Limits();
  auto deadline = mParts.mClock.Now() + limits.mIdleTimeout;
  bool hasBegun = false;
  bool hasContinued = false;
  while (aParser.State() != net::ParseState::Done) {
    if (!hasBegun && !aChannel.Received().empty()) {
      hasBegun = true;
      deadline = mParts.mClock.Now() + limits.mHeaderTimeout;
    }
    const auto before = aParser.State();
    const auto used = aParser.Put(aChannel.Received());
    aChannel.Consume(used);
    if (aParser.State() == net::ParseState::Failed) {
      AnswerFault(aChannel, aParser.Fault());
      co_await net::Signal::Sleep(mParts.mLoop, kLingerTime);
      aChannel.Close();
      co_return false;
    }
    if (before == net::ParseState::NeedMore && aParser.State() != before) {
      deadline = mParts.mClock.Now() + limits.mIdleTimeout;
    }
    if (aParser.State() == net::ParseState::HeadDone && aParser.ExpectsContinue() &&
        !hasContinued) {
      hasContinued = true;
      aChannel.Send(std::string(kContinue));
    }
    if (used > 0) {
      deadline = std::max(deadline, mParts.mClock.Now() + limits.mHeaderTimeout);
      continue;
    }
    const auto left = deadline - mParts.mClock.Now();
    if (!aChannel.IsUsable()) {
      aChannel.Close();
      co_return false;
    }
    if (left <= Micros(0)) {
      if (hasBegun) {
        AnswerAndClose(aChannel, kRequestTimeout);
      } else {
        aChannel.CloseAfterSending();
      }
      co_return false;
    }
    co_await aSignal.WaitFor(left);
  }
  co_return true;
}

net::Task<void> CallerServer::Serve(net::Channel::Ptr aChannel)
{
  const auto signal = std::make_shared<net::Signal>(mParts.mLoop);
  aChannel->SetListener(signal);
  while (true) {
    const auto limits = Limits();
    net::RequestParser parser({ limits.mMaxHeaderBytes, limits.mMaxBodyBytes });
    const bool isRead = co_await ReadRequest(*aChannel, *signal, parser);
    if (!isRead) {
      break;
    }
    auto head = parser.Head();
    RequestExchange exchange(
      mParts, *aChannel, signal, std::move(head), parser.TakeBody(), parser.HasBody());
    const bool goesOn = co_await exchange.Run();
    if (!goesOn) {
      aChannel->CloseAfterSending();
      break;
    }
  }
  aChannel->SetListener(nullptr);
}

} // namespace gentianloom
