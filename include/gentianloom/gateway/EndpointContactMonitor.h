#ifndef GENTIANLOOM_GATEWAY_ENDPOINT_CONTACT_MONITOR_H
#define GENTIANLOOM_GATEWAY_ENDPOINT_CONTACT_MONITOR_H

#include "gentianloom/base/Metrics.h"
#include "gentianloom/net/Task.h"
#include "gentianloom/relay/ConnectionPool.h"
#include "gentianloom/routing/EndpointContact.h"
#include "gentianloom/routing/EndpointRegistry.h"

#include <set>
#include <string>
#include <string_view>

namespace gentianloom {

/**
 * @brief Finds out by connections of its own whether this instance reaches the endpoints of each
 * service.
 *
 * Where EndpointContact calls for a check, connections to up to kEndpointsPerCheck endpoints are
 * opened at once. While contact is lost, one endpoint is tried every kTrialInterval, so that 65
 * instances that are cut off for a while do not return to an endpoint together.
 */
class EndpointContactMonitor
{
public:
  static constexpr std::size_t kEndpointsPerCheck = 3;
  static constexpr Millis kTrialInterval{ 300 };

  EndpointContactMonitor(net::Loop& aLoop,
                         const EndpointRegistry& aEndpoints,
                         EndpointContacts& aContacts,
                         ConnectionPool& aConnections,
                         const Clock& aClock,
                         Metrics& aMetrics);

  /// @brief Starts the checks. Call it once.
  void Start();

  /// @brief Checks a service now. Takes a bounded time. @return whether contact is not lost
  net::Task<bool> Check(std::string aService);

private:
  net::Task<void> Run();
  net::Task<void> CheckOnce(std::string aService);
  /// Addresses of up to aCount endpoints of a service, beginning with a random one.
  std::vector<std::string> ChooseAddresses(std::string_view aService, std::size_t aCount) const;
  void OnLost(const std::string& aService);
  void OnRegained(const std::string& aService);

  net::Loop& mLoop;
  const EndpointRegistry& mEndpoints;
  EndpointContacts& mContacts;
  ConnectionPool& mConnections;
  const Clock& mClock;
  Metrics& mMetrics;
  std::set<std::string, std::less<>> mChecking; ///< services whose check runs
  std::set<std::string, std::less<>> mLost;     ///< services whose loss was logged
  std::map<std::string, TimePoint> mNextTrialAt;
};

} // namespace gentianloom

#endif
