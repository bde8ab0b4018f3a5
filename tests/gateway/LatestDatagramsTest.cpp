#include "gentianloom/gateway/LatestDatagrams.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <string>

namespace gentianloom {

class LatestDatagramsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LatestDatagramsTest);
  CPPUNIT_TEST(TestOrder);
  CPPUNIT_TEST_SUITE_END();

  static LatestDatagrams::Address MakeAddress(std::uint16_t aPort)
  {
    return { boost::asio::ip::address_v4::loopback(), aPort };
  }

  /// Checks which datagram has waited longest, and takes it.
  static void CheckNext(LatestDatagrams& aWaiting, const LatestDatagrams::Datagram& aExpected)
  {
    const auto it = aWaiting.Take().value_or(LatestDatagrams::Datagram{});
    CPPUNIT_ASSERT_EQUAL(aExpected.mBytes, it.mBytes);
    CPPUNIT_ASSERT(aExpected.mSender == it.mSender);
    CPPUNIT_ASSERT(aExpected.mArrivedAfter == it.mArrivedAfter);
  }

public:
  // A later datagram takes the place of an earlier one of its sender, so none waits for ever.
  void TestOrder()
  {
    LatestDatagrams waiting;
    CPPUNIT_ASSERT(!waiting.Take());
    CPPUNIT_ASSERT(waiting.Put(MakeAddress(1), "a1", TimePoint(Millis(1))));
    CPPUNIT_ASSERT(waiting.Put(MakeAddress(2), "b1", TimePoint(Millis(2))));
    CPPUNIT_ASSERT(!waiting.Put(MakeAddress(1), "a2", TimePoint(Millis(3))));
    CheckNext(waiting, { MakeAddress(1), "a2", TimePoint(Millis(3)) });
    CPPUNIT_ASSERT(waiting.Put(MakeAddress(1), "a3", TimePoint(Millis(4))));
    CheckNext(waiting, { MakeAddress(2), "b1", TimePoint(Millis(2)) });
    CheckNext(waiting, { MakeAddress(1), "a3", TimePoint(Millis(4)) });
    CPPUNIT_ASSERT(waiting.IsEmpty());
    for (std::size_t n = 0; n <= LatestDatagrams::kMaxSenders; ++n) {
      const bool isAdded = waiting.Put(MakeAddress(static_cast<std::uint16_t>(n)), "x", {});
      CPPUNIT_ASSERT_EQUAL(n < LatestDatagrams::kMaxSenders, isAdded);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LatestDatagramsTest);

} // namespace gentianloom
