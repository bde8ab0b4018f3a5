#include "gentianloom/gateway/PeerLoadExchange.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/gateway/Datagram.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace gentianloom {

namespace {

/// Minimum time between two messages.
constexpr Millis kMinSendInterval{ 3 };
/// Bytes per second that an instance sends to all of its peers at most: 5 % of a link of 10 Mbit/s.
constexpr double kMaxBytesPerSecond = 62'500;
/// Resend interval while tokens are pending, since datagrams can be lost.
constexpr Millis kResendInterval{ 200 };
/// Fewer pending tokens on an endpoint are not reported: engines read them in the time of a few
/// output tokens, so that they change no choice, and most prompts are as short.
constexpr std::int64_t kMinReportedTokens = 2'000;
/// Maximum endpoints in one message, so that it fits into PeerSocket::kMaxDatagramBytes; further
/// endpoints are omitted.
constexpr std::size_t kMaxReportedEndpoints = 96;
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
  return EncodeDatagram({ aMessage.mIncarnation, aMessage.mSequence, pending });
}

Result<PeerLoadMessage> DecodePeerLoad(std::string_view aBytes)
{
  return DecodeDatagram(aBytes, [&](const nlohmann::json& aArray) {
    PeerLoadMessage out;
    out.mIncarnation = aArray.at(0).get<std::string>();
    out.mSequence = ReadDatagramId(aArray, 1);
    const auto& pending = aArray.at(2);
    for (std::size_t n = 0; n + 1 < pending.size(); n += 2) {
      out.mPending.push_back({ ReadDatagramId(pending, n), ReadDatagramNumber(pending, n + 1) });
    }
    return out;
  });
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
                                   PeerSocket& aSocket,
                                   std::string aIncarnation,
                                   std::function<std::vector<std::string>()> aPeerAddresses,
                                   EndpointRegistry& aEndpoints,
                                   const EndpointContacts& aContacts,
                                   const Clock& aClock,
                                   Metrics& aMetrics)
  : mLoop(aLoop)
  , mSocket(aSocket)
  , mIncarnation(std::move(aIncarnation))
  , mPeerAddresses(std::move(aPeerAddresses))
  , mEndpoints(aEndpoints)
  , mContacts(aContacts)
  , mClock(aClock)
  , mMetrics(aMetrics)
  , mSendSignal(aLoop)
{
}

void PeerLoadExchange::Start()
{
  mSocket.SetHandler(PeerMessageKind::Load,
                     [this](std::string_view aBytes, const PeerSocket::Address& aSender) {
                       OnDatagram(aBytes, aSender);
                     });
  net::Start(mLoop, "peer load sender", RunSender());
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
    const auto contact = mContacts.find(it->mEntry.mService);
    const bool isLost = contact != mContacts.end() && contact->second.IsLost();
    const auto tokens = isLost ? 0 : it->mLoad.PendingPrefillTokens();
    if (tokens >= kMinReportedTokens && message.mPending.size() < kMaxReportedEndpoints) {
      message.mPending.push_back({ it->mHash, tokens });
    }
  }
  const bool hasNews = !message.mPending.empty() || mHasReportedPending;
  mHasReportedPending = !message.mPending.empty();
  if (!hasNews) {
    return 0;
  }
  const auto bytes = EncodePeerLoad(message);
  for (const auto& peer : mPeerAddresses()) {
    // A failed send is not retried: the next message replaces this one.
    const bool isSent = mSocket.Send(peer, bytes);
    mMetrics.CounterOf("gentianloom_load_news_total", isSent ? "sent=\"yes\"" : "sent=\"no\"")
      .Add();
    sentBytes += bytes.size() + PeerSocket::kHeaderBytes;
  }
  return sentBytes;
}

void PeerLoadExchange::OnDatagram(std::string_view aBytes, const PeerSocket::Address& aSender)
{
  const auto message = DecodePeerLoad(aBytes);
  if (!message) {
    mMetrics.CounterOf("gentianloom_load_news_malformed_total").Add();
    mSocket.OnMalformed(aBytes, aSender, ToString(message.error()));
    return;
  }
  if (mLastSequences.size() > kMaxTrackedIncarnations) {
    mLastSequences.clear();
  }
  auto& lastSequence = mLastSequences[message.value().mIncarnation];
  if (message.value().mSequence <= lastSequence) {
    return;
  }
  lastSequence = message.value().mSequence;
  ApplyPeerLoad(message.value(), mEndpoints, mClock.Now());
}

} // namespace gentianloom
