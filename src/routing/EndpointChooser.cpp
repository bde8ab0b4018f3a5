#include "gentianloom/routing/EndpointChooser.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/routing/EvenLoad.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace gentianloom {

namespace {

/// Share of the shared tokens that the first endpoint of the rendezvous order is assumed to have
/// cached even if this process did not send them there, because other instances may have.
constexpr double kAssumedCachedShare = 0.9;
/// Weight of the time to compute shared tokens again, which also delays later requests.
constexpr double kRecomputeWeight = 2;
/// Share of the latency target above which each predicted millisecond costs kLateWeight
/// milliseconds more.
constexpr double kLateThresholdShare = 0.7;
constexpr double kLateWeight = 3;
/// Predicted delay by each request on the endpoint, in milliseconds.
constexpr double kRequestMillis = 1;
/// Cost of an endpoint in another availability zone, in milliseconds.
constexpr double kRemoteZoneMillis = 8;
/// Cost of each further position in the rendezvous order, in milliseconds.
constexpr double kRankMillis = 4;
/// Added to the cost of endpoints that are used only as a last resort.
constexpr double kLastResortCost = 1e9;
/// Slots that are assumed for a plain endpoint whose entry does not contain them.
constexpr double kDefaultSlots = 4;
/// Cost of a plain endpoint in another availability zone, in the same unit as its load per slot.
constexpr double kRemoteZoneLoad = 0.34;

/// Endpoints of the rendezvous order among which the load decides, if it is evened out. A shared
/// part is computed once on each; two leave no choice if both are loaded.
constexpr std::size_t kHomeEndpoints = 3;
/// Cost of each position among them, in milliseconds. Without it a part is computed on all of them,
/// although one can bear it.
constexpr double kHomeRankMillis = 15;
/// Costs of an engine whose load is twice the mean, in milliseconds: by the average, which lasts,
/// and by the present load, of which an instance knows less.
constexpr double kAverageExcessMillis = 300;
constexpr double kPresentExcessMillis = 100;
/// Standard scale of the noise in the cost of an engine, in milliseconds. Smaller differences are
/// not known well enough to decide.
constexpr double kNoiseMillis = 5;
/// Time that a request takes at an engine and at a plain endpoint, roughly.
constexpr Millis kEngineRequestTime{ 2'000 };
constexpr Millis kPlainRequestTime{ 50 };
/// Load per slot above which a further request may have to wait for a slot.
constexpr double kNearlyFullLoad = 0.9;
/// Exponents of the weight of a plain endpoint in the draw, by its average and present excess.
constexpr double kAverageExcessWeight = 8;
constexpr double kPresentExcessWeight = 1;
/// Logarithm of the weight of endpoints in the own availability zone in the draw.
constexpr double kOwnZoneWeight = 0.3;

std::uint64_t CombineHashes(std::uint64_t aLeft, std::uint64_t aRight)
{
  const std::uint64_t pair[2] = { aLeft, aRight };
  return StableHash({ reinterpret_cast<const char*>(pair), sizeof pair });
}

bool WasTried(const PlacementRequest& aRequest, const Endpoint& aEndpoint)
{
  return std::find(aRequest.mTriedEndpoints.begin(),
                   aRequest.mTriedEndpoints.end(),
                   aEndpoint.mEntry.mId) != aRequest.mTriedEndpoints.end();
}

double LastResortPenalty(const PlacementRequest& aRequest,
                         const Endpoint& aEndpoint,
                         TimePoint aNow)
{
  double out = 0;
  out += aEndpoint.mLoad.IsSuspended(aNow) ? kLastResortCost : 0;
  out += WasTried(aRequest, aEndpoint) ? 2 * kLastResortCost : 0;
  return out;
}

/// Identifier of the last part that other requests may share: the one before the request's own
/// part.
std::uint64_t LastSharedPartId(const PlacementRequest& aRequest)
{
  const auto n = aRequest.mParts.size();
  return n == 0 ? aRequest.mTieBreakHash : aRequest.mParts[n >= 2 ? n - 2 : 0].mId;
}

/// Token counts of a prompt.
struct PromptTokens
{
  std::int64_t mAll = 0;
  std::int64_t mShared = 0; ///< all parts except the last one, which is the request's own
};

PromptTokens CountTokens(std::span<const PromptPart> aParts)
{
  PromptTokens out;
  for (const auto& it : aParts) {
    out.mShared = out.mAll;
    out.mAll += it.mTokens;
  }
  return out;
}

double ToMillis(Millis aTime)
{
  return static_cast<double>(aTime.count());
}

using RendezvousOrder = std::vector<std::pair<std::uint64_t, EndpointRegistry::Ptr>>;

/// Endpoints in the rendezvous order of the request's shared part, the preferred one first.
RendezvousOrder OrderBySharedPart(const PlacementRequest& aRequest,
                                  std::span<const EndpointRegistry::Ptr> aEndpoints)
{
  const auto sharedPart = LastSharedPartId(aRequest);
  RendezvousOrder out;
  for (const auto& it : aEndpoints) {
    out.emplace_back(CombineHashes(sharedPart, it->mHash), it);
  }
  std::sort(out.begin(), out.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first > aRight.first;
  });
  return out;
}

/// What the load of engines and their position in the rendezvous order cost, in milliseconds.
class EngineCost
{
public:
  EngineCost(const PlacementRequest& aRequest,
             std::span<const EndpointRegistry::Ptr> aEndpoints,
             const EngineSpec& aEngine,
             TimePoint aNow)
    : mRequest(aRequest)
    , mSlots(static_cast<double>(aEngine.mSlots))
    , mNow(aNow)
  {
    if (aRequest.mIsLoadEvened) {
      mEvenLoad.emplace(aEndpoints, EvenLoadSpec{ mSlots, kEngineRequestTime }, aNow);
    }
  }

