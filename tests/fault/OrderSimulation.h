#ifndef GENTIANLOOM_TESTS_FAULT_ORDER_SIMULATION_H
#define GENTIANLOOM_TESTS_FAULT_ORDER_SIMULATION_H

#include "Scenario.h"

#include "gentianloom/control/EndpointLock.h"
#include "gentianloom/control/ShardPlanner.h"

#include "MemoryStore.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace gentianloom::fault::orders {

inline constexpr int kVersionCount = 3; ///< configuration versions, applied one after another
inline constexpr Millis kTick{ 500 };
inline constexpr int kTicksPerVersion = 2'400;        ///< 20 min
inline constexpr int kFaultTicks = 60;                ///< 30 s, longer than a lease
inline constexpr Millis kOrderDelay{ 4'000 };         ///< below ControlOptions::mMaxOrderDelay
inline constexpr Millis kSlowResponseDelay{ 20'000 }; ///< longer than a lease
inline constexpr std::size_t kEngineCount = 2;        ///< one of them ignores fencing numbers

enum class Mutant : std::uint8_t
{
  None,
  NoRecheckAfterSend,
  NoWaitForOldHolder,
  FencingIgnored,
  EndlessRetry
};

inline constexpr std::array<std::string_view, 5> kMutantNames = {
  "",
  "no check of the lease after the send",
  "no wait for orders of the old holder",
  "fencing numbers not compared",
  "retries without limit",
};

/// An engine that applies orders as they arrive.
struct Engine
{
  bool mChecksFencing = false; ///< refuses orders with a lower fencing number
  bool mIsUp = true;
  bool mCannotLoad = false;
  EngineStatus mStatus{};
  std::int64_t mFencing = 0;
  std::map<std::int64_t, int> mOrderCounts; ///< accepted orders, by configuration version

  void Receive(const EngineOrder& aOrder)
  {
    if (!mIsUp || (mChecksFencing && aOrder.mFencingToken < mFencing)) {
      return;
    }
    mFencing = aOrder.mFencingToken;
    ++mOrderCounts[aOrder.mConfigurationVersion];
    mStatus = { aOrder.mTarget,
                mCannotLoad ? EngineState::Failed : EngineState::Ready,
                "cannot load",
                aOrder.mConfigurationVersion };
  }
};

/// An order on its way to an engine.
struct DelayedOrder
{
  TimePoint mArrivesAt;
  std::size_t mEngine;
  EngineOrder mOrder;
};

/// A router that sends orders. Its plan, lock and job are the production classes.
struct Router
{
  std::string mName;
  ShardPlanner mPlan;
  EndpointLock mLock;
  std::int64_t mVersion = 0;
  std::optional<EndpointJob> mJob{};
  PlannedJob mPlannedJob{};
  int mFrozenTicks = 0;
};

/// Simulates two routers that roll out configuration versions to the same engines.
class OrderSimulation
{
public:
  OrderSimulation(const CellParameters& aParameters, Mutant aMutant)
    : mParameters(aParameters)
    , mMutant(aMutant)
    , mRandom(aParameters.mSeed)
    , mStore(mClock)
  {
    mOptions.mRecheckAfterSend = aMutant != Mutant::NoRecheckAfterSend;
    mOptions.mMaxOrderDelay =
      aMutant == Mutant::NoWaitForOldHolder ? Millis(0) : mOptions.mMaxOrderDelay;
    mOptions.mMaxTries = aMutant == Mutant::EndlessRetry ? 1'000'000 : mOptions.mMaxTries;
    for (const auto* name : { "r0", "r1" }) {
      mRouters.push_back(
        { name, ShardPlanner(mOptions), EndpointLock(mStore, name, mOptions, mClock) });
    }
    mEngines.resize(kEngineCount);
    mFencingEngine = aParameters.mSeed % kEngineCount;
    mEngines[mFencingEngine].mChecksFencing = aMutant != Mutant::FencingIgnored;
  }

  RunResult Run()
  {
    for (mVersion = 1; mVersion <= kVersionCount && mRun.mViolation.empty(); ++mVersion) {
      mFaultsEnded = mVersion == kVersionCount;
      mStartsNextVersion = false;
      for (auto& it : mEngines) {
        it.mCannotLoad = !mFaultsEnded && HasFault(Fault::EndpointCrash) && mVersion == 2;
        it.mIsUp = true;
      }
      for (int n = 0; n < kTicksPerVersion && !mStartsNextVersion && mRun.mViolation.empty(); ++n) {
        Tick();
      }
    }
    CheckEnd();
    mRun.mCheckedInvariants = { Invariant::ConfigurationNeverReverts };
    return mRun;
  }

private:
  bool HasFault(Fault aFault) const
  {
    return std::find(mParameters.mFaults.begin(), mParameters.mFaults.end(), aFault) !=
           mParameters.mFaults.end();
  }

  /**
   * Injects a fault if this is its step, during version 2, up to a random number of times.
   * @return whether it did so now
   */
  bool TryInject(Fault aFault, Step aStep)
  {
    if (mFaultsEnded || mVersion != 2 || aStep != mParameters.mStep || !HasFault(aFault) ||
        mRemainingInjections == 0) {
      return false;
    }
    mRun.mFaultsInjected = true;
    --mRemainingInjections;
    ++mInjectionCount;
    return true;
  }

  void RecordViolation(const std::string& aText)
  {
    if (mRun.mViolation.empty()) {
      mRun.mViolation = aText + " (version " + std::to_string(mVersion) + ")";
    }
  }

  void Tick()
  {
    mClock.Advance(kTick);
    DeliverDelayedOrders();
    for (std::size_t n = 0; n < mRouters.size(); ++n) {
      auto& router = mRouters[n];
      if (router.mFrozenTicks > 0) {
        --router.mFrozenTicks;
        continue;
      }
      UpdateTargets(router);
      // Both routers may be owners, as their membership views differ; the locks exclude each other.
      ObserveAndPlan(router);
      RunJob(router);
    }
    CheckEngines();
  }

  void DeliverDelayedOrders()
  {
    for (std::size_t n = 0; n < mDelayedOrders.size();) {
      if (mDelayedOrders[n].mArrivesAt > mClock.Now()) {
        ++n;
        continue;
      }
      mEngines[mDelayedOrders[n].mEngine].Receive(mDelayedOrders[n].mOrder);
      mDelayedOrders.erase(mDelayedOrders.begin() + static_cast<std::ptrdiff_t>(n));
    }
  }

  void UpdateTargets(Router& aRouter)
  {
    if (aRouter.mVersion == mVersion) {
      return;
    }
    aRouter.mVersion = mVersion;
    std::vector<EndpointTarget> targets;
    for (std::size_t n = 0; n < kEngineCount; ++n) {
      targets.push_back({ "e" + std::to_string(n),
                          { "m", "v" + std::to_string(mVersion), {}, "both" },
                          mVersion,
                          n == mFencingEngine });
    }
    aRouter.mPlan.SetTargets(targets);
    if (aRouter.mJob) { // its target is outdated
      if (aRouter.mJob->Grant()) {
        aRouter.mLock.Release(*aRouter.mJob->Grant());
      }
      aRouter.mJob.reset();
    }
  }

  static std::size_t IndexOf(const std::string& aName) { return std::stoul(aName.substr(1)); }

  std::optional<EngineStatus> Observe(const std::string& aName)
  {
    const auto& engine = mEngines[IndexOf(aName)];
    return engine.mIsUp ? std::optional(engine.mStatus) : std::nullopt;
  }

  void ObserveAndPlan(Router& aRouter)
  {
    const auto name = aRouter.mPlan.NextToObserve(mClock.Now());
    if (!name.empty()) {
      aRouter.mPlan.OnObserved(name, Observe(name), mClock.Now());
    }
    if (aRouter.mJob) {
      return;
    }
    const auto next = aRouter.mPlan.Choose({}, mClock.Now());
    if (next) {
      aRouter.mPlannedJob = *next;
      aRouter.mJob.emplace(
        aRouter.mPlan.Records().at(next->mEndpoint).mTarget, mOptions, mClock.Now());
    }
  }

  void RunJob(Router& aRouter)
  {
    for (int n = 0; n < 6 && aRouter.mJob && aRouter.mFrozenTicks == 0; ++n) {
      auto& job = *aRouter.mJob;
      switch (job.NextAction(mClock.Now())) {
        case JobAction::Wait:
          return;
        case JobAction::RequestPermit:
          job.OnPermitResult(true, Millis(0), mClock.Now());
          break;
        case JobAction::AcquireLock:
          AcquireLock(aRouter);
          break;
        case JobAction::RenewLock:
          RenewLock(aRouter);
          break;
        case JobAction::Send:
          SendOrder(aRouter);
          break;
        case JobAction::Observe:
          VerifyOrder(aRouter);
          break;
        default:
          FinishJob(aRouter);
          return;
      }
    }
  }

  /**
   * Injects a kill, a pause or a graceful stop of the router. After a kill or a pause its lease is
   * neither renewed nor released, and expires.
   * @return whether the router stopped
   */
  bool InjectRouterFaults(Router& aRouter, Step aStep)
  {
    if (TryInject(Fault::RouterKilled, aStep)) {
      aRouter.mJob.reset(); // the restarted router has the same name and no state
      aRouter.mPlan = ShardPlanner(mOptions);
      aRouter.mVersion = 0;
      ++mRouterKills;
      aRouter.mFrozenTicks = kFaultTicks / 4;
      return true;
    }
    if (TryInject(Fault::GracefulStop, aStep)) {
      aRouter.mLock.Release(*aRouter.mJob->Grant());
      aRouter.mJob.reset();
      aRouter.mFrozenTicks = kFaultTicks;
      return true;
    }
    if (TryInject(Fault::RouterFrozen, aStep)) {
      aRouter.mFrozenTicks = kFaultTicks;
      return true;
    }
    return false;
  }

  /// Injects a crash of the engine, which restarts without a model.
  void InjectEngineCrash(const Router& aRouter, Step aStep)
  {
    if (TryInject(Fault::EndpointCrash, aStep)) {
      mEngines[IndexOf(aRouter.mPlannedJob.mEndpoint)].mStatus = {};
      ++mEngineCrashes;
    }
  }

  bool InjectStoreOutage(Step aStep)
  {
    return TryInject(Fault::StoreDown, aStep) || TryInject(Fault::StoreCut, aStep);
  }

  void AcquireLock(Router& aRouter)
  {
    auto& job = *aRouter.mJob;
    InjectEngineCrash(aRouter, Step::OrderLease);
    if (InjectStoreOutage(Step::OrderLease)) {
      job.OnLockResult(std::nullopt, "the key-value service is unavailable", mClock.Now());
      return;
    }
    auto grant = aRouter.mLock.Acquire(
      "m/0", aRouter.mPlannedJob.mEndpoint, aRouter.mPlannedJob.mInterruptsServing);
    if (grant && TryInject(Fault::StoreLosesAnswer, Step::OrderLease)) {
      job.OnLockResult(std::nullopt, "the response was lost", mClock.Now()); // the lease expires
      return;
    }
    job.OnLockResult(
      grant ? std::optional(grant.value()) : std::nullopt, "held by another router", mClock.Now());
    if (grant && TryInject(Fault::StoreSlow, Step::OrderLease)) {
      mClock.Advance(kSlowResponseDelay);
    }
    if (grant) {
      InjectRouterFaults(aRouter, Step::OrderLease);
    }
  }

  void RenewLock(Router& aRouter)
  {
    auto& job = *aRouter.mJob;
    const bool isUnavailable = InjectStoreOutage(mParameters.mStep);
    job.OnRenewed(isUnavailable ? std::nullopt : aRouter.mLock.Renew(*job.Grant()), mClock.Now());
  }

  void SendOrder(Router& aRouter)
  {
    auto& job = *aRouter.mJob;
    const auto engine = IndexOf(aRouter.mPlannedJob.mEndpoint);
    const auto order = job.Order();
    const bool isDelayed = TryInject(Fault::LateAnswer, Step::OrderSend) ||
                           TryInject(Fault::ReorderedAnswer, Step::OrderSend);
    if (TryInject(Fault::DuplicateAnswer, Step::OrderSend)) {
      mDelayedOrders.push_back({ mClock.Now() + kOrderDelay, engine, order });
      mStartsNextVersion = true;
    }
    if (TryInject(Fault::RouterFrozen, Step::OrderSend)) {
      // Paused between the check of the lease and the send: the order is sent after the pause.
      aRouter.mFrozenTicks = kFaultTicks;
      mDelayedOrders.push_back({ mClock.Now() + kTick * kFaultTicks, engine, order });
      mStartsNextVersion = true;
      mPausedUntil = mClock.Now() + kTick * kFaultTicks;
      job.OnSent(OrderResult::Unknown, mClock.Now() + kTick * kFaultTicks);
      return;
    }
    if (TryInject(Fault::EndpointCut, Step::OrderSend) ||
        TryInject(Fault::OneWayCut, Step::OrderSend)) {
      job.OnSent(OrderResult::Unknown, mClock.Now());
      return;
    }
    if (isDelayed) {
      // The router stops while its order is delayed; the other router takes over.
      mDelayedOrders.push_back({ mClock.Now() + kOrderDelay, engine, order });
      aRouter.mLock.Release(*job.Grant());
      aRouter.mJob.reset();
      aRouter.mFrozenTicks = kFaultTicks;
      mStartsNextVersion = true;
      return;
    }
    mEngines[engine].Receive(order);
    InjectEngineCrash(aRouter, Step::OrderSend);
    job.OnSent(OrderResult::Accepted, mClock.Now());
    InjectRouterFaults(aRouter, Step::OrderSend);
  }

  void VerifyOrder(Router& aRouter)
  {
    auto& job = *aRouter.mJob;
    if (InjectRouterFaults(aRouter, Step::OrderVerify)) {
      return;
    }
    InjectEngineCrash(aRouter, Step::OrderVerify);
    const bool isCut = TryInject(Fault::EndpointCut, Step::OrderVerify) ||
                       TryInject(Fault::OneWayCut, Step::OrderVerify);
    const auto status = isCut ? std::nullopt : Observe(aRouter.mPlannedJob.mEndpoint);
    if (!isCut) {
      aRouter.mPlan.OnObserved(aRouter.mPlannedJob.mEndpoint, status, mClock.Now());
    }
    job.OnObserved(status, mClock.Now());
  }

  void FinishJob(Router& aRouter)
  {
    const auto& job = *aRouter.mJob;
    if (job.Outcome() == JobOutcome::Succeeded) {
      const auto now = mClock.Now();
      if (job.Grant()->mValidUntil <= now) {
        RecordViolation("a router without a lease reported an order as in force");
      }
      auto& verified = mVerifiedVersions[aRouter.mPlannedJob.mEndpoint];
      verified = std::max(verified, job.Target().mConfigurationVersion);
    }
    if (job.Grant()) {
      aRouter.mLock.Release(*job.Grant());
    }
    aRouter.mPlan.OnJobEnd(
      aRouter.mPlannedJob.mEndpoint, job.Outcome(), job.Reason(), mClock.Now());
    aRouter.mJob.reset();
  }

  void CheckEngines()
  {
    for (std::size_t n = 0; n < kEngineCount; ++n) {
      const auto& engine = mEngines[n];
      const auto verified = mVerifiedVersions.find("e" + std::to_string(n));
      const bool isOlder = verified != mVerifiedVersions.end() &&
                           engine.mStatus.mConfigurationVersion > 0 &&
                           engine.mStatus.mConfigurationVersion < verified->second;
      // Allowed only after a pause between check and send, on the engine that ignores fencing.
      const bool wasPaused = mPausedUntil != TimePoint{};
      if (isOlder && (n == mFencingEngine || !wasPaused)) {
        RecordViolation("e" + std::to_string(n) +
                        " reverted to an older version after a newer one was verified");
      }
      for (const auto& [version, orders] : engine.mOrderCounts) {
        // Each restart of the engine or of a killed router resets the count of failed tries. An
        // order whose lease expired does not count as a failed try.
        const int planRuns = kRouterCount * (1 + mEngineCrashes) + mRouterKills;
        const int maxOrders = planRuns * ControlOptions{}.mMaxTries + mInjectionCount;
        if (orders > maxOrders) {
          RecordViolation("e" + std::to_string(n) + " gets orders without limit");
        }
      }
    }
  }

  void CheckEnd()
  {
    for (std::size_t n = 0; n < kEngineCount; ++n) {
      if (mEngines[n].mStatus.mTarget.mVersion != "v" + std::to_string(kVersionCount)) {
        RecordViolation("e" + std::to_string(n) + " does not run the last version at the end");
      }
    }
  }

  static constexpr int kRouterCount = 2;

  const CellParameters& mParameters;
  Mutant mMutant;
  std::mt19937_64 mRandom;
  ManualClock mClock;
  standin::MemoryStore mStore;
  ControlOptions mOptions;
  std::vector<Router> mRouters;
  std::vector<Engine> mEngines;
  std::vector<DelayedOrder> mDelayedOrders;
  std::map<std::string, std::int64_t> mVerifiedVersions; ///< highest version verified, by endpoint
  TimePoint mPausedUntil{};
  std::int64_t mVersion = 0;
  std::size_t mFencingEngine = 0; ///< index of the engine that compares fencing numbers
  bool mFaultsEnded = false;
  bool mStartsNextVersion = false; ///< the next version is applied while an order is delayed
  int mEngineCrashes = 0;
  int mRouterKills = 0;
  int mInjectionCount = 0;
  int mRemainingInjections = static_cast<int>(1 + mRandom() % 3);
  RunResult mRun;
};

} // namespace gentianloom::fault::orders

#endif
