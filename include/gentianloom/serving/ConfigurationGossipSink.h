#ifndef GENTIANLOOM_SERVING_CONFIGURATION_GOSSIP_SINK_H
#define GENTIANLOOM_SERVING_CONFIGURATION_GOSSIP_SINK_H

#include "gentianloom/configuration/ConfigurationManager.h"
#include "gentianloom/membership/MembershipService.h"
#include "gentianloom/serving/ConfigurationAdmin.h"

namespace gentianloom {

/// Passes the configuration versions that peers report by gossip to ConfigurationManager.
class ConfigurationGossipSink final : public GossipSink
{
public:
  explicit ConfigurationGossipSink(ConfigurationManager& aConfiguration)
    : mConfiguration(aConfiguration)
  {
  }

  void OnGossip(const wire::Gossip& aGossip, const wire::MemberNews& aSender) override;

private:
  ConfigurationManager& mConfiguration;
};

/// @brief Returns the state of the other instances, for `/admin/v1/status`.
std::vector<InstanceStatus> ListInstanceStatus(const MembershipService& aMembership,
                                               const Clock& aClock);

} // namespace gentianloom

#endif
