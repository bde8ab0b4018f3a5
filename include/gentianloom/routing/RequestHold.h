#ifndef GENTIANLOOM_ROUTING_REQUEST_HOLD_H
#define GENTIANLOOM_ROUTING_REQUEST_HOLD_H

#include "gentianloom/base/Clock.h"

namespace gentianloom {

/**
 * @brief Keeps requests from an endpoint that asked for a pause (Retry-After). No clock or I/O.
 *
 * Load pattern: an endpoint that is full refuses requests of many instances within a moment, and
 * all pauses end together. After its pause, an instance sends a single request first, and the
 * others only once the endpoint has answered it; the pauses end at times that differ a little.
 */
class RequestHold
{
public:
  /// Longest pause; an endpoint that asks for a longer one is asked again after this time.
  static constexpr Millis kMaxPause{ 300'000 };
  /// Share of the pause, and time, by which its end is delayed at most.
  static constexpr double kMaxDelayShare = 0.25;
  static constexpr Millis kMaxDelay{ 1'000 };

  /**
   * @brief Begins a pause, or extends the current one. A pause of zero or less has no effect.
   * @param aPause time that the endpoint asked for, counted from aNow
   * @param aJitter from 0 to 1: share of the largest delay by which the end is delayed
   */
  void Begin(Millis aPause, TimePoint aNow, double aJitter);

  /// @brief Whether the endpoint may get no request at all.
  bool IsPaused(TimePoint aNow) const { return aNow < mUntil; }

  /// @brief Whether a request may be sent: there is no pause, or it has ended and no trial request
  /// is in flight.
  bool AllowsRequest(TimePoint aNow) const;

  /// @brief Time until the pause ends; zero if there is none.
  Micros TimeLeft(TimePoint aNow) const;

  /// @brief Notes that a request is sent. @return whether it is the trial request after a pause
  bool OnSent();

  /// @brief Notes that the endpoint answered the trial request without asking for another pause. If
  /// a pause has begun since the trial was sent, another trial has to follow it.
  void OnTrialAnswered();

  /// @brief Notes the end of the trial request, whatever its outcome; without an answer before,
  /// another trial request may follow.
  void OnTrialEnded() { mIsTrialInFlight = false; }

private:
  bool mIsAnswered = true; ///< no pause began since the endpoint last accepted a request
  bool mIsTrialInFlight = false;
  bool mIsTrialOutdated = false; ///< it was sent before the last pause began
  TimePoint mUntil{};
};

} // namespace gentianloom

#endif
