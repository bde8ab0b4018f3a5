#include "gentianloom/routing/RequestHold.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace gentianloom {

class RequestHoldTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestHoldTest);
  CPPUNIT_TEST(TestPauses);
  CPPUNIT_TEST(TestPausesOverlap);
  CPPUNIT_TEST(TestTrialRequest);
  CPPUNIT_TEST(TestTrialOfAnEarlierPause);
  CPPUNIT_TEST_SUITE_END();

public:
  // A pause that no endpoint can mean must not keep requests away for good.
  void TestPauses()
  {
    struct Row
    {
      std::string mName;
      Millis mPause;
      double mJitter;
      Millis mHeldFor;
    };
    const Row rows[] = {
      { "none", Millis(0), 0, Millis(0) },
      { "negative", Millis(-5), 0, Millis(0) },
      { "a short one", Millis(700), 0, Millis(700) },
      { "delayed by a share", Millis(2'000), 1, Millis(2'500) },
      { "delayed by the largest delay", Millis(20'000), 1, Millis(21'000) },
      { "without end", Millis(86'400'000), 0, RequestHold::kMaxPause },
    };
    for (const auto& row : rows) {
      RequestHold hold;
      hold.Begin(row.mPause, mNow, row.mJitter);
      CPPUNIT_ASSERT_MESSAGE(row.mName, hold.TimeLeft(mNow) == Micros(row.mHeldFor));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mHeldFor == Millis(0), hold.AllowsRequest(mNow));
      CPPUNIT_ASSERT_MESSAGE(row.mName, hold.AllowsRequest(mNow + row.mHeldFor));
    }
  }

  // Refusals that arrive out of order must not shorten a pause.
  void TestPausesOverlap()
  {
    RequestHold hold;
    hold.Begin(Millis(3'000), mNow, 0);
    hold.Begin(Millis(200), mNow + Millis(100), 0);
    CPPUNIT_ASSERT(!hold.AllowsRequest(mNow + Millis(2'999)));
    CPPUNIT_ASSERT(hold.AllowsRequest(mNow + Millis(3'000)));
  }

  // All requests that came back at the end of a pause would fill the endpoint again.
  void TestTrialRequest()
  {
    RequestHold hold;
    CPPUNIT_ASSERT(!hold.OnSent());
    hold.Begin(Millis(100), mNow, 0);
    const auto end = mNow + Millis(100);
    CPPUNIT_ASSERT(hold.OnSent());
    CPPUNIT_ASSERT(!hold.AllowsRequest(end));
    hold.OnTrialEnded(); // without an answer
    CPPUNIT_ASSERT(hold.AllowsRequest(end));
    CPPUNIT_ASSERT(hold.OnSent());
    hold.OnTrialAnswered();
    CPPUNIT_ASSERT(hold.AllowsRequest(end));
    CPPUNIT_ASSERT(!hold.OnSent());
  }

  // The answer to a request that was sent before an endpoint asked for a pause ended that pause.
  void TestTrialOfAnEarlierPause()
  {
    RequestHold hold;
    hold.Begin(Millis(100), mNow, 0);
    const auto end = mNow + Millis(100);
    CPPUNIT_ASSERT(hold.OnSent());
    hold.Begin(Millis(3'000), end, 0);
    hold.OnTrialAnswered();
    hold.OnTrialEnded();
    CPPUNIT_ASSERT(!hold.AllowsRequest(end + Millis(2'999)));
    CPPUNIT_ASSERT(hold.AllowsRequest(end + Millis(3'000)));
    CPPUNIT_ASSERT_MESSAGE("a trial first", hold.OnSent());
    CPPUNIT_ASSERT(!hold.AllowsRequest(end + Millis(3'000)));
  }

private:
  TimePoint mNow{ std::chrono::hours(1) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestHoldTest);

} // namespace gentianloom
