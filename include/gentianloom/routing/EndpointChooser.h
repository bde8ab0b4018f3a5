#ifndef GENTIANLOOM_ROUTING_ENDPOINT_CHOOSER_H
#define GENTIANLOOM_ROUTING_ENDPOINT_CHOOSER_H

#include "gentianloom/routing/EndpointRegistry.h"
#include "gentianloom/routing/FirstTokenModel.h"
#include "gentianloom/routing/RouteTable.h"

#include <span>
#include <string>
#include <vector>

namespace gentianloom {

/// A request as placement sees it.
struct PlacementRequest
{
  std::uint64_t mDraw = 0;             ///< evenly distributed; breaks ties
  std::string_view mZone;              ///< availability zone of this instance
  std::span<const PromptPart> mParts;  ///< of its prompt, in order; empty: none stated
  Millis mTarget{ 0 };                 ///< within which the first event should come
  std::span<const std::string> mTried; ///< endpoints that get it only as a last choice
};

/// Why an endpoint was chosen, for the log.
struct PlacementChoice
{
  EndpointRegistry::Ptr mEndpoint; ///< null: none can be used
  std::int64_t mCachedTokens = 0;
  std::int64_t mPrefillTokens = 0; ///< tokens of the prompt that it has to read
  std::int64_t mPending = 0;       ///< prompt tokens that this process sent there before
  double mRunning = 0;             ///< requests there, see EndpointLoad::Running()
  double mPredicted = 0;           ///< time to the first event, milliseconds; engines only
  double mCost = 0;                ///< see the chooser that made it
};

/**
 * @brief Chooses an endpoint for a request to a model engine.
 *
 * Load pattern: prompts that share long parts, a few of them much longer than the rest. Requests of
 * one shared part meet on the endpoint that a rendezvous hash of the part names first, so that it
 * is read once. Where the first event would come late there, because long prompts wait in front,
 * the endpoint with the least predicted time takes over, and reads the part anew. Pure.
 */
PlacementChoice ChooseEngine(const PlacementRequest& aRequest,
                             std::span<const EndpointRegistry::Ptr> aEndpoints,
                             const EngineSpec& aEngine,
                             const FirstTokenModel& aModel,
                             TimePoint aNow);

/**
 * @brief Chooses an endpoint of a plain service: least loaded for its slots, own zone first. Pure.
 *
 * Load pattern: many short calls to few endpoints with few slots each, one of them slow.
 */
PlacementChoice ChoosePlain(const PlacementRequest& aRequest,
                            std::span<const EndpointRegistry::Ptr> aEndpoints,
                            TimePoint aNow);

} // namespace gentianloom

#endif
