#include "gentianloom/budget/Ledger.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// Bills that one write may carry.
constexpr std::size_t kMostBillsPerWrite = 1'000;

} // namespace

const Ledger::Pending* Ledger::FindLanded(const ShardState& aState,
                                          const ShardRecord& aRecord) const
{
  const auto mine = aRecord.mWriters.find(mIncarnation);
  for (const auto& it : aState.mPending) {
    // Only this incarnation's last batch removes it from the writers.
    const bool landed = it.mClosing
                          ? mine == aRecord.mWriters.end() && aRecord.mCommits >= it.mCommit
                          : mine != aRecord.mWriters.end() && mine->second.mBatch == it.mBatch;
    if (landed) {
      return &it;
    }
  }
  return nullptr;
}

bool Ledger::Reconcile(int aShard, const ShardRecord& aRecord)
{
  auto& state = mShards[aShard];
  if (aRecord.mCommits < state.mConfirmed) {
    return false;
  }
  const auto* landed = FindLanded(state, aRecord);
  if (landed != nullptr) {
    Apply(state, *landed);
  }
  if (state.mStaged.empty()) {
    state.mSeenCommit = std::max(state.mSeenCommit, aRecord.mCommits);
  }
  for (const auto& name : state.mBudgets) {
    const auto it = aRecord.mBudgets.find(name);
    if (it != aRecord.mBudgets.end()) {
      LearnBudget(state, name, it->second);
    }
  }
  return true;
}

void Ledger::LearnBudget(ShardState& aState, const std::string& aName, const BudgetRecord& aBudget)
{
  auto& holding = mHoldings.at(aName);
  const auto entry = aBudget.mHolders.find(mIncarnation);
  holding.See(aBudget, entry == aBudget.mHolders.end() ? HolderRecord{} : entry->second);
  if (entry != aBudget.mHolders.end() && entry->second.mReleased && !holding.mRevoked) {
    DropRevoked(aState, aName);
  }
}

void Ledger::DropRevoked(ShardState& aState, const std::string& aBudget)
{
  auto& it = mHoldings.at(aBudget);
  it.mRevoked = true;
  it.mStaged = 0;
  const auto n =
    std::erase_if(aState.mStaged, [&aBudget](const Bill& it) { return it.mBudget == aBudget; });
  mStagedBills -= n;
  // No write of before the release can land on the record that shows it.
  aState.mPending.clear();
  Recount(aState);
}

void Ledger::ChargeBills(ShardState& aState,
                         ShardRecord& aRecord,
                         Pending& aPending,
                         Millis aWallTime)
{
  aPending.mBills = std::min(aState.mStaged.size(), kMostBillsPerWrite);
  for (std::size_t n = 0; n < aPending.mBills; ++n) {
    const auto& bill = aState.mStaged[n];
    if (bill.mKey.empty()) {
      // No other run can bill the same work, so nothing is kept of it but the sum.
      aRecord.mBudgets[bill.mBudget].mHolders[mIncarnation].mSpent += bill.mTokens;
      aPending.mBudgets[bill.mBudget];
      continue;
    }
    auto& known = aRecord.mBills[bill.mKey];
    if (known.mCommit == 0 && aRecord.mPruned > aState.mSeenCommit) {
      ++mUncheckedBills;
    }
    const auto charge = ChargeOf(bill.mTokens, known.mTokens);
    known = { known.mTokens + charge, aRecord.mCommits, aWallTime };
    auto& budget = aRecord.mBudgets[bill.mBudget];
    budget.mHolders[mIncarnation].mSpent += charge;
    if (charge > 0) {
      budget.mUsage[{ bill.mOrganisation, bill.mModel, bill.mDay }] += charge;
    }
    aPending.mBudgets[bill.mBudget];
  }
}

