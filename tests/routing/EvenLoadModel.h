#ifndef GENTIANLOOM_TESTS_ROUTING_EVEN_LOAD_MODEL_H
#define GENTIANLOOM_TESTS_ROUTING_EVEN_LOAD_MODEL_H

#include "gentianloom/base/Ids.h"
#include "gentianloom/routing/EndpointChooser.h"
#include "gentianloom/routing/PlacementPolicy.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace gentianloom {

/// How the instances of the model choose.
enum class ModelChoice : std::uint8_t
{
  Before, ///< without PlacementRequest::mIsLoadEvened
  Evened, ///< with it
  Ideal   ///< the endpoint with the fewest requests at this moment, known exactly
};

/// A site of the model.
struct ModelSite
{
  std::string mName;
  int mInstances = 75;
  int mEndpoints = 90;
  int mSlots = 48;
  bool mIsEngine = true;
  double mRequestsPerSecond = 500;
  double mMeanRunMillis = 5'000; ///< time in a slot without the prompt, at usual speed
  bool mIsReportShared = true;   ///< instances pass on what endpoints report
  bool mIsPaceOfSpeed = false;   ///< the reported pace contains the endpoint's speed
  double mPopularShare = 0.25;   ///< of requests with one of the popular subjects
};

/// What the model measures after the warm-up.
struct ModelResult
{
  double mFullestToMean = 0;   ///< of the requests on an endpoint, averaged over the run
  double mMomentaryRatio = 0;  ///< mean over moments of the fullest endpoint to the mean
  double mWaitShare = 0;       ///< share of requests that found no free slot
  double mRecomputedShare = 0; ///< share of shared prompt tokens that were computed again
  double mMeanLoad = 0;        ///< requests per slot
};

/// Simulates instances and endpoints by events. The same seed gives the same load for each choice.
class EvenLoadModel
{
public:
  EvenLoadModel(const ModelSite& aSite, ModelChoice aChoice, std::uint64_t aSeed)
    : mSite(aSite)
    , mChoice(aChoice)
    , mRandom(aSeed)
    , mSpeedRandom(aSeed + 1)
    , mEngines(static_cast<std::size_t>(aSite.mEndpoints))
    , mNodes(static_cast<std::size_t>(aSite.mInstances))
  {
    for (std::size_t e = 0; e < mEngines.size(); ++e) {
      // Evenly distributed, so that every seed has the slowest and the fastest speed.
      const double rank = mEngines.size() < 2 ? 0 : static_cast<double>((e * 37) % mEngines.size());
      mEngines[e].mSlowness = 0.6 + rank / static_cast<double>(mEngines.size() - 1);
    }
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      mNodes[i].mZone = "z" + std::to_string(i % kZones);
      for (std::size_t e = 0; e < mEngines.size(); ++e) {
        auto it = std::make_shared<Endpoint>();
        it->mEntry.mId = "e" + std::to_string(e);
        it->mHash = StableHash(it->mEntry.mId);
        it->mEntry.mZone = "z" + std::to_string(e % kZones);
        it->mEntry.mSlots = aSite.mSlots;
        it->mLoad.Cache().SetCapacity(kCacheTokens, 1);
        mNodes[i].mEndpoints.push_back(std::move(it));
      }
    }
    for (std::size_t e = 0; e < mEngines.size(); ++e) {
      mEngines[e].mCache.SetCapacity(kCacheTokens, 1);
    }
  }

  ModelResult Run(double aWarmUpMillis, double aMillis)
  {
    mWarmUp = aWarmUpMillis;
    mEnd = aWarmUpMillis + aMillis;
    At(0, [this] { Arrive(); });
    At(0, [this] { Sample(); });
    for (std::size_t e = 0; e < mEngines.size(); ++e) {
      At(Unit() * 2'000, [this, e] { BeginSlowMoment(e); });
    }
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      At(Unit() * kPeerMillis, [this, i] { TellPeers(i); });
      At(Unit() * kShareMillis, [this, i] { ShareReports(i); });
    }
    while (!mEvents.empty() && mEvents.top().mAt < mEnd) {
      auto event = mEvents.top();
      mEvents.pop();
      mNow = event.mAt;
      event.mDo();
    }
    return Result();
  }

