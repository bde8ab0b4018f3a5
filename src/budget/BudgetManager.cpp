#include "gentianloom/budget/BudgetManager.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/budget/StoreResult.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// Maximum number of shards in one transaction; transactions with more shards conflict more often.
constexpr std::size_t kMaxShards = 16;
/// Maximum number of attempts of one write; a conflict leads to the next attempt. At shutdown,
/// failed writes are retried until more than this many were made.
constexpr int kMaxWriteAttempts = 4;
/// Maximum number of writes of a router that shuts down.
constexpr int kMaxClosingWrites = 50;
/// Maximum number of peers that one round asks for tokens of one budget.
constexpr std::size_t kMaxPeersAsked = 8;

} // namespace

BudgetManager::BudgetManager(KeyValueStore& aStore,
                             const BudgetSettings& aSettings,
                             std::string aIncarnation,
                             BudgetDependencies aDependencies,
                             const Clock& aClock,
                             Metrics& aMetrics)
  : mStore(aStore)
  , mSettings(aSettings)
  , mIncarnation(std::move(aIncarnation))
  , mDependencies(std::move(aDependencies))
  , mClock(aClock)
  , mMetrics(aMetrics)
  , mPolicy(GrantPolicy::Create(aSettings))
  , mLedger(mIncarnation, *mPolicy)
  , mPacer(aSettings.mCommitInterval)
{
}

BudgetManager::~BudgetManager()
{
  Stop();
}

void BudgetManager::Start()
{
  mThread = std::thread([this] { Run(); });
}

void BudgetManager::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mWake.notify_all();
  if (mThread.joinable()) {
    mThread.join();
    ReturnAll();
  }
}

ReserveAnswer BudgetManager::Reserve(const std::string& aBudget, Tokens aTokens)
{
  const std::lock_guard lock(mMutex);
  const auto answer = mLedger.Reserve(aBudget, aTokens, mClock.Now());
  if (answer == ReserveAnswer::Wait) {
    mIsUrgent = true;
    mWake.notify_all();
  }
  // The budget may still have tokens that cannot be drawn now.
  return answer == ReserveAnswer::Exhausted && mIsStoreUnavailable ? ReserveAnswer::Unavailable
                                                                   : answer;
}

void BudgetManager::Settle(const Bill& aBill, Tokens aReserved)
{
  const std::lock_guard lock(mMutex);
  mLedger.Settle(aBill, aReserved);
}

void BudgetManager::Settle(const std::string& aBudget, Tokens aReserved, Tokens aUsed)
{
  Settle({ MakeId("bill"), aBudget, "", "", DaysSinceEpoch(mClock.WallTime()), aUsed }, aReserved);
}

wire::RightsAnswer BudgetManager::OnAskRights(const wire::RightsRequest& aRequest)
{
  wire::RightsAnswer out;
  out.transferId = aRequest.transferId;
  out.giverIncarnation = mIncarnation;
  const std::lock_guard lock(mMutex);
  if (!mIsStopping) {
    const auto& it = aRequest;
    out.tokens = mLedger.Give(it.transferId, it.budget, it.tokens, it.takerIncarnation).mTokens;
  }
  const auto it = mLedger.Holdings().find(aRequest.budget);
  out.stillFree = it == mLedger.Holdings().end() ? 0 : it->second.Free();
  mMetrics.CounterOf("gentianloom_budget_given_tokens_total")
    .Add(static_cast<std::uint64_t>(out.tokens));
  return out;
}

ConfiguredBudget BudgetManager::FindConfiguredBudget(const std::string& aBudget) const
{
  const auto configuration = mDependencies.mConfiguration();
  if (!configuration) {
    return {};
  }
  const auto* spec = configuration->Budget(aBudget);
  return { spec == nullptr ? 0 : spec->mPrepaidTokens, configuration->Version() };
}

void BudgetManager::Run()
{
  std::unique_lock lock(mMutex);
  while (!mIsStopping) {
    mPacer.SetInterval(FleetInterval(mSettings.mCommitInterval,
                                     mDependencies.mPeers().size() + 1,
                                     mSettings.mFleetWritesPerSecond));
    // While the service is unavailable, peers may still give tokens, so urgent rounds do not wait
    // for the end of the back-off.
    const auto now = mClock.Now();
    auto at = mPacer.NextWrite(now, mIsUrgent);
    if (mIsUrgent && mPacer.IsStoreUnavailable()) {
      at = now;
    }
    if (at > now) {
      const bool wasUrgent = mIsUrgent;
      mWake.wait_for(lock, at - now, [&] { return mIsStopping || (mIsUrgent && !wasUrgent); });
      continue;
    }
    mIsUrgent = false;
    lock.unlock();
    RunRound();
    lock.lock();
  }
}

