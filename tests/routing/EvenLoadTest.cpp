#include "EvenLoadModel.h"

#include "gentianloom/routing/EvenLoad.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iomanip>
#include <iostream>
#include <string>

namespace gentianloom {

class EvenLoadTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EvenLoadTest);
  CPPUNIT_TEST(TestModel);
  CPPUNIT_TEST(TestSwitch);
  CPPUNIT_TEST(TestTrend);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against endpoints that are overloaded in turns while others idle, because many instances
  // choose at the same moment with old reports. Prints what docs/design/even-load.md quotes.
  void TestModel()
  {
    struct Row
    {
      ModelSite mSite;
      double mMaxRatio;      ///< of the evened choice
      double mMaxRecomputed; ///< share of shared prompt tokens
    };
    const Row rows[] = {
      { { "engines 90x48", 75, 90, 48, true, 500, 4'700, true }, 1.2, 0.05 },
      { { "engines 140x12", 75, 140, 12, true, 500, 1'900, true }, 1.2, 0.1 },
      { { "plain 3x6", 60, 3, 6, false, 150, 45, true }, 1.1, 0 },
      { { "plain 5x6", 75, 5, 6, false, 300, 45, true }, 1.1, 0 },
    };
    for (const auto& row : rows) {
      const auto before = Run(row.mSite, ModelChoice::Before);
      const auto evened = Run(row.mSite, ModelChoice::Evened);
      const auto ideal = Run(row.mSite, ModelChoice::Ideal);
      CPPUNIT_ASSERT_LESSEQUAL(row.mMaxRatio, evened.mFullestToMean);
      CPPUNIT_ASSERT(evened.mFullestToMean < before.mFullestToMean);
      CPPUNIT_ASSERT_LESSEQUAL(row.mMaxRecomputed, evened.mRecomputedShare);
      CPPUNIT_ASSERT_MESSAGE("the model's load is below its slots", ideal.mWaitShare < 0.01);
    }
  }

  void TestSwitch()
  {
    struct Row
    {
      EvenLoadMode mMode;
      bool mHasPace;
      bool mIsOn;
    };
    const Row rows[] = {
      { EvenLoadMode::ByReports, false, false }, { EvenLoadMode::ByReports, true, true },
      { EvenLoadMode::On, false, true },         { EvenLoadMode::On, true, true },
      { EvenLoadMode::Off, false, false },       { EvenLoadMode::Off, true, false },
    };
    for (const auto& row : rows) {
      EvenLoadSwitch tested(row.mMode);
      const EndpointRegistry::Ptr endpoints[] = { std::make_shared<Endpoint>() };
      endpoints[0]->mLoad.OnReportedLoad(
        { 1, 0, 8, row.mHasPace ? std::optional<std::int64_t>(100) : std::nullopt }, mNow);
      CPPUNIT_ASSERT_EQUAL(row.mIsOn, tested.Observe("s", endpoints));
      CPPUNIT_ASSERT_EQUAL(row.mIsOn, tested.IsOn("s"));
      CPPUNIT_ASSERT_MESSAGE("only the change is stated", !tested.Observe("s", endpoints));
      CPPUNIT_ASSERT_MESSAGE("another service", !tested.IsOn("t"));
    }
  }

  // A single old report must not be taken for the present load.
  void TestTrend()
  {
    LoadTrend trend;
    for (int n = 0; n < 4; ++n) {
      trend.OnReport({ 4, 4, 100 }, mNow + Millis(n));
    }
    const auto last = mNow + Millis(100);
    trend.OnReport({ 12, 12, 200 }, last);
    trend.OnReport({ 90, 90, 900 }, mNow); // older than the last one
    CPPUNIT_ASSERT_DOUBLES_EQUAL(12, trend.Others(last, Millis(1'000)), 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(4, trend.Others(last + Millis(9'000), Millis(1'000)), 0.2);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2, trend.RelativePace(last), 0.1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, trend.RelativePace(last + Millis(2'000)), 0.01);
  }

private:
  static ModelResult Run(const ModelSite& aSite, ModelChoice aChoice)
  {
    constexpr double kWarmUpMillis = 15'000;
    constexpr double kMillis = 20'000;
    constexpr std::uint64_t kSeed = 1;
    const auto out = EvenLoadModel(aSite, aChoice, kSeed).Run(kWarmUpMillis, kMillis);
    const char* const names[] = { "before", "evened", "ideal" };
    std::cout << std::fixed << std::setprecision(3) << aSite.mName << ' '
              << names[static_cast<std::size_t>(aChoice)] << ": fullest/mean " << out.mFullestToMean
              << ", at a moment " << out.mMomentaryRatio << ", waits " << out.mWaitShare
              << ", computed again " << out.mRecomputedShare << ", load " << out.mMeanLoad
              << std::endl;
    return out;
  }

  TimePoint mNow{ std::chrono::hours(1) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvenLoadTest);

} // namespace gentianloom
