#include "gentianloom/budget/Ledger.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// Maximum number of bills in one write.
constexpr std::size_t kMaxBillsPerWrite = 1'000;

} // namespace

/// Returns the pending batch that the record shows as committed, or null.
const Ledger::Pending* Ledger::FindCommitted(const ShardState& aState,
                                             const ShardRecord& aRecord) const
{
  const auto writer = aRecord.mWriters.find(mIncarnation);
  for (const auto& it : aState.mPending) {
    // Only the closing batch removes this incarnation from the writers.
    const bool committed =
      it.mIsClosing ? writer == aRecord.mWriters.end() && aRecord.mCommits >= it.mCommit
                    : writer != aRecord.mWriters.end() && writer->second.mBatch == it.mBatch;
    if (committed) {
      return &it;
    }
  }
  return nullptr;
}

bool Ledger::Reconcile(int aShard, const ShardRecord& aRecord)
{
  auto& state = mShards[aShard];
  if (aRecord.mCommits < state.mConfirmedCommit) {
    return false;
  }
  const auto* committed = FindCommitted(state, aRecord);
  if (committed != nullptr) {
    ApplyCommitted(state, *committed);
  }
  if (state.mBillQueue.empty()) {
    state.mLastSeenCommit = std::max(state.mLastSeenCommit, aRecord.mCommits);
  }
  for (const auto& name : state.mBudgets) {
    const auto it = aRecord.mBudgets.find(name);
    if (it != aRecord.mBudgets.end()) {
      ReconcileBudget(state, name, it->second);
    }
  }
  return true;
}

void Ledger::ReconcileBudget(ShardState& aState,
                             const std::string& aName,
                             const BudgetRecord& aBudget)
{
  auto& holding = mHoldings.at(aName);
  const auto entry = aBudget.mHolders.find(mIncarnation);
  holding.UpdateFromRecord(aBudget,
                           entry == aBudget.mHolders.end() ? HolderRecord{} : entry->second);
  if (entry != aBudget.mHolders.end() && entry->second.mReleased && !holding.mIsRevoked) {
    DropRevokedBudget(aState, aName);
  }
}

/// Drops the bills and pending batches of a holding that an operator released.
void Ledger::DropRevokedBudget(ShardState& aState, const std::string& aBudget)
{
  auto& it = mHoldings.at(aBudget);
  it.mIsRevoked = true;
  it.mStagedTokens = 0;
  const auto n =
    std::erase_if(aState.mBillQueue, [&aBudget](const Bill& it) { return it.mBudget == aBudget; });
  mStagedBills -= n;
  // A write planned before the release can no longer take effect: the record's revision changed.
  aState.mPending.clear();
  RecomputePending(aState);
}

void Ledger::ChargeBills(ShardState& aState,
                         ShardRecord& aRecord,
                         Pending& aPending,
                         Millis aWallTime)
{
  aPending.mBills = std::min(aState.mBillQueue.size(), kMaxBillsPerWrite);
  for (std::size_t n = 0; n < aPending.mBills; ++n) {
    const auto& bill = aState.mBillQueue[n];
    if (bill.mKey.empty()) {
      // No other run can bill the same work, so no bill record is needed to detect duplicates.
      aRecord.mBudgets[bill.mBudget].mHolders[mIncarnation].mSpent += bill.mTokens;
      aPending.mBudgets[bill.mBudget];
      continue;
    }
    auto& known = aRecord.mBills[bill.mKey];
    if (known.mCommit == 0 && aRecord.mPruned > aState.mLastSeenCommit) {
      ++mUncheckedBills;
    }
    const auto charge = AdditionalCharge(bill.mTokens, known.mTokens);
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
  const auto configured = aInput.mConfiguredBudget(aName);
  budget.UpdatePrepaid(configured.mPrepaid, configured.mVersion);
  auto& entry = budget.mHolders[mIncarnation];
  entry.mReceived = holding.mReceived;
  entry.mGiven = holding.mGiven;
  // Tokens that an earlier batch of unknown outcome returns stay deducted; this batch returns them
  // again, which has no further effect because the figures are cumulative.
  Tokens returned = holding.mReturning;
  if (aInput.mIsClosing) {
    returned += holding.Free();
  } else {
    const auto unallocated = budget.Unallocated();
    const auto drawn = holding.TokensToDraw(mPolicy, unallocated);
    entry.mGranted += drawn;
    holding.mDrawing = drawn;
    returned += drawn > 0 ? 0 : holding.TokensToReturn(mPolicy, unallocated);
  }
  holding.mReturning = returned;
  entry.mReturned = holding.mReturned + returned;
  holding.mLastUnallocated = budget.Unallocated();
  holding.mIsDrawPlanned = true;
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
  pending.mPlannedAt = aInput.mNow;
  aRecord.mWriters[mIncarnation] = { pending.mBatch, aRecord.mCommits, aInput.mWallTime };
  ChargeBills(state, aRecord, pending, aInput.mWallTime);
  // A closing batch must follow one that is known to have taken effect. Otherwise this incarnation
  // would be missing from the writers whether or not the closing batch took effect.
  bool canClose = state.mBillQueue.empty() && state.mConfirmedCommit > 0;
  for (const auto& name : state.mBudgets) {
    if (mHoldings.at(name).mIsRevoked) {
      continue;
    }
    PlanBudget(name, aRecord, pending, aInput);
    canClose = canClose && mHoldings.at(name).mReserved == 0;
  }
  pending.mIsClosing = aInput.mIsClosing && canClose;
  if (pending.mIsClosing) {
    aRecord.mWriters.erase(mIncarnation);
    for (const auto& [name, it] : pending.mBudgets) {
      aRecord.mBudgets[name].CloseHolder(mIncarnation);
    }
  }
  aRecord.PruneBills(aInput.mWallTime);
  state.mPending.push_back(std::move(pending));
  return mNextBatch;
}

void Ledger::ApplyCommitted(ShardState& aState, const Pending& aPending)
{
  const auto committed = aPending; // copied because the list that contains it is cleared
  aState.mPending.clear();
  aState.mConfirmedCommit = committed.mCommit;
  aState.mLastSeenCommit = committed.mCommit;
  aState.mReportedAt = committed.mPlannedAt;
  aState.mIsClosed = committed.mIsClosing;
  for (std::size_t n = 0; n < committed.mBills; ++n) {
    const auto& bill = aState.mBillQueue.front();
    mHoldings.at(bill.mBudget).mStagedTokens -= bill.mTokens;
    aState.mBillQueue.pop_front();
    --mStagedBills;
  }
  for (const auto& [name, it] : committed.mBudgets) {
    auto& holding = mHoldings.at(name);
    holding.mGranted = it.mGranted;
    holding.mReturned = it.mReturned;
    holding.mSpent = it.mSpent;
    holding.mHasChanges = holding.mGiven != it.mGiven || holding.Received() != it.mReceived;
  }
  RecomputePending(aState);
}

/// Recomputes the tokens being returned from the batches whose outcome is unknown, and resets the
/// tokens being drawn, which the next plan sets.
void Ledger::RecomputePending(ShardState& aState)
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
    ApplyCommitted(state, *found);
  }
}

void Ledger::OnNotCommitted(int aShard, std::int64_t aBatch)
{
  auto& state = mShards[aShard];
  std::erase_if(state.mPending, [aBatch](const auto& it) { return it.mBatch == aBatch; });
  RecomputePending(state);
}

} // namespace gentianloom
