#ifndef GENTIANLOOM_ROUTING_ENDPOINT_RECORD_H
#define GENTIANLOOM_ROUTING_ENDPOINT_RECORD_H

#include "gentianloom/routing/ConcurrencyLimit.h"
#include "gentianloom/routing/EndpointAvailability.h"
#include "gentianloom/routing/LoadEstimate.h"
#include "gentianloom/routing/OutlierEjection.h"
#include "gentianloom/routing/PrefixTable.h"
#include "gentianloom/routing/SlowdownEstimate.h"

#include <string>
#include <vector>

namespace gentianloom {

/// Entry of the instance list for one endpoint.
struct ListedEndpoint
{
  std::string mName;
  std::string mAddress;
  std::string mZone;
  bool mIsLeaving = false;
  std::int64_t mInFlight = 0; ///< requests of this router in flight there
};

/// Load report of an endpoint.
struct LoadReport
{
  std::string mEndpoint;
  std::int64_t mRunning = 0; ///< requests of all routers that the endpoint is running
  std::int64_t mSlots = 0;   ///< maximum number of concurrent requests; 0: not stated
  Millis mAge{ 0 };          ///< age of the reported values
  bool mIsLeaving = false;
  bool mHasLoad = false;            ///< false: the endpoint answers, but reports no load
  std::string mRunId;               ///< identifier of the endpoint's process; empty: not stated
  std::int64_t mLastCacheEvent = 0; ///< sequence number of the endpoint's last cache event
  std::vector<CacheEvent> mEvents;
};

/// State that this router keeps for one endpoint.
struct EndpointRecord
{
  std::string mName;
  std::string mAddress;
  std::string mZone;
  std::string mModel; ///< empty: endpoint of a plain service
  std::string mRunId;
  EndpointAvailability mAvailability;
  LoadEstimate mLoad;
  PrefixTable mPrefixes;
  ConcurrencyLimit mLimit{ kUnlimited, Millis(0) };
  std::int64_t mSlots = 0; ///< maximum number of concurrent requests; 0: not known, no limit
  OutlierEjection mEjection;
  SlowdownEstimate mSlowdown;
  std::int64_t mAwaitingFirstToken = 0; ///< requests of this router that wait for their first token

  /// @brief Applies the number of slots that the configuration or a load report states; 0 changes
  /// nothing.
  void SetSlots(std::int64_t aSlots, Millis aFirstTokenTarget);

  /// @brief Whether the endpoint has capacity for one more request.
  bool HasCapacity(TimePoint aNow) const;

  /// @brief Expected time to the first token of a request that is placed now, in milliseconds.
  double ExpectedFirstTokenMs(const LatencyBaseline& aBaseline,
                              std::span<const std::uint64_t> aPrefixes,
                              TimePoint aNow) const;

  static constexpr std::int64_t kUnlimited = 1'000'000;
};

} // namespace gentianloom

#endif
