#include "gentianloom/gateway/LoadNews.h"

#include "gentianloom/base/Ids.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace gentianloom {

class LoadNewsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LoadNewsTest);
  CPPUNIT_TEST(TestApply);
  CPPUNIT_TEST(TestMalformed);
  CPPUNIT_TEST_SUITE_END();

public:
  // Each message states all: what it does not name any more is no longer pending.
  void TestApply()
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
    LoadMessage message{ "run-1", 1, { { StableHash("a"), 700 }, { StableHash("x"), 9 } } };
    Apply(DecodeLoadMessage(Encode(message)).value(), registry, now);
    Apply({ "run-2", 1, { { StableHash("a"), 50 }, { StableHash("b"), 3 } } }, registry, now);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 750 }, pending("a"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 3 }, pending("b"));
    message.mPending = { { StableHash("b"), 10 } };
    Apply(message, registry, now);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 50 }, pending("a"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 13 }, pending("b"));
  }

  void TestMalformed()
  {
    const auto good = Encode({ "run-1", 1, { { 1, 2 } } });
    for (std::size_t n = 0; n + 1 < good.size(); ++n) {
      CPPUNIT_ASSERT(!DecodeLoadMessage(std::string_view(good).substr(0, n)));
    }
    for (const std::string it : { "\x93\xc0\xc0\xc0", "hello", "\xdd\xff\xff\xff\xff" }) {
      CPPUNIT_ASSERT(!DecodeLoadMessage(it));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadNewsTest);

} // namespace gentianloom
