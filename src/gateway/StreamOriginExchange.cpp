#include "gentianloom/gateway/StreamOriginExchange.h"

#include "gentianloom/gateway/Datagram.h"
#include <nlohmann/json.hpp>

#include <algorithm>

namespace gentianloom {

namespace {

/// Interval at which a query is sent again, since datagrams can be lost.
constexpr Millis kResendInterval{ 25 };

} // namespace

std::string EncodeStreamOrigin(const StreamOriginMessage& aMessage)
{
  auto json = nlohmann::json::array({ static_cast<int>(aMessage.mKind), aMessage.mStream });
  if (aMessage.mKind == PeerMessageKind::StreamOrigin) {
    json.push_back(aMessage.mOrigin.mService);
    json.push_back(aMessage.mOrigin.mSoftwareVersion);
  }
  return EncodeDatagram(json);
}

Result<StreamOriginMessage> DecodeStreamOrigin(std::string_view aBytes)
{
  return DecodeDatagram(aBytes, [&](const nlohmann::json& aArray) {
    StreamOriginMessage out;
    out.mKind = PeerMessageKindOf(aBytes);
    out.mStream = ReadDatagramId(aArray, 1);
    if (out.mKind == PeerMessageKind::StreamOrigin) {
      out.mOrigin = { aArray.at(2).get<std::string>(), aArray.at(3).get<std::string>() };
    }
    return out;
  });
}

StreamOriginExchange::StreamOriginExchange(net::Loop& aLoop,
                                           PeerSocket& aSocket,
                                           std::function<std::vector<std::string>()> aPeerAddresses,
                                           const Clock& aClock,
                                           Metrics& aMetrics)
  : mLoop(aLoop)
  , mSocket(aSocket)
  , mPeerAddresses(std::move(aPeerAddresses))
  , mClock(aClock)
  , mMetrics(aMetrics)
{
}

void StreamOriginExchange::Start()
{
  for (const auto it : { PeerMessageKind::StreamOrigin,
                         PeerMessageKind::StreamOriginQuery,
                         PeerMessageKind::StreamOriginUnknown }) {
    mSocket.SetHandler(it, [this](std::string_view aBytes, const PeerSocket::Address& aSender) {
      OnDatagram(aBytes, aSender);
    });
  }
}

void StreamOriginExchange::Record(StreamKey aStream, const StreamOrigin& aOrigin)
{
  mTable.Put(aStream, aOrigin, mClock.Now());
  SendToKeepers({ PeerMessageKind::StreamOrigin, aStream, aOrigin });
}

std::vector<std::string> StreamOriginExchange::KeepersOf(StreamKey aStream) const
{
  return ChooseKeepers(aStream, mPeerAddresses(), kKeepers);
}

void StreamOriginExchange::SendToKeepers(const StreamOriginMessage& aMessage)
{
  const auto bytes = EncodeStreamOrigin(aMessage);
  for (const auto& it : KeepersOf(aMessage.mStream)) {
    mSocket.Send(it, bytes);
  }
}

net::Task<std::optional<StreamOrigin>> StreamOriginExchange::Find(StreamKey aStream)
{
  auto out = mTable.Find(aStream, mClock.Now());
  const bool isKnownHere = out.has_value();
  if (!isKnownHere) {
    out = co_await AskKeepers(aStream);
  }
  const std::string_view source = isKnownHere ? "here" : (out ? "peer" : "none");
  mMetrics.CounterOf("gentianloom_stream_origins_total", "known=\"" + std::string(source) + "\"")
    .Add();
  co_return out;
}

net::Task<std::optional<StreamOrigin>> StreamOriginExchange::AskKeepers(StreamKey aStream)
{
  const auto deadline = mClock.Now() + kQueryTimeout;
  const auto keepers = KeepersOf(aStream);
  const StreamOriginMessage message{ PeerMessageKind::StreamOriginQuery, aStream };
  const auto query = mQueries.insert(mQueries.end(), Query{ aStream, net::Signal(mLoop) });
  std::optional<StreamOrigin> out;
  auto sendAt = mClock.Now();
  while (!out && mClock.Now() < deadline && query->mUnknownTo.size() < keepers.size()) {
    if (mClock.Now() >= sendAt) {
      SendToKeepers(message);
      sendAt = mClock.Now() + kResendInterval;
    }
    const auto wait = std::min(sendAt, deadline) - mClock.Now();
    co_await query->mSignal.WaitFor(wait);
    out = mTable.Find(aStream, mClock.Now());
  }
  mQueries.erase(query);
  co_return out;
}

void StreamOriginExchange::OnDatagram(std::string_view aBytes, const PeerSocket::Address& aSender)
{
  const auto message = DecodeStreamOrigin(aBytes);
  if (!message) {
    mMetrics.CounterOf("gentianloom_stream_origins_malformed_total").Add();
    mSocket.OnMalformed(aBytes, aSender, ToString(message.error()));
    return;
  }
  const auto& it = message.value();
  if (it.mKind == PeerMessageKind::StreamOriginQuery) {
    Respond(it.mStream, aSender);
    return;
  }
  if (it.mKind == PeerMessageKind::StreamOrigin) {
    mTable.Put(it.mStream, it.mOrigin, mClock.Now());
  }
  for (auto& query : mQueries) {
    if (query.mStream != it.mStream) {
      continue;
    }
    if (it.mKind == PeerMessageKind::StreamOriginUnknown) {
      query.mUnknownTo.insert(aSender);
    }
    query.mSignal.Notify();
  }
}

void StreamOriginExchange::Respond(StreamKey aStream, const PeerSocket::Address& aSender)
{
  const auto origin = mTable.Find(aStream, mClock.Now());
  StreamOriginMessage message{ PeerMessageKind::StreamOriginUnknown, aStream };
  if (origin) {
    message = { PeerMessageKind::StreamOrigin, aStream, *origin };
  }
  mSocket.Send(aSender, EncodeStreamOrigin(message));
}

} // namespace gentianloom
