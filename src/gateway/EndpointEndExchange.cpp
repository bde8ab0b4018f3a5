#include "gentianloom/gateway/EndpointEndExchange.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/gateway/Datagram.h"
#include "gentianloom/membership/Keepers.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace gentianloom {

std::string EncodeEndpointEnd(const EndpointEndMessage& aMessage)
{
  const auto json = nlohmann::json::array({ static_cast<int>(aMessage.mKind),
                                            aMessage.mId,
                                            aMessage.mAddress,
                                            aMessage.mEndedAgo.count() });
  return EncodeDatagram(json);
}

Result<EndpointEndMessage> DecodeEndpointEnd(std::string_view aBytes)
{
  return DecodeDatagram(aBytes, [&](const nlohmann::json& aArray) {
    EndpointEndMessage out;
    out.mKind = PeerMessageKindOf(aBytes);
    out.mId = ReadDatagramId(aArray, 1);
    out.mAddress = aArray.at(2).get<std::string>();
    out.mEndedAgo =
      Micros(ReadDatagramNumber(aArray, 3, Micros(EndpointEndExchange::kMemory).count()));
    return out;
  });
}

EndpointEndExchange::EndpointEndExchange(net::Loop& aLoop,
                                         PeerSocket& aSocket,
                                         std::string aSelf,
                                         std::function<std::vector<std::string>()> aPeers,
                                         const Clock& aClock,
                                         Metrics& aMetrics)
  : mLoop(aLoop)
  , mSocket(aSocket)
  , mSelf(std::move(aSelf))
  , mPeers(std::move(aPeers))
  , mClock(aClock)
  , mMetrics(aMetrics)
{
}

void EndpointEndExchange::Start()
{
  for (const auto it : { PeerMessageKind::EndpointEnded, PeerMessageKind::EndpointFirstEnd }) {
    mSocket.SetHandler(it, [this](std::string_view aBytes, const PeerSocket::Address& aSender) {
      OnDatagram(aBytes, aSender);
    });
  }
}

net::Task<TimePoint> EndpointEndExchange::FindFirstEnd(std::string aAddress, TimePoint aEndedAt)
{
  const auto ownFirstEnd = Note(aAddress, aEndedAt);
  auto instances = mPeers();
  instances.push_back(mSelf);
  auto keepers = ChooseKeepers(StableHash(aAddress), std::move(instances), kKeepers);
  std::erase(keepers, mSelf);

  const auto id = mNextId++;
  net::Signal signal(mLoop);
  mQueries[id] = { 0, ownFirstEnd, &signal };
  const auto now = mClock.Now();
  const auto endedAgo = std::chrono::duration_cast<Micros>(now - ownFirstEnd);
  const auto bytes = EncodeEndpointEnd({ PeerMessageKind::EndpointEnded, id, aAddress, endedAgo });
  for (const auto& it : keepers) {
    mSocket.Send(it, bytes);
  }
  const auto deadline = now + kQueryTimeout;
  while (mQueries[id].mResponses < keepers.size() && mClock.Now() < deadline) {
    co_await signal.WaitFor(deadline - mClock.Now());
  }
  const auto out = mQueries[id].mFirstEnd;
  mQueries.erase(id);
  co_return out;
}

TimePoint EndpointEndExchange::Note(const std::string& aAddress, TimePoint aEndedAt)
{
  const auto now = mClock.Now();
  if (mEnds.size() >= kMaxAddresses) {
    std::erase_if(mEnds, [&](const auto& it) { return now - it.second > kMemory; });
  }
  const auto known = mEnds.find(aAddress);
  if (known != mEnds.end() && now - known->second <= kMemory) {
    known->second = std::min(known->second, aEndedAt);
    return known->second;
  }
  if (mEnds.size() < kMaxAddresses) {
    mEnds[aAddress] = aEndedAt;
  }
  return aEndedAt;
}

void EndpointEndExchange::OnDatagram(std::string_view aBytes, const PeerSocket::Address& aSender)
{
  const auto message = DecodeEndpointEnd(aBytes);
  if (!message) {
    mMetrics.CounterOf("gentianloom_endpoint_ends_malformed_total").Add();
    mSocket.OnMalformed(aBytes, aSender, ToString(message.error()));
    return;
  }
  const auto& it = message.value();
  const auto now = mClock.Now();
  if (it.mKind == PeerMessageKind::EndpointEnded) {
    const auto firstEnd = Note(it.mAddress, now - it.mEndedAgo);
    const auto endedAgo = std::chrono::duration_cast<Micros>(now - firstEnd);
    mSocket.Send(aSender,
                 EncodeEndpointEnd({ PeerMessageKind::EndpointFirstEnd, it.mId, "", endedAgo }));
    return;
  }
  const auto query = mQueries.find(it.mId);
  if (query != mQueries.end()) {
    ++query->second.mResponses;
    query->second.mFirstEnd = std::min(query->second.mFirstEnd, now - it.mEndedAgo);
    query->second.mSignal->Notify();
  }
}

} // namespace gentianloom
