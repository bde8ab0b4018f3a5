#include "BudgetSimulation.h"

#include <algorithm>

namespace gentianloom::fault {

namespace {

/// Number of steps for which a fault lasts; some faults last twice as long.
constexpr int kFaultSteps = 25;
constexpr Millis kReclaimAfter{ 400 };
constexpr int kMaxDrainRounds = 200;

} // namespace

void BudgetSimulation::Kill(std::size_t aRouter)
{
  auto& router = mRouters[aRouter];
  if (router.mHasStopped) {
    return;
  }
  mEvent = "router " + std::to_string(aRouter) + " is killed";
  router.mHasStopped = true;
  router.mWasKilled = true;
  ++mCounts.mKilled;
  mTokensMayBeLost = true;
  // The open streams may have used all the tokens reserved for them.
  for (const auto& it : router.mStreams) {
    mRequests[it.mRequest].mMaxUsed = std::max(mRequests[it.mRequest].mMaxUsed, it.mMaxTokens);
  }
  if (mRouters.size() < kMaxIncarnations) {
    AddRouter();
  }
}

void BudgetSimulation::InjectRandomFault(Random& aRandom, std::size_t aRouter)
{
  static constexpr std::array kRandomFaults = {
    Fault::RouterKilled, Fault::RouterFrozen, Fault::StoreDown,      Fault::StoreSlow,
    Fault::StoreStale,   Fault::RoutersCut,   Fault::StoreCut,       Fault::OneWayCut,
    Fault::GracefulStop, Fault::LateAnswer,   Fault::TopUpDuringCut, Fault::DuplicateAnswer,
  };
  InjectFault(kRandomFaults[aRandom.Below(kRandomFaults.size())], aRouter);
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
      router.mFrozenSteps = 2 * kFaultSteps;
      return;
    case Fault::StoreDown:
      mStoreDownSteps = kFaultSteps;
      return;
    case Fault::StoreSlow:
      mStoreSlowSteps = kFaultSteps;
      return;
    case Fault::StoreStale:
      mStoreStaleSteps = kFaultSteps;
      return;
    case Fault::StoreLosesAnswer:
      router.mLosesNextAnswer = true;
      return;
    case Fault::RoutersCut:
      mPeersCutSteps = kFaultSteps;
      return;
    case Fault::StoreCut:
      router.mStoreCutSteps = 2 * kFaultSteps;
      return;
    case Fault::OneWayCut:
      router.mAnswersCutSteps = kFaultSteps;
      return;
    case Fault::TopUpDuringCut: {
      mPeersCutSteps = kFaultSteps;
      router.mStoreCutSteps = kFaultSteps;
      auto next = mVersions.back();
      for (auto& [name, prepaid] : next) {
        prepaid += 100;
        mMaxPrepaid[name] = std::max(mMaxPrepaid[name], prepaid);
      }
      mVersions.push_back(std::move(next));
      return;
    }
    case Fault::ReorderedAnswer:
      std::reverse(mCommits.begin(), mCommits.end());
      std::reverse(mMessages.begin(), mMessages.end());
      [[fallthrough]];
    case Fault::LateAnswer:
      if (router.mAwaitedBatch != 0) {
        TimeOutCommit(aRouter);
      } else {
        router.mTimesOutNextCommit = true;
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
      RunOperator(random);
      RunOperator(random);
      return;
    }
    case Fault::GracefulStop:
      router.mIsClosing = true;
      return;
    case Fault::CallerRetriesElsewhere: {
      Random random(mRequests.size());
      const auto other = PickActiveRouter(random);
      if (other && !mRequests.empty()) {
        CallRequest(random, *other, mRequests.size() - 1);
      }
      return;
    }
    case Fault::EndpointCrash:
    case Fault::EndpointCut:
    case Fault::CrashingRequest:
      router.mBreaksNextStream = true;
      return;
    default:
      return;
  }
}

