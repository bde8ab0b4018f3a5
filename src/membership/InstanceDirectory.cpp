#include "gentianloom/membership/InstanceDirectory.h"

#include "gentianloom/base/BoundedJson.h"
#include "gentianloom/base/Ids.h"
#include "gentianloom/membership/Keepers.h"
#include "gentianloom/membership/RegionPreference.h"
#include "gentianloom/net/HttpClient.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace gentianloom {

std::string ToText(const InstanceRecord& aRecord)
{
  const nlohmann::json out = { { "name", aRecord.mName },
                               { "incarnation", aRecord.mIncarnation },
                               { "zone", aRecord.mZone },
                               { "address", aRecord.mAddress },
                               { "peer_address", aRecord.mPeerAddress },
                               { "leaving", aRecord.mIsLeaving } };
  return out.dump();
}

Result<InstanceRecord> ParseInstanceRecord(std::string_view aText)
{
  try {
    BOOST_OUTCOME_TRY(json, ParseBoundedJson(aText));
    InstanceRecord out;
    out.mName = json.at("name").get<std::string>();
    out.mIncarnation = json.at("incarnation").get<std::string>();
    out.mZone = json.at("zone").get<std::string>();
    out.mAddress = json.at("address").get<std::string>();
    out.mPeerAddress = json.at("peer_address").get<std::string>();
    out.mIsLeaving = json.at("leaving").get<bool>();
    return out;
  } catch (const nlohmann::json::exception& ex) {
    return MakeError(ErrorCode::MalformedJson, Step::RequestPlace, "key-value service", ex.what());
  }
}

Result<InstanceRecord> ParseInstanceEntry(const KeyValue& aEntry)
{
  BOOST_OUTCOME_TRY(out, ParseInstanceRecord(aEntry.mValue));
  const auto isAddress = [](const std::string& aText) {
    return net::ParseSocketAddress(aText).has_value();
  };
  const bool isNamed =
    !out.mName.empty() && aEntry.mKey == std::string(kInstancePrefix) + out.mName;
  const bool hasAddresses =
    isAddress(out.mAddress) && (out.mPeerAddress.empty() || isAddress(out.mPeerAddress));
  if (!isNamed || !hasAddresses) {
    return MakeError(ErrorCode::MalformedJson,
                     Step::RequestPlace,
                     "key-value service",
                     isNamed ? "an address of the instance is not written as IP:PORT"
                             : "the record is stored under another name than its own");
  }
  return out;
}

void InstanceDirectory::Put(InstanceRecord aRecord)
{
  auto& it = mEntries[aRecord.mName];
  it = { std::move(aRecord), TimePoint::max() };
}

void InstanceDirectory::Remove(std::string_view aName, bool aAfterOutage, TimePoint aNow)
{
  const auto it = mEntries.find(aName);
  if (it == mEntries.end()) {
    return;
  }
  if (!aAfterOutage) {
    mEntries.erase(it);
  } else if (it->second.mExpiresAt == TimePoint::max()) {
    it->second.mExpiresAt = aNow + kReregistrationGrace;
  }
}

void InstanceDirectory::Replace(std::vector<InstanceRecord> aRecords,
                                bool aAfterOutage,
                                TimePoint aNow)
{
  std::set<std::string> listed;
  for (auto& it : aRecords) {
    listed.insert(it.mName);
    Put(std::move(it));
  }
  std::vector<std::string> missing;
  for (const auto& [name, it] : mEntries) {
    if (!listed.contains(name)) {
      missing.push_back(name);
    }
  }
  for (const auto& it : missing) {
    Remove(it, aAfterOutage, aNow);
  }
}

void InstanceDirectory::RemoveExpired(TimePoint aNow)
{
  std::erase_if(mEntries, [aNow](const auto& it) { return it.second.mExpiresAt <= aNow; });
}

std::vector<std::string> InstanceDirectory::SelectAddresses(const InstanceRecord& aSelf,
                                                            std::string_view aZone,
                                                            std::string_view aCaller,
                                                            TimePoint aNow) const
{
  return SelectAddresses(aSelf, aZone, aCaller, aNow, {});
}

std::vector<std::string> InstanceDirectory::SelectAddresses(const InstanceRecord& aSelf,
                                                            std::string_view aZone,
                                                            std::string_view aCaller,
                                                            TimePoint aNow,
                                                            const RegionPreference& aRegions) const
{
  std::vector<const InstanceRecord*> all;
  const auto add = [&](const InstanceRecord& aRecord) {
    if (!aRecord.mIsLeaving) {
      all.push_back(&aRecord);
    }
  };
  add(aSelf);
  for (const auto& [name, it] : mEntries) {
    if (name != aSelf.mName && aNow < it.mExpiresAt) {
      add(it.mRecord);
    }
  }
  std::vector<std::string> out;
  for (const auto* it : aRegions.Choose(std::move(all), aZone)) {
    out.push_back(it->mAddress);
  }
  if (out.size() > kMaxAddresses) {
    return ChooseKeepers(StableHash(aCaller), std::move(out), kMaxAddresses);
  }
  return out;
}

std::vector<std::string> InstanceDirectory::PeerAddresses(std::string_view aSelf) const
{
  std::vector<std::string> out;
  for (const auto& [name, it] : mEntries) {
    if (name != aSelf && !it.mRecord.mPeerAddress.empty()) {
      out.push_back(it.mRecord.mPeerAddress);
    }
  }
  return out;
}

std::vector<std::string> InstanceDirectory::ServingPeerAddresses(std::string_view aSelf,
                                                                 TimePoint aNow,
                                                                 std::string_view aZone) const
{
  std::vector<std::string> out;
  for (const auto& [name, it] : mEntries) {
    const bool isServing = !it.mRecord.mIsLeaving && aNow < it.mExpiresAt;
    const bool isInZone = aZone.empty() || it.mRecord.mZone == aZone;
    if (name != aSelf && isServing && isInZone && !it.mRecord.mPeerAddress.empty()) {
      out.push_back(it.mRecord.mPeerAddress);
    }
  }
  return out;
}

const InstanceRecord* InstanceDirectory::Find(std::string_view aName) const
{
  const auto it = mEntries.find(aName);
  return it == mEntries.end() ? nullptr : &it->second.mRecord;
}

bool InstanceDirectory::HasHost(std::string_view aHost) const
{
  return std::any_of(mEntries.begin(), mEntries.end(), [&](const auto& it) {
    const std::string_view address = it.second.mRecord.mPeerAddress;
    return address.substr(0, address.rfind(':')) == aHost;
  });
}

std::size_t InstanceDirectory::Size(std::string_view aSelf) const
{
  return mEntries.size() + (mEntries.contains(aSelf) ? 0 : 1);
}

} // namespace gentianloom
