#include "gentianloom/routing/CrashEvidence.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// A key that is seen all the time is noted once in this time.
constexpr Millis kNoteInterval{ 1'000 };

} // namespace

void CrashEvidence::MakeRoomFor(const std::string& aKey)
{
  if (mSuspects.size() < kMaxSuspects || mSuspects.contains(aKey)) {
    return;
  }
  const auto oldest =
    std::min_element(mSuspects.begin(), mSuspects.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.mLastAt < aRight.second.mLastAt;
    });
  mSuspects.erase(oldest);
}

bool CrashEvidence::OnInterrupted(const std::string& aKey, TimePoint aSentAt, TimePoint aEndedAt)
{
  if (HasSurvivedSince(aKey, aSentAt)) {
    return false;
  }
  MakeRoomFor(aKey);
  auto& suspect = mSuspects[aKey];
  const bool isNew = suspect.mInterruptions == 0 || aEndedAt - suspect.mLastAt > kMemory;
  if (isNew) {
    suspect = { 1, aEndedAt, aEndedAt };
  } else if (aSentAt >= suspect.mLastAt) {
    ++suspect.mInterruptions;
    suspect.mLastAt = aEndedAt;
  }
  return suspect.mInterruptions >= kInterruptionsToBlock;
}

bool CrashEvidence::TakeOver(const std::string& aKey, const Suspect& aSuspect)
{
  const auto known = Find(aKey);
  const bool isMore = !known || aSuspect.mInterruptions > known->mInterruptions;
  if (!isMore || HasSurvivedSince(aKey, aSuspect.mLastAt)) {
    return false;
  }
  MakeRoomFor(aKey);
  mSuspects[aKey] = aSuspect;
  return true;
}

std::vector<std::pair<std::string, CrashEvidence::Suspect>> CrashEvidence::MostSuspicious(
  std::size_t aCount,
  const std::function<bool(const std::string&)>& aIsWanted) const
{
  using Item = std::pair<const std::string, Suspect>;
  std::vector<const Item*> byRank;
  byRank.reserve(mSuspects.size());
  for (const auto& it : mSuspects) {
    byRank.push_back(&it);
  }
  std::sort(byRank.begin(), byRank.end(), [](const Item* aLeft, const Item* aRight) {
    const auto rank = [](const Item* aItem) {
      return std::pair(aItem->second.mInterruptions, aItem->second.mLastAt);
    };
    return rank(aLeft) > rank(aRight);
  });
  std::vector<std::pair<std::string, Suspect>> out;
  for (const auto* it : byRank) {
    if (out.size() == aCount) {
      break;
    }
    if (aIsWanted(it->first)) {
      out.emplace_back(*it);
    }
  }
  return out;
}

bool CrashEvidence::OnSurvived(const std::string& aKey, TimePoint aSentAt, TimePoint aNow)
{
  const auto [it, isNew] = mSurvived.try_emplace(aKey);
  auto& survived = it->second;
  survived.mLastSentAt = std::max(survived.mLastSentAt, aSentAt);
  if (isNew || aNow - survived.mNotedAt >= kNoteInterval) {
    survived.mNotedAt = aNow;
    mSurvivedOrder.emplace_back(aNow, aKey);
  }
  while (mSurvivedOrder.size() > kMaxSurvived) {
    DropOldestSurvived();
  }
  return mSuspects.erase(aKey) > 0;
}

void CrashEvidence::DropOldestSurvived()
{
  const auto& [notedAt, key] = mSurvivedOrder.front();
  const auto it = mSurvived.find(key);
  if (it != mSurvived.end() && it->second.mNotedAt == notedAt) {
    mSurvived.erase(it);
  }
  mSurvivedOrder.pop_front();
}

std::optional<CrashEvidence::Suspect> CrashEvidence::Find(const std::string& aKey) const
{
  const auto it = mSuspects.find(aKey);
  return it == mSuspects.end() ? std::nullopt : std::optional(it->second);
}

std::optional<TimePoint> CrashEvidence::LastSurvived(const std::string& aKey) const
{
  const auto it = mSurvived.find(aKey);
  return it == mSurvived.end() ? std::nullopt : std::optional(it->second.mLastSentAt);
}

void CrashEvidence::RemoveExpired(TimePoint aNow)
{
  std::erase_if(mSuspects, [&](const auto& it) { return aNow - it.second.mLastAt > kMemory; });
  while (!mSurvivedOrder.empty() && aNow - mSurvivedOrder.front().first > kMemory) {
    DropOldestSurvived();
  }
}

} // namespace gentianloom
