#ifndef GENTIANLOOM_GATEWAY_GATEWAY_H
#define GENTIANLOOM_GATEWAY_GATEWAY_H

#include "gentianloom/gateway/BudgetExchange.h"
#include "gentianloom/gateway/BudgetKeepers.h"
#include "gentianloom/gateway/CallerMemoryMonitor.h"
#include "gentianloom/gateway/CallerServer.h"
#include "gentianloom/gateway/CrashReportExchange.h"
#include "gentianloom/gateway/EndpointContactMonitor.h"
#include "gentianloom/gateway/EndpointLimitExchange.h"
#include "gentianloom/gateway/ForwardingPeers.h"
#include "gentianloom/gateway/GatewaySettings.h"
#include "gentianloom/gateway/InstanceRegistration.h"
#include "gentianloom/gateway/PeerLoadExchange.h"
#include "gentianloom/gateway/PlatformProtocol.h"
#include "gentianloom/gateway/PrefixWatcher.h"
#include "gentianloom/gateway/SoftwareVersionRecord.h"
#include "gentianloom/gateway/StreamOriginExchange.h"
#include "gentianloom/gateway/TrafficLog.h"
#include "gentianloom/membership/InstanceDirectory.h"
#include "gentianloom/membership/RegionPreference.h"
#include "gentianloom/net/HttpService.h"
#include "gentianloom/net/LinkBudget.h"
#include "gentianloom/net/LoopMonitor.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/**
 * @brief One gateway process: connects the request relay to the key-value service, to callers and
 * to peer instances.
 *
 * Everything runs on one event loop. All durable state is in the key-value service.
 */
class Gateway
{
public:
  Gateway(net::Loop& aLoop,
          GatewaySettings aSettings,
          const PlatformProtocol& aProtocol,
          AsyncStore& aStore,
          const Clock& aClock);

  /// @brief Binds all addresses and starts all background tasks. @return ErrorCode::BadSettings if
  /// an address cannot be bound
  Result<void> Start();

  /**
   * @brief Starts a graceful shutdown.
   *
   * Responses ask callers to close their connections, and the directory stops offering this
   * instance. New requests are accepted for a limited time, so that callers with a cached address
   * can move on. Open requests then finish, unused budget rights are returned to the key-value
   * service, and the event loop stops.
   */
  void BeginShutdown();

  /// @brief Applies the settings that may change at run time: the termination grace period and the
  /// TTL of addresses.
  void Reload(const GatewaySettings& aSettings);

private:
  GrantDependencies MakeRightsLinks();
  /// The budgets that this instance keeps.
  std::vector<std::string> KeptBudgets();
  PrefixWatchHandlers MakeOperatorHandlers();
  /// Whether the instances that started together with this one are listed.
  bool AreInstancesListed() const;
  PrefixWatchHandlers MakeEndpointHandlers();
  PrefixWatchHandlers MakeInstanceHandlers();
  /// Serves readiness checks, queries for instance addresses, and metrics.
  Result<void> ServeAuxiliaryHttp();
  void ApplyConfiguration(const KeyValue& aEntry);
  /// Applies all keys of the operators.
  void ReadOperatorKeys(const std::vector<KeyValue>& aEntries, StoreAvailability aAvailability);
  /// Applies a change of one of the operators' keys.
  void UpdateOperatorKey(const WatchEvent& aEvent);
  /// The zone that a key of the operators evacuates, if it does; logs a malformed key.
  std::optional<std::string> DecodeEvacuatedZone(std::string_view aKey) const;
  /// Changes the evacuated zones and logs which ones are evacuated or used again by that.
  void ChangeEvacuatedZones(const std::function<void(EvacuatedZones&)>& aChange);
  Result<EndpointEntry> DecodeEndpoint(const KeyValue& aEntry) const;
  void UpdateEndpoint(const KeyValue& aEntry);
  /// Logs that an entry names no endpoint, once until a valid entry follows.
  void LogInvalidEntry(const std::string& aId, const std::string& aError);
  void UpdateInstance(const KeyValue& aEntry);
  /// Adds the software versions of the listed endpoints to the history.
  void ObserveSoftwareVersions();
  /// Whether the process at an endpoint's address still runs.
  net::Task<bool> ProbeEndpoint(std::string aAddress);
  bool IsReady() const;
  net::ServiceReply HandleReadinessCheck() const;
  net::ServiceReply HandleAddressQuery(const net::ServiceRequest& aRequest) const;
  /// The regions of a caller and of the host that it asks for.
  RegionPreference MakeRegionPreference(const AddressQuery& aQuery) const;
  /// Callers wait while the link is full of what they send.
  AcceptPolicy MakeAcceptPolicy();
  /// Bytes that this instance has received since its start, as far as they are counted.
  std::uint64_t ReceivedBytes() const;
  net::Task<void> RunHousekeeping();
  /// Whether a request is open, or a response is not sent yet, here or for another instance.
  bool HasOpenWork() const;
  net::Task<void> RunShutdown();

  net::Loop& mLoop;
  GatewaySettings mSettings;
  const PlatformProtocol& mProtocol;
  AsyncStore& mStore;
  const Clock& mClock;
  Metrics mMetrics;
  net::CallerMemory mCallerMemory;
  CallerMemoryMonitor mCallerMemoryMonitor;
  net::LinkBudget mLinkBudget;
  net::LoopMonitor mLoopMonitor;
  InstanceRecord mSelf;
  InstanceDirectory mInstances;
  BudgetKeepers mBudgetKeepers;
  GrantManager mRights;
  PeerSocket mPeerSocket;
  BudgetExchange mBudgetExchange;
  RelayContext mRelay;
  PeerLoadExchange mPeerLoadExchange;
  StreamOriginExchange mStreamOrigins;
  EndpointEndExchange mEndpointEnds;
  CrashReportExchange mCrashReports;
  EndpointLimitExchange mEndpointLimits;
  WatchRelay mWatchRelay;
  EndpointContactMonitor mEndpointContact;
  ForwardingPeers mForwardingPeers;
  CallerServer mCallerServer;
  CallerServer mPeerServer; ///< requests of instances that reach no endpoint
  PrefixWatcher mOperatorWatcher;
  PrefixWatcher mEndpointWatcher;
  PrefixWatcher mInstanceWatcher;
  InstanceRegistration mRegistration;
  SoftwareVersionRecord mVersionRecord;
  TrafficLog mTrafficLog;
  std::set<std::string> mInvalidEntries; ///< ids of endpoints whose last entry is invalid
  TimePoint mStartedAt{};
  Millis mOldestView{ 0 }; ///< greatest age of what is watched, since the last line of the log
};

} // namespace gentianloom

#endif
