#include "gentianloom/serving/ConfigurationGossipSink.h"

namespace gentianloom {

void ConfigurationGossipSink::Learn(const wire::Gossip& aGossip, const wire::MemberNews& aSender)
{
  if (aGossip.configurationVersion > 0) {
    mConfiguration.OnPeerVersion(
      aGossip.configurationVersion, aGossip.configurationDigest, aSender.peerAddress);
  }
}

std::vector<InstanceStatus> ListInstanceStatus(const MembershipDuty& aMembership,
                                               const Clock& aClock)
{
  std::vector<InstanceStatus> out;
  for (const auto& it : aMembership.Others()) {
    const auto age = std::chrono::duration_cast<Millis>(aClock.Now() - it.mHeard);
    out.push_back({ it.mNews.name,
                    it.mNews.zone,
                    std::string(ToString(it.mNews.standing)),
                    it.mNews.callerAddress,
                    it.mNews.configurationVersion,
                    it.mHeard == TimePoint{} ? -1 : age.count() });
  }
  return out;
}

} // namespace gentianloom
