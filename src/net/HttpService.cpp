#include "gentianloom/net/HttpService.h"

#include "gentianloom/base/Log.h"
#include "gentianloom/base/LogLimiter.h"
#include "gentianloom/net/HttpStatus.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace gentianloom::net {

namespace {

using Acceptor = boost::asio::ip::tcp::acceptor;

/// Delay after a failed accept, for example while the process is out of file descriptors.
constexpr Millis kAcceptRetryDelay{ 20 };
/// Longest pause after which it is looked again whether a connection may be accepted.
constexpr Millis kMaxAcceptPause{ 20 };
/// A connection is closed if the next request is not complete after this time.
constexpr Millis kRequestTimeout{ 30'000 };
/// Largest accepted request; none of them needs a body.
constexpr ParseLimits kRequestLimits{ 8'192, 4'096 };
/// Holds the largest head; what is pipelined behind it stays with the system.
constexpr std::size_t kMaxServiceReceivedBytes = 16 * 1'024;
/// Retry-After of a request that is refused because callers hold too much.
constexpr std::string_view kMemoryRetryAfterSeconds = "1";

/// What a listening socket needs to accept connections.
struct Listener
{
  Loop& mLoop;
  Acceptor mAcceptor;
  ListenOptions mOptions;
  ChannelHandler mHandler;
  LogLimiter mErrorLog{};
};

void LogFailedAccept(Listener& aListener, const boost::system::error_code& aError)
{
  if (const auto count = aListener.mErrorLog.Add(SystemClock().Now())) {
    LogChange(LogLevel::Warning,
              "net",
              "failed to accept a connection",
              { { "error", aError.message() }, { "count", std::to_string(*count) } });
  }
}

/// Waits until the next connection may be accepted.
Task<void> AwaitAccept(const Listener& aListener)
{
  while (aListener.mOptions.mTimeUntilAccept) {
    const auto time = aListener.mOptions.mTimeUntilAccept();
    if (time <= Micros(0)) {
      break;
    }
    co_await Signal::Sleep(aListener.mLoop, std::min<Micros>(time, kMaxAcceptPause));
  }
}

Task<void> AcceptConnections(std::shared_ptr<Listener> aListener)
{
  auto& loop = aListener->mLoop;
  while (true) {
    co_await AwaitAccept(*aListener);
    boost::system::error_code ec;
    Channel::Socket socket(loop);
    co_await aListener->mAcceptor.async_accept(
      socket, boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    if (ec == boost::asio::error::operation_aborted) {
      co_return;
    }
    if (ec) {
      LogFailedAccept(*aListener, ec);
      co_await Signal::Sleep(loop, kAcceptRetryDelay);
      continue;
    }
    auto* memory = aListener->mOptions.mMemory;
    if (memory != nullptr && !memory->MakeRoomForConnection()) {
      continue; // closes the socket
    }
    aListener->mHandler(
      Channel::Accepted(loop, std::move(socket), memory, aListener->mOptions.mMaxReceivedBytes));
  }
}

void SetState(Channel& aChannel, CallerState aState)
{
  if (aChannel.Share() != nullptr) {
    aChannel.Share()->SetState(aState);
  }
}

bool IsShed(const Channel& aChannel)
{
  return aChannel.Share() != nullptr && aChannel.Share()->IsShed();
}

/// Reads one request. Returns false if the connection ended, or its request was refused.
Task<bool> ReadServiceRequest(Channel& aChannel, Signal& aSignal, RequestParser& aParser)
{
  const auto deadline = SystemClock().Now() + kRequestTimeout;
  bool hasStarted = false;
  while (aParser.State() != ParseState::Done) {
    std::size_t used = 0;
    const bool isResponseRead = aChannel.Unsent() == 0;
    if (isResponseRead) {
      if (!hasStarted && !aChannel.Received().empty()) {
        hasStarted = true;
        SetState(aChannel, CallerState::Reading);
      }
      used = aParser.Put(aChannel.Received());
      aChannel.Consume(used);
    }
    if (aParser.State() == ParseState::Failed) {
      RespondAndClose(aChannel, { StatusForFault(aParser.Fault()), "", {}, false });
      co_return false;
    }
    if (aChannel.Share() != nullptr) {
      aChannel.Share()->Set(HeldKind::Head, aParser.HeadBytes());
      aChannel.Share()->Set(HeldKind::Body, aParser.BodyBytes());
    }
    if (IsShed(aChannel)) {
      RespondAndClose(aChannel, MakeMemoryRefusal());
      co_return false;
    }
    if (used > 0) {
      continue;
    }
    const auto remaining = deadline - SystemClock().Now();
    if (!aChannel.IsUsable() || remaining <= Micros(0)) {
      aChannel.Close();
      co_return false;
    }
    co_await aSignal.WaitFor(remaining);
  }
  co_return true;
}

Task<void> ServeConnection(Loop& aLoop, Channel::Ptr aChannel, ServiceHandler aHandler)
{
  const auto signal = std::make_shared<Signal>(aLoop);
  aChannel->SetListener(signal);
  bool keepAlive = true;
  while (keepAlive && aChannel->IsUsable()) {
    RequestParser parser(kRequestLimits);
    const bool isComplete = co_await ReadServiceRequest(*aChannel, *signal, parser);
    SetState(*aChannel, CallerState::Idle);
    if (!isComplete) {
      break;
    }
    keepAlive = parser.Head().mKeepAlive;
    const auto reply = aHandler({ parser.Head(), aChannel->PeerHost() });
    ResponseHead head{ reply.mStatus, "", {}, keepAlive };
    head.mHeaders.Add("Content-Type", reply.mContentType);
    head.mHeaders.Add("Connection", keepAlive ? "keep-alive" : "close");
    aChannel->Send(SerializeResponseHead(head, Framing::Length, reply.mBody.size()) + reply.mBody);
  }
  if (aChannel->Share() != nullptr) {
    aChannel->Share()->Set(HeldKind::Head, 0);
    aChannel->Share()->Set(HeldKind::Body, 0);
  }
  aChannel->CloseAfterSending();
  aChannel->SetListener(nullptr);
}

} // namespace

int StatusForFault(ParseFault aFault)
{
  switch (aFault) {
    case ParseFault::HeadTooLarge:
      return kHeadTooLarge;
    case ParseFault::BodyTooLarge:
      return kBodyTooLarge;
    case ParseFault::Malformed:
      break;
  }
  return kBadRequest;
}

void RespondAndClose(Channel& aChannel, ResponseHead aHead)
{
  aHead.mKeepAlive = false;
  aHead.mHeaders.Add("Connection", "close");
  aChannel.Send(SerializeResponseHead(aHead, Framing::Length, 0));
  aChannel.CloseAfterSending();
}

ResponseHead MakeMemoryRefusal()
{
  ResponseHead out{ kUnavailable, "", {}, false };
  out.mHeaders.Add("Retry-After", std::string(kMemoryRetryAfterSeconds));
  return out;
}

Result<void> Listen(Loop& aLoop,
                    const Channel::Address& aAddress,
                    ListenOptions aOptions,
                    ChannelHandler aHandler)
{
  auto listener = std::make_shared<Listener>(
    Listener{ aLoop, Acceptor(aLoop), std::move(aOptions), std::move(aHandler) });
  auto& acceptor = listener->mAcceptor;
  boost::system::error_code ec;
  acceptor.open(aAddress.protocol(), ec);
  if (!ec) {
    acceptor.set_option(boost::asio::socket_base::reuse_address(true), ec);
    acceptor.bind(aAddress, ec);
  }
  if (!ec) {
    constexpr auto kLongest = boost::asio::socket_base::max_listen_connections;
    acceptor.listen(listener->mOptions.mBacklog.value_or(kLongest), ec);
  }
  if (ec) {
    const auto name = aAddress.address().to_string() + ":" + std::to_string(aAddress.port());
    return MakeError(ErrorCode::BadSettings,
                     Step::Settings,
                     name,
                     "cannot listen on " + name + ": " + ec.message());
  }
  Start(aLoop, "accept", AcceptConnections(std::move(listener)));
  return success();
}

Result<void> ServeHttp(Loop& aLoop,
                       const Channel::Address& aAddress,
                       CallerMemory* aMemory,
                       ServiceHandler aHandler)
{
  const auto serve = [&aLoop, handler = std::move(aHandler)](Channel::Ptr aChannel) {
    Start(aLoop, "service", ServeConnection(aLoop, std::move(aChannel), handler));
  };
  return Listen(aLoop, aAddress, { aMemory, kMaxServiceReceivedBytes }, serve);
}

} // namespace gentianloom::net
