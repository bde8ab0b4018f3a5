#ifndef GENTIANLOOM_ROUTING_ENDPOINT_POOLS_H
#define GENTIANLOOM_ROUTING_ENDPOINT_POOLS_H

#include "gentianloom/configuration/AcceptedConfiguration.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace gentianloom {

/// An endpoint of the configuration, with the properties that placement needs.
struct PoolMember
{
  std::string mName;
  std::string mZone;
  std::string mModel; ///< empty: the endpoint belongs to a plain service
  std::vector<std::string> mAdapters;
  std::int64_t mSlots = 0; ///< maximum number of concurrent requests; 0: not configured
};

/// An endpoint to poll.
struct PollTarget
{
  std::string mName;
  std::string mAddress;
  bool mIsService = false; ///< endpoint of a plain service, which only answers health checks
};

/**
 * @brief Index of a configuration's endpoints by model, rebuilt only when the configuration
 * changes.
 */
class EndpointPools
{
public:
  /// @brief Endpoints that decode a model. Endpoints that only prefill are not included.
  /// @par Complexity logarithmic if the configuration did not change
  std::span<const PoolMember> ModelPool(const AcceptedConfiguration& aConfiguration,
                                        const std::string& aModel);

  /// @brief Endpoints of a plain service.
  static std::vector<PoolMember> ServicePool(const ServiceSpec& aService);

  /// Criteria by which a router selects the endpoints to poll.
  struct PollCriteria
  {
    const std::string& mRouter;
    const std::string& mZone;
    std::size_t mMaxTargets;                               ///< maximum number of endpoints returned
    std::function<bool(const std::string&)> mIsModelInUse; ///< whether it was requested recently
    std::function<bool(const std::string&)> mIsUnavailable; ///< whether it accepts no requests
  };

  /**
   * @brief Chooses the endpoints that a router polls: all of them if mMaxTargets allows it,
   * otherwise those of plain services and a subset for each model in use.
   *
   * The subset is chosen by rendezvous hashing of router and endpoint, half of it in the own
   * availability zone. Each endpoint is thus polled by about the same number of routers, and
   * adding or removing an endpoint hardly changes the rest of the subset. Unavailable endpoints are
   * chosen last.
   * Endpoints of plain services come first in the result.
   */
  std::vector<PoolMember> ChoosePolled(const AcceptedConfiguration& aConfiguration,
                                       const PollCriteria& aCriteria);

private:
  void Update(const AcceptedConfiguration& aConfiguration);

  std::int64_t mVersion = -1;
  std::string mDigest;
  std::map<std::string, std::vector<PoolMember>> mByModel;
  std::size_t mModelEndpointCount = 0;
  std::vector<PoolMember> mServiceEndpoints;
};

} // namespace gentianloom

#endif
