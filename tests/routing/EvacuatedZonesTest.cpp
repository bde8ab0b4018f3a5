#include "gentianloom/routing/EvacuatedZones.h"

#include "gentianloom/routing/EndpointRegistry.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace gentianloom {

namespace {

std::string Join(const std::vector<std::string>& aNames)
{
  std::string out;
  for (const auto& it : aNames) {
    out += it;
  }
  return out;
}

} // namespace

class EvacuatedZonesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EvacuatedZonesTest);
  CPPUNIT_TEST(TestEvents);
  CPPUNIT_TEST(TestEndpoints);
  CPPUNIT_TEST_SUITE_END();

public:
  // A key that the key-value service lost must not bring requests back to a machine room that is
  // out of use; a key that an operator removed must not keep the zone out of use.
  void TestEvents()
  {
    enum class Event : std::uint8_t
    {
      Snapshot,
      Restored,
      Put,
      Remove,
      Time
    };
    struct Row
    {
      std::string mName;
      Event mEvent;
      std::vector<std::string> mZones;
      Millis mAt;
      std::string mExpected;
    };
    const Millis grace = EvacuatedZones::kRewriteGracePeriod;
    const Millis at{ 1'000 };
    const Row rows[] = {
      { "first snapshot", Event::Snapshot, { "a", "b" }, Millis(0), "ab" },
      { "written", Event::Put, { "c" }, Millis(0), "abc" },
      { "removed", Event::Remove, { "a" }, Millis(0), "bc" },
      { "removed again", Event::Remove, { "a" }, Millis(0), "bc" },
      { "removed between snapshots", Event::Snapshot, { "b", "d", "e" }, Millis(0), "bde" },
      { "the copy lacks three and has another one", Event::Restored, { "a" }, at, "abde" },
      { "a later snapshot says no more", Event::Snapshot, { "a" }, at, "abde" },
      { "a second copy does not prolong it", Event::Restored, { "a" }, at + grace / 2, "abde" },
      { "written again", Event::Put, { "b" }, at, "abde" },
      { "removed by the operator", Event::Remove, { "d" }, at, "abe" },
      { "just before the end", Event::Time, {}, at + grace - Millis(1), "abe" },
      { "the end", Event::Time, {}, at + grace, "ab" },
      { "later", Event::Time, {}, at + 2 * grace, "ab" },
    };
    EvacuatedZones zones;
    for (const auto& row : rows) {
      const auto now = mNow + row.mAt;
      switch (row.mEvent) {
        case Event::Snapshot:
        case Event::Restored:
          zones.OnSnapshot(row.mZones, row.mEvent == Event::Restored, now);
          break;
        case Event::Put:
          zones.Put(row.mZones.front());
          break;
        case Event::Remove:
          zones.Remove(row.mZones.front());
          break;
        case Event::Time:
          zones.RemoveExpired(now);
          break;
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mExpected, Join(zones.Names()));
    }
    CPPUNIT_ASSERT(zones.IsEvacuated("a") && !zones.IsEvacuated("e"));
  }

  // A request that has chosen an endpoint, and waits for its connection or a permit, asks the
  // record again before it is sent. It must see an evacuation that began since.
  void TestEndpoints()
  {
    EndpointRegistry registry;
    const auto put = [&](const std::string& aId, const std::string& aZone) {
      EndpointEntry entry;
      entry.mId = aId;
      entry.mService = "pool";
      entry.mZone = aZone;
      entry.mSoftwareVersion = "v-" + aZone;
      registry.Put(entry, mNow);
    };
    const auto usable = [&](std::optional<std::string_view> aVersion = std::nullopt) {
      std::string out;
      for (const auto& it : registry.UsableEndpoints("pool", mNow, aVersion)) {
        out += it->mEntry.mId;
      }
      return out;
    };
    put("1", "a");
    put("2", "b");
    const auto chosen = registry.UsableEndpoints("pool", mNow).front();
    chosen->mHold.Begin(Millis(900), mNow, 0);
    registry.UsableEndpoints("pool", mNow).front()->mHold.Begin(Millis(500), mNow, 0);
    CPPUNIT_ASSERT(chosen->AcceptsRequests());
    CPPUNIT_ASSERT(registry.TimeUntilPauseEnds("pool", mNow) == Micros(Millis(500)));
    registry.Evacuated().Put("b");
    CPPUNIT_ASSERT_MESSAGE("the pause of an endpoint that gets nothing does not count",
                           registry.TimeUntilPauseEnds("pool", mNow) == Micros(Millis(900)));
    mNow += Millis(900);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), usable());
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the only ones of a version", std::string(), usable("v-b"));
    registry.Evacuated().Put("a");
    CPPUNIT_ASSERT(!chosen->AcceptsRequests(mNow));
    CPPUNIT_ASSERT_EQUAL(std::string(), usable());
    CPPUNIT_ASSERT(!registry.TimeUntilPauseEnds("pool", mNow));
    put("3", "a");
    registry.Remove("1", /*aAfterOutage=*/false, mNow);
    put("1", "a");
    CPPUNIT_ASSERT_EQUAL_MESSAGE("registered during it", std::string(), usable());
    registry.Evacuated().Remove("a");
    CPPUNIT_ASSERT(chosen->AcceptsRequests(mNow));
    CPPUNIT_ASSERT_EQUAL(std::string("13"), usable());
  }

private:
  TimePoint mNow{ std::chrono::hours(1) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuatedZonesTest);

} // namespace gentianloom
