#include "gentianloom/routing/EndpointChooser.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/routing/PlacementPolicy.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <string>

namespace gentianloom {

namespace {

constexpr double kTokensPerMilli = 60;
constexpr double kBaseMillis = 40;

std::vector<EndpointRegistry::Ptr> MakeEndpoints(int aCount)
{
  std::vector<EndpointRegistry::Ptr> out;
  for (int n = 0; n < aCount; ++n) {
    auto it = std::make_shared<Endpoint>();
    it->mEntry.mId = "e" + std::to_string(n);
    it->mHash = StableHash(it->mEntry.mId);
    it->mEntry.mZone = n % 2 == 0 ? "near" : "far";
    it->mEntry.mSlots = 6;
    it->mLoad.Cache().SetCapacity(500'000, 1);
    out.push_back(std::move(it));
  }
  return out;
}

FirstTokenModel MakeTrainedModel()
{
  FirstTokenModel out;
  for (int n = 0; n < 100; ++n) {
    const double tokens = 100.0 * n;
    out.AddSample(tokens, kBaseMillis + tokens / kTokensPerMilli);
  }
  return out;
}

/// One request of the simulated load.
struct Arrival
{
  double mAtMillis = 0;
  std::vector<PromptPart> mParts;
  Millis mTarget{ 0 };
};

/// Simulates engines that process prompts one after another and cache all shared parts.
struct Replay
{
  explicit Replay(int aEngines)
    : mFreeAt(static_cast<std::size_t>(aEngines))
    , mCachedParts(static_cast<std::size_t>(aEngines))
  {
  }

  /// Serves one request on an engine. @return time to its first event, in milliseconds
  double Serve(const Arrival& aArrival, std::size_t aEngine)
  {
    std::int64_t uncachedTokens = aArrival.mParts.back().mTokens;
    for (std::size_t n = 0; n + 1 < aArrival.mParts.size(); ++n) {
      if (mCachedParts[aEngine].insert({ aArrival.mParts[n].mId, true }).second) {
        uncachedTokens += aArrival.mParts[n].mTokens;
        mRecomputedTokens += mComputedParts.insert({ aArrival.mParts[n].mId, true }).second
                               ? 0
                               : aArrival.mParts[n].mTokens;
      }
    }
    auto& freeAt = mFreeAt[aEngine];
    freeAt =
      std::max(freeAt, aArrival.mAtMillis) + static_cast<double>(uncachedTokens) / kTokensPerMilli;
    const double first = freeAt + kBaseMillis - aArrival.mAtMillis;
    mLate += first > static_cast<double>(aArrival.mTarget.count()) ? 1 : 0;
    return first;
  }

  std::vector<double> mFreeAt;
  std::vector<std::map<std::uint64_t, bool>> mCachedParts;
  std::map<std::uint64_t, bool> mComputedParts;
  std::int64_t mRecomputedTokens = 0;
  int mLate = 0;
};

/// Many short prompts and a few that are about twenty times longer, with shared parts.
std::vector<Arrival> MakeMixedLoad()
{
  RandomSource random(7);
  std::uniform_real_distribution<double> unit(0, 1);
  std::vector<Arrival> out;
  double at = 0;
  for (int n = 0; n < 3'000; ++n) {
    at += -std::log(1 - unit(random)) * 9.0;
    Arrival it;
    it.mAtMillis = at;
    const auto subject = static_cast<std::uint64_t>(unit(random) * 40);
    if (unit(random) < 0.25) {
      it.mParts = { { 1, 500 }, { 1'000 + subject, 4'900 }, { 10'000ULL + n, 6'600 } };
      it.mTarget = Millis(800);
    } else {
      it.mParts = { { 2, 120 }, { 2'000 + subject, 80 }, { 10'000ULL + n, 430 } };
      it.mTarget = Millis(300);
    }
    out.push_back(std::move(it));
  }
  return out;
}

} // namespace

class EndpointChooserTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EndpointChooserTest);
  CPPUNIT_TEST(TestSharedPartsUseOneEndpoint);
  CPPUNIT_TEST(TestBusyCachingEndpointIsAvoided);
  CPPUNIT_TEST(TestLastResortEndpoints);
  CPPUNIT_TEST(TestPlainService);
  CPPUNIT_TEST(TestReplayOfMixedLoad);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestSharedPartsUseOneEndpoint()
  {
    const auto endpoints = MakeEndpoints(6);
    std::map<std::string, int> chosen;
    for (std::uint64_t n = 0; n < 20; ++n) {
      const PromptPart parts[] = { { 1, 500 }, { 77, 4'000 }, { 100 + n, 1'000 } };
      ++chosen[Choose(endpoints, parts, 800).mEndpoint->mEntry.mId];
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, chosen.size());
    for (std::uint64_t n = 0; n < 200; ++n) {
      const PromptPart parts[] = { { 1, 500 }, { 5'000 + n, 4'000 }, { 100 + n, 1'000 } };
      ++chosen[Choose(endpoints, parts, 800).mEndpoint->mEntry.mId];
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      "different parts use all endpoints", endpoints.size(), chosen.size());
  }

  void TestBusyCachingEndpointIsAvoided()
  {
    const auto endpoints = MakeEndpoints(6);
    const PromptPart parts[] = { { 1, 100 }, { 77, 100 }, { 9, 400 } };
    const auto cachingEndpoint = Choose(endpoints, parts, 300).mEndpoint;
    // A long prompt of a peer waits there and would delay the first event by about a second.
    cachingEndpoint->mLoad.OnPeerPending("peer", 60'000, mNow);
    const auto other = Choose(endpoints, parts, 300).mEndpoint;
    CPPUNIT_ASSERT(other != cachingEndpoint);
    // The peer's report has expired, or the peer reports that the prompt was processed.
    CPPUNIT_ASSERT(Choose(endpoints, parts, 300, mNow + Millis(600)).mEndpoint == cachingEndpoint);
    cachingEndpoint->mLoad.OnPeerPending("peer", 0, mNow);
    CPPUNIT_ASSERT(Choose(endpoints, parts, 300).mEndpoint == cachingEndpoint);
    // Prompts of this process count until their first event.
    const auto handle = cachingEndpoint->mLoad.OnSent(60'000);
    CPPUNIT_ASSERT(Choose(endpoints, parts, 300).mEndpoint != cachingEndpoint);
    CPPUNIT_ASSERT(cachingEndpoint->mLoad.OnStarted(handle));
    CPPUNIT_ASSERT(!cachingEndpoint->mLoad.OnStarted(handle));
    CPPUNIT_ASSERT(Choose(endpoints, parts, 300).mEndpoint == cachingEndpoint);
  }

  void TestLastResortEndpoints()
  {
    const auto endpoints = MakeEndpoints(2);
    const PromptPart parts[] = { { 1, 100 }, { 77, 100 }, { 9, 400 } };
    const auto first = Choose(endpoints, parts, 300).mEndpoint;
    for (int n = 0; n < 3; ++n) {
      first->mLoad.OnOutcome(true, mNow);
    }
    CPPUNIT_ASSERT(first->mLoad.IsSuspended(mNow));
    const auto second = Choose(endpoints, parts, 300).mEndpoint;
    CPPUNIT_ASSERT(second != first);
    CPPUNIT_ASSERT(Choose(endpoints, parts, 300, mNow + Millis(1'000)).mEndpoint == first);
    const std::string tried[] = { second->mEntry.mId };
    CPPUNIT_ASSERT(Choose(endpoints, parts, 300, mNow, tried).mEndpoint == first);
    CPPUNIT_ASSERT(Choose({}, parts, 300).mEndpoint == nullptr);
  }

  void TestPlainService()
  {
    const auto endpoints = MakeEndpoints(4);
    PlacementRequest request;
    request.mZone = "near";
    std::map<std::string, int> chosen;
    for (std::uint64_t n = 0; n < 24; ++n) {
      request.mTieBreakHash = n;
      const auto it = ChoosePlainEndpoint(request, endpoints, mNow).mEndpoint;
      it->mLoad.OnSent(0);
      ++chosen[it->mEntry.mId];
    }
    // All slots are used evenly, except for the preference for the own availability zone.
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, chosen.size());
    CPPUNIT_ASSERT(chosen["e0"] >= chosen["e1"] && chosen["e0"] - chosen["e1"] <= 3);
  }

  // Guards against late answers to short requests that wait behind long prompts. Compared to round
  // robin, ChooseEngineEndpoint() must give less than a quarter of the late answers and half of the
  // recomputed tokens; compared to placement by the shared part alone, half of the late answers.
  void TestReplayOfMixedLoad()
  {
    constexpr int kEngines = 6;
    const auto load = MakeMixedLoad();
    Replay roundRobin(kEngines);
    Replay byPart(kEngines);
    Replay chosen(kEngines);
    const auto endpoints = MakeEndpoints(kEngines);
    const auto model = MakeTrainedModel();
    std::vector<std::pair<double, std::function<void()>>> pendingEnds;
    for (std::size_t n = 0; n < load.size(); ++n) {
      const auto& it = load[n];
      roundRobin.Serve(it, n % kEngines);
      byPart.Serve(it, it.mParts[it.mParts.size() - 2].mId % kEngines);
      const auto now = mNow + Micros(static_cast<std::int64_t>(it.mAtMillis * 1'000));
      std::erase_if(pendingEnds, [&it](auto& aEnd) {
        const bool hasEnded = aEnd.first <= it.mAtMillis;
        if (hasEnded) {
          aEnd.second();
        }
        return hasEnded;
      });
      PlacementRequest request;
      request.mZone = "near";
      request.mParts = it.mParts;
      request.mTarget = it.mTarget;
      const auto choice = ChooseEngineEndpoint(request, endpoints, { 64, 500'000, 5 }, model, now);
      const auto engine =
        static_cast<std::size_t>(std::stoi(choice.mEndpoint->mEntry.mId.substr(1)));
      auto& endpointLoad = choice.mEndpoint->mLoad;
      const auto handle = endpointLoad.OnSent(choice.mPrefillTokens);
      endpointLoad.Cache().Touch(it.mParts);
      const double first = chosen.Serve(it, engine);
      pendingEnds.emplace_back(it.mAtMillis + first,
                               [&endpointLoad, handle] { endpointLoad.OnEnded(handle); });
    }
    CPPUNIT_ASSERT(chosen.mLate * 4 < roundRobin.mLate);
    CPPUNIT_ASSERT(chosen.mLate * 2 < byPart.mLate);
    CPPUNIT_ASSERT(chosen.mRecomputedTokens * 2 < roundRobin.mRecomputedTokens);
  }

private:
  PlacementChoice Choose(std::span<const EndpointRegistry::Ptr> aEndpoints,
                         std::span<const PromptPart> aParts,
                         int aTargetMillis,
                         std::optional<TimePoint> aNow = std::nullopt,
                         std::span<const std::string> aTried = {})
  {
    PlacementRequest request;
    request.mZone = "near";
    request.mParts = aParts;
    request.mTarget = Millis(aTargetMillis);
    request.mTriedEndpoints = aTried;
    return ChooseEngineEndpoint(
      request, aEndpoints, { 64, 500'000, 5 }, MakeTrainedModel(), aNow.value_or(mNow));
  }

  TimePoint mNow{ std::chrono::hours(1) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointChooserTest);

} // namespace gentianloom
