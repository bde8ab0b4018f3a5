#include "gentianloom/routing/EndpointLoad.h"
#include "gentianloom/routing/FirstTokenModel.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace gentianloom {

class EndpointLoadTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EndpointLoadTest);
  CPPUNIT_TEST(TestPromptCacheEstimate);
  CPPUNIT_TEST(TestPartsAreBounded);
  CPPUNIT_TEST(TestReportedLoad);
  CPPUNIT_TEST(TestSuspension);
  CPPUNIT_TEST(TestSlowdownFactor);
  CPPUNIT_TEST(TestFirstTokenModel);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestPromptCacheEstimate()
  {
    PromptCacheEstimate cache(1'000);
    const PromptPart one[] = { { 1, 100 }, { 2, 300 }, { 3, 50 } };
    const PromptPart sameBeginning[] = { { 1, 100 }, { 2, 300 }, { 4, 50 } };
    const PromptPart sameMiddle[] = { { 9, 100 }, { 2, 300 }, { 3, 50 } };
    cache.Touch(one);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 450 }, cache.CachedTokens(one));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 400 }, cache.CachedTokens(sameBeginning));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      "a part counts only after the same parts", std::int64_t{ 0 }, cache.CachedTokens(sameMiddle));
    const PromptPart large[] = { { 7, 900 } };
    cache.Touch(large);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 900 }, cache.CachedTokens(large));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      "the least recently used part is evicted", std::int64_t{ 0 }, cache.CachedTokens(one));
    cache.Clear();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, cache.CachedTokens(large));
  }

  // Prompts of many parts with few tokens, or none, took a process over the memory of its machine.
  void TestPartsAreBounded()
  {
    struct Row
    {
      std::int64_t mTokens; ///< of each part
      std::size_t mEndpoints;
      std::size_t mMaxParts;
    };
    constexpr auto kTogether = PromptCacheEstimate::kMaxPartsTogether;
    const Row rows[] = { { 0, 1, kTogether },
                         { 1, 1, kTogether },
                         { 0, 16, kTogether / 16 },
                         { 1, 16, kTogether / 16 },
                         { 1, 100'000, PromptCacheEstimate::kMinParts },
                         { 0, 0, kTogether } };
    for (const auto& row : rows) {
      PromptCacheEstimate cache;
      cache.SetCapacity(500'000, row.mEndpoints);
      for (std::uint64_t n = 0; n < kTogether + 100; ++n) {
        const PromptPart part[] = { { n, row.mTokens } };
        cache.Touch(part);
      }
      CPPUNIT_ASSERT_EQUAL(row.mMaxParts, cache.Parts());
      const PromptPart last[] = { { kTogether + 99, row.mTokens } };
      CPPUNIT_ASSERT_EQUAL(row.mTokens, cache.CachedTokens(last));
    }
  }

  void TestReportedLoad()
  {
    EndpointLoad load;
    const auto first = load.OnSent(100);
    load.OnSent(200);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 300 }, load.PendingPrefillTokens());
    load.OnReportedLoad({ 5, 2, 64 }, mNow);
    CPPUNIT_ASSERT_EQUAL(7.0, load.Running(mNow));
    load.OnEnded(first);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 200 }, load.PendingPrefillTokens());
    CPPUNIT_ASSERT_EQUAL(6.0, load.Running(mNow));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("expired report", 1.0, load.Running(mNow + Millis(2'001)));
  }

  void TestSuspension()
  {
    struct Row
    {
      std::string mOutcomes; // F: failed, g: good
      bool mIsSuspended;
    };
    const Row rows[] = { { "FF", false },       { "FFF", true },   { "FFgF", false },
                         { "gggggggg", false }, { "FFgFF", true }, { "FgFgFgFgFgFgFF", true } };
    for (const auto& row : rows) {
      EndpointLoad load;
      for (const auto it : row.mOutcomes) {
        load.OnOutcome(it == 'F', mNow);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mOutcomes, row.mIsSuspended, load.IsSuspended(mNow));
      CPPUNIT_ASSERT(!load.IsSuspended(mNow + Millis(1'000)));
    }
  }

  void TestSlowdownFactor()
  {
    EndpointLoad load;
    for (int n = 0; n < 50; ++n) {
      load.OnLatency(8, mNow);
    }
    CPPUNIT_ASSERT(load.SlowdownFactor(mNow) > 7);
    CPPUNIT_ASSERT_MESSAGE("decays without new answers",
                           load.SlowdownFactor(mNow + Millis(20'000)) < 1.1);
  }

  void TestFirstTokenModel()
  {
    FirstTokenModel model;
    CPPUNIT_ASSERT(model.Predict(0) > 0);
    for (int n = 0; n < 200; ++n) {
      const double tokens = 50.0 * (n % 40);
      model.AddSample(tokens, 30 + tokens / 50);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(30 + 200, model.Predict(10'000), 2);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20, model.PrefillTime(1'000), 0.5);
    model.AddSample(10, 60'000); // a sample of a failing endpoint is ignored
    CPPUNIT_ASSERT_DOUBLES_EQUAL(30 + 200, model.Predict(10'000), 2);
    for (int n = 0; n < 2'000; ++n) {
      const double tokens = 50.0 * (n % 40);
      model.AddSample(tokens, 60 + tokens / 25);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE("adapts to a change", 60 + 400, model.Predict(10'000), 8);
  }

private:
  TimePoint mNow{ std::chrono::hours(1) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointLoadTest);

} // namespace gentianloom
