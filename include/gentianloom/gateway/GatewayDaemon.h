#ifndef GENTIANLOOM_GATEWAY_GATEWAY_DAEMON_H
#define GENTIANLOOM_GATEWAY_GATEWAY_DAEMON_H

#include "gentianloom/external/AsyncStore.h"
#include "gentianloom/gateway/PlatformProtocol.h"
#include "gentianloom/net/Channel.h"

#include <functional>
#include <memory>
#include <string>

namespace gentianloom {

/// Creates a client of the key-value service at the given address; aHost is the value of the Host
/// header of its requests, aClock the clock by which it judges outages.
using StoreFactory = std::function<std::unique_ptr<AsyncStore>(net::Loop&,
                                                               const net::Channel::Address&,
                                                               const std::string& aHost,
                                                               const Clock& aClock)>;

/**
 * @brief Runs a gateway process until SIGTERM or SIGINT has shut it down gracefully.
 *
 * SIGHUP reloads the settings file; a changed file is also reloaded without a signal.
 *
 * @return 2 if the settings file cannot be read, the settings are invalid or an address cannot be
 * bound. After a shutdown the function does not return: the process exits with status 0.
 */
int RunGateway(const std::string& aSettingsFile,
               const PlatformProtocol& aProtocol,
               const StoreFactory& aStoreFactory);

} // namespace gentianloom

#endif
