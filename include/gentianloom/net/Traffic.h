#ifndef GENTIANLOOM_NET_TRAFFIC_H
#define GENTIANLOOM_NET_TRAFFIC_H

#include <cstdint>

namespace gentianloom::net {

/// Bytes that passed the connections of one purpose since the start of the process.
struct Traffic
{
  std::uint64_t mSent = 0;
  std::uint64_t mReceived = 0;
  std::uint64_t mConnections = 0;
};

} // namespace gentianloom::net

#endif
