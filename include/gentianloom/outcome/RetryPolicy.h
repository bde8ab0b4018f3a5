#ifndef GENTIANLOOM_OUTCOME_RETRY_POLICY_H
#define GENTIANLOOM_OUTCOME_RETRY_POLICY_H

#include "gentianloom/base/Clock.h"

#include <mutex>

namespace gentianloom {

/**
 * @brief Bounds retries to a share of the requests (token bucket). Thread-safe.
 *
 * Each request pays in a share of one retry; each retry takes one out. So a fleet whose endpoints
 * all fail gets at most that share of extra load.
 */
class RetryBudget
{
public:
  explicit RetryBudget(double aShare = 0.1, double aMostSaved = 20);

  /// @brief Changes what may be saved up; what is saved beyond it is lost.
  void SetBurst(double aMostSaved);

  /// @brief Notes a request's first attempt.
  void OnRequest();

  /// @brief Takes one retry. @return false if the share is used up
  bool TryTake();

private:
  std::mutex mMutex;
  double mShare;
  double mMost;
  double mSaved;
};

/**
 * @brief Retries beyond the share that one instance may save up.
 *
 * Half of the fleet's, divided among as many instances as are known and at least eight: some may
 * not be known, and all may use theirs at once. Never less than one, so that the share can be used.
 *
 * @param aFleetSlack retries beyond the share that the whole fleet may make in one window
 */
double ComputeRetryBurst(double aFleetSlack, std::size_t aInstances);

/// What an attempt left behind.
struct AttemptFailure
{
  bool mProvedNotRun = false;  ///< no byte was sent, or the endpoint stated that it did not run it
  bool mReachedCaller = false; ///< part of the answer reached the caller
};

/// What is done after a failed attempt.
enum class RetryAction
{
  Retry,
  ReportNotRun,
  ReportUnknown
};

/**
 * @brief Decides after each failed attempt of one request. Pure but for the shared budget.
 *
 * "Not run" is told only if every attempt proved it. Work that must not repeat is tried again only
 * while every attempt proved that it did not run.
 */
class RetryDecision
{
public:
  /// @param aRepeatable whether the work is idempotent
  RetryDecision(bool aRepeatable, TimePoint aDeadline)
    : mRepeatable(aRepeatable)
    , mDeadline(aDeadline)
  {
  }

  /**
   * @brief Whether an attempt may be sent now. Asked right before each send.
   *
   * After the deadline nothing is sent: a router that was paused would run work whose caller has
   * gone on.
   */
  bool MaySend(TimePoint aNow) const { return aNow < mDeadline; }

  RetryAction OnFailure(const AttemptFailure& aFacts, TimePoint aNow, RetryBudget& aBudget);

  /// @brief What is told if no further attempt can be made after RetryAction::Retry.
  RetryAction FinalAction() const;

private:
  bool mRepeatable;
  TimePoint mDeadline;
  int mAttempts = 0;
  bool mAllProved = true;
};

/// Attempts that one request gets at most.
inline constexpr int kMaxAttempts = 3;

} // namespace gentianloom

#endif
