#ifndef GENTIANLOOM_CONTROL_CONTROL_DUTY_H
#define GENTIANLOOM_CONTROL_CONTROL_DUTY_H

#include "gen-cpp/peer_types.h"
#include "gentianloom/base/Metrics.h"
#include "gentianloom/control/OrderLock.h"
#include "gentianloom/control/ShardPlan.h"
#include "gentianloom/external/WeightStore.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace gentianloom {

/// One endpoint as an operator is shown it.
struct EndpointView
{
  std::string mName;
  std::string mShard;
  std::string mOwner;                   ///< router that looks after it
  std::string mOwnerAddress;            ///< where that router answers operators
  std::optional<ControlRecord> mRecord; ///< only at its owner
  Millis mAge{ 0 };                     ///< of the last look
};

/// Where control gets what it works from.
struct ControlSources
{
  std::function<AcceptedConfigurationPtr()> mConfiguration;
  std::function<void()> mRefresh; ///< reads the configuration again; an engine knows a newer one
  std::function<std::vector<wire::MemberNews>()> mRouters; ///< alive, this router first
};

/**
 * @brief Brings the endpoints of this router's shards to what is stated, on a thread of its own.
 *
 * Level-triggered: every endpoint is looked at again and again, and whatever differs is ordered.
 */
class ControlDuty
{
public:
  ControlDuty(KeyValueStore& aStore,
              std::unique_ptr<EngineControl> aEngines,
              std::unique_ptr<WeightStore> aWeights,
              ControlSources aSources,
              const std::string& aHolder,
              const ControlRules& aRules,
              const Clock& aClock,
              Metrics& aMetrics);
  ~ControlDuty();

  void Start();
  void Stop(); ///< gives every lock back

  /// @brief Takes over where an endpoint is reached. Thread-safe.
  void SetAddress(const std::string& aEndpoint, const std::string& aAddress);

  /// @brief Runs one cycle: split, look, choose, drive. Called by the thread, and by tests.
  void RunOnce();

  /// @brief All stated endpoints; those of this router's shards with their record. Thread-safe.
  std::vector<EndpointView> View() const;

private:
  struct Job
  {
    std::string mShard;
    NextJob mNext;
    EndpointJob mJob;
    bool mOver = false; ///< its end was noted and its lock given back
  };

  void Run();
  void Split();
  void Look(ShardPlan& aPlan);
  void StartJobs(const std::string& aShard, ShardPlan& aPlan);
  void Drive(Job& aJob);
  bool Step(Job& aJob);
  void AskPermit(Job& aJob);
  void TakeLock(Job& aJob);
  void Observe(Job& aJob);
  void EndJob(Job& aJob);
  void DropStaleJobs();
  std::optional<EngineStatus> ObserveEndpoint(const std::string& aEndpoint);
  std::string AddressOf(const std::string& aEndpoint) const;
  void Publish();

  std::unique_ptr<EngineControl> mEngines;
  std::unique_ptr<WeightStore> mWeights;
  ControlSources mSources;
  ControlRules mRules;
  const Clock& mClock;
  OrderLock mLock;
  Counter& mLooks;
  Counter& mOrders;
  Counter& mFailures;
  Gauge& mStuck;

  // Used by the thread alone.
  AcceptedConfigurationPtr mConfiguration;
  std::vector<std::string> mRouters;
  std::vector<Shard> mShards;
  std::map<std::string, ShardPlan> mPlans;
  std::vector<Job> mJobs;
  std::map<std::string, Condition> mLogged;

  mutable std::mutex mMutex; ///< of what follows
  std::condition_variable mWake;
  std::map<std::string, std::string> mAddresses;
  std::vector<EndpointView> mViews;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace gentianloom

#endif
