#include "gentianloom/net/Channel.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>

namespace gentianloom::net {

namespace {

/// Reading pauses while this many bytes are unconsumed, so that TCP flow control slows the peer.
constexpr std::size_t kMaxReceivedBytes = 128 * 1'024;
/// Buffer size of one read.
constexpr std::size_t kReadBytes = 16 * 1'024;
/// TCP_USER_TIMEOUT: the operating system closes a connection on which sent bytes stay
/// unacknowledged for this time.
constexpr unsigned kTcpUserTimeoutMs = 4'000;
/// Upper bound of a wait that normally ends by a notification.
constexpr Millis kMaxSignalWait{ 3'600'000 };

} // namespace

std::string_view ToString(ChannelState aState)
{
  switch (aState) {
    case ChannelState::Connecting:
      return "connecting";
    case ChannelState::Open:
      return "open";
    case ChannelState::PeerClosed:
      return "closed-by-peer";
    case ChannelState::Closed:
      return "closed";
  }
  return "unknown";
}

Channel::Channel(Loop& aLoop, Socket aSocket, ChannelState aState)
  : mLoop(aLoop)
  , mSocket(std::move(aSocket))
  , mState(aState)
  , mReaderWake(aLoop)
  , mWriterWake(aLoop)
{
}

Channel::~Channel() = default;

Channel::Ptr Channel::Accepted(Loop& aLoop, Socket aSocket)
{
  Ptr out(new Channel(aLoop, std::move(aSocket), ChannelState::Open));
  out->SetSocketOptions();
  Start(aLoop, "channel.read", ReadLoop(out));
  Start(aLoop, "channel.write", WriteLoop(out));
  return out;
}

Channel::Ptr Channel::Connect(Loop& aLoop, const Address& aAddress)
{
  Ptr out(new Channel(aLoop, Socket(aLoop), ChannelState::Connecting));
  Start(aLoop, "channel.connect", RunConnect(out, aAddress));
  return out;
}

void Channel::SetSocketOptions()
{
  boost::system::error_code ec;
  mSocket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
  mSocket.non_blocking(true, ec);
  const unsigned ms = kTcpUserTimeoutMs;
  // A failure is ignored: an unreachable peer is then detected later, by request timeouts.
  (void)setsockopt(mSocket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
}

Task<void> Channel::RunConnect(Ptr aSelf, Address aAddress)
{
  boost::system::error_code ec;
  co_await aSelf->mSocket.async_connect(
    aAddress, boost::asio::redirect_error(boost::asio::use_awaitable, ec));
  if (aSelf->mState != ChannelState::Connecting) {
    co_return;
  }
  if (ec) {
    aSelf->CloseSocket();
    co_return;
  }
  aSelf->mState = ChannelState::Open;
  aSelf->SetSocketOptions();
  Start(aSelf->mLoop, "channel.read", ReadLoop(aSelf));
  Start(aSelf->mLoop, "channel.write", WriteLoop(aSelf));
  aSelf->NotifyListener();
}

Task<void> Channel::ReadLoop(Ptr aSelf)
{
  std::array<char, kReadBytes> buf; // NOLINT(cppcoreguidelines-pro-type-member-init)
  while (aSelf->mState == ChannelState::Open) {
    if (aSelf->mReceived.size() >= kMaxReceivedBytes) {
      co_await aSelf->mReaderWake.WaitFor(kMaxSignalWait);
      continue;
    }
    boost::system::error_code ec;
    const auto n = co_await aSelf->mSocket.async_read_some(
      boost::asio::buffer(buf), boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    if (aSelf->mState != ChannelState::Open) {
      co_return;
    }
    aSelf->mReceived.append(buf.data(), n);
    if (!ec) {
      ec = aSelf->ReadAvailable(buf);
    }
    if (ec == boost::asio::error::eof) {
      aSelf->mState = ChannelState::PeerClosed;
      aSelf->NotifyListener();
      aSelf->mWriterWake.Notify();
      co_return;
    }
    if (ec) {
      aSelf->CloseSocket();
      co_return;
    }
    aSelf->NotifyListener();
  }
}

boost::system::error_code Channel::ReadAvailable(std::span<char> aBuffer)
{
  boost::system::error_code ec;
  while (!ec && mReceived.size() < kMaxReceivedBytes) {
    const auto n = mSocket.read_some(boost::asio::buffer(aBuffer.data(), aBuffer.size()), ec);
    mReceived.append(aBuffer.data(), n);
  }
  return ec == boost::asio::error::would_block ? boost::system::error_code() : ec;
}

Task<void> Channel::WriteLoop(Ptr aSelf)
{
  while (aSelf->mState == ChannelState::Open || aSelf->mState == ChannelState::PeerClosed) {
    if (aSelf->mSendQueue.empty()) {
      if (aSelf->mCloseAfterSending) {
        boost::system::error_code ec;
        aSelf->mSocket.shutdown(Socket::shutdown_send, ec);
        if (ec || aSelf->mState == ChannelState::PeerClosed) {
          aSelf->Close();
        }
        co_return;
      }
      if (aSelf->mState == ChannelState::PeerClosed) {
        co_return;
      }
      co_await aSelf->mWriterWake.WaitFor(kMaxSignalWait);
      continue;
    }
    const auto bytes = std::move(aSelf->mSendQueue.front());
    aSelf->mSendQueue.pop_front();
    std::size_t written = 0;
    while (written < bytes.size()) {
      boost::system::error_code ec;
      const auto n = co_await aSelf->mSocket.async_write_some(
        boost::asio::buffer(bytes.data() + written, bytes.size() - written),
        boost::asio::redirect_error(boost::asio::use_awaitable, ec));
      if (aSelf->mState == ChannelState::Closed) {
        co_return;
      }
      if (ec) {
        aSelf->CloseSocket();
        co_return;
      }
      written += n;
      aSelf->mSent += n;
      aSelf->mUnsent -= n;
    }
    aSelf->NotifyListener();
  }
}

void Channel::Consume(std::size_t aBytes)
{
  mReceived.erase(0, aBytes);
  mReaderWake.Notify();
}

void Channel::Send(std::string aBytes)
{
  mUnsent += aBytes.size();
  mSendQueue.push_back(std::move(aBytes));
  mWriterWake.Notify();
}

void Channel::NotifyListener()
{
  if (mListener) {
    mListener->Notify();
  }
}

void Channel::CloseSocket()
{
  boost::system::error_code ec;
  mSocket.close(ec);
  mState = ChannelState::Closed;
  mReaderWake.Notify();
  mWriterWake.Notify();
  NotifyListener();
}

std::string Channel::PeerHost() const
{
  boost::system::error_code ec;
  const auto peer = mSocket.remote_endpoint(ec);
  return ec ? std::string() : peer.address().to_string();
}

void Channel::Close()
{
  if (mState != ChannelState::Closed) {
    CloseSocket();
  }
}

void Channel::Reset()
{
  if (mState == ChannelState::Closed) {
    return;
  }
  boost::system::error_code ec;
  mSocket.set_option(boost::asio::socket_base::linger(true, 0), ec);
  CloseSocket();
}

void Channel::CloseAfterSending()
{
  mCloseAfterSending = true;
  mWriterWake.Notify();
}

} // namespace gentianloom::net
