#include "gentianloom/budget/BudgetDuty.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/base/Log.h"
#include "gentianloom/budget/StoreNote.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// Shards in one transaction; more conflict more often.
constexpr std::size_t kMostShards = 16;
/// Tries of one round against conflicts.
constexpr int kMostConflicts = 4;
/// Writes that a leaving router makes at most.
constexpr int kMostClosingWrites = 50;
/// Peers that one round asks for one budget.
constexpr std::size_t kMostAsked = 8;

} // namespace

BudgetDuty::BudgetDuty(KeyValueStore& aStore,
                       const BudgetSettings& aSettings,
                       std::string aIncarnation,
                       BudgetLinks aLinks,
                       const Clock& aClock,
                       Metrics& aMetrics)
  : mStore(aStore)
  , mSettings(aSettings)
  , mIncarnation(std::move(aIncarnation))
  , mLinks(std::move(aLinks))
  , mClock(aClock)
  , mMetrics(aMetrics)
  , mPolicy(GrantPolicy::Create(aSettings))
  , mLedger(mIncarnation, *mPolicy)
  , mPacer(aSettings.mCommitInterval)
{
}

BudgetDuty::~BudgetDuty()
{
  Stop();
}

void BudgetDuty::Start()
{
  mThread = std::thread([this] { Run(); });
}

void BudgetDuty::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mWake.notify_all();
  if (mThread.joinable()) {
    mThread.join();
    CloseAll();
  }
}

ReserveAnswer BudgetDuty::Reserve(const std::string& aBudget, Tokens aTokens)
{
  const std::lock_guard lock(mMutex);
  const auto answer = mLedger.Reserve(aBudget, aTokens, mClock.Now());
  if (answer == ReserveAnswer::Wait) {
    mUrgent = true;
    mWake.notify_all();
  }
  // What cannot be drawn now may be there all the same.
  return answer == ReserveAnswer::Exhausted && mAway ? ReserveAnswer::Unavailable : answer;
}

void BudgetDuty::Settle(const Bill& aBill, Tokens aReserved)
{
  const std::lock_guard lock(mMutex);
  mLedger.Settle(aBill, aReserved);
}

void BudgetDuty::Settle(const std::string& aBudget, Tokens aReserved, Tokens aUsed)
{
  Settle({ MakeId("bill"), aBudget, "", "", DayOf(mClock.WallTime()), aUsed }, aReserved);
}

wire::RightsAnswer BudgetDuty::OnAskRights(const wire::RightsRequest& aRequest)
{
  wire::RightsAnswer out;
  out.transferId = aRequest.transferId;
  out.giverIncarnation = mIncarnation;
  const std::lock_guard lock(mMutex);
  if (!mStopping) {
    const auto& it = aRequest;
    out.tokens = mLedger.Give(it.transferId, it.budget, it.tokens, it.takerIncarnation).mTokens;
  }
  const auto it = mLedger.Holdings().find(aRequest.budget);
  out.stillFree = it == mLedger.Holdings().end() ? 0 : it->second.Free();
  mMetrics.CounterOf("gentianloom_budget_given_tokens_total")
    .Add(static_cast<std::uint64_t>(out.tokens));
  return out;
}

StatedBudget BudgetDuty::Stated(const std::string& aBudget) const
{
  const auto configuration = mLinks.mConfiguration();
  if (!configuration) {
    return {};
  }
  const auto* spec = configuration->Budget(aBudget);
  return { spec == nullptr ? 0 : spec->mPrepaidTokens, configuration->Version() };
}

void BudgetDuty::Run()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    mPacer.SetInterval(FleetInterval(
      mSettings.mCommitInterval, mLinks.mPeers().size() + 1, mSettings.mFleetWritesPerSecond));
    // While the service is away, peers may still have rights; requests do not wait for back-off.
    const auto now = mClock.Now();
    auto at = mPacer.NextWrite(now, mUrgent);
    if (mUrgent && mPacer.IsAway()) {
      at = now;
    }
    if (at > now) {
      const bool wasUrgent = mUrgent;
      mWake.wait_for(lock, at - now, [&] { return mStopping || (mUrgent && !wasUrgent); });
      continue;
    }
    mUrgent = false;
    lock.unlock();
    RunRound();
    lock.lock();
  }
}

