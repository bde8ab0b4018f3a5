#ifndef GENTIANLOOM_OUTCOME_DRAIN_H
#define GENTIANLOOM_OUTCOME_DRAIN_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/settings/Settings.h"

namespace gentianloom {

/// Phases of a router's graceful shutdown, in order.
enum class DrainPhase : std::uint8_t
{
  Serving,          ///< accepts requests; its address is published to callers
  AddressWithdrawn, ///< its address is no longer published; callers that cached it are still served
  Draining,         ///< rejects new requests and completes the open ones
  Flushing ///< no request is open or time is up: writes bills and outcomes, returns grants, exits
};

/**
 * @brief State machine of a router's graceful shutdown. Performs no I/O; not thread-safe.
 *
 * The first signal withdraws the address. When the time to live of the address has passed, new
 * requests are rejected. Once no request is open, the drain limit has passed or a second signal
 * has arrived, the router flushes its state.
 */
class Drain
{
public:
  explicit Drain(const DrainSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// @brief Handles a termination signal. The second signal skips the remaining waits.
  void OnSignal(TimePoint aNow);

  /**
   * @brief Moves on to the next phase if its condition holds; by one phase at most.
   * @param aNow the current time
   * @param aOpenRequests number of requests that are being served
   * @return the current phase
   */
  DrainPhase Advance(TimePoint aNow, int aOpenRequests);

  DrainPhase Phase() const { return mPhase; }

private:
  DrainSettings mSettings;
  DrainPhase mPhase = DrainPhase::Serving;
  TimePoint mSignalledAt{};
  bool mIsWaitSkipped = false; ///< a second signal arrived
};

} // namespace gentianloom

#endif
