#include "gentianloom/outcome/RetryAfter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace gentianloom {

class RetryAfterTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RetryAfterTest);
  CPPUNIT_TEST(TestBounds);
  CPPUNIT_TEST(TestEightSecondOutage);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestBounds()
  {
    struct Row
    {
      std::string mName;
      int mOutageMillis;
      int mRetryAfterMillis;
    };
    const Row rows[] = { { "no outage", 0, 400 },
                         { "outage has just begun", 300, 400 },
                         { "as long as the outage has lasted", 2'000, 2'000 },
                         { "upper bound", 9'000, 4'000 } };
    for (const auto& row : rows) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mName,
        row.mRetryAfterMillis,
        static_cast<int>(EstimateRetryAfter(Millis(row.mOutageMillis)).count()));
    }
  }

  // Callers that are refused during an outage retry once. A fixed short delay would let most of
  // them retry before the end of the outage, only to be refused again.
  void TestEightSecondOutage()
  {
    constexpr int kOutageMillis = 8'000;
    constexpr int kFixedDelayMillis = 400;
    int earlyRetries = 0;
    int earlyRetriesWithFixedDelay = 0;
    for (int atMillis = 0; atMillis < kOutageMillis; atMillis += 100) {
      earlyRetries +=
        atMillis + EstimateRetryAfter(Millis(atMillis)).count() < kOutageMillis ? 1 : 0;
      earlyRetriesWithFixedDelay += atMillis + kFixedDelayMillis < kOutageMillis ? 1 : 0;
    }
    // Fewer than two thirds of the early retries with a fixed delay.
    CPPUNIT_ASSERT(earlyRetries * 3 < earlyRetriesWithFixedDelay * 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryAfterTest);

} // namespace gentianloom