private:
  static constexpr std::size_t kZones = 3;
  static constexpr std::int64_t kCacheTokens = 400'000;
  static constexpr double kTokensPerMilli = 60;
  static constexpr double kPeerMillis = 200;
  static constexpr double kShareMillis = 500;
  static constexpr double kLinkMillis = 1;

  struct Request
  {
    std::size_t mInstance = 0;
    std::size_t mEndpoint = 0;
    std::vector<PromptPart> mParts;
    double mRunMillis = 0;
    EndpointLoad::RequestHandle mHandle = 0;
    std::int64_t mPendingAtChoice = 0;
    std::int64_t mPrefill = 0;
    double mSentAt = 0;
  };
  using RequestPtr = std::shared_ptr<Request>;

  struct Engine
  {
    double mSlowness = 1;
    double mMoment = 1;
    int mRunning = 0;
    double mPrefillFreeAt = 0;
    std::deque<RequestPtr> mWaiting;
    PromptCacheEstimate mCache;
    double mLoadSum = 0;
  };

  struct Node
  {
    std::string mZone;
    std::vector<EndpointRegistry::Ptr> mEndpoints;
    FirstTokenModel mModel;
    std::set<std::size_t> mToldPending;
  };

  struct Event
  {
    double mAt;
    std::uint64_t mOrder;
    std::function<void()> mDo;
    bool operator<(const Event& aOther) const
    {
      return std::pair(mAt, mOrder) > std::pair(aOther.mAt, aOther.mOrder);
    }
  };

  void At(double aAt, std::function<void()> aDo)
  {
    mEvents.push({ aAt, ++mOrder, std::move(aDo) });
  }

  TimePoint Time(double aMillis) const
  {
    return TimePoint(std::chrono::hours(1)) + Micros(static_cast<std::int64_t>(aMillis * 1'000));
  }

  double Unit() { return std::uniform_real_distribution<double>(0, 1)(mRandom); }

  double SpeedUnit() { return std::uniform_real_distribution<double>(0, 1)(mSpeedRandom); }

  void BeginSlowMoment(std::size_t aEndpoint)
  {
    auto& it = mEngines[aEndpoint];
    it.mMoment = it.mMoment > 1 ? 1 : 1 + 1.5 * SpeedUnit();
    // Slow moments of 0.2 s on average, 1.2 s apart.
    const double length = it.mMoment > 1 ? 200 : 1'000;
    At(mNow - std::log(1 - SpeedUnit()) * length,
       [this, aEndpoint] { BeginSlowMoment(aEndpoint); });
  }

  std::vector<PromptPart> MakeParts()
  {
    if (!mSite.mIsEngine) {
      return {};
    }
    // A quarter of the requests has one of a few popular subjects, each with more than the share of
    // one endpoint.
    constexpr double kPopularSubjects = 20;
    constexpr double kSubjects = 600;
    const bool isPopular = Unit() < mSite.mPopularShare;
    const auto subject =
      static_cast<std::uint64_t>(Unit() * (isPopular ? kPopularSubjects : kSubjects));
    const auto sharedTokens =
      static_cast<std::int64_t>(500 + StableHash(std::to_string(subject)) % 4'000);
    const auto ownTokens = static_cast<std::int64_t>(100 + Unit() * 900);
    return { { 1 + subject % 24, 300 },
             { 1'000 + subject, sharedTokens },
             { 1'000'000 + ++mLastOwnPart, ownTokens } };
  }

  void Arrive()
  {
    At(mNow - std::log(1 - Unit()) * 1'000 / mSite.mRequestsPerSecond, [this] { Arrive(); });
    auto it = std::make_shared<Request>();
    it->mInstance = static_cast<std::size_t>(Unit() * static_cast<double>(mNodes.size()));
    it->mParts = MakeParts();
    it->mRunMillis =
      mSite.mMeanRunMillis * (mSite.mIsEngine ? 0.3 + 1.4 * Unit() : 0.67 + 0.66 * Unit());
    it->mSentAt = mNow;
    Choose(*it);
    auto& load = mNodes[it->mInstance].mEndpoints[it->mEndpoint]->mLoad;
    it->mHandle = load.OnSent(it->mPrefill);
    load.Cache().Touch(it->mParts);
    At(mNow + kLinkMillis, [this, it] { Reach(it); });
  }

  void Choose(Request& aRequest)
  {
    auto& node = mNodes[aRequest.mInstance];
    PlacementRequest request;
    const auto id = std::to_string(mSeenRequests++);
    request.mTieBreakHash = StableHash(id);
    request.mZone = node.mZone;
    request.mParts = aRequest.mParts;
    request.mTarget = Millis(800);
    request.mIsLoadEvened = mChoice == ModelChoice::Evened;
    if (mChoice == ModelChoice::Ideal) {
      const auto load = [](const Engine& aEngine) {
        return aEngine.mRunning + static_cast<int>(aEngine.mWaiting.size());
      };
      std::size_t best = mSeenRequests % mEngines.size();
      for (std::size_t e = 0; e < mEngines.size(); ++e) {
        best = load(mEngines[e]) < load(mEngines[best]) ? e : best;
      }
      aRequest.mEndpoint = best;
      return;
    }
    const auto choice =
      mSite.mIsEngine
        ? ChooseEngineEndpoint(
            request, node.mEndpoints, { mSite.mSlots, kCacheTokens, 1 }, node.mModel, Time(mNow))
        : ChoosePlainEndpoint(request, node.mEndpoints, Time(mNow));
    aRequest.mEndpoint = std::stoul(choice.mEndpoint->mEntry.mId.substr(1));
    aRequest.mPendingAtChoice = choice.mPendingTokens;
    aRequest.mPrefill = choice.mPrefillTokens;
  }

  void Reach(const RequestPtr& aRequest)
  {
    auto& it = mEngines[aRequest->mEndpoint];
    mCounted += mNow >= mWarmUp ? 1 : 0;
    if (it.mRunning >= mSite.mSlots) {
      mWaited += mNow >= mWarmUp ? 1 : 0;
      it.mWaiting.push_back(aRequest);
      return;
    }
    Begin(aRequest);
  }

  void Begin(const RequestPtr& aRequest)
  {
    auto& it = mEngines[aRequest->mEndpoint];
    ++it.mRunning;
    std::int64_t all = 0;
    std::int64_t shared = 0;
    for (const auto& part : aRequest->mParts) {
      shared = all;
      all += part.mTokens;
    }
    const auto cached = it.mCache.CachedTokens(aRequest->mParts);
    it.mCache.Touch(aRequest->mParts);
    if (mNow >= mWarmUp) {
      mSharedTokens += static_cast<double>(shared);
      mRecomputedTokens += static_cast<double>(std::max<std::int64_t>(0, shared - cached));
    }
    const double slowness = it.mSlowness * it.mMoment;
    const double prefill = static_cast<double>(all - cached) / kTokensPerMilli * slowness;
    it.mPrefillFreeAt = std::max(it.mPrefillFreeAt, mNow) + prefill;
    const double first = it.mPrefillFreeAt;
    const double run = aRequest->mRunMillis * slowness;
    if (mSite.mIsEngine) {
      At(first + kLinkMillis, [this, aRequest] { Answer(aRequest); });
    }
    At(first + run, [this, aRequest] { End(aRequest); });
  }

  ReportedLoad Report(std::size_t aEndpoint) const
  {
    const auto& it = mEngines[aEndpoint];
    const double pace = it.mMoment * (mSite.mIsPaceOfSpeed ? it.mSlowness : 1);
    return { it.mRunning,
             static_cast<std::int64_t>(it.mWaiting.size()),
             mSite.mSlots,
             static_cast<std::int64_t>(std::lround(100 * pace)) };
  }

  void Answer(const RequestPtr& aRequest)
  {
    auto& node = mNodes[aRequest->mInstance];
    auto& load = node.mEndpoints[aRequest->mEndpoint]->mLoad;
    const auto report = Report(aRequest->mEndpoint);
    load.OnReportedLoad(report, Time(mNow));
    const double latency = mNow - aRequest->mSentAt;
    const double tokens = static_cast<double>(aRequest->mPendingAtChoice + aRequest->mPrefill);
    load.OnLatency(latency / node.mModel.Predict(tokens), Time(mNow));
    node.mModel.AddSample(tokens, latency);
    load.OnStarted(aRequest->mHandle);
  }

  void End(const RequestPtr& aRequest)
  {
    auto& it = mEngines[aRequest->mEndpoint];
    // A plain endpoint states its load with the response, in which the request still counts.
    if (!mSite.mIsEngine) {
      Answer(aRequest);
    }
    --it.mRunning;
    if (!it.mWaiting.empty()) {
      const auto next = it.mWaiting.front();
      it.mWaiting.pop_front();
      Begin(next);
    }
    At(mNow + kLinkMillis, [this, aRequest] {
      mNodes[aRequest->mInstance].mEndpoints[aRequest->mEndpoint]->mLoad.OnEnded(aRequest->mHandle);
    });
  }

  void TellPeers(std::size_t aInstance)
  {
    At(mNow + kPeerMillis, [this, aInstance] { TellPeers(aInstance); });
    auto& sender = mNodes[aInstance];
    std::set<std::size_t> told;
    const auto name = std::to_string(aInstance);
    for (std::size_t e = 0; e < mEngines.size(); ++e) {
      const auto pending = sender.mEndpoints[e]->mLoad.PendingPrefillTokens();
      const auto tokens = pending >= 2'000 ? pending : 0;
      if (tokens == 0 && !sender.mToldPending.contains(e)) {
        continue;
      }
      ForEachPeer(aInstance, [&](Node& aPeer) {
        aPeer.mEndpoints[e]->mLoad.OnPeerPending(name, tokens, Time(mNow));
      });
      if (tokens > 0) {
        told.insert(e);
      }
    }
    sender.mToldPending = told;
  }

  void ShareReports(std::size_t aInstance)
  {
    At(mNow + kShareMillis, [this, aInstance] { ShareReports(aInstance); });
    auto& sender = mNodes[aInstance];
    if (mSite.mIsReportShared) {
      for (std::size_t e = 0; e < mEngines.size(); ++e) {
        const auto heard = sender.mEndpoints[e]->mLoad.TakeReport();
        if (!heard) {
          continue;
        }
        ForEachPeer(aInstance,
                    [&](Node& aPeer) { aPeer.mEndpoints[e]->mLoad.OnPeerReportedLoad(*heard); });
      }
    }
  }

  template<typename T>
  void ForEachPeer(std::size_t aInstance, T aDo)
  {
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      if (i != aInstance) {
        aDo(mNodes[i]);
      }
    }
  }

  void Sample()
  {
    At(mNow + 50, [this] { Sample(); });
    if (mNow < mWarmUp) {
      return;
    }
    double sum = 0;
    double max = 0;
    for (auto& it : mEngines) {
      const double load = it.mRunning + static_cast<double>(it.mWaiting.size());
      it.mLoadSum += load;
      sum += load;
      max = std::max(max, load);
    }
    ++mSamples;
    mMomentarySum += sum > 0 ? max * static_cast<double>(mEngines.size()) / sum : 1;
  }

  ModelResult Result() const
  {
    ModelResult out;
    double sum = 0;
    double max = 0;
    for (const auto& it : mEngines) {
      sum += it.mLoadSum;
      max = std::max(max, it.mLoadSum);
    }
    const auto endpoints = static_cast<double>(mEngines.size());
    out.mFullestToMean = max * endpoints / sum;
    out.mMomentaryRatio = mMomentarySum / mSamples;
    out.mWaitShare = mWaited / mCounted;
    out.mRecomputedShare = mSharedTokens > 0 ? mRecomputedTokens / mSharedTokens : 0;
    out.mMeanLoad = sum / endpoints / mSamples / mSite.mSlots;
    return out;
  }

  ModelSite mSite;
  ModelChoice mChoice;
  RandomSource mRandom;
  RandomSource mSpeedRandom;
  std::vector<Engine> mEngines;
  std::vector<Node> mNodes;
  std::priority_queue<Event> mEvents;
  std::uint64_t mOrder = 0;
  std::uint64_t mLastOwnPart = 0;
  std::uint64_t mSeenRequests = 0;
  double mNow = 0;
  double mWarmUp = 0;
  double mEnd = 0;
  double mSamples = 0;
  double mMomentarySum = 0;
  double mCounted = 0;
  double mWaited = 0;
  double mSharedTokens = 0;
  double mRecomputedTokens = 0;
};

} // namespace gentianloom

#endif
