#ifndef GENTIANLOOM_ROUTING_ROUTING_GOSSIP_H
#define GENTIANLOOM_ROUTING_ROUTING_GOSSIP_H

#include "gentianloom/membership/GossipInterfaces.h"
#include "gentianloom/routing/EndpointTable.h"

#include <mutex>
#include <vector>

namespace gentianloom {

/**
 * @brief Carries crash observations and changes of endpoints' standing along with probes.
 *
 * News goes out with every message for kCarried after this router learnt it; each router that
 * learns it does the same, so that it reaches all in a few periods. Thread-safe.
 */
class RoutingGossip final
  : public GossipSource
  , public GossipSink
{
public:
  RoutingGossip(CrashGuard& aGuard, EndpointTable& aEndpoints, const Clock& aClock)
    : mGuard(aGuard)
    , mEndpoints(aEndpoints)
    , mClock(aClock)
  {
  }

  void AddTo(wire::Gossip& aGossip) override;
  void OnGossip(const wire::Gossip& aGossip, const wire::MemberNews& aSender) override;

  static constexpr std::chrono::seconds kCarried{ 10 };

private:
  template<typename T>
  struct Rumour
  {
    TimePoint mSince;
    T mNews;
  };
  template<typename T>
  using Rumours = std::vector<Rumour<T>>;

  CrashGuard& mGuard;
  EndpointTable& mEndpoints;
  const Clock& mClock;
  std::mutex mMutex;
  Rumours<wire::CrashNews> mCrashes;
  Rumours<wire::EndpointNews> mStandings;
};

} // namespace gentianloom

#endif
