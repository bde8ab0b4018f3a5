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
  std::uint64_t mTieBreakHash = 0; ///< hash of the request's identifier; breaks ties, and replaces
                                   ///< the hash of the shared part if mParts is empty
  std::string_view mZone; ///< availability zone of this instance; its endpoints are preferred
  std::span<const PromptPart> mParts;           ///< parts of the prompt, in order; empty: not known
  Millis mTarget{ 0 };                          ///< target of the time to the first event
  std::span<const std::string> mTriedEndpoints; ///< ids; chosen again only as a last resort
  bool mIsLoadEvened = false; ///< even out the load of the endpoints, see EvenLoad
};

/// The chosen endpoint with the estimates behind the choice, which are logged.
struct PlacementChoice
{
  EndpointRegistry::Ptr mEndpoint;       ///< null: no endpoint is usable
  std::optional<TimePoint> mPermitUntil; ///< end of the permit of an endpoint that needs one
  std::int64_t mCachedTokens = 0;        ///< prompt tokens that the endpoint probably has cached
  std::int64_t mPrefillTokens = 0;       ///< prompt tokens that the endpoint has to process
  std::int64_t mPendingTokens = 0;       ///< prompt tokens of requests ahead on the endpoint
  double mRunning = 0;     ///< estimated requests on the endpoint, see EndpointLoad::Running()
  double mPredictedMs = 0; ///< predicted time to the first event; engines only
  /// minimized value, with all penalties: milliseconds for engines, load per slot for plain
  /// endpoints
  double mCost = 0;
};

/**
 * @brief Chooses an endpoint for a request to a model engine. No I/O.
 *
 * Expected load: prompts that share long parts, a few of them much longer than the rest.
 *
 * The endpoint with the lowest cost is chosen: the predicted time to the first event plus penalties
 * for computing shared parts again, for a late first event, for another availability zone, and for
 * the position in a rendezvous order. The order depends on the shared part, so requests with the
 * same part prefer the same endpoint, and the part is computed once. If long prompts wait at that
 * endpoint and would delay the first event, another endpoint costs less, although it computes the
 * part again. Endpoints whose slots are all used, that are suspended or that were tried before are
 * a last resort.
 *
 * If the load is evened out, the first endpoints of the rendezvous order are equal, and the load of
 * the service's endpoints relative to their mean decides among them.
 */
PlacementChoice ChooseEngineEndpoint(const PlacementRequest& aRequest,
                                     std::span<const EndpointRegistry::Ptr> aEndpoints,
                                     const EngineSpec& aEngine,
                                     const FirstTokenModel& aFirstTokenModel,
                                     TimePoint aNow);

/**
 * @brief Chooses the endpoint of a plain service (one that is not a model engine) with the lowest
 * load per slot, multiplied by its slowdown. An endpoint in another availability zone gets a
 * penalty. No I/O.
 *
 * If the load is evened out, the endpoint is drawn by the hash of the request, with lower weights
 * for endpoints that have more than the mean load.
 *
 * Expected load: many short calls to few endpoints with few slots each, one of which may be slow.
 */
PlacementChoice ChoosePlainEndpoint(const PlacementRequest& aRequest,
                                    std::span<const EndpointRegistry::Ptr> aEndpoints,
                                    TimePoint aNow);

} // namespace gentianloom

#endif
