#include "BudgetSimulation.h"

#include <algorithm>

namespace gentianloom::fault {

void BudgetSimulation::ReportViolation(const std::string& aText)
{
  if (mViolation.empty()) {
    mViolation = aText + " after: " + mEvent;
  }
}

void BudgetSimulation::Check()
{
  for (const auto& it : mBudgets) {
    CheckTokens(it);
  }
  CheckBills();
}

void BudgetSimulation::CheckTokens(const std::string& aBudget)
{
  // Tokens that were used or can still be used, including those of killed and paused incarnations.
  Tokens heldOrUsed = 0;
  for (const auto& router : mRouters) {
    const auto& holdings = router.mLedger->Holdings();
    const auto found = holdings.find(aBudget);
    if (found == holdings.end()) {
      continue;
    }
    const auto& it = found->second;
    const auto used = it.mSpent + it.mStagedTokens + it.mReserved;
    heldOrUsed += used + (router.mReleased || router.mHasStopped ? 0 : it.Free());
    if (!it.mIsRevoked && it.Free() < 0) {
      ReportViolation("a router used more tokens of " + aBudget + " than it holds");
    }
  }
  const auto found = mStore.mBudgets.find(aBudget);
  const Tokens granted = found == mStore.mBudgets.end() ? 0 : found->second.Granted();
  if (heldOrUsed > granted) {
    ReportViolation("overspend: " + std::to_string(heldOrUsed) + " tokens of " + aBudget +
                    " are held or used, granted " + std::to_string(granted));
  }
  if (granted > mMaxPrepaid[aBudget]) {
    ReportViolation("overspend: granted " + std::to_string(granted) + " of " + aBudget +
                    ", prepaid " + std::to_string(mMaxPrepaid[aBudget]));
  }
}

void BudgetSimulation::CheckCommit(const ShardRecord& aBefore)
{
  for (const auto& [name, it] : mStore.mBudgets) {
    const auto old = aBefore.mBudgets.find(name);
    const auto granted = old == aBefore.mBudgets.end() ? 0 : old->second.Granted();
    const auto version = old == aBefore.mBudgets.end() ? 0 : old->second.mVersion;
    if (it.Granted() > std::max(it.mPrepaid, granted)) {
      ReportViolation("granted more of " + name + " than is prepaid");
    }
    if (it.mVersion < version || it.mPrepaid != FindConfiguredBudget(it.mVersion, name).mPrepaid) {
      ReportViolation("the prepaid figure of " + name + " was overwritten by an older version");
    }
    Tokens usage = 0;
    for (const auto& [key, tokens] : it.mUsage) {
      usage += tokens;
    }
    const auto view = MakeBudgetView(mStore, name, Millis(0));
    const auto sum = view.mSpent + view.mHeld + view.mInDoubt + view.mUnallocated;
    if (usage != it.Spent() || view.mPrepaid != sum) {
      ReportViolation("usage or the figures of " + name + " do not add up");
    }
  }
}

Tokens BudgetSimulation::BilledTokens(const Request& aRequest) const
{
  Tokens sum = 0;
  for (const auto& key : aRequest.mKeys) {
    const auto it = mStore.mBills.find(key);
    sum += it == mStore.mBills.end() ? 0 : it->second.mTokens;
  }
  return sum;
}

void BudgetSimulation::CheckBills()
{
  std::map<std::string, Tokens> billed;
  for (std::size_t n = 0; n < mRequests.size(); ++n) {
    const auto& request = mRequests[n];
    const auto sum = BilledTokens(request);
    if (sum > request.mMaxUsed) {
      ReportViolation("request " + std::to_string(n) + " is billed " + std::to_string(sum) +
                      ", used " + std::to_string(request.mMaxUsed));
    }
    billed[request.mBudget] += sum;
  }
  for (const auto& [name, it] : mStore.mBudgets) {
    Tokens released = 0;
    for (const auto& [key, tokens] : it.mUsage) {
      released += key.mOrganisation == kReleasedOrganisation ? tokens : 0;
    }
    if (billed[name] + released != it.Spent()) {
      ReportViolation("bills of " + name + " sum to " + std::to_string(billed[name]) + ", spent " +
                      std::to_string(it.Spent()));
    }
  }
}

void BudgetSimulation::CheckAfterRecovery()
{
  for (std::size_t n = 0; n < mRouters.size(); ++n) {
    const auto& it = mRouters[n];
    if (!it.mHasStopped || (!it.mWasKilled && it.mLedger->StagedBills() > 0)) {
      ReportViolation("router " + std::to_string(n) + " could not report everything and shut down");
    }
  }
  if (mTokensMayBeLost) {
    return;
  }
  for (std::size_t n = 0; n < mRequests.size(); ++n) {
    const auto billed = BilledTokens(mRequests[n]);
    if (billed != mRequests[n].mMaxUsed) {
      ReportViolation("request " + std::to_string(n) + " is billed " + std::to_string(billed) +
                      ", used " + std::to_string(mRequests[n].mMaxUsed));
    }
  }
  for (const auto& [name, it] : mStore.mBudgets) {
    if (it.Granted() != it.Spent()) {
      ReportViolation("tokens of " + name + " were lost although nothing failed");
    }
  }
}

} // namespace gentianloom::fault
