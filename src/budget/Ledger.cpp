#include "gentianloom/budget/Ledger.h"

#include <algorithm>
#include <cassert>

namespace gentianloom {

namespace {

/// Maximum number of bills that are queued for the key-value service, about 150 bytes each.
constexpr std::size_t kMaxStagedBills = 100'000;
/// Maximum number of answers to transfer requests that are kept for repeated requests.
constexpr std::size_t kMaxAnsweredTransfers = 4'096;
/// After a round that could not obtain enough tokens, requests are refused for 50 ms, doubled after
/// each further such round up to 800 ms, unless a read of the record shows enough tokens.
constexpr Millis kInitialRefusal{ 50 };
constexpr int kMaxDoublings = 4;
/// The time between reports of used tokens grows by one charge interval for each of this many
/// holders.
constexpr int kHoldersPerInterval = 12;
/// Longest time between writes of a holder, so that operators can tell that it is running.
constexpr Millis kMaxReportInterval{ 60'000 };

} // namespace

Ledger::Ledger(std::string aIncarnation, const GrantPolicy& aPolicy)
  : mIncarnation(std::move(aIncarnation))
  , mPolicy(aPolicy)
{
}

Holding& Ledger::HoldingOf(const std::string& aBudget)
{
  const auto [it, isNew] = mHoldings.try_emplace(aBudget);
  if (isNew) {
    mShards[ShardOf(aBudget)].mBudgets.insert(aBudget);
  }
  return it->second;
}

void Ledger::SetSecondsSinceOutage(double aSeconds)
{
  for (auto& [name, it] : mHoldings) {
    it.mSecondsSinceOutage = aSeconds;
  }
}

void Ledger::HoldReserves(const std::vector<std::string>& aBudgets, TimePoint aNow)
{
  for (auto& [name, it] : mHoldings) {
    it.mHoldsReserve = false;
  }
  for (const auto& budget : aBudgets) {
    const bool isNew = !mHoldings.contains(budget);
    auto& it = HoldingOf(budget);
    it.mHoldsReserve = true;
    if (isNew) {
      it.mHasChanges = true;
      it.mDemandUpdatedAt = aNow;
    }
  }
}

ReserveAnswer Ledger::Reserve(const std::string& aBudget,
                              Tokens aTokens,
                              TimePoint aNow,
                              Tokens aUsableTokens)
{
  if (mStagedBills >= kMaxStagedBills) {
    return ReserveAnswer::Unavailable;
  }
  auto& it = HoldingOf(aBudget);
  if (it.mDemandUpdatedAt == TimePoint{}) {
    it.mDemandUpdatedAt = aNow;
  }
  mHasDemand = true;
  it.mLargestRequest = std::max(it.mLargestRequest, aTokens);
  if (it.Free() >= aTokens && aUsableTokens >= aTokens) {
    it.mReserved += aTokens;
    it.mReservedSinceUpdate += aTokens;
    return ReserveAnswer::Reserved;
  }
  if (it.mIsRevoked || (aNow < it.mRefusedUntil && aTokens >= it.mMinRefusedTokens)) {
    return ReserveAnswer::Exhausted;
  }
  it.mIsDrawPlanned = it.mIsDrawPlanned && it.mWaitingTokens > 0;
  it.mSmallestWaiting = it.mWaitingTokens > 0 ? std::min(it.mSmallestWaiting, aTokens) : aTokens;
  it.mWaitingTokens += aTokens;
  it.mLargestWaiting = std::max(it.mLargestWaiting, aTokens);
  return ReserveAnswer::Wait;
}

void Ledger::Settle(Bill aBill, Tokens aReserved)
{
  auto& it = HoldingOf(aBill.mBudget);
  aBill.mTokens = std::clamp<Tokens>(aBill.mTokens, 0, aReserved);
  assert(it.mReserved >= aReserved);
  it.mReserved -= aReserved;
  if (aBill.mTokens == 0 || it.mIsRevoked) {
    return;
  }
  it.mStagedTokens += aBill.mTokens;
  ++mStagedBills;
  mShards[ShardOf(aBill.mBudget)].mBillQueue.push_back(std::move(aBill));
}

Transfer Ledger::Give(const std::string& aId,
                      const std::string& aBudget,
                      Tokens aTokens,
                      const std::string& aTaker)
{
  const auto known = mAnsweredTransfers.find(aId);
  if (known != mAnsweredTransfers.end()) {
    return known->second;
  }
  Transfer out{ aId, aBudget, mIncarnation, 0 };
  const auto holding = mHoldings.find(aBudget);
  if (holding != mHoldings.end()) {
    auto& it = holding->second;
    // If both routers are short of tokens, the one whose name sorts first keeps its own.
    const bool keepsOwn = it.mWaitingTokens <= it.Free() || mIncarnation < aTaker;
    const auto offered = it.Free() - (keepsOwn ? it.mWaitingTokens : 0);
    out.mTokens = std::clamp<Tokens>(aTokens, 0, std::max<Tokens>(0, offered));
    it.mGiven += out.mTokens;
    it.mHasChanges = it.mHasChanges || out.mTokens > 0;
  }
  mAnsweredTransfers.emplace(aId, out);
  mAnsweredOrder.push_back(aId);
  if (mAnsweredOrder.size() > kMaxAnsweredTransfers) {
    mAnsweredTransfers.erase(mAnsweredOrder.front());
    mAnsweredOrder.pop_front();
  }
  return out;
}

void Ledger::StartTransfer(const std::string& aId)
{
  mOpenTransfers.insert(aId);
}

bool Ledger::Credit(const Transfer& aTransfer)
{
  if (mOpenTransfers.erase(aTransfer.mId) == 0 || aTransfer.mTokens <= 0) {
    return false;
  }
  auto& it = HoldingOf(aTransfer.mBudget);
  it.mReceived[aTransfer.mGiver] += aTransfer.mTokens;
  it.mHasChanges = true;
  return true;
}

std::set<int> Ledger::DueShards(TimePoint aNow)
{
  std::set<int> out;
  for (auto& [shard, state] : mShards) {
    const bool isChargeDue =
      aNow - state.mReportedAt >= mPolicy.ChargeInterval() * ChargeIntervals(state);
    bool due = (!state.mBillQueue.empty() && isChargeDue) || !state.mPending.empty();
    const bool isReportDue = aNow - state.mReportedAt >= kMaxReportInterval;
    for (const auto& name : state.mBudgets) {
      auto& it = mHoldings.at(name);
      if (mHasDemand) {
        it.UpdateDemand(aNow, mPolicy.DemandMemory());
      } else {
        it.mDemandUpdatedAt = aNow; // the time before the first request does not lower the estimate
      }
      const bool mustWrite = it.mHasChanges || it.NeedsRefill(mPolicy) ||
                             it.TokensToReturn(mPolicy, it.mLastUnallocated) > 0;
      due = due || ((mustWrite || (isReportDue && it.mGranted != it.mReturned)) && !it.mIsRevoked);
    }
    if (due) {
      out.insert(shard);
    }
  }
  return out;
}

/// Returns the number of charge intervals between reports of used tokens. It grows with the number
/// of holders, because all of them write to the same record.
std::int64_t Ledger::ChargeIntervals(const ShardState& aState) const
{
  int n = 1;
  for (const auto& name : aState.mBudgets) {
    n = std::max(n, mHoldings.at(name).mLastHolderCount);
  }
  return 1 + n / kHoldersPerInterval;
}

bool Ledger::IsClosed(int aShard) const
{
  const auto it = mShards.find(aShard);
  return it != mShards.end() && it->second.mIsClosed;
}

std::set<int> Ledger::OpenShards() const
{
  const auto isUnused = [this](const std::string& aName) {
    const auto& it = mHoldings.at(aName);
    return it.mReceived.empty() && it.mGiven == 0;
  };
  std::set<int> out;
  for (const auto& [shard, state] : mShards) {
    const bool neverWritten = state.mConfirmedCommit == 0 && state.mPending.empty();
    const bool unused = neverWritten && state.mBillQueue.empty() &&
                        std::all_of(state.mBudgets.begin(), state.mBudgets.end(), isUnused);
    if (!state.mIsClosed && !unused) {
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
    if (it.mWaitingTokens > it.Free() && !it.mIsRevoked) {
      out[name] = it.mWaitingTokens - it.Free();
    }
  }
  return out;
}

bool Ledger::RefuseWaiting(const std::string& aBudget, TimePoint aNow, bool aIsStoreAvailable)
{
  auto& it = HoldingOf(aBudget);
  if (aIsStoreAvailable && it.mLargestWaiting > it.Free() && it.MayDraw()) {
    return false;
  }
  if (it.mLargestWaiting > it.Free()) {
    // Requests end and free tokens all the time, on other routers too, so the first period is
    // short.
    const auto doublings = std::min(it.mRefusals++, kMaxDoublings);
    const auto drawable = aIsStoreAvailable ? std::max<Tokens>(0, it.mLastUnallocated) : 0;
    it.mMinRefusedTokens = it.Free() + drawable + 1;
    it.mRefusedUntil = aNow + kInitialRefusal * (std::int64_t{ 1 } << doublings);
  } else {
    it.mRefusals = 0;
  }
  it.mWaitingTokens = 0;
  it.mLargestWaiting = 0;
  it.mSmallestWaiting = 0;
  return true;
}

} // namespace gentianloom
