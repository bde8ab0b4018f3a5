#include "gentianloom/gateway/RemoteReservations.h"

#include <algorithm>

namespace gentianloom {

RemoteReservations::Beginning RemoteReservations::Begin(const RemoteReservationKey& aKey,
                                                        const ReservationMessage& aQuery,
                                                        TimePoint aNow)
{
  if (mEntries.contains(aKey)) {
    return Beginning::Repeated;
  }
  if (mEntries.size() >= kMaxEntries) {
    return Beginning::Rejected;
  }
  Entry entry;
  entry.mBudget = aQuery.mBudget;
  entry.mTokens = aQuery.mTokens;
  entry.mExpiresAt = aNow + aQuery.mLifetime + kSettlementGrace;
  mEntries.emplace(aKey, std::move(entry));
  return Beginning::New;
}

bool RemoteReservations::IsEnded(const RemoteReservationKey& aKey) const
{
  const auto it = mEntries.find(aKey);
  return it == mEntries.end() || it->second.mPhase == Phase::Ended;
}

bool RemoteReservations::Answer(const RemoteReservationKey& aKey,
                                KeeperAnswer aAnswer,
                                Millis aOutage)
{
  const auto it = mEntries.find(aKey);
  if (it == mEntries.end() || it->second.mPhase != Phase::Asked) {
    return false;
  }
  const bool isReserved = aAnswer == KeeperAnswer::Reserved;
  it->second.mAnswer = aAnswer;
  it->second.mOutage = aOutage;
  it->second.mPhase = isReserved ? Phase::Reserved : Phase::Refused;
  mOpen += isReserved ? 1 : 0;
  return true;
}

ReservationMessage RemoteReservations::AnswerOf(const RemoteReservationKey& aKey) const
{
  ReservationMessage out;
  out.mKind = PeerMessageKind::ReservationAnswer;
  out.mId = aKey.second;
  out.mAnswer = KeeperAnswer::Unavailable;
  const auto it = mEntries.find(aKey);
  if (it != mEntries.end() && it->second.mPhase != Phase::Ended) {
    out.mAnswer = it->second.mAnswer;
    out.mOutage = it->second.mOutage;
  }
  return out;
}

std::optional<RemoteSettlement> RemoteReservations::End(Entry& aEntry, Tokens aUsed, TimePoint aNow)
{
  const bool isReserved = aEntry.mPhase == Phase::Reserved;
  mOpen -= isReserved ? 1 : 0;
  aEntry.mPhase = Phase::Ended;
  aEntry.mExpiresAt = aNow + kMemory;
  if (!isReserved) {
    return std::nullopt;
  }
  return RemoteSettlement{ aEntry.mBudget,
                           aEntry.mTokens,
                           std::clamp<Tokens>(aUsed, 0, aEntry.mTokens) };
}

std::optional<RemoteSettlement> RemoteReservations::End(const RemoteReservationKey& aKey,
                                                        Tokens aUsed,
                                                        TimePoint aNow)
{
  if (mEntries.size() >= kMaxEntries && !mEntries.contains(aKey)) {
    return std::nullopt;
  }
  // A new entry remembers a settlement that arrived before its query.
  auto& entry = mEntries[aKey];
  return entry.mPhase == Phase::Ended ? std::nullopt : End(entry, aUsed, aNow);
}

std::vector<RemoteSettlement> RemoteReservations::Expire(TimePoint aNow)
{
  std::vector<RemoteSettlement> out;
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    auto& entry = it->second;
    if (entry.mExpiresAt > aNow || entry.mPhase == Phase::Asked) {
      ++it;
      continue;
    }
    const auto settlement = End(entry, entry.mTokens, aNow);
    if (settlement) {
      out.push_back(*settlement);
      ++it;
      continue;
    }
    it = mEntries.erase(it);
  }
  return out;
}

std::vector<RemoteSettlement> RemoteReservations::EndAll(TimePoint aNow)
{
  std::vector<RemoteSettlement> out;
  for (auto& [key, entry] : mEntries) {
    const auto settlement = End(entry, entry.mTokens, aNow);
    if (settlement) {
      out.push_back(*settlement);
    }
  }
  return out;
}

} // namespace gentianloom
