#ifndef GENTIANLOOM_EXTERNAL_STORE_CONTACT_H
#define GENTIANLOOM_EXTERNAL_STORE_CONTACT_H

#include "gentianloom/base/Clock.h"

#include <cstddef>
#include <optional>

namespace gentianloom {

/**
 * @brief Tells outages of the key-value service from single calls that failed. No clock or I/O; not
 * thread-safe.
 *
 * All calls of a process count together, whatever they are for: one watch or one connection that
 * is cut, however often, is no outage as long as other calls are answered. An outage is a time of
 * kMinOutage between two answers. It is measured to the time of the later answer, not to the time
 * at which its call was sent, so that a call that outlasts the outage does not hide it.
 */
class StoreContact
{
public:
  /// Shortest time without an answer that counts as an outage. It is longer than the pauses between
  /// the calls that each instance makes anyway (renewals of its lease, watches), and shorter than
  /// any lease that is renewed in time.
  static constexpr Millis kMinOutage{ 2'000 };

  /// @brief Notes that a call is being sent.
  void OnCall(TimePoint aNow)
  {
    // While no call is open and none has failed, silence says nothing.
    if (mOpenCalls == 0 && mIsAnswering) {
      mSilentSince = aNow;
    }
    ++mOpenCalls;
  }

  /// @brief Notes that a call has ended with an answer.
  void OnAnswer(TimePoint aNow)
  {
    if (IsInOutage(aNow)) {
      mOutageEndedAt = aNow;
    }
    mIsAnswering = true;
    mSilentSince = aNow;
    --mOpenCalls;
  }

  /// @brief Notes that a call has ended without an answer, or with one that tells nothing of the
  /// present state.
  void OnFailure()
  {
    mIsAnswering = false;
    --mOpenCalls;
  }

  /// @brief Whether calls have had no answer for kMinOutage.
  bool IsInOutage(TimePoint aNow) const { return IsWaiting() && aNow - mSilentSince >= kMinOutage; }

  /// @brief Whether an outage lasts, or has ended less than a time ago.
  bool HadOutageWithin(Millis aTime, TimePoint aNow) const
  {
    return IsInOutage(aNow) || (mOutageEndedAt && aNow - *mOutageEndedAt < aTime);
  }

private:
  bool IsWaiting() const { return mOpenCalls > 0 || !mIsAnswering; }

  std::size_t mOpenCalls = 0;
  bool mIsAnswering = true; ///< the last call that ended had an answer
  TimePoint mSilentSince{}; ///< last answer, or the first call after it
  std::optional<TimePoint> mOutageEndedAt;
};

} // namespace gentianloom

#endif
