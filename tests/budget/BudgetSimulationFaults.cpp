#include "BudgetSimulation.h"

#include <algorithm>

namespace gentianloom::fault {

namespace {

constexpr int kFaultSteps = 25;
constexpr Millis kReclaimAfter{ 400 };
constexpr int kHealRounds = 200;

} // namespace

void BudgetSimulation::Kill(std::size_t aRouter)
{
  auto& router = mRouters[aRouter];
  if (router.mGone) {
    return;
  }
  mEvent = "router " + std::to_string(aRouter) + " is killed";
  router.mGone = true;
  router.mKilled = true;
  ++mSeen.mKilled;
  mSomeLost = true;
  // Its open streams may have run to their bounds.
  for (const auto& it : router.mStreams) {
    mRequests[it.mRequest].mMostUsed = std::max(mRequests[it.mRequest].mMostUsed, it.mBound);
  }
  if (mRouters.size() < kMostIncarnations) {
    AddRouter();
  }
}

void BudgetSimulation::DrawFault(Random& aRandom, std::size_t aRouter)
{
  static constexpr std::array kDrawn = {
    Fault::RouterKilled, Fault::RouterFrozen, Fault::StoreDown,      Fault::StoreSlow,
    Fault::StoreStale,   Fault::RoutersCut,   Fault::StoreCut,       Fault::OneWayCut,
    Fault::GracefulStop, Fault::LateAnswer,   Fault::TopUpDuringCut, Fault::DuplicateAnswer,
  };
  InjectFault(kDrawn[aRandom.Below(kDrawn.size())], aRouter);
}

void BudgetSimulation::InjectFault(Fault aFault, std::size_t aRouter)
{
  auto& router = mRouters[aRouter];
  mEvent = std::string(kFaultNames[static_cast<std::size_t>(aFault)]) + " at router " +
           std::to_string(aRouter);
  switch (aFault) {
    case Fault::RouterKilled:
      Kill(aRouter);
      return;
    case Fault::RouterFrozen:
      router.mFrozen = 2 * kFaultSteps;
      return;
    case Fault::StoreDown:
      mStoreDown = kFaultSteps;
      return;
    case Fault::StoreSlow:
      mStoreSlow = kFaultSteps;
      return;
    case Fault::StoreStale:
      mStoreStale = kFaultSteps;
      return;
    case Fault::StoreLosesAnswer:
      router.mLoseNext = true;
      return;
    case Fault::RoutersCut:
      mPeersCut = kFaultSteps;
      return;
    case Fault::StoreCut:
      router.mStoreCut = 2 * kFaultSteps;
      return;
    case Fault::OneWayCut:
      router.mAnswersCut = kFaultSteps;
      return;
    case Fault::TopUpDuringCut: {
      mPeersCut = kFaultSteps;
      router.mStoreCut = kFaultSteps;
      auto next = mVersions.back();
      for (auto& [name, prepaid] : next) {
        prepaid += 100;
        mMostPrepaid[name] = std::max(mMostPrepaid[name], prepaid);
      }
      mVersions.push_back(std::move(next));
      return;
    }
    case Fault::ReorderedAnswer:
      std::reverse(mCommits.begin(), mCommits.end());
      std::reverse(mMessages.begin(), mMessages.end());
      [[fallthrough]];
    case Fault::LateAnswer:
      if (router.mSent != 0) {
        GiveUpWait(aRouter);
      } else {
        router.mGiveUpNext = true;
      }
      return;
    case Fault::DuplicateAnswer: {
      const auto commits = mCommits;
      mCommits.insert(mCommits.end(), commits.begin(), commits.end());
      const auto messages = mMessages;
      mMessages.insert(mMessages.end(), messages.begin(), messages.end());
      return;
    }
    case Fault::OperatorsRace: {
      Random random(mRequests.size());
      Operate(random);
      Operate(random);
      return;
    }
    case Fault::GracefulStop:
      router.mClosing = true;
      return;
    case Fault::CallerRetriesElsewhere: {
      Random random(mRequests.size());
      const auto other = Active(random);
      if (other && !mRequests.empty()) {
        CallRequest(random, *other, mRequests.size() - 1);
      }
      return;
    }
    case Fault::EndpointCrash:
    case Fault::EndpointCut:
    case Fault::CrashingRequest:
      router.mBreakNext = true;
      return;
    default:
      return;
  }
}

void BudgetSimulation::Operate(Random& aRandom)
{
  const auto choice = aRandom.Below(10);
  if (choice < 3) {
    for (std::size_t n = 0; n < mRouters.size(); ++n) {
      if (mRouters[n].mKilled && !mRouters[n].mReleased) {
        ReleaseDead(n);
        return;
      }
    }
  }
  if (choice < 6) {
    for (auto& it : mRouters) {
      it.mVersion = aRandom.Chance(60) ? static_cast<std::int64_t>(mVersions.size()) : it.mVersion;
    }
    mEvent = "some routers take the newest configuration";
    return;
  }
  auto next = mVersions.back();
  const auto& name = mBudgets[aRandom.Below(mBudgets.size())];
  auto& prepaid = next[name];
  if (choice == 9 && mOptions.mLowers) {
    ++mSeen.mLowered;
    prepaid = aRandom.Chance(50) ? 0 : prepaid / 2;
  } else {
    prepaid += static_cast<Tokens>(aRandom.Below(150));
  }
  mEvent = name + " is stated with " + std::to_string(prepaid);
  mMostPrepaid[name] = std::max(mMostPrepaid[name], prepaid);
  mVersions.push_back(std::move(next));
}

void BudgetSimulation::ReleaseDead(std::size_t aRouter)
{
  // The operator read the journals: what it billed, ran without a bill, and gave away.
  auto& router = mRouters[aRouter];
  const auto& ledger = *router.mLedger;
  mEvent = "an operator releases router " + std::to_string(aRouter);
  auto record = mStore;
  for (const auto& [name, it] : ledger.Holdings()) {
    const auto used = it.mSpent + it.mStaged + it.mReserved + it.mGiven;
    const auto answer = Release(record, { name, ledger.Incarnation(), used, Millis(0) });
    static_cast<void>(answer);
  }
  const auto before = mStore;
  mStore = std::move(record);
  ++mRevision;
  router.mReleased = true;
  ++mSeen.mReleased;
  CheckLanded(before);
}

void BudgetSimulation::ReclaimByTime()
{
  for (auto& it : mRouters) {
    const bool silent = mNow - it.mWrote > kReclaimAfter;
    if (!silent || it.mReleased) {
      continue;
    }
    for (const auto& name : mBudgets) {
      const auto budget = mStore.mBudgets.find(name);
      if (budget == mStore.mBudgets.end() ||
          !budget->second.mHolders.contains(it.mLedger->Incarnation())) {
        continue;
      }
      const auto& entry = budget->second.mHolders.at(it.mLedger->Incarnation());
      const auto known = budget->second.KnownGiven(it.mLedger->Incarnation());
      const auto used = entry.mSpent + std::max(entry.mGiven, known);
      static_cast<void>(
        Release(mStore, { name, it.mLedger->Incarnation(), used, Millis(0) }).has_value());
      ++mRevision;
    }
  }
}

void BudgetSimulation::Drain(std::size_t aRouter)
{
  Random random(7);
  auto& router = mRouters[aRouter];
  for (int n = 0; n < kHealRounds && mViolation.empty(); ++n) {
    while (router.mClosing && !router.mStreams.empty() && !router.mGone) {
      FinishStream(random, aRouter);
    }
    StoreStep(random, aRouter);
    while (!mCommits.empty()) {
      Land(random, 0);
    }
    const bool idle = router.mLedger->StagedBills() == 0 && !router.mRead && router.mSent == 0;
    if (router.mGone || (idle && !router.mClosing)) {
      return;
    }
  }
}

void BudgetSimulation::EndFaults()
{
  if (!mViolation.empty()) {
    return;
  }
  mStoreDown = mStoreSlow = mStoreStale = mPeersCut = 0;
  mOptions.mFaults = false;
  mAtStep = [](Step, std::size_t) {};
  Random random(11);
  for (auto& it : mRouters) {
    it.mFrozen = it.mStoreCut = it.mAnswersCut = 0;
    it.mLoseNext = false;
    it.mVersion = static_cast<std::int64_t>(mVersions.size());
  }
  for (std::size_t n = 0; !mMessages.empty() && n < 1'000; ++n) {
    Deliver(random, 0);
  }
  mMessages.clear();
  for (std::size_t n = 0; n < mRouters.size(); ++n) {
    if (!mRouters[n].mGone) {
      mRouters[n].mClosing = true;
      Drain(n);
    }
  }
  Check();
  CheckHealed();
}

} // namespace gentianloom::fault