void BudgetSimulation::RunOperator(Random& aRandom)
{
  const auto choice = aRandom.Below(10);
  if (choice < 3) {
    for (std::size_t n = 0; n < mRouters.size(); ++n) {
      if (mRouters[n].mWasKilled && !mRouters[n].mReleased) {
        ReleaseKilled(n);
        return;
      }
    }
  }
  if (choice < 6) {
    for (auto& it : mRouters) {
      it.mVersion = aRandom.Chance(60) ? static_cast<std::int64_t>(mVersions.size()) : it.mVersion;
    }
    mEvent = "some routers apply the newest configuration";
    return;
  }
  auto next = mVersions.back();
  const auto& name = mBudgets[aRandom.Below(mBudgets.size())];
  auto& prepaid = next[name];
  if (choice == 9 && mOptions.mOperatorsLowerBudgets) {
    ++mCounts.mLowered;
    prepaid = aRandom.Chance(50) ? 0 : prepaid / 2;
  } else {
    prepaid += static_cast<Tokens>(aRandom.Below(150));
  }
  mEvent = name + " is configured with " + std::to_string(prepaid);
  mMaxPrepaid[name] = std::max(mMaxPrepaid[name], prepaid);
  mVersions.push_back(std::move(next));
}

void BudgetSimulation::ReleaseKilled(std::size_t aRouter)
{
  // The operator takes from the logs the tokens billed, used without a bill, and given away.
  auto& router = mRouters[aRouter];
  const auto& ledger = *router.mLedger;
  mEvent = "an operator releases router " + std::to_string(aRouter);
  auto record = mStore;
  for (const auto& [name, it] : ledger.Holdings()) {
    const auto used = it.mSpent + it.mStagedTokens + it.mReserved + it.mGiven;
    const auto answer = Release(record, { name, ledger.Incarnation(), used, Millis(0) });
    static_cast<void>(answer);
  }
  const auto before = mStore;
  mStore = std::move(record);
  ++mRevision;
  router.mReleased = true;
  ++mCounts.mReleased;
  CheckCommit(before);
}

void BudgetSimulation::ReclaimByTime()
{
  for (auto& it : mRouters) {
    const bool isSilent = mNow - it.mLastWriteAt > kReclaimAfter;
    if (!isSilent || it.mReleased) {
      continue;
    }
    for (const auto& name : mBudgets) {
      const auto budget = mStore.mBudgets.find(name);
      if (budget == mStore.mBudgets.end() ||
          !budget->second.mHolders.contains(it.mLedger->Incarnation())) {
        continue;
      }
      const auto& entry = budget->second.mHolders.at(it.mLedger->Incarnation());
      const auto known = budget->second.ReceivedFrom(it.mLedger->Incarnation());
      const auto used = entry.mSpent + std::max(entry.mGiven, known);
      static_cast<void>(
        Release(mStore, { name, it.mLedger->Incarnation(), used, Millis(0) }).has_value());
      ++mRevision;
    }
  }
}

void BudgetSimulation::DrainRouter(std::size_t aRouter)
{
  Random random(7);
  auto& router = mRouters[aRouter];
  for (int n = 0; n < kMaxDrainRounds && mViolation.empty(); ++n) {
    while (router.mIsClosing && !router.mStreams.empty() && !router.mHasStopped) {
      FinishStream(random, aRouter);
    }
    AdvanceStoreCall(random, aRouter);
    while (!mCommits.empty()) {
      ProcessCommit(random, 0);
    }
    const bool idle =
      router.mLedger->StagedBills() == 0 && !router.mReadShard && router.mAwaitedBatch == 0;
    if (router.mHasStopped || (idle && !router.mIsClosing)) {
      return;
    }
  }
}

void BudgetSimulation::ShutDownAndCheck()
{
  if (!mViolation.empty()) {
    return;
  }
  mStoreDownSteps = mStoreSlowSteps = mStoreStaleSteps = mPeersCutSteps = 0;
  mOptions.mFaults = false;
  mOnStep = [](Step, std::size_t) {};
  Random random(11);
  for (auto& it : mRouters) {
    it.mFrozenSteps = it.mStoreCutSteps = it.mAnswersCutSteps = 0;
    it.mLosesNextAnswer = false;
    it.mVersion = static_cast<std::int64_t>(mVersions.size());
  }
  for (std::size_t n = 0; !mMessages.empty() && n < 1'000; ++n) {
    DeliverMessage(random, 0);
  }
  mMessages.clear();
  for (std::size_t n = 0; n < mRouters.size(); ++n) {
    if (!mRouters[n].mHasStopped) {
      mRouters[n].mIsClosing = true;
      DrainRouter(n);
    }
  }
  Check();
  CheckAfterRecovery();
}

} // namespace gentianloom::fault