void BudgetDuty::RunRound()
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
  mLinks.mOnChange();
  const std::lock_guard lock(mMutex);
  mMetrics.GaugeOf("gentianloom_budget_staged_bills")
    .Set(static_cast<std::int64_t>(mLedger.StagedBills()));
  if (due.empty()) {
    mPacer.OnWrite(mClock.Now()); // nothing was due: look again after an interval
  }
}

Result<BudgetDuty::ShardWork> BudgetDuty::ReadShard(int aShard, Step aStep)
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

Result<std::vector<BudgetDuty::ShardWork>> BudgetDuty::ReadShards(const std::set<int>& aShards)
{
  std::vector<ShardWork> out;
  for (const auto shard : aShards) {
    if (out.size() >= kMostShards) {
      break;
    }
    BOOST_OUTCOME_TRY(work, ReadShard(shard, Step::GrantRead));
    const std::lock_guard lock(mMutex);
    if (mLedger.Learn(shard, work.mRecord)) {
      out.push_back(std::move(work));
    }
  }
  return out;
}

Transaction BudgetDuty::PlanAll(std::vector<ShardWork>& aWork, bool aClosing)
{
  PlanInput input;
  input.mNow = mClock.Now();
  input.mWallTime = mClock.WallTime();
  input.mStated = [this](const std::string& it) { return Stated(it); };
  input.mClosing = aClosing;
  Transaction out;
  const std::lock_guard lock(mMutex);
  for (auto& it : aWork) {
    if (mLedger.IsClosed(it.mShard)) {
      continue;
    }
    it.mBatch = mLedger.Plan(it.mShard, it.mRecord, input);
    out.mCompares.push_back({ ShardKey(it.mShard), it.mRevision });
    out.mWrites.push_back({ ShardKey(it.mShard), ShardText(it.mRecord) });
  }
  return out;
}

bool BudgetDuty::WriteShards(const std::set<int>& aShards, bool aClosing)
{
  for (int n = 0; n < kMostConflicts; ++n) {
    auto work = ReadShards(aShards);
    if (!work) {
      NoteStore(false, ToString(work.error()));
      return false;
    }
    const auto transaction = PlanAll(work.value(), aClosing);
    if (transaction.mWrites.empty()) {
      return true;
    }
    mPacer.OnWrite(mClock.Now());
    const auto answer = mStore.Commit(transaction, Step::GrantCommit);
    mMetrics.CounterOf("gentianloom_budget_writes_total").Add();
    if (answer.mEffect == Effect::Unknown) {
      NoteStore(false, ToString(answer.mError));
      return false;
    }
    const bool took = answer.mEffect == Effect::TookEffect;
    {
      const std::lock_guard lock(mMutex);
      for (const auto& it : work.value()) {
        took ? mLedger.OnTook(it.mShard, it.mBatch) : mLedger.OnDidNot(it.mShard, it.mBatch);
      }
    }
    if (took) {
      NoteStore(true, "");
      return true;
    }
    if (!answer.mConflict) {
      NoteStore(false, ToString(answer.mError));
      return false;
    }
    mMetrics.CounterOf("gentianloom_budget_conflicts_total").Add();
  }
  return false;
}

void BudgetDuty::NoteStore(bool aWorks, const std::string& aWhy)
{
  NoteStoreResult(mPacer, mMetrics, aWorks, aWhy, mClock.Now());
  mAway = !aWorks;
}

