#ifndef GENTIANLOOM_ROUTING_LOAD_TREND_H
#define GENTIANLOOM_ROUTING_LOAD_TREND_H

#include "gentianloom/base/Clock.h"

#include <cstdint>
#include <optional>

namespace gentianloom {

/// One report of an endpoint's load, as used by LoadTrend.
struct LoadSample
{
  double mRequests = 0; ///< requests on the endpoint, running and waiting, of all instances
  double mOthers = 0;   ///< of these, those of other instances
  std::optional<std::int64_t> mPacePercent; ///< see ReportedLoad
};

/**
 * @brief Moving averages of the load that an endpoint reports, and estimates of its present load.
 * No clock or I/O.
 *
 * A report describes a moment, and most requests that were running then have ended after the time
 * that one request takes. The estimate therefore decays from the last report to the average, which
 * describes what lasts: the endpoint's speed and the popularity of the prompt parts that it caches.
 */
class LoadTrend
{
public:
  /// @brief Applies a report; one that is older than the last applied report is ignored.
  /// @param aAsOf time of the measurement
  void OnReport(const LoadSample& aSample, TimePoint aAsOf);

  /// @brief Whether there was a report.
  bool IsKnown() const { return mSamples > 0; }

  /// @brief Whether a report contained a pace.
  bool HasPace() const { return mPaceSamples > 0; }

  /// @brief Average requests on the endpoint, of all instances.
  double AverageRequests() const { return mAverageRequests; }

  /// @brief Weight of the average, 0 to 1: decreases with the age of the last report.
  double Freshness(TimePoint aNow) const;

  /// @brief Estimated requests of other instances on the endpoint.
  /// @param aRequestTime time that one request takes; the last report loses its weight in it
  double Others(TimePoint aNow, Millis aRequestTime) const;

  /// @brief Estimated time that work takes at present, relative to the endpoint's average.
  double RelativePace(TimePoint aNow) const;

private:
  std::int64_t mSamples = 0;
  std::int64_t mPaceSamples = 0;
  double mAverageRequests = 0;
  double mAverageOthers = 0;
  double mAveragePace = 1;
  double mLastOthers = 0;
  double mLastPace = 1;
  TimePoint mMeasuredAt{};
};

} // namespace gentianloom

#endif
