#include "gentianloom/base/Log.h"
#include "gentianloom/gateway/Gateway.h"

namespace gentianloom {

namespace {

/// Endpoints whose invalid entry is remembered, so that it is logged once.
constexpr std::size_t kMaxInvalidEntries = 1'024;

/// Parses an instance record, or logs why it cannot be parsed.
Result<InstanceRecord> ReadInstance(const KeyValue& aEntry)
{
  auto out = ParseInstanceEntry(aEntry);
  if (!out) {
    LogChange(LogLevel::Warning,
              "instances",
              "ignored an invalid instance record",
              { { "key", aEntry.mKey }, { "error", ToString(out.error()) } });
  }
  return out;
}

} // namespace

PrefixWatchHandlers Gateway::MakeEndpointHandlers()
{
  PrefixWatchHandlers out;
  out.mOnSnapshot = [this](const std::vector<KeyValue>& aEntries, StoreAvailability aAvailability) {
    std::vector<EndpointEntry> records;
    const auto prefix = mProtocol.EndpointPrefix().size();
    for (const auto& it : aEntries) {
      const auto id = it.mKey.substr(prefix);
      auto entry = DecodeEndpoint(it);
      const auto known = mRelay.mEndpoints.Find(id);
      if (entry) {
        records.push_back(std::move(entry.value()));
      } else if (known) {
        records.push_back(known->mEntry);
      }
    }
    LogChange(LogLevel::Info,
              "endpoints",
              "read the list of endpoints",
              { { "entries", std::to_string(aEntries.size()) },
                { "usable", std::to_string(records.size()) } });
    const bool mayBeLeaseExpiry = aAvailability != StoreAvailability::Available;
    if (aAvailability == StoreAvailability::RestoredFromCopy) {
      mRelay.mEndpoints.DropOutdated(records);
    }
    mRelay.mEndpoints.Replace(std::move(records), mayBeLeaseExpiry, mClock.Now());
    ObserveSoftwareVersions();
  };
  out.mOnEvents = [this](const std::vector<WatchEvent>& aEvents, StoreAvailability aAvailability) {
    for (const auto& it : aEvents) {
      if (!it.mIsDeleted) {
        UpdateEndpoint(it.mEntry);
        continue;
      }
      const auto id = it.mEntry.mKey.substr(mProtocol.EndpointPrefix().size());
      LogChange(LogLevel::Info,
                "endpoints",
                "the entry of an endpoint was deleted",
                { { "endpoint", id } });
      mRelay.mEndpoints.Remove(
        id, aAvailability == StoreAvailability::RecentlyUnavailable, mClock.Now());
    }
  };
  return out;
}

PrefixWatchHandlers Gateway::MakeInstanceHandlers()
{
  PrefixWatchHandlers out;
  out.mOnSnapshot = [this](const std::vector<KeyValue>& aEntries, StoreAvailability aAvailability) {
    std::vector<InstanceRecord> records;
    std::vector<KeyValue> blockedRequests;
    for (const auto& it : aEntries) {
      if (it.mKey.starts_with(kBlockedRequestPrefix)) {
        blockedRequests.push_back(it);
        continue;
      }
      auto record = ReadInstance(it);
      const auto* const known = mInstances.Find(it.mKey.substr(kInstancePrefix.size()));
      if (record) {
        records.push_back(std::move(record.value()));
      } else if (known != nullptr) {
        records.push_back(*known);
      }
    }
    const bool mayBeLeaseExpiry = aAvailability != StoreAvailability::Available;
    mInstances.Replace(std::move(records), mayBeLeaseExpiry, mClock.Now());
    mCrashReports.Blocked().OnRecords(blockedRequests);
  };
  out.mOnEvents = [this](const std::vector<WatchEvent>& aEvents, StoreAvailability aAvailability) {
    for (const auto& it : aEvents) {
      if (it.mEntry.mKey.starts_with(kBlockedRequestPrefix)) {
        it.mIsDeleted ? mCrashReports.Blocked().OnRecordDeleted(it.mEntry.mKey)
                      : mCrashReports.Blocked().OnRecord(it.mEntry);
        continue;
      }
      if (!it.mIsDeleted) {
        UpdateInstance(it.mEntry);
        continue;
      }
      mInstances.Remove(it.mEntry.mKey.substr(kInstancePrefix.size()),
                        aAvailability == StoreAvailability::RecentlyUnavailable,
                        mClock.Now());
    }
  };
  return out;
}

void Gateway::ApplyConfiguration(const KeyValue& aEntry)
{
  auto decoded = mProtocol.DecodeConfiguration(aEntry.mValue);
  if (!decoded) {
    LogChange(LogLevel::Error,
              "configuration",
              "the stored configuration is invalid; keeping the active one",
              { { "error", ToString(decoded.error()) } });
    return;
  }
  const auto version = decoded.value().mVersion;
  const auto currentVersion = mRelay.mRoutes ? mRelay.mRoutes->Version() : -1;
  if (version <= currentVersion) {
    LogChange(LogLevel::Warning,
              "configuration",
              "ignored a version that is not newer than the active one",
              { { "version", std::to_string(version) },
                { "active_version", std::to_string(currentVersion) } });
    return;
  }
  for (const auto& it : decoded.value().mProblems) {
    LogChange(LogLevel::Warning,
              "configuration",
              "a part of the configuration is malformed",
              { { "version", std::to_string(version) }, { "error", it } });
  }
  mRelay.mRoutes = RouteTable::Create(std::move(decoded.value()));
  if (mSettings.mWarmUpBound) {
    mRelay.mEndpoints.SetWarmUpLimits(mRelay.mRoutes->WarmUpLimits());
  }
  mMetrics.GaugeOf("gentianloom_configuration_version").Set(version);
  mRights.Wake();
  LogChange(LogLevel::Info,
            "configuration",
            "activated a new version",
            { { "version", std::to_string(version) },
              { "previous_version", std::to_string(currentVersion) },
              { "revision", std::to_string(aEntry.mModRevision) } });
}

Result<EndpointEntry> Gateway::DecodeEndpoint(const KeyValue& aEntry) const
{
  const auto id = aEntry.mKey.substr(mProtocol.EndpointPrefix().size());
  auto out = mProtocol.DecodeEndpoint(id, aEntry.mValue);
  if (out) {
    out.value().mLease = aEntry.mLease;
  }
  return out;
}

void Gateway::UpdateEndpoint(const KeyValue& aEntry)
{
  const auto id = aEntry.mKey.substr(mProtocol.EndpointPrefix().size());
  auto entry = DecodeEndpoint(aEntry);
  if (!entry) {
    LogInvalidEntry(id, ToString(entry.error()));
    return;
  }
  const auto decoded = entry.value();
  const auto result = mRelay.mEndpoints.Put(std::move(entry.value()), mClock.Now());
  if (result == PutResult::LacksStart) {
    LogInvalidEntry(id, "it lacks the start that the endpoint has stated before");
    return;
  }
  mInvalidEntries.erase(id);
  LogChange(LogLevel::Info,
            "endpoints",
            result == PutResult::Outdated ? "ignored an entry that was written before the known one"
                                          : "the entry of an endpoint changed",
            { { "endpoint", id },
              { "service", decoded.mService },
              { "software_version", decoded.mSoftwareVersion },
              { "started_at", std::to_string(decoded.mStartedAt) },
              { "sequence", std::to_string(decoded.mSequence) },
              { "lease", std::to_string(decoded.mLease) },
              { "leaving", decoded.mIsLeaving ? "yes" : "no" } });
  ObserveSoftwareVersions();
}

void Gateway::LogInvalidEntry(const std::string& aId, const std::string& aError)
{
  if (mInvalidEntries.size() >= kMaxInvalidEntries) {
    mInvalidEntries.clear();
  }
  if (!mInvalidEntries.insert(aId).second) {
    return;
  }
  // What is known of the endpoint holds: another program may have written the entry.
  LogChange(LogLevel::Warning,
            "endpoints",
            "ignored an invalid endpoint entry",
            { { "endpoint", aId }, { "error", aError } });
}

void Gateway::ObserveSoftwareVersions()
{
  for (const auto& [id, it] : mRelay.mEndpoints.All()) {
    const auto& entry = it->mEntry;
    mRelay.mVersionHistory.Observe(entry.mService, entry.mSoftwareVersion, mClock.Now());
  }
  mRelay.mVersionHistory.ConfirmUntil(mEndpointWatcher.ConfirmedUntil());
}

void Gateway::UpdateInstance(const KeyValue& aEntry)
{
  auto record = ReadInstance(aEntry);
  if (!record) {
    return;
  }
  LogChange(LogLevel::Info,
            "instances",
            "the record of an instance changed",
            { { "instance", record.value().mName },
              { "leaving", record.value().mIsLeaving ? "yes" : "no" } });
  mInstances.Put(std::move(record.value()));
}

} // namespace gentianloom
