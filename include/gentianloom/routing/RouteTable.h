#ifndef GENTIANLOOM_ROUTING_ROUTE_TABLE_H
#define GENTIANLOOM_ROUTING_ROUTE_TABLE_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/configuration/Configuration.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/// How the work of a route may be repeated.
enum class RouteKind : std::uint8_t
{
  Idempotent, ///< may run more than once
  AtMostOnce, ///< each request runs at most once
  Streaming   ///< answers with events; at most once, but may be resumed where the route allows it
};

/// A service of a route and its share of the requests.
struct WeightedService
{
  std::string mService;
  std::int64_t mWeight = 1;
};

/// Requests of one host below one path, and how they are served.
struct Route
{
  std::string mName;
  std::string mHost;
  std::string mPrefix; ///< begins and ends with a slash
  RouteKind mKind = RouteKind::AtMostOnce;
  Millis mTimeout{ 0 };       ///< longest time that a caller is kept waiting
  Millis mLatencyTarget{ 0 }; ///< streams: up to the first event
  std::int64_t mMostAttempts = 1;
  bool mAllowsAnonymous = false;
  bool mIsResumable = false;
  std::vector<WeightedService> mServices;
};

/// What is known of the model engines of a service.
struct EngineSpec
{
  std::int64_t mSlots = 1;          ///< requests in one batch
  std::int64_t mCacheTokens = 0;    ///< memory for running requests and cached prompt parts
  std::int64_t mTokensPerEvent = 1; ///< output tokens that one event stands for
};

/// A service that routes lead to.
struct ServiceTarget
{
  std::string mName;
  std::optional<EngineSpec> mEngine; ///< unset: a plain service
};

/// An organisation as the relay knows it.
struct Payer
{
  std::string mName;
  std::optional<Tokens> mPrepaid; ///< total that it may consume; unset: not limited
};

/// What a client may send.
struct CallerLimits
{
  std::uint32_t mHeadBytes = 16'384;
  std::uint64_t mBodyBytes = 4'194'304;
  Millis mHeadTime{ 3'000 };
  Millis mIdleTime{ 15'000 };
};

/// One version of the routing configuration, as a whole.
struct RoutingConfiguration
{
  std::int64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::map<std::string, ServiceTarget> mServices;
  std::vector<Payer> mPayers;
  std::map<std::string, std::size_t, std::less<>> mPayerOfKey; ///< index in mPayers
  CallerLimits mLimits;
};

/**
 * @brief Finds routes and organisations in one version of the configuration. Immutable.
 */
class RouteTable
{
public:
  using Ptr = std::shared_ptr<const RouteTable>;

  static Ptr Create(RoutingConfiguration aConfiguration);

  std::int64_t Version() const { return mConfiguration.mVersion; }
  const CallerLimits& Limits() const { return mConfiguration.mLimits; }

  /// @brief Whether requests need a key.
  bool HasPayers() const { return !mConfiguration.mPayers.empty(); }

  /// @brief Route with the longest prefix of a path. @param aPath without its query
  const Route* Find(std::string_view aHost, std::string_view aPath) const;

  /// @brief Organisation that holds a key; null if none does.
  const Payer* PayerOf(std::string_view aKey) const;

  /// @brief Organisation by name; null if it is not configured.
  const Payer* PayerNamed(std::string_view aName) const;

  /// @brief Names of the organisations with a prepaid total.
  std::vector<std::string> LimitedPayers() const;

  /// @brief Service by name; null if it is not configured.
  const ServiceTarget* Service(const std::string& aName) const;

  /**
   * @brief Chooses one of a route's services by their weights.
   * @param aDraw a number that is evenly distributed, the same for each try of one request
   */
  static const std::string& ChooseService(const Route& aRoute, std::uint64_t aDraw);

private:
  explicit RouteTable(RoutingConfiguration aConfiguration);

  RoutingConfiguration mConfiguration;
  std::map<std::string, std::map<std::string, const Route*, std::less<>>, std::less<>> mByHost;
};

} // namespace gentianloom

#endif
