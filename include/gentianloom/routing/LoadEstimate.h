#ifndef GENTIANLOOM_ROUTING_LOAD_ESTIMATE_H
#define GENTIANLOOM_ROUTING_LOAD_ESTIMATE_H

#include "gentianloom/base/Clock.h"

#include <cstdint>
#include <deque>

namespace gentianloom {

/**
 * @brief Estimates how many requests an endpoint is running, from a delayed load report and the
 * router's own count.
 *
 * A report counts the requests of all routers at a time in the past. The router knows its own count
 * at that time and now, so only the share of other routers is outdated. The weight of that share
 * decays exponentially with the age of the report.
 */
class LoadEstimate
{
public:
  /// @brief Records that a request of this router started.
  void OnStart(TimePoint aNow) { RecordChange(aNow, 1); }

  /// @brief Records that a request of this router ended.
  void OnEnd(TimePoint aNow) { RecordChange(aNow, mOwnCount > 0 ? -1 : 0); }

  /**
   * @brief Applies a load report; one that is older than the last applied report is ignored.
   * @param aRunning requests of all routers on the endpoint
   * @param aAsOf time of the measurement, on this router's clock
   */
  void OnReport(std::int64_t aRunning, TimePoint aAsOf);

  /// @brief Number of this router's requests in flight on the endpoint.
  std::int64_t OwnCount() const { return mOwnCount; }

  /// @brief Estimated number of requests that the endpoint runs: this router's count plus the
  /// decayed estimate for all other routers.
  double Running(TimePoint aNow) const;

private:
  struct Sample
  {
    TimePoint mAt;
    std::int64_t mOwnCount;
  };

  void RecordChange(TimePoint aNow, std::int64_t aDelta);
  std::int64_t OwnCountAt(TimePoint aWhen) const;

  std::int64_t mOwnCount = 0;
  std::deque<Sample> mHistory; ///< this router's count after each change, oldest first; bounded
  double mOthersCount = 0;     ///< requests of other routers at mMeasuredAt
  TimePoint mMeasuredAt{};     ///< time of the last applied report's measurement
};

} // namespace gentianloom

#endif
