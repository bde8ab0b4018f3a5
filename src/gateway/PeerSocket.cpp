#include "gentianloom/gateway/PeerSocket.h"

#include "gentianloom/base/Log.h"
#include "gentianloom/net/Signal.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>

namespace gentianloom {

namespace {

/// Interval at which the queue is looked at while no datagram arrives.
constexpr Millis kQueueCheckInterval{ 100 };
/// Time for which datagrams are received and handled before other work of the loop has its turn.
constexpr Millis kMaxTurn{ 5 };

/// Names by PeerMessageKind.
constexpr std::array<std::string_view, kPeerMessageKinds> kKindNames = {
  "load",
  "stream-origin",
  "stream-origin-query",
  "stream-origin-unknown",
  "reservation-query",
  "reservation-answer",
  "reservation-settlement",
  "reservation-settled",
  "crash-report",
  "crash-cleared",
  "endpoint-ended",
  "endpoint-first-end",
  "prefix-update",
  "crash-query",
  "endpoint-limit",
  "permit-query",
  "permit-answer",
  "endpoint-full",
};

/// Returns the first byte of the first element of a MessagePack array; 0 if there is none.
std::uint8_t FirstElementByte(std::string_view aBytes)
{
  constexpr std::uint8_t kLongArray = 0xdc; // followed by its size in two bytes
  if (aBytes.empty()) {
    return 0;
  }
  const std::size_t offset = static_cast<std::uint8_t>(aBytes.front()) == kLongArray ? 3 : 1;
  return offset < aBytes.size() ? static_cast<std::uint8_t>(aBytes[offset]) : 0;
}

/// Whether a MessagePack element with this first byte is a text.
bool IsText(std::uint8_t aByte)
{
  const bool isShort = aByte >= 0xa0 && aByte <= 0xbf;
  const bool isLong = aByte >= 0xd9 && aByte <= 0xdb;
  return isShort || isLong;
}

} // namespace

std::optional<PeerMessageKind> FindPeerMessageKind(std::string_view aBytes)
{
  // MessagePack writes a small number as itself.
  const auto byte = FirstElementByte(aBytes);
  if (byte < kPeerMessageKinds) {
    return static_cast<PeerMessageKind>(byte);
  }
  return IsText(byte) ? std::optional(PeerMessageKind::Load) : std::nullopt;
}

PeerMessageKind PeerMessageKindOf(std::string_view aBytes)
{
  return FindPeerMessageKind(aBytes).value_or(PeerMessageKind::Load);
}

std::string_view ToString(PeerMessageKind aKind)
{
  return kKindNames.at(static_cast<std::size_t>(aKind));
}

PeerSocket::PeerSocket(net::Loop& aLoop, const Clock& aClock, Metrics& aMetrics)
  : mLoop(aLoop)
  , mClock(aClock)
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
  mEmptyAt = mClock.Now();
  net::Start(mLoop, "peer receiver", RunReceiver());
  net::Start(mLoop, "peer queue check", RunQueueCheck());
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
  const auto isAlive = mIsAlive;
  // Waits for a datagram only right after the queue was seen empty: one that the operation took out
  // of the queue at once would be handled a turn later, and NoteIfEmpty() would overlook it.
  bool isIdle = false;
  while (true) {
    if (isIdle) {
      co_await Receive();
    } else {
      co_await boost::asio::post(mLoop, boost::asio::use_awaitable);
    }
    if (!*isAlive) {
      co_return;
    }
    const auto until = mClock.Now() + kMaxTurn;
    const bool isQueueEmpty = ReceiveAvailable(until);
    isIdle = isQueueEmpty && mWaitingLoads.IsEmpty();
    HandleLoads(until);
  }
}

net::Task<void> PeerSocket::Receive()
{
  const auto isAlive = mIsAlive;
  Address sender;
  boost::system::error_code ec;
  const auto n = co_await mSocket.async_receive_from(
    boost::asio::buffer(mBuffer),
    sender,
    boost::asio::redirect_error(boost::asio::use_awaitable, ec));
  // An error is an ICMP message for an earlier datagram: a peer's port is closed.
  if (*isAlive && !ec) {
    Accept({ mBuffer.data(), n }, sender);
  }
}

