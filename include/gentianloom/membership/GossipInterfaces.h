#ifndef GENTIANLOOM_MEMBERSHIP_GOSSIP_INTERFACES_H
#define GENTIANLOOM_MEMBERSHIP_GOSSIP_INTERFACES_H

#include "gen-cpp/peer_types.h"

namespace gentianloom {

/**
 * @brief Adds news of its own to every probe and answer that goes out.
 *
 * Called from the membership thread and the peer server's threads, several times a second;
 * implementations are thread-safe, do not block and bound what they add.
 */
class GossipSource
{
public:
  virtual ~GossipSource() = default;
  virtual void AddTo(wire::Gossip& aGossip) = 0;
};

/**
 * @brief Learns from every probe and answer that comes in. Same rules as for GossipSource.
 */
class GossipSink
{
public:
  virtual ~GossipSink() = default;

  /// @param aSender the router that sent it, with the address of its peer server
  virtual void OnGossip(const wire::Gossip& aGossip, const wire::MemberNews& aSender) = 0;
};

} // namespace gentianloom

#endif
