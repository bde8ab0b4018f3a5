#include "gentianloom/net/HttpService.h"

#include "gentianloom/base/Log.h"
#include "gentianloom/net/HttpParser.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace gentianloom::net {

namespace {

using Acceptor = boost::asio::ip::tcp::acceptor;

/// Pause after a failed accept, for example while no descriptor is free.
constexpr Millis kAcceptPause{ 20 };
/// Longest life of a connection without a whole request.
constexpr Millis kServiceIdle{ 30'000 };
/// Largest request that a small service takes.
constexpr ParseLimits kServiceLimits{ 8'192, 65'536 };

Task<void> RunAccepts(Loop& aLoop, std::shared_ptr<Acceptor> aAcceptor, ChannelHandler aHandler)
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
      LogChange(LogLevel::Warning,
                "net",
                "a connection could not be accepted",
                { { "why", ec.message() } });
      co_await Signal::Sleep(aLoop, kAcceptPause);
      continue;
    }
    aHandler(Channel::Accepted(aLoop, std::move(socket)));
  }
}

Task<void> RunCalls(Loop& aLoop, Channel::Ptr aChannel, ServiceHandler aHandler)
{
  const auto signal = std::make_shared<Signal>(aLoop);
  aChannel->SetListener(signal);
  bool goesOn = true;
  while (goesOn && aChannel->IsUsable()) {
    RequestParser parser(kServiceLimits);
    const auto deadline = SystemClock().Now() + kServiceIdle;
    while (parser.State() != ParseState::Done && parser.State() != ParseState::Failed) {
      const auto used = parser.Put(aChannel->Received());
      aChannel->Consume(used);
      if (used > 0) {
        continue;
      }
      const auto left = deadline - SystemClock().Now();
      if (!aChannel->IsUsable() || left <= Micros(0)) {
        aChannel->Close();
        co_return;
      }
      co_await signal->WaitFor(left);
    }
    ServiceReply reply{ 400, "text/plain", "not an HTTP request\n" };
    goesOn = parser.State() == ParseState::Done && parser.Head().mKeepAlive;
    if (parser.State() == ParseState::Done) {
      reply = aHandler(parser.Head());
    }
    ResponseHead head{ reply.mStatus, "", {}, goesOn };
    head.mHeaders.Add("Content-Type", reply.mContentType);
    head.mHeaders.Add("Connection", goesOn ? "keep-alive" : "close");
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
  Start(aLoop, "accept", RunAccepts(aLoop, acceptor, std::move(aHandler)));
  return success();
}

Result<void> ServeHttp(Loop& aLoop, const Channel::Address& aAddress, ServiceHandler aHandler)
{
  return Listen(aLoop, aAddress, [&aLoop, handler = std::move(aHandler)](Channel::Ptr aChannel) {
    Start(aLoop, "service", RunCalls(aLoop, std::move(aChannel), handler));
  });
}

} // namespace gentianloom::net
