#include "gentianloom/configuration/ConfigurationVersionTracker.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gentianloom::testing {

class ConfigurationVersionTrackerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigurationVersionTrackerTest);
  CPPUNIT_TEST(TestNeverDown);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestNeverDown()
  {
    enum class From
    {
      Head,
      Peer
    };
    struct Event
    {
      From mFrom;
      VersionId mId;
      int mAfterMs; ///< time since the event before
    };
    struct Row
    {
      std::string_view mName;
      std::vector<Event> mEvents; ///< each is taken if the guard says so
      VersionId mInForce;
      std::int64_t mHighestKnown;
      bool mProvisional;
      ConfigurationAlarm mAlarm;
    };
    const auto none = ConfigurationAlarm::None;
    const auto behind = ConfigurationAlarm::StoreBehind;
    const Row rows[] = {
      { "start", {}, {}, 0, true, none },
      { "empty service", { { From::Head, {}, 0 } }, {}, 0, false, none },
      { "restart", { { From::Head, { 4, "d" }, 0 } }, { 4, "d" }, 4, false, none },
      { "restart in an outage", { { From::Peer, { 4, "d" }, 0 } }, { 4, "d" }, 4, true, none },
      { "outage ends, newer",
        { { From::Peer, { 4, "d" }, 0 }, { From::Head, { 5, "e" }, 9 } },
        { 5, "e" },
        5,
        false,
        none },
      { "stale read",
        { { From::Head, { 4, "d" }, 0 },
          { From::Head, { 3, "c" }, 9 },
          { From::Head, { 4, "d" }, 1 } },
        { 4, "d" },
        4,
        false,
        none },
      { "stale read ends in time",
        { { From::Head, { 4, "d" }, 0 },
          { From::Head, { 3, "c" }, 1 },
          { From::Head, { 4, "d" }, 4'999 },
          { From::Head, { 3, "c" }, 4'999 } },
        { 4, "d" },
        4,
        false,
        none },
      { "restored service",
        { { From::Head, { 4, "d" }, 0 },
          { From::Head, { 3, "c" }, 1 },
          { From::Head, { 3, "c" }, 5'000 } },
        { 4, "d" },
        4,
        false,
        behind },
      { "next apply ends the alarm",
        { { From::Head, { 4, "d" }, 0 },
          { From::Head, { 3, "c" }, 1 },
          { From::Head, { 3, "c" }, 5'000 },
          { From::Head, { 5, "e" }, 1 } },
        { 5, "e" },
        5,
        false,
        none },
      { "peer behind",
        { { From::Head, { 4, "d" }, 0 }, { From::Peer, { 3, "c" }, 9'000 } },
        { 4, "d" },
        4,
        false,
        none },
      { "restored to the same number",
        { { From::Head, { 4, "d" }, 0 }, { From::Head, { 4, "x" }, 1 } },
        { 4, "d" },
        4,
        false,
        ConfigurationAlarm::Forked },
      { "fork is outgrown",
        { { From::Head, { 4, "d" }, 0 },
          { From::Peer, { 4, "x" }, 1 },
          { From::Peer, { 5, "e" }, 1 } },
        { 5, "e" },
        5,
        false,
        none },
      { "restored service, fresh router hears peers",
        { { From::Head, { 3, "c" }, 0 }, { From::Peer, { 4, "d" }, 1 } },
        { 4, "d" },
        4,
        false,
        none },
    };
    for (const auto& row : rows) {
      ConfigurationVersionTracker guard;
      ManualClock clock;
      std::int64_t before = 0;
      for (const auto& it : row.mEvents) {
        clock.Advance(Millis(it.mAfterMs));
        const auto verdict =
          it.mFrom == From::Head ? guard.OnHead(it.mId, clock.Now()) : guard.OnPeerVersion(it.mId);
        CPPUNIT_ASSERT_EQUAL(verdict == VersionCheckResult::Newer, guard.PutInForce(it.mId));
        CPPUNIT_ASSERT(guard.InForce().mVersion >= before);
        before = guard.InForce().mVersion;
      }
      const std::string name(row.mName);
      CPPUNIT_ASSERT_MESSAGE(name, guard.InForce() == row.mInForce);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, row.mHighestKnown, guard.HighestKnown());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, row.mProvisional, guard.IsProvisional());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, ToString(row.mAlarm), ToString(guard.Alarm()));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationVersionTrackerTest);

} // namespace gentianloom::testing
