#include "gentianloom/serving/ConfigurationGossipSink.h"

namespace gentianloom {

void ConfigurationGossipSink::OnGossip(const wire::Gossip& aGossip, const wire::MemberNews& aSender)
{
  if (aGossip.configurationVersion > 0) {
    mConfiguration.OnPeerVersion(
      aGossip.configurationVersion, aGossip.configurationDigest, aSender.peerAddress);
  }
}

std::vector<InstanceStatus> ListInstanceStatus(const MembershipService& aMembership,
                                               const Clock& aClock)
{
  std::vector<InstanceStatus> out;
  for (const auto& it : aMembership.Others()) {
    const auto age = std::chrono::duration_cast<Millis>(aClock.Now() - it.mLastContact);
    out.push_back({ it.mInfo.name,
                    it.mInfo.zone,
                    std::string(ToString(it.mInfo.standing)),
                    it.mInfo.callerAddress,
                    it.mInfo.configurationVersion,
                    it.mLastContact == TimePoint{} ? -1 : age.count() });
  }
  return out;
}

} // namespace gentianloom
