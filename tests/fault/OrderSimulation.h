#ifndef GENTIANLOOM_TESTS_FAULT_ORDER_SIMULATION_H
#define GENTIANLOOM_TESTS_FAULT_ORDER_SIMULATION_H

#include "Scenario.h"

#include "gentianloom/control/OrderLock.h"
#include "gentianloom/control/ShardPlan.h"

#include "MemoryStore.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace gentianloom::fault::orders {

inline constexpr int kVersions = 3; ///< applied one after another
inline constexpr Millis kTick{ 500 };
inline constexpr int kTicksPerVersion = 2'400; ///< twenty minutes
inline constexpr int kFaultTicks = 60;         ///< half a minute, longer than a lease
inline constexpr Millis kLate{ 4'000 };    ///< way of a late order; below ControlRules::mOrderLife
inline constexpr Millis kSlow{ 20'000 };   ///< answer of a slow service; longer than a lease
inline constexpr std::size_t kEngines = 2; ///< one of them ignores fencing numbers

enum class Plant : std::uint8_t
{
  None,
  NoRecheck,
  NoWait,
  FencingIgnored,
  EndlessRetry
};

inline constexpr std::array<std::string_view, 5> kPlantNames = {
  "",
  "no recheck after send",
  "no wait for old holder",
  "fencing not compared",
  "retry without end",
};

/// An engine that takes orders when they arrive.
struct Engine
{
  bool mChecks = false;
  bool mUp = true;
  bool mCannotLoad = false;
  EngineStatus mStatus{};
  std::int64_t mFencing = 0;
  std::map<std::int64_t, int> mOrders; ///< taken, by configuration version

  void Take(const EngineOrder& aOrder)
  {
    if (!mUp || (mChecks && aOrder.mFencing < mFencing)) {
      return;
    }
    mFencing = aOrder.mFencing;
    ++mOrders[aOrder.mConfigurationVersion];
    mStatus = { aOrder.mTarget,
                mCannotLoad ? EngineState::Failed : EngineState::Ready,
                "cannot load",
                aOrder.mConfigurationVersion };
  }
};

struct LateOrder
{
  TimePoint mArrives;
  std::size_t mEngine;
  EngineOrder mOrder;
};

/// A router that gives orders; its plan and its job are the product's.
struct Holder
{
  std::string mName;
  ShardPlan mPlan;
  OrderLock mLock;
  std::int64_t mVersion = 0;
  std::optional<EndpointJob> mJob{};
  NextJob mNext{};
  int mFrozenTicks = 0;
};

class World
{
public:
  World(const CellOrder& aOrder, Plant aPlant)
    : mOrder(aOrder)
    , mPlant(aPlant)
    , mRandom(aOrder.mSeed)
    , mStore(mClock)
  {
    mRules.mRecheckAfterSend = aPlant != Plant::NoRecheck;
    mRules.mOrderLife = aPlant == Plant::NoWait ? Millis(0) : mRules.mOrderLife;
    mRules.mMostTries = aPlant == Plant::EndlessRetry ? 1'000'000 : mRules.mMostTries;
    for (const auto* name : { "r0", "r1" }) {
      mHolders.push_back({ name, ShardPlan(mRules), OrderLock(mStore, name, mRules, mClock) });
    }
    mEngines.resize(kEngines);
    mChecking = aOrder.mSeed % kEngines;
    mEngines[mChecking].mChecks = aPlant != Plant::FencingIgnored;
  }

  CellRun Run()
  {
    for (mVersion = 1; mVersion <= kVersions && mRun.mViolation.empty(); ++mVersion) {
      mHealed = mVersion == kVersions;
      mAdvance = false;
      for (auto& it : mEngines) {
        it.mCannotLoad = !mHealed && Has(Fault::EndpointCrash) && mVersion == 2;
        it.mUp = true;
      }
      for (int n = 0; n < kTicksPerVersion && !mAdvance && mRun.mViolation.empty(); ++n) {
        Tick();
      }
    }
    CheckEnd();
    mRun.mChecked = { Promise::ConfigurationHolds };
    return mRun;
  }

private:
  bool Has(Fault aFault) const
  {
    return std::find(mOrder.mFaults.begin(), mOrder.mFaults.end(), aFault) != mOrder.mFaults.end();
  }

  /// Whether a fault strikes here and now; each strikes from its step on for a while.
  bool Strikes(Fault aFault, Step aStep)
  {
    if (mHealed || mVersion != 2 || aStep != mOrder.mStep || !Has(aFault) || mStruckLeft == 0) {
      return false;
    }
    mRun.mStruck = true;
    --mStruckLeft;
    ++mStrikes;
    return true;
  }

  void Violate(const std::string& aText)
  {
    if (mRun.mViolation.empty()) {
      mRun.mViolation = aText + " (version " + std::to_string(mVersion) + ")";
    }
  }

  void Tick()
  {
    mClock.Advance(kTick);
    Deliver();
    for (std::size_t n = 0; n < mHolders.size(); ++n) {
      auto& holder = mHolders[n];
      if (holder.mFrozenTicks > 0) {
        --holder.mFrozenTicks;
        continue;
      }
      Learn(holder);
      // Both may be owners, since their views of the members differ; the locks decide.
      Look(holder);
      Drive(holder);
    }
    CheckEngines();
  }

  void Deliver()
  {
    for (std::size_t n = 0; n < mLate.size();) {
      if (mLate[n].mArrives > mClock.Now()) {
        ++n;
        continue;
      }
      mEngines[mLate[n].mEngine].Take(mLate[n].mOrder);
      mLate.erase(mLate.begin() + static_cast<std::ptrdiff_t>(n));
    }
  }

  void Learn(Holder& aHolder)
  {
    if (aHolder.mVersion == mVersion) {
      return;
    }
    aHolder.mVersion = mVersion;
    std::vector<EndpointTarget> targets;
    for (std::size_t n = 0; n < kEngines; ++n) {
      targets.push_back({ "e" + std::to_string(n),
                          { "m", "v" + std::to_string(mVersion), {}, "both" },
                          mVersion,
                          n == mChecking });
    }
    aHolder.mPlan.State(targets);
    if (aHolder.mJob) { // what it wants is old
      if (aHolder.mJob->Grant()) {
        aHolder.mLock.Release(*aHolder.mJob->Grant());
      }
      aHolder.mJob.reset();
    }
  }

  static std::size_t IndexOf(const std::string& aName) { return std::stoul(aName.substr(1)); }

  std::optional<EngineStatus> Observe(const std::string& aName)
  {
    const auto& engine = mEngines[IndexOf(aName)];
    return engine.mUp ? std::optional(engine.mStatus) : std::nullopt;
  }

  void Look(Holder& aHolder)
  {
    const auto name = aHolder.mPlan.NextLook(mClock.Now());
    if (!name.empty()) {
      aHolder.mPlan.OnLook(name, Observe(name), mClock.Now());
    }
    if (aHolder.mJob) {
      return;
    }
    const auto next = aHolder.mPlan.Choose({}, mClock.Now());
    if (next) {
      aHolder.mNext = *next;
      aHolder.mJob.emplace(
        aHolder.mPlan.Records().at(next->mEndpoint).mTarget, mRules, mClock.Now());
    }
  }

  void Drive(Holder& aHolder)
  {
    for (int n = 0; n < 6 && aHolder.mJob && aHolder.mFrozenTicks == 0; ++n) {
      auto& job = *aHolder.mJob;
      switch (job.Next(mClock.Now())) {
        case JobAction::Wait:
          return;
        case JobAction::AskPermit:
          job.OnPermit(true, Millis(0), mClock.Now());
          break;
        case JobAction::TakeLock:
          TakeLock(aHolder);
          break;
        case JobAction::KeepLock:
          Keep(aHolder);
          break;
        case JobAction::Send:
          Send(aHolder);
          break;
        case JobAction::Observe:
          Verify(aHolder);
          break;
        default:
          End(aHolder);
          return;
      }
    }
  }

  /// A router that dies or is paused here: its lease runs on, then lapses.
  bool Stops(Holder& aHolder, Step aStep)
  {
    if (Strikes(Fault::RouterKilled, aStep)) {
      aHolder.mJob.reset(); // its successor under the same name knows nothing
      aHolder.mPlan = ShardPlan(mRules);
      aHolder.mVersion = 0;
      ++mKills;
      aHolder.mFrozenTicks = kFaultTicks / 4;
      return true;
    }
    if (Strikes(Fault::GracefulStop, aStep)) {
      aHolder.mLock.Release(*aHolder.mJob->Grant());
      aHolder.mJob.reset();
      aHolder.mFrozenTicks = kFaultTicks;
      return true;
    }
    if (Strikes(Fault::RouterFrozen, aStep)) {
      aHolder.mFrozenTicks = kFaultTicks;
      return true;
    }
    return false;
  }

  /// The engine restarts, empty.
  void CrashHere(const Holder& aHolder, Step aStep)
  {
    if (Strikes(Fault::EndpointCrash, aStep)) {
      mEngines[IndexOf(aHolder.mNext.mEndpoint)].mStatus = {};
      ++mCrashes;
    }
  }

  bool StoreAway(Step aStep)
  {
    return Strikes(Fault::StoreDown, aStep) || Strikes(Fault::StoreCut, aStep);
  }

  void TakeLock(Holder& aHolder)
  {
    auto& job = *aHolder.mJob;
    CrashHere(aHolder, Step::OrderLease);
    if (StoreAway(Step::OrderLease)) {
      job.OnLock(std::nullopt, "the key-value service is away", mClock.Now());
      return;
    }
    auto grant = aHolder.mLock.Take("m/0", aHolder.mNext.mEndpoint, aHolder.mNext.mDisturbs);
    if (grant && Strikes(Fault::StoreLosesAnswer, Step::OrderLease)) {
      job.OnLock(std::nullopt, "the answer was lost", mClock.Now()); // the lease lapses by itself
      return;
    }
    job.OnLock(grant ? std::optional(grant.value()) : std::nullopt, "busy", mClock.Now());
    if (grant && Strikes(Fault::StoreSlow, Step::OrderLease)) {
      mClock.Advance(kSlow);
    }
    if (grant) {
      Stops(aHolder, Step::OrderLease);
    }
  }

  void Keep(Holder& aHolder)
  {
    auto& job = *aHolder.mJob;
    const bool away = StoreAway(mOrder.mStep);
    job.OnKept(away ? std::nullopt : aHolder.mLock.Keep(*job.Grant()), mClock.Now());
  }

  void Send(Holder& aHolder)
  {
    auto& job = *aHolder.mJob;
    const auto engine = IndexOf(aHolder.mNext.mEndpoint);
    const auto order = job.Order();
    const bool late = Strikes(Fault::LateAnswer, Step::OrderSend) ||
                      Strikes(Fault::ReorderedAnswer, Step::OrderSend);
    if (Strikes(Fault::DuplicateAnswer, Step::OrderSend)) {
      mLate.push_back({ mClock.Now() + kLate, engine, order });
      mAdvance = true;
    }
    if (Strikes(Fault::RouterFrozen, Step::OrderSend)) {
      // Paused between the look at its lease and the send: the order goes out at the end.
      aHolder.mFrozenTicks = kFaultTicks;
      mLate.push_back({ mClock.Now() + kTick * kFaultTicks, engine, order });
      mAdvance = true;
      mPausedUntil = mClock.Now() + kTick * kFaultTicks;
      job.OnSent(OrderAnswer::Unknown, mClock.Now() + kTick * kFaultTicks);
      return;
    }
    if (Strikes(Fault::EndpointCut, Step::OrderSend) ||
        Strikes(Fault::OneWayCut, Step::OrderSend)) {
      job.OnSent(OrderAnswer::Unknown, mClock.Now());
      return;
    }
    if (late) {
      // The holder dies with its order under way; the other one takes over.
      mLate.push_back({ mClock.Now() + kLate, engine, order });
      aHolder.mLock.Release(*job.Grant());
      aHolder.mJob.reset();
      aHolder.mFrozenTicks = kFaultTicks;
      mAdvance = true;
      return;
    }
    mEngines[engine].Take(order);
    CrashHere(aHolder, Step::OrderSend);
    job.OnSent(OrderAnswer::Taken, mClock.Now());
    Stops(aHolder, Step::OrderSend);
  }

  void Verify(Holder& aHolder)
  {
    auto& job = *aHolder.mJob;
    if (Stops(aHolder, Step::OrderVerify)) {
      return;
    }
    CrashHere(aHolder, Step::OrderVerify);
    const bool cut = Strikes(Fault::EndpointCut, Step::OrderVerify) ||
                     Strikes(Fault::OneWayCut, Step::OrderVerify);
    const auto status = cut ? std::nullopt : Observe(aHolder.mNext.mEndpoint);
    if (!cut) {
      aHolder.mPlan.OnLook(aHolder.mNext.mEndpoint, status, mClock.Now());
    }
    job.OnObserved(status, mClock.Now());
  }

  void End(Holder& aHolder)
  {
    const auto& job = *aHolder.mJob;
    if (job.Ended() == JobEnd::InForce) {
      const auto now = mClock.Now();
      if (job.Grant()->mValidUntil <= now) {
        Violate("a holder without a lease took an order as in force");
      }
      auto& verified = mVerified[aHolder.mNext.mEndpoint];
      verified = std::max(verified, job.Target().mConfigurationVersion);
    }
    if (job.Grant()) {
      aHolder.mLock.Release(*job.Grant());
    }
    aHolder.mPlan.OnJobEnd(aHolder.mNext.mEndpoint, job.Ended(), job.Reason(), mClock.Now());
    aHolder.mJob.reset();
  }

  void CheckEngines()
  {
    for (std::size_t n = 0; n < kEngines; ++n) {
      const auto& engine = mEngines[n];
      const auto verified = mVerified.find("e" + std::to_string(n));
      const bool older = verified != mVerified.end() && engine.mStatus.mConfigurationVersion > 0 &&
                         engine.mStatus.mConfigurationVersion < verified->second;
      // Only a pause between look and send may do this, and only where fencing is ignored.
      const bool paused = mPausedUntil != TimePoint{};
      if (older && (n == mChecking || !paused)) {
        Violate("e" + std::to_string(n) + " went back after it was read back");
      }
      for (const auto& [version, orders] : engine.mOrders) {
        // A restarted engine, and the successor of a killed router, begin anew; a lapse is no try.
        const int runs = kRoutersTrying * (1 + mCrashes) + mKills;
        const int most = runs * ControlRules{}.mMostTries + mStrikes;
        if (orders > most) {
          Violate("e" + std::to_string(n) + " is tried without end");
        }
      }
    }
  }

  void CheckEnd()
  {
    for (std::size_t n = 0; n < kEngines; ++n) {
      if (mEngines[n].mStatus.mTarget.mVersion != "v" + std::to_string(kVersions)) {
        Violate("e" + std::to_string(n) + " does not run what is stated at the end");
      }
    }
  }

  static constexpr int kRoutersTrying = 2;

  const CellOrder& mOrder;
  Plant mPlant;
  std::mt19937_64 mRandom;
  ManualClock mClock;
  standin::MemoryStore mStore;
  ControlRules mRules;
  std::vector<Holder> mHolders;
  std::vector<Engine> mEngines;
  std::vector<LateOrder> mLate;
  std::map<std::string, std::int64_t> mVerified; ///< highest version read back, by endpoint
  TimePoint mPausedUntil{};
  std::int64_t mVersion = 0;
  std::size_t mChecking = 0; ///< the engine that is said to compare fencing numbers
  bool mHealed = false;
  bool mAdvance = false; ///< the next version is accepted while an order is under way
  int mCrashes = 0;
  int mKills = 0;
  int mStrikes = 0;
  int mStruckLeft = static_cast<int>(1 + mRandom() % 3);
  CellRun mRun;
};

} // namespace gentianloom::fault::orders

#endif
