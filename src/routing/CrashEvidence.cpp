#include "gentianloom/routing/CrashEvidence.h"

#include <algorithm>

namespace gentianloom {

bool CrashEvidence::OnInterrupted(const std::string& aFingerprint,
                                  TimePoint aSentAt,
                                  TimePoint aEndedAt)
{
  if (HasCompletedSince(aFingerprint, aSentAt)) {
    return false;
  }
  if (mSuspects.size() >= kMaxSuspects && !mSuspects.contains(aFingerprint)) {
    const auto oldest = std::min_element(
      mSuspects.begin(), mSuspects.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.mLastAt < aRight.second.mLastAt;
      });
    mSuspects.erase(oldest);
  }
  auto& suspect = mSuspects[aFingerprint];
  const bool isNew = suspect.mInterruptions == 0 || aEndedAt - suspect.mLastAt > kMemory;
  if (isNew) {
    suspect = { 1, aEndedAt, aEndedAt };
  } else if (aSentAt >= suspect.mLastAt) {
    ++suspect.mInterruptions;
    suspect.mLastAt = aEndedAt;
  }
  return suspect.mInterruptions >= kInterruptionsToBlock;
}

bool CrashEvidence::OnCompleted(const std::string& aFingerprint, TimePoint aSentAt, TimePoint aNow)
{
  auto& completion = mCompletions[aFingerprint];
  completion = std::max(completion, aSentAt);
  mCompletionOrder.emplace_back(aNow, aFingerprint);
  while (mCompletionOrder.size() > kMaxCompletions) {
    mCompletions.erase(mCompletionOrder.front().second);
    mCompletionOrder.pop_front();
  }
  return mSuspects.erase(aFingerprint) > 0;
}

std::optional<CrashEvidence::Suspect> CrashEvidence::Find(const std::string& aFingerprint) const
{
  const auto it = mSuspects.find(aFingerprint);
  return it == mSuspects.end() ? std::nullopt : std::optional(it->second);
}

bool CrashEvidence::HasCompletedSince(const std::string& aFingerprint, TimePoint aTime) const
{
  const auto it = mCompletions.find(aFingerprint);
  return it != mCompletions.end() && it->second >= aTime;
}

void CrashEvidence::RemoveExpired(TimePoint aNow)
{
  std::erase_if(mSuspects, [&](const auto& it) { return aNow - it.second.mLastAt > kMemory; });
  while (!mCompletionOrder.empty() && aNow - mCompletionOrder.front().first > kMemory) {
    const auto it = mCompletions.find(mCompletionOrder.front().second);
    if (it != mCompletions.end() && aNow - it->second > kMemory) {
      mCompletions.erase(it);
    }
    mCompletionOrder.pop_front();
  }
}

} // namespace gentianloom
