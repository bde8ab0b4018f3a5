#ifndef GENTIANLOOM_ROUTING_RATE_LIMIT_H
#define GENTIANLOOM_ROUTING_RATE_LIMIT_H

#include "gentianloom/base/Clock.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace gentianloom {

/**
 * @brief The rate limit that an endpoint has stated in its responses. No clock or I/O.
 *
 * It holds for the requests of all instances together, for as long as the endpoint states it: a
 * response without it ends it.
 */
class StatedRateLimit
{
public:
  /**
   * @brief Notes what a response stated; a statement that is older than the known one is ignored.
   * @param aRequestsPerSecond nothing: the response stated no limit
   * @return whether the limit is another one now
   */
  bool OnStated(std::optional<double> aRequestsPerSecond, TimePoint aAt)
  {
    if (aAt < mStatedAt) {
      return false;
    }
    mStatedAt = aAt;
    return std::exchange(mRequestsPerSecond, aRequestsPerSecond) != aRequestsPerSecond;
  }

  /// @brief Notes that no request may be sent until a time while a permit is needed.
  void OnDenied(TimePoint aUntil) { mDeniedUntil = aUntil; }

  bool IsLimited() const { return mRequestsPerSecond.has_value(); }
  std::optional<double> RequestsPerSecond() const { return mRequestsPerSecond; }
  TimePoint StatedAt() const { return mStatedAt; }
  TimePoint DeniedUntil() const { return mDeniedUntil; }

  /// @brief Whether a request may be sent, or a permit asked for.
  bool AllowsRequest(TimePoint aNow) const { return !IsLimited() || aNow >= mDeniedUntil; }

  /// @brief Time until AllowsRequest(); zero if it does.
  Micros TimeLeft(TimePoint aNow) const
  {
    return AllowsRequest(aNow) ? Micros(0)
                               : std::chrono::duration_cast<Micros>(mDeniedUntil - aNow);
  }

private:
  std::optional<double> mRequestsPerSecond;
  TimePoint mStatedAt{};
  TimePoint mDeniedUntil{};
};

/**
 * @brief Gives out permits for the requests that an endpoint with a rate limit may get. No clock or
 *        I/O.
 *
 * Load pattern: many instances compete for a few requests a second. A permit is given as soon as
 * the limit allows the next request, and few are saved up, so that an endpoint in need is spared a
 * burst.
 */
class PermitBucket
{
public:
  /// An endpoint that wants nothing gets this many requests a second: only a response can tell that
  /// its need has ended.
  static constexpr double kMinRequestsPerSecond = 0.2;
  /// Time whose permits are saved up at most, but at least one.
  static constexpr double kMaxSavedSeconds = 0.5;

  /// @brief Takes a permit if there is one.
  /// @param aMaxSavedSeconds time whose permits are saved up at most, but at least one
  bool TryTake(double aRequestsPerSecond,
               TimePoint aNow,
               double aMaxSavedSeconds = kMaxSavedSeconds)
  {
    const double rate = std::max(aRequestsPerSecond, kMinRequestsPerSecond);
    const double seconds = std::chrono::duration<double>(aNow - mUpdatedAt).count();
    const double mostSaved = std::max(1.0, rate * aMaxSavedSeconds);
    mPermits = mUpdatedAt == TimePoint{} ? 0 : std::min(mostSaved, mPermits + seconds * rate);
    mUpdatedAt = aNow;
    if (mPermits < 1) {
      return false;
    }
    mPermits -= 1;
    return true;
  }

  /// @brief Time until there is a permit, after a failed TryTake().
  Micros TimeUntilPermit(double aRequestsPerSecond) const
  {
    const double rate = std::max(aRequestsPerSecond, kMinRequestsPerSecond);
    const std::chrono::duration<double> time((1 - mPermits) / rate);
    return std::chrono::ceil<Micros>(time);
  }

private:
  double mPermits = 0;
  TimePoint mUpdatedAt{};
};

} // namespace gentianloom

#endif
