#include "BudgetSimulation.h"

#include <algorithm>

namespace gentianloom::fault {

namespace {

/// Refusals stand for 50 to 200 ms: several steps.
constexpr Micros kStepTime{ 20'000 };
constexpr Tokens kFirstPrepaid = 150;
constexpr Tokens kMostBound = 40;
constexpr std::size_t kBudgets = 2;
constexpr std::size_t kHistory = 6;

/// Names of budgets that share the shard of the first one.
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

BudgetSettings SettingsOf(const std::string& aPolicy)
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

BudgetSimulation::BudgetSimulation(const Options& aOptions, AtStep aAtStep)
  : mOptions(aOptions)
  , mAtStep(std::move(aAtStep))
  , mPolicy(GrantPolicy::Create(SettingsOf(aOptions.mPolicy)))
{
  static const auto kNames = BudgetsOfOneShard();
  mBudgets = kNames;
  mShard = ShardOf(mBudgets.front());
  mVersions.emplace_back();
  for (const auto& it : mBudgets) {
    mVersions.back()[it] = kFirstPrepaid;
    mMostPrepaid[it] = kFirstPrepaid;
  }
  mRouters.reserve(kMostIncarnations + 1); // faults add routers while one is in use
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
  router.mWrote = mNow;
  mRouters.push_back(std::move(router));
  return mRouters.size() - 1;
}

std::optional<std::size_t> BudgetSimulation::Active(Random& aRandom)
{
  std::vector<std::size_t> out;
  for (std::size_t n = 0; n < mRouters.size(); ++n) {
    if (!mRouters[n].mGone && mRouters[n].mFrozen == 0) {
      out.push_back(n);
    }
  }
  return out.empty() ? std::nullopt : std::optional(out[aRandom.Below(out.size())]);
}

void BudgetSimulation::RunEvent(std::uint64_t aDraw)
{
  if (!mViolation.empty()) {
    return;
  }
  Random random(aDraw);
  mEvent = "nothing";
  mNow += kStepTime;
  for (auto* it : { &mStoreDown, &mStoreSlow, &mStoreStale, &mPeersCut }) {
    *it = std::max(0, *it - 1);
  }
  for (auto& it : mRouters) {
    it.mFrozen = std::max(0, it.mFrozen - 1);
    it.mStoreCut = std::max(0, it.mStoreCut - 1);
    it.mAnswersCut = std::max(0, it.mAnswersCut - 1);
  }
  const auto router = Active(random);
  const auto kind = random.Below(100);
  const unsigned landing = mStoreSlow > 0 ? 1 : 24;
  if (!router) {
    mEvent = "time passes";
  } else if (kind < 20) {
    const bool retries = !mRequests.empty() && random.Chance(20);
    CallRequest(
      random, *router, retries ? std::optional(random.Below(mRequests.size())) : std::nullopt);
  } else if (kind < 32) {
    FinishStream(random, *router);
  } else if (kind < 62) {
    StoreStep(random, *router);
  } else if (kind < 62 + landing) {
    Land(random, random.Below(std::max<std::size_t>(1, mCommits.size())));
  } else if (kind < 90) {
    Ask(random, *router);
  } else if (kind < 95) {
    Deliver(random, random.Below(std::max<std::size_t>(1, mMessages.size())));
  } else if (kind < 97) {
    Operate(random);
  } else if (mOptions.mFaults) {
    DrawFault(random, *router);
  }
  if (mOptions.mMutant == kPlantReclaim) {
    ReclaimByTime();
  }
  Check();
}

void BudgetSimulation::CallRequest(Random& aRandom,
                                   std::size_t aRouter,
                                   std::optional<std::size_t> aRetried)
{
  auto& router = mRouters[aRouter];
  if (router.mClosing) {
    return;
  }
  if (!aRetried) {
    Request request;
    request.mBudget = mBudgets[aRandom.Below(mBudgets.size())];
    request.mBound = 1 + static_cast<Tokens>(aRandom.Below(kMostBound));
    mRequests.push_back(std::move(request));
    aRetried = mRequests.size() - 1;
  }
  const auto& request = mRequests[*aRetried];
  mEvent = "router " + std::to_string(aRouter) + " gets request " + std::to_string(*aRetried);
  const auto answer = router.mLedger->Reserve(request.mBudget, request.mBound, mNow);
  if (answer == ReserveAnswer::Reserved) {
    ++mSeen.mReserved;
    router.mStreams.push_back({ *aRetried, request.mBudget, request.mBound });
  } else if (answer == ReserveAnswer::Exhausted) {
    ++mSeen.mRefused;
  }
}

void BudgetSimulation::FinishStream(Random& aRandom, std::size_t aRouter)
{
  auto& router = mRouters[aRouter];
  if (router.mStreams.empty()) {
    return;
  }
  // Settlement stages the bill in one decision; a fault may strike before either is noted.
  for (const auto step : { Step::RequestSettle, Step::BillStage }) {
    mAtStep(step, aRouter);
    if (router.mGone || router.mFrozen > 0 || router.mStreams.empty()) {
      return;
    }
  }
  const auto stream = router.mStreams.back();
  router.mStreams.pop_back();
  auto& request = mRequests[stream.mRequest];
  auto used = static_cast<Tokens>(aRandom.Below(static_cast<std::size_t>(stream.mBound) + 1));
  if (router.mBreakNext) {
    used = stream.mBound / 2;
    router.mBreakNext = false;
  }
  request.mMostUsed = std::max(request.mMostUsed, used);
  auto key = "request-" + std::to_string(stream.mRequest);
  if (mOptions.mMutant == kPlantBill) {
    key += "-" + std::to_string(aRouter);
  }
  mSeen.mReruns += request.mKeys.empty() ? 0 : 1;
  request.mKeys.insert(key);
  mEvent = "router " + std::to_string(aRouter) + " ends request " +
           std::to_string(stream.mRequest) + " after " + std::to_string(used);
  router.mLedger->Settle({ key, stream.mBudget, "organisation", "model", 1, used }, stream.mBound);
}

ConfiguredBudget BudgetSimulation::Stated(std::int64_t aVersion, const std::string& aBudget) const
{
  return { mVersions[static_cast<std::size_t>(aVersion) - 1].at(aBudget), aVersion };
}

PlanInput BudgetSimulation::Input(std::size_t aRouter) const
{
  const auto& router = mRouters[aRouter];
  PlanInput out;
  out.mNow = mNow;
  out.mWallTime = std::chrono::duration_cast<Millis>(mNow.time_since_epoch());
  out.mConfiguredBudget = [this, version = router.mVersion](const std::string& it) {
    return Stated(version, it);
  };
  out.mClosing = router.mClosing;
  return out;
}

void BudgetSimulation::GiveUpWait(std::size_t aRouter)
{
  auto& router = mRouters[aRouter];
  if (mOptions.mMutant == kPlantLostAnswer) {
    router.mLedger->OnCommitted(mShard, router.mSent);
  }
  for (const auto& it : mBudgets) {
    router.mLedger->RefuseWaiting(it, mNow, false);
  }
  for (auto& it : mCommits) {
    it.mWaited = it.mWaited && it.mRouter != aRouter;
  }
  router.mSent = 0;
  router.mUnresolved = true;
}

void BudgetSimulation::StoreStep(Random& aRandom, std::size_t aRouter)
{
  auto& router = mRouters[aRouter];
  if (router.mSent != 0) {
    if (aRandom.Chance(mOptions.mFaults ? 15 : 2)) {
      mEvent = "router " + std::to_string(aRouter) + " gives up waiting for its commit";
      GiveUpWait(aRouter);
    }
    return;
  }
  if (router.mRead) {
    SendCommit(aRouter);
    return;
  }
  const auto due = router.mLedger->DueShards(mNow);
  if (due.empty() && !router.mClosing) {
    return;
  }
  mAtStep(Step::GrantRead, aRouter);
  if (router.mGone || router.mFrozen > 0 || mStoreDown > 0 || router.mStoreCut > 0 ||
      router.mAnswersCut > 0) {
    return;
  }
  mEvent = "router " + std::to_string(aRouter) + " reads the shard";
  const bool stale = !mHistory.empty() && mStoreStale > 0;
  router.mRead = stale ? mHistory[aRandom.Below(mHistory.size())] : std::pair(mRevision, mStore);
}

void BudgetSimulation::SendCommit(std::size_t aRouter)
{
  auto& router = mRouters[aRouter];
  auto& ledger = *router.mLedger;
  const bool reports = ledger.StagedBills() > 0;
  auto [revision, record] = std::move(*router.mRead);
  router.mRead.reset();
  if (!ledger.Reconcile(mShard, record)) {
    return;
  }
  if (router.mUnresolved) {
    router.mUnresolved = false;
    mAtStep(Step::BillRecover, aRouter);
  }
  mAtStep(router.mClosing ? Step::GrantReturn : Step::GrantCommit, aRouter);
  if (reports) {
    mAtStep(Step::GrantReport, aRouter);
  }
  if (router.mGone || router.mFrozen > 0 || ledger.IsClosed(mShard)) {
    router.mGone = router.mGone || ledger.IsClosed(mShard);
    return;
  }
  const auto batch = ledger.Plan(mShard, record, Input(aRouter));
  mEvent = "router " + std::to_string(aRouter) + " sends batch " + std::to_string(batch);
  router.mSent = batch;
  mCommits.push_back({ aRouter, batch, revision, std::move(record) });
  if (router.mGiveUpNext) {
    router.mGiveUpNext = false;
    GiveUpWait(aRouter);
  }
}

void BudgetSimulation::Land(Random& aRandom, std::size_t aIndex)
{
  if (aIndex >= mCommits.size() || mStoreDown > 0) {
    return;
  }
  mAtStep(Step::BillCommit, mCommits[aIndex].mRouter);
  const auto commit = mCommits[aIndex];
  auto& router = mRouters[commit.mRouter];
  if (mStoreDown > 0 || router.mStoreCut > 0) {
    return;
  }
  mCommits.erase(mCommits.begin() + static_cast<std::ptrdiff_t>(aIndex));
  const bool took = commit.mCompare == mRevision;
  mEvent = "batch " + std::to_string(commit.mBatch) + " of router " +
           std::to_string(commit.mRouter) + (took ? " lands" : " conflicts");
  ++(took ? mSeen.mLanded : mSeen.mConflicts);
  if (took) {
    const auto before = mStore;
    mHistory.emplace_back(mRevision, mStore);
    if (mHistory.size() > kHistory) {
      mHistory.erase(mHistory.begin());
    }
    mStore = commit.mRecord;
    ++mRevision;
    router.mWrote = mNow;
    CheckLanded(before);
  }
  const bool lost =
    router.mLoseNext || router.mAnswersCut > 0 || (mOptions.mFaults && aRandom.Chance(15));
  router.mLoseNext = false;
  if (!commit.mWaited || router.mGone || router.mFrozen > 0) {
    return;
  }
  if (lost) {
    mEvent += ", answer lost";
    ++mSeen.mLostAnswers;
    GiveUpWait(commit.mRouter);
    return;
  }
  router.mSent = 0;
  if (took) {
    router.mLedger->OnCommitted(mShard, commit.mBatch);
    mSeen.mClosed += router.mLedger->IsClosed(mShard) ? 1 : 0;
    router.mGone = router.mGone || router.mLedger->IsClosed(mShard);
    for (const auto& it : mBudgets) {
      router.mLedger->RefuseWaiting(it, mNow, true);
    }
  } else {
    router.mLedger->OnNotCommitted(mShard, commit.mBatch);
  }
}

void BudgetSimulation::Ask(Random& aRandom, std::size_t aTaker)
{
  const auto giver = aRandom.Below(mRouters.size());
  const auto missing = mRouters[aTaker].mLedger->Shortfalls();
  if (giver == aTaker || mRouters[giver].mGone || mRouters[aTaker].mClosing) {
    return;
  }
  mAtStep(Step::TransferAsk, aTaker);
  if (mPeersCut > 0 || mRouters[aTaker].mGone || mRouters[aTaker].mFrozen > 0) {
    return;
  }
  Message message;
  message.mTaker = aTaker;
  message.mGiver = giver;
  message.mId = "transfer-" + std::to_string(mNextTransfer++);
  message.mBudget = missing.empty() ? mBudgets.front() : missing.begin()->first;
  message.mTokens = missing.empty() ? 5 : missing.begin()->second;
  mRouters[aTaker].mLedger->StartTransfer(message.mId);
  mEvent = message.mId + ": router " + std::to_string(aTaker) + " asks " + std::to_string(giver);
  mMessages.push_back(std::move(message));
}

void BudgetSimulation::Deliver(Random& aRandom, std::size_t aIndex)
{
  if (aIndex >= mMessages.size() || mPeersCut > 0) {
    return;
  }
  const bool answered = mMessages[aIndex].mAnswer.has_value();
  const auto at = answered ? mMessages[aIndex].mTaker : mMessages[aIndex].mGiver;
  mAtStep(answered ? Step::TransferCredit : Step::TransferGive, at);
  auto& router = mRouters[at];
  if (router.mFrozen > 0 || mPeersCut > 0 || aIndex >= mMessages.size()) {
    return;
  }
  auto message = mMessages[aIndex];
  const bool repeats = aRandom.Chance(mOptions.mFaults ? 25 : 5);
  mEvent = message.mId + (answered ? " is credited" : " is given") + (repeats ? ", repeated" : "");
  if (!repeats) {
    mMessages.erase(mMessages.begin() + static_cast<std::ptrdiff_t>(aIndex));
  }
  if (router.mGone || router.mClosing || (mOptions.mFaults && aRandom.Chance(10))) {
    mSomeLost = true;
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
  if (mOptions.mMutant == kPlantTransfer) {
    router.mLedger->StartTransfer(message.mId);
  }
  mSeen.mCredited += router.mLedger->Credit(*message.mAnswer) ? 1 : 0;
}

} // namespace gentianloom::fault
