#ifndef GENTIANLOOM_ROUTING_ENDPOINT_CHOOSER_H
#define GENTIANLOOM_ROUTING_ENDPOINT_CHOOSER_H

#include "gentianloom/routing/EndpointRegistry.h"
#include "gentianloom/routing/FirstTokenModel.h"
#include "gentianloom/routing/RouteTable.h"

#include <span>
#include <string>
#include <vector>

namespace gentianloom {

/// Properties of a request that decide its placement.
struct PlacementRequest
{
  std::uint64_t mTieBreakHash = 0;    ///< hash of the request's identifier; breaks ties
  std::string_view mZone;             ///< availability zone of this instance
  std::span<const PromptPart> mParts; ///< parts of the prompt, in order; empty: not stated
  Millis mTarget{ 0 };                ///< latency target of the first event
  std::span<const std::string> mTriedEndpoints; ///< tried before: last resort
};

/// The chosen endpoint with the estimates behind the choice, which are logged.
struct PlacementChoice
{
  EndpointRegistry::Ptr mEndpoint; ///< null: no endpoint is usable
  std::int64_t mCachedTokens = 0;  ///< prompt tokens that the endpoint probably has cached
  std::int64_t mPrefillTokens = 0; ///< prompt tokens that the endpoint has to process
  std::int64_t mPendingTokens = 0; ///< prompt tokens of earlier requests that wait on the endpoint
  double mRunning = 0;             ///< requests on the endpoint, see EndpointLoad::Running()
  double mPredictedMs = 0;         ///< predicted time to the first event; engines only
  double mCost = 0; ///< minimized value: milliseconds for engines, load for plain endpoints
};

/**
 * @brief Chooses an endpoint for a request to a model engine. No I/O.
 *
 * Expected load: prompts that share long parts, a few of them much longer than the rest. A
 * rendezvous hash of the shared part orders the endpoints, and requests with the same part prefer
 * the first one, so that the part is computed once. If the first event would be late there because
 * long prompts wait ahead, the endpoint with the lowest predicted time is chosen, which computes
 * the part again.
 */
PlacementChoice ChooseEngineEndpoint(const PlacementRequest& aRequest,
                                     std::span<const EndpointRegistry::Ptr> aEndpoints,
                                     const EngineSpec& aEngine,
                                     const FirstTokenModel& aModel,
                                     TimePoint aNow);

/**
 * @brief Chooses the endpoint of a plain service with the lowest load per slot and prefers the own
 * availability zone. No I/O.
 *
 * Expected load: many short calls to few endpoints with few slots each, one of which may be slow.
 */
PlacementChoice ChoosePlainEndpoint(const PlacementRequest& aRequest,
                                    std::span<const EndpointRegistry::Ptr> aEndpoints,
                                    TimePoint aNow);

} // namespace gentianloom

#endif
