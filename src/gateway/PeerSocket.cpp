#include "gentianloom/gateway/PeerSocket.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace gentianloom {

PeerMessageKind PeerMessageKindOf(std::string_view aBytes)
{
  // The first byte is the head of an array; MessagePack writes a small number as itself.
  constexpr std::size_t kKindOffset = 1;
  if (aBytes.size() <= kKindOffset) {
    return PeerMessageKind::Load;
  }
  const auto it = static_cast<unsigned char>(aBytes[kKindOffset]);
  return it < kPeerMessageKinds ? static_cast<PeerMessageKind>(it) : PeerMessageKind::Load;
}

PeerSocket::PeerSocket(net::Loop& aLoop, Metrics& aMetrics)
  : mLoop(aLoop)
  , mMetrics(aMetrics)
  , mSocket(aLoop)
{
}

void PeerSocket::SetHandler(PeerMessageKind aKind, Handler aHandler)
{
  mHandlers.at(static_cast<std::size_t>(aKind)) = std::move(aHandler);
}

Result<void> PeerSocket::Start(std::string_view aAddress)
{
  const auto address = net::ParseSocketAddress(aAddress);
  if (!address) {
    return address.error();
  }
  const Address local(address.value().address(), address.value().port());
  boost::system::error_code ec;
  mSocket.open(local.protocol(), ec);
  if (!ec) {
    mSocket.bind(local, ec);
  }
  if (ec) {
    return MakeError(ErrorCode::BadSettings,
                     Step::Settings,
                     aAddress,
                     "cannot bind UDP address " + std::string(aAddress) + ": " + ec.message());
  }
  mSocket.non_blocking(true, ec);
  net::Start(mLoop, "peer receiver", RunReceiver());
  return success();
}

bool PeerSocket::Send(const Address& aPeer, std::string_view aBytes)
{
  boost::system::error_code ec;
  mSocket.send_to(boost::asio::buffer(aBytes.data(), aBytes.size()), aPeer, 0, ec);
  mBytes.mSent += ec ? 0 : aBytes.size();
  return !ec;
}

bool PeerSocket::Send(std::string_view aPeer, std::string_view aBytes)
{
  const auto address = net::ParseSocketAddress(aPeer);
  return address && Send(Address(address.value().address(), address.value().port()), aBytes);
}

net::Task<void> PeerSocket::RunReceiver()
{
  std::array<char, kMaxDatagramBytes> buf; // NOLINT(cppcoreguidelines-pro-type-member-init)
  while (true) {
    Address sender;
    boost::system::error_code ec;
    const auto n = co_await mSocket.async_receive_from(
      boost::asio::buffer(buf),
      sender,
      boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    if (ec == boost::asio::error::operation_aborted) {
      co_return;
    }
    if (ec) {
      continue; // ICMP error for an earlier datagram: a peer's port is closed
    }
    mBytes.mReceived += n;
    const std::string_view bytes(buf.data(), n);
    const auto& handler = mHandlers.at(static_cast<std::size_t>(PeerMessageKindOf(bytes)));
    if (handler) {
      handler(bytes, sender);
    } else {
      mMetrics.CounterOf("gentianloom_peer_messages_unknown_total").Add();
    }
  }
}

} // namespace gentianloom
