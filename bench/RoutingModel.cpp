#include "RoutingModel.h"

#include "gentianloom/base/Ids.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <list>
#include <numeric>
#include <set>

namespace gentianloom::bench {

namespace {

constexpr std::size_t kEngines = 12;
constexpr std::size_t kRouters = 3;
constexpr std::size_t kOrganisations = 8;
constexpr std::int64_t kSlots = 16;
constexpr double kPrefillMsPerToken = 0.1;
constexpr double kTokenMs = 20;
constexpr double kBatchCost = 0.5; ///< relative slowdown of tokens with all slots in use
constexpr double kSlowFactor = 4;
constexpr double kBlockTokens = 256;
constexpr double kTailTokens = 200;
constexpr std::size_t kBlocks = 6;
constexpr std::size_t kTemplates = 4; ///< number of prompt prefixes of an organisation
constexpr std::size_t kCachedBlocks = 64;
constexpr double kMinOutput = 60;
constexpr double kMeanOutput = 120;
constexpr double kDeadlineMs = 12'000;
constexpr double kConnectMs = 1;
constexpr double kReportMs = 1'000;
constexpr double kLagMs = 2'000;
constexpr double kSweepMs = 50;
constexpr double kLostEvents = 0.05;
constexpr double kWarmUpShare = 0.2;
constexpr double kCrashAt = 0.4;
constexpr double kBackAt = 0.6;
constexpr double kLargeShare = 0.45; ///< fraction of all requests that the first organisation sends
constexpr int kMaxTries = 3;
constexpr std::size_t kSlowEngine = 1;
constexpr std::size_t kCrashedEngine = 3;
constexpr std::int64_t kNewRun = 1'000'000; ///< distance of the first sequence numbers of two runs

Micros FromMs(double aMs)
{
  return std::chrono::duration_cast<Micros>(std::chrono::duration<double, std::milli>(aMs));
}

double ToMs(Micros aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

} // namespace

struct RoutingModel::Request
{
  std::uint64_t mId = 0;
  std::size_t mOrganisation = 0;
  std::string mName;
  Router* mRouter = nullptr;
  PlacementHints mHints;
  double mOutput = 0;
  TimePoint mArrived;
  TimePoint mDeadline;
  TimePoint mPlaced;
  TimePoint mFirst;
  int mTries = 0;
  bool mRunning = false;
  bool mCounted = false; ///< arrived after the warm-up
  std::vector<std::string> mTried;

  double Cost() const { return kBlocks * kBlockTokens + kTailTokens + mOutput; }
};

struct RoutingModel::Engine
{
  std::string mName;
  double mFactor = 1;
  bool mUp = true;
  std::int64_t mRun = 1;
  std::deque<RequestPtr> mWaiting;
  RequestPtr mPrefilling;
  std::set<RequestPtr> mDecoding;
  std::list<std::uint64_t> mCache; ///< least recently used first
  std::int64_t mSequence = 0;
  std::vector<CacheEvent> mEvents; ///< since the last report

  std::int64_t Running() const
  {
    return static_cast<std::int64_t>(mWaiting.size() + mDecoding.size()) + (mPrefilling ? 1 : 0);
  }
  bool HasSlot() const { return static_cast<std::int64_t>(mDecoding.size()) < kSlots; }