  /// Whether an endpoint is assumed to have cached the shared parts.
  bool IsHome(std::size_t aRank) const { return aRank < (mEvenLoad ? kHomeEndpoints : 1); }

  /// Predicted time to the first event on an endpoint.
  /// @param aMillis prediction for an endpoint of usual speed
  double FirstTokenMillis(const Endpoint& aEndpoint, double aMillis) const
  {
    const auto& load = aEndpoint.mLoad;
    const double slowdown = load.SlowdownFactor(mNow);
    if (mEvenLoad) {
      return aMillis * std::max(slowdown, load.Trend().RelativePace(mNow));
    }
    return aMillis * slowdown + kRequestMillis * load.Running(mNow);
  }

  /// @param aRank position in the rendezvous order, from 0
  double Load(const Endpoint& aEndpoint, std::size_t aRank) const
  {
    if (!mEvenLoad) {
      const bool isFull = aEndpoint.mLoad.Running(mNow) >= mSlots;
      return kRankMillis * static_cast<double>(aRank) + (isFull ? kLastResortCost / 2 : 0);
    }
    const auto hash = CombineHashes(mRequest.mTieBreakHash, aEndpoint.mHash);
    const double loadWithRequest = mEvenLoad->PresentLoadWithRequest(aEndpoint);
    double out = kHomeRankMillis * static_cast<double>(std::min(aRank, kHomeEndpoints));
    out +=
      aRank < kHomeEndpoints ? 0 : kRankMillis * static_cast<double>(aRank - kHomeEndpoints + 1);
    out += kAverageExcessMillis * mEvenLoad->AverageExcess(aEndpoint);
    out += kPresentExcessMillis * mEvenLoad->PresentExcess(aEndpoint);
    out += ToMillis(kEngineRequestTime) * std::max(0.0, loadWithRequest - kNearlyFullLoad);
    return out - kNoiseMillis * GumbelNoise(hash);
  }

private:
  const PlacementRequest& mRequest;
  double mSlots;
  TimePoint mNow;
  std::optional<EvenLoad> mEvenLoad;
};

/// Draws a plain endpoint; the weights are lower for endpoints with more than the mean load.
PlacementChoice DrawPlainEndpoint(const PlacementRequest& aRequest,
                                  std::span<const EndpointRegistry::Ptr> aEndpoints,
                                  TimePoint aNow)
{
  const EvenLoad evenLoad(aEndpoints, { kDefaultSlots, kPlainRequestTime }, aNow);
  PlacementChoice best;
  best.mCost = std::numeric_limits<double>::max();
  for (const auto& it : aEndpoints) {
    double cost = kAverageExcessWeight * evenLoad.AverageExcess(*it) +
                  kPresentExcessWeight * evenLoad.PresentExcess(*it);
    cost += it->mEntry.mZone == aRequest.mZone ? 0 : kOwnZoneWeight;
    cost -= GumbelNoise(CombineHashes(aRequest.mTieBreakHash, it->mHash));
    cost += LastResortPenalty(aRequest, *it, aNow);
    if (cost < best.mCost) {
      best.mEndpoint = it;
      best.mRunning = it->mLoad.Running(aNow);
      best.mCost = cost;
    }
  }
  return best;
}

} // namespace

