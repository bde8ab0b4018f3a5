#ifndef GENTIANLOOM_SERVING_CONFIGURATION_GOSSIP_SINK_H
#define GENTIANLOOM_SERVING_CONFIGURATION_GOSSIP_SINK_H

#include "gentianloom/configuration/ConfigurationDuty.h"
#include "gentianloom/membership/MembershipDuty.h"
#include "gentianloom/serving/ConfigurationAdmin.h"

namespace gentianloom {

/// Tells the configuration's duty which version a router has that sent a probe or an answer.
class ConfigurationGossipSink final : public GossipSink
{
public:
  explicit ConfigurationGossipSink(ConfigurationDuty& aConfiguration)
    : mConfiguration(aConfiguration)
  {
  }

  void Learn(const wire::Gossip& aGossip, const wire::MemberNews& aSender) override;

private:
  ConfigurationDuty& mConfiguration;
};

/// @brief What membership knows of the other instances, for `status`.
std::vector<InstanceStatus> ListInstanceStatus(const MembershipDuty& aMembership,
                                               const Clock& aClock);

} // namespace gentianloom

#endif