  /// @brief Caches a prompt. @return number of its leading blocks that were cached before
  std::size_t Touch(const PrefixHashes& aPrefixes)
  {
    std::size_t hits = 0;
    bool whole = true;
    for (const auto it : aPrefixes) {
      const auto at = std::find(mCache.begin(), mCache.end(), it);
      whole = whole && at != mCache.end();
      hits += whole ? 1 : 0;
      if (at != mCache.end()) {
        mCache.splice(mCache.end(), mCache, at);
        continue;
      }
      mCache.push_back(it);
      mEvents.push_back({ ++mSequence, it, true });
      if (mCache.size() > kCachedBlocks) {
        mEvents.push_back({ ++mSequence, mCache.front(), false });
        mCache.pop_front();
      }
    }
    return hits;
  }
};

struct RoutingModel::Router
{
  Router(const RoutingSettings& aSettings, const Clock& aClock, std::uint64_t aSeed)
    : mTable({}, aSettings, Millis(3'000), aClock, nullptr, aSeed)
    , mAdmission(aSettings)
  {
  }
  EndpointTable mTable;
  AdmissionController mAdmission;
  std::map<std::uint64_t, RequestPtr> mParked;
};

RoutingModel::RoutingModel(const RoutingRun& aRun)
  : mRun(aRun)
  , mRandom(aRun.mSeed)
  , mServed(kOrganisations)
  , mWanted(kOrganisations)
  , mStart(mClock.Now())
{
  RoutingSettings settings;
  settings.mPolicy = aRun.mPolicy;
  settings.mMaxEjectedShare = aRun.mEjection ? settings.mMaxEjectedShare : 0;
  Configuration stated;
  for (std::size_t n = 0; n < kEngines; ++n) {
    mEngines.push_back(std::make_unique<Engine>());
    mEngines.back()->mName = "engine-" + std::to_string(n);
    EndpointSpec spec{ mEngines.back()->mName, "zone", "model" };
    spec.mSlots = aRun.mAdmission ? kSlots : 0; // a baseline knows no limit
    stated.mEndpoints.push_back(spec);
  }
  mEngines[kSlowEngine]->mFactor = aRun.mSlowEndpoint ? kSlowFactor : 1;
  mConfiguration = std::make_unique<AcceptedConfiguration>(1, "digest", stated);
  for (std::size_t n = 0; n < kRouters; ++n) {
    mRouters.push_back(std::make_unique<Router>(settings, mClock, aRun.mSeed * kRouters + n));
    for (const auto& it : mEngines) {
      mRouters.back()->mTable.Update(ListedEndpoint{ it->mName, "127.0.0.1:1", "zone" });
    }
  }
  const double serviceMs = kMeanOutput * kTokenMs * (1 + kBatchCost);
  const double slow = aRun.mSlowEndpoint ? 1 - 1 / kSlowFactor : 0;
  const double capacity = (kEngines - slow) * kSlots * 1'000 / serviceMs;
  for (std::size_t n = 0; n < kOrganisations; ++n) {
    const double share = n == 0 ? kLargeShare : (1 - kLargeShare) / (kOrganisations - 1);
    mRates.push_back(capacity * aRun.mLoad * share);
  }
}

RoutingModel::~RoutingModel() = default;

double RoutingModel::Uniform()
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom);
}

void RoutingModel::At(TimePoint aWhen, std::function<void()> aRun)
{
  mEvents.push({ aWhen, ++mOrder, std::move(aRun) });
}

void RoutingModel::After(double aMs, std::function<void()> aRun)
{
  At(mClock.Now() + FromMs(aMs), std::move(aRun));
}

RoutingFigures RoutingModel::Run()
{
  for (std::size_t n = 0; n < kOrganisations; ++n) {
    Arrive(n);
  }
  Report();
  Sweep();
  if (mRun.mCrash) {
    auto& engine = *mEngines[kCrashedEngine];
    After(mRun.mSeconds * 1'000 * kCrashAt, [this, &engine] { CrashEngine(engine); });
    After(mRun.mSeconds * 1'000 * kBackAt, [&engine] { engine.mUp = true; });
  }
  const auto end = mStart + FromMs(mRun.mSeconds * 1'000);
  while (!mEvents.empty() && mEvents.top().mAt < end) {
    const auto event = mEvents.top();
    mEvents.pop();
    mClock.Advance(event.mAt - mClock.Now());
    event.mRun();
  }
  return Figures();
}

void RoutingModel::Arrive(std::size_t aOrganisation)
{
  After(-std::log(1 - Uniform()) * 1'000 / mRates[aOrganisation], [this, aOrganisation] {
    auto request = std::make_shared<Request>();
    request->mId = ++mOrder;
    request->mOrganisation = aOrganisation;
    request->mName = "organisation-" + std::to_string(aOrganisation);
    request->mRouter = mRouters[mRandom() % kRouters].get();
    const auto start = request->mName + std::to_string(mRandom() % kTemplates);
    for (std::size_t n = 0; n < kBlocks; ++n) {
      request->mHints.mPrefixes.push_back(StableHash(start, n));
    }
    request->mOutput = kMinOutput + Uniform() * 2 * (kMeanOutput - kMinOutput);
    request->mArrived = mClock.Now();
    request->mDeadline = mClock.Now() + FromMs(kDeadlineMs);
    const auto counted = FromMs(mRun.mSeconds * 1'000 * kWarmUpShare);
    const auto last = FromMs(mRun.mSeconds * 1'000 - kDeadlineMs);
    const auto age = mClock.Now() - mStart;
    request->mCounted = age >= counted && age < last;
    if (request->mCounted) {
      ++mFigures.mAsked;
      mWanted[aOrganisation] += request->Cost();
    }
    Submit(request);
    Arrive(aOrganisation);
  });
}

void RoutingModel::Report()
{
  for (const auto& engine : mEngines) {
    if (!engine->mUp) {
      continue;
    }
    LoadReport report;
    report.mEndpoint = engine->mName;
    report.mRunning = engine->Running();
    report.mSlots = mRun.mAdmission ? kSlots : 0;
    report.mAge = Millis(static_cast<std::int64_t>(kLagMs));
    report.mHasLoad = true;
    report.mRunId = std::to_string(engine->mRun);
    for (const auto& it : std::exchange(engine->mEvents, {})) {
      if (Uniform() >= kLostEvents) {
        report.mEvents.push_back(it);
      }
    }
    After(kLagMs, [this, report] {
      for (const auto& it : mRouters) {
        it->mTable.Update(report);
      }
    });
  }
  After(kReportMs, [this] { Report(); });
}

void RoutingModel::Submit(const RequestPtr& aRequest)
{
  auto& router = *aRequest->mRouter;
  if (!mRun.mAdmission) {
    if (!TryPlace(aRequest)) {
      Refuse(aRequest);
    }
    return;
  }
  if (!router.mAdmission.HasQueuedRequests("model") && TryPlace(aRequest)) {
    return;
  }
  QueuedRequest waiting{ aRequest->mId, aRequest->mName, 1, 0 };
  waiting.mCost = static_cast<std::int64_t>(aRequest->Cost());
  waiting.mArrived = mClock.Now();
  waiting.mDeadline = aRequest->mDeadline;
  router.mParked[aRequest->mId] = aRequest;
  for (const auto& it : router.mAdmission.Enqueue("model", waiting, mClock.Now())) {
    Refuse(router.mParked.at(it.mId));
    router.mParked.erase(it.mId);
  }
}

bool RoutingModel::TryPlace(const RequestPtr& aRequest)
{
  const auto placed = aRequest->mRouter->mTable.PlaceModel(
    *mConfiguration, "model", "zone", aRequest->mTried, aRequest->mHints);
  if (!placed) {
    return false;
  }
  aRequest->mPlaced = mClock.Now();
  const auto it = std::find_if(mEngines.begin(), mEngines.end(), [&](const auto& aEngine) {
    return aEngine->mName == placed.value().mEndpoint;
  });
  StartOn(**it, aRequest);
  return true;
}

void RoutingModel::StartOn(Engine& aEngine, const RequestPtr& aRequest)
{
  const int attempt = ++aRequest->mTries;
  aRequest->mRunning = true;
  if (!aEngine.mUp) {
    After(kConnectMs,
          [this, &aEngine, aRequest] { End(aEngine, aRequest, AttemptOutcome::NotReached); });
    return;
  }
  aEngine.mWaiting.push_back(aRequest);
  StartPrefill(aEngine);
  At(aRequest->mDeadline, [this, &aEngine, aRequest, attempt] {
    if (aRequest->mRunning && aRequest->mTries == attempt) {
      End(aEngine, aRequest, AttemptOutcome::TimedOut);
    }
  });
}

void RoutingModel::StartPrefill(Engine& aEngine)
{
  if (aEngine.mPrefilling || aEngine.mWaiting.empty() || !aEngine.HasSlot()) {
    return;
  }
  const auto request = aEngine.mWaiting.front();
  aEngine.mWaiting.pop_front();
  aEngine.mPrefilling = request;
  const auto hits = aEngine.Touch(request->mHints.mPrefixes);
  mBlocks += request->mCounted ? static_cast<double>(kBlocks) : 0;
  mHitBlocks += request->mCounted ? static_cast<double>(hits) : 0;
  const double tokens = static_cast<double>(kBlocks - hits) * kBlockTokens + kTailTokens;
  const int attempt = request->mTries;
  After(tokens * kPrefillMsPerToken * aEngine.mFactor, [this, &aEngine, request, attempt] {
    if (request->mRunning && request->mTries == attempt) {
      FirstToken(aEngine, request);
    }
  });
}

void RoutingModel::FirstToken(Engine& aEngine, const RequestPtr& aRequest)
{
  aEngine.mPrefilling.reset();
  aEngine.mDecoding.insert(aRequest);
  aRequest->mFirst = mClock.Now();
  if (aRequest->mCounted) {
    mFirstTokens.push_back(ToMs(mClock.Now() - aRequest->mArrived));
  }
  aRequest->mRouter->mTable.OnFirstToken(aEngine.mName, mClock.Now() - aRequest->mPlaced);
  const double load = static_cast<double>(aEngine.mDecoding.size()) / kSlots;
  const double tokenMs = kTokenMs * aEngine.mFactor * (1 + kBatchCost * load);
  const int attempt = aRequest->mTries;
  After(aRequest->mOutput * tokenMs, [this, &aEngine, aRequest, attempt] {
    if (aRequest->mRunning && aRequest->mTries == attempt) {
      End(aEngine, aRequest, AttemptOutcome::Done);
    }
  });
  StartPrefill(aEngine);
}

void RoutingModel::End(Engine& aEngine, const RequestPtr& aRequest, AttemptOutcome aEnd)
{
  aRequest->mRunning = false;
  std::erase(aEngine.mWaiting, aRequest);
  aEngine.mDecoding.erase(aRequest);
  if (aEngine.mPrefilling == aRequest) {
    aEngine.mPrefilling.reset();
  }
  auto& router = *aRequest->mRouter;
  const auto now = mClock.Now();
  router.mTable.Release(aEngine.mName);
  Attempt attempt{ aEngine.mName, "", aEnd };
  attempt.mTotal = now - aRequest->mPlaced;
  if (aEnd == AttemptOutcome::Done) {
    attempt.mFirstToken = aRequest->mFirst - aRequest->mPlaced;
    attempt.mOutputTokens = static_cast<std::int64_t>(aRequest->mOutput);
    router.mAdmission.OnCompleted("model", attempt.mTotal);
  }
  router.mTable.OnAttempt(attempt);
  if (aRequest->mCounted && aEnd == AttemptOutcome::Done) {
    ++mFigures.mInTime;
    mServed[aRequest->mOrganisation] += aRequest->Cost();
  } else if (aRequest->mCounted && aEnd == AttemptOutcome::TimedOut) {
    ++mFigures.mLate;
  }
  const bool failed = aEnd == AttemptOutcome::NotReached || aEnd == AttemptOutcome::Interrupted;
  if (failed) {
    aRequest->mTried.push_back(aEngine.mName);
    mFigures.mBroken += aRequest->mCounted && aRequest->mTries >= kMaxTries ? 1 : 0;
    if (aRequest->mTries < kMaxTries) {
      Submit(aRequest);
    }
  }
  StartPrefill(aEngine);
  Dispatch(router);
}

void RoutingModel::CrashEngine(Engine& aEngine)
{
  aEngine.mUp = false;
  ++aEngine.mRun;
  aEngine.mCache.clear();
  aEngine.mSequence = aEngine.mRun * kNewRun;
  std::vector<RequestPtr> all(aEngine.mWaiting.begin(), aEngine.mWaiting.end());
  all.insert(all.end(), aEngine.mDecoding.begin(), aEngine.mDecoding.end());
  if (aEngine.mPrefilling) {
    all.push_back(aEngine.mPrefilling);
  }
  aEngine.mWaiting.clear();
  aEngine.mDecoding.clear();
  aEngine.mPrefilling.reset();
  for (const auto& it : all) {
    End(aEngine, it, AttemptOutcome::Interrupted);
  }
}

void RoutingModel::Dispatch(Router& aRouter)
{
  while (const auto next = aRouter.mAdmission.Peek("model")) {
    const auto request = aRouter.mParked.at(next->mId);
    if (!TryPlace(request)) {
      return;
    }
    aRouter.mAdmission.Pop("model", mClock.Now());
    aRouter.mParked.erase(next->mId);
  }
}

void RoutingModel::Refuse(const RequestPtr& aRequest)
{
  if (!aRequest->mCounted) {
    return;
  }
  ++mFigures.mRefused;
  const bool anyFree = std::any_of(mEngines.begin(), mEngines.end(), [](const auto& it) {
    return it->mUp && it->mFactor == 1 && it->Running() < kSlots / 2;
  });
  mFigures.mWronglyRefused += anyFree ? 1 : 0;
}

void RoutingModel::Sweep()
{
  for (const auto& router : mRouters) {
    Dispatch(*router);
    for (const auto& it : router->mAdmission.RemoveExpired(mClock.Now())) {
      Refuse(router->mParked.at(it.mId));
      router->mParked.erase(it.mId);
    }
  }
  After(kSweepMs, [this] { Sweep(); });
}

RoutingFigures RoutingModel::Figures() const
{
  auto out = mFigures;
  const double seconds = mRun.mSeconds * (1 - kWarmUpShare) - kDeadlineMs / 1'000;
  out.mGoodput = static_cast<double>(out.mInTime) / seconds;
  const double served = std::accumulate(mServed.begin(), mServed.end(), 0.0);
  out.mGoodTokens = served / seconds;
  auto times = mFirstTokens;
  std::sort(times.begin(), times.end());
  constexpr double kRanks[] = { 0.5, 0.95, 0.99 };
  for (std::size_t n = 0; n < std::size(kRanks) && !times.empty(); ++n) {
    const auto rank = static_cast<std::size_t>(kRanks[n] * static_cast<double>(times.size()));
    out.mFirstTokenMs[n] = times[std::min(rank, times.size() - 1)];
  }
  out.mPrefixHits = mBlocks > 0 ? mHitBlocks / mBlocks : 0;
  // Fair shares of what was served: small wants are met, the rest is shared out evenly.
  auto wants = mWanted;
  std::sort(wants.begin(), wants.end());
  double level = 0;
  double left = served;
  for (std::size_t n = 0; n < wants.size(); ++n) {
    level = left / static_cast<double>(wants.size() - n);
    if (wants[n] >= level) {
      break;
    }
    left -= wants[n];
  }
  out.mLeastShare = 1;
  for (std::size_t n = 0; n < mServed.size(); ++n) {
    out.mLeastShare = std::min(out.mLeastShare, mServed[n] / std::min(level, mWanted[n]));
  }
  return out;
}

} // namespace gentianloom::bench
