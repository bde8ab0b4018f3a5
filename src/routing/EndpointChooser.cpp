#include "gentianloom/routing/EndpointChooser.h"

#include "gentianloom/base/Ids.h"

#include <algorithm>
#include <limits>

namespace gentianloom {

namespace {

/// Endpoints of the rendezvous order that share the work of one prompt part.
constexpr std::size_t kOwners = 2;
/// Tokens of prompt that weigh as much as one more running request.
constexpr double kTokensPerRequest = 400;
/// Cost of leaving the own availability zone, in prompt tokens.
constexpr double kFarTokens = 300;
/// Cost of each place further back in the rendezvous order, in prompt tokens.
constexpr double kRankTokens = 1'500;
/// Added to the load of endpoints that are used as a last choice only.
constexpr double kLastChoice = 1e9;
/// Slots of a plain endpoint that does not state them.
constexpr double kDefaultSlots = 4;
/// Load that leaving the own availability zone weighs, as a share of all slots.
constexpr double kFarLoad = 0.34;

std::uint64_t Mix(std::uint64_t aLeft, std::uint64_t aRight)
{
  const std::uint64_t both[2] = { aLeft, aRight };
  return StableHash({ reinterpret_cast<const char*>(both), sizeof both });
}

bool WasTried(const PlacementRequest& aRequest, const Endpoint& aEndpoint)
{
  return std::find(aRequest.mTried.begin(), aRequest.mTried.end(), aEndpoint.mEntry.mId) !=
         aRequest.mTried.end();
}

double LastChoiceCost(const PlacementRequest& aRequest, const Endpoint& aEndpoint, TimePoint aNow)
{
  double out = 0;
  out += aEndpoint.mLoad.IsSuspended(aNow) ? kLastChoice : 0;
  out += WasTried(aRequest, aEndpoint) ? 2 * kLastChoice : 0;
  return out;
}

/// Identifier of the last part that other requests may share: the part before the request's own.
std::uint64_t SharedPart(const PlacementRequest& aRequest)
{
  const auto n = aRequest.mParts.size();
  return n == 0 ? aRequest.mDraw : aRequest.mParts[n >= 2 ? n - 2 : 0].mId;
}

} // namespace

PlacementChoice ChooseEngine(const PlacementRequest& aRequest,
                             std::span<const EndpointRegistry::Ptr> aEndpoints,
                             const EngineSpec& aEngine,
                             TimePoint aNow)
{
  std::int64_t prompt = 0;
  for (const auto& it : aRequest.mParts) {
    prompt += it.mTokens;
  }
  const auto part = SharedPart(aRequest);
  std::vector<std::pair<std::uint64_t, EndpointRegistry::Ptr>> order;
  for (const auto& it : aEndpoints) {
    order.emplace_back(Mix(part, StableHash(it->mEntry.mId)), it);
  }
  std::sort(order.begin(), order.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first > aRight.first;
  });
  PlacementChoice best;
  best.mCost = std::numeric_limits<double>::max();
  for (std::size_t n = 0; n < order.size(); ++n) {
    const auto& it = order[n].second;
    const auto cached = std::min(prompt, it->mLoad.Cache().CachedTokens(aRequest.mParts));
    const auto rank = static_cast<double>(std::min(n, kOwners));
    const auto pending = it->mLoad.PendingPrefill() + it->mLoad.PeersPending(aNow);
    double cost = static_cast<double>(pending + prompt - cached);
    cost += kTokensPerRequest * it->mLoad.Running(aNow) * it->mLoad.Slowness(aNow);
    cost += kRankTokens * rank;
    cost += it->mEntry.mZone == aRequest.mZone ? 0 : kFarTokens;
    cost += it->mLoad.Running(aNow) >= static_cast<double>(aEngine.mSlots) ? kLastChoice / 2 : 0;
    cost += LastChoiceCost(aRequest, *it, aNow);
    if (cost < best.mCost) {
      best = { it, cached, prompt - cached, pending, it->mLoad.Running(aNow), cost };
    }
  }
  return best;
}

PlacementChoice ChoosePlain(const PlacementRequest& aRequest,
                            std::span<const EndpointRegistry::Ptr> aEndpoints,
                            TimePoint aNow)
{
  PlacementChoice best;
  best.mCost = std::numeric_limits<double>::max();
  std::uint64_t bestDraw = 0;
  for (const auto& it : aEndpoints) {
    const auto slots =
      it->mEntry.mSlots > 0 ? static_cast<double>(it->mEntry.mSlots) : kDefaultSlots;
    double cost = (it->mLoad.Running(aNow) + 1) / slots * it->mLoad.Slowness(aNow);
    cost += it->mEntry.mZone == aRequest.mZone ? 0 : kFarLoad;
    cost += LastChoiceCost(aRequest, *it, aNow);
    const auto draw = Mix(aRequest.mDraw, StableHash(it->mEntry.mId));
    if (cost < best.mCost || (cost == best.mCost && draw > bestDraw)) {
      best = { it, 0, 0, 0, it->mLoad.Running(aNow), cost };
      bestDraw = draw;
    }
  }
  return best;
}

} // namespace gentianloom
