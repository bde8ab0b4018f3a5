#ifndef GENTIANLOOM_GATEWAY_FORWARDING_PEERS_H
#define GENTIANLOOM_GATEWAY_FORWARDING_PEERS_H

#include "gentianloom/relay/PeerInstances.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/**
 * @brief Chooses among the instances that are listed, by this instance's requests that are open
 * there.
 *
 * Load pattern: half of a fleet, or a whole availability zone, reaches no endpoint, and each of
 * these instances has to find one that does. The first choice is in the own zone, the next ones
 * anywhere that the request's regions allow. Who declined is passed over for
 * EndpointLoad::kUnreachableSuspension; once kMaxDeclined instances in a row have declined, none is
 * asked for kPause, because then most likely no instance reaches an endpoint.
 */
class ForwardingPeers final : public PeerInstances
{
public:
  static constexpr int kMaxDeclined = 8;
  static constexpr Millis kPause{ 250 };

  /// Addresses for peers of the other instances that serve, of one availability zone or (empty) of
  /// all.
  using Addresses = std::function<std::vector<std::string>(std::string_view aZone)>;

  ForwardingPeers(Addresses aAddresses, std::string aZone, const Clock& aClock)
    : mAddresses(std::move(aAddresses))
    , mZone(std::move(aZone))
    , mClock(aClock)
  {
  }

  EndpointRegistry::Ptr Choose(const std::string& aService,
                               std::span<const std::string> aTried,
                               const AllowedZones& aZones = std::nullopt) override;
  void OnDeclined(const EndpointRegistry::Ptr& aPeer) override;
  void OnAnswered(const EndpointRegistry::Ptr& aPeer) override;

private:
  /// The instances that serve a service for this one.
  struct Service
  {
    std::map<std::string, EndpointRegistry::Ptr> mPeers; ///< by address
    int mDeclined = 0;                                   ///< in a row
    TimePoint mLastDeclinedAt{};
  };

  EndpointRegistry::Ptr ChooseAmong(const std::string& aService,
                                    std::vector<std::string> aAddresses,
                                    std::span<const std::string> aTried);
  /// Addresses of the instances in all allowed zones.
  std::vector<std::string> AddressesIn(const AllowedZones& aZones) const;
  EndpointRegistry::Ptr RecordOf(const std::string& aService, const std::string& aAddress);

  Addresses mAddresses;
  std::string mZone;
  const Clock& mClock;
  std::map<std::string, Service> mServices;
};

} // namespace gentianloom

#endif
