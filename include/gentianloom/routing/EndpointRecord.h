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
  std::int64_t mInFlight = 0; ///< this router's requests in flight on the endpoint
};

/// Load report of an endpoint.
struct LoadReport
{
  std::string mEndpoint;
  std::int64_t mRunning = 0; ///< requests of all routers that the endpoint is running
  std::int64_t mSlots = 0;   ///< maximum number of concurrent requests; 0: not reported
  Millis mAge{ 0 };          ///< age of the reported values
  bool mIsLeaving = false;
  bool mHasLoad = false;            ///< false: the endpoint answers, but reports no load
  std::string mRunId;               ///< identifier of the endpoint's process; empty: not reported
  std::int64_t mLastCacheEvent = 0; ///< sequence number of the endpoint's last cache event
  std::vector<CacheEvent> mEvents;  ///< changes of the endpoint's prefix cache, oldest first
};

/// State that this router keeps for one endpoint.
struct EndpointRecord
{
  std::string mName;
  std::string mAddress;
  std::string mZone;
  std::string mModel; ///< empty: the endpoint belongs to a plain service
  std::string mRunId; ///< identifier of the endpoint's process; empty: not known
  EndpointAvailability mAvailability;
  LoadEstimate mLoad;
  PrefixTable mPrefixes;
  ConcurrencyLimit mLimit{ kUnlimited, Millis(0) };
  std::int64_t mSlots = 0; ///< maximum number of concurrent requests; 0: not known, no limit
  OutlierEjection mEjection;
  SlowdownEstimate mSlowdown;
  std::int64_t mRequestsAwaitingFirstToken = 0; ///< only this router's requests

  /// @brief Applies the number of slots from the configuration or a load report; 0 is ignored.
  /// @param aFirstTokenTarget target of the concurrency limit, used when the slots become known
  void SetSlots(std::int64_t aSlots, Millis aFirstTokenTarget);

  /// @brief Whether the endpoint has capacity for one more request of this router.
  bool HasCapacity(TimePoint aNow) const;

  /// @brief Expected time to the first token of a request that is placed now, in milliseconds.
  double ExpectedFirstTokenMs(const LatencyBaseline& aBaseline,
                              std::span<const std::uint64_t> aPrefixes,
                              TimePoint aNow) const;

  static constexpr std::int64_t kUnlimited = 1'000'000;
};

} // namespace gentianloom

#endif
