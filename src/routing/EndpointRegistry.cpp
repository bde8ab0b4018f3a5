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
                           old.mService == aEntry.mService;
    if (!isSameRun) {
      Drop(known);
    }
  }
  auto& it = mEndpoints[aEntry.mId];
  if (!it) {
    it = std::make_shared<Endpoint>();
    it->mHash = StableHash(aEntry.mId);
  }
  it->mEntry = std::move(aEntry);
  it->mStanding = EntryStanding::Listed;
  it->mSeenAt = aNow;
}

void EndpointRegistry::Remove(std::string_view aId, bool aAfterOutage, TimePoint aNow)
{
  const auto it = mEndpoints.find(aId);
  if (it == mEndpoints.end()) {
    return;
  }
  if (!aAfterOutage) {
    Drop(it);
  } else if (it->second->mStanding == EntryStanding::Listed) {
    it->second->mStanding = EntryStanding::Missing;
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

void EndpointRegistry::OnReplaced(std::string_view aId)
{
  const auto it = mEndpoints.find(aId);
  if (it != mEndpoints.end()) {
    Drop(it);
  }
}

void EndpointRegistry::Advance(TimePoint aNow)
{
  for (auto it = mEndpoints.begin(); it != mEndpoints.end();) {
    const auto& endpoint = *it->second;
    const auto next = std::next(it);
    if (endpoint.mStanding == EntryStanding::Missing &&
        aNow - endpoint.mMissingSince >= kReturnTime) {
      Drop(it);
    }
    it = next;
  }
}

std::vector<EndpointRegistry::Ptr> EndpointRegistry::Usable(std::string_view aService) const
{
  std::vector<Ptr> listed;
  std::vector<Ptr> missing;
  for (const auto& [id, it] : mEndpoints) {
    if (it->mEntry.mService != aService || !it->TakesWork()) {
      continue;
    }
    (it->mStanding == EntryStanding::Listed ? listed : missing).push_back(it);
  }
  return listed.empty() ? missing : listed;
}

void EndpointRegistry::Drop(std::map<std::string, Ptr, std::less<>>::iterator aEndpoint)
{
  // Requests in flight still hold the record.
  aEndpoint->second->mStanding = EntryStanding::Gone;
  mEndpoints.erase(aEndpoint);
}

} // namespace gentianloom
