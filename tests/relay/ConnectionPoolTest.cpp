#include "gentianloom/relay/ConnectionPool.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace gentianloom {

class ConnectionPoolTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConnectionPoolTest);
  CPPUNIT_TEST(TestMayCarry);
  CPPUNIT_TEST(TestRequestsAreBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  // A second copy of the response to an earlier attempt was taken for that to a later one with the
  // same id on the same connection.
  void TestMayCarry()
  {
    EndpointConnection connection;
    CPPUNIT_ASSERT(connection.MayCarry("a"));
    connection.OnRequest("a");
    connection.OnRequest("b");
    for (const auto* it : { "a", "b" }) {
      CPPUNIT_ASSERT_MESSAGE(it, !connection.MayCarry(it));
    }
    CPPUNIT_ASSERT(connection.MayCarry("c"));
  }

  // What a connection remembers must not grow for as long as its endpoint keeps it open.
  void TestRequestsAreBounded()
  {
    EndpointConnection connection;
    for (std::size_t n = 0; n < EndpointConnection::kMaxRequests; ++n) {
      const auto id = std::to_string(n);
      CPPUNIT_ASSERT(connection.MayCarry(id));
      connection.OnRequest(id);
    }
    CPPUNIT_ASSERT(!connection.MayCarry("another"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionPoolTest);

} // namespace gentianloom
