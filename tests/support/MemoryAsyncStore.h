#ifndef GENTIANLOOM_SUPPORT_MEMORY_ASYNC_STORE_H
#define GENTIANLOOM_SUPPORT_MEMORY_ASYNC_STORE_H

#include "gentianloom/external/AsyncStore.h"
#include "gentianloom/net/Signal.h"

#include <list>
#include <map>
#include <string>
#include <vector>

namespace gentianloom {

/// How a MemoryAsyncStore handles calls.
enum class StoreMode
{
  Up,
  Down,            ///< calls fail without taking effect
  LosesResponses,  ///< writes take effect, but their responses are lost
  HistoryCompacted ///< the next watch reports that its revision is too old
};

/**
 * @brief An AsyncStore in memory that completes calls at once, for tests that run a loop.
 */
class MemoryAsyncStore final : public AsyncStore
{
public:
  std::int64_t Era() const override { return mStatedEra; }
  const StoreContact& Contact() const override { return mContact; }

  net::Task<Result<RangeResponse>> Range(std::string aPrefix) override
  {
    ++mRangeCalls;
    if (!Begin()) {
      co_return Failure();
    }
    mStatedEra = mEra;
    RangeResponse out;
    out.mEra = mEra;
    out.mRevision = mRevision;
    for (const auto& [key, it] : mItems) {
      if (key.starts_with(aPrefix)) {
        out.mEntries.push_back(it);
      }
    }
    co_return out;
  }

  net::Task<Result<RangeResponse>> RangeStale(std::string aPrefix) override
  {
    return Range(std::move(aPrefix));
  }

  net::Task<AsyncCommitResult> Commit(Transaction aTransaction) override
  {
    ++mCommitCalls;
    for (const auto& it : aTransaction.mWrites) {
      ++mCommitCallsByKey[it.mKey];
    }
    AsyncCommitResult out;
    out.mCommit.mEffect = Effect::NotApplied;
    out.mCommit.mError = Failure();
    if (!Begin()) {
      co_return out;
    }
    mStatedEra = mEra;
    for (const auto& it : aTransaction.mCompares) {
      const auto found = mItems.find(it.mKey);
      const auto revision = found == mItems.end() ? 0 : found->second.mModRevision;
      out.mCommit.mIsConflict = out.mCommit.mIsConflict || revision != it.mModRevision;
    }
    if (out.mCommit.mIsConflict) {
      for (const auto& it : aTransaction.mCompares) {
        const auto found = mItems.find(it.mKey);
        if (found != mItems.end()) {
          out.mCurrent.push_back(found->second);
        }
      }
      co_return out;
    }
    for (const auto& it : aTransaction.mWrites) {
      Put(it.mKey, it.mValue);
    }
    out.mCommit.mEffect = mMode == StoreMode::LosesResponses ? Effect::Unknown : Effect::Applied;
    out.mCommit.mRevision = mRevision;
    co_return out;
  }

  net::Task<Result<WatchResponse>> Watch(std::string aPrefix,
                                         Revision aAfter,
                                         Millis aWait) override
  {
    ++mWatchCalls;
    mContact.OnCall(mClock->Now());
    if (mMode == StoreMode::Down) {
      mContact.OnFailure();
      co_return Failure();
    }
    const bool isNewEra = mStatedEra != mEra;
    mStatedEra = mEra;
    WatchResponse out;
    out.mIsTooOld = mMode == StoreMode::HistoryCompacted;
    if (out.mIsTooOld) {
      mMode = StoreMode::Up;
    }
    out.mRevision = mRevision;
    for (const auto& it : mHistory) {
      if (it.mEntry.mModRevision > aAfter && it.mEntry.mKey.starts_with(aPrefix)) {
        out.mEvents.push_back(it);
      }
    }
    out.mEra = mEra;
    if (out.mEvents.empty() && !out.mIsTooOld && !isNewEra && mLoop != nullptr) {
      const auto it = mWaiting.emplace(mWaiting.end(), *mLoop);
      co_await it->WaitFor(aWait);
      mWaiting.erase(it);
    }
    mContact.OnAnswer(mClock->Now());
    co_return out;
  }

  net::Task<Result<LeaseId>> GrantLease(Millis) override { co_return LeaseId{ 1 }; }
  net::Task<Result<bool>> RenewLease(LeaseId) override { co_return true; }
  net::Task<Result<void>> RevokeLease(LeaseId) override { co_return success(); }

  /// @brief Writes a value and notifies the waiting watches.
  void Put(const std::string& aKey, const std::string& aValue)
  {
    ++mRevision;
    auto& it = mItems[aKey];
    it.mCreateRevision = it.mKey.empty() ? mRevision : it.mCreateRevision;
    it.mKey = aKey;
    it.mValue = aValue;
    it.mModRevision = mRevision;
    mHistory.push_back({ it, false });
    NotifyWatch();
  }

  /// @brief Deletes a key and notifies the waiting watches.
  void Remove(const std::string& aKey)
  {
    ++mRevision;
    mItems.erase(aKey);
    mHistory.push_back({ { aKey, "", 0, mRevision, 0 }, true });
    NotifyWatch();
  }

  /// @brief Sets the clock by which Contact() judges; that of the system unless it is set.
  void SetClock(const Clock& aClock) { mClock = &aClock; }

  /// @brief Makes watches without events wait for a change on a loop.
  void EnableWaiting(net::Loop& aLoop) { mLoop = &aLoop; }

  /// @brief Sets the mode of further calls, and wakes the waiting watches.
  void SetMode(StoreMode aMode)
  {
    mMode = aMode;
    NotifyWatch();
  }

  StoreMode mMode = StoreMode::Up;
  std::map<std::string, KeyValue> mItems;
  std::vector<WatchEvent> mHistory;
  Revision mRevision = 1;
  std::int64_t mEra = 1; ///< known to the client with the next response
  int mRangeCalls = 0;   ///< number of calls so far, also of failed ones
  int mCommitCalls = 0;
  std::map<std::string, int> mCommitCallsByKey; ///< by each key that a call was to write
  int mWatchCalls = 0;

private:
  /// Notes a call that ends at once. Returns whether the store answers it.
  bool Begin()
  {
    mContact.OnCall(mClock->Now());
    if (mMode == StoreMode::Down) {
      mContact.OnFailure();
      return false;
    }
    mContact.OnAnswer(mClock->Now());
    return true;
  }

  void NotifyWatch()
  {
    for (auto& it : mWaiting) {
      it.Notify();
    }
  }

  net::Loop* mLoop = nullptr; ///< set: watches wait
  SystemClock mSystemClock;
  const Clock* mClock = &mSystemClock;
  StoreContact mContact;
  std::list<net::Signal> mWaiting;
  std::int64_t mStatedEra = 0;

  static Error Failure()
  {
    return MakeError(ErrorCode::PlatformUnavailable, Step::GrantRead, "store", "down");
  }
};

} // namespace gentianloom

#endif
