#ifndef GENTIANLOOM_ROUTING_ROUTE_TABLE_H
#define GENTIANLOOM_ROUTING_ROUTE_TABLE_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/configuration/Configuration.h"
#include "gentianloom/routing/ZoneRegions.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/// How a route answers requests and whether a request may be repeated.
enum class RouteKind : std::uint8_t
{
  Idempotent, ///< a request may run more than once
  AtMostOnce, ///< each request runs at most once
  Streaming   ///< answers with events; runs at most once, but may be resumed if the route allows it
};

/// A service of a route with its weight among the route's services.
struct WeightedService
{
  std::string mService;
  std::int64_t mWeight = 1;
};

/// Rule for the requests to one host whose paths begin with one prefix.
struct Route
{
  std::string mName;
  std::string mHost;
  std::string mPrefix; ///< begins and ends with a slash
  RouteKind mKind = RouteKind::AtMostOnce;
  Millis mTimeout{ 0 };       ///< maximum time until the answer is complete
  Millis mLatencyTarget{ 0 }; ///< streams: target of the time to the first event
  Millis mPatience{ 0 };      ///< callers do not wait longer for the response, or its first event
  std::int64_t mMaxAttempts = 1;
  bool mAllowsAnonymous = false;
  bool mIsResumable = false;
  AllowedRegions mAllowedRegions; ///< of the endpoints that may get its requests
  std::vector<WeightedService> mServices;

  /// @brief Whether a request may run more than once, or go on where an earlier run ended.
  bool IsRepeatable() const { return mKind == RouteKind::Idempotent || mIsResumable; }
};

/// Properties of the model engines of a service.
struct EngineSpec
{
  std::int64_t mSlots = 1;          ///< maximum number of requests in one batch
  std::int64_t mCacheTokens = 0;    ///< capacity for running requests and cached prompt parts
  std::int64_t mTokensPerEvent = 1; ///< output tokens per event
};

/// A service to which routes send requests.
struct ServiceTarget
{
  std::string mName;
  std::optional<EngineSpec> mEngine; ///< unset: a plain service
  /// Requests per second that an endpoint can take while it warms up; unset: any number.
  std::optional<double> mWarmUpLimit;
  Millis mWarmUpTime{ 0 }; ///< from the start of an endpoint; 0: not known
};

/// Name, prepaid budget and regions of an organisation.
struct OrganisationAccount
{
  std::string mName;
  std::optional<Tokens> mPrepaid; ///< total that the organisation may consume; unset: not limited
  AllowedRegions mAllowedRegions; ///< of the endpoints that may get its requests
};

/// Limits on a caller's connection and requests.
struct CallerLimits
{
  std::uint32_t mMaxHeaderBytes = 16'384;
  std::uint64_t mMaxBodyBytes = 4'194'304;
  Millis mHeaderTimeout{ 3'000 };
  Millis mIdleTimeout{ 15'000 };
};

/// One complete version of the routing configuration.
struct RoutingConfiguration
{
  std::int64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::map<std::string, ServiceTarget> mServices;
  std::vector<OrganisationAccount> mAccounts;
  std::map<std::string, std::size_t, std::less<>> mAccountByKey; ///< index in mAccounts
  CallerLimits mLimits;
  std::vector<std::string> mProblems; ///< malformed parts that were skipped, for the log
};

/**
 * @brief Looks up routes, services and organisations in one version of the configuration.
 * Immutable.
 */
class RouteTable
{
public:
  using Ptr = std::shared_ptr<const RouteTable>;

  static Ptr Create(RoutingConfiguration aConfiguration);

  std::int64_t Version() const { return mConfiguration.mVersion; }
  const CallerLimits& Limits() const { return mConfiguration.mLimits; }

  /// @brief Whether requests need an API key.
  bool HasAccounts() const { return !mConfiguration.mAccounts.empty(); }

  /// @brief Route of a host with the longest prefix that matches a path; null if none matches.
  /// @param aPath path without the query
  const Route* Find(std::string_view aHost, std::string_view aPath) const;

  /// @brief Regions that all routes of a host allow; all if the host has no route.
  AllowedRegions RegionsOf(std::string_view aHost) const;

  /// @brief Organisation to which an API key belongs; null if the key is not known.
  const OrganisationAccount* AccountByKey(std::string_view aKey) const;

  /// @brief Organisation by its name; null if it is not configured.
  const OrganisationAccount* AccountByName(std::string_view aName) const;

  /// @brief Names of the organisations with a prepaid total.
  std::vector<std::string> PrepaidOrganisations() const;

  /// @brief ServiceTarget::mWarmUpLimit of the services that have one, by name.
  std::map<std::string, double, std::less<>> WarmUpLimits() const;

  /// @brief Service by its name; null if it is not configured.
  const ServiceTarget* Service(const std::string& aName) const;

  /**
   * @brief Chooses one of a route's services in proportion to their weights.
   * @param aDraw uniformly distributed value, the same for each attempt of one request
   */
  static const std::string& ChooseService(const Route& aRoute, std::uint64_t aDraw);

private:
  explicit RouteTable(RoutingConfiguration aConfiguration);

  RoutingConfiguration mConfiguration;
  std::map<std::string, std::map<std::string, const Route*, std::less<>>, std::less<>> mByHost;
};

} // namespace gentianloom

#endif
