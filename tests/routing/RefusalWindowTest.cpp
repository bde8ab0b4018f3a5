#include "gentianloom/routing/RefusalWindow.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gentianloom {

class RefusalWindowTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RefusalWindowTest);
  CPPUNIT_TEST(TestSoundEndpointIsNotBounded);
  CPPUNIT_TEST(TestNewProcessGetsFewRequests);
  CPPUNIT_TEST(TestUnusedWindowDoesNotGrow);
  CPPUNIT_TEST(TestRefusalBoundsAnUnusedWindow);
  CPPUNIT_TEST(TestRefusalIsKnownBeforeTheFirstStatement);
  CPPUNIT_TEST(TestStatementThatComesAndGoes);
  CPPUNIT_TEST_SUITE_END();

public:
  // Endpoints that say nothing of refusals would serve less than they can.
  void TestSoundEndpointIsNotBounded()
  {
    RefusalWindow window;
    CPPUNIT_ASSERT(window.AllowsRequest(1'000));
    window.OnStated(true, 7);
    CPPUNIT_ASSERT(window.AllowsRequest(6));
    CPPUNIT_ASSERT(!window.AllowsRequest(7));
    window.OnStated(false, 7);
    CPPUNIT_ASSERT(window.AllowsRequest(1'000));
  }

  // All that waited for a process that ended was sent to the next one at once.
  void TestNewProcessGetsFewRequests()
  {
    RefusalWindow window;
    window.OnStated(true, 0);
    CPPUNIT_ASSERT(window.AllowsRequest(0));
    CPPUNIT_ASSERT(!window.AllowsRequest(1));
    window.OnServed(1);
    CPPUNIT_ASSERT(window.AllowsRequest(1));
    CPPUNIT_ASSERT(!window.AllowsRequest(2));
    window.OnRefused(2);
    CPPUNIT_ASSERT(window.AllowsRequest(0));
    CPPUNIT_ASSERT(!window.AllowsRequest(1));
  }

  // A window that grew while little was sent would let a burst through.
  void TestUnusedWindowDoesNotGrow()
  {
    RefusalWindow window;
    window.OnStated(true, 8);
    for (int n = 0; n < 100; ++n) {
      window.OnServed(2);
    }
    CPPUNIT_ASSERT(!window.AllowsRequest(8));
  }

  // Half of a window that was hardly used is still more than the endpoint has room for.
  void TestRefusalBoundsAnUnusedWindow()
  {
    RefusalWindow window;
    window.OnStated(true, 8);
    window.OnRefused(4);
    CPPUNIT_ASSERT(window.AllowsRequest(1));
    CPPUNIT_ASSERT(!window.AllowsRequest(2));
  }

  // An instance that heard of a refusal from another one sent as many requests as the endpoint has
  // slots, as soon as the endpoint's first response came.
  void TestRefusalIsKnownBeforeTheFirstStatement()
  {
    RefusalWindow window;
    window.OnRefused(0);
    CPPUNIT_ASSERT(window.AllowsRequest(0));
    CPPUNIT_ASSERT(!window.AllowsRequest(1));
    window.OnStated(true, 8);
    CPPUNIT_ASSERT(!window.AllowsRequest(1));
  }

  // One response without the statement made the next one with it forget all refusals.
  void TestStatementThatComesAndGoes()
  {
    RefusalWindow window;
    window.OnStated(true, 8);
    window.OnRefused(4);
    window.OnStated(false, 8);
    CPPUNIT_ASSERT(window.AllowsRequest(1'000));
    window.OnStated(true, 8);
    CPPUNIT_ASSERT(window.AllowsRequest(1));
    CPPUNIT_ASSERT(!window.AllowsRequest(2));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RefusalWindowTest);

} // namespace gentianloom
