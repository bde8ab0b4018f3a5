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

/// Received bytes that may wait; beyond that the peer is slowed by its window.
constexpr std::size_t kMostReceived = 128 * 1'024;
/// Bytes of one read.
constexpr std::size_t kReadBytes = 16 * 1'024;
/// Time without acknowledgement of sent bytes after which the operating system gives up.
constexpr unsigned kUserTimeoutMs = 4'000;
/// Longest wait of a task that is notified anyway.
constexpr Millis kIdleWait{ 3'600'000 };

} // namespace

Channel::Channel(Loop& aLoop, Socket aSocket, ChannelState aState)
  : mLoop(aLoop)
  , mSocket(std::move(aSocket))
  , mState(aState)
  , mRoom(aLoop)
  , mWork(aLoop)
{
}

Channel::~Channel() = default;

Channel::Ptr Channel::Accepted(Loop& aLoop, Socket aSocket)
{
  Ptr out(new Channel(aLoop, std::move(aSocket), ChannelState::Open));
  out->Prepare();
  Start(aLoop, "channel.read", RunReads(out));
  Start(aLoop, "channel.write", RunWrites(out));
  return out;
}

Channel::Ptr Channel::Connect(Loop& aLoop, const Address& aAddress)
{
  Ptr out(new Channel(aLoop, Socket(aLoop), ChannelState::Connecting));
  Start(aLoop, "channel.connect", RunConnect(out, aAddress));
  return out;
}

void Channel::Prepare()
{
  boost::system::error_code ec;
  mSocket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
  const unsigned ms = kUserTimeoutMs;
  // Without the option a dead peer is noticed later, by the timeouts of each exchange.
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
    aSelf->Break();
    co_return;
  }
  aSelf->mState = ChannelState::Open;
  aSelf->Prepare();
  Start(aSelf->mLoop, "channel.read", RunReads(aSelf));
  Start(aSelf->mLoop, "channel.write", RunWrites(aSelf));
  aSelf->Notify();
}

Task<void> Channel::RunReads(Ptr aSelf)
{
  std::array<char, kReadBytes> buf; // NOLINT(cppcoreguidelines-pro-type-member-init)
  while (aSelf->mState == ChannelState::Open) {
    if (aSelf->mReceived.size() >= kMostReceived) {
      co_await aSelf->mRoom.WaitFor(kIdleWait);
      continue;
    }
    boost::system::error_code ec;
    const auto n = co_await aSelf->mSocket.async_read_some(
      boost::asio::buffer(buf), boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    if (aSelf->mState != ChannelState::Open) {
      co_return;
    }
    if (ec == boost::asio::error::eof) {
      aSelf->mState = ChannelState::PeerClosed;
      aSelf->Notify();
      aSelf->mWork.Notify();
      co_return;
    }
    if (ec) {
      aSelf->Break();
      co_return;
    }
    aSelf->mReceived.append(buf.data(), n);
    aSelf->Notify();
  }
}

Task<void> Channel::RunWrites(Ptr aSelf)
{
  while (aSelf->mState == ChannelState::Open || aSelf->mState == ChannelState::PeerClosed) {
    if (aSelf->mQueue.empty()) {
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
      co_await aSelf->mWork.WaitFor(kIdleWait);
      continue;
    }
    const auto bytes = std::move(aSelf->mQueue.front());
    aSelf->mQueue.pop_front();
    std::size_t done = 0;
    while (done < bytes.size()) {
      boost::system::error_code ec;
      const auto n = co_await aSelf->mSocket.async_write_some(
        boost::asio::buffer(bytes.data() + done, bytes.size() - done),
        boost::asio::redirect_error(boost::asio::use_awaitable, ec));
      if (aSelf->mState == ChannelState::Closed) {
        co_return;
      }
      if (ec) {
        aSelf->Break();
        co_return;
      }
      done += n;
      aSelf->mSent += n;
      aSelf->mUnsent -= n;
    }
    aSelf->Notify();
  }
}

void Channel::Consume(std::size_t aBytes)
{
  mReceived.erase(0, aBytes);
  mRoom.Notify();
}

void Channel::Send(std::string aBytes)
{
  mUnsent += aBytes.size();
  mQueue.push_back(std::move(aBytes));
  mWork.Notify();
}

void Channel::Notify()
{
  if (mListener) {
    mListener->Notify();
  }
}

void Channel::Break()
{
  boost::system::error_code ec;
  mSocket.close(ec);
  mState = ChannelState::Closed;
  mRoom.Notify();
  mWork.Notify();
  Notify();
}

void Channel::Close()
{
  if (mState != ChannelState::Closed) {
    Break();
  }
}

void Channel::Reset()
{
  if (mState == ChannelState::Closed) {
    return;
  }
  boost::system::error_code ec;
  mSocket.set_option(boost::asio::socket_base::linger(true, 0), ec);
  Break();
}

void Channel::CloseAfterSending()
{
  mCloseAfterSending = true;
  mWork.Notify();
}

} // namespace gentianloom::net
