#include "gentianloom/routing/WarmUp.h"

#include "gentianloom/routing/RateLimit.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace gentianloom {

/// Load: many instances want to send to an endpoint that warms up, all the time.
class WarmUpTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(WarmUpTest);
  CPPUNIT_TEST(TestKeeperRate);
  CPPUNIT_TEST(TestAnySecond);
  CPPUNIT_TEST(TestStatements);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint kStart{ std::chrono::hours(1) };
  static constexpr double kLimit = 12;
  static constexpr WarmUpBound kBound{ 1.5, 5 };
  static constexpr long kBoundPerSecond = 23;
  static constexpr Millis kSecond{ 1'000 };
  static constexpr Millis kDuration{ 8'000 };
  static constexpr unsigned kSeed = 1;

  struct Keeper
  {
    PermitBucket mPermits;
    PermitTurns mTurns;
  };

  struct Scenario
  {
    std::string mName;
    std::size_t mInstances;
    /// The keeper that an instance asks at a time.
    std::function<std::size_t(std::size_t, Millis)> mKeeperOf;
    /// What the endpoint states at times: remaining time.
    std::vector<std::pair<Millis, Millis>> mStatements;
    double mLeastUsed;  ///< part of kLimit, while the endpoint warms up
    double mDemand = 1; ///< share of the milliseconds in which an instance wants to send
  };

  /// Requests by time of arrival.
  struct Arrivals
  {
    std::vector<Millis> mPermitted;
    std::vector<Millis> mFree; ///< that needed no permit
  };

  static Arrivals Replay(const Scenario& aScenario)
  {
    std::mt19937 random(kSeed);
    std::uniform_int_distribution<long> arrivalDelay(0, kWarmUpPermitLife.count());
    std::uniform_int_distribution<long> statementDelay(0, WarmUp::kMaxDelay.count());
    std::bernoulli_distribution isWanted(aScenario.mDemand);
    const double rate = KeeperRate(kLimit, kBound);
    std::array<Keeper, kWarmUpKeepers> keepers;
    std::vector<WarmUp> warmUps(aScenario.mInstances);
    std::vector<TimePoint> deniedUntil(aScenario.mInstances);
    Arrivals out;
    for (Millis at{ 0 }; at < kDuration; at += Millis(1)) {
      const auto now = kStart + at;
      for (std::size_t n = 0; n < aScenario.mInstances; ++n) {
        for (const auto& [time, remaining] : aScenario.mStatements) {
          if (at == time) {
            warmUps[n].SetLimit(kLimit);
            warmUps[n].OnStated(remaining, now);
            warmUps[n].OnStated(remaining, now + Millis(statementDelay(random)));
          }
        }
        if (!warmUps[n].IsLimited(now)) {
          out.mFree.push_back(at);
          continue;
        }
        if (now < deniedUntil[n] || !isWanted(random)) {
          continue;
        }
        auto& keeper = keepers.at(aScenario.mKeeperOf(n, at));
        if (keeper.mPermits.TryTake(rate, now, KeeperSavedSeconds(rate))) {
          out.mPermitted.push_back(at + Millis(arrivalDelay(random)));
          continue;
        }
        const auto maxWait = Millis(5) * static_cast<long>(aScenario.mInstances);
        const auto untilPermit = keeper.mPermits.TimeUntilPermit(rate);
        deniedUntil[n] = now + keeper.mTurns.Next(rate, untilPermit, maxWait, now);
      }
    }
    return out;
  }

  static long MostInOneSecond(const std::vector<Millis>& aTimes)
  {
    long out = 0;
    for (const auto begin : aTimes) {
      out = std::max(out, std::count_if(aTimes.begin(), aTimes.end(), [begin](const auto& it) {
                       return it >= begin && it < begin + kSecond;
                     }));
    }
    return out;
  }

public:
  // Keepers that each give out the whole limit exceed the bound together.
  void TestKeeperRate()
  {
    struct Row
    {
      double mLimit;
      WarmUpBound mBound;
      double mRate;
    };
    const Row rows[] = { { 12, { 1.5, 5 }, 11 / 1.15 },  { 2, { 1.5, 5 }, 2 },
                         { 12, { 1, 0 }, 6 / 1.15 },     { 100, { 1.5, 5 }, 77 / 1.15 },
                         { 1, { 1.5, 0 }, 0.75 / 1.15 }, { 12, { 100, 100 }, 12 } };
    for (const auto& row : rows) {
      CPPUNIT_ASSERT_DOUBLES_EQUAL(row.mRate, KeeperRate(row.mLimit, row.mBound), 1e-9);
    }
  }

  // Each instance for itself, keepers that do not know of each other, and permits saved up before
  // gave the endpoint more than it can take.
  void TestAnySecond()
  {
    const std::vector<std::pair<Millis, Millis>> always = { { Millis(0), kDuration } };
    const auto first = [](std::size_t, Millis) { return std::size_t{ 0 }; };
    const Scenario scenarios[] = {
      { "60 instances at once", 60, first, always, 0.7 },
      { "one instance", 1, first, always, 0.7 },
      { "two keepers",
        60,
        [](std::size_t aInstance, Millis) { return aInstance % 2; },
        always,
        0.9 },
      { "two keepers, now and then a request",
        6,
        [](std::size_t aInstance, Millis) { return aInstance % 2; },
        always,
        0.9,
        0.01 },
      { "a keeper that takes over",
        60,
        [](std::size_t, Millis aAt) { return aAt < kDuration / 2 ? std::size_t{ 0 } : 1; },
        always,
        0.6 },
      { "keepers in turn",
        60,
        [](std::size_t, Millis aAt) { return static_cast<std::size_t>(aAt / Millis(300) % 2); },
        always,
        0.6 },
      { "warm and cold again",
        60,
        [](std::size_t aInstance, Millis) { return aInstance % 2; },
        { { Millis(0), Millis(2'000) }, { Millis(4'000), Millis(4'000) } },
        0.5 },
    };
    for (const auto& scenario : scenarios) {
      const auto arrivals = Replay(scenario);
      CPPUNIT_ASSERT_MESSAGE(scenario.mName,
                             MostInOneSecond(arrivals.mPermitted) <= kBoundPerSecond);
      Millis total{ 0 };
      for (const auto& [time, remaining] : scenario.mStatements) {
        total += remaining;
        const auto isMeanwhile = [begin = time, end = time + remaining](const auto& it) {
          return it >= begin && it < end;
        };
        CPPUNIT_ASSERT_MESSAGE(
          scenario.mName, std::none_of(arrivals.mFree.begin(), arrivals.mFree.end(), isMeanwhile));
      }
      const double most = kLimit * std::chrono::duration<double>(total).count();
      CPPUNIT_ASSERT_MESSAGE(scenario.mName,
                             static_cast<double>(arrivals.mPermitted.size()) >=
                               scenario.mLeastUsed * most);
      const bool isFreeLater = !arrivals.mFree.empty();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(scenario.mName, total < kDuration, isFreeLater);
    }
  }

  // Statements that travelled longer moved the end, or an endpoint that is cold again was taken for
  // a warm one.
  void TestStatements()
  {
    struct Row
    {
      std::string mName;
      Millis mAt;
      Millis mRemaining;
      bool mIsNews;
      Millis mEnd; ///< after the start of the test
    };
    const Row rows[] = {
      { "begins", Millis(100), Millis(5'000), true, Millis(5'100) },
      { "older", Millis(50), Millis(0), false, Millis(5'100) },
      { "late", Millis(300), Millis(5'000), false, Millis(5'100) },
      { "earlier", Millis(400), Millis(4'600), false, Millis(5'000) },
      { "longer", Millis(1'000), Millis(8'000), true, Millis(9'000) },
      { "much earlier", Millis(2'000), Millis(1'000), true, Millis(3'000) },
      { "warm", Millis(2'500), Millis(0), true, Millis(2'500) },
      { "warm still", Millis(2'600), Millis(0), false, Millis(2'600) },
      { "cold again", Millis(60'000), Millis(100), true, Millis(60'100) },
    };
    WarmUp warmUp;
    for (const auto& row : rows) {
      const auto isNews = warmUp.OnStated(row.mRemaining, kStart + row.mAt);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mIsNews, isNews);
      CPPUNIT_ASSERT_MESSAGE("no limit is configured", !warmUp.IsLimited(kStart + row.mAt));
      warmUp.SetLimit(kLimit);
      const auto end = kStart + row.mEnd;
      const bool isWarm = row.mRemaining == Millis(0) && row.mAt == row.mEnd;
      CPPUNIT_ASSERT_MESSAGE(row.mName, warmUp.IsLimited(end - Micros(1)) || isWarm);
      CPPUNIT_ASSERT_MESSAGE(row.mName, !warmUp.IsLimited(end));
      CPPUNIT_ASSERT_MESSAGE(row.mName, warmUp.TimeLeft(end - Millis(5)) == Millis(5));
      warmUp.SetLimit(std::nullopt);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WarmUpTest);

} // namespace gentianloom
