#include "gentianloom/routing/EndpointRegistry.h"

#include "gentianloom/base/Ids.h"

#include <algorithm>
#include <set>

namespace gentianloom {

namespace {

/// Whether two entries with the same id were written by the same process.
bool IsSameProcess(const EndpointEntry& aLeft, const EndpointEntry& aRight)
{
  return aLeft.mStartedAt == aRight.mStartedAt && aLeft.mAddress == aRight.mAddress &&
         aLeft.mService == aRight.mService && aLeft.mSoftwareVersion == aRight.mSoftwareVersion;
}

/// Whether an entry is the one that a record holds already, whose time has been running since it
/// was first read, or an earlier one.
bool IsReadAgain(const Endpoint& aKnown, const EndpointEntry& aEntry)
{
  const auto& known = aKnown.mEntry;
  const bool isSame =
    aEntry.mSequence == known.mSequence && aEntry.mWarmUpRemaining == known.mWarmUpRemaining;
  return known.mId == aEntry.mId && (isSame || aEntry.mSequence < known.mSequence);
}

} // namespace

Micros Endpoint::TimeUntilQuery(TimePoint aNow) const
{
  if (AllowsQuery(aNow)) {
    return Micros(0);
  }
  const auto denied = std::chrono::ceil<Micros>(mRateLimit.DeniedUntil() - aNow);
  return mRateLimit.IsLimited() ? denied : std::min(denied, mWarmUp.TimeLeft(aNow));
}

void EndpointRegistry::SetWarmUpLimits(std::map<std::string, double, std::less<>> aLimits)
{
  mWarmUpLimits = std::move(aLimits);
  for (const auto& [id, it] : mEndpoints) {
    it->mWarmUp.SetLimit(WarmUpLimitOf(it->mEntry.mService));
  }
}

std::optional<double> EndpointRegistry::WarmUpLimitOf(std::string_view aService) const
{
  const auto it = mWarmUpLimits.find(aService);
  return it == mWarmUpLimits.end() ? std::nullopt : std::optional(it->second);
}

EndpointRegistry::Ptr EndpointRegistry::FindRemembered(std::string_view aId) const
{
  const auto known = mEndpoints.find(aId);
  if (known != mEndpoints.end()) {
    return known->second;
  }
  const auto removed = mRemoved.find(aId);
  return removed == mRemoved.end() ? nullptr : removed->second.mEndpoint;
}

bool EndpointRegistry::LacksStart(const EndpointEntry& aEntry) const
{
  const auto known = FindRemembered(aEntry.mId);
  return aEntry.mStartedAt == 0 && known && known->mEntry.mStartedAt != 0;
}

EntryOrder EndpointRegistry::OrderOf(const EndpointEntry& aEntry) const
{
  const auto known = mEndpoints.find(aEntry.mId);
  if (known != mEndpoints.end()) {
    return CompareEntries(known->second->mEntry, aEntry, /*aIsDeleted=*/false);
  }
  const auto removed = mRemoved.find(aEntry.mId);
  return removed == mRemoved.end()
           ? EntryOrder::Later
           : CompareEntries(removed->second.mEndpoint->mEntry, aEntry, removed->second.mIsDeleted);
}

void EndpointRegistry::RelistIfSame(const EndpointEntry& aEntry)
{
  const auto it = mEndpoints.find(aEntry.mId);
  if (it == mEndpoints.end()) {
    return;
  }
  auto& known = *it->second;
  const bool saysTheSame =
    IsSameProcess(known.mEntry, aEntry) && known.mEntry.mIsLeaving == aEntry.mIsLeaving;
  if (known.mState == EntryState::Missing && saysTheSame) {
    known.mState = EntryState::Listed;
  }
}

PutResult EndpointRegistry::Put(EndpointEntry aEntry, TimePoint aNow)
{
  if (LacksStart(aEntry)) {
    return PutResult::LacksStart;
  }
  const auto order = OrderOf(aEntry);
  if (order == EntryOrder::Unconfirmed) {
    mUnconfirmed.Put(aEntry, aNow);
  } else {
    mUnconfirmed.Remove(aEntry.mId);
  }
  if (order != EntryOrder::Later) {
    RelistIfSame(aEntry);
    return PutResult::Outdated;
  }
  Apply(std::move(aEntry), aNow);
  return PutResult::Applied;
}

void EndpointRegistry::Apply(EndpointEntry aEntry, TimePoint aNow)
{
  const auto known = mEndpoints.find(aEntry.mId);
  if (known != mEndpoints.end() && !IsSameProcess(known->second->mEntry, aEntry)) {
    RemoveRecord(known, /*aIsDeleted=*/false, aNow);
  }
  auto& it = mEndpoints[aEntry.mId];
  if (!it) {
    it = AddRecord(aEntry);
  }
  it->mWarmUp.SetLimit(WarmUpLimitOf(aEntry.mService));
  if (aEntry.mWarmUpRemaining && !IsReadAgain(*it, aEntry)) {
    it->mWarmUp.OnStated(*aEntry.mWarmUpRemaining, aNow);
  }
  it->mEntry = std::move(aEntry);
  it->mState = EntryState::Listed;
  it->mLastSeenAt = aNow;
}

void EndpointRegistry::AcceptConfirmed(TimePoint aConfirmedUntil, TimePoint aNow)
{
  for (auto& it : mUnconfirmed.TakeConfirmed(aConfirmedUntil)) {
    Apply(std::move(it), aNow);
  }
}

EndpointRegistry::Ptr EndpointRegistry::Find(std::string_view aId) const
{
  const auto it = mEndpoints.find(aId);
  return it == mEndpoints.end() ? nullptr : it->second;
}

bool EndpointRegistry::IsBrittle(std::string_view aService) const
{
  const auto isBrittle = [&](const Ptr& aEndpoint) {
    return aEndpoint && aEndpoint->mEntry.mService == aService && aEndpoint->mWindow.IsBrittle();
  };
  return std::any_of(mEndpoints.begin(),
                     mEndpoints.end(),
                     [&](const auto& it) { return isBrittle(it.second); }) ||
         std::any_of(mRemoved.begin(), mRemoved.end(), [&](const auto& it) {
           return isBrittle(it.second.mEndpoint);
         });
}

EndpointRegistry::Ptr EndpointRegistry::AddRecord(const EndpointEntry& aEntry)
{
  const bool isBrittle = IsBrittle(aEntry.mService);
  const auto removed = mRemoved.find(aEntry.mId);
  auto known = removed == mRemoved.end() ? nullptr : removed->second.mEndpoint;
  mRemoved.erase(aEntry.mId);
  if (known && IsSameProcess(known->mEntry, aEntry)) {
    return known;
  }
  if (mOnNewProcess) {
    mOnNewProcess(aEntry.mAddress);
  }
  auto out = std::make_shared<Endpoint>();
  out->mHash = StableHash(aEntry.mId);
  out->mWindow.OnStated(isBrittle, 0);
  out->mEvacuatedZones = mEvacuatedZones;
  return out;
}

void EndpointRegistry::Remove(std::string_view aId, bool aAfterOutage, TimePoint aNow)
{
  mUnconfirmed.Remove(aId);
  const auto it = mEndpoints.find(aId);
  if (it == mEndpoints.end()) {
    return;
  }
  if (!aAfterOutage) {
    RemoveRecord(it, /*aIsDeleted=*/true, aNow);
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
  mUnconfirmed.KeepOnly(listed);
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
  std::erase_if(aEntries, [&](const EndpointEntry& aEntry) {
    const auto it = mRemoved.find(aEntry.mId);
    return it != mRemoved.end() && !(EntryAge(it->second.mEndpoint->mEntry) < EntryAge(aEntry));
  });
  for (auto& it : aEntries) {
    const auto known = mEndpoints.find(it.mId);
    if (known != mEndpoints.end() && EntryAge(it) < EntryAge(known->second->mEntry)) {
      it = known->second->mEntry;
    }
  }
}

void EndpointRegistry::OnLeaving(std::string_view aId)
{
  const auto it = mEndpoints.find(aId);
  if (it != mEndpoints.end()) {
    it->second->mHasAnnouncedLeaving = true;
  }
}

void EndpointRegistry::OnAddressReassigned(std::string_view aId, TimePoint aNow)
{
  const auto it = mEndpoints.find(aId);
  if (it == mEndpoints.end()) {
    return;
  }
  const auto address = it->second->mEntry.mAddress;
  RemoveRecord(it, /*aIsDeleted=*/false, aNow);
  if (mOnNewProcess) {
    mOnNewProcess(address);
  }
}

void EndpointRegistry::SuspendAddress(std::string_view aAddress, TimePoint aNow)
{
  for (const auto& [id, it] : mEndpoints) {
    if (it->mEntry.mAddress == aAddress) {
      it->mLoad.OnUnreachable(aNow);
    }
  }
}

std::string EndpointRegistry::ServiceAt(std::string_view aAddress) const
{
  const auto it = std::find_if(mEndpoints.begin(), mEndpoints.end(), [&](const auto& aEndpoint) {
    return aEndpoint.second->mEntry.mAddress == aAddress;
  });
  return it == mEndpoints.end() ? std::string() : it->second->mEntry.mService;
}

void EndpointRegistry::RemoveExpired(TimePoint aNow)
{
  std::erase_if(mRemoved, [&](const auto& it) {
    return aNow - it.second.mRemovedAt > kRemovedEntryRetention &&
           !it.second.mEndpoint->mHold.IsPaused(aNow);
  });
  for (auto it = mEndpoints.begin(); it != mEndpoints.end();) {
    const auto& endpoint = *it->second;
    const auto next = std::next(it);
    if (endpoint.mState == EntryState::Missing &&
        aNow - endpoint.mMissingSince >= kRenewalGracePeriod) {
      RemoveRecord(it, /*aIsDeleted=*/false, aNow);
    }
    it = next;
  }
}

std::vector<EndpointRegistry::Ptr> EndpointRegistry::UsableEndpoints(
  std::string_view aService,
  TimePoint aNow,
  std::optional<std::string_view> aSoftwareVersion,
  const AllowedZones& aZones) const
{
  std::vector<Ptr> listed;
  std::vector<Ptr> missing;
  for (const auto& [id, it] : mEndpoints) {
    if (it->mEntry.mService != aService || !it->AcceptsRequests() ||
        !it->mHold.AllowsRequest(aNow) || !it->AllowsQuery(aNow) ||
        !it->mWindow.AllowsRequest(it->mLoad.InFlight())) {
      continue;
    }
    if (aSoftwareVersion && it->mEntry.mSoftwareVersion != *aSoftwareVersion) {
      continue;
    }
    if (!Allows(aZones, it->mEntry.mZone)) {
      continue;
    }
    (it->mState == EntryState::Listed ? listed : missing).push_back(it);
  }
  return listed.empty() ? missing : listed;
}

std::optional<Micros> EndpointRegistry::TimeUntilPauseEnds(std::string_view aService,
                                                           TimePoint aNow,
                                                           const AllowedZones& aZones) const
{
  std::optional<Micros> out;
  for (const auto& [id, it] : mEndpoints) {
    if (it->mEntry.mService != aService || !it->AcceptsRequests() ||
        !Allows(aZones, it->mEntry.mZone)) {
      continue;
    }
    if (it->mHold.AllowsRequest(aNow) && it->AllowsQuery(aNow)) {
      return std::nullopt;
    }
    const auto left = std::max(it->mHold.TimeLeft(aNow), it->TimeUntilQuery(aNow));
    out = out ? std::min(*out, left) : left;
  }
  return out;
}

void EndpointRegistry::RemoveRecord(EndpointMap::iterator aEndpoint,
                                    bool aIsDeleted,
                                    TimePoint aNow)
{
  // Requests in flight still refer to the record and must see that it was removed.
  aEndpoint->second->mState = EntryState::Removed;
  mRemoved[aEndpoint->first] = { aEndpoint->second, aNow, aIsDeleted };
  mEndpoints.erase(aEndpoint);
}

} // namespace gentianloom
