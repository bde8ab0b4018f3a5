#include "gentianloom/budget/Ledger.h"

#include <algorithm>
#include <cassert>

namespace gentianloom {

namespace {

/// Bills that may wait for the key-value service, about 150 bytes each.
constexpr std::size_t kMostStaged = 100'000;
/// Answered transfers that are remembered for repeated asks.
constexpr std::size_t kMostRemembered = 4'096;
/// A budget found short is not drawn on again for 50 ms, doubled each time up to 800 ms, unless a
/// read of its record shows more.
constexpr Millis kFirstRefusal{ 50 };
constexpr int kMostDoublings = 4;
/// Holders by which the time between reports of what was spent grows by one interval.
constexpr int kHoldersAStep = 12;
/// An incarnation that holds rights reports at least this often, so that operators see it is there.
constexpr Millis kReportEvery{ 60'000 };

} // namespace

Ledger::Ledger(std::string aIncarnation, const GrantPolicy& aPolicy)
  : mIncarnation(std::move(aIncarnation))
  , mPolicy(aPolicy)
{
}

Holding& Ledger::Of(const std::string& aBudget)
{
  const auto [it, isNew] = mHoldings.try_emplace(aBudget);
  if (isNew) {
    mShards[ShardOf(aBudget)].mBudgets.insert(aBudget);
  }
  return it->second;
}

void Ledger::SetSteadyFor(double aSeconds)
{
  for (auto& [name, it] : mHoldings) {
    it.mSteadyFor = aSeconds;
  }
}

void Ledger::Hold(const std::string& aBudget, TimePoint aNow)
{
  const bool isNew = !mHoldings.contains(aBudget);
  auto& it = Of(aBudget);
  if (isNew) {
    it.mChanged = true;
    it.mTicked = aNow;
  }
}

ReserveAnswer Ledger::Reserve(const std::string& aBudget,
                              Tokens aTokens,
                              TimePoint aNow,
                              Tokens aRoom)
{
  if (mStagedBills >= kMostStaged) {
    return ReserveAnswer::Unavailable;
  }
  auto& it = Of(aBudget);
  if (it.mTicked == TimePoint{}) {
    it.mTicked = aNow;
  }
  mHasDemand = true;
  it.mLargest = std::max(it.mLargest, aTokens);
  if (it.Free() >= aTokens && aRoom >= aTokens) {
    it.mReserved += aTokens;
    it.mTaken += aTokens;
    return ReserveAnswer::Reserved;
  }
  if (it.mRevoked || (aNow < it.mRefusedUntil && aTokens >= it.mRefusedFrom)) {
    return ReserveAnswer::Exhausted;
  }
  it.mLooked = it.mLooked && it.mWaitingTokens > 0;
  it.mWantedLeast = it.mWaitingTokens > 0 ? std::min(it.mWantedLeast, aTokens) : aTokens;
  it.mWaitingTokens += aTokens;
  it.mWantedMost = std::max(it.mWantedMost, aTokens);
  return ReserveAnswer::Wait;
}

void Ledger::Settle(Bill aBill, Tokens aReserved)
{
  auto& it = Of(aBill.mBudget);
  aBill.mTokens = std::clamp<Tokens>(aBill.mTokens, 0, aReserved);
  assert(it.mReserved >= aReserved);
  it.mReserved -= aReserved;
  if (aBill.mTokens == 0 || it.mRevoked) {
    return;
  }
  it.mStaged += aBill.mTokens;
  ++mStagedBills;
  mShards[ShardOf(aBill.mBudget)].mStaged.push_back(std::move(aBill));
}

Transfer Ledger::Give(const std::string& aId,
                      const std::string& aBudget,
                      Tokens aTokens,
                      const std::string& aTaker)
{
  const auto known = mGiven.find(aId);
  if (known != mGiven.end()) {
    return known->second;
  }
  Transfer out{ aId, aBudget, mIncarnation, 0 };
  const auto holding = mHoldings.find(aBudget);
  if (holding != mHoldings.end()) {
    auto& it = holding->second;
    // Of two that are both short, the one whose name is first keeps what it has.
    const bool keeps = it.mWaitingTokens <= it.Free() || mIncarnation < aTaker;
    const auto offered = it.Free() - (keeps ? it.mWaitingTokens : 0);
    out.mTokens = std::clamp<Tokens>(aTokens, 0, std::max<Tokens>(0, offered));
    it.mGiven += out.mTokens;
    it.mChanged = it.mChanged || out.mTokens > 0;
  }
  mGiven.emplace(aId, out);
  mGivenOrder.push_back(aId);
  if (mGivenOrder.size() > kMostRemembered) {
    mGiven.erase(mGivenOrder.front());
    mGivenOrder.pop_front();
  }
  return out;
}

void Ledger::StartTransfer(const std::string& aId)
{
  mAsked.insert(aId);
}

bool Ledger::Credit(const Transfer& aTransfer)
{
  if (mAsked.erase(aTransfer.mId) == 0 || aTransfer.mTokens <= 0) {
    return false;
  }
  auto& it = Of(aTransfer.mBudget);
  it.mReceived[aTransfer.mGiver] += aTransfer.mTokens;
  it.mChanged = true;
  return true;
}

std::set<int> Ledger::DueShards(TimePoint aNow)
{
  std::set<int> out;
  for (auto& [shard, state] : mShards) {
    const bool charges = aNow - state.mReported >= mPolicy.ChargeInterval() * ChargeSteps(state);
    bool due = (!state.mStaged.empty() && charges) || !state.mPending.empty();
    const bool quiet = aNow - state.mReported >= kReportEvery;
    for (const auto& name : state.mBudgets) {
      auto& it = mHoldings.at(name);
      if (mHasDemand) {
        it.Tick(aNow, mPolicy.DemandMemory());
      } else {
        it.mTicked = aNow; // before the first request of all nothing is learnt about demand
      }
      const bool acts = it.mChanged || it.IsLow(mPolicy) || it.Excess(mPolicy, it.mLeftSeen) > 0;
      due = due || ((acts || (quiet && it.mGranted != it.mReturned)) && !it.mRevoked);
    }
    if (due) {
      out.insert(shard);
    }
  }
  return out;
}

/// Charge intervals between reports: the more holders there are, the rarer each of them reports
/// what it spent.
std::int64_t Ledger::ChargeSteps(const ShardState& aState) const
{
  int n = 1;
  for (const auto& name : aState.mBudgets) {
    n = std::max(n, mHoldings.at(name).mHoldersSeen);
  }
  return 1 + n / kHoldersAStep;
}

bool Ledger::IsClosed(int aShard) const
{
  const auto it = mShards.find(aShard);
  return it != mShards.end() && it->second.mClosed;
}

std::set<int> Ledger::OpenShards() const
{
  const auto isUnused = [this](const std::string& aName) {
    const auto& it = mHoldings.at(aName);
    return it.mReceived.empty() && it.mGiven == 0;
  };
  std::set<int> out;
  for (const auto& [shard, state] : mShards) {
    const bool neverWritten = state.mConfirmed == 0 && state.mPending.empty();
    const bool unused = neverWritten && state.mStaged.empty() &&
                        std::all_of(state.mBudgets.begin(), state.mBudgets.end(), isUnused);
    if (!state.mClosed && !unused) {
      out.insert(shard);
    }
  }
  return out;
}

bool Ledger::HasWaitingRequests() const
{
  return std::any_of(mHoldings.begin(), mHoldings.end(), [](const auto& it) {
    return it.second.mWaitingTokens > 0;
  });
}

std::map<std::string, Tokens> Ledger::Shortfalls() const
{
  std::map<std::string, Tokens> out;
  for (const auto& [name, it] : mHoldings) {
    if (it.mWaitingTokens > it.Free() && !it.mRevoked) {
      out[name] = it.mWaitingTokens - it.Free();
    }
  }
  return out;
}

bool Ledger::RefuseWaiting(const std::string& aBudget, TimePoint aNow, bool aStoreAnswers)
{
  auto& it = Of(aBudget);
  if (aStoreAnswers && it.mWantedMost > it.Free() && it.MayDraw()) {
    return false;
  }
  if (it.mWantedMost > it.Free()) {
    // Others' requests settle and free rights all the time, so a first refusal is short.
    const auto doublings = std::min(it.mRefusals++, kMostDoublings);
    const auto drawable = aStoreAnswers ? std::max<Tokens>(0, it.mLeftSeen) : 0;
    it.mRefusedFrom = it.Free() + drawable + 1;
    it.mRefusedUntil = aNow + kFirstRefusal * (std::int64_t{ 1 } << doublings);
  } else {
    it.mRefusals = 0;
  }
  it.mWaitingTokens = 0;
  it.mWantedMost = 0;
  it.mWantedLeast = 0;
  return true;
}

} // namespace gentianloom
