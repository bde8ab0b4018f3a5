#include "MemoryStore.h"

namespace gentianloom::standin {

namespace {
constexpr std::size_t kHistoryLength = 10'000;
}

void MemoryStore::ExpireLocked()
{
  for (auto it = mLeases.begin(); it != mLeases.end();) {
    if (it->second.mExpires > mClock.Now()) {
      ++it;
      continue;
    }
    const auto id = it->first;
    it = mLeases.erase(it);
    ++mRevision;
    for (auto entry = mEntries.begin(); entry != mEntries.end();) {
      const auto next = std::next(entry);
      if (entry->second.mLease == id) {
        DeleteLocked(entry->first);
      }
      entry = next;
    }
  }
}

void MemoryStore::DeleteLocked(const std::string& aKey)
{
  const auto it = mEntries.find(aKey);
  if (it == mEntries.end()) {
    return;
  }
  KeyValue deleted;
  deleted.mKey = aKey;
  deleted.mModRevision = mRevision;
  mEntries.erase(it);
  mHistory.push_back({ mRevision, { std::move(deleted), true } });
}

void MemoryStore::PutLocked(const Write& aWrite)
{
  auto& it = mEntries[aWrite.mKey];
  it.mKey = aWrite.mKey;
  it.mValue = aWrite.mValue;
  it.mLease = aWrite.mLease;
  it.mModRevision = mRevision;
  if (it.mCreateRevision == 0) {
    it.mCreateRevision = mRevision;
  }
  mHistory.push_back({ mRevision, { it, false } });
  if (mHistory.size() > kHistoryLength) {
    mHistory.pop_front();
  }
}

Result<RangeResponse> MemoryStore::Range(std::string_view aKey, bool aIsPrefix, Step /*aStep*/)
{
  const std::lock_guard lock(mMutex);
  ExpireLocked();
  RangeResponse out;
  out.mRevision = mRevision;
  for (auto it = mEntries.lower_bound(aKey); it != mEntries.end(); ++it) {
    const bool matches = aIsPrefix ? it->first.starts_with(aKey) : it->first == aKey;
    if (!matches) {
      break;
    }
    out.mEntries.push_back(it->second);
  }
  return out;
}

CommitResult MemoryStore::Commit(const Transaction& aTransaction, Step /*aStep*/)
{
  CommitResult out;
  {
    const std::lock_guard lock(mMutex);
    ExpireLocked();
    for (const auto& it : aTransaction.mCompares) {
      const auto entry = mEntries.find(it.mKey);
      const Revision current = entry == mEntries.end() ? 0 : entry->second.mModRevision;
      if (current != it.mModRevision) {
        out.mEffect = Effect::NotApplied;
        out.mIsConflict = true;
        out.mRevision = mRevision;
        return out;
      }
    }
    for (const auto& it : aTransaction.mWrites) {
      if (it.mLease != 0 && !mLeases.contains(it.mLease)) {
        out.mEffect = Effect::NotApplied;
        out.mError = MakeError(
          ErrorCode::Conflict, Step::OrderLease, "key-value service", "the lease does not exist");
        return out;
      }
    }
    ++mRevision;
    for (const auto& it : aTransaction.mWrites) {
      if (it.mIsDelete) {
        DeleteLocked(it.mKey);
      } else {
        PutLocked(it);
      }
    }
    out.mEffect = Effect::Applied;
    out.mRevision = mRevision;
  }
  mChanged.notify_all();
  return out;
}

Result<LeaseId> MemoryStore::GrantLease(std::chrono::seconds aTtl, Step /*aStep*/)
{
  const std::lock_guard lock(mMutex);
  const LeaseId id = ++mNextLease;
  mLeases[id] = { aTtl, mClock.Now() + aTtl };
  return id;
}

Result<std::chrono::seconds> MemoryStore::KeepAlive(LeaseId aLease, Step /*aStep*/)
{
  const std::lock_guard lock(mMutex);
  ExpireLocked();
  const auto it = mLeases.find(aLease);
  if (it == mLeases.end()) {
    return std::chrono::seconds(0);
  }
  it->second.mExpires = mClock.Now() + it->second.mTtl;
  return it->second.mTtl;
}

Result<void> MemoryStore::RevokeLease(LeaseId aLease, Step /*aStep*/)
{
  {
    const std::lock_guard lock(mMutex);
    const auto it = mLeases.find(aLease);
    if (it != mLeases.end()) {
      it->second.mExpires = TimePoint{};
      ExpireLocked();
    }
  }
  mChanged.notify_all();
  return success();
}

std::vector<WatchEvent> MemoryStore::ChangesLocked(std::string_view aPrefix, Revision aFrom) const
{
  std::vector<WatchEvent> out;
  for (const auto& it : mHistory) {
    if (it.mRevision < aFrom || !it.mEvent.mEntry.mKey.starts_with(aPrefix)) {
      continue;
    }
    out.push_back(it.mEvent);
  }
  return out;
}

Result<void> MemoryStore::Watch(
  std::string_view aPrefix,
  Revision aFrom,
  Millis aTimeout,
  const std::function<bool(const std::vector<WatchEvent>&, Revision)>& aOnEvents,
  Step /*aStep*/)
{
  constexpr Millis kExpiryPoll{ 100 };
  const auto end = std::chrono::steady_clock::now() + aTimeout;
  std::unique_lock lock(mMutex);
  Revision from = aFrom == 0 ? mRevision + 1 : aFrom;
  while (std::chrono::steady_clock::now() < end && !mStoppedPrefixes.contains(aPrefix)) {
    ExpireLocked();
    const auto events = ChangesLocked(aPrefix, from);
    if (!events.empty()) {
      const Revision at = mRevision;
      lock.unlock();
      const bool continues = aOnEvents(events, at);
      lock.lock();
      if (!continues) {
        return success();
      }
      from = at + 1;
      continue;
    }
    mChanged.wait_for(lock, kExpiryPoll);
  }
  return success();
}

void MemoryStore::StopWatches(std::string_view aPrefix)
{
  {
    const std::lock_guard lock(mMutex);
    mStoppedPrefixes.emplace(aPrefix);
  }
  mChanged.notify_all();
}

} // namespace gentianloom::standin
