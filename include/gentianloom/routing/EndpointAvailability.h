#ifndef GENTIANLOOM_ROUTING_ENDPOINT_AVAILABILITY_H
#define GENTIANLOOM_ROUTING_ENDPOINT_AVAILABILITY_H

#include "gentianloom/base/Clock.h"

#include <array>
#include <cstdint>
#include <optional>

namespace gentianloom {

/// Source of a statement about an endpoint's availability.
enum class AvailabilitySource : std::uint8_t
{
  List,     ///< the platform's instance list; its entries may be out of date
  Report,   ///< the endpoint's own load report
  Exchange, ///< a request that the endpoint accepted, or refused because it is leaving
  Peer,     ///< gossip of another router, with the age of its observation
  Count     ///< number of sources; not a source itself
};

/// Availability that a source states.
enum class AvailabilityState : std::uint8_t
{
  Available,
  Leaving
};

/**
 * @brief Decides whether one endpoint may get new requests, by merging sources that are delayed and
 * may disagree.
 *
 * Rules:
 * - "Available" is dated by the time at which it was observed. An exchange is dated by its start.
 * - The instance list counts as "available" only when an entry appears or changes from leaving to
 * live, because a delayed list keeps repeating "live" for an endpoint that is already leaving.
 * - "Leaving" from any source overrides "available" from any other. Only the source that stated it
 * can retract it, with two exceptions: a later load report retracts what an exchange showed, and
 * the statement of a peer expires.
 * - New requests need an "available" observation that is younger than the limit in the settings.
 */
class EndpointAvailability
{
public:
  /**
   * @brief Merges one statement of a source.
   * @param aAsOf time of the observation, on this router's clock
   */
  void Update(AvailabilitySource aSource, AvailabilityState aState, TimePoint aAsOf);

  /// @brief Whether new requests may be sent.
  /// @param aMaxAge maximum age of the last "available" observation
  bool IsAvailable(TimePoint aNow, Millis aMaxAge) const;

  /// @brief Whether any source states that the endpoint is leaving.
  bool IsLeaving(TimePoint aNow) const;

  /// @brief Whether a source other than a peer states that the endpoint is leaving. A change of it
  /// is announced to peers.
  bool IsLeavingByLocalSources() const;

  /// @brief Time of the latest "available" observation; unset if there was none.
  std::optional<TimePoint> LastAvailable() const { return mLastAvailable; }

  /// How long a peer's "leaving" statement is valid. By then the instance list shows the change.
  static constexpr std::chrono::seconds kPeerStateLifetime{ 60 };

private:
  std::optional<TimePoint>& LeavingSince(AvailabilitySource aSource)
  {
    return mLeavingSince[static_cast<std::size_t>(aSource)];
  }
  const std::optional<TimePoint>& LeavingSince(AvailabilitySource aSource) const
  {
    return mLeavingSince[static_cast<std::size_t>(aSource)];
  }
  void RetractLeaving(AvailabilitySource aSource, TimePoint aAsOf);

  std::optional<TimePoint> mLastAvailable;
  std::optional<AvailabilityState> mLastListState;
  std::array<std::optional<TimePoint>, static_cast<std::size_t>(AvailabilitySource::Count)>
    mLeavingSince;
};

} // namespace gentianloom

#endif
