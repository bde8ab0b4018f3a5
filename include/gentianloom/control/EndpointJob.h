#ifndef GENTIANLOOM_CONTROL_ENDPOINT_JOB_H
#define GENTIANLOOM_CONTROL_ENDPOINT_JOB_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/external/EngineControl.h"
#include "gentianloom/external/KeyValueStore.h"

#include <optional>
#include <string>

namespace gentianloom {

/// Timeouts and limits of endpoint control. Must be the same on all routers of a fleet.
struct ControlOptions
{
  std::chrono::seconds mLeaseTtl{ 15 };  ///< TTL of the lease behind the locks of a job
  Millis mLeaseMargin{ 1'000 };          ///< a lease is treated as expired this long before its end
  Millis mMaxOrderDelay{ 5'000 };        ///< longest time an order may be delayed in the network
  Millis mLoadTimeout{ 600'000 };        ///< longest time an engine may take to load its target
  Millis mObserveInterval{ 500 };        ///< interval between observations during a job
  Millis mInitialBackoff{ 1'000 };       ///< after the first failed try; doubles with each
  Millis mMaxBackoff{ 60'000 };          ///< upper limit of the backoff
  int mMaxTries = 5;                     ///< failed tries after which an endpoint is stuck
  Millis mIdleObserveInterval{ 10'000 }; ///< interval between observations without a job
  double mMinServingShare = 0.5;         ///< share of a shard's endpoints that is kept serving
  std::size_t mMaxJobsPerShard = 4;      ///< jobs of a shard that may run at the same time
  bool mRecheckAfterSend = true;         ///< whether the lease is checked again after sending
};

/// Target of one endpoint, from the configuration in force.
struct EndpointTarget
{
  std::string mName; ///< name of the endpoint
  EngineTarget mEngineTarget;
  std::int64_t mConfigurationVersion = 0;
  bool mChecksFencing = false; ///< whether the engine rejects orders with an old fencing token
};

/// A held lock, which gives the right to send orders to one endpoint.
struct LockGrant
{
  LeaseId mLease = 0;
  Revision mFencingToken = 0; ///< revision at which the key was created
  TimePoint mValidUntil{};    ///< on the holder's own clock, measured from before the request
};

/// Next action that the caller of an EndpointJob has to execute.
enum class JobAction : std::uint8_t
{
  Wait,
  RequestPermit,
  AcquireLock,
  RenewLock,
  Send,
  Observe,
  End
};

/// How a job ended.
enum class JobOutcome : std::uint8_t
{
  None,      ///< the job is still running
  Succeeded, ///< the engine reported that it runs the target
  Failed,    ///< counts as a failed try
  LockLost,  ///< the lease expired, for example during a pause of the process, or the engine
            ///< rejected the fencing token; the endpoint is observed again and a new job started if
            ///< it differs from its target
  Superseded,     ///< the engine holds an order of a newer configuration
  LockUnavailable ///< the lock could not be acquired
};

/**
 * @brief State machine that brings one endpoint to its target once, under a lease.
 *
 * Makes decisions only: the caller executes the action that NextAction() returns and reports the
 * result. The sequence is: get a permit, acquire the lock, wait until orders of earlier holders can
 * no longer arrive (not needed if the engine checks fencing tokens), send the order, and observe
 * the engine until it runs the target. The lease is checked before and after sending, and at each
 * action in between.
 */
class EndpointJob
{
public:
  EndpointJob(EndpointTarget aTarget, const ControlOptions& aOptions, TimePoint aNow);

  /// @brief Returns the action to execute now.
  JobAction NextAction(TimePoint aNow);

  /// @param aRetryAfter time after which to ask again if the permit was not granted
  void OnPermitResult(bool aIsGranted, Millis aRetryAfter, TimePoint aNow);

  /**
   * @param aGrant unset if the lock could not be acquired
   * @param aReason why not, for operators
   */
  void OnLockResult(const std::optional<LockGrant>& aGrant, std::string aReason, TimePoint aNow);

  /// @param aValidUntil end of the renewed lease; unset if the key-value service did not answer
  void OnRenewed(const std::optional<TimePoint>& aValidUntil, TimePoint aNow);

  void OnSent(OrderResult aResult, TimePoint aNow);

  /// @param aStatus unset if the engine did not answer
  void OnObserved(const std::optional<EngineStatus>& aStatus, TimePoint aNow);

  /// @brief Returns the order to send.
  EngineOrder Order() const;
  const EndpointTarget& Target() const { return mTarget; }
  const std::optional<LockGrant>& Grant() const { return mGrant; }
  JobOutcome Outcome() const { return mOutcome; }
  /// @brief Returns what the job is waiting for or why it ended, for operators.
  const std::string& Reason() const { return mReason; }

private:
  enum class Phase : std::uint8_t
  {
    AwaitPermit,
    AwaitLock,
    AwaitEarlierOrders, ///< orders of earlier lock holders may still arrive
    Verify
  };

  void Finish(JobOutcome aOutcome, std::string aReason);
  bool IsLeaseExpired(TimePoint aNow) const;

  EndpointTarget mTarget;
  ControlOptions mOptions;
  Phase mPhase = Phase::AwaitPermit;
  TimePoint mNextStepAt; ///< earliest time of the phase's action
  TimePoint mNextRenewalAt{};
  TimePoint mSentAt{};
  std::optional<LockGrant> mGrant;
  JobOutcome mOutcome = JobOutcome::None;
  std::string mReason;
};

} // namespace gentianloom

#endif
