#ifndef GENTIANLOOM_GATEWAY_GATEWAY_H
#define GENTIANLOOM_GATEWAY_GATEWAY_H

#include "gentianloom/gateway/CallerServer.h"
#include "gentianloom/gateway/Deployment.h"
#include "gentianloom/gateway/GatewaySettings.h"
#include "gentianloom/gateway/LoadNews.h"
#include "gentianloom/gateway/StoreFollower.h"
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
          const Deployment& aDeployment,
          AsyncStore& aStore,
          const Clock& aClock);

  /// @brief Opens all addresses and starts all duties.
  Result<void> Start();

  /// @brief Leaves: callers are told, open requests end, rights are returned; then the loop stops.
  void Leave();

  /// @brief Takes over settings that may change while the process runs.
  void Reload(const GatewaySettings& aSettings);

private:
  GrantDependencies MakeRightsLinks();
  FollowerSink ConfigurationSink();
  FollowerSink EndpointSink();
  FollowerSink InstanceSink();
  Result<void> ServeSmallCalls();
  void OnConfiguration(const KeyValue& aEntry);
  void PutEndpoint(const KeyValue& aEntry);
  void PutInstance(const KeyValue& aEntry);
  bool IsReady() const;
  net::ServiceReply AnswerReadiness() const;
  net::ServiceReply AnswerAddresses(const net::RequestHead& aHead) const;
  net::Task<void> KeepLease();
  net::Task<bool> WriteOwnKey();
  net::Task<void> Housekeep();
  net::Task<void> RunLeave();

  net::Loop& mLoop;
  GatewaySettings mSettings;
  const Deployment& mDeployment;
  AsyncStore& mStore;
  const Clock& mClock;
  Metrics mMetrics;
  InstanceRecord mSelf;
  InstanceDirectory mInstances;
  GrantManager mRights;
  RelayParts mParts;
  LoadNews mLoadNews;
  CallerServer mCallers;
  StoreFollower mConfigurationFollower;
  StoreFollower mEndpointFollower;
  StoreFollower mInstanceFollower;
  LeaseId mLease = 0;
};

} // namespace gentianloom

#endif