void BudgetDuty::AskPeers()
{
  std::map<std::string, Tokens> missing;
  {
    const std::lock_guard lock(mMutex);
    missing = mLedger.Missing();
  }
  if (missing.empty()) {
    return;
  }
  const auto peers = mLinks.mPeers();
  for (const auto& [budget, tokens] : missing) {
    auto rest = tokens;
    // Each router starts elsewhere, so that not all ask the same peer.
    const auto first = peers.empty() ? 0 : StableHash(budget + mIncarnation) % peers.size();
    for (std::size_t n = 0; n < std::min(peers.size(), kMostAsked) && rest > 0; ++n) {
      AskOne(peers[(first + n) % peers.size()], budget, rest);
      const std::lock_guard lock(mMutex);
      const auto now = mLedger.Missing();
      const auto it = now.find(budget);
      rest = it == now.end() ? 0 : it->second;
    }
  }
}

void BudgetDuty::AskOne(const PeerSettings& aPeer, const std::string& aBudget, Tokens aTokens)
{
  const Transfer wanted{ MakeId("transfer"), aBudget, "", aTokens };
  {
    const std::lock_guard lock(mMutex);
    mLedger.StartTransfer(wanted.mId);
  }
  auto answer = mLinks.mAskPeer(aPeer, wanted, mIncarnation);
  if (!answer) {
    // The same identifier gives the same answer, so a lost one strands nothing.
    answer = mLinks.mAskPeer(aPeer, wanted, mIncarnation);
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

void BudgetDuty::EndRound()
{
  const std::lock_guard lock(mMutex);
  const auto now = mClock.Now();
  for (const auto& [budget, holding] : mLedger.Holdings()) {
    if (holding.mWanted > 0 && !mLedger.RefuseWants(budget, now, !mPacer.IsAway())) {
      mUrgent = true;
    }
  }
}

void BudgetDuty::CloseAll()
{
  for (int n = 0; n < kMostClosingWrites; ++n) {
    std::set<int> open;
    {
      const std::lock_guard lock(mMutex);
      open = mLedger.OpenShards();
    }
    if (open.empty()) {
      return;
    }
    if (!WriteShards(open, true) && n > kMostConflicts) {
      LogChange(LogLevel::Error,
                "budget",
                "the rest could not be returned; it stays in doubt until an operator releases it",
                { { "incarnation", mIncarnation } });
      return;
    }
  }
}

BudgetView BudgetDuty::MakeView(ShardRecord& aShard, const std::string& aBudget) const
{
  // A budget that was never drawn on has no record yet.
  const auto stated = Stated(aBudget);
  aShard.mBudgets[aBudget].State(stated.mPrepaid, stated.mVersion);
  return ViewOf(aShard, aBudget, mClock.WallTime());
}

Result<BudgetView> BudgetDuty::ReadView(const std::string& aBudget)
{
  BOOST_OUTCOME_TRY(work, ReadShard(ShardOf(aBudget), Step::GrantRead));
  return MakeView(work.mRecord, aBudget);
}

Result<std::map<std::string, BudgetView>> BudgetDuty::ReadViews(
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

Result<Tokens> BudgetDuty::ReleaseHolder(const ReleaseOrder& aOrder)
{
  for (int n = 0; n < kMostConflicts; ++n) {
    BOOST_OUTCOME_TRY(work, ReadShard(ShardOf(aOrder.mBudget), Step::GrantReturn));
    BOOST_OUTCOME_TRY(freed, Release(work.mRecord, aOrder));
    const auto key = ShardKey(work.mShard);
    const auto answer = mStore.Commit(
      { { { key, work.mRevision } }, { { key, ShardText(work.mRecord) } } }, Step::GrantReturn);
    if (answer.mEffect == Effect::TookEffect) {
      return freed;
    }
    if (answer.mEffect == Effect::Unknown || !answer.mConflict) {
      return answer.mError;
    }
  }
  return MakeError(ErrorCode::BudgetBusy,
                   Step::GrantReturn,
                   "key-value service",
                   "the budget's record changed too often; try again");
}

} // namespace gentianloom
