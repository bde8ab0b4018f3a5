#include "gentianloom/configuration/ConfigurationVersionTracker.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gentianloom::testing {

class ConfigurationVersionTrackerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigurationVersionTrackerTest);
  CPPUNIT_TEST(TestVersionNeverDecreases);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Stale reads, late reports of peers and a service that was restored from a backup must never
  /// put an older version, or other content of the same version, in force.
  void TestVersionNeverDecreases()
  {
    enum class Source
    {
      Head,
      Peer
    };
    struct Event
    {
      Source mSource;
      VersionId mId;
      int mAfterMs; ///< time since the previous event
    };
    struct Row
    {
      std::string_view mName;
      std::vector<Event> mEvents; ///< each is taken if the tracker says so
      VersionId mInForce;
      std::int64_t mHighestKnown;
      bool mProvisional;
      ConfigurationAlarm mAlarm;
    };
    const auto none = ConfigurationAlarm::None;
    const auto storeBehind = ConfigurationAlarm::StoreBehind;
    const Row rows[] = {
      { "start", {}, {}, 0, true, none },
      { "empty service", { { Source::Head, {}, 0 } }, {}, 0, false, none },
      { "restart", { { Source::Head, { 4, "d" }, 0 } }, { 4, "d" }, 4, false, none },
      { "restart in an outage", { { Source::Peer, { 4, "d" }, 0 } }, { 4, "d" }, 4, true, none },
      { "outage ends, newer",
        { { Source::Peer, { 4, "d" }, 0 }, { Source::Head, { 5, "e" }, 9 } },
        { 5, "e" },
        5,
        false,
        none },
      { "stale read",
        { { Source::Head, { 4, "d" }, 0 },
          { Source::Head, { 3, "c" }, 9 },
          { Source::Head, { 4, "d" }, 1 } },
        { 4, "d" },
        4,
        false,
        none },
      { "stale read ends in time",
        { { Source::Head, { 4, "d" }, 0 },
          { Source::Head, { 3, "c" }, 1 },
          { Source::Head, { 4, "d" }, 4'999 },
          { Source::Head, { 3, "c" }, 4'999 } },
        { 4, "d" },
        4,
        false,
        none },
      { "restored service",
        { { Source::Head, { 4, "d" }, 0 },
          { Source::Head, { 3, "c" }, 1 },
          { Source::Head, { 3, "c" }, 5'000 } },
        { 4, "d" },
        4,
        false,
        storeBehind },
      { "next apply ends the alarm",
        { { Source::Head, { 4, "d" }, 0 },
          { Source::Head, { 3, "c" }, 1 },
          { Source::Head, { 3, "c" }, 5'000 },
          { Source::Head, { 5, "e" }, 1 } },
        { 5, "e" },
        5,
        false,
        none },
      { "peer behind",
        { { Source::Head, { 4, "d" }, 0 }, { Source::Peer, { 3, "c" }, 9'000 } },
        { 4, "d" },
        4,
        false,
        none },
      { "other content under the same version",
        { { Source::Head, { 4, "d" }, 0 }, { Source::Head, { 4, "x" }, 1 } },
        { 4, "d" },
        4,
        false,
        ConfigurationAlarm::Forked },
      { "newer version ends a fork",
        { { Source::Head, { 4, "d" }, 0 },
          { Source::Peer, { 4, "x" }, 1 },
          { Source::Peer, { 5, "e" }, 1 } },
        { 5, "e" },
        5,
        false,
        none },
      { "restored service, restarted router learns from peers",
        { { Source::Head, { 3, "c" }, 0 }, { Source::Peer, { 4, "d" }, 1 } },
        { 4, "d" },
        4,
        false,
        none },
    };
    for (const auto& row : rows) {
      ConfigurationVersionTracker tracker;
      ManualClock clock;
      std::int64_t before = 0;
      for (const auto& it : row.mEvents) {
        clock.Advance(Millis(it.mAfterMs));
        const auto result = it.mSource == Source::Head ? tracker.OnHead(it.mId, clock.Now())
                                                       : tracker.OnPeerVersion(it.mId);
        CPPUNIT_ASSERT_EQUAL(result == VersionCheckResult::Newer, tracker.PutInForce(it.mId));
        CPPUNIT_ASSERT(tracker.InForce().mVersion >= before);
        before = tracker.InForce().mVersion;
      }
      const std::string name(row.mName);
      CPPUNIT_ASSERT_MESSAGE(name, tracker.InForce() == row.mInForce);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, row.mHighestKnown, tracker.HighestKnown());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, row.mProvisional, tracker.IsProvisional());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, ToString(row.mAlarm), ToString(tracker.Alarm()));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationVersionTrackerTest);

} // namespace gentianloom::testing
