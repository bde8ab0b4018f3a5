#include "BudgetSimulation.h"

#include <algorithm>

namespace gentianloom::fault {

void BudgetSimulation::Fail(const std::string& aText)
{
  if (mViolation.empty()) {
    mViolation = aText + " after: " + mEvent;
  }
}

void BudgetSimulation::Check()
{
  for (const auto& it : mBudgets) {
    CheckRights(it);
  }
  CheckBills();
}

void BudgetSimulation::CheckRights(const std::string& aBudget)
{
  // Everything that was sold or can still be sold, also by dead and by frozen incarnations.
  Tokens rights = 0;
  for (const auto& router : mRouters) {
    const auto& holdings = router.mLedger->Holdings();
    const auto found = holdings.find(aBudget);
    if (found == holdings.end()) {
      continue;
    }
    const auto& it = found->second;
    const auto used = it.mSpent + it.mStaged + it.mReserved;
    rights += used + (router.mReleased || router.mGone ? 0 : it.Free());
    if (!it.mRevoked && it.Free() < 0) {
      Fail("router sold more of " + aBudget + " than it holds");
    }
  }
  const auto found = mStore.mBudgets.find(aBudget);
  const Tokens granted = found == mStore.mBudgets.end() ? 0 : found->second.Granted();
  if (rights > granted) {
    Fail("overspend: rights of " + std::to_string(rights) + " of " + aBudget + " exist, granted " +
         std::to_string(granted));
  }
  if (granted > mMostPrepaid[aBudget]) {
    Fail("overspend: granted " + std::to_string(granted) + " of " + aBudget + ", prepaid " +
         std::to_string(mMostPrepaid[aBudget]));
  }
}

void BudgetSimulation::CheckLanded(const ShardRecord& aBefore)
{
  for (const auto& [name, it] : mStore.mBudgets) {
    const auto old = aBefore.mBudgets.find(name);
    const auto granted = old == aBefore.mBudgets.end() ? 0 : old->second.Granted();
    const auto version = old == aBefore.mBudgets.end() ? 0 : old->second.mVersion;
    if (it.Granted() > std::max(it.mPrepaid, granted)) {
      Fail("granted more of " + name + " than is prepaid");
    }
    if (it.mVersion < version || it.mPrepaid != Stated(it.mVersion, name).mPrepaid) {
      Fail("the prepaid figure of " + name + " went back to an older version");
    }
    Tokens usage = 0;
    for (const auto& [key, tokens] : it.mUsage) {
      usage += tokens;
    }
    const auto view = ViewOf(mStore, name, Millis(0));
    const auto sum = view.mSpent + view.mHeld + view.mInDoubt + view.mUnallocated;
    if (usage != it.Spent() || view.mPrepaid != sum) {
      Fail("usage or the figures of " + name + " do not add up");
    }
  }
}

Tokens BudgetSimulation::BilledOf(const Request& aRequest) const
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
    const auto sum = BilledOf(request);
    if (sum > request.mMostUsed) {
      Fail("request " + std::to_string(n) + " is billed " + std::to_string(sum) + ", used " +
           std::to_string(request.mMostUsed));
    }
    billed[request.mBudget] += sum;
  }
  for (const auto& [name, it] : mStore.mBudgets) {
    Tokens released = 0;
    for (const auto& [key, tokens] : it.mUsage) {
      released += key.mOrganisation == kReleasedUsage ? tokens : 0;
    }
    if (billed[name] + released != it.Spent()) {
      Fail("bills of " + name + " sum to " + std::to_string(billed[name]) + ", spent " +
           std::to_string(it.Spent()));
    }
  }
}

void BudgetSimulation::CheckHealed()
{
  for (std::size_t n = 0; n < mRouters.size(); ++n) {
    const auto& it = mRouters[n];
    if (!it.mGone || (!it.mKilled && it.mLedger->StagedBills() > 0)) {
      Fail("router " + std::to_string(n) + " could not report everything and leave");
    }
  }
  if (mSomeLost) {
    return;
  }
  for (std::size_t n = 0; n < mRequests.size(); ++n) {
    const auto billed = BilledOf(mRequests[n]);
    if (billed != mRequests[n].mMostUsed) {
      Fail("request " + std::to_string(n) + " is billed " + std::to_string(billed) + ", used " +
           std::to_string(mRequests[n].mMostUsed));
    }
  }
  for (const auto& [name, it] : mStore.mBudgets) {
    if (it.Granted() != it.Spent()) {
      Fail("rights of " + name + " were lost although nothing failed");
    }
  }
}

} // namespace gentianloom::fault
