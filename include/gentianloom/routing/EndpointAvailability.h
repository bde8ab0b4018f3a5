#ifndef GENTIANLOOM_ROUTING_ENDPOINT_AVAILABILITY_H
#define GENTIANLOOM_ROUTING_ENDPOINT_AVAILABILITY_H

#include "gentianloom/base/Clock.h"

#include <array>
#include <cstdint>
#include <optional>

namespace gentianloom {

/// Source of an observation of an endpoint's availability.
enum class AvailabilitySource : std::uint8_t
{
  List,     ///< the platform's instance list; its entries may be out of date
  Report,   ///< the endpoint's own load report
  Exchange, ///< a request that the endpoint accepted, or refused because it is leaving
  Peer,     ///< gossip of another router, dated by the age in the message
  Count     ///< number of sources; not a source itself
};

/// Availability that a source reports.
enum class AvailabilityState : std::uint8_t
{
  Available, ///< the endpoint accepts new requests
  Leaving    ///< the endpoint is shutting down and accepts no new requests
};

/**
 * @brief Decides whether one endpoint may get new requests, by merging sources that are delayed and
 * may disagree.
 *
 * Rules:
 * - An observation has the time at which it was made; an accepted request has the time at which it
 * was sent.
 * - The instance list counts as an "available" observation only when an entry appears or changes
 * from leaving to available. A delayed list still shows an endpoint as available that is already
 * leaving.
 * - "Leaving" from any source overrides "available" from all others. The list, a load report and a
 * peer retract their own "leaving" with a later "available". A later load report also retracts
 * "leaving" of an exchange; an exchange retracts nothing. "Leaving" of a peer expires after
 * kMaxPeerLeavingAge.
 * - New requests need an "available" observation that is not older than a limit.
 */
class EndpointAvailability
{
public:
  /**
   * @brief Merges one observation of a source.
   * @param aAsOf time of the observation, on this router's clock
   */
  void Update(AvailabilitySource aSource, AvailabilityState aState, TimePoint aAsOf);

  /// @brief Whether new requests may be sent.
  /// @param aMaxAge maximum age of the last "available" observation
  bool IsAvailable(TimePoint aNow, Millis aMaxAge) const;

  /// @brief Whether the endpoint is leaving by any source.
  bool IsLeaving(TimePoint aNow) const;

  /// @brief Whether the endpoint is leaving by any source other than a peer. When the result
  /// changes, peers are informed.
  bool IsLeavingByLocalSources() const;

  /// @brief Time of the latest "available" observation; unset if there was none.
  std::optional<TimePoint> LastAvailable() const { return mLastAvailable; }

  /// Age at which a peer's "leaving" observation expires. By then, the instance list shows it.
  static constexpr std::chrono::seconds kMaxPeerLeavingAge{ 60 };

private:
  std::optional<TimePoint>& LeavingObservedAt(AvailabilitySource aSource)
  {
    return mLeavingObservedAt[static_cast<std::size_t>(aSource)];
  }
  const std::optional<TimePoint>& LeavingObservedAt(AvailabilitySource aSource) const
  {
    return mLeavingObservedAt[static_cast<std::size_t>(aSource)];
  }
  void RetractLeaving(AvailabilitySource aSource, TimePoint aAsOf);

  std::optional<TimePoint> mLastAvailable;
  std::optional<AvailabilityState> mLastListState;
  /// by source: time of the latest "leaving" observation; unset if there is none or it was
  /// retracted
  std::array<std::optional<TimePoint>, static_cast<std::size_t>(AvailabilitySource::Count)>
    mLeavingObservedAt;
};

} // namespace gentianloom

#endif
