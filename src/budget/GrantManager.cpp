#include "gentianloom/budget/GrantManager.h"

#include "gentianloom/base/Jitter.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/budget/StoreResult.h"
#include "gentianloom/net/Backoff.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// Maximum number of shards in one transaction. Together with the usage report this makes 16 keys,
/// each with a condition and a write, and a transaction may have 32 entries.
constexpr std::size_t kMaxShards = 15;
/// Maximum number of attempts of one write; a conflict leads to the next attempt.
constexpr int kMaxWriteAttempts = 4;
/// Pause before the take-over from a predecessor is retried, and the longest one while the
/// key-value service is unavailable.
constexpr Millis kTakeOverPause{ 60 };
constexpr Millis kMaxTakeOverPause{ 960 };
/// Limit for the whole fleet on the writes per second, and likewise on the reads per second, while
/// no request waits.
constexpr std::int64_t kFleetIdleCallsPerSecond = 25;
/// Pause between attempts to return all tokens.
constexpr Millis kClosePause{ 20 };
/// A process that starts assumes that the last outage ended this long ago.
constexpr Millis kInitialTimeSinceOutage{ 10'000 };
/// Maximum of the back-off after failed calls to the key-value service.
constexpr Millis kMaxBackOff{ 300 };
/// Limits of the time between rounds while no request waits.
constexpr Millis kMinIdleInterval{ 1'000 };
constexpr Millis kMaxIdleInterval{ 2'000 };
/// Shortest pause between rounds.
constexpr Millis kMinRoundPause{ 1 };
/// Longest sleep between rounds.
constexpr Millis kMaxSleep{ 1'000 };

/// Returns the first shards of a set, at most @p aLimit.
std::set<int> TakeFirst(const std::set<int>& aShards, std::size_t aLimit)
{
  std::set<int> out;
  for (const auto it : aShards) {
    if (out.size() < aLimit) {
      out.insert(it);
    }
  }
  return out;
}

} // namespace

GrantManager::GrantManager(net::Loop& aLoop,
                           AsyncStore& aStore,
                           const BudgetSettings& aSettings,
                           HolderIdentity aIdentity,
                           GrantDependencies aDependencies,
                           const Clock& aClock,
                           Metrics& aMetrics)
  : mLoop(aLoop)
  , mStore(aStore)
  , mSettings(aSettings)
  , mIdentity(std::move(aIdentity))
  , mDependencies(std::move(aDependencies))
  , mClock(aClock)
  , mMetrics(aMetrics)
  , mPolicy(GrantPolicy::Create(aSettings))
  , mLedger(mIdentity.mIncarnation, *mPolicy)
  , mCaps(mIdentity.mIncarnation, mIdentity.mBoot, UsageCapSettings{})
  , mPacer(aSettings.mCommitInterval, kMaxBackOff)
  , mWake(aLoop)
{
}

void GrantManager::Start()
{
  mStartedAt = mClock.Now();
  mStartedWallTime = mClock.WallTime();
  mFailedAt = mStartedAt - kInitialTimeSinceOutage;
  mIsRunning = true;
  net::Start(mLoop, "rights", Run());
}

void GrantManager::Wake()
{
  mIsUrgent = true;
  mWake.Notify();
}

ReserveAnswer GrantManager::Reserve(const std::string& aBudget,
                                    Tokens aTokens,
                                    const std::shared_ptr<net::Signal>& aWaiter,
                                    Micros aMaxWait)
{
  const auto now = mClock.Now();
  if (mIsReplaced || mIsClosing) {
    return ReserveAnswer::Unavailable;
  }
  Tokens usableTokens = 0;
  const auto holding = mLedger.Holdings().find(aBudget);
  if (holding != mLedger.Holdings().end()) {
    usableTokens = mCaps.UsableTokens(aBudget, holding->second, now);
    if (usableTokens < aTokens && mPacer.IsStoreUnavailable()) {
      const auto answer = DecideReserveWait(holding->second, aTokens, aMaxWait, now);
      if (answer == ReserveAnswer::Wait) {
        mWaiters.push_back(aWaiter);
      }
      if (answer) {
        return *answer;
      }
    }
  }
  const auto answer = mLedger.Reserve(aBudget, aTokens, now, usableTokens);
  if (answer == ReserveAnswer::Wait) {
    if (mPacer.IsStoreUnavailable() || !IsSettled() || IsUnreadable(aBudget)) {
      // No tokens can be drawn, and the usable tokens do not cover the request.
      mLedger.RefuseWaiting(aBudget, now, false);
      return ReserveAnswer::Unavailable;
    }
    mWaiters.push_back(aWaiter);
    Wake();
  }
  return answer == ReserveAnswer::Exhausted &&
             (mPacer.IsStoreUnavailable() || IsUnreadable(aBudget))
           ? ReserveAnswer::Unavailable
           : answer;
}

/// Answers a request that exceeds the cap while the key-value service is unavailable. Returns
/// nothing if the holding does not cover the request either, or if no report was stored yet.
std::optional<ReserveAnswer> GrantManager::DecideReserveWait(const Holding& aHolding,
                                                             Tokens aTokens,
                                                             Micros aMaxWait,
                                                             TimePoint aNow)
{
  const auto timeUntilOpen = mCaps.TimeUntilReserveOpens(aNow);
  if (aHolding.Free() < aTokens || !timeUntilOpen) {
    return std::nullopt;
  }
  if (*timeUntilOpen > aMaxWait) {
    return ReserveAnswer::Unavailable;
  }
  if (!mNotifiesWhenReserveOpens) {
    mNotifiesWhenReserveOpens = true;
    net::Start(mLoop, "reserve", NotifyWhenReserveOpens(*timeUntilOpen + kMinRoundPause));
  }
  return ReserveAnswer::Wait;
}

net::Task<void> GrantManager::NotifyWhenReserveOpens(Micros aTime)
{
  co_await net::Signal::Sleep(mLoop, aTime);
  mNotifiesWhenReserveOpens = false;
  NotifyWaiters();
}

void GrantManager::Settle(const std::string& aBudget, Tokens aReserved, Tokens aUsed)
{
  // Each attempt of a caller has its own request identifier, so no other run bills the same work.
  mLedger.Settle({ "", aBudget, "", "", DaysSinceEpoch(mClock.WallTime()), aUsed }, aReserved);
}

net::Task<void> GrantManager::Run()
{
  net::Backoff backoff(kTakeOverPause, kMaxTakeOverPause);
  bool hasTakenOver = false;
  while (!mIsClosing && !hasTakenOver) {
    hasTakenOver = co_await TakeOver();
    mHasTakenOver = hasTakenOver;
    if (hasTakenOver) {
      break;
    }
    if (!mPacer.IsStoreUnavailable()) {
      backoff.Reset();
    }
    co_await net::Signal::Sleep(mLoop, backoff.Next());
  }
  while (!mIsClosing && !mIsReplaced) {
    mPacer.SetInterval(FleetInterval(
      mSettings.mCommitInterval, mDependencies.mInstanceCount(), mSettings.mFleetWritesPerSecond));
    const auto now = mClock.Now();
    auto at = mPacer.NextWrite(now, true);
    if (!mIsUrgent && !mPacer.IsStoreUnavailable()) {
      at = std::max(at, mRoundAt + IdleInterval());
    }
    if (at > now) {
      co_await mWake.WaitFor(std::min<Micros>(at - now, kMaxSleep));
      continue;
    }
    mIsUrgent = false;
    mRoundAt = now;
    co_await RunRound();
    // Rounds without a write must not starve other tasks of the loop.
    co_await net::Signal::Sleep(mLoop, kMinRoundPause);
  }
  mIsRunning = false;
}

/// Returns the time between rounds while no request waits. It grows with the size of the fleet,
/// which shares the key-value service.
Millis GrantManager::IdleInterval() const
{
  const auto needed =
    FleetInterval(kMinIdleInterval, mDependencies.mInstanceCount(), kFleetIdleCallsPerSecond);
  return std::min(needed, kMaxIdleInterval);
}

net::Task<void> GrantManager::RunRound()
{
  const auto now = mClock.Now();
  mLedger.HoldReserves(mDependencies.mBudgets(), now);
  mLedger.SetSecondsSinceOutage(std::chrono::duration<double>(now - mFailedAt).count());
  CheckEra();
  const bool isRestored = co_await RestoreAfterEraChange();
  if (!isRestored) {
    EndRound();
    co_return;
  }
  co_await RefreshCache();
  mCaps.SetReportInterval(IdleInterval());
  auto due = mLedger.DueShards(now);
  bool writes =
    !due.empty() || (!mLedger.Holdings().empty() && mCaps.IsDue(mLedger.Holdings(), now));
  while (writes) {
    const auto part = TakeFirst(due, kMaxShards);
    for (const auto it : part) {
      due.erase(it);
    }
    const bool isWritten = co_await Write(part, false);
    writes = isWritten && !due.empty();
  }
  EndRound();
}

void GrantManager::EndRound()
{
  const auto now = mClock.Now();
  for (const auto& [budget, holding] : mLedger.Holdings()) {
    if (holding.mWaitingTokens > 0 &&
        !mLedger.RefuseWaiting(budget, now, !mPacer.IsStoreUnavailable())) {
      mIsUrgent = true;
    }
  }
  ++mRounds;
  NotifyWaiters();
}

void GrantManager::NotifyWaiters()
{
  ++mNotifications;
  const auto waiters = std::exchange(mWaiters, {});
  for (const auto& it : waiters) {
    if (const auto signal = it.lock()) {
      signal->Notify();
    }
  }
}

void GrantManager::AddReport(Transaction& aTransaction, const UsageReport& aReport) const
{
  const auto key = UsageReportKey(mIdentity.mInstance);
  aTransaction.mCompares.push_back({ key, mCachedReport.mRevision });
  aTransaction.mWrites.push_back({ key, ToText(aReport) });
}

GrantManager::PlannedWrite GrantManager::Plan(const std::set<int>& aShards, bool aIsClosing)
{
  const PlanInput input{
    mClock.Now(), mClock.WallTime(), mDependencies.mConfiguredBudget, aIsClosing
  };
  const bool isSettled = IsSettled();
  PlannedWrite out;
  auto shards =
    mCachedReport.mReport ? mCachedReport.mReport->mShards : std::map<int, SeparateHoldings>();
  for (const auto it : aShards) {
    if (mUnreadableShards.contains(it)) {
      continue;
    }
    auto record = MakeFullShard(it);
    if (!isSettled || !mLedger.Reconcile(it, record) || mLedger.IsClosed(it)) {
      continue;
    }
    record.mEra = mEra;
    const auto batch = mLedger.Plan(it, record, input);
    auto own = SeparateHolder(record, mIdentity.mIncarnation);
    shards.erase(it);
    if (own) {
      shards[it] = std::move(*own);
    }
    out.mTransaction.mCompares.push_back({ ShardKey(it), mCachedShards[it].mRevision });
    out.mTransaction.mWrites.push_back({ ShardKey(it), SerializeShard(record) });
    out.mShards[it] = { batch, std::move(record) };
  }
  out.mReport = mCaps.Plan(mLedger.Holdings(), input.mNow, input.mWallTime);
  out.mReport.mShards = std::move(shards);
  out.mReport.mEra = mEra;
  AddReport(out.mTransaction, out.mReport);
  return out;
}

/// Writes shards and the usage report in one transaction, and retries it after conflicts.
net::Task<bool> GrantManager::Write(std::set<int> aShards, bool aIsClosing)
{
  aShards = TakeFirst(aShards, kMaxShards);
  for (int n = 0; n < kMaxWriteAttempts; ++n) {
    CheckEra();
    if (!mIsCacheValid) {
      const bool isRead = co_await ReadAll();
      if (!isRead) {
        co_return false;
      }
    }
    if (mKnownBefore) {
      co_return false; // the next round writes it back first
    }
    const auto& stored = mCachedReport.mReport;
    if (stored && stored->mIncarnation != mIdentity.mIncarnation) {
      mIsReplaced = true;
      LogChange(LogLevel::Error,
                "budget",
                "another process uses this instance's name; no more tokens are used here",
                { { "incarnation", stored->mIncarnation } });
      co_return false;
    }
    auto planned = Plan(aShards, aIsClosing);
    mPacer.OnWrite(mClock.Now());
    mMetrics.CounterOf("gentianloom_budget_writes_total").Add();
    auto transaction = planned.mTransaction;
    const auto answer = co_await mStore.Commit(std::move(transaction));
    const bool isRoundOver = OnCommitAnswer(planned, answer);
    if (isRoundOver) {
      co_return answer.mCommit.mEffect == Effect::Applied;
    }
    co_await net::Signal::Sleep(
      mLoop, std::chrono::duration_cast<Micros>(kConflictPause * (1 + n) * Jitter()));
  }
  co_return false;
}

/// Applies the answer to a transaction to the ledger, the caps and the cache.
bool GrantManager::OnCommitAnswer(PlannedWrite& aPlanned, const AsyncCommitResult& aAnswer)
{
  if (aAnswer.mCommit.mEffect == Effect::Unknown) {
    // The next round reads the records, which show whether the transaction took effect.
    mIsCacheValid = false;
    OnStoreResult(false, ToString(aAnswer.mCommit.mError));
    return true;
  }
  const bool isCommitted = aAnswer.mCommit.mEffect == Effect::Applied;
  for (auto& [shard, it] : aPlanned.mShards) {
    isCommitted ? mLedger.OnCommitted(shard, it.mBatch) : mLedger.OnNotCommitted(shard, it.mBatch);
    if (isCommitted) {
      mCachedShards[shard] = { aAnswer.mCommit.mRevision, std::move(it.mRecord) };
    }
  }
  if (isCommitted) {
    mCaps.OnCommitted(aPlanned.mReport);
    mCachedReport = { aAnswer.mCommit.mRevision, aPlanned.mReport };
    OnStoreResult(true, "");
    LogHoldings();
    return true;
  }
  mCaps.OnNotCommitted(aPlanned.mReport);
  if (!aAnswer.mCommit.mIsConflict) {
    OnStoreResult(false, ToString(aAnswer.mCommit.mError));
    return true;
  }
  mMetrics.CounterOf("gentianloom_budget_conflicts_total").Add();
  if (mStore.Era() != mEra) {
    return true; // the entries are of an older copy: what is known here has to be written back
  }
  OnConflict(aAnswer.mCurrent);
  return false;
}

void GrantManager::OnStoreResult(bool aSucceeded, const std::string& aError)
{
  const auto now = mClock.Now();
  if (!aSucceeded) {
    mUnavailableSince = mPacer.IsStoreUnavailable() ? mUnavailableSince : now;
    mFailedAt = now;
  }
  RecordStoreResult(mPacer, mMetrics, aSucceeded, aError, now);
}

Millis GrantManager::StoreUnavailableFor() const
{
  return mPacer.IsStoreUnavailable()
           ? std::chrono::duration_cast<Millis>(mClock.Now() - mUnavailableSince)
           : Millis(0);
}

void GrantManager::LogHoldings() const
{
  std::string text;
  for (const auto& [name, it] : mLedger.Holdings()) {
    text += text.empty() ? "" : ", ";
    text += name + " granted=" + std::to_string(it.mGranted - it.mReturned) +
            " spent=" + std::to_string(it.mSpent) + " free=" + std::to_string(it.Free()) +
            " left=" + std::to_string(it.mLastUnallocated) +
            " prepaid=" + std::to_string(mDependencies.mConfiguredBudget(name).mPrepaid);
  }
  LogChange(LogLevel::Info, "budget", "rights were written", { { "budgets", text } });
}

net::Task<void> GrantManager::Close(TimePoint aDeadline)
{
  mIsClosing = true;
  mWake.Notify();
  while (mIsRunning && mClock.Now() < aDeadline) {
    co_await net::Signal::Sleep(mLoop, kClosePause);
  }
  while (mClock.Now() < aDeadline) {
    const auto open = mLedger.OpenShards();
    if (open.empty()) {
      co_return;
    }
    const bool isWritten = co_await Write(open, true);
    if (!isWritten) {
      co_await net::Signal::Sleep(mLoop, kClosePause);
    }
  }
  LogChange(LogLevel::Error,
            "budget",
            "unused tokens could not be returned; they stay in doubt until an operator "
            "releases them",
            { { "incarnation", mIdentity.mIncarnation } });
}

} // namespace gentianloom
