#include "gentianloom/routing/EndpointContact.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gentianloom {

class EndpointContactTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EndpointContactTest);
  CPPUNIT_TEST(TestSilenceCallsForACheck);
  CPPUNIT_TEST(TestOneFailureIsNoLoss);
  CPPUNIT_TEST(TestOutdatedCheck);
  CPPUNIT_TEST(TestRequestsAreToldOfSilenceOnly);
  CPPUNIT_TEST_SUITE_END();

public:
  // Requests went on to kept connections that hung, and nothing called for a check.
  void TestSilenceCallsForACheck()
  {
    EndpointContact contact;
    CPPUNIT_ASSERT(!contact.NeedsCheck(mNow + Millis(10'000)));
    contact.OnRequestSent(mNow);
    contact.OnRequestSent(mNow + Millis(400));
    CPPUNIT_ASSERT(!contact.NeedsCheck(mNow + Millis(499)));
    CPPUNIT_ASSERT(contact.NeedsCheck(mNow + EndpointContact::kMaxSilence));
    contact.OnBytesReceived();
    CPPUNIT_ASSERT(!contact.NeedsCheck(mNow + Millis(10'000)));
  }

  // An instance must not take the failure of one endpoint for the loss of all.
  void TestOneFailureIsNoLoss()
  {
    EndpointContact contact;
    contact.OnNotConnected();
    CPPUNIT_ASSERT(contact.NeedsCheck(mNow));
    CPPUNIT_ASSERT(!contact.IsLost());
    CPPUNIT_ASSERT(contact.OnNoneReached(contact.Connections(), mNow));
    CPPUNIT_ASSERT(contact.IsLost());
    CPPUNIT_ASSERT(!contact.OnNoneReached(contact.Connections(), mNow));
    contact.OnConnected();
    CPPUNIT_ASSERT(!contact.IsLost());
    CPPUNIT_ASSERT(!contact.NeedsCheck(mNow + Millis(10'000)));
  }

  // A check that ends after contact is regained would give all requests to others again.
  void TestOutdatedCheck()
  {
    EndpointContact contact;
    const auto before = contact.Connections();
    contact.OnConnected();
    CPPUNIT_ASSERT(!contact.OnNoneReached(before, mNow));
    CPPUNIT_ASSERT(!contact.IsLost());
  }

  // Requests on kept connections that still work would be sent again.
  void TestRequestsAreToldOfSilenceOnly()
  {
    struct Request final : EndpointContact::Listener
    {
      void OnContactLost() override { ++mTold; }
      int mTold = 0;
    };
    for (const bool isSilent : { false, true }) {
      EndpointContact contact;
      Request waiting;
      Request ended;
      contact.AddListener(waiting);
      contact.AddListener(ended);
      contact.RemoveListener(ended);
      contact.OnRequestSent(mNow);
      contact.OnNotConnected();
      if (!isSilent) {
        contact.OnBytesReceived();
      }
      contact.OnNoneReached(contact.Connections(), mNow + EndpointContact::kMaxSilence);
      CPPUNIT_ASSERT(contact.IsLost());
      CPPUNIT_ASSERT_EQUAL(isSilent ? 1 : 0, waiting.mTold);
      CPPUNIT_ASSERT_EQUAL(0, ended.mTold);
    }
  }

private:
  TimePoint mNow{ Millis(1'000) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointContactTest);

} // namespace gentianloom
