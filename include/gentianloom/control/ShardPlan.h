#ifndef GENTIANLOOM_CONTROL_SHARD_PLAN_H
#define GENTIANLOOM_CONTROL_SHARD_PLAN_H

#include "gentianloom/configuration/AcceptedConfiguration.h"
#include "gentianloom/control/EndpointJob.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace gentianloom {

/// Most endpoints of one shard; a model with more is split.
inline constexpr std::size_t kMostInShard = 64;

/// Endpoints of one model that one router looks after, so that capacity is kept among them.
struct Shard
{
  std::string mName; ///< `MODEL/INDEX`
  std::vector<EndpointTarget> mTargets;
};

/**
 * @brief Splits the stated endpoints into shards.
 * @par Complexity linear in the endpoints
 */
std::vector<Shard> ShardsOf(const AcceptedConfiguration& aConfiguration);

/**
 * @brief The router that looks after a shard: rendezvous hashing over those alive.
 * @param aRouters names, this router's among them; not empty
 */
std::string OwnerOf(std::string_view aShard, std::span<const std::string> aRouters);

/// Where an endpoint stands, as operators see it.
enum class Condition : std::uint8_t
{
  Unknown, ///< not looked at yet
  InForce,
  Working,
  Waiting, ///< for its turn, a permit or after a failed try
  Stuck,   ///< not tried again until what is stated, or the endpoint, changes
  Unreachable,
  Behind ///< it runs a newer configuration than this router has
};

/// @brief Stable text of a condition, for example `in-force`.
std::string_view ToString(Condition aCondition);

/**
 * @brief What one router knows of one endpoint, and how often it tried. Lost with the router, so a
 *        new owner tries as often again.
 */
struct ControlRecord
{
  EndpointTarget mTarget;
  std::optional<EngineStatus> mStatus; ///< last answer
  bool mReached = false;               ///< whether the last look was answered
  TimePoint mLookedAt{};
  bool mLooked = false;
  int mTries = 0;
  TimePoint mNotBefore{};                 ///< of the next try
  std::optional<TimePoint> mLoadingSince; ///< seen loading what is stated, by another's order
  bool mStuck = false;
  std::optional<EngineStatus> mStuckWith; ///< state at the first look after it got stuck
  Condition mCondition = Condition::Unknown;
  std::string mReason;
};

/// The endpoint that may be given orders next.
struct NextJob
{
  std::string mEndpoint;
  bool mDisturbs = false; ///< it serves now, so only one such job may run in the shard
};

/**
 * @brief Decides for one shard which endpoint gets orders next; pure.
 */
class ShardPlan
{
public:
  explicit ShardPlan(const ControlRules& aRules)
    : mRules(aRules)
  {
  }

  /// @brief Takes over what is stated now. What was tried for another target is forgotten.
  void State(const std::vector<EndpointTarget>& aTargets);

  /// @brief Endpoint whose last look is oldest and due; empty if none is.
  std::string NextLook(TimePoint aNow) const;

  /// @brief Makes an endpoint due for a look.
  void LookSoon(const std::string& aEndpoint);

  /// @param aStatus nothing: the engine did not answer
  void OnLook(const std::string& aEndpoint,
              const std::optional<EngineStatus>& aStatus,
              TimePoint aNow);

  /**
   * @brief Chooses an endpoint to give orders to.
   *
   * An endpoint that does not serve may be chosen at any time. One that serves is chosen only if
   * the stated share goes on serving without it, and no other such job runs.
   *
   * @param aRunning jobs of this shard that run now
   */
  std::optional<NextJob> Choose(std::span<const NextJob> aRunning, TimePoint aNow);

  /// @brief Notes how a job ended.
  void OnJobEnd(const std::string& aEndpoint,
                JobEnd aEnd,
                const std::string& aReason,
                TimePoint aNow);

  /// @brief Notes what a running job does.
  void OnJobRuns(const std::string& aEndpoint, const std::string& aReason);

  const std::map<std::string, ControlRecord>& Records() const { return mRecords; }

private:
  bool Wanted(ControlRecord& aRecord, TimePoint aNow) const;
  bool LoadsStated(ControlRecord& aRecord, TimePoint aNow) const;

  ControlRules mRules;
  std::map<std::string, ControlRecord> mRecords;
};

} // namespace gentianloom

#endif
