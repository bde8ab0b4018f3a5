#include "gentianloom/budget/RightsDuty.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/net/HttpHead.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// Shards in one transaction: each takes a condition and a write of the most that one may have.
constexpr std::size_t kMostShards = 16;
/// Tries of one round against conflicts.
constexpr int kMostConflicts = 4;
/// Pause between tries, so that two routers do not conflict again and again.
constexpr Micros kConflictPause{ 4'000 };
/// Longest sleep between rounds.
constexpr Millis kMostSleep{ 1'000 };
/// Common start of the keys of all shards.
constexpr std::string_view kShardPrefix = "/gentianloom/budget-shards/";

double Jitter()
{
  return static_cast<double>(StableHash(MakeId("jitter")) % 1'000) / 1'000.0;
}

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
                       std::string aIncarnation,
                       RightsLinks aLinks,
                       const Clock& aClock,
                       Metrics& aMetrics)
  : mLoop(aLoop)
  , mStore(aStore)
  , mSettings(aSettings)
  , mIncarnation(std::move(aIncarnation))
  , mLinks(std::move(aLinks))
  , mClock(aClock)
  , mMetrics(aMetrics)
  , mPolicy(GrantPolicy::Create(aSettings))
  , mLedger(mIncarnation, *mPolicy)
  , mPacer(aSettings.mCommitInterval)
  , mWake(aLoop)
{
}

void RightsDuty::Start()
{
  net::Start(mLoop, "rights", Run());
}

ReserveAnswer RightsDuty::Reserve(const std::string& aBudget,
                                  Tokens aTokens,
                                  const std::shared_ptr<net::Signal>& aWaiter)
{
  const auto answer = mLedger.Reserve(aBudget, aTokens, mClock.Now());
  if (answer == ReserveAnswer::Wait) {
    if (mPacer.IsAway()) {
      // Nothing can be drawn; what this process holds does not cover it.
      mLedger.RefuseWants(aBudget, mClock.Now(), false);
      return ReserveAnswer::Unavailable;
    }
    mIsUrgent = true;
    mWaiters.push_back(aWaiter);
    mWake.Notify();
  }
  return answer == ReserveAnswer::Exhausted && mPacer.IsAway() ? ReserveAnswer::Unavailable
                                                               : answer;
}

void RightsDuty::Settle(const std::string& aBudget, Tokens aReserved, Tokens aUsed)
{
  // Tries of callers have identifiers of their own, so no other run bills the same work.
  mLedger.Settle({ "", aBudget, "", "", DayOf(mClock.WallTime()), aUsed }, aReserved);
}

net::Task<void> RightsDuty::Run()
{
  while (!mIsClosing) {
    mPacer.SetInterval(FleetInterval(mSettings.mCommitInterval, mLinks.mInstances()));
    const auto now = mClock.Now();
    const auto at = mPacer.NextWrite(now, mIsUrgent);
    if (at > now) {
      co_await mWake.WaitFor(std::min<Micros>(at - now, kMostSleep));
      continue;
    }
    mIsUrgent = false;
    co_await RunRound();
  }
}

net::Task<void> RightsDuty::RunRound()
{
  const auto due = mLedger.DueShards(mClock.Now());
  if (due.empty()) {
    mPacer.OnWrite(mClock.Now()); // look again after an interval
  } else {
    co_await Write(due, false);
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
  const auto waiters = std::exchange(mWaiters, {});
  for (const auto& it : waiters) {
    if (const auto signal = it.lock()) {
      signal->Notify();
    }
  }
}

bool RightsDuty::Remember(int aShard, const KeyValue& aEntry)
{
  auto record = ParseShard(aEntry.mValue);
  if (!record) {
    LogChange(LogLevel::Error, "budget", "a stored shard cannot be read; its budgets are not sold",
              { { "key", aEntry.mKey }, { "why", ToString(record.error()) } });
    return false;
  }
  mKnown[aShard] = { aEntry.mModRevision, std::move(record.value()) };
  return true;
}

net::Task<bool> RightsDuty::ReadAll(std::set<int> aShards)
{
  std::string prefix(kShardPrefix);
  const auto range = co_await mStore.Range(std::move(prefix));
  if (!range) {
    NoteStore(false, ToString(range.error()));
    co_return false;
  }
  for (const auto it : aShards) {
    mKnown[it] = {};
  }
  for (const auto& it : range.value().mEntries) {
    const auto shard = ShardOfKey(it.mKey);
    if (shard && !Remember(*shard, it)) {
      co_return false;
    }
  }
  co_return true;
}

net::Task<bool> RightsDuty::Write(std::set<int> aShards, bool aClosing)
{
  aShards = FirstOf(aShards, kMostShards);
  for (int n = 0; n < kMostConflicts; ++n) {
    const bool areKnown = std::all_of(
      aShards.begin(), aShards.end(), [this](int it) { return mKnown.contains(it); });
    if (!areKnown) {
      const bool isRead = co_await ReadAll(aShards);
      if (!isRead) {
        co_return false;
      }
    }
    PlanInput input{ mClock.Now(), mClock.WallTime(), mLinks.mStated, aClosing };
    Transaction transaction;
    std::map<int, std::pair<std::int64_t, ShardRecord>> planned;
    for (const auto it : aShards) {
      auto& known = mKnown[it];
      if (!mLedger.Learn(it, known.mRecord) || mLedger.IsClosed(it)) {
        continue;
      }
      auto record = known.mRecord;
      const auto batch = mLedger.Plan(it, record, input);
      transaction.mCompares.push_back({ ShardKey(it), known.mRevision });
      transaction.mWrites.push_back({ ShardKey(it), ShardText(record) });
      planned[it] = { batch, std::move(record) };
    }
    if (planned.empty()) {
      co_return true;
    }
    mPacer.OnWrite(mClock.Now());
    mMetrics.CounterOf("gentianloom_budget_writes_total").Add();
    const auto answer = co_await mStore.Commit(std::move(transaction));
    if (answer.mCommit.mEffect == Effect::Unknown) {
      // The next round reads whether it took effect.
      mKnown.clear();
      NoteStore(false, ToString(answer.mCommit.mError));
      co_return false;
    }
    const bool took = answer.mCommit.mEffect == Effect::TookEffect;
    for (auto& [shard, it] : planned) {
      took ? mLedger.OnTook(shard, it.first) : mLedger.OnDidNot(shard, it.first);
      if (took) {
        mKnown[shard] = { answer.mCommit.mRevision, std::move(it.second) };
      }
    }
    if (took) {
      NoteStore(true, "");
      co_return true;
    }
    if (!answer.mCommit.mConflict) {
      NoteStore(false, ToString(answer.mCommit.mError));
      co_return false;
    }
    mMetrics.CounterOf("gentianloom_budget_conflicts_total").Add();
    for (const auto& it : answer.mCurrent) {
      const auto shard = ShardOfKey(it.mKey);
      if (shard) {
        Remember(*shard, it);
      }
    }
    if (answer.mCurrent.empty()) {
      mKnown.clear();
    }
    co_await net::Signal::Sleep(
      mLoop, std::chrono::duration_cast<Micros>(kConflictPause * (1 + n) * Jitter()));
  }
  co_return false;
}

void RightsDuty::NoteStore(bool aWorks, const std::string& aWhy)
{
  if (aWorks == mPacer.IsAway()) {
    LogChange(aWorks ? LogLevel::Info : LogLevel::Warning, "budget",
              aWorks ? "the key-value service answers again"
                     : "the key-value service is away; selling what is held",
              { { "why", aWhy } });
  }
  if (aWorks) {
    mPacer.OnSuccess();
    return;
  }
  mMetrics.CounterOf("gentianloom_budget_commit_failures_total").Add();
  mPacer.OnFailure(mClock.Now(), Jitter());
}

net::Task<void> RightsDuty::Close(TimePoint aDeadline)
{
  mIsClosing = true;
  mWake.Notify();
  while (mClock.Now() < aDeadline) {
    const auto open = mLedger.OpenShards();
    if (open.empty()) {
      co_return;
    }
    const bool isWritten = co_await Write(open, true);
    if (!isWritten) {
      co_await net::Signal::Sleep(mLoop, Millis(100));
    }
  }
  LogChange(LogLevel::Error, "budget",
            "the rest could not be returned; it stays in doubt until an operator releases it",
            { { "incarnation", mIncarnation } });
}

} // namespace gentianloom
