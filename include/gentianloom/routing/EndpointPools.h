#ifndef GENTIANLOOM_ROUTING_ENDPOINT_POOLS_H
#define GENTIANLOOM_ROUTING_ENDPOINT_POOLS_H

#include "gentianloom/configuration/AcceptedConfiguration.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace gentianloom {

/// An endpoint that a configuration states, as placement needs it.
struct PoolMember
{
  std::string mName;
  std::string mZone;
  std::string mModel; ///< empty: endpoint of a plain service
  std::vector<std::string> mAdapters;
  std::int64_t mSlots = 0;
};

/// An endpoint to poll.
struct PollTarget
{
  std::string mName;
  std::string mAddress;
  bool mIsService = false; ///< has no load report; whether it answers is enough
};

/**
 * @brief Endpoints of a configuration by model; made again only when the configuration changes.
 */
class EndpointPools
{
public:
  /// @brief Endpoints that decode a model. @par Complexity logarithmic if nothing changed
  std::span<const PoolMember> OfModel(const AcceptedConfiguration& aConfiguration,
                                      const std::string& aModel);

  /// @brief Endpoints of a plain service.
  static std::vector<PoolMember> OfService(const ServiceSpec& aService);

  /// What decides which endpoints a router polls.
  struct PollOrder
  {
    const std::string& mRouter;
    const std::string& mZone;
    std::size_t mMost;                                   ///< bound on the answer
    std::function<bool(const std::string&)> mModelInUse; ///< asked for by a caller lately
    std::function<bool(const std::string&)> mIsOut;      ///< endpoint known to take no work
  };

  /**
   * @brief Chooses the endpoints that a router polls: all, or for each model in use a subset.
   *
   * The subset is by rendezvous hashing of router and endpoint, half of it in the own zone, so that
   * each endpoint is polled by about the same number of routers, and a change of one endpoint moves
   * nothing else. Endpoints that are out do not count towards the share of their model. Endpoints
   * of services come first.
   */
  std::vector<PoolMember> Polled(const AcceptedConfiguration& aConfiguration,
                                 const PollOrder& aOrder);

private:
  void Update(const AcceptedConfiguration& aConfiguration);

  std::int64_t mVersion = -1;
  std::string mDigest;
  std::map<std::string, std::vector<PoolMember>> mByModel;
  std::size_t mModelEndpoints = 0;
  std::vector<PoolMember> mServices;
};

} // namespace gentianloom

#endif
