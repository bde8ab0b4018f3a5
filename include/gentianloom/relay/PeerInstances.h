#ifndef GENTIANLOOM_RELAY_PEER_INSTANCES_H
#define GENTIANLOOM_RELAY_PEER_INSTANCES_H

#include "gentianloom/routing/EndpointRegistry.h"
#include "gentianloom/routing/ZoneRegions.h"

#include <cstdint>
#include <span>
#include <string>

namespace gentianloom {

/// Who sent a request to this instance.
enum class RequestSource : std::uint8_t
{
  Caller,
  Peer,       ///< another instance that reaches no endpoint, for its caller
  UnknownPeer ///< a host that is no listed instance, at the address for peers
};

/**
 * @brief The other instances, which serve requests for an instance that reaches no endpoint.
 */
class PeerInstances
{
public:
  virtual ~PeerInstances() = default;

  /**
   * @brief Chooses an instance for a request to a service.
   *
   * An instance that declined a request to the service a moment ago is not chosen.
   * @param aTried names of instances that declined this request
   * @param aZones only instances in these zones
   * @return a record with the instance's address for peers, or null if no instance can help
   */
  virtual EndpointRegistry::Ptr Choose(const std::string& aService,
                                       std::span<const std::string> aTried,
                                       const AllowedZones& aZones) = 0;

  /// @brief Notes that an instance declined a request: it cannot serve it either.
  virtual void OnDeclined(const EndpointRegistry::Ptr& aPeer) = 0;

  /// @brief Notes that an instance answered a request.
  virtual void OnAnswered(const EndpointRegistry::Ptr& aPeer) = 0;
};

} // namespace gentianloom

#endif
