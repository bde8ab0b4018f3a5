#include "gentianloom/budget/RightsDuty.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/base/Jitter.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/membership/InstanceDirectory.h"

// The part of RightsDuty that closes the rights of a predecessor on the same instance.

namespace gentianloom {

/// Looks once for what tells when the predecessor ended; unset if the service does not answer.
net::Task<std::optional<PredecessorSigns>> RightsDuty::LookForPredecessor(std::string aIncarnation)
{
  if (mPredecessor) {
    co_return mPredecessor;
  }
  std::string key(kInstancePrefix);
  key += mOwner.mInstance;
  const auto range = co_await mStore.Range(std::move(key));
  if (!range) {
    NoteStore(false, ToString(range.error()));
    co_return std::nullopt;
  }
  PredecessorSigns out{ mOwner.mBoot, Millis(0), mStartedWallTime, false };
  out.mStartedAt = std::chrono::duration_cast<Millis>(mStartedAt.time_since_epoch());
  for (const auto& it : range.value().mEntries) {
    const auto record = ParseInstanceRecord(it.mValue);
    out.mLeaseIsAlive =
      out.mLeaseIsAlive || (record && record.value().mIncarnation == aIncarnation);
  }
  mPredecessor = out;
  co_return out;
}

/// Closes the rights of a predecessor, shard by shard. Returns whether nothing of it is left.
net::Task<bool> RightsDuty::TakeOver()
{
  for (bool goesOn = true; goesOn;) {
    if (!mIsKnown) {
      const bool isRead = co_await ReadAll();
      if (!isRead) {
        co_return false;
      }
    }
    const auto report = mKnownReport.mReport;
    if (!report || report->mIncarnation == mOwner.mIncarnation) {
      co_return true;
    }
    const auto signs = co_await LookForPredecessor(report->mIncarnation);
    if (!signs) {
      co_return false;
    }
    const auto shard = NextShardOf(report->mIncarnation);
    if (shard) {
      goesOn = co_await CloseShard(*shard, *report, EndedWithinCaps(*report, *signs));
    } else {
      goesOn = co_await ReplaceReport();
    }
  }
  co_return false;
}

/// A shard that the predecessor wrote. All instances may start at once, so each begins elsewhere.
std::optional<int> RightsDuty::NextShardOf(const std::string& aIncarnation) const
{
  std::vector<int> open;
  for (const auto& [shard, known] : mKnown) {
    if (known.mRecord.mWriters.contains(aIncarnation)) {
      open.push_back(shard);
    }
  }
  if (open.empty()) {
    return std::nullopt;
  }
  return open[StableHash(mOwner.mInstance) % open.size()];
}

/// Closes one shard of a predecessor. Returns whether to go on at once.
net::Task<bool> RightsDuty::CloseShard(int aShard, UsageReport aPredecessor, bool aIsWithinCaps)
{
  const auto& known = mKnown.at(aShard);
  auto record = known.mRecord;
  const auto freed = FoldPredecessor(record, aPredecessor, aIsWithinCaps);
  ++record.mCommits;
  Transaction transaction;
  transaction.mCompares.push_back({ ShardKey(aShard), known.mRevision });
  transaction.mWrites.push_back({ ShardKey(aShard), ShardText(record) });
  const auto answer = co_await mStore.Commit(std::move(transaction));
  if (answer.mCommit.mEffect == Effect::Applied) {
    LogPredecessor(aPredecessor, aShard, aIsWithinCaps, freed);
    mKnown[aShard] = { answer.mCommit.mRevision, std::move(record) };
  }
  const bool goesOn = co_await TakeOverAnswer(answer);
  co_return goesOn;
}

/// Puts this incarnation's report in the place of a predecessor's that is closed everywhere.
net::Task<bool> RightsDuty::ReplaceReport()
{
  const auto report = mCaps.Plan(mLedger.Holdings(), mClock.Now(), mClock.WallTime());
  Transaction transaction;
  AddReport(transaction, report);
  const auto answer = co_await mStore.Commit(std::move(transaction));
  if (answer.mCommit.mEffect == Effect::Applied) {
    mCaps.OnTook(report);
    mKnownReport = { answer.mCommit.mRevision, report };
  } else if (answer.mCommit.mEffect == Effect::NotApplied) {
    mCaps.OnDidNot(report);
  }
  const bool goesOn = co_await TakeOverAnswer(answer);
  co_return goesOn;
}

/// Takes the answer to a write of the take-over. Returns whether to go on at once.
net::Task<bool> RightsDuty::TakeOverAnswer(AsyncCommitResult aAnswer)
{
  const bool took = aAnswer.mCommit.mEffect == Effect::Applied;
  const bool isConflict = aAnswer.mCommit.mIsConflict;
  NoteStore(took || isConflict, aAnswer.mCommit.mError.mText);
  if (isConflict) {
    OnConflict(aAnswer.mCurrent);
    const auto pause = std::chrono::duration_cast<Micros>(kConflictPause * Jitter());
    co_await net::Signal::Sleep(mLoop, pause);
  } else if (!took) {
    mIsKnown = false;
  }
  co_return took || isConflict;
}

void RightsDuty::LogPredecessor(const UsageReport& aPredecessor,
                                int aShard,
                                bool aIsWithinCaps,
                                Tokens aFreed) const
{
  const auto signs = mPredecessor.value_or(PredecessorSigns{});
  LogChange(
    LogLevel::Info,
    "budget",
    "the rights of a predecessor are closed",
    { { "predecessor", aPredecessor.mIncarnation },
      { "shard", std::to_string(aShard) },
      { "within_caps", aIsWithinCaps ? "yes" : "no" },
      { "ran_for_ms", std::to_string((signs.mStartedAt - aPredecessor.mReportedAt).count()) },
      { "wall_ms", std::to_string((signs.mWallTime - aPredecessor.mWallTime).count()) },
      { "wall_steady", aPredecessor.mIsWallClockSteady ? "yes" : "no" },
      { "lease_alive", signs.mLeaseIsAlive ? "yes" : "no" },
      { "freed", std::to_string(aFreed) } });
}

} // namespace gentianloom
