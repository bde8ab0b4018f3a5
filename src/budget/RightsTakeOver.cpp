#include "gentianloom/budget/RightsDuty.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/base/Jitter.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/membership/InstanceDirectory.h"

// The part of RightsDuty that closes the rights of a predecessor on the same instance.

namespace gentianloom {

namespace {

/// Pause after a conflict, so that two routers do not conflict again and again.
constexpr Micros kConflictPause{ 4'000 };

} // namespace

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
    goesOn = co_await CloseShardOf(*report, EndedWithinCaps(*report, *signs));
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

/// Closes one shard, or if none is left replaces the report. Returns whether to go on at once.
net::Task<bool> RightsDuty::CloseShardOf(UsageReport aPredecessor, bool aIsWithinCaps)
{
  const auto shard = NextShardOf(aPredecessor.mIncarnation);
  Transaction transaction;
  ShardRecord record;
  Tokens freed = 0;
  if (shard) {
    const auto& known = mKnown.at(*shard);
    record = known.mRecord;
    freed = FoldPredecessor(record, aPredecessor, aIsWithinCaps);
    ++record.mCommits;
    transaction.mCompares.push_back({ ShardKey(*shard), known.mRevision });
    transaction.mWrites.push_back({ ShardKey(*shard), ShardText(record) });
  } else {
    AddReport(transaction, mCaps.Plan(mLedger.Holdings(), mClock.Now(), mClock.WallTime()));
  }
  const auto answer = co_await mStore.Commit(std::move(transaction));
  const bool took = answer.mCommit.mEffect == Effect::TookEffect;
  NoteStore(took || answer.mCommit.mConflict, answer.mCommit.mError.mText);
  if (took && shard) {
    LogPredecessor(aPredecessor, *shard, aIsWithinCaps, freed);
    mKnown[*shard] = { answer.mCommit.mRevision, std::move(record) };
  } else if (answer.mCommit.mConflict) {
    OnConflict(answer.mCurrent);
    const auto pause = std::chrono::duration_cast<Micros>(kConflictPause * Jitter());
    co_await net::Signal::Sleep(mLoop, pause);
  } else {
    mIsKnown = false; // read again: also after the report was replaced
  }
  co_return took || answer.mCommit.mConflict;
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
