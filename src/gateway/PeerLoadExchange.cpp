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
/// Interval of messages that hold nothing but heard loads. The load of an engine changes with the
/// time that requests take, which is longer.
constexpr Millis kHeardInterval{ 500 };
/// Maximum heard loads in one message; further ones are dropped.
constexpr std::size_t kMaxHeardLoads = 32;
/// Bounds of the figures of a heard load.
constexpr std::int64_t kMaxHeardRequests = std::int64_t{ 1 } << 40;
constexpr std::int64_t kMaxHeardPacePercent = 1'000;
/// Older heard loads are ignored.
constexpr Millis kMaxHeardAge{ 60'000 };
/// Numbers of one heard load in a message.
constexpr std::size_t kHeardNumbers = 4;
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

nlohmann::json EncodeHeard(const std::vector<HeardLoad>& aHeard)
{
  auto out = nlohmann::json::array();
  for (const auto& it : aHeard) {
    out.push_back(it.mEndpointHash);
    out.push_back(it.mRequests);
    out.push_back(it.mPacePercent);
    out.push_back(it.mAge.count());
  }
  return out;
}

/// Decodes as many heard loads as are valid. A later version may write others, and the pending load
/// of the message still counts.
std::vector<HeardLoad> DecodeHeard(const nlohmann::json& aNumbers)
{
  std::vector<HeardLoad> out;
  try {
    for (std::size_t n = 0; n + kHeardNumbers <= aNumbers.size(); n += kHeardNumbers) {
      out.push_back({ aNumbers.at(n).get<std::uint64_t>(),
                      ReadDatagramNumber(aNumbers, n + 1, kMaxHeardRequests),
                      ReadDatagramNumber(aNumbers, n + 2, kMaxHeardPacePercent),
                      Millis(ReadDatagramNumber(aNumbers, n + 3, kMaxHeardAge.count())) });
    }
  } catch (const nlohmann::json::exception&) {
    return out;
  }
  return out;
}

void ApplyHeard(const std::vector<HeardLoad>& aHeard,
                const EndpointRegistry& aEndpoints,
                TimePoint aNow)
{
  if (aHeard.empty()) {
    return;
  }
  std::map<std::uint64_t, DatedLoad> heard;
  for (const auto& it : aHeard) {
    const auto pace = it.mPacePercent > 0 ? std::optional(it.mPacePercent) : std::nullopt;
    heard[it.mEndpointHash] = { it.mRequests, pace, aNow - it.mAge };
  }
  for (const auto& [id, endpoint] : aEndpoints.All()) {
    if (const auto it = heard.find(endpoint->mHash); it != heard.end()) {
      endpoint->mLoad.OnPeerReportedLoad(it->second);
    }
  }
}

} // namespace

std::string EncodePeerLoad(const PeerLoadMessage& aMessage)
{
  auto pending = nlohmann::json::array();
  for (const auto& it : aMessage.mPending) {
    pending.push_back(it.mEndpointHash);
    pending.push_back(it.mTokens);
  }
  if (aMessage.mHeard.empty()) {
    return EncodeDatagram({ aMessage.mIncarnation, aMessage.mSequence, pending });
  }
  return EncodeDatagram(
    { aMessage.mIncarnation, aMessage.mSequence, pending, EncodeHeard(aMessage.mHeard) });
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
    if (aArray.size() > 3) {
      out.mHeard = DecodeHeard(aArray.at(3));
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
  ApplyHeard(aMessage.mHeard, aEndpoints, aNow);
}

PeerLoadExchange::PeerLoadExchange(net::Loop& aLoop,
                                   PeerSocket& aSocket,
                                   std::string aIncarnation,
                                   std::function<std::vector<std::string>()> aPeerAddresses,
                                   EndpointRegistry& aEndpoints,
                                   const EndpointContacts& aContacts,
                                   const Clock& aClock,
                                   Metrics& aMetrics,
                                   const EvenLoadSwitch* aEvenLoad)
  : mLoop(aLoop)
  , mSocket(aSocket)
  , mIncarnation(std::move(aIncarnation))
  , mPeerAddresses(std::move(aPeerAddresses))
  , mEndpoints(aEndpoints)
  , mContacts(aContacts)
  , mClock(aClock)
  , mMetrics(aMetrics)
  , mEvenLoad(aEvenLoad)
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
    const bool isHeardDue = mEvenLoad != nullptr && mClock.Now() - mLastSentAt >= kHeardInterval;
    if (mHasUnsentChange || mHasReportedPending || isHeardDue) {
      mHasUnsentChange = false;
      const auto bytes = SendToPeers();
      co_await net::Signal::Sleep(mLoop, PauseAfterSending(bytes));
    }
  }
}

std::vector<HeardLoad> PeerLoadExchange::TakeHeard()
{
  std::vector<HeardLoad> out;
  if (mEvenLoad == nullptr) {
    return out;
  }
  for (const auto& [id, it] : mEndpoints.All()) {
    const auto report = it->mLoad.TakeReport();
    if (!report || !mEvenLoad->IsOn(it->mEntry.mService) || out.size() >= kMaxHeardLoads) {
      continue;
    }
    const auto age = std::chrono::duration_cast<Millis>(mClock.Now() - report->mAsOf);
    out.push_back({ it->mHash,
                    report->mRequests,
                    report->mPacePercent.value_or(0),
                    std::min(age, kMaxHeardAge) });
  }
  return out;
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
  message.mHeard = TakeHeard();
  const bool hasNews = !message.mPending.empty() || !message.mHeard.empty() || mHasReportedPending;
  mHasReportedPending = !message.mPending.empty();
  if (!hasNews) {
    return 0;
  }
  mLastSentAt = mClock.Now();
  mMetrics.CounterOf("gentianloom_heard_loads_total").Add(message.mHeard.size());
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
  ApplyPeerLoad(message.value(), mEndpoints, mClock.Now() - mSocket.QueueTime());
}

} // namespace gentianloom
