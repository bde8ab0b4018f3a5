#include "gentianloom/routing/EndpointChooser.h"

#include "gentianloom/base/Ids.h"

#include <algorithm>
#include <limits>

namespace gentianloom {

namespace {

/// Share of the tokens before a request's own part that the first endpoint of the rendezvous order
/// probably holds, where this process has not sent them itself.
constexpr double kProbablyHeld = 0.9;
/// Weight of reading tokens anew that another endpoint holds: it also delays what comes after.
constexpr double kReadAgainWeight = 2;
/// Part of the target that a prediction may use; beyond it each millisecond weighs kLateWeight
/// more.
constexpr double kTargetShare = 0.7;
constexpr double kLateWeight = 3;
/// Cost of each further request on an endpoint, milliseconds.
constexpr double kRequestMillis = 1;
/// Cost of leaving the own availability zone, milliseconds.
constexpr double kFarMillis = 8;
/// Cost of each place further back in the rendezvous order, milliseconds.
constexpr double kRankMillis = 4;
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

/// Tokens of a prompt.
struct PromptTokens
{
  std::int64_t mAll = 0;
  std::int64_t mShared = 0; ///< all but the last part, which is the request's own
};

PromptTokens TokensOf(std::span<const PromptPart> aParts)
{
  PromptTokens out;
  for (const auto& it : aParts) {
    out.mShared = out.mAll;
    out.mAll += it.mTokens;
  }
  return out;
}

double MillisOf(Millis aTime)
{
  return static_cast<double>(aTime.count());
}

} // namespace

PlacementChoice ChooseEngine(const PlacementRequest& aRequest,
                             std::span<const EndpointRegistry::Ptr> aEndpoints,
                             const EngineSpec& aEngine,
                             const FirstTokenModel& aModel,
                             TimePoint aNow)
{
  const auto tokens = TokensOf(aRequest.mParts);
  const auto part = SharedPart(aRequest);
  std::vector<std::pair<std::uint64_t, EndpointRegistry::Ptr>> order;
  for (const auto& it : aEndpoints) {
    order.emplace_back(Mix(part, it->mHash), it);
  }
  std::sort(order.begin(), order.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first > aRight.first;
  });
  PlacementChoice best;
  best.mCost = std::numeric_limits<double>::max();
  for (std::size_t n = 0; n < order.size(); ++n) {
    const auto& it = order[n].second;
    const auto& load = it->mLoad;
    double cached = static_cast<double>(load.Cache().CachedTokens(aRequest.mParts));
    if (n == 0) {
      cached = std::max(cached, kProbablyHeld * static_cast<double>(tokens.mShared));
    }
    const double prefill = std::max(0.0, static_cast<double>(tokens.mAll) - cached);
    const auto pending = load.PendingPrefill() + load.PeersPending(aNow);
    const double slowness = load.Slowness(aNow);
    const double predicted = aModel.Predict(static_cast<double>(pending) + prefill) * slowness +
                             kRequestMillis * load.Running(aNow);
    const double readAgain = std::max(0.0, static_cast<double>(tokens.mShared) - cached);
    double cost = predicted + kReadAgainWeight * aModel.ReadTime(readAgain);
    cost += kLateWeight * std::max(0.0, predicted - kTargetShare * MillisOf(aRequest.mTarget));
    cost += kRankMillis * static_cast<double>(n);
    cost += it->mEntry.mZone == aRequest.mZone ? 0 : kFarMillis;
    cost += load.Running(aNow) >= static_cast<double>(aEngine.mSlots) ? kLastChoice / 2 : 0;
    cost += LastChoiceCost(aRequest, *it, aNow);
    if (cost < best.mCost) {
      best.mEndpoint = it;
      best.mCachedTokens = static_cast<std::int64_t>(cached);
      best.mPrefillTokens = static_cast<std::int64_t>(prefill);
      best.mPending = pending;
      best.mRunning = load.Running(aNow);
      best.mPredicted = predicted;
      best.mCost = cost;
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
    const auto draw = Mix(aRequest.mDraw, it->mHash);
    if (cost < best.mCost || (cost == best.mCost && draw > bestDraw)) {
      best = { it, 0, 0, 0, it->mLoad.Running(aNow), 0, cost };
      bestDraw = draw;
    }
  }
  return best;
}

} // namespace gentianloom
