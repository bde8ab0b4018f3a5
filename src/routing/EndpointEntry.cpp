#include "gentianloom/routing/EndpointEntry.h"

#include <utility>

namespace gentianloom {

EntryOrder CompareEntries(const EndpointEntry& aKnown, const EndpointEntry& aEntry, bool aIsDeleted)
{
  const bool isSameStart = aEntry.mStartedAt != 0 && aEntry.mStartedAt == aKnown.mStartedAt;
  if (EntryAge(aEntry) < EntryAge(aKnown)) {
    return isSameStart ? EntryOrder::Earlier : EntryOrder::Unconfirmed;
  }
  const bool isSameLease = aEntry.mLease != 0 && aEntry.mLease == aKnown.mLease;
  return aIsDeleted && isSameStart && isSameLease ? EntryOrder::Unconfirmed : EntryOrder::Later;
}

void UnconfirmedEntries::Put(const EndpointEntry& aEntry, TimePoint aNow)
{
  auto& it = mItems[aEntry.mId];
  const bool isKnown = it.mSince != TimePoint{} && it.mEntry.mStartedAt == aEntry.mStartedAt;
  it = { aEntry, isKnown ? it.mSince : aNow };
}

void UnconfirmedEntries::Remove(std::string_view aId)
{
  const auto it = mItems.find(aId);
  if (it != mItems.end()) {
    mItems.erase(it);
  }
}

void UnconfirmedEntries::KeepOnly(const std::set<std::string, std::less<>>& aIds)
{
  std::erase_if(mItems, [&](const auto& it) { return !aIds.contains(it.first); });
}

std::vector<EndpointEntry> UnconfirmedEntries::TakeConfirmed(TimePoint aConfirmedUntil)
{
  std::vector<EndpointEntry> out;
  for (auto it = mItems.begin(); it != mItems.end();) {
    if (aConfirmedUntil - it->second.mSince < kConfirmationTime) {
      ++it;
      continue;
    }
    out.push_back(std::move(it->second.mEntry));
    it = mItems.erase(it);
  }
  return out;
}

} // namespace gentianloom
