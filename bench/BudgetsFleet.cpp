#include "BudgetsFleet.h"

#include "gentianloom/base/Ids.h"

#include <algorithm>

namespace gentianloom::bench {

namespace {

constexpr Millis kTick{ 100 };
constexpr int kTicksPerSecond = 10;
constexpr int kCrashEveryTicks = 100;
constexpr int kRareCrashEveryTicks = 3'000;
constexpr Tokens kTopUpDivisor = 5;
constexpr int kRateWindowTicks = 100;
constexpr std::size_t kMostShards = 16;
constexpr std::size_t kMostAsked = 8;
constexpr Tokens kBound = 600;
constexpr Tokens kMeanUse = 300;
/// Fraction of a tick between the read and the write of a round, in which others can conflict.
constexpr double kReadToWrite = 0.05;

struct Open
{
  int mEndTick = 0;
  std::size_t mBudget = 0;
  Tokens mUse = 0;
};

struct Node
{
  std::unique_ptr<Ledger> mLedger;
  WritePacer mPacer{ Millis(1'000) };
  std::vector<Open> mOpen;
  std::vector<std::size_t> mParked; ///< budgets of the waiting requests
  std::vector<std::size_t> mBudgets;
  std::deque<int> mWriteTicks;
};

class Fleet
{
public:
  explicit Fleet(const FleetOrder& aOrder);
  FleetFigures Run();

private:
  bool InTrouble(Trouble aKind) const;
  bool Reaches(std::size_t aNode) const;
  bool SameSide(std::size_t aLeft, std::size_t aRight) const;
  double RateNow() const;
  void Arrive(std::size_t aNode);
  void Call(std::size_t aNode, std::size_t aBudget, bool aAgain);
  void Refuse(std::size_t aNode, std::size_t aBudget);
  void End(Node& aNode, bool aAll);
  void Round(std::size_t aNode);
  void Write(std::size_t aNode, const std::set<int>& aDue);
  void Ask(std::size_t aNode);
  void Crash();
  void TopUp();
  Tokens Overspend() const;
  Tokens HeldOf(std::size_t aNode, const std::string& aName, bool aInReach) const;
  std::unique_ptr<Ledger> MakeLedger();

  FleetOrder mOrder;
  std::unique_ptr<GrantPolicy> mPolicy;
  std::mt19937_64 mRandom;
  std::vector<Node> mNodes;
  std::vector<std::string> mNames;
  std::vector<Tokens> mUsed; ///< tokens of requests that ran or may still run, by budget
  Tokens mPrepaid = 0;
  std::int64_t mVersion = 1; ///< configuration version
  std::map<int, ShardRecord> mStore;
  std::map<int, int> mWritersInTick;
  FleetFigures mOut;
  TimePoint mNow{ std::chrono::hours(1) };
  int mTick = 0;
  std::uint64_t mNextId = 0;
};

Fleet::Fleet(const FleetOrder& aOrder)
  : mOrder(aOrder)
  , mPolicy(GrantPolicy::Create(aOrder.mBudget))
  , mRandom(aOrder.mSeed)
  , mNodes(aOrder.mRouters)
{
  const double expected = aOrder.mRate * static_cast<double>(aOrder.mRouters * kMeanUse) *
                          aOrder.mSeconds / static_cast<double>(aOrder.mBudgets);
  const double factor = aOrder.mDemand == Demand::Tight         ? 1.05
                        : aOrder.mDemand == Demand::EndOfBudget ? 0.6
                                                                : 100.0;
  mPrepaid = static_cast<Tokens>(expected * factor);
  mUsed.resize(aOrder.mBudgets);
  for (auto& it : mNodes) {
    it.mLedger = MakeLedger();
    it.mPacer.SetInterval(FleetInterval(
      aOrder.mBudget.mCommitInterval, aOrder.mRouters, aOrder.mBudget.mFleetWritesPerSecond));
  }
  // The number of shards is scaled with the fleet, so that each has as many budgets as at the
  // target.
  for (std::size_t n = 0; mNames.size() < aOrder.mBudgets; ++n) {
    const auto name = "budget-" + std::to_string(n);
    const auto shards = std::max<std::size_t>(1, kShards * aOrder.mRouters / 720);
    if (aOrder.mReach > 0 && static_cast<std::size_t>(ShardOf(name)) >= shards) {
      continue;
    }
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    for (std::size_t node = 0; node < mNodes.size(); ++node) {
      order.emplace_back(StableHash(std::to_string(ShardOf(name)), node + 1), node);
    }
    std::sort(order.begin(), order.end());
    order.resize(aOrder.mReach > 0 ? aOrder.mReach : order.size());
    for (const auto& [hash, node] : order) {
      mNodes[node].mBudgets.push_back(mNames.size());
    }
    mNames.push_back(name);
  }
}

std::unique_ptr<Ledger> Fleet::MakeLedger()
{
  return std::make_unique<Ledger>("router-" + std::to_string(mNextId++), *mPolicy);
}

bool Fleet::InTrouble(Trouble aKind) const
{
  const int third = mOrder.mSeconds * kTicksPerSecond / 3;
  const bool part = mOrder.mTrouble == Trouble::Everything &&
                    (aKind == Trouble::Partition || aKind == Trouble::Crashes);
  return (mOrder.mTrouble == aKind || part) && mTick >= third && mTick < 2 * third;
}

bool Fleet::Reaches(std::size_t aNode) const
{
  return !InTrouble(Trouble::Outage) && (!InTrouble(Trouble::Partition) || aNode % 2 == 0);
}

bool Fleet::SameSide(std::size_t aLeft, std::size_t aRight) const
{
  return !InTrouble(Trouble::Partition) || aLeft % 2 == aRight % 2;
}

double Fleet::RateNow() const
{
  if (mOrder.mDemand != Demand::Bursty) {
    return mOrder.mRate;
  }
  const bool burst = mTick / kTicksPerSecond % 10 == 0;
  return mOrder.mRate * (burst ? 10.0 : 1.0) / 1.9;
}

void Fleet::Arrive(std::size_t aNode)
{
  auto& node = mNodes[aNode];
  if (node.mBudgets.empty()) {
    return;
  }
  const int n = std::poisson_distribution<int>(RateNow() / kTicksPerSecond)(mRandom);
  for (int i = 0; i < n; ++i) {
    Call(aNode, node.mBudgets[mRandom() % node.mBudgets.size()], false);
  }
}

void Fleet::Call(std::size_t aNode, std::size_t aBudget, bool aAgain)
{
  auto& node = mNodes[aNode];
  mOut.mRequests += aAgain ? 0 : 1;
  switch (node.mLedger->Reserve(mNames[aBudget], kBound, mNow)) {
    case ReserveAnswer::Reserved: {
      const auto ticks = 20 + static_cast<int>(mRandom() % 40);
      const auto use = static_cast<Tokens>(mRandom() % (2 * kMeanUse));
      node.mOpen.push_back({ mTick + ticks, aBudget, use });
      return;
    }
    case ReserveAnswer::Wait:
      mOut.mWaited += aAgain ? 0 : 1;
      node.mParked.push_back(aBudget);
      return;
    default:
      Refuse(aNode, aBudget);
  }
}

Tokens Fleet::HeldOf(std::size_t aNode, const std::string& aName, bool aInReach) const
{
  Tokens held = 0;
  for (std::size_t n = 0; n < mNodes.size(); ++n) {
    const auto& holdings = mNodes[n].mLedger->Holdings();
    const auto found = holdings.find(aName);
    const bool counts = found != holdings.end() && (!aInReach || SameSide(aNode, n));
    held += counts ? found->second.Free() : 0;
  }
  return held;
}

void Fleet::Refuse(std::size_t aNode, std::size_t aBudget)
{
  ++mOut.mRefused;
  const auto& name = mNames[aBudget];
  const auto& shard = mStore[ShardOf(name)];
  const auto record = shard.mBudgets.find(name);
  const auto left = record == shard.mBudgets.end() ? mPrepaid : record->second.Unallocated();
  const auto all = HeldOf(aNode, name, false) + left;
  if (all >= kBound && all > mPrepaid / 100) {
    ++mOut.mFalse;
    const auto inReach = HeldOf(aNode, name, true) + (Reaches(aNode) ? left : 0);
    mOut.mFalseInReach += inReach >= kBound ? 1 : 0;
  }
}

void Fleet::End(Node& aNode, bool aAll)
{
  std::erase_if(aNode.mOpen, [&](const Open& it) {
    if (it.mEndTick > mTick && !aAll) {
      return false;
    }
    mUsed[it.mBudget] += it.mUse;
    mOut.mUsed += it.mUse;
    const auto key = std::to_string(mNextId++);
    aNode.mLedger->Settle({ key, mNames[it.mBudget], "o", "m", 1, it.mUse }, kBound);
    return true;
  });
}

void Fleet::Round(std::size_t aNode)
{
  auto& node = mNodes[aNode];
  const bool urgent = node.mLedger->HasWaitingRequests();
  const bool mayWrite = node.mPacer.NextWrite(mNow, urgent) <= mNow;
  if (!mayWrite && !(urgent && node.mPacer.IsStoreUnavailable())) {
    return;
  }
  const auto due = node.mLedger->DueShards(mNow);
  if (mayWrite && !due.empty()) {
    Write(aNode, due);
  }
  Ask(aNode);
  for (const auto it : node.mBudgets) {
    const auto found = node.mLedger->Holdings().find(mNames[it]);
    if (found != node.mLedger->Holdings().end() && found->second.mWaitingTokens > 0) {
      node.mLedger->RefuseWaiting(mNames[it], mNow, !node.mPacer.IsStoreUnavailable());
    }
  }
  for (const auto it : std::exchange(node.mParked, {})) {
    Call(aNode, it, true);
  }
}

void Fleet::Write(std::size_t aNode, const std::set<int>& aDue)
{
  auto& node = mNodes[aNode];
  if (!Reaches(aNode)) {
    node.mPacer.OnFailure(mNow, 0.5);
    return;
  }
  PlanInput input;
  input.mNow = mNow;
  input.mWallTime = std::chrono::duration_cast<Millis>(mNow.time_since_epoch());
  input.mConfiguredBudget = [this](const std::string&) {
    return ConfiguredBudget{ mPrepaid, mVersion };
  };
  node.mPacer.OnWrite(mNow);
  node.mPacer.OnSuccess();
  std::size_t n = 0;
  int others = 0;
  for (const auto shard : aDue) {
    if (n++ >= kMostShards) {
      break;
    }
    ++mOut.mReads;
    node.mLedger->Reconcile(shard, mStore[shard]);
    node.mLedger->OnCommitted(shard, node.mLedger->Plan(shard, mStore[shard], input));
    others += mWritersInTick[shard]++;
  }
  const bool conflicts = std::bernoulli_distribution(std::min(1.0, others * kReadToWrite))(mRandom);
  for (int i = 0; i < (conflicts ? 2 : 1); ++i) {
    ++mOut.mWrites;
    node.mWriteTicks.push_back(mTick);
  }
  if (conflicts) {
    ++mOut.mConflicts;
    mOut.mReads += std::min(aDue.size(), kMostShards);
    node.mPacer.OnWrite(mNow);
  }
  while (node.mWriteTicks.front() <= mTick - kRateWindowTicks) {
    node.mWriteTicks.pop_front();
  }
  mOut.mMostWrites = std::max<std::uint64_t>(mOut.mMostWrites, node.mWriteTicks.size());
}

void Fleet::Ask(std::size_t aNode)
{
  auto& taker = *mNodes[aNode].mLedger;
  for (const auto& [name, tokens] : taker.Shortfalls()) {
    auto rest = tokens;
    const auto first = StableHash(name + taker.Incarnation()) % mNodes.size();
    for (std::size_t n = 0; n < std::min(mNodes.size(), kMostAsked) && rest > 0; ++n) {
      const auto giver = (first + n) % mNodes.size();
      if (giver == aNode || !SameSide(aNode, giver)) {
        continue;
      }
      const auto id = std::to_string(mNextId++);
      taker.StartTransfer(id);
      const auto given = mNodes[giver].mLedger->Give(id, name, rest, taker.Incarnation());
      taker.Credit(given);
      rest -= given.mTokens;
    }
  }
}

void Fleet::Crash()
{
  auto& node = mNodes[mRandom() % mNodes.size()];
  ++mOut.mCrashes;
  for (const auto& it : node.mOpen) {
    mUsed[it.mBudget] += it.mUse;
    mOut.mUsed += it.mUse;
  }
  for (const auto& [name, it] : node.mLedger->Holdings()) {
    mOut.mStranded += it.Free() + it.mReserved;
  }
  auto cut = std::exchange(node.mOpen, {});
  node.mParked.clear();
  node.mLedger = MakeLedger();
  if (mOrder.mTrouble != Trouble::Everything) {
    return;
  }
  for (const auto& it : cut) {
    ++mOut.mRetries;
    Call(mRandom() % mNodes.size(), it.mBudget, false);
  }
}

void Fleet::TopUp()
{
  mOut.mOverspend = std::max(mOut.mOverspend, Overspend());
  mPrepaid += mPrepaid / kTopUpDivisor;
  ++mVersion;
}

Tokens Fleet::Overspend() const
{
  Tokens out = 0;
  for (const auto used : mUsed) {
    out += std::max<Tokens>(0, used - mPrepaid);
  }
  return out;
}

FleetFigures Fleet::Run()
{
  for (mTick = 0; mTick < mOrder.mSeconds * kTicksPerSecond; ++mTick) {
    mNow += kTick;
    mWritersInTick.clear();
    const auto every =
      mOrder.mTrouble == Trouble::Everything ? kRareCrashEveryTicks : kCrashEveryTicks;
    if (InTrouble(Trouble::Crashes) && mTick % every == 0) {
      Crash();
    }
    if (mOrder.mTrouble == Trouble::Everything && mTick == mOrder.mSeconds * kTicksPerSecond / 2) {
      TopUp();
    }
    for (std::size_t n = 0; n < mNodes.size(); ++n) {
      End(mNodes[n], false);
      Arrive(n);
      Round(n);
    }
  }
  for (auto& it : mNodes) {
    End(it, true);
  }
  mOut.mOverspend = std::max(mOut.mOverspend, Overspend());
  return mOut;
}

} // namespace

FleetFigures RunFleet(const FleetOrder& aOrder)
{
  return Fleet(aOrder).Run();
}

} // namespace gentianloom::bench