void BudgetManager::RunRound()
{
  std::set<int> due;
  {
    const std::lock_guard lock(mMutex);
    due = mLedger.DueShards(mClock.Now());
  }
  const auto now = mClock.Now();
  if (!due.empty() && mPacer.NextWrite(now, true) <= now) {
    WriteShards(due, false);
  }
  AskPeers();
  EndRound();
  mDependencies.mOnRoundEnd();
  const std::lock_guard lock(mMutex);
  mMetrics.GaugeOf("gentianloom_budget_staged_bills")
    .Set(static_cast<std::int64_t>(mLedger.StagedBills()));
  if (due.empty()) {
    mPacer.OnWrite(mClock.Now()); // nothing was due: the next round comes after an interval
  }
}

Result<BudgetManager::ShardWork> BudgetManager::ReadShard(int aShard, Step aStep)
{
  BOOST_OUTCOME_TRY(range, mStore.Range(ShardKey(aShard), false, aStep));
  ShardWork out;
  out.mShard = aShard;
  if (range.mEntries.empty()) {
    return out;
  }
  out.mRevision = range.mEntries.front().mModRevision;
  BOOST_OUTCOME_TRY(record, ParseShard(range.mEntries.front().mValue));
  out.mRecord = std::move(record);
  return out;
}

/// Reads shards and reconciles the ledger with them. Leaves out shards whose read was stale.
Result<std::vector<BudgetManager::ShardWork>> BudgetManager::ReadShards(
  const std::set<int>& aShards)
{
  std::vector<ShardWork> out;
  for (const auto shard : aShards) {
    if (out.size() >= kMaxShards) {
      break;
    }
    BOOST_OUTCOME_TRY(work, ReadShard(shard, Step::GrantRead));
    const std::lock_guard lock(mMutex);
    if (mLedger.Reconcile(shard, work.mRecord)) {
      out.push_back(std::move(work));
    }
  }
  return out;
}

Transaction BudgetManager::PlanTransaction(std::vector<ShardWork>& aWork, bool aIsClosing)
{
  PlanInput input;
  input.mNow = mClock.Now();
  input.mWallTime = mClock.WallTime();
  input.mConfiguredBudget = [this](const std::string& it) { return FindConfiguredBudget(it); };
  input.mIsClosing = aIsClosing;
  Transaction out;
  const std::lock_guard lock(mMutex);
  for (auto& it : aWork) {
    if (mLedger.IsClosed(it.mShard)) {
      continue;
    }
    it.mBatch = mLedger.Plan(it.mShard, it.mRecord, input);
    out.mCompares.push_back({ ShardKey(it.mShard), it.mRevision });
    out.mWrites.push_back({ ShardKey(it.mShard), SerializeShard(it.mRecord) });
  }
  return out;
}

/// Writes due shards in one transaction, and retries it after conflicts. Returns whether it took
/// effect or there was nothing to write.
bool BudgetManager::WriteShards(const std::set<int>& aShards, bool aIsClosing)
{
  for (int n = 0; n < kMaxWriteAttempts; ++n) {
    auto work = ReadShards(aShards);
    if (!work) {
      OnStoreResult(false, ToString(work.error()));
      return false;
    }
    const auto transaction = PlanTransaction(work.value(), aIsClosing);
    if (transaction.mWrites.empty()) {
      return true;
    }
    mPacer.OnWrite(mClock.Now());
    const auto answer = mStore.Commit(transaction, Step::GrantCommit);
    mMetrics.CounterOf("gentianloom_budget_writes_total").Add();
    if (answer.mEffect == Effect::Unknown) {
      OnStoreResult(false, ToString(answer.mError));
      return false;
    }
    const bool isCommitted = answer.mEffect == Effect::Applied;
    {
      const std::lock_guard lock(mMutex);
      for (const auto& it : work.value()) {
        isCommitted ? mLedger.OnCommitted(it.mShard, it.mBatch)
                    : mLedger.OnNotCommitted(it.mShard, it.mBatch);
      }
    }
    if (isCommitted) {
      OnStoreResult(true, "");
      return true;
    }
    if (!answer.mIsConflict) {
      OnStoreResult(false, ToString(answer.mError));
      return false;
    }
    mMetrics.CounterOf("gentianloom_budget_conflicts_total").Add();
  }
  return false;
}

void BudgetManager::OnStoreResult(bool aSucceeded, const std::string& aError)
{
  RecordStoreResult(mPacer, mMetrics, aSucceeded, aError, mClock.Now());
  mIsStoreUnavailable = !aSucceeded;
}

