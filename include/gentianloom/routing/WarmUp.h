#ifndef GENTIANLOOM_ROUTING_WARM_UP_H
#define GENTIANLOOM_ROUTING_WARM_UP_H

#include "gentianloom/base/Clock.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace gentianloom {

/// A permit for an endpoint that warms up is used within this time after the query, or not at all:
/// permits of more than one second would otherwise arrive in one.
inline constexpr Millis kWarmUpPermitLife{ 100 };

/// Time whose permits are saved up beyond the first one: queries do not come at the very moment of
/// a permit.
inline constexpr Millis kWarmUpSavedTime{ 50 };

/// Instances that may give out permits for one endpoint, each of which may believe that it is the
/// only one.
inline constexpr int kWarmUpKeepers = 2;

/// Bound on the requests that an endpoint gets in any second while it warms up.
struct WarmUpBound
{
  double mFactor = 1; ///< of the requests per second that it can take
  double mSlack = 0;  ///< requests in addition
};

/**
 * @brief Permits per second that one keeper gives out for an endpoint that warms up.
 *
 * Each keeper has an equal part of the bound. What it gives out may arrive up to kWarmUpPermitLife
 * later, and kWarmUpSavedTime earlier than evenly spaced permits.
 *
 * @param aLimit requests per second that the endpoint can take, above 0
 */
inline double KeeperRate(double aLimit, const WarmUpBound& aBound)
{
  constexpr double kSpreadSeconds =
    1 + std::chrono::duration<double>(kWarmUpPermitLife + kWarmUpSavedTime).count();
  const double share = (aLimit * aBound.mFactor + aBound.mSlack) / kWarmUpKeepers;
  const double whole = share < 1 ? share : std::floor(share);
  return std::min(aLimit, whole / kSpreadSeconds);
}

/// @brief Time whose permits a keeper saves up at a rate: one permit, and those of
/// kWarmUpSavedTime.
inline double KeeperSavedSeconds(double aRate)
{
  return 1 / aRate + std::chrono::duration<double>(kWarmUpSavedTime).count();
}

/**
 * @brief The warm-up of one process of an endpoint. No clock or I/O.
 *
 * Statements of the remaining time are late by the time that they travel, so that the earliest of
 * the ends that they give is the closest.
 */
class WarmUp
{
public:
  /// An end that is later by no more than this is the same one, from a statement that travelled
  /// longer.
  static constexpr Millis kMaxDelay{ 200 };
  /// An end that is earlier by more than this is another one.
  static constexpr Millis kMinShift{ 500 };

  /// @brief Sets the requests per second that the endpoint can take meanwhile; nothing: any number.
  void SetLimit(std::optional<double> aRequestsPerSecond) { mLimit = aRequestsPerSecond; }

  /// @brief The limit, also if the endpoint has warmed up.
  std::optional<double> Limit() const { return mLimit; }

  /**
   * @brief Notes a statement; one that is older than the last one is ignored.
   * @param aRemaining of the warm-up; 0: the endpoint has warmed up
   * @return whether the other instances should know
   */
  bool OnStated(Millis aRemaining, TimePoint aAt)
  {
    if (aAt < mStatedAt) {
      return false;
    }
    mStatedAt = aAt;
    const auto end = aAt + aRemaining;
    const bool wasWarmingUp = aAt < mEnd;
    const bool isWarmingUp = aAt < end;
    if (wasWarmingUp && isWarmingUp && end >= mEnd && end - mEnd <= kMaxDelay) {
      return false;
    }
    const bool isShifted = isWarmingUp && (end > mEnd || mEnd - end > kMinShift);
    mEnd = end;
    return wasWarmingUp != isWarmingUp || isShifted;
  }

  /// @brief Requests per second that the endpoint can take of all instances; nothing: it does not
  /// warm up, or has no limit.
  std::optional<double> Limit(TimePoint aNow) const { return aNow < mEnd ? mLimit : std::nullopt; }

  /// @brief Whether requests need a permit.
  bool IsLimited(TimePoint aNow) const { return Limit(aNow).has_value(); }

  /// @brief Time until the warm-up ends; 0 if it has ended.
  Micros TimeLeft(TimePoint aNow) const
  {
    return std::chrono::ceil<Micros>(std::max(mEnd, aNow) - aNow);
  }

  /// @brief Notes a statement that is no time. @return whether it is the first one
  bool OnInvalid() { return !std::exchange(mWasInvalid, true); }

private:
  std::optional<double> mLimit;
  TimePoint mStatedAt{};
  TimePoint mEnd{};
  bool mWasInvalid = false;
};

/**
 * @brief Tells denied instances when to ask a keeper again. No clock or I/O.
 *
 * Load pattern: many instances compete for a few permits. The first ones are told the times of the
 * next permits, so that these are taken at once; the rest ask later, which bounds the queries.
 */
class PermitTurns
{
public:
  /**
   * @param aRate permits per second
   * @param aUntilPermit time until the next permit
   * @param aMaxWait the longest wait for a permit of one's own
   * @return time until the next query
   */
  Micros Next(double aRate, Micros aUntilPermit, Micros aMaxWait, TimePoint aNow)
  {
    const auto interval = std::chrono::ceil<Micros>(std::chrono::duration<double>(1 / aRate));
    const auto turn = std::max<TimePoint>(aNow + aUntilPermit, mLastTurn + interval);
    const auto wait = std::chrono::ceil<Micros>(turn - aNow);
    if (wait > aMaxWait) {
      return std::max(aMaxWait, aUntilPermit);
    }
    mLastTurn = turn;
    return wait;
  }

private:
  TimePoint mLastTurn{};
};

} // namespace gentianloom

#endif
