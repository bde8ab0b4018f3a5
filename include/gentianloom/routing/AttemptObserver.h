#ifndef GENTIANLOOM_ROUTING_ATTEMPT_OBSERVER_H
#define GENTIANLOOM_ROUTING_ATTEMPT_OBSERVER_H

#include "gentianloom/base/Clock.h"

#include <string>

namespace gentianloom {

/// Outcome of one attempt to run a request on an endpoint.
enum class AttemptOutcome
{
  Done,        ///< the answer is complete
  Refused,     ///< the endpoint answered that it did not run the request
  NotReached,  ///< no byte of the request reached the endpoint
  Interrupted, ///< the connection ended before the answer was complete, or the answer was invalid
  TimedOut,    ///< the endpoint stopped sending or the deadline passed
  CallerDisconnected, ///< the caller closed its connection
  InstanceEnded       ///< this instance shut down before the answer was complete
};

/// One attempt, as the relay observed it.
struct Attempt
{
  std::string mEndpoint;
  std::string mFingerprint; ///< see ContentFingerprint(); empty: none
  AttemptOutcome mOutcome = AttemptOutcome::Done;
  Micros mFirstToken{ 0 }; ///< time from dispatch to the first token; 0 if there was none
  Micros mTotal{ 0 };      ///< time from dispatch to the end of the attempt
  std::int64_t mOutputTokens = 0;
};

/**
 * @brief Receives the outcome of every attempt, which placement, ejection and the crash guard use.
 *
 * The methods are called from connection threads. Implementations must be thread-safe and must not
 * block.
 */
class AttemptObserver
{
public:
  virtual ~AttemptObserver() = default;
  /// @brief Called when an attempt has ended.
  virtual void OnAttempt(const Attempt& aAttempt) = 0;

  /// @brief Called when the first token of an answer arrives, before the attempt ends.
  /// @param aTimeToFirstToken time from dispatch to the first token
  virtual void OnFirstToken(const std::string& /*aEndpoint*/, Micros /*aTimeToFirstToken*/) {}
};

} // namespace gentianloom

#endif
