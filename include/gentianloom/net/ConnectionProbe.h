#ifndef GENTIANLOOM_NET_CONNECTION_PROBE_H
#define GENTIANLOOM_NET_CONNECTION_PROBE_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/net/Task.h"

#include <string>

namespace gentianloom::net {

/**
 * @brief Opens a connection and closes it again.
 * @param aAddress IP:PORT
 * @return whether it was accepted within aTimeout
 */
Task<bool> AcceptsConnections(Loop& aLoop, std::string aAddress, Millis aTimeout);

} // namespace gentianloom::net

#endif
