#ifndef GENTIANLOOM_OUTCOME_RETRY_POLICY_H
#define GENTIANLOOM_OUTCOME_RETRY_POLICY_H

#include "gentianloom/base/Clock.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace gentianloom {

/**
 * @brief Token bucket that limits retries to a fraction of the requests. Thread-safe.
 *
 * Each request adds a fraction of a retry to the bucket and each retry removes one. If all
 * endpoints fail, retries add at most this fraction to the load, plus the burst.
 */
class RetryBudget
{
public:
  /**
   * @param aRatio retries that each request adds
   * @param aBurst capacity of the bucket, in retries; it starts full
   */
  explicit RetryBudget(double aRatio = 0.1, double aBurst = 20);

  /// @brief Changes the capacity. Retries in the bucket beyond the new capacity are discarded.
  void SetBurst(double aBurst);

  /// @brief Adds to the bucket. Call it once for each request, not for its retries.
  void OnRequest();

  /// @brief Takes one retry out of the bucket. @return false if there is less than one
  bool TryTake();

private:
  std::mutex mMutex;
  double mRatio;
  double mBurst;
  double mAvailable;
};

/**
 * @brief One RetryBudget for each service, all with the same ratio and burst. Not thread-safe.
 *
 * The limit on retries holds for each service, so requests for one service must not pay for retries
 * at another one.
 */
class RetryBudgets
{
public:
  /// The parameters are those of each RetryBudget.
  RetryBudgets(double aRatio, double aBurst);

  /// @brief The budget of a service; creates it, full, when the service is first named.
  RetryBudget& Of(std::string_view aService);

  /// @brief Changes the capacity of all budgets, also of those that are created later.
  void SetBurst(double aBurst);

private:
  double mRatio;
  double mBurst;
  std::map<std::string, RetryBudget, std::less<>> mBudgets; ///< by service
};

/**
 * @brief Computes the capacity of one instance's RetryBudget from that of the whole fleet.
 *
 * Half of the fleet's burst is divided among the known instances, at least eight: some instances
 * may not be known yet, and all of them may use their burst at once. The result is at least one,
 * because a smaller bucket could never hold a whole retry.
 *
 * @param aFleetBurst retries beyond the ratio that the whole fleet may make in one window
 * @param aInstances number of known instances
 * @return the capacity, in retries
 */
double ComputeRetryBurst(double aFleetBurst, std::size_t aInstances);

/// What is known about the effects of a failed attempt.
struct AttemptFailure
{
  bool mRequestDidNotRun = false; ///< no byte was sent, or the endpoint stated that it did not run
  bool mReachedCaller = false;    ///< part of the response was sent to the caller
};

/// What to do after a failed attempt.
enum class RetryAction
{
  Retry,
  ReportNotRun, ///< tell the caller that the request certainly did not run
  ReportUnknown ///< tell the caller that the request may have run
};

/**
 * @brief Decides after each failed attempt whether to retry the request. Performs no I/O.
 *
 * "Not run" is reported only if it is certain for every attempt. A request that is not idempotent
 * is retried only as long as no attempt can have run it.
 */
class RetryDecision
{
public:
  RetryDecision(bool aIsIdempotent, TimePoint aDeadline)
    : mIsIdempotent(aIsIdempotent)
    , mDeadline(aDeadline)
  {
  }

  /**
   * @brief Whether an attempt may be sent now. Call it immediately before each attempt.
   *
   * Nothing is sent after the deadline. Otherwise a router process that was suspended would run
   * requests whose callers have given up.
   */
  bool MaySend(TimePoint aNow) const { return aNow < mDeadline; }

  /// @brief Records a failed attempt. Takes a retry out of aBudget if the result is Retry.
  RetryAction OnFailure(const AttemptFailure& aFailure, TimePoint aNow, RetryBudget& aBudget);

  /// @brief What to report if no further attempt is possible after RetryAction::Retry.
  RetryAction FinalAction() const;

private:
  bool mIsIdempotent;
  TimePoint mDeadline;
  int mAttempts = 0;
  bool mNoAttemptRan = true; ///< true only if this is certain
};

/// Maximum number of attempts for one request.
inline constexpr int kMaxAttempts = 3;

} // namespace gentianloom

#endif
