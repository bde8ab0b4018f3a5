#ifndef GENTIANLOOM_MEMBERSHIP_GOSSIP_INTERFACES_H
#define GENTIANLOOM_MEMBERSHIP_GOSSIP_INTERFACES_H

#include "gen-cpp/peer_types.h"

namespace gentianloom {

/**
 * @brief Adds entries to the gossip of every outgoing probe and probe answer.
 *
 * Called several times a second from the membership thread and the peer server's threads.
 * Implementations must be thread-safe, must not block and must limit what they add.
 */
class GossipSource
{
public:
  virtual ~GossipSource() = default;
  virtual void AddTo(wire::Gossip& aGossip) = 0;
};

/**
 * @brief Receives the gossip of every incoming probe and probe answer.
 *
 * Called like GossipSource; implementations must be thread-safe and must not block.
 */
class GossipSink
{
public:
  virtual ~GossipSink() = default;

  /// @param aSender state of the sending router, including the address of its peer server
  virtual void OnGossip(const wire::Gossip& aGossip, const wire::MemberNews& aSender) = 0;
};

} // namespace gentianloom

#endif
