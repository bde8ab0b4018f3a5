#ifndef GENTIANLOOM_GATEWAY_GATEWAY_DAEMON_H
#define GENTIANLOOM_GATEWAY_GATEWAY_DAEMON_H

#include "gentianloom/external/AsyncStore.h"
#include "gentianloom/gateway/PlatformProtocol.h"
#include "gentianloom/net/Channel.h"

#include <functional>
#include <memory>
#include <string>

namespace gentianloom {

/// Makes the client of the key-value service at an address.
using StoreFactory = std::function<
  std::unique_ptr<AsyncStore>(net::Loop&, const net::Channel::Address&, const std::string& aHost)>;

/**
 * @brief Runs a gateway process until it was told to stop.
 *
 * SIGTERM and SIGINT make it leave; SIGHUP, or a change of the settings file, makes it read the
 * settings again.
 *
 * @return the process's exit status: 0, or 2 if the settings are wrong
 */
int RunGateway(const std::string& aSettingsFile,
               const PlatformProtocol& aProtocol,
               const StoreFactory& aStoreFactory);

} // namespace gentianloom

#endif
