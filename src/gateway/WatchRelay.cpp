#include "gentianloom/gateway/WatchRelay.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/gateway/Datagram.h"
#include "gentianloom/membership/Keepers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace gentianloom {

namespace {

/// The subject of which the watchers are the keepers.
constexpr std::string_view kSubject = "watch";
/// Time for which the list of the zone's instances is used.
constexpr Millis kPeersLifetime{ 500 };
/// Bytes of a datagram that are not events.
constexpr std::size_t kEnvelopeBytes = 160;
/// Bytes of an event beside its key and value.
constexpr std::size_t kEventOverhead = 33;
constexpr std::size_t kMaxEventBytes = PeerSocket::kMaxDatagramBytes - kEnvelopeBytes;
constexpr std::int64_t kMaxRevision = std::numeric_limits<std::int64_t>::max();
constexpr Millis kMaxAge{ 60'000 };

std::size_t SizeOf(const WatchEvent& aEvent)
{
  return aEvent.mEntry.mKey.size() + aEvent.mEntry.mValue.size() + kEventOverhead;
}

/// Reads the leases of an update's events, which builds before this element do not send. Others
/// than one number for each event are ignored.
void ReadLeases(const nlohmann::json& aArray, std::size_t aIndex, PrefixUpdate& aUpdate)
{
  if (aArray.size() <= aIndex) {
    return;
  }
  const auto& leases = aArray.at(aIndex);
  if (!leases.is_array() || leases.size() != aUpdate.mEvents.size()) {
    return;
  }
  for (std::size_t n = 0; n < leases.size(); ++n) {
    const auto& it = leases.at(n);
    aUpdate.mEvents[n].mEntry.mLease = it.is_number_integer() ? it.get<LeaseId>() : 0;
  }
}

} // namespace

std::string EncodePrefixUpdate(const PrefixUpdate& aUpdate)
{
  auto leases = nlohmann::json::array();
  bool hasLeases = false;
  auto events = nlohmann::json::array();
  for (const auto& it : aUpdate.mEvents) {
    events.push_back(it.mEntry.mKey);
    events.push_back(nlohmann::json::binary({ it.mEntry.mValue.begin(), it.mEntry.mValue.end() }));
    events.push_back(it.mEntry.mModRevision);
    events.push_back(it.mIsDeleted);
    leases.push_back(it.mEntry.mLease);
    hasLeases = hasLeases || it.mEntry.mLease != 0;
  }
  auto json = nlohmann::json::array({ static_cast<int>(PeerMessageKind::PrefixUpdate),
                                      aUpdate.mPrefix,
                                      aUpdate.mEra,
                                      aUpdate.mAfter,
                                      aUpdate.mRevision,
                                      aUpdate.mAge.count(),
                                      aUpdate.mIsAfterOutage,
                                      std::move(events) });
  if (hasLeases) {
    json.push_back(std::move(leases));
  }
  return EncodeDatagram(json);
}

Result<PrefixUpdate> DecodePrefixUpdate(std::string_view aBytes)
{
  constexpr std::size_t kFieldsOfEvent = 4;
  constexpr std::size_t kLeasesElement = 8;
  return DecodeDatagram(aBytes, [&](const nlohmann::json& aArray) {
    PrefixUpdate out;
    out.mPrefix = aArray.at(1).get<std::string>();
    out.mEra = ReadDatagramNumber(aArray, 2, kMaxRevision);
    out.mAfter = ReadDatagramNumber(aArray, 3, kMaxRevision);
    out.mRevision = ReadDatagramNumber(aArray, 4, kMaxRevision);
    out.mAge = Millis(ReadDatagramNumber(aArray, 5, kMaxAge.count()));
    out.mIsAfterOutage = aArray.at(6).get<bool>();
    const auto& events = aArray.at(7);
    for (std::size_t n = 0; n < events.size(); n += kFieldsOfEvent) {
      WatchEvent event;
      event.mEntry.mKey = events.at(n).get<std::string>();
      const auto& value = events.at(n + 1).get_binary();
      event.mEntry.mValue.assign(value.begin(), value.end());
      event.mEntry.mModRevision = ReadDatagramNumber(events, n + 2, kMaxRevision);
      event.mIsDeleted = events.at(n + 3).get<bool>();
      out.mEvents.push_back(std::move(event));
    }
    ReadLeases(aArray, kLeasesElement, out);
    return out;
  });
}

std::vector<PrefixUpdate> SplitPrefixUpdate(const PrefixUpdate& aUpdate)
{
  const auto makePart = [&aUpdate](Revision aAfter) {
    auto out = aUpdate;
    out.mEvents.clear();
    out.mAfter = aAfter;
    return out;
  };
  std::vector<PrefixUpdate> out = { makePart(aUpdate.mAfter) };
  std::size_t bytes = 0;
  for (const auto& it : aUpdate.mEvents) {
    const auto size = SizeOf(it);
    const bool isFull = bytes + size > kMaxEventBytes && !out.back().mEvents.empty();
    if (size > kMaxEventBytes || (isFull && out.size() == WatchRelay::kMaxDatagrams)) {
      return { makePart(aUpdate.mRevision) };
    }
    if (isFull) {
      // Changes of one transaction have the same revision: they end this part only if the next one
      // is of a later revision, which the key-value service's order guarantees for single writes.
      out.back().mRevision = out.back().mEvents.back().mEntry.mModRevision;
      if (it.mEntry.mModRevision <= out.back().mRevision) {
        return { makePart(aUpdate.mRevision) };
      }
      out.push_back(makePart(out.back().mRevision));
      bytes = 0;
    }
    out.back().mEvents.push_back(it);
    bytes += size;
  }
  return out;
}

WatchRelay::WatchRelay(PeerSocket& aSocket,
                       std::string aSelf,
                       std::function<std::vector<std::string>()> aZonePeers,
                       const Clock& aClock,
                       Metrics& aMetrics)
  : mSocket(aSocket)
  , mSelf(std::move(aSelf))
  , mZonePeers(std::move(aZonePeers))
  , mClock(aClock)
  , mMetrics(aMetrics)
{
}

void WatchRelay::Start()
{
  mSocket.SetHandler(PeerMessageKind::PrefixUpdate,
                     [this](std::string_view aBytes, const PeerSocket::Address& aSender) {
                       OnDatagram(aBytes, aSender);
                     });
}

void WatchRelay::Subscribe(const std::string& aPrefix, Handler aHandler)
{
  mHandlers[aPrefix] = std::move(aHandler);
}

bool WatchRelay::IsWatcher()
{
  RefreshPeers();
  return mIsWatcher;
}

bool WatchRelay::HasFollowers()
{
  RefreshPeers();
  return mIsWatcher && mPeers.size() >= kWatchers;
}

void WatchRelay::RefreshPeers()
{
  const auto now = mClock.Now();
  if (mPeersReadAt != TimePoint{} && now - mPeersReadAt < kPeersLifetime) {
    return;
  }
  mPeersReadAt = now;
  mPeers = mZonePeers();
  auto instances = mPeers;
  instances.push_back(mSelf);
  const auto watchers = ChooseKeepers(StableHash(kSubject), std::move(instances), kWatchers);
  mIsWatcher = std::find(watchers.begin(), watchers.end(), mSelf) != watchers.end();
}

void WatchRelay::Publish(const PrefixUpdate& aUpdate)
{
  if (!HasFollowers()) {
    return;
  }
  for (const auto& part : SplitPrefixUpdate(aUpdate)) {
    const auto bytes = EncodePrefixUpdate(part);
    for (const auto& it : mPeers) {
      mSocket.Send(it, bytes);
    }
  }
}

void WatchRelay::OnDatagram(std::string_view aBytes, const PeerSocket::Address& aSender)
{
  auto update = DecodePrefixUpdate(aBytes);
  if (!update) {
    mMetrics.CounterOf("gentianloom_prefix_updates_total", "outcome=\"malformed\"").Add();
    mSocket.OnMalformed(aBytes, aSender, ToString(update.error()));
    return;
  }
  RefreshPeers();
  const auto sender = aSender.address().to_string() + ":" + std::to_string(aSender.port());
  const bool isPeer = std::find(mPeers.begin(), mPeers.end(), sender) != mPeers.end();
  const auto handler = mHandlers.find(update.value().mPrefix);
  if (!isPeer || handler == mHandlers.end()) {
    mMetrics.CounterOf("gentianloom_prefix_updates_total", "outcome=\"unknown sender\"").Add();
    return;
  }
  mMetrics.CounterOf("gentianloom_prefix_updates_total", "outcome=\"received\"").Add();
  update.value().mSender = sender;
  // The sender cannot know how long the update waited here.
  update.value().mAge += std::chrono::ceil<Millis>(mSocket.QueueTime());
  handler->second(update.value());
}

} // namespace gentianloom
