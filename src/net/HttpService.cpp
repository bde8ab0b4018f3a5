#include "gentianloom/net/HttpService.h"

#include "gentianloom/base/Log.h"
#include "gentianloom/net/HttpParser.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace gentianloom::net {

namespace {

using Acceptor = boost::asio::ip::tcp::acceptor;

/// Delay after a failed accept, for example while the process is out of file descriptors.
constexpr Millis kAcceptRetryDelay{ 20 };
/// A connection is closed if the next request is not complete after this time.
constexpr Millis kRequestTimeout{ 30'000 };
/// Largest accepted request.
constexpr ParseLimits kRequestLimits{ 8'192, 65'536 };

Task<void> AcceptConnections(Loop& aLoop,
                             std::shared_ptr<Acceptor> aAcceptor,
                             ChannelHandler aHandler)
{
  while (true) {
    boost::system::error_code ec;
    Channel::Socket socket(aLoop);
    co_await aAcceptor->async_accept(socket,
                                     boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    if (ec == boost::asio::error::operation_aborted) {
      co_return;
    }
    if (ec) {
      LogChange(
        LogLevel::Warning, "net", "failed to accept a connection", { { "error", ec.message() } });
      co_await Signal::Sleep(aLoop, kAcceptRetryDelay);
      continue;
    }
    aHandler(Channel::Accepted(aLoop, std::move(socket)));
  }
}

Task<void> ServeConnection(Loop& aLoop, Channel::Ptr aChannel, ServiceHandler aHandler)
{
  const auto signal = std::make_shared<Signal>(aLoop);
  aChannel->SetListener(signal);
  bool keepAlive = true;
  while (keepAlive && aChannel->IsUsable()) {
    RequestParser parser(kRequestLimits);
    const auto deadline = SystemClock().Now() + kRequestTimeout;
    while (parser.State() != ParseState::Done && parser.State() != ParseState::Failed) {
      const auto used = parser.Put(aChannel->Received());
      aChannel->Consume(used);
      if (used > 0) {
        continue;
      }
      const auto remaining = deadline - SystemClock().Now();
      if (!aChannel->IsUsable() || remaining <= Micros(0)) {
        aChannel->Close();
        co_return;
      }
      co_await signal->WaitFor(remaining);
    }
    ServiceReply reply{ 400, "text/plain", "not an HTTP request\n" };
    keepAlive = parser.State() == ParseState::Done && parser.Head().mKeepAlive;
    if (parser.State() == ParseState::Done) {
      reply = aHandler({ parser.Head(), aChannel->PeerHost() });
    }
    ResponseHead head{ reply.mStatus, "", {}, keepAlive };
    head.mHeaders.Add("Content-Type", reply.mContentType);
    head.mHeaders.Add("Connection", keepAlive ? "keep-alive" : "close");
    aChannel->Send(SerializeResponseHead(head, Framing::Length, reply.mBody.size()) + reply.mBody);
  }
  aChannel->CloseAfterSending();
}

} // namespace

Result<void> Listen(Loop& aLoop, const Channel::Address& aAddress, ChannelHandler aHandler)
{
  auto acceptor = std::make_shared<Acceptor>(aLoop);
  boost::system::error_code ec;
  acceptor->open(aAddress.protocol(), ec);
  if (!ec) {
    acceptor->set_option(boost::asio::socket_base::reuse_address(true), ec);
    acceptor->bind(aAddress, ec);
  }
  if (!ec) {
    acceptor->listen(boost::asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    const auto name = aAddress.address().to_string() + ":" + std::to_string(aAddress.port());
    return MakeError(ErrorCode::BadSettings,
                     Step::Settings,
                     name,
                     "cannot listen on " + name + ": " + ec.message());
  }
  Start(aLoop, "accept", AcceptConnections(aLoop, acceptor, std::move(aHandler)));
  return success();
}

Result<void> ServeHttp(Loop& aLoop, const Channel::Address& aAddress, ServiceHandler aHandler)
{
  return Listen(aLoop, aAddress, [&aLoop, handler = std::move(aHandler)](Channel::Ptr aChannel) {
    Start(aLoop, "service", ServeConnection(aLoop, std::move(aChannel), handler));
  });
}

} // namespace gentianloom::net
