#ifndef GENTIANLOOM_TESTS_STANDIN_MEMORY_STORE_H
#define GENTIANLOOM_TESTS_STANDIN_MEMORY_STORE_H

#include "gentianloom/external/KeyValueStore.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <set>

namespace gentianloom::standin {

/**
 * @brief A key-value service in memory with watches and with leases that expire by a given clock.
 *
 * Used by the stand-in process and, directly, by tests.
 */
class MemoryStore final : public KeyValueStore
{
public:
  explicit MemoryStore(const Clock& aClock)
    : mClock(aClock)
  {
  }

  Result<RangeResponse> Range(std::string_view aKey, bool aIsPrefix, Step aStep) override;
  CommitResult Commit(const Transaction& aTransaction, Step aStep) override;
  Result<LeaseId> GrantLease(std::chrono::seconds aTtl, Step aStep) override;
  Result<std::chrono::seconds> KeepAlive(LeaseId aLease, Step aStep) override;
  Result<void> RevokeLease(LeaseId aLease, Step aStep) override;
  Result<void> Watch(std::string_view aPrefix,
                     Revision aFrom,
                     Millis aTimeout,
                     const std::function<bool(const std::vector<WatchEvent>&, Revision)>& aOnEvents,
                     Step aStep) override;
  void StopWatches(std::string_view aPrefix) override;

private:
  struct Lease
  {
    std::chrono::seconds mTtl{};
    TimePoint mExpires{};
  };
  struct Change
  {
    Revision mRevision = 0;
    WatchEvent mEvent;
  };

  void ExpireLocked();
  void DeleteLocked(const std::string& aKey);
  void PutLocked(const Write& aWrite);
  std::vector<WatchEvent> ChangesLocked(std::string_view aPrefix, Revision aFrom) const;

  const Clock& mClock;
  std::set<std::string, std::less<>> mStoppedPrefixes;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, KeyValue, std::less<>> mEntries;
  std::map<LeaseId, Lease> mLeases;
  std::deque<Change> mHistory;
  Revision mRevision = 1;
  LeaseId mNextLease = 1000;
};

} // namespace gentianloom::standin

#endif
