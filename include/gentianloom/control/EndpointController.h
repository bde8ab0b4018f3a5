#ifndef GENTIANLOOM_CONTROL_ENDPOINT_CONTROLLER_H
#define GENTIANLOOM_CONTROL_ENDPOINT_CONTROLLER_H

#include "gen-cpp/peer_types.h"
#include "gentianloom/base/Metrics.h"
#include "gentianloom/control/EndpointLock.h"
#include "gentianloom/control/ShardPlanner.h"
#include "gentianloom/external/WeightStore.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace gentianloom {

/// State of one endpoint as shown to operators.
struct EndpointView
{
  std::string mName;
  std::string mShard;
  std::string mOwner;                   ///< name of the router that controls the endpoint
  std::string mOwnerAddress;            ///< address of the owner's operator API
  std::optional<ControlRecord> mRecord; ///< set only on the router that owns the shard
  Millis mAge{ 0 };                     ///< time since the endpoint was last observed
};

/// Functions that provide the controller's inputs. Called from its thread.
struct ControlSources
{
  std::function<AcceptedConfigurationPtr()>
    mConfiguration;               ///< returns the configuration to apply, or null
  std::function<void()> mRefresh; ///< reads the configuration from the store again
  std::function<std::vector<wire::MemberNews>()> mRouters; ///< live routers, this one first
};

/**
 * @brief Reconciles the endpoints of this router's shards with the configuration, on its own
 * thread.
 *
 * Level-triggered: every endpoint is observed periodically, and one that differs from its target is
 * sent an order.
 */
class EndpointController
{
public:
  /// @param aHolder unique identifier of this run of the router, written into the lock keys
  EndpointController(KeyValueStore& aStore,
                     std::unique_ptr<EngineControl> aEngines,
                     std::unique_ptr<WeightStore> aWeights,
                     ControlSources aSources,
                     const std::string& aHolder,
                     const ControlOptions& aOptions,
                     const Clock& aClock,
                     Metrics& aMetrics);
  ~EndpointController();

  /// @brief Starts the thread.
  void Start();

  /// @brief Ends the thread and releases all locks.
  void Stop();

  /// @brief Sets the address of an endpoint's engine. Thread-safe.
  void SetAddress(const std::string& aEndpoint, const std::string& aAddress);

  /// @brief Runs one cycle: updates the shards, observes endpoints, starts jobs and advances them.
  void RunOnce();

  /**
   * @brief Returns all configured endpoints as of the last cycle. Thread-safe.
   * @return one view per endpoint; only those of this router's shards have a record
   */
  std::vector<EndpointView> View() const;

private:
  struct RunningJob
  {
    std::string mShard;
    PlannedJob mPlan;
    EndpointJob mJob;
    bool mIsFinished = false; ///< its outcome was reported and its lock released
  };

  void Run();
  void UpdateShards();
  void ObserveNext(ShardPlanner& aPlanner);
  void StartJobs(const std::string& aShard, ShardPlanner& aPlanner);
  void AdvanceJob(RunningJob& aJob);
  bool RunNextAction(RunningJob& aJob);
  void RequestPermit(RunningJob& aJob);
  void AcquireLock(RunningJob& aJob);
  void VerifyOrder(RunningJob& aJob);
  void FinishJob(RunningJob& aJob);
  void CancelStaleJobs();
  std::optional<EngineStatus> ObserveEndpoint(const std::string& aEndpoint);
  std::string AddressOf(const std::string& aEndpoint) const;
  void UpdateViews();

  std::unique_ptr<EngineControl> mEngines;
  std::unique_ptr<WeightStore> mWeights;
  ControlSources mSources;
  ControlOptions mOptions;
  const Clock& mClock;
  EndpointLock mLock;
  Counter& mObservations;
  Counter& mOrders;
  Counter& mFailedOrders;
  Gauge& mStuckEndpoints;

  // Used only by the thread.
  AcceptedConfigurationPtr mConfiguration;
  std::vector<std::string> mRouters; ///< names of the live routers, this one first
  std::vector<Shard> mShards;
  std::map<std::string, ShardPlanner> mPlanners; ///< of this router's shards, by shard name
  std::vector<RunningJob> mJobs;
  std::map<std::string, EndpointCondition> mLoggedConditions; ///< last logged, by endpoint name

  mutable std::mutex mMutex; ///< guards the members below
  std::condition_variable mWake;
  std::map<std::string, std::string> mAddresses; ///< engine address by endpoint name
  std::vector<EndpointView> mViews;
  bool mIsStopping = false;
  std::thread mThread;
};

} // namespace gentianloom

#endif
