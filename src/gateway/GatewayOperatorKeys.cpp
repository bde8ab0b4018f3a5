#include "gentianloom/base/Log.h"
#include "gentianloom/gateway/Gateway.h"

#include <algorithm>
#include <iterator>

namespace gentianloom {

namespace {

/// Bytes of a malformed key that are logged.
constexpr std::size_t kMaxLoggedKeyBytes = 256;

/// Elements of a sorted list that another one lacks.
std::vector<std::string> ListMissing(const std::vector<std::string>& aAll,
                                     const std::vector<std::string>& aOther)
{
  std::vector<std::string> out;
  std::set_difference(
    aAll.begin(), aAll.end(), aOther.begin(), aOther.end(), std::back_inserter(out));
  return out;
}

} // namespace

PrefixWatchHandlers Gateway::MakeOperatorHandlers()
{
  PrefixWatchHandlers out;
  out.mOnSnapshot = [this](const std::vector<KeyValue>& aEntries, StoreAvailability aAvailability) {
    ReadOperatorKeys(aEntries, aAvailability);
  };
  out.mOnEvents = [this](const std::vector<WatchEvent>& aEvents, StoreAvailability) {
    for (const auto& it : aEvents) {
      UpdateOperatorKey(it);
    }
  };
  return out;
}

void Gateway::ReadOperatorKeys(const std::vector<KeyValue>& aEntries,
                               StoreAvailability aAvailability)
{
  std::vector<std::string> zones;
  for (const auto& it : aEntries) {
    auto zone = DecodeEvacuatedZone(it.mKey);
    if (zone) {
      zones.push_back(std::move(*zone));
    }
  }
  const bool isRestored = aAvailability == StoreAvailability::RestoredFromCopy;
  ChangeEvacuatedZones([&](EvacuatedZones& it) {
    for (const auto& zone : it.OnSnapshot(zones, isRestored, mClock.Now())) {
      LogChange(LogLevel::Warning,
                "evacuation",
                "the key-value service has lost the key of an evacuated zone; the zone stays "
                "evacuated until its grace period ends",
                { { "zone", zone },
                  { "grace_ms", std::to_string(EvacuatedZones::kRewriteGracePeriod.count()) } });
    }
  });
  // After the zones, so that an instance that starts is not ready before it knows them.
  for (const auto& it : aEntries) {
    if (it.mKey == mProtocol.ConfigurationKey()) {
      ApplyConfiguration(it);
    }
  }
}

void Gateway::UpdateOperatorKey(const WatchEvent& aEvent)
{
  const auto& key = aEvent.mEntry.mKey;
  if (key == mProtocol.ConfigurationKey()) {
    if (!aEvent.mIsDeleted) {
      ApplyConfiguration(aEvent.mEntry);
    }
    return;
  }
  const auto zone = DecodeEvacuatedZone(key);
  if (!zone) {
    return;
  }
  ChangeEvacuatedZones([&](EvacuatedZones& it) {
    if (aEvent.mIsDeleted) {
      it.Remove(*zone);
    } else {
      it.Put(*zone);
    }
  });
}

std::optional<std::string> Gateway::DecodeEvacuatedZone(std::string_view aKey) const
{
  auto zone = mProtocol.DecodeEvacuatedZone(aKey);
  if (!zone) {
    LogChange(LogLevel::Warning,
              "evacuation",
              "ignored a malformed key of an operator",
              { { "key", std::string(aKey.substr(0, kMaxLoggedKeyBytes)) },
                { "error", ToString(zone.error()) } });
    return std::nullopt;
  }
  return std::move(zone.value());
}

void Gateway::ChangeEvacuatedZones(const std::function<void(EvacuatedZones&)>& aChange)
{
  auto& zones = mRelay.mEndpoints.Evacuated();
  const auto before = zones.Names();
  aChange(zones);
  const auto after = zones.Names();
  for (const auto& it : ListMissing(after, before)) {
    LogChange(LogLevel::Warning,
              "evacuation",
              "a zone is evacuated; its endpoints get no requests",
              { { "zone", it } });
  }
  for (const auto& it : ListMissing(before, after)) {
    LogChange(LogLevel::Info,
              "evacuation",
              "a zone is no longer evacuated; its endpoints are used again",
              { { "zone", it } });
  }
  mMetrics.GaugeOf("gentianloom_evacuated_zones").Set(static_cast<std::int64_t>(after.size()));
}

} // namespace gentianloom
