#include "gentianloom/gateway/PeerLoadExchange.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/net/HttpClient.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace gentianloom {

namespace {

using Udp = boost::asio::ip::udp;

/// Minimum time between two messages.
constexpr Millis kMinSendInterval{ 3 };
/// Bytes per second that an instance sends to all of its peers at most: 5 % of a link of 10 Mbit/s.
constexpr double kMaxBytesPerSecond = 62'500;
/// IP and UDP header of a datagram.
constexpr std::size_t kHeaderBytes = 28;
/// Resend interval while tokens are pending, since datagrams can be lost.
constexpr Millis kResendInterval{ 200 };
/// Maximum endpoints in one message; further endpoints are omitted.
constexpr std::size_t kMaxReportedEndpoints = 96;
/// Size of the receive buffer; a message with kMaxReportedEndpoints fits.
constexpr std::size_t kMaxDatagramBytes = 2'048;
/// Maximum peer incarnations whose last sequence number is stored.
constexpr std::size_t kMaxTrackedIncarnations = 4'096;

/// Returns the time for which nothing more is sent. A message to a large fleet takes so many bytes
/// that one message for each change would fill a slow link; a later message replaces those left
/// out.
Micros PauseAfterSending(std::size_t aBytes)
{
  const std::chrono::duration<double> needed(static_cast<double>(aBytes) / kMaxBytesPerSecond);
  return std::max<Micros>(kMinSendInterval, std::chrono::ceil<Micros>(needed));
}

} // namespace

std::string EncodePeerLoad(const PeerLoadMessage& aMessage)
{
  auto pending = nlohmann::json::array();
  for (const auto& it : aMessage.mPending) {
    pending.push_back(it.mEndpointHash);
    pending.push_back(it.mTokens);
  }
  const auto bytes =
    nlohmann::json::to_msgpack({ aMessage.mIncarnation, aMessage.mSequence, pending });
  return { bytes.begin(), bytes.end() };
}

Result<PeerLoadMessage> DecodePeerLoad(std::string_view aBytes)
{
  try {
    const auto json = nlohmann::json::from_msgpack(aBytes.begin(), aBytes.end());
    PeerLoadMessage out;
    out.mIncarnation = json.at(0).get<std::string>();
    out.mSequence = json.at(1).get<std::uint64_t>();
    const auto& pending = json.at(2);
    for (std::size_t n = 0; n + 1 < pending.size(); n += 2) {
      out.mPending.push_back(
        { pending.at(n).get<std::uint64_t>(), pending.at(n + 1).get<std::int64_t>() });
    }
    return out;
  } catch (const nlohmann::json::exception& ex) {
    return MakeError(ErrorCode::MalformedRequest, Step::RequestPlace, "peer", ex.what());
  }
}

void ApplyPeerLoad(const PeerLoadMessage& aMessage,
                   const EndpointRegistry& aEndpoints,
                   TimePoint aNow)
{
  std::map<std::uint64_t, std::int64_t> pending;
  for (const auto& it : aMessage.mPending) {
    pending[it.mEndpointHash] = it.mTokens;
  }
  for (const auto& [id, endpoint] : aEndpoints.All()) {
    const auto it = pending.find(endpoint->mHash);
    endpoint->mLoad.OnPeerPending(
      aMessage.mIncarnation, it == pending.end() ? 0 : it->second, aNow);
  }
}

PeerLoadExchange::PeerLoadExchange(net::Loop& aLoop,
                                   std::string aIncarnation,
                                   std::function<std::vector<std::string>()> aPeerAddresses,
                                   EndpointRegistry& aEndpoints,
                                   const Clock& aClock,
                                   Metrics& aMetrics)
  : mLoop(aLoop)
  , mIncarnation(std::move(aIncarnation))
  , mPeerAddresses(std::move(aPeerAddresses))
  , mEndpoints(aEndpoints)
  , mClock(aClock)
  , mMetrics(aMetrics)
  , mSocket(aLoop)
  , mSendSignal(aLoop)
{
}

Result<void> PeerLoadExchange::Start(std::string_view aAddress)
{
  const auto address = net::ParseSocketAddress(aAddress);
  if (!address) {
    return address.error();
  }
  const Udp::endpoint local(address.value().address(), address.value().port());
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
  net::Start(mLoop, "peer load sender", RunSender());
  net::Start(mLoop, "peer load receiver", RunReceiver());
  return success();
}

void PeerLoadExchange::NotifyChange()
{
  mHasUnsentChange = true;
  mSendSignal.Notify();
}

net::Task<void> PeerLoadExchange::RunSender()
{
  while (true) {
    co_await mSendSignal.WaitFor(kResendInterval);
    if (mHasUnsentChange || mHasReportedPending) {
      mHasUnsentChange = false;
      const auto bytes = SendToPeers();
      co_await net::Signal::Sleep(mLoop, PauseAfterSending(bytes));
    }
  }
}

std::size_t PeerLoadExchange::SendToPeers()
{
  std::size_t sentBytes = 0;
  PeerLoadMessage message{ mIncarnation, ++mSequence, {} };
  for (const auto& [id, it] : mEndpoints.All()) {
    const auto tokens = it->mLoad.PendingPrefillTokens();
    if (tokens > 0 && message.mPending.size() < kMaxReportedEndpoints) {
      message.mPending.push_back({ it->mHash, tokens });
    }
  }
  mHasReportedPending = !message.mPending.empty();
  const auto bytes = EncodePeerLoad(message);
  for (const auto& peer : mPeerAddresses()) {
    const auto address = net::ParseSocketAddress(peer);
    if (!address) {
      continue;
    }
    boost::system::error_code ec;
    mSocket.send_to(boost::asio::buffer(bytes),
                    Udp::endpoint(address.value().address(), address.value().port()),
                    0,
                    ec);
    // A failed send is not retried: the next message replaces this one.
    mMetrics.CounterOf("gentianloom_load_news_total", ec ? "sent=\"no\"" : "sent=\"yes\"").Add();
    mBytesSent += ec ? 0 : bytes.size();
    sentBytes += bytes.size() + kHeaderBytes;
  }
  return sentBytes;
}

net::Task<void> PeerLoadExchange::RunReceiver()
{
  std::array<char, kMaxDatagramBytes> buf; // NOLINT(cppcoreguidelines-pro-type-member-init)
  while (true) {
    Udp::endpoint sender;
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
    mBytesReceived += n;
    const auto message = DecodePeerLoad(std::string_view(buf.data(), n));
    if (!message) {
      mMetrics.CounterOf("gentianloom_load_news_malformed_total").Add();
      continue;
    }
    if (mLastSequences.size() > kMaxTrackedIncarnations) {
      mLastSequences.clear();
    }
    auto& lastSequence = mLastSequences[message.value().mIncarnation];
    if (message.value().mSequence <= lastSequence) {
      continue;
    }
    lastSequence = message.value().mSequence;
    ApplyPeerLoad(message.value(), mEndpoints, mClock.Now());
  }
}

} // namespace gentianloom
