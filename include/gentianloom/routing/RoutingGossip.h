#ifndef GENTIANLOOM_ROUTING_ROUTING_GOSSIP_H
#define GENTIANLOOM_ROUTING_ROUTING_GOSSIP_H

#include "gentianloom/membership/GossipInterfaces.h"
#include "gentianloom/routing/EndpointTable.h"

#include <mutex>
#include <vector>

namespace gentianloom {

/**
 * @brief Sends crash observations and endpoint state changes with the gossip of membership probes,
 * and applies those of peers.
 *
 * An item of this router is added to every message for kResendPeriod; if a message would get too
 * many items, the newest are added. A router that receives an item that is new to it forwards it in
 * the same way, so that the item reaches all routers within a few probe periods. Thread-safe.
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

  /// @brief Adds the items to send to an outgoing message.
  void AddTo(wire::Gossip& aGossip) override;

  /// @brief Applies the items of a received message.
  void OnGossip(const wire::Gossip& aGossip, const wire::MemberNews& aSender) override;

  /// How long an item is added to every message.
  static constexpr std::chrono::seconds kResendPeriod{ 10 };

private:
  template<typename T>
  struct ResentItem
  {
    TimePoint mAddedAt;
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
