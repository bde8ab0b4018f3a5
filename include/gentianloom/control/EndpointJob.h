#ifndef GENTIANLOOM_CONTROL_ENDPOINT_JOB_H
#define GENTIANLOOM_CONTROL_ENDPOINT_JOB_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/external/EngineControl.h"
#include "gentianloom/external/KeyValueStore.h"

#include <optional>
#include <string>

namespace gentianloom {

/// Times and bounds of control. The same on all routers of a fleet.
struct ControlOptions
{
  std::chrono::seconds mLeaseTtl{ 15 };
  Millis mLeaseMargin{ 1'000 };   ///< the lease counts as lapsed so much before its end
  Millis mMaxOrderDelay{ 5'000 }; ///< longest time that an order may be under way in the network
  Millis mLoadLimit{ 600'000 };   ///< longest time of loading
  Millis mObservePause{ 500 };    ///< between two looks at an engine with an order
  Millis mFirstBackoff{ 1'000 };  ///< after the first failed try; doubles with each
  Millis mMostBackoff{ 60'000 };
  int mMaxTries = 5;             ///< then the endpoint is stuck
  Millis mIdlePoll{ 10'000 };    ///< between two looks at an engine without an order
  double mServingShare = 0.5;    ///< share of a shard that is kept serving
  std::size_t mMostJobs = 4;     ///< endpoints of a shard with orders at the same time
  bool mRecheckAfterSend = true; ///< whether the lease is checked again after sending
};

/// What one endpoint is to run, from the configuration in force.
struct EndpointTarget
{
  std::string mName;
  EngineTarget mEngineTarget;
  std::int64_t mConfigurationVersion = 0;
  bool mChecksFencing = false;
};

/// The right to give orders to one endpoint.
struct LockGrant
{
  LeaseId mLease = 0;
  Revision mFencingToken = 0; ///< revision at which the key was created
  TimePoint mValidUntil{};    ///< by the holder's own clock, counted from before the call
};

/// What the driver of a job does next.
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
  None,
  Succeeded, ///< read back as stated
  Failed,    ///< counts as a try
  Lapsed,    ///< the lease lapsed, perhaps in a pause: look again, and repair
  Behind,    ///< the engine holds an order of a newer configuration
  Busy       ///< the lock could not be had
};

/**
 * @brief Brings one endpoint to its stated target, under a lease, once.
 *
 * Decides only: the driver does what Next() says and reports back. The order of steps is permit,
 * lock, wait for orders of earlier holders (unless the engine compares fencing numbers), send, read
 * back. The lease is checked before and after sending, and at every step between.
 */
class EndpointJob
{
public:
  EndpointJob(EndpointTarget aTarget, const ControlOptions& aRules, TimePoint aNow);

  JobAction NextAction(TimePoint aNow);

  /// @param aComeBack not given: the time to ask again
  void OnPermitResult(bool aGiven, Millis aComeBack, TimePoint aNow);

  /// @param aGrant nothing: it could not be had, for a reason that operators are told
  void OnLockResult(const std::optional<LockGrant>& aGrant, std::string aReason, TimePoint aNow);

  /// @param aValidUntil nothing: the service did not answer
  void OnRenewed(const std::optional<TimePoint>& aValidUntil, TimePoint aNow);

  void OnSent(OrderResult aAnswer, TimePoint aNow);

  /// @param aStatus nothing: the engine did not answer
  void OnObserved(const std::optional<EngineStatus>& aStatus, TimePoint aNow);

  EngineOrder Order() const;
  const EndpointTarget& Target() const { return mTarget; }
  const std::optional<LockGrant>& Grant() const { return mGrant; }
  JobOutcome Outcome() const { return mEnd; }
  const std::string& Reason() const { return mReason; }

private:
  enum class Phase : std::uint8_t
  {
    Permit,
    Lock,
    Settle, ///< orders of earlier holders may still arrive
    Verify
  };

  void Finish(JobOutcome aEnd, std::string aReason);
  bool Lapsed(TimePoint aNow) const;

  EndpointTarget mTarget;
  ControlOptions mRules;
  Phase mPhase = Phase::Permit;
  TimePoint mNotBefore;
  TimePoint mNextKeep{};
  TimePoint mSentAt{};
  std::optional<LockGrant> mGrant;
  JobOutcome mEnd = JobOutcome::None;
  std::string mReason;
};

} // namespace gentianloom

#endif
