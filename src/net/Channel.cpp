#include "gentianloom/net/Channel.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <memory>

namespace gentianloom::net {

namespace {

/// Buffer size of the read that waits for bytes. Each connection has its own, so it is small.
constexpr std::size_t kFirstReadBytes = 4 * 1'024;
/// Buffer size of the reads after it.
constexpr std::size_t kReadBytes = 16 * 1'024;
/// A buffer of received bytes that is larger than this is freed when it is empty. Requests of usual
/// size reuse a smaller one.
constexpr std::size_t kMaxKeptBytes = 16 * 1'024;
/// Time for which a connection stays open after its last byte was sent. A peer that does not close
/// its side would otherwise keep the descriptor for ever.
constexpr Millis kLingerTime{ 1'000 };
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

Channel::Channel(Loop& aLoop, Socket aSocket, ChannelState aState, std::size_t aMaxReceivedBytes)
  : mLoop(aLoop)
  , mSocket(std::move(aSocket))
  , mState(aState)
  , mReaderWake(aLoop)
  , mWriterWake(aLoop)
  , mMaxReceivedBytes(aMaxReceivedBytes)
{
}

Channel::~Channel() = default;

Channel::Ptr Channel::Accepted(Loop& aLoop,
                               Socket aSocket,
                               CallerMemory* aMemory,
                               std::size_t aMaxReceivedBytes)
{
  Ptr out(new Channel(aLoop, std::move(aSocket), ChannelState::Open, aMaxReceivedBytes));
  out->SetSocketOptions();
  if (aMemory != nullptr) {
    out->mShare = std::make_unique<CallerShare>(
      *aMemory, [self = out.get()](ShedReason aReason) { self->OnShed(aReason); });
  }
  Start(aLoop, "channel.read", ReadLoop(out));
  Start(aLoop, "channel.write", WriteLoop(out));
  return out;
}

Channel::Ptr Channel::Connect(Loop& aLoop, const Address& aAddress)
{
  Ptr out(new Channel(aLoop, Socket(aLoop), ChannelState::Connecting, kMaxReceivedBytes));
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
  std::array<char, kFirstReadBytes> buf; // NOLINT(cppcoreguidelines-pro-type-member-init)
  while (aSelf->mState == ChannelState::Open) {
    if (aSelf->mReceived.size() >= aSelf->mMaxReceivedBytes) {
      co_await aSelf->mReaderWake.WaitFor(kMaxSignalWait);
      continue;
    }
    aSelf->ReleaseReceived();
    boost::system::error_code ec;
    const auto n = co_await aSelf->mSocket.async_read_some(
      boost::asio::buffer(buf), boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    if (aSelf->mState != ChannelState::Open) {
      co_return;
    }
    const auto sizeBefore = aSelf->mReceived.size();
    aSelf->mReceived.append(buf.data(), n);
    if (!ec) {
      ec = aSelf->ReadAvailable();
    }
    const auto bytes = aSelf->mReceived.size() - sizeBefore;
    if (aSelf->mTraffic != nullptr) {
      aSelf->mTraffic->mReceived += bytes;
    }
    if (aSelf->mCloseAfterSending) {
      aSelf->mReceived.clear();
    }
    if (aSelf->mShare) {
      aSelf->mShare->AddProgress(bytes);
      aSelf->UpdateShare();
    }
    if (ec == boost::asio::error::eof) {
      aSelf->mState = ChannelState::PeerClosed;
      aSelf->mPeerClosedAt = SystemClock().Now();
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

boost::system::error_code Channel::ReadAvailable()
{
  // Shared by all channels: only one thread runs an event loop, and nothing is kept in it.
  static thread_local std::array<char, kReadBytes> buf;
  boost::system::error_code ec;
  while (!ec && mReceived.size() < mMaxReceivedBytes) {
    const auto n = mSocket.read_some(boost::asio::buffer(buf), ec);
    mReceived.append(buf.data(), n);
  }
  return ec == boost::asio::error::would_block ? boost::system::error_code() : ec;
}

void Channel::ReleaseReceived()
{
  if (mReceived.empty() && mReceived.capacity() > kMaxKeptBytes) {
    mReceived = {};
    UpdateShare();
  }
}

void Channel::UpdateShare()
{
  if (mShare) {
    mShare->Set(HeldKind::Received, mReceived.capacity());
    mShare->Set(HeldKind::Response, mQueued);
  }
}

void Channel::OnShed(ShedReason aReason)
{
  // A request that is being read can be refused. To make room for another connection, the
  // descriptor has to be closed at once.
  const bool isRefusable = mShare->State() == CallerState::Reading && mListener;
  if (isRefusable && aReason == ShedReason::Memory) {
    NotifyListener();
  } else {
    Reset();
  }
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
        } else {
          Start(aSelf->mLoop, "channel.linger", Linger(aSelf));
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
      if (aSelf->mTraffic != nullptr) {
        aSelf->mTraffic->mSent += n;
      }
      if (aSelf->mShare) {
        aSelf->mShare->AddProgress(n);
      }
    }
    aSelf->mQueued -= bytes.size();
    aSelf->UpdateShare();
    aSelf->NotifyListener();
  }
}

Task<void> Channel::Linger(Ptr aSelf)
{
  const std::weak_ptr<Channel> watch = aSelf;
  auto& loop = aSelf->mLoop;
  aSelf = nullptr; // the peer's close releases the channel
  co_await Signal::Sleep(loop, kLingerTime);
  if (const auto self = watch.lock()) {
    self->Close();
  }
}

Micros Channel::TimeSincePeerClosed() const
{
  return mPeerClosedAt ? SystemClock().Now() - *mPeerClosedAt : Micros(0);
}

void Channel::Consume(std::size_t aBytes)
{
  mReceived.erase(0, aBytes);
  mReaderWake.Notify();
}

void Channel::Send(std::string aBytes)
{
  mUnsent += aBytes.size();
  mQueued += aBytes.size();
  mSendQueue.push_back(std::move(aBytes));
  UpdateShare();
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
  if (mShare) {
    mShare->OnClosed();
  }
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
  mReceived.clear();
  mReaderWake.Notify();
  mWriterWake.Notify();
}

} // namespace gentianloom::net
