#ifndef GENTIANLOOM_CONTROL_SHARD_PLANNER_H
#define GENTIANLOOM_CONTROL_SHARD_PLANNER_H

#include "gentianloom/configuration/AcceptedConfiguration.h"
#include "gentianloom/control/EndpointJob.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace gentianloom {

/// The endpoints of a model are split into shards of at most this size.
inline constexpr std::size_t kMaxEndpointsPerShard = 64;

/// Endpoints of one model that one router controls, so that it can keep enough of them serving.
struct Shard
{
  std::string mName; ///< `MODEL/INDEX`
  std::vector<EndpointTarget> mTargets;
};

/**
 * @brief Splits the configured endpoints into shards.
 * @par Complexity linear in the number of endpoints
 */
std::vector<Shard> SplitIntoShards(const AcceptedConfiguration& aConfiguration);

/**
 * @brief Selects the router that controls a shard, by rendezvous hashing.
 * @param aRouters names of all live routers, including this one; not empty
 * @return the name of the owner
 */
std::string SelectOwner(std::string_view aShard, std::span<const std::string> aRouters);

/// Condition of an endpoint as shown to operators.
enum class EndpointCondition : std::uint8_t
{
  Unknown,     ///< not observed yet
  InForce,     ///< the engine runs its target
  Working,     ///< a job is running, or the engine is loading its target
  Waiting,     ///< waits for a job to start: for other jobs, or for the backoff after a failure
  Stuck,       ///< not tried again until the target or the engine's status changes
  Unreachable, ///< the engine did not answer the last observation
  Behind       ///< the engine runs a newer configuration than this router has
};

/// @brief Returns the stable text of a condition, for example `in-force`.
std::string_view ToString(EndpointCondition aCondition);

/**
 * @brief State of one endpoint at the router that controls it.
 *
 * Kept in memory only, so a new owner starts with the full number of tries.
 */
struct ControlRecord
{
  EndpointTarget mTarget;
  std::optional<EngineStatus> mStatus; ///< last status that the engine reported
  bool mIsReachable = false;           ///< whether the engine answered the last observation
  TimePoint mObservedAt{};
  bool mIsObserved = false; ///< false if the endpoint is due to be observed before any decision
  int mFailedTries = 0;
  TimePoint mNextTryAt{};                 ///< earliest time of the next try
  std::optional<TimePoint> mLoadingSince; ///< first observed loading an order of another job
  bool mIsStuck = false;
  std::optional<EngineStatus> mStatusWhenStuck; ///< first status observed after it became stuck
  EndpointCondition mCondition = EndpointCondition::Unknown;
  std::string mReason; ///< reason of the condition, for operators
};

/// A job that may be started.
struct PlannedJob
{
  std::string mEndpoint;
  bool mInterruptsServing = false; ///< the endpoint serves now; only one such job runs per shard
};

/**
 * @brief Decides for one shard which endpoint to observe next and which job to start next. Makes no
 * calls.
 */
class ShardPlanner
{
public:
  explicit ShardPlanner(const ControlOptions& aOptions)
    : mOptions(aOptions)
  {
  }

  /// @brief Replaces the targets. Resets the tries of endpoints whose target changed.
  void SetTargets(const std::vector<EndpointTarget>& aTargets);

  /// @brief Returns the endpoint due for observation that was observed longest ago; empty if none.
  std::string NextToObserve(TimePoint aNow) const;

  /// @brief Makes an endpoint due for observation.
  void ScheduleObservation(const std::string& aEndpoint);

  /// @param aStatus unset if the engine did not answer
  void OnObserved(const std::string& aEndpoint,
                  const std::optional<EngineStatus>& aStatus,
                  TimePoint aNow);

  /**
   * @brief Chooses the next job to start, and updates the conditions of all endpoints without one.
   *
   * A job on an endpoint that does not serve may start at any time. A job on one that serves starts
   * only if enough other endpoints keep serving (ControlOptions::mMinServingShare) and no other job
   * that interrupts serving is running.
   *
   * @param aRunning jobs of this shard that are running
   * @return the job, or std::nullopt if none may start now
   */
  std::optional<PlannedJob> Choose(std::span<const PlannedJob> aRunning, TimePoint aNow);

  /// @brief Records how a job ended.
  void OnJobEnd(const std::string& aEndpoint,
                JobOutcome aOutcome,
                const std::string& aReason,
                TimePoint aNow);

  /// @brief Records what a running job is doing, for operators.
  void OnJobProgress(const std::string& aEndpoint, const std::string& aReason);

  /// @brief Returns the records by endpoint name.
  const std::map<std::string, ControlRecord>& Records() const { return mRecords; }

private:
  bool UpdateCondition(ControlRecord& aRecord, TimePoint aNow) const;
  bool IsLoadingTarget(ControlRecord& aRecord, TimePoint aNow) const;

  ControlOptions mOptions;
  std::map<std::string, ControlRecord> mRecords;
};

} // namespace gentianloom

#endif