PlacementChoice ChooseEngineEndpoint(const PlacementRequest& aRequest,
                                     std::span<const EndpointRegistry::Ptr> aEndpoints,
                                     const EngineSpec& aEngine,
                                     const FirstTokenModel& aFirstTokenModel,
                                     TimePoint aNow)
{
  const auto tokens = CountTokens(aRequest.mParts);
  const auto order = OrderBySharedPart(aRequest, aEndpoints);
  const EngineCost engineCost(aRequest, aEndpoints, aEngine, aNow);
  PlacementChoice best;
  best.mCost = std::numeric_limits<double>::max();
  for (std::size_t n = 0; n < order.size(); ++n) {
    const auto& it = order[n].second;
    const auto& load = it->mLoad;
    double cached = static_cast<double>(load.Cache().CachedTokens(aRequest.mParts));
    if (engineCost.IsHome(n)) {
      cached = std::max(cached, kAssumedCachedShare * static_cast<double>(tokens.mShared));
    }
    const double prefill = std::max(0.0, static_cast<double>(tokens.mAll) - cached);
    const auto pending = load.PendingPrefillTokens() + load.PeerPendingTokens(aNow);
    const double predicted = engineCost.FirstTokenMillis(
      *it, aFirstTokenModel.Predict(static_cast<double>(pending) + prefill));
    const double recomputed = std::max(0.0, static_cast<double>(tokens.mShared) - cached);
    double cost = predicted + kRecomputeWeight * aFirstTokenModel.PrefillTime(recomputed);
    cost +=
      kLateWeight * std::max(0.0, predicted - kLateThresholdShare * ToMillis(aRequest.mTarget));
    cost += it->mEntry.mZone == aRequest.mZone ? 0 : kRemoteZoneMillis;
    cost += engineCost.Load(*it, n);
    cost += LastResortPenalty(aRequest, *it, aNow);
    if (cost < best.mCost) {
      best.mEndpoint = it;
      best.mCachedTokens = static_cast<std::int64_t>(cached);
      best.mPrefillTokens = static_cast<std::int64_t>(prefill);
      best.mPendingTokens = pending;
      best.mRunning = load.Running(aNow);
      best.mPredictedMs = predicted;
      best.mCost = cost;
    }
  }
  return best;
}

PlacementChoice ChoosePlainEndpoint(const PlacementRequest& aRequest,
                                    std::span<const EndpointRegistry::Ptr> aEndpoints,
                                    TimePoint aNow)
{
  if (aRequest.mIsLoadEvened) {
    return DrawPlainEndpoint(aRequest, aEndpoints, aNow);
  }
  PlacementChoice best;
  best.mCost = std::numeric_limits<double>::max();
  std::uint64_t bestHash = 0;
  for (const auto& it : aEndpoints) {
    const auto slots =
      it->mEntry.mSlots > 0 ? static_cast<double>(it->mEntry.mSlots) : kDefaultSlots;
    double cost = (it->mLoad.Running(aNow) + 1) / slots * it->mLoad.SlowdownFactor(aNow);
    cost += it->mEntry.mZone == aRequest.mZone ? 0 : kRemoteZoneLoad;
    cost += LastResortPenalty(aRequest, *it, aNow);
    const auto hash = CombineHashes(aRequest.mTieBreakHash, it->mHash);
    if (cost < best.mCost || (cost == best.mCost && hash > bestHash)) {
      best.mEndpoint = it;
      best.mRunning = it->mLoad.Running(aNow);
      best.mCost = cost;
      bestHash = hash;
    }
  }
  return best;
}

} // namespace gentianloom
