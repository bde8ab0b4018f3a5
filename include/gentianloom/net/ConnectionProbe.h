#ifndef GENTIANLOOM_NET_CONNECTION_PROBE_H
#define GENTIANLOOM_NET_CONNECTION_PROBE_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/net/Task.h"

#include <string>

namespace gentianloom::net {

/**
 * @brief Opens a connection and closes it at once.
 * @param aAddress IP:PORT
 * @return whether it was accepted within the time
 */
Task<bool> AcceptsConnection(Loop& aLoop, std::string aAddress, Millis aTimeout);

/**
 * @brief Opens a connection, sends nothing, and closes it after some time.
 *
 * The address of a process that has ended may still accept connections: a supervisor that holds the
 * port closes them, and so does a listener that ends a moment later.
 *
 * @param aAddress IP:PORT
 * @param aTimeout time within which the connection has to be accepted, and for which it then has to
 *        stay open
 * @return whether it was accepted and stayed open
 */
Task<bool> KeepsConnectionOpen(Loop& aLoop, std::string aAddress, Millis aTimeout);

} // namespace gentianloom::net

#endif
