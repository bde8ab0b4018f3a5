#ifndef GENTIANLOOM_GATEWAY_GATEWAY_H
#define GENTIANLOOM_GATEWAY_GATEWAY_H

#include "gentianloom/gateway/CallerServer.h"
#include "gentianloom/gateway/GatewaySettings.h"
#include "gentianloom/gateway/PeerLoadExchange.h"
#include "gentianloom/gateway/PlatformProtocol.h"
#include "gentianloom/gateway/PrefixWatcher.h"
#include "gentianloom/membership/InstanceDirectory.h"
#include "gentianloom/net/HttpService.h"

#include <memory>

namespace gentianloom {

/**
 * @brief One gateway process: wires the relay to the key-value service and to its callers.
 *
 * Everything runs on one event loop. What must last stands in the key-value service.
 */
class Gateway
{
public:
  Gateway(net::Loop& aLoop,
          GatewaySettings aSettings,
          const PlatformProtocol& aProtocol,
          AsyncStore& aStore,
          const Clock& aClock);

  /// @brief Opens all addresses and starts all duties.
  Result<void> Start();

  /// @brief Leaves: callers are told, open requests end, rights are returned; then the loop stops.
  void BeginShutdown();

  /// @brief Takes over settings that may change while the process runs.
  void Reload(const GatewaySettings& aSettings);

private:
  RightsLinks MakeRightsLinks();
  PrefixWatchHandlers MakeConfigurationHandlers();
  PrefixWatchHandlers MakeEndpointHandlers();
  PrefixWatchHandlers MakeInstanceHandlers();
  Result<void> ServeAuxiliaryHttp();
  void ApplyConfiguration(const KeyValue& aEntry);
  void UpdateEndpoint(const KeyValue& aEntry);
  void UpdateInstance(const KeyValue& aEntry);
  bool IsReady() const;
  net::ServiceReply AnswerReadiness() const;
  net::ServiceReply AnswerAddresses(const net::RequestHead& aHead) const;
  net::Task<void> MaintainInstanceRecord();
  net::Task<bool> WriteInstanceRecord();
  net::Task<void> RunHousekeeping();
  net::Task<void> RunShutdown();

  net::Loop& mLoop;
  GatewaySettings mSettings;
  const PlatformProtocol& mProtocol;
  AsyncStore& mStore;
  const Clock& mClock;
  Metrics mMetrics;
  InstanceRecord mSelf;
  InstanceDirectory mInstances;
  RightsDuty mRights;
  RelayParts mRelay;
  PeerLoadExchange mPeerLoadExchange;
  CallerServer mCallerServer;
  PrefixWatcher mConfigurationWatcher;
  PrefixWatcher mEndpointWatcher;
  PrefixWatcher mInstanceWatcher;
  LeaseId mLease = 0;
};

} // namespace gentianloom

#endif
