#ifndef GENTIANLOOM_ROUTING_ROUTING_GOSSIP_H
#define GENTIANLOOM_ROUTING_ROUTING_GOSSIP_H

#include "gentianloom/membership/GossipInterfaces.h"
#include "gentianloom/routing/EndpointTable.h"

#include <mutex>
#include <vector>

namespace gentianloom {

/**
 * @brief Adds crash observations and endpoint state changes to the gossip of membership probes.
 *
 * Each item is sent with every message for kResendPeriod after this router received it. Every
 * router that receives it does the same, so that it reaches all routers within a few probe periods.
 * Thread-safe.
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

  /// How long an item is sent with every message.
  static constexpr std::chrono::seconds kResendPeriod{ 10 };

private:
  template<typename T>
  struct ResentItem
  {
    TimePoint mReceivedAt;
    T mItem;
  };
  template<typename T>
  using ResentItems = std::vector<ResentItem<T>>;

  CrashGuard& mGuard;
  EndpointTable& mEndpoints;
  const Clock& mClock;
  std::mutex mMutex;
  ResentItems<wire::CrashNews> mCrashes;
  ResentItems<wire::EndpointNews> mStateChanges;
};

} // namespace gentianloom

#endif
