#ifndef GENTIANLOOM_SERVING_CONFIGURATION_NEWS_H
#define GENTIANLOOM_SERVING_CONFIGURATION_NEWS_H

#include "gentianloom/configuration/ConfigurationManager.h"
#include "gentianloom/membership/MembershipDuty.h"
#include "gentianloom/serving/ConfigurationAdmin.h"

namespace gentianloom {

/// Tells the configuration's duty which version a router has that sent a probe or an answer.
class ConfigurationNews final : public GossipSink
{
public:
  explicit ConfigurationNews(ConfigurationManager& aDuty)
    : mDuty(aDuty)
  {
  }

  void Learn(const wire::Gossip& aGossip, const wire::MemberNews& aSender) override;

private:
  ConfigurationManager& mDuty;
};

/// @brief What membership knows of the other instances, for `status`.
std::vector<InstanceView> ViewInstances(const MembershipDuty& aMembership, const Clock& aClock);

} // namespace gentianloom

#endif