void Ledger::PlanBudget(const std::string& aName,
                        ShardRecord& aRecord,
                        Pending& aPending,
                        const PlanInput& aInput)
{
  auto& holding = mHoldings.at(aName);
  auto& budget = aRecord.mBudgets[aName];
  const auto stated = aInput.mConfiguredBudget(aName);
  budget.State(stated.mPrepaid, stated.mVersion);
  auto& entry = budget.mHolders[mIncarnation];
  entry.mReceived = holding.mReceived;
  entry.mGiven = holding.mGiven;
  // What an unresolved earlier batch returns stays deducted; this batch returns it as well.
  Tokens back = holding.mReturning;
  if (aInput.mClosing) {
    back += holding.Free();
  } else {
    const auto left = budget.Unallocated();
    const auto more = holding.Draw(mPolicy, left);
    entry.mGranted += more;
    holding.mDrawing = more;
    back += more > 0 ? 0 : holding.Excess(mPolicy, left);
  }
  holding.mReturning = back;
  entry.mReturned = holding.mReturned + back;
  holding.mLeftSeen = budget.Unallocated();
  holding.mLooked = true;
  aPending.mBudgets[aName] = {
    entry.mGranted, entry.mReturned, entry.mSpent, holding.mGiven, holding.Received()
  };
}

std::int64_t Ledger::Plan(int aShard, ShardRecord& aRecord, const PlanInput& aInput)
{
  auto& state = mShards[aShard];
  Pending pending;
  pending.mBatch = ++mNextBatch;
  ++aRecord.mCommits;
  pending.mCommit = aRecord.mCommits;
  pending.mPlanned = aInput.mNow;
  aRecord.mWriters[mIncarnation] = { pending.mBatch, aRecord.mCommits, aInput.mWallTime };
  ChargeBills(state, aRecord, pending, aInput.mWallTime);
  // The last batch comes after one that is known to be there, or a lost answer could not be told
  // from a write that never happened.
  bool empty = state.mStaged.empty() && state.mConfirmed > 0;
  for (const auto& name : state.mBudgets) {
    if (mHoldings.at(name).mRevoked) {
      continue;
    }
    PlanBudget(name, aRecord, pending, aInput);
    empty = empty && mHoldings.at(name).mReserved == 0;
  }
  pending.mClosing = aInput.mClosing && empty;
  if (pending.mClosing) {
    aRecord.mWriters.erase(mIncarnation);
    for (const auto& [name, it] : pending.mBudgets) {
      aRecord.mBudgets[name].Fold(mIncarnation);
    }
  }
  aRecord.PruneBills(aInput.mWallTime);
  state.mPending.push_back(std::move(pending));
  return mNextBatch;
}

void Ledger::Apply(ShardState& aState, const Pending& aPending)
{
  const auto landed = aPending; // a copy: the list it is in is cleared here
  aState.mPending.clear();
  aState.mConfirmed = landed.mCommit;
  aState.mSeenCommit = landed.mCommit;
  aState.mReported = landed.mPlanned;
  aState.mClosed = landed.mClosing;
  for (std::size_t n = 0; n < landed.mBills; ++n) {
    const auto& bill = aState.mStaged.front();
    mHoldings.at(bill.mBudget).mStaged -= bill.mTokens;
    aState.mStaged.pop_front();
    --mStagedBills;
  }
  for (const auto& [name, it] : landed.mBudgets) {
    auto& holding = mHoldings.at(name);
    holding.mGranted = it.mGranted;
    holding.mReturned = it.mReturned;
    holding.mSpent = it.mSpent;
    holding.mChanged = holding.mGiven != it.mGiven || holding.Received() != it.mReceived;
  }
  Recount(aState);
}

void Ledger::Recount(ShardState& aState)
{
  for (const auto& name : aState.mBudgets) {
    auto& holding = mHoldings.at(name);
    holding.mReturning = 0;
    holding.mDrawing = 0;
    for (const auto& pending : aState.mPending) {
      const auto it = pending.mBudgets.find(name);
      if (it != pending.mBudgets.end()) {
        holding.mReturning = std::max(holding.mReturning, it->second.mReturned - holding.mReturned);
      }
    }
  }
}

void Ledger::OnCommitted(int aShard, std::int64_t aBatch)
{
  auto& state = mShards[aShard];
  const auto& list = state.mPending;
  const auto found = std::find_if(
    list.begin(), list.end(), [aBatch](const auto& it) { return it.mBatch == aBatch; });
  if (found != list.end()) {
    Apply(state, *found);
  }
}

void Ledger::OnNotCommitted(int aShard, std::int64_t aBatch)
{
  auto& state = mShards[aShard];
  std::erase_if(state.mPending, [aBatch](const auto& it) { return it.mBatch == aBatch; });
  Recount(state);
}

} // namespace gentianloom
