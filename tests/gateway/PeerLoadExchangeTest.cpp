#include "gentianloom/gateway/PeerLoadExchange.h"

#include "gentianloom/base/Ids.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace gentianloom {

class PeerLoadExchangeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PeerLoadExchangeTest);
  CPPUNIT_TEST(TestApplyReplacesPending);
  CPPUNIT_TEST(TestMalformedDatagrams);
  CPPUNIT_TEST_SUITE_END();

public:
  // A message holds the sender's complete pending load. If endpoints that it omits kept their old
  // load, a lost message would leave that load counted until another message names the endpoint.
  void TestApplyReplacesPending()
  {
    const TimePoint now{ std::chrono::hours(1) };
    EndpointRegistry registry;
    for (const auto* id : { "a", "b" }) {
      EndpointEntry entry;
      entry.mId = id;
      registry.Put(entry, now);
    }
    const auto pending = [&](const std::string& aId) {
      return registry.All().at(aId)->mLoad.PeerPendingTokens(now);
    };
    PeerLoadMessage message{ "run-1", 1, { { StableHash("a"), 700 }, { StableHash("x"), 9 } } };
    ApplyPeerLoad(DecodePeerLoad(EncodePeerLoad(message)).value(), registry, now);
    ApplyPeerLoad(
      { "run-2", 1, { { StableHash("a"), 50 }, { StableHash("b"), 3 } } }, registry, now);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 750 }, pending("a"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 3 }, pending("b"));
    message.mPending = { { StableHash("b"), 10 } };
    ApplyPeerLoad(message, registry, now);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 50 }, pending("a"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 13 }, pending("b"));
  }

  void TestMalformedDatagrams()
  {
    const auto valid = EncodePeerLoad({ "run-1", 1, { { 1, 2 } } });
    for (std::size_t n = 0; n + 1 < valid.size(); ++n) {
      CPPUNIT_ASSERT(!DecodePeerLoad(std::string_view(valid).substr(0, n)));
    }
    for (const std::string it : { "\x93\xc0\xc0\xc0", "hello", "\xdd\xff\xff\xff\xff" }) {
      CPPUNIT_ASSERT(!DecodePeerLoad(it));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLoadExchangeTest);

} // namespace gentianloom
