#include "gentianloom/routing/RateLimit.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace gentianloom {

class RateLimitTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RateLimitTest);
  CPPUNIT_TEST(TestPermits);
  CPPUNIT_TEST(TestChangeOfLimit);
  CPPUNIT_TEST(TestStatements);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint kStart{ std::chrono::hours(1) };
  static constexpr Millis kWindow{ 4'000 };

public:
  // Many instances ask at once and all the time: the endpoint got a burst, or less than it takes.
  void TestPermits()
  {
    struct Row
    {
      double mLimit;
      int mLeast; ///< permits in each window
      int mMost;
    };
    const Row rows[] = {
      { 0, 0, 1 }, { 0.2, 0, 1 }, { 1.3, 4, 6 }, { 20, 79, 90 }, { 1'000'000, 3'000, 1'000'000 }
    };
    for (const auto& row : rows) {
      PermitBucket bucket;
      for (int window = 0; window < 10; ++window) {
        int permits = 0;
        for (Millis at{ 0 }; at < kWindow; at += Millis(1)) {
          permits += bucket.TryTake(row.mLimit, kStart + window * kWindow + at) ? 1 : 0;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(row.mLimit),
                               permits >= row.mLeast && permits <= row.mMost);
      }
    }
    PermitBucket bucket;
    CPPUNIT_ASSERT(!bucket.TryTake(2, kStart));
    CPPUNIT_ASSERT(bucket.TimeUntilPermit(2) == Millis(500));
    CPPUNIT_ASSERT(bucket.TryTake(2, kStart + Millis(500)));
    // After a long pause one request follows the other as before.
    CPPUNIT_ASSERT(bucket.TryTake(2, kStart + std::chrono::hours(1)));
    CPPUNIT_ASSERT(!bucket.TryTake(2, kStart + std::chrono::hours(1)));
  }

  // What was saved up under a larger limit must not be sent to an endpoint that lowers it.
  void TestChangeOfLimit()
  {
    PermitBucket bucket;
    bucket.TryTake(100, kStart);
    CPPUNIT_ASSERT(bucket.TryTake(1, kStart + Millis(1'000)));
    CPPUNIT_ASSERT(!bucket.TryTake(1, kStart + Millis(1'001)));
  }

  // Responses overtake each other on different connections.
  void TestStatements()
  {
    StatedRateLimit limit;
    CPPUNIT_ASSERT(!limit.OnStated(std::nullopt, kStart));
    CPPUNIT_ASSERT(limit.AllowsRequest(kStart));
    CPPUNIT_ASSERT(limit.OnStated(2, kStart + Millis(10)));
    CPPUNIT_ASSERT(!limit.OnStated(2, kStart + Millis(20)));
    CPPUNIT_ASSERT(!limit.OnStated(std::nullopt, kStart + Millis(15)));
    CPPUNIT_ASSERT(limit.IsLimited());
    limit.OnDenied(kStart + Millis(500));
    CPPUNIT_ASSERT(!limit.AllowsRequest(kStart + Millis(499)));
    CPPUNIT_ASSERT(limit.TimeLeft(kStart + Millis(499)) == Millis(1));
    CPPUNIT_ASSERT(limit.AllowsRequest(kStart + Millis(500)));
    CPPUNIT_ASSERT(limit.OnStated(std::nullopt, kStart + Millis(30)));
    CPPUNIT_ASSERT(limit.AllowsRequest(kStart + Millis(40)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimitTest);

} // namespace gentianloom
