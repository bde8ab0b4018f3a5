#ifndef GENTIANLOOM_ROUTING_EVEN_LOAD_H
#define GENTIANLOOM_ROUTING_EVEN_LOAD_H

#include "gentianloom/routing/EndpointRegistry.h"

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace gentianloom {

/// Slots and time scale of the endpoints of one service.
struct EvenLoadSpec
{
  double mSlots = 1;            ///< of an endpoint whose entry does not contain them
  Millis mRequestTime{ 2'000 }; ///< time after which a reported load is worth little
};

/**
 * @brief Estimates how loaded an endpoint is relative to the other endpoints of its service. Pure.
 *
 * Expected load: many instances choose at the same moment with reports that are older than a
 * request takes. If each took the endpoint that looks least loaded, all would take the same one.
 */
class EvenLoad
{
public:
  /// @param aEndpoints usable endpoints of one service
  EvenLoad(std::span<const EndpointRegistry::Ptr> aEndpoints,
           const EvenLoadSpec& aSpec,
           TimePoint aNow);

  /// @brief Average load per slot relative to the service's mean, minus 1; 0 if nothing is known.
  double AverageExcess(const Endpoint& aEndpoint) const;

  /// @brief Estimated present requests per slot, with the present pace of the endpoint.
  double PresentLoad(const Endpoint& aEndpoint) const;

  /// @brief Present requests per slot if one more request is sent.
  double PresentLoadWithRequest(const Endpoint& aEndpoint) const
  {
    return PresentLoad(aEndpoint) + 1 / Slots(aEndpoint);
  }

  /// @brief PresentLoad() relative to the service's mean, minus 1.
  double PresentExcess(const Endpoint& aEndpoint) const;

private:
  double Slots(const Endpoint& aEndpoint) const;

  EvenLoadSpec mSpec;
  TimePoint mNow;
  double mMeanAverage = 0;
  double mMeanPresent = 0;
};

/// When the load of a service's endpoints is evened out.
enum class EvenLoadMode : std::uint8_t
{
  ByReports, ///< once an endpoint of the service has reported a pace
  On,
  Off
};

/**
 * @brief Decides for each service whether the load of its endpoints is evened out. No clock or I/O.
 */
class EvenLoadSwitch
{
public:
  explicit EvenLoadSwitch(EvenLoadMode aMode = EvenLoadMode::ByReports)
    : mMode(aMode)
  {
  }

  /// @brief Applies what the usable endpoints of a service have reported.
  /// @return whether the service's load is evened out from now on, and was not before
  bool Observe(const std::string& aService, std::span<const EndpointRegistry::Ptr> aEndpoints);

  /// @brief Whether the load of the service's endpoints is evened out.
  bool IsOn(std::string_view aService) const;

private:
  EvenLoadMode mMode;
  std::set<std::string, std::less<>> mServices; ///< whose load is evened out
};

/// @brief Number with the standard Gumbel distribution, made from a hash. If each alternative's
/// cost is reduced by such a number, the choice of the lowest cost is a draw with weights
/// exp(-cost).
double GumbelNoise(std::uint64_t aHash);

} // namespace gentianloom

#endif
