#include "gentianloom/base/Jitter.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/budget/GrantManager.h"

#include <algorithm>

// The part of GrantManager that handles a key-value service that came back from an older copy: what
// was drawn since the copy is in nobody's record, and others could draw the same tokens.

namespace gentianloom {

namespace {

/// Time in which all instances notice a new era and write back what they know, before anyone draws
/// or returns tokens again.
constexpr Millis kEraSettleTime{ 4'000 };
/// Maximum number of shards in one transaction, besides the usage report.
constexpr std::size_t kMaxRestoredShards = 15;
/// Maximum number of transactions in one round.
constexpr int kMaxRestoreAttempts = 8;

} // namespace

/// Keeps what was known before a new era, and drops all cached revisions, which are given out a
/// second time.
void GrantManager::CheckEra()
{
  const auto era = mStore.Era();
  if (era == mEra) {
    return;
  }
  const bool knowsAny = !mCachedShards.empty() || mCachedReport.mReport.has_value();
  if (knowsAny && !mKnownBefore) {
    mKnownBefore = KnownState{ mCachedShards, mCachedReport };
  }
  LogChange(LogLevel::Warning,
            "budget",
            "the key-value service has a new era; nothing is drawn until its records are restored",
            { { "era", std::to_string(era) },
              { "previous_era", std::to_string(mEra) },
              { "known_shards", std::to_string(mCachedShards.size()) } });
  mEra = era;
  mEraSeenAt = mClock.Now();
  mIsCacheValid = false;
}

/// Whether tokens may be drawn and returned: all instances have had time to write back what they
/// know, or one that waited for it has already written in this era, or there is no record at all.
bool GrantManager::IsSettled() const
{
  if (mKnownBefore) {
    return false;
  }
  const bool isWrittenInEra =
    std::any_of(mCachedShards.begin(), mCachedShards.end(), [this](const auto& it) {
      return it.second.mRecord.mEra == mEra;
    });
  const bool isEmpty = mIsCacheValid && mUnreadableShards.empty() &&
                       std::none_of(mCachedShards.begin(), mCachedShards.end(), [](const auto& it) {
                         return it.second.mRevision != 0;
                       });
  return isWrittenInEra || isEmpty || mClock.Now() - mEraSeenAt >= kEraSettleTime;
}

/// Returns a transaction that writes back what is known better here than in the store; an empty one
/// if there is nothing. A state with more writes is a later one of the same history.
Transaction GrantManager::PlanRestore(std::map<int, CachedShard>& aRestored) const
{
  Transaction out;
  for (const auto& [shard, known] : mKnownBefore->mShards) {
    const auto it = mCachedShards.find(shard);
    const auto current = it == mCachedShards.end() ? CachedShard{} : it->second;
    const bool isWrittenInEra = current.mRevision != 0 && current.mRecord.mEra == mEra;
    if (isWrittenInEra || known.mRecord.mCommits <= current.mRecord.mCommits ||
        aRestored.size() == kMaxRestoredShards) {
      continue;
    }
    out.mCompares.push_back({ ShardKey(shard), current.mRevision });
    out.mWrites.push_back({ ShardKey(shard), SerializeShard(known.mRecord) });
    aRestored[shard] = known;
  }
  const auto& report = mKnownBefore->mReport.mReport;
  const auto& current = mCachedReport.mReport;
  const bool isOwn = report && report->mIncarnation == mIdentity.mIncarnation;
  if (isOwn && (!current || ToText(*current) != ToText(*report))) {
    AddReport(out, *report);
  }
  return out;
}

net::Task<bool> GrantManager::RestoreAfterEraChange()
{
  for (int n = 0; mKnownBefore && n < kMaxRestoreAttempts; ++n) {
    if (!mIsCacheValid) {
      const bool isRead = co_await ReadAll();
      if (!isRead) {
        co_return false;
      }
    }
    std::map<int, CachedShard> restored;
    auto transaction = PlanRestore(restored);
    if (transaction.mWrites.empty()) {
      mKnownBefore.reset();
      break;
    }
    const bool writesReport = transaction.mWrites.size() > restored.size();
    const auto answer = co_await mStore.Commit(std::move(transaction));
    const bool isCommitted = answer.mCommit.mEffect == Effect::Applied;
    OnStoreResult(isCommitted || answer.mCommit.mIsConflict, ToString(answer.mCommit.mError));
    if (isCommitted) {
      for (auto& [shard, it] : restored) {
        it.mRevision = answer.mCommit.mRevision;
        mCachedShards[shard] = it;
      }
      if (writesReport) {
        mCachedReport = { answer.mCommit.mRevision, mKnownBefore->mReport.mReport };
      }
      LogChange(LogLevel::Info,
                "budget",
                "records were written back after the key-value service came back from a copy",
                { { "era", std::to_string(mEra) },
                  { "shards", std::to_string(restored.size()) },
                  { "report", writesReport ? "yes" : "no" } });
      continue;
    }
    mIsCacheValid = false;
    if (!answer.mCommit.mIsConflict) {
      co_return false;
    }
    const auto pause = std::chrono::duration_cast<Micros>(kConflictPause * (1 + n) * Jitter());
    co_await net::Signal::Sleep(mLoop, pause);
  }
  co_return !mKnownBefore.has_value();
}

} // namespace gentianloom
