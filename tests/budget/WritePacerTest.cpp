#include "gentianloom/budget/WritePacer.h"

#include "gentianloom/settings/Settings.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gentianloom {

class WritePacerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(WritePacerTest);
  CPPUNIT_TEST(TestWriteRates);
  CPPUNIT_TEST(TestFleetInterval);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestWriteRates()
  {
    struct Row
    {
      bool mIsUrgent;
      int mOutageSeconds; // from the start
      int mSeconds;
      int mMaxWrites;
      int mMinWrites;
    };
    // The burst allows three additional urgent writes, also after an outage of an hour.
    const Row rows[] = { { false, 0, 60, 31, 29 },
                         { true, 0, 60, 63, 59 },
                         { true, 3'600, 3'600, 1'000, 300 },
                         { true, 3'600, 3'660, 1'063, 330 } };
    for (const auto& row : rows) {
      WritePacer pacer(Millis(1'000));
      const TimePoint start{ std::chrono::hours(1) };
      int writes = 0;
      for (auto now = start; now < start + std::chrono::seconds(row.mSeconds);) {
        const auto at = pacer.NextWrite(now, row.mIsUrgent);
        now = std::max(now + Millis(10), at);
        if (at > now) {
          continue;
        }
        pacer.OnWrite(now);
        ++writes;
        const bool isUnavailable = now < start + std::chrono::seconds(row.mOutageSeconds);
        isUnavailable ? pacer.OnFailure(now, 0.5) : pacer.OnSuccess();
      }
      CPPUNIT_ASSERT_MESSAGE(std::to_string(writes), writes <= row.mMaxWrites);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(writes), writes >= row.mMinWrites);
    }
  }

  void TestFleetInterval()
  {
    const auto rate = BudgetSettings{}.mFleetWritesPerSecond;
    for (const auto& [routers, ms] : { std::pair{ 7, 1'000 }, { 250, 1'000 }, { 720, 2'880 } }) {
      CPPUNIT_ASSERT_EQUAL(
        std::int64_t{ ms },
        std::int64_t{
          FleetInterval(Millis(1'000), static_cast<std::size_t>(routers), rate).count() });
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WritePacerTest);

} // namespace gentianloom
