#include "BudgetSimulation.h"

#include <algorithm>

namespace gentianloom::fault {

namespace {

/// Simulated time of one event. Refusals last 50 to 800 ms, which is several steps.
constexpr Micros kStepTime{ 20'000 };
constexpr Tokens kInitialPrepaid = 150;
constexpr Tokens kMaxRequestTokens = 40;
constexpr std::size_t kBudgets = 2;
constexpr std::size_t kMaxHistory = 6;

/// Returns names of budgets that are stored in the same shard.
std::vector<std::string> BudgetsOfOneShard()
{
  std::vector<std::string> out{ "budget-0" };
  for (int n = 1; out.size() < kBudgets; ++n) {
    const auto name = "budget-" + std::to_string(n);
    if (ShardOf(name) == ShardOf(out.front())) {
      out.push_back(name);
    }
  }
  return out;
}

BudgetSettings MakeSettings(const std::string& aPolicy)
{
  BudgetSettings out;
  out.mPolicy = aPolicy;
  out.mFixedTokens = 60;
  out.mDemandWindow = Millis(20'000);
  return out;
}

} // namespace

std::uint64_t Random::Next()
{
  std::uint64_t z = (mState += 0x9e3779b97f4a7c15U);
  z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
  z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
  return z ^ (z >> 31U);
}

BudgetSimulation::BudgetSimulation(const Options& aOptions, StepCallback aOnStep)
  : mOptions(aOptions)
  , mOnStep(std::move(aOnStep))
  , mPolicy(GrantPolicy::Create(MakeSettings(aOptions.mPolicy)))
{
  static const auto kNames = BudgetsOfOneShard();
  mBudgets = kNames;
  mShard = ShardOf(mBudgets.front());
  mVersions.emplace_back();
  for (const auto& it : mBudgets) {
    mVersions.back()[it] = kInitialPrepaid;
    mMaxPrepaid[it] = kInitialPrepaid;
  }
  mRouters.reserve(kMaxIncarnations + 1); // keeps references valid when a fault adds a router
  for (std::size_t n = 0; n < mOptions.mRouters; ++n) {
    AddRouter();
  }
}

std::size_t BudgetSimulation::AddRouter()
{
  Router router;
  router.mLedger =
    std::make_unique<Ledger>("incarnation-" + std::to_string(mRouters.size()), *mPolicy);
  router.mVersion = static_cast<std::int64_t>(mVersions.size());
  router.mLastWriteAt = mNow;
  mRouters.push_back(std::move(router));
  return mRouters.size() - 1;
}

std::optional<std::size_t> BudgetSimulation::PickActiveRouter(Random& aRandom)
{
  std::vector<std::size_t> out;
  for (std::size_t n = 0; n < mRouters.size(); ++n) {
    if (!mRouters[n].mHasStopped && mRouters[n].mFrozenSteps == 0) {
      out.push_back(n);
    }
  }
  return out.empty() ? std::nullopt : std::optional(out[aRandom.Below(out.size())]);
}

void BudgetSimulation::RunEvent(std::uint64_t aRandomValue)
{
  if (!mViolation.empty()) {
    return;
  }
  Random random(aRandomValue);
  mEvent = "nothing";
  mNow += kStepTime;
  for (auto* it : { &mStoreDownSteps, &mStoreSlowSteps, &mStoreStaleSteps, &mPeersCutSteps }) {
    *it = std::max(0, *it - 1);
  }
  for (auto& it : mRouters) {
    it.mFrozenSteps = std::max(0, it.mFrozenSteps - 1);
    it.mStoreCutSteps = std::max(0, it.mStoreCutSteps - 1);
    it.mAnswersCutSteps = std::max(0, it.mAnswersCutSteps - 1);
  }
  const auto router = PickActiveRouter(random);
  const auto kind = random.Below(100);
  const unsigned commitPercent = mStoreSlowSteps > 0 ? 1 : 24;
  if (!router) {
    mEvent = "time passes";
  } else if (kind < 20) {
    const bool retries = !mRequests.empty() && random.Chance(20);
    CallRequest(
      random, *router, retries ? std::optional(random.Below(mRequests.size())) : std::nullopt);
  } else if (kind < 32) {
    FinishStream(random, *router);
  } else if (kind < 62) {
    AdvanceStoreCall(random, *router);
  } else if (kind < 62 + commitPercent) {
    ProcessCommit(random, random.Below(std::max<std::size_t>(1, mCommits.size())));
  } else if (kind < 90) {
    RequestTransfer(random, *router);
  } else if (kind < 95) {
    DeliverMessage(random, random.Below(std::max<std::size_t>(1, mMessages.size())));
  } else if (kind < 97) {
    RunOperator(random);
  } else if (mOptions.mFaults) {
    InjectRandomFault(random, *router);
  }
  if (mOptions.mMutant == kMutantReclaim) {
    ReclaimByTime();
  }
  Check();
}

void BudgetSimulation::CallRequest(Random& aRandom,
                                   std::size_t aRouter,
                                   std::optional<std::size_t> aRetriedRequest)
{
  auto& router = mRouters[aRouter];
  if (router.mIsClosing) {
    return;
  }
  if (!aRetriedRequest) {
    Request request;
    request.mBudget = mBudgets[aRandom.Below(mBudgets.size())];
    request.mMaxTokens = 1 + static_cast<Tokens>(aRandom.Below(kMaxRequestTokens));
    mRequests.push_back(std::move(request));
    aRetriedRequest = mRequests.size() - 1;
  }
  const auto& request = mRequests[*aRetriedRequest];
  mEvent =
    "router " + std::to_string(aRouter) + " gets request " + std::to_string(*aRetriedRequest);
  const auto answer = router.mLedger->Reserve(request.mBudget, request.mMaxTokens, mNow);
  if (answer == ReserveAnswer::Reserved) {
    ++mCounts.mReserved;
    router.mStreams.push_back({ *aRetriedRequest, request.mBudget, request.mMaxTokens });
  } else if (answer == ReserveAnswer::Exhausted) {
    ++mCounts.mRefused;
  }
}

void BudgetSimulation::FinishStream(Random& aRandom, std::size_t aRouter)
{
  auto& router = mRouters[aRouter];
  if (router.mStreams.empty()) {
    return;
  }
  // The ledger settles and queues the bill in one call; a fault may occur before either step.
  for (const auto step : { Step::RequestSettle, Step::BillStage }) {
    mOnStep(step, aRouter);
    if (router.mHasStopped || router.mFrozenSteps > 0 || router.mStreams.empty()) {
      return;
    }
  }
  const auto stream = router.mStreams.back();
  router.mStreams.pop_back();
  auto& request = mRequests[stream.mRequest];
  auto used = static_cast<Tokens>(aRandom.Below(static_cast<std::size_t>(stream.mMaxTokens) + 1));
  if (router.mBreaksNextStream) {
    used = stream.mMaxTokens / 2;
    router.mBreaksNextStream = false;
  }
  request.mMaxUsed = std::max(request.mMaxUsed, used);
  auto key = "request-" + std::to_string(stream.mRequest);
  if (mOptions.mMutant == kMutantBill) {
    key += "-" + std::to_string(aRouter);
  }
  mCounts.mReruns += request.mKeys.empty() ? 0 : 1;
  request.mKeys.insert(key);
  mEvent = "router " + std::to_string(aRouter) + " ends request " +
           std::to_string(stream.mRequest) + ", tokens used: " + std::to_string(used);
  router.mLedger->Settle({ key, stream.mBudget, "organisation", "model", 1, used },
                         stream.mMaxTokens);
}

ConfiguredBudget BudgetSimulation::FindConfiguredBudget(std::int64_t aVersion,
                                                        const std::string& aBudget) const
{
  return { mVersions[static_cast<std::size_t>(aVersion) - 1].at(aBudget), aVersion };
}

PlanInput BudgetSimulation::MakePlanInput(std::size_t aRouter) const
{
  const auto& router = mRouters[aRouter];
  PlanInput out;
  out.mNow = mNow;
  out.mWallTime = std::chrono::duration_cast<Millis>(mNow.time_since_epoch());
  out.mConfiguredBudget = [this, version = router.mVersion](const std::string& it) {
    return FindConfiguredBudget(version, it);
  };
  out.mIsClosing = router.mIsClosing;
  return out;
}

void BudgetSimulation::TimeOutCommit(std::size_t aRouter)
{
  auto& router = mRouters[aRouter];
  if (mOptions.mMutant == kMutantLostAnswer) {
    router.mLedger->OnCommitted(mShard, router.mAwaitedBatch);
  }
  for (const auto& it : mBudgets) {
    router.mLedger->RefuseWaiting(it, mNow, false);
  }
  for (auto& it : mCommits) {
    it.mIsAwaited = it.mIsAwaited && it.mRouter != aRouter;
  }
  router.mAwaitedBatch = 0;
  router.mHasUnresolvedCommit = true;
}

void BudgetSimulation::AdvanceStoreCall(Random& aRandom, std::size_t aRouter)
{
  auto& router = mRouters[aRouter];
  if (router.mAwaitedBatch != 0) {
    if (aRandom.Chance(mOptions.mFaults ? 15 : 2)) {
      mEvent = "router " + std::to_string(aRouter) + "'s commit times out";
      TimeOutCommit(aRouter);
    }
    return;
  }
  if (router.mReadShard) {
    SendCommit(aRouter);
    return;
  }
  const auto due = router.mLedger->DueShards(mNow);
  if (due.empty() && !router.mIsClosing) {
    return;
  }
  mOnStep(Step::GrantRead, aRouter);
  if (router.mHasStopped || router.mFrozenSteps > 0 || mStoreDownSteps > 0 ||
      router.mStoreCutSteps > 0 || router.mAnswersCutSteps > 0) {
    return;
  }
  mEvent = "router " + std::to_string(aRouter) + " reads the shard";
  const bool stale = !mHistory.empty() && mStoreStaleSteps > 0;
  router.mReadShard =
    stale ? mHistory[aRandom.Below(mHistory.size())] : std::pair(mRevision, mStore);
}

void BudgetSimulation::SendCommit(std::size_t aRouter)
{
  auto& router = mRouters[aRouter];
  auto& ledger = *router.mLedger;
  const bool reports = ledger.StagedBills() > 0;
  auto [revision, record] = std::move(*router.mReadShard);
  router.mReadShard.reset();
  if (!ledger.Reconcile(mShard, record)) {
    return;
  }
  if (router.mHasUnresolvedCommit) {
    router.mHasUnresolvedCommit = false;
    mOnStep(Step::BillRecover, aRouter);
  }
  mOnStep(router.mIsClosing ? Step::GrantReturn : Step::GrantCommit, aRouter);
  if (reports) {
    mOnStep(Step::GrantReport, aRouter);
  }
  if (router.mHasStopped || router.mFrozenSteps > 0 || ledger.IsClosed(mShard)) {
    router.mHasStopped = router.mHasStopped || ledger.IsClosed(mShard);
    return;
  }
  const auto batch = ledger.Plan(mShard, record, MakePlanInput(aRouter));
  mEvent = "router " + std::to_string(aRouter) + " sends batch " + std::to_string(batch);
  router.mAwaitedBatch = batch;
  mCommits.push_back({ aRouter, batch, revision, std::move(record) });
  if (router.mTimesOutNextCommit) {
    router.mTimesOutNextCommit = false;
    TimeOutCommit(aRouter);
  }
}

void BudgetSimulation::ProcessCommit(Random& aRandom, std::size_t aIndex)
{
  if (aIndex >= mCommits.size() || mStoreDownSteps > 0) {
    return;
  }
  mOnStep(Step::BillCommit, mCommits[aIndex].mRouter);
  const auto commit = mCommits[aIndex];
  auto& router = mRouters[commit.mRouter];
  if (mStoreDownSteps > 0 || router.mStoreCutSteps > 0) {
    return;
  }
  mCommits.erase(mCommits.begin() + static_cast<std::ptrdiff_t>(aIndex));
  const bool isCommitted = commit.mExpectedRevision == mRevision;
  mEvent = "batch " + std::to_string(commit.mBatch) + " of router " +
           std::to_string(commit.mRouter) + (isCommitted ? " is committed" : " conflicts");
  ++(isCommitted ? mCounts.mCommitted : mCounts.mConflicts);
  if (isCommitted) {
    const auto before = mStore;
    mHistory.emplace_back(mRevision, mStore);
    if (mHistory.size() > kMaxHistory) {
      mHistory.erase(mHistory.begin());
    }
    mStore = commit.mRecord;
    ++mRevision;
    router.mLastWriteAt = mNow;
    CheckCommit(before);
  }
  const bool lost = router.mLosesNextAnswer || router.mAnswersCutSteps > 0 ||
                    (mOptions.mFaults && aRandom.Chance(15));
  router.mLosesNextAnswer = false;
  if (!commit.mIsAwaited || router.mHasStopped || router.mFrozenSteps > 0) {
    return;
  }
  if (lost) {
    mEvent += ", answer lost";
    ++mCounts.mLostAnswers;
    TimeOutCommit(commit.mRouter);
    return;
  }
  router.mAwaitedBatch = 0;
  if (isCommitted) {
    router.mLedger->OnCommitted(mShard, commit.mBatch);
    mCounts.mClosed += router.mLedger->IsClosed(mShard) ? 1 : 0;
    router.mHasStopped = router.mHasStopped || router.mLedger->IsClosed(mShard);
    for (const auto& it : mBudgets) {
      router.mLedger->RefuseWaiting(it, mNow, true);
    }
  } else {
    router.mLedger->OnNotCommitted(mShard, commit.mBatch);
  }
}

void BudgetSimulation::RequestTransfer(Random& aRandom, std::size_t aTaker)
{
  const auto giver = aRandom.Below(mRouters.size());
  const auto shortfalls = mRouters[aTaker].mLedger->Shortfalls();
  if (giver == aTaker || mRouters[giver].mHasStopped || mRouters[aTaker].mIsClosing) {
    return;
  }
  mOnStep(Step::TransferAsk, aTaker);
  if (mPeersCutSteps > 0 || mRouters[aTaker].mHasStopped || mRouters[aTaker].mFrozenSteps > 0) {
    return;
  }
  Message message;
  message.mTaker = aTaker;
  message.mGiver = giver;
  message.mId = "transfer-" + std::to_string(mNextTransfer++);
  message.mBudget = shortfalls.empty() ? mBudgets.front() : shortfalls.begin()->first;
  message.mTokens = shortfalls.empty() ? 5 : shortfalls.begin()->second;
  mRouters[aTaker].mLedger->StartTransfer(message.mId);
  mEvent = message.mId + ": router " + std::to_string(aTaker) + " asks " + std::to_string(giver);
  mMessages.push_back(std::move(message));
}

void BudgetSimulation::DeliverMessage(Random& aRandom, std::size_t aIndex)
{
  if (aIndex >= mMessages.size() || mPeersCutSteps > 0) {
    return;
  }
  const bool answered = mMessages[aIndex].mAnswer.has_value();
  const auto at = answered ? mMessages[aIndex].mTaker : mMessages[aIndex].mGiver;
  mOnStep(answered ? Step::TransferCredit : Step::TransferGive, at);
  auto& router = mRouters[at];
  if (router.mFrozenSteps > 0 || mPeersCutSteps > 0 || aIndex >= mMessages.size()) {
    return;
  }
  auto message = mMessages[aIndex];
  const bool repeats = aRandom.Chance(mOptions.mFaults ? 25 : 5);
  mEvent = message.mId + (answered ? " is credited" : " is given") + (repeats ? ", repeated" : "");
  if (!repeats) {
    mMessages.erase(mMessages.begin() + static_cast<std::ptrdiff_t>(aIndex));
  }
  if (router.mHasStopped || router.mIsClosing || (mOptions.mFaults && aRandom.Chance(10))) {
    mTokensMayBeLost = true;
    return;
  }
  if (!answered) {
    message.mAnswer = router.mLedger->Give(message.mId,
                                           message.mBudget,
                                           message.mTokens,
                                           mRouters[message.mTaker].mLedger->Incarnation());
    mMessages.push_back(std::move(message));
    return;
  }
  if (mOptions.mMutant == kMutantTransfer) {
    router.mLedger->StartTransfer(message.mId);
  }
  mCounts.mCredited += router.mLedger->Credit(*message.mAnswer) ? 1 : 0;
}

} // namespace gentianloom::fault
