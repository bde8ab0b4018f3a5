#include "gentianloom/gateway/LoadNews.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/net/HttpClient.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <array>

namespace gentianloom {

namespace {

using Udp = boost::asio::ip::udp;

/// Shortest time between two messages.
constexpr Millis kLeastGap{ 3 };
/// What is pending is told again so often, since datagrams get lost.
constexpr Millis kRepeat{ 200 };
/// Largest message; with more pending than fits, the rest is left out.
constexpr std::size_t kMostEndpoints = 96;
constexpr std::size_t kMostBytes = 2'048;
/// Incarnations of peers that are remembered.
constexpr std::size_t kMostPeers = 4'096;

} // namespace

std::string Encode(const LoadMessage& aMessage)
{
  auto pending = nlohmann::json::array();
  for (const auto& it : aMessage.mPending) {
    pending.push_back(it.mEndpoint);
    pending.push_back(it.mTokens);
  }
  const auto bytes =
    nlohmann::json::to_msgpack({ aMessage.mIncarnation, aMessage.mNumber, pending });
  return { bytes.begin(), bytes.end() };
}

Result<LoadMessage> DecodeLoadMessage(std::string_view aBytes)
{
  try {
    const auto json = nlohmann::json::from_msgpack(aBytes.begin(), aBytes.end());
    LoadMessage out;
    out.mIncarnation = json.at(0).get<std::string>();
    out.mNumber = json.at(1).get<std::uint64_t>();
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

void Apply(const LoadMessage& aMessage, const EndpointRegistry& aEndpoints, TimePoint aNow)
{
  std::map<std::uint64_t, std::int64_t> pending;
  for (const auto& it : aMessage.mPending) {
    pending[it.mEndpoint] = it.mTokens;
  }
  for (const auto& [id, endpoint] : aEndpoints.All()) {
    const auto it = pending.find(endpoint->mHash);
    endpoint->mLoad.OnPeerPending(
      aMessage.mIncarnation, it == pending.end() ? 0 : it->second, aNow);
  }
}

LoadNews::LoadNews(net::Loop& aLoop,
                   std::string aIncarnation,
                   std::function<std::vector<std::string>()> aPeers,
                   EndpointRegistry& aEndpoints,
                   const Clock& aClock,
                   Metrics& aMetrics)
  : mLoop(aLoop)
  , mIncarnation(std::move(aIncarnation))
  , mPeers(std::move(aPeers))
  , mEndpoints(aEndpoints)
  , mClock(aClock)
  , mMetrics(aMetrics)
  , mSocket(aLoop)
  , mWork(aLoop)
{
}

Result<void> LoadNews::Start(std::string_view aAddress)
{
  const auto address = net::ParseEndpoint(aAddress);
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
                     "cannot receive on " + std::string(aAddress) + ": " + ec.message());
  }
  mSocket.non_blocking(true, ec);
  net::Start(mLoop, "load news out", RunSends());
  net::Start(mLoop, "load news in", RunReceives());
  return success();
}

void LoadNews::OnChange()
{
  mHasChanged = true;
  mWork.Notify();
}

net::Task<void> LoadNews::RunSends()
{
  while (true) {
    co_await mWork.WaitFor(kRepeat);
    if (mHasChanged || mWasPending) {
      mHasChanged = false;
      SendAll();
      co_await net::Signal::Sleep(mLoop, kLeastGap);
    }
  }
}

void LoadNews::SendAll()
{
  LoadMessage message{ mIncarnation, ++mNumber, {} };
  for (const auto& [id, it] : mEndpoints.All()) {
    const auto tokens = it->mLoad.PendingPrefillTokens();
    if (tokens > 0 && message.mPending.size() < kMostEndpoints) {
      message.mPending.push_back({ it->mHash, tokens });
    }
  }
  mWasPending = !message.mPending.empty();
  const auto bytes = Encode(message);
  for (const auto& peer : mPeers()) {
    const auto address = net::ParseEndpoint(peer);
    if (!address) {
      continue;
    }
    boost::system::error_code ec;
    mSocket.send_to(boost::asio::buffer(bytes),
                    Udp::endpoint(address.value().address(), address.value().port()),
                    0,
                    ec);
    // A datagram that cannot be sent now is replaced by the next one.
    mMetrics.CounterOf("gentianloom_load_news_total", ec ? "sent=\"no\"" : "sent=\"yes\"").Add();
  }
}

net::Task<void> LoadNews::RunReceives()
{
  std::array<char, kMostBytes> buf; // NOLINT(cppcoreguidelines-pro-type-member-init)
  while (true) {
    Udp::endpoint from;
    boost::system::error_code ec;
    const auto n = co_await mSocket.async_receive_from(
      boost::asio::buffer(buf), from, boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    if (ec == boost::asio::error::operation_aborted) {
      co_return;
    }
    if (ec) {
      continue; // an earlier datagram met a closed port
    }
    const auto message = DecodeLoadMessage(std::string_view(buf.data(), n));
    if (!message) {
      mMetrics.CounterOf("gentianloom_load_news_malformed_total").Add();
      continue;
    }
    if (mSeen.size() > kMostPeers) {
      mSeen.clear();
    }
    auto& seen = mSeen[message.value().mIncarnation];
    if (message.value().mNumber <= seen) {
      continue;
    }
    seen = message.value().mNumber;
    Apply(message.value(), mEndpoints, mClock.Now());
  }
}

} // namespace gentianloom
