#include "gentianloom/budget/RightsDuty.h"

#include "gentianloom/base/Jitter.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/budget/StoreNote.h"
#include "gentianloom/net/HttpHead.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// Shards in one transaction, beside the usage report: each takes a condition and a write of the
/// 32 entries that one may have.
constexpr std::size_t kMostShards = 15;
/// Tries of one round against conflicts.
constexpr int kMostConflicts = 4;
/// Pause before rights of a predecessor are looked at again.
constexpr Millis kTakeOverPause{ 60 };
/// Regular writes, and regular reads, a second in the whole fleet.
constexpr std::int64_t kFleetRegularCalls = 25;
/// Pause between tries to return all rights.
constexpr Millis kClosePause{ 20 };
/// A process that starts has seen no outage: it counts as steady for so long.
constexpr Millis kSteadyAtStart{ 10'000 };
/// Longest pause before the key-value service is tried again.
constexpr Millis kLongestBackOff{ 300 };
/// Least and most time between rounds that no request waits for.
constexpr Millis kQuietEvery{ 1'000 };
constexpr Millis kMostQuiet{ 2'000 };
/// Shortest pause between rounds.
constexpr Millis kLeastPause{ 1 };
/// A request waits for the reserve to open for at most one part in so many of its time.
constexpr int kWaitShare = 3;
/// Longest sleep between rounds.
constexpr Millis kMostSleep{ 1'000 };
/// Common start of the keys of all shards.
constexpr std::string_view kShardPrefix = "/gentianloom/budget-shards/";

std::optional<int> ShardOfKey(std::string_view aKey)
{
  if (!aKey.starts_with(kShardPrefix)) {
    return std::nullopt;
  }
  const auto n = net::ParseNumber(aKey.substr(kShardPrefix.size()));
  return n ? std::optional(static_cast<int>(*n)) : std::nullopt;
}

std::set<int> FirstOf(const std::set<int>& aShards, std::size_t aMost)
{
  std::set<int> out;
  for (const auto it : aShards) {
    if (out.size() < aMost) {
      out.insert(it);
    }
  }
  return out;
}

} // namespace

RightsDuty::RightsDuty(net::Loop& aLoop,
                       AsyncStore& aStore,
                       const BudgetSettings& aSettings,
                       RightsOwner aOwner,
                       RightsLinks aLinks,
                       const Clock& aClock,
                       Metrics& aMetrics)
  : mLoop(aLoop)
  , mStore(aStore)
  , mSettings(aSettings)
  , mOwner(std::move(aOwner))
  , mLinks(std::move(aLinks))
  , mClock(aClock)
  , mMetrics(aMetrics)
  , mPolicy(GrantPolicy::Create(aSettings))
  , mLedger(mOwner.mIncarnation, *mPolicy)
  , mCaps(mOwner.mIncarnation, mOwner.mBoot, UsageCapSettings{})
  , mPacer(aSettings.mCommitInterval, kLongestBackOff)
  , mWake(aLoop)
{
}

void RightsDuty::Start()
{
  mStartedAt = mClock.Now();
  mStartedWallTime = mClock.WallTime();
  mFailedAt = mStartedAt - kSteadyAtStart;
  mIsRunning = true;
  net::Start(mLoop, "rights", Run());
}

void RightsDuty::Wake()
{
  mIsUrgent = true;
  mWake.Notify();
}

ReserveAnswer RightsDuty::Reserve(const std::string& aBudget,
                                  Tokens aTokens,
                                  const std::shared_ptr<net::Signal>& aWaiter,
                                  Micros aTimeLeft)
{
  const auto now = mClock.Now();
  if (mIsReplaced || mIsClosing) {
    return ReserveAnswer::Unavailable;
  }
  Tokens room = 0;
  const auto holding = mLedger.Holdings().find(aBudget);
  if (holding != mLedger.Holdings().end()) {
    room = mCaps.Room(aBudget, holding->second, now);
    if (room < aTokens && mPacer.IsAway()) {
      const auto answer = WaitForReserve(holding->second, aTokens, aTimeLeft, now);
      if (answer == ReserveAnswer::Wait) {
        mWaiters.push_back(aWaiter);
      }
      if (answer) {
        return *answer;
      }
    }
  }
  const auto answer = mLedger.Reserve(aBudget, aTokens, now, room);
  if (answer == ReserveAnswer::Wait) {
    if (mPacer.IsAway()) {
      // Nothing can be drawn; what this process may use does not cover it.
      mLedger.RefuseWants(aBudget, now, false);
      return ReserveAnswer::Unavailable;
    }
    mWaiters.push_back(aWaiter);
    Wake();
  }
  return answer == ReserveAnswer::Exhausted && mPacer.IsAway() ? ReserveAnswer::Unavailable
                                                               : answer;
}

/// What a request is told whose tokens are held but above the cap; unset if that is not so.
std::optional<ReserveAnswer> RightsDuty::WaitForReserve(const Holding& aHolding,
                                                        Tokens aTokens,
                                                        Micros aTimeLeft,
                                                        TimePoint aNow)
{
  const auto opensIn = mCaps.OpensIn(aNow);
  if (aHolding.Free() < aTokens || !opensIn) {
    return std::nullopt;
  }
  if (*opensIn > aTimeLeft / kWaitShare) {
    return ReserveAnswer::Unavailable; // too late for it, so its caller is told at once
  }
  if (!mTellsWhenOpen) {
    mTellsWhenOpen = true;
    net::Start(mLoop, "reserve", TellWhenOpen(*opensIn + kLeastPause));
  }
  return ReserveAnswer::Wait;
}

net::Task<void> RightsDuty::TellWhenOpen(Micros aTime)
{
  co_await net::Signal::Sleep(mLoop, aTime);
  mTellsWhenOpen = false;
  TellWaiters();
}

void RightsDuty::Settle(const std::string& aBudget, Tokens aReserved, Tokens aUsed)
{
  // Tries of callers have identifiers of their own, so no other run bills the same work.
  mLedger.Settle({ "", aBudget, "", "", DayOf(mClock.WallTime()), aUsed }, aReserved);
}

net::Task<void> RightsDuty::Run()
{
  bool isTaken = false;
  while (!mIsClosing && !isTaken) {
    isTaken = co_await TakeOver();
    mHasTakenOver = isTaken;
    if (!isTaken) {
      co_await net::Signal::Sleep(mLoop, std::chrono::duration_cast<Micros>(kTakeOverPause));
    }
  }
  while (!mIsClosing && !mIsReplaced) {
    mPacer.SetInterval(FleetInterval(
      mSettings.mCommitInterval, mLinks.mInstances(), mSettings.mFleetWritesPerSecond));
    const auto now = mClock.Now();
    auto at = mPacer.NextWrite(now, true);
    if (!mIsUrgent && !mPacer.IsAway()) {
      at = std::max(at, mRoundAt + QuietInterval());
    }
    if (at > now) {
      co_await mWake.WaitFor(std::min<Micros>(at - now, kMostSleep));
      continue;
    }
    mIsUrgent = false;
    mRoundAt = now;
    co_await RunRound();
    // A round that had nothing to write must not keep other work of the loop waiting.
    co_await net::Signal::Sleep(mLoop, kLeastPause);
  }
  mIsRunning = false;
}

/// Time between rounds that no request waits for: longer in large fleets, which share the service.
Millis RightsDuty::QuietInterval() const
{
  const auto needed = FleetInterval(kQuietEvery, mLinks.mInstances(), kFleetRegularCalls);
  return std::min(needed, kMostQuiet);
}

net::Task<void> RightsDuty::RunRound()
{
  const auto now = mClock.Now();
  for (const auto& it : mLinks.mBudgets()) {
    mLedger.Hold(it, now);
  }
  mLedger.SetSteadyFor(std::chrono::duration<double>(now - mFailedAt).count());
  co_await Refresh();
  mCaps.SetReportInterval(QuietInterval());
  auto due = mLedger.DueShards(now);
  bool writes =
    !due.empty() || (!mLedger.Holdings().empty() && mCaps.IsDue(mLedger.Holdings(), now));
  while (writes) {
    const auto part = FirstOf(due, kMostShards);
    for (const auto it : part) {
      due.erase(it);
    }
    const bool isWritten = co_await Write(part, false);
    writes = isWritten && !due.empty();
  }
  EndRound();
}

void RightsDuty::EndRound()
{
  const auto now = mClock.Now();
  for (const auto& [budget, holding] : mLedger.Holdings()) {
    if (holding.mWanted > 0 && !mLedger.RefuseWants(budget, now, !mPacer.IsAway())) {
      mIsUrgent = true;
    }
  }
  ++mRounds;
  TellWaiters();
}

void RightsDuty::TellWaiters()
{
  ++mTold;
  const auto waiters = std::exchange(mWaiters, {});
  for (const auto& it : waiters) {
    if (const auto signal = it.lock()) {
      signal->Notify();
    }
  }
}

bool RightsDuty::Remember(const KeyValue& aEntry)
{
  if (aEntry.mKey == UsageReportKey(mOwner.mInstance)) {
    auto report = ParseUsageReport(aEntry.mValue);
    mKnownReport.mRevision = aEntry.mModRevision;
    mKnownReport.mReport.reset();
    if (report) {
      mKnownReport.mReport = std::move(report.value());
    }
    return report.has_value();
  }
  const auto shard = ShardOfKey(aEntry.mKey);
  if (!shard) {
    return true;
  }
  auto record = ParseShard(aEntry.mValue);
  if (!record) {
    LogChange(LogLevel::Error,
              "budget",
              "a stored shard cannot be read; its budgets are not sold",
              { { "key", aEntry.mKey }, { "why", ToString(record.error()) } });
    return false;
  }
  mKnown[*shard] = { aEntry.mModRevision, std::move(record.value()) };
  return true;
}

net::Task<bool> RightsDuty::ReadAll()
{
  std::string shardPrefix(kShardPrefix);
  const auto shards = co_await mStore.Range(std::move(shardPrefix));
  if (!shards) {
    NoteStore(false, ToString(shards.error()));
    co_return false;
  }
  auto reportKey = UsageReportKey(mOwner.mInstance);
  const auto reports = co_await mStore.Range(std::move(reportKey));
  if (!reports) {
    NoteStore(false, ToString(reports.error()));
    co_return false;
  }
  mRefreshedAt = mClock.Now();
  mKnown.clear();
  mKnownReport = {};
  bool isGood = true;
  for (const auto& it : shards.value().mEntries) {
    isGood = Remember(it) && isGood;
  }
  for (const auto& it : reports.value().mEntries) {
    isGood = Remember(it) && isGood;
  }
  mIsKnown = isGood;
  co_return isGood;
}

void RightsDuty::AddReport(Transaction& aTransaction, const UsageReport& aReport) const
{
  const auto key = UsageReportKey(mOwner.mInstance);
  aTransaction.mCompares.push_back({ key, mKnownReport.mRevision });
  aTransaction.mWrites.push_back({ key, ToText(aReport) });
}

RightsDuty::Planned RightsDuty::Plan(const std::set<int>& aShards, bool aClosing)
{
  const PlanInput input{ mClock.Now(), mClock.WallTime(), mLinks.mStated, aClosing };
  Planned out;
  for (const auto it : aShards) {
    const auto& known = mKnown[it];
    if (!mLedger.Learn(it, known.mRecord) || mLedger.IsClosed(it)) {
      continue;
    }
    auto record = known.mRecord;
    const auto batch = mLedger.Plan(it, record, input);
    out.mTransaction.mCompares.push_back({ ShardKey(it), known.mRevision });
    out.mTransaction.mWrites.push_back({ ShardKey(it), ShardText(record) });
    out.mShards[it] = { batch, std::move(record) };
  }
  out.mReport = mCaps.Plan(mLedger.Holdings(), input.mNow, input.mWallTime);
  AddReport(out.mTransaction, out.mReport);
  return out;
}

/// Learns how much is left of budgets that this process has no reason to write itself.
net::Task<void> RightsDuty::Refresh()
{
  const auto now = mClock.Now();
  if (now - mRefreshedAt < QuietInterval() || mPacer.IsAway() || !mIsKnown) {
    co_return;
  }
  mRefreshedAt = now;
  std::string prefix(kShardPrefix);
  const auto range = co_await mStore.RangeStale(std::move(prefix));
  if (!range) {
    co_return; // the next write notices an outage
  }
  for (const auto& it : range.value().mEntries) {
    const auto shard = ShardOfKey(it.mKey);
    if (!shard || mKnown[*shard].mRevision >= it.mModRevision) {
      continue;
    }
    if (Remember(it)) {
      mLedger.Learn(*shard, mKnown[*shard].mRecord);
    }
  }
}

net::Task<bool> RightsDuty::Write(std::set<int> aShards, bool aClosing)
{
  aShards = FirstOf(aShards, kMostShards);
  for (int n = 0; n < kMostConflicts; ++n) {
    if (!mIsKnown) {
      const bool isRead = co_await ReadAll();
      if (!isRead) {
        co_return false;
      }
    }
    const auto& stored = mKnownReport.mReport;
    if (stored && stored->mIncarnation != mOwner.mIncarnation) {
      mIsReplaced = true;
      LogChange(LogLevel::Error,
                "budget",
                "another process has this instance's name; selling ends",
                { { "incarnation", stored->mIncarnation } });
      co_return false;
    }
    auto planned = Plan(aShards, aClosing);
    mPacer.OnWrite(mClock.Now());
    mMetrics.CounterOf("gentianloom_budget_writes_total").Add();
    auto transaction = planned.mTransaction;
    const auto answer = co_await mStore.Commit(std::move(transaction));
    const bool isOver = OnAnswer(planned, answer);
    if (isOver) {
      co_return answer.mCommit.mEffect == Effect::TookEffect;
    }
    co_await net::Signal::Sleep(
      mLoop, std::chrono::duration_cast<Micros>(kConflictPause * (1 + n) * Jitter()));
  }
  co_return false;
}

/// Takes the answer to a transaction. Returns whether the round is over.
bool RightsDuty::OnAnswer(Planned& aPlanned, const AsyncCommitAnswer& aAnswer)
{
  if (aAnswer.mCommit.mEffect == Effect::Unknown) {
    // The next round reads whether it took effect.
    mIsKnown = false;
    NoteStore(false, ToString(aAnswer.mCommit.mError));
    return true;
  }
  const bool took = aAnswer.mCommit.mEffect == Effect::TookEffect;
  for (auto& [shard, it] : aPlanned.mShards) {
    took ? mLedger.OnTook(shard, it.mBatch) : mLedger.OnDidNot(shard, it.mBatch);
    if (took) {
      mKnown[shard] = { aAnswer.mCommit.mRevision, std::move(it.mRecord) };
    }
  }
  if (took) {
    mCaps.OnTook(aPlanned.mReport);
    mKnownReport = { aAnswer.mCommit.mRevision, aPlanned.mReport };
    NoteStore(true, "");
    LogHoldings();
    return true;
  }
  mCaps.OnDidNot(aPlanned.mReport);
  if (!aAnswer.mCommit.mConflict) {
    NoteStore(false, ToString(aAnswer.mCommit.mError));
    return true;
  }
  mMetrics.CounterOf("gentianloom_budget_conflicts_total").Add();
  OnConflict(aAnswer.mCurrent);
  return false;
}

void RightsDuty::OnConflict(const std::vector<KeyValue>& aCurrent)
{
  mIsKnown = !aCurrent.empty();
  for (const auto& it : aCurrent) {
    mIsKnown = Remember(it) && mIsKnown;
  }
}

void RightsDuty::NoteStore(bool aWorks, const std::string& aWhy)
{
  const auto now = mClock.Now();
  if (!aWorks) {
    mAwaySince = mPacer.IsAway() ? mAwaySince : now;
    mFailedAt = now;
  }
  NoteStoreResult(mPacer, mMetrics, aWorks, aWhy, now);
}

Millis RightsDuty::AwayFor() const
{
  return mPacer.IsAway() ? std::chrono::duration_cast<Millis>(mClock.Now() - mAwaySince)
                         : Millis(0);
}

void RightsDuty::LogHoldings() const
{
  std::string text;
  for (const auto& [name, it] : mLedger.Holdings()) {
    text += text.empty() ? "" : ", ";
    text += name + " granted=" + std::to_string(it.mGranted - it.mReturned) +
            " spent=" + std::to_string(it.mSpent) + " free=" + std::to_string(it.Free()) +
            " left=" + std::to_string(it.mLeftSeen) +
            " prepaid=" + std::to_string(mLinks.mStated(name).mPrepaid);
  }
  LogChange(LogLevel::Info, "budget", "rights were written", { { "budgets", text } });
}

net::Task<void> RightsDuty::Close(TimePoint aDeadline)
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
            "the rest could not be returned; it stays in doubt until an operator releases it",
            { { "incarnation", mOwner.mIncarnation } });
}

} // namespace gentianloom