void BudgetManager::AskPeers()
{
  std::map<std::string, Tokens> shortfalls;
  {
    const std::lock_guard lock(mMutex);
    shortfalls = mLedger.Shortfalls();
  }
  if (shortfalls.empty()) {
    return;
  }
  const auto peers = mDependencies.mPeers();
  for (const auto& [budget, tokens] : shortfalls) {
    auto shortfall = tokens;
    // Each router starts with another peer, so that not all of them ask the same one.
    const auto first = peers.empty() ? 0 : StableHash(budget + mIncarnation) % peers.size();
    for (std::size_t n = 0; n < std::min(peers.size(), kMaxPeersAsked) && shortfall > 0; ++n) {
      AskPeerFor(peers[(first + n) % peers.size()], budget, shortfall);
      const std::lock_guard lock(mMutex);
      const auto current = mLedger.Shortfalls();
      const auto it = current.find(budget);
      shortfall = it == current.end() ? 0 : it->second;
    }
  }
}

void BudgetManager::AskPeerFor(const PeerSettings& aPeer,
                               const std::string& aBudget,
                               Tokens aTokens)
{
  const Transfer wanted{ MakeId("transfer"), aBudget, "", aTokens };
  {
    const std::lock_guard lock(mMutex);
    mLedger.StartTransfer(wanted.mId);
  }
  auto answer = mDependencies.mAskPeer(aPeer, wanted, mIncarnation);
  if (!answer) {
    // The retry uses the same transfer identifier, so a lost answer loses no tokens.
    answer = mDependencies.mAskPeer(aPeer, wanted, mIncarnation);
  }
  const std::lock_guard lock(mMutex);
  if (answer) {
    mLedger.Credit(answer.value());
    mMetrics.CounterOf("gentianloom_budget_received_tokens_total")
      .Add(static_cast<std::uint64_t>(answer.value().mTokens));
  } else {
    mMetrics.CounterOf("gentianloom_budget_ask_failures_total").Add();
  }
  mLedger.DropTransfer(wanted.mId);
}

void BudgetManager::EndRound()
{
  const std::lock_guard lock(mMutex);
  const auto now = mClock.Now();
  for (const auto& [budget, holding] : mLedger.Holdings()) {
    if (holding.mWaitingTokens > 0 &&
        !mLedger.RefuseWaiting(budget, now, !mPacer.IsStoreUnavailable())) {
      mIsUrgent = true;
    }
  }
}

void BudgetManager::ReturnAll()
{
  for (int n = 0; n < kMaxClosingWrites; ++n) {
    std::set<int> open;
    {
      const std::lock_guard lock(mMutex);
      open = mLedger.OpenShards();
    }
    if (open.empty()) {
      return;
    }
    if (!WriteShards(open, true) && n > kMaxWriteAttempts) {
      LogChange(LogLevel::Error,
                "budget",
                "unused tokens could not be returned; they stay in doubt until an operator "
                "releases them",
                { { "incarnation", mIncarnation } });
      return;
    }
  }
}

BudgetView BudgetManager::MakeView(ShardRecord& aShard, const std::string& aBudget) const
{
  // A budget from which no router has drawn has no record yet.
  const auto configured = FindConfiguredBudget(aBudget);
  aShard.mBudgets[aBudget].UpdatePrepaid(configured.mPrepaid, configured.mVersion);
  return MakeBudgetView(aShard, aBudget, mClock.WallTime());
}

Result<BudgetView> BudgetManager::ReadView(const std::string& aBudget)
{
  BOOST_OUTCOME_TRY(work, ReadShard(ShardOf(aBudget), Step::GrantRead));
  return MakeView(work.mRecord, aBudget);
}

Result<std::map<std::string, BudgetView>> BudgetManager::ReadViews(
  const std::set<std::string>& aBudgets)
{
  std::map<int, ShardRecord> shards;
  std::map<std::string, BudgetView> out;
  for (const auto& name : aBudgets) {
    const auto shard = ShardOf(name);
    if (!shards.contains(shard)) {
      BOOST_OUTCOME_TRY(work, ReadShard(shard, Step::GrantRead));
      shards.emplace(shard, std::move(work.mRecord));
    }
    out.emplace(name, MakeView(shards.at(shard), name));
  }
  return out;
}

Result<Tokens> BudgetManager::ReleaseHolder(const ReleaseOrder& aOrder)
{
  for (int n = 0; n < kMaxWriteAttempts; ++n) {
    BOOST_OUTCOME_TRY(work, ReadShard(ShardOf(aOrder.mBudget), Step::GrantReturn));
    BOOST_OUTCOME_TRY(freed, Release(work.mRecord, aOrder));
    const auto key = ShardKey(work.mShard);
    const auto answer =
      mStore.Commit({ { { key, work.mRevision } }, { { key, SerializeShard(work.mRecord) } } },
                    Step::GrantReturn);
    if (answer.mEffect == Effect::Applied) {
      return freed;
    }
    if (answer.mEffect == Effect::Unknown || !answer.mIsConflict) {
      return answer.mError;
    }
  }
  return MakeError(ErrorCode::BudgetBusy,
                   Step::GrantReturn,
                   "key-value service",
                   "too many concurrent changes of the budget's record; try again");
}

} // namespace gentianloom