bool PeerSocket::ReceiveAvailable(TimePoint aUntil)
{
  for (auto now = mClock.Now(); now < aUntil; now = mClock.Now()) {
    Address sender;
    boost::system::error_code ec;
    const auto n = mSocket.receive_from(boost::asio::buffer(mBuffer), sender, 0, ec);
    if (ec == boost::asio::error::would_block) {
      mEmptyAt = now;
      return true;
    }
    if (!ec) {
      Accept({ mBuffer.data(), n }, sender);
    }
  }
  return false;
}

void PeerSocket::Accept(std::string_view aBytes, const Address& aSender)
{
  mBytes.mReceived += aBytes.size();
  if (FindPeerMessageKind(aBytes) != PeerMessageKind::Load) {
    Handle(aBytes, aSender, mEmptyAt);
  } else if (!mWaitingLoads.Put(aSender, aBytes, mEmptyAt)) {
    mMetrics.CounterOf("gentianloom_peer_loads_replaced_total").Add();
  }
}

void PeerSocket::HandleLoads(TimePoint aUntil)
{
  do {
    const auto it = mWaitingLoads.Take();
    if (!it) {
      return;
    }
    Handle(it->mBytes, it->mSender, it->mArrivedAfter);
  } while (mClock.Now() < aUntil);
}

void PeerSocket::Handle(std::string_view aBytes, const Address& aSender, TimePoint aArrivedAfter)
{
  mArrivedAfter = aArrivedAfter;
  mLongestQueueTime = std::max(mLongestQueueTime, QueueTime());
  Dispatch(aBytes, aSender);
}

net::Task<void> PeerSocket::RunQueueCheck()
{
  auto& loop = mLoop;
  const auto isAlive = mIsAlive;
  while (*isAlive) {
    NoteIfEmpty();
    co_await net::Signal::Sleep(loop, kQueueCheckInterval);
  }
}

void PeerSocket::NoteIfEmpty()
{
  boost::system::error_code ec;
  const auto now = mClock.Now();
  if (mSocket.available(ec) == 0 && !ec) {
    mEmptyAt = now;
  }
}

void PeerSocket::Dispatch(std::string_view aBytes, const Address& aSender)
{
  const auto kind = FindPeerMessageKind(aBytes);
  const auto index = kind ? static_cast<std::size_t>(*kind) : mHandlers.size();
  if (index >= mHandlers.size() || !mHandlers[index]) {
    mMetrics.CounterOf("gentianloom_peer_messages_unknown_total").Add();
    OnMalformed(aBytes, aSender, "this version does not know the kind of the datagram");
    return;
  }
  try {
    mHandlers[index](aBytes, aSender);
  } catch (const std::exception& ex) {
    // The receiver must outlive any datagram: without it the instance is cut off from all peers.
    OnMalformed(aBytes, aSender, ex.what());
  }
}

void PeerSocket::OnMalformed(std::string_view aBytes,
                             const Address& aSender,
                             const std::string& aError)
{
  const auto kind = FindPeerMessageKind(aBytes);
  const auto byte = FirstElementByte(aBytes);
  const std::string name(kind ? ToString(*kind) : "unknown");
  mMetrics.CounterOf("gentianloom_peer_messages_malformed_total", "kind=\"" + name + "\"").Add();
  const auto sender = aSender.address().to_string() + ":" + std::to_string(aSender.port());
  // A load report states no number, and the texts that it begins with differ.
  const bool isFirst =
    mMalformedSenders.Add(sender, kind ? static_cast<std::uint8_t>(*kind) : byte);
  if (isFirst) {
    LogChange(LogLevel::Warning,
              "peers",
              "ignored a datagram that cannot be decoded; further ones of its sender and kind are "
              "only counted",
              { { "sender", sender },
                { "kind", kind ? name : "unknown, byte " + std::to_string(byte) },
                { "bytes", std::to_string(aBytes.size()) },
                { "error", aError } });
  }
}

} // namespace gentianloom
