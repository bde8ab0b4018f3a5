#include "gentianloom/budget/GrantManager.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/base/Jitter.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/membership/InstanceDirectory.h"

// The part of GrantManager that closes the holdings of a predecessor, that is an earlier process
// under the same instance name.

namespace gentianloom {

/// Collects the evidence of when the predecessor ended, and keeps it for further calls. Returns
/// nothing if the key-value service fails.
net::Task<std::optional<PredecessorEvidence>> GrantManager::ReadPredecessorEvidence(
  std::string aIncarnation)
{
  if (mPredecessorEvidence) {
    co_return mPredecessorEvidence;
  }
  const auto key = std::string(kInstancePrefix) + mIdentity.mInstance;
  const auto range = co_await mStore.Range(key);
  if (!range) {
    OnStoreResult(false, ToString(range.error()));
    co_return std::nullopt;
  }
  PredecessorEvidence out{ mIdentity.mBoot, Millis(0), mStartedWallTime, false, mEra };
  out.mStartedAt = std::chrono::duration_cast<Millis>(mStartedAt.time_since_epoch());
  if (const auto* const entry = FindEntry(range.value().mEntries, key)) {
    const auto record = ParseInstanceRecord(entry->mValue);
    out.mIsLeaseAlive = record && record.value().mIncarnation == aIncarnation;
  }
  mPredecessorEvidence = out;
  co_return out;
}

/// Closes the holdings of a predecessor, one shard in each transaction.
net::Task<bool> GrantManager::TakeOver()
{
  for (bool continues = true; continues;) {
    CheckEra();
    if (!mIsCacheValid) {
      const bool isRead = co_await ReadAll();
      if (!isRead) {
        co_return false;
      }
    }
    const auto report = mCachedReport.mReport;
    if (!report || report->mIncarnation == mIdentity.mIncarnation) {
      co_return true;
    }
    if (!IsSettled()) {
      co_return false;
    }
    const auto evidence = co_await ReadPredecessorEvidence(report->mIncarnation);
    if (!evidence) {
      co_return false;
    }
    const auto shard = PickPredecessorShard(report->mIncarnation);
    if (shard) {
      continues = co_await CloseShard(*shard, *report, EndedWithinCaps(*report, *evidence));
    } else {
      continues = co_await ReplaceReport();
    }
  }
  co_return false;
}

/// Returns a shard that lists the predecessor as a writer. The choice depends on the instance,
/// because all instances may start at the same time and would conflict on one shard.
std::optional<int> GrantManager::PickPredecessorShard(const std::string& aIncarnation) const
{
  std::vector<int> open;
  for (const auto& [shard, known] : mCachedShards) {
    // Older versions keep their entries in the shard.
    if (known.mRecord.mWriters.contains(aIncarnation) ||
        mCachedReport.mReport->mShards.contains(shard)) {
      open.push_back(shard);
    }
  }
  if (open.empty()) {
    return std::nullopt;
  }
  return open[StableHash(mIdentity.mInstance) % open.size()];
}

/// Closes the predecessor's holdings in one shard, and takes them out of its usage report.
net::Task<bool> GrantManager::CloseShard(int aShard, UsageReport aPredecessor, bool aIsWithinCaps)
{
  auto record = MakeFullShard(aShard);
  const auto freed = ClosePredecessor(record, aPredecessor, aIsWithinCaps);
  ++record.mCommits;
  record.mEra = mEra;
  auto report = aPredecessor;
  report.mShards.erase(aShard);
  Transaction transaction;
  transaction.mCompares.push_back({ ShardKey(aShard), mCachedShards.at(aShard).mRevision });
  transaction.mWrites.push_back({ ShardKey(aShard), SerializeShard(record) });
  AddReport(transaction, report);
  const auto answer = co_await mStore.Commit(std::move(transaction));
  if (answer.mCommit.mEffect == Effect::Applied) {
    LogPredecessor(aPredecessor, aShard, aIsWithinCaps, freed);
    mCachedShards[aShard] = { answer.mCommit.mRevision, std::move(record) };
    mCachedReport = { answer.mCommit.mRevision, std::move(report) };
  }
  const bool continues = co_await OnTakeOverAnswer(answer);
  co_return continues;
}

/// Replaces the predecessor's usage report by this incarnation's, after all shards of the
/// predecessor are closed.
net::Task<bool> GrantManager::ReplaceReport()
{
  auto report = mCaps.Plan(mLedger.Holdings(), mClock.Now(), mClock.WallTime());
  report.mEra = mEra;
  Transaction transaction;
  AddReport(transaction, report);
  const auto answer = co_await mStore.Commit(std::move(transaction));
  if (answer.mCommit.mEffect == Effect::Applied) {
    mCaps.OnCommitted(report);
    mCachedReport = { answer.mCommit.mRevision, report };
  } else if (answer.mCommit.mEffect == Effect::NotApplied) {
    mCaps.OnNotCommitted(report);
  }
  const bool continues = co_await OnTakeOverAnswer(answer);
  co_return continues;
}

/// Handles the answer to a write of the take-over; pauses after a conflict.
net::Task<bool> GrantManager::OnTakeOverAnswer(AsyncCommitResult aAnswer)
{
  const bool isCommitted = aAnswer.mCommit.mEffect == Effect::Applied;
  const bool isConflict = aAnswer.mCommit.mIsConflict;
  OnStoreResult(isCommitted || isConflict, aAnswer.mCommit.mError.mText);
  if (isConflict) {
    OnConflict(aAnswer.mCurrent);
    const auto pause = std::chrono::duration_cast<Micros>(kConflictPause * Jitter());
    co_await net::Signal::Sleep(mLoop, pause);
  } else if (!isCommitted) {
    mIsCacheValid = false;
  }
  co_return isCommitted || isConflict;
}

/// Logs that a shard was closed, and on which evidence the number of freed tokens was decided.
void GrantManager::LogPredecessor(const UsageReport& aPredecessor,
                                  int aShard,
                                  bool aIsWithinCaps,
                                  Tokens aFreed) const
{
  const auto evidence = mPredecessorEvidence.value_or(PredecessorEvidence{});
  LogChange(
    LogLevel::Info,
    "budget",
    "the holdings of a predecessor were closed",
    { { "predecessor", aPredecessor.mIncarnation },
      { "shard", std::to_string(aShard) },
      { "within_caps", aIsWithinCaps ? "yes" : "no" },
      { "ran_for_ms", std::to_string((evidence.mStartedAt - aPredecessor.mReportedAt).count()) },
      { "wall_ms", std::to_string((evidence.mWallTime - aPredecessor.mWallTime).count()) },
      { "wall_steady", aPredecessor.mIsWallClockSteady ? "yes" : "no" },
      { "lease_alive", evidence.mIsLeaseAlive ? "yes" : "no" },
      { "freed", std::to_string(aFreed) } });
}

} // namespace gentianloom
