#include "gentianloom/outcome/RetryAfter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace gentianloom {

class RetryAfterTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RetryAfterTest);
  CPPUNIT_TEST(TestTimes);
  CPPUNIT_TEST(TestCutOfEightSeconds);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestTimes()
  {
    struct Row
    {
      std::string mName;
      int mAwayFor;
      int mComeBack;
    };
    const Row rows[] = { { "not away", 0, 400 },
                         { "just gone", 300, 400 },
                         { "as long again", 2'000, 2'000 },
                         { "no longer than callers heed", 9'000, 4'000 } };
    for (const auto& row : rows) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mName,
        row.mComeBack,
        static_cast<int>(EstimateRetryAfter(Millis(row.mAwayFor)).count()));
    }
  }

  // Callers refused all through a cut come back once: fewer of them before its end than with a
  // fixed short time.
  void TestCutOfEightSeconds()
  {
    constexpr int kCut = 8'000;
    constexpr int kShort = 400;
    int early = 0;
    int earlyIfFixed = 0;
    for (int at = 0; at < kCut; at += 100) {
      early += at + EstimateRetryAfter(Millis(at)).count() < kCut ? 1 : 0;
      earlyIfFixed += at + kShort < kCut ? 1 : 0;
    }
    CPPUNIT_ASSERT(early * 3 < earlyIfFixed * 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryAfterTest);

} // namespace gentianloom
