#ifndef GENTIANLOOM_RELAY_REQUEST_PERMITS_H
#define GENTIANLOOM_RELAY_REQUEST_PERMITS_H

#include "gentianloom/net/Task.h"
#include "gentianloom/routing/EndpointRegistry.h"

#include <optional>

namespace gentianloom {

/**
 * @brief Shares out the requests that endpoints with a rate limit, and those that warm up, take
 * from all instances together.
 */
class RequestPermits
{
public:
  virtual ~RequestPermits() = default;

  /**
   * @brief Asks for the permit to send one request to an endpoint, see Endpoint::NeedsPermit().
   *
   * Takes a bounded time. If it is denied, the endpoint's StatedRateLimit says until when.
   * @return time until which the request may be sent; nothing: it may not
   */
  virtual net::Task<std::optional<TimePoint>> Take(EndpointRegistry::Ptr aEndpoint) = 0;

  /// @brief Keeps the requests of all instances from an endpoint that refused one for want of room,
  /// and that too many refusals would end.
  virtual void OnFull(const EndpointRegistry::Ptr& aEndpoint) = 0;

  /// @brief Notes the rate limit that a response stated, or that it stated none.
  virtual void OnStated(const EndpointRegistry::Ptr& aEndpoint,
                        std::optional<double> aRequestsPerSecond) = 0;

  /// @brief Notes the remaining warm-up time that a response stated.
  virtual void OnWarmUpStated(const EndpointRegistry::Ptr& aEndpoint, Millis aRemaining) = 0;
};

} // namespace gentianloom

#endif
