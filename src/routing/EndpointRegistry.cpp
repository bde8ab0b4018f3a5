#include "gentianloom/routing/EndpointRegistry.h"

#include "gentianloom/base/Ids.h"

#include <algorithm>
#include <set>

namespace gentianloom {

void EndpointRegistry::Put(EndpointEntry aEntry, TimePoint aNow)
{
  const auto known = mEndpoints.find(aEntry.mId);
  if (known != mEndpoints.end()) {
    const auto& old = known->second->mEntry;
    const bool isSameRun = old.mStartedAt == aEntry.mStartedAt && old.mAddress == aEntry.mAddress &&
                           old.mService == aEntry.mService &&
                           old.mSoftwareVersion == aEntry.mSoftwareVersion;
    if (!isSameRun) {
      RemoveRecord(known, aNow);
    }
  }
  mRemoved.erase(aEntry.mId);
  auto& it = mEndpoints[aEntry.mId];
  if (!it) {
    it = std::make_shared<Endpoint>();
    it->mHash = StableHash(aEntry.mId);
  }
  it->mEntry = std::move(aEntry);
  it->mState = EntryState::Listed;
  it->mLastSeenAt = aNow;
}

void EndpointRegistry::Remove(std::string_view aId, bool aAfterOutage, TimePoint aNow)
{
  const auto it = mEndpoints.find(aId);
  if (it == mEndpoints.end()) {
    return;
  }
  if (!aAfterOutage) {
    RemoveRecord(it, aNow);
  } else if (it->second->mState == EntryState::Listed) {
    it->second->mState = EntryState::Missing;
    it->second->mMissingSince = aNow;
  }
}

void EndpointRegistry::Replace(std::vector<EndpointEntry> aEntries,
                               bool aAfterOutage,
                               TimePoint aNow)
{
  std::set<std::string, std::less<>> listed;
  for (auto& it : aEntries) {
    listed.insert(it.mId);
    Put(std::move(it), aNow);
  }
  std::vector<std::string> missing;
  for (const auto& [id, it] : mEndpoints) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const auto& it : missing) {
    Remove(it, aAfterOutage, aNow);
  }
}

void EndpointRegistry::DropOutdated(std::vector<EndpointEntry>& aEntries) const
{
  const auto age = [](const EndpointEntry& aEntry) {
    return std::pair(aEntry.mStartedAt, aEntry.mSequence);
  };
  std::erase_if(aEntries, [&](const EndpointEntry& aEntry) {
    const auto it = mRemoved.find(aEntry.mId);
    return it != mRemoved.end() && age(aEntry) <= age(it->second.mEntry);
  });
  for (auto& it : aEntries) {
    const auto known = mEndpoints.find(it.mId);
    if (known != mEndpoints.end() && age(it) < age(known->second->mEntry)) {
      it = known->second->mEntry;
    }
  }
}

void EndpointRegistry::OnAddressReassigned(std::string_view aId, TimePoint aNow)
{
  const auto it = mEndpoints.find(aId);
  if (it != mEndpoints.end()) {
    RemoveRecord(it, aNow);
  }
}

void EndpointRegistry::RemoveExpired(TimePoint aNow)
{
  std::erase_if(
    mRemoved, [&](const auto& it) { return aNow - it.second.mRemovedAt > kRemovedEntryRetention; });
  for (auto it = mEndpoints.begin(); it != mEndpoints.end();) {
    const auto& endpoint = *it->second;
    const auto next = std::next(it);
    if (endpoint.mState == EntryState::Missing &&
        aNow - endpoint.mMissingSince >= kRenewalGracePeriod) {
      RemoveRecord(it, aNow);
    }
    it = next;
  }
}

std::vector<EndpointRegistry::Ptr> EndpointRegistry::UsableEndpoints(
  std::string_view aService,
  std::optional<std::string_view> aSoftwareVersion) const
{
  std::vector<Ptr> listed;
  std::vector<Ptr> missing;
  for (const auto& [id, it] : mEndpoints) {
    if (it->mEntry.mService != aService || !it->AcceptsRequests()) {
      continue;
    }
    if (aSoftwareVersion && it->mEntry.mSoftwareVersion != *aSoftwareVersion) {
      continue;
    }
    (it->mState == EntryState::Listed ? listed : missing).push_back(it);
  }
  return listed.empty() ? missing : listed;
}

void EndpointRegistry::RemoveRecord(std::map<std::string, Ptr, std::less<>>::iterator aEndpoint,
                                    TimePoint aNow)
{
  // Requests in flight still refer to the record and must see that it was removed.
  aEndpoint->second->mState = EntryState::Removed;
  mRemoved[aEndpoint->first] = { aEndpoint->second->mEntry, aNow };
  mEndpoints.erase(aEndpoint);
}

} // namespace gentianloom
