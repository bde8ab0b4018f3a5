#include "gentianloom/net/Backoff.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gentianloom::net {

class BackoffTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BackoffTest);
  CPPUNIT_TEST(TestCallsOfAnOutage);
  CPPUNIT_TEST(TestReset);
  CPPUNIT_TEST_SUITE_END();

public:
  // 195 instances that lost power while the service refused calls tried every 60 ms.
  void TestCallsOfAnOutage()
  {
    constexpr Millis kOutage{ 6'000 };
    constexpr int kMaxCalls = 20;
    Backoff backoff(Millis(60), Millis(960));
    int calls = 0;
    for (Micros at{ 0 }; at < kOutage; at += backoff.Next()) {
      ++calls;
    }
    CPPUNIT_ASSERT_LESSEQUAL(kMaxCalls, calls);
  }

  // After a success, the next failure must not wait as long as the last one.
  void TestReset()
  {
    Backoff backoff(Millis(40), Millis(640));
    for (int n = 0; n < 10; ++n) {
      backoff.Next();
    }
    CPPUNIT_ASSERT(backoff.Next() >= Micros(Millis(320)));
    backoff.Reset();
    CPPUNIT_ASSERT(backoff.Next() <= Micros(Millis(60)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackoffTest);

} // namespace gentianloom::net
