#include "gentianloom/routing/ZoneRegions.h"

#include "gentianloom/routing/EndpointRegistry.h"
#include "gentianloom/routing/RouteTable.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace gentianloom {

class ZoneRegionsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ZoneRegionsTest);
  CPPUNIT_TEST(TestAllowedEndpoints);
  CPPUNIT_TEST(TestRegionsOfHost);
  CPPUNIT_TEST_SUITE_END();

public:
  // Requests whose data must stay in a region went to endpoints of all regions.
  void TestAllowedEndpoints()
  {
    struct Row
    {
      std::string mName;
      AllowedRegions mRoute;
      AllowedRegions mOrganisation;
      std::string mExpected; ///< endpoints, by id
    };
    using List = std::vector<std::string>;
    const Row rows[] = {
      { "no restriction", std::nullopt, std::nullopt, "123456" },
      { "route", List{ "north" }, std::nullopt, "123" },
      { "organisation", std::nullopt, List{ "south" }, "4" },
      { "both", List{ "north", "south" }, List{ "south", "west" }, "4" },
      { "both, nothing in common", List{ "north" }, List{ "south" }, "" },
      { "a region without zones", List{ "west" }, std::nullopt, "" },
      { "no region", List{}, std::nullopt, "" },
      { "a zone that is not known is in no region", List{ "" }, std::nullopt, "" },
    };
    EndpointRegistry registry;
    const std::string zones[] = { "n1", "n1", "n2", "s1", "unknown", "" };
    for (int n = 0; const auto& it : zones) {
      EndpointEntry entry;
      entry.mId = std::to_string(++n);
      entry.mService = "pool";
      entry.mZone = it;
      registry.Put(entry, mNow);
    }
    for (const auto& row : rows) {
      const auto allowed = mRegions.ZonesIn(Intersect(row.mRoute, row.mOrganisation));
      std::string usable;
      for (const auto& it : registry.UsableEndpoints("pool", mNow, std::nullopt, allowed)) {
        usable += it->mEntry.mId;
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mExpected, usable);
    }
    // An entry that may have expired is used if no other one is allowed.
    registry.Remove("4", /*aAfterOutage=*/true, mNow);
    const auto south = mRegions.ZonesIn(List{ "south" });
    const auto usable = registry.UsableEndpoints("pool", mNow, std::nullopt, south);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, usable.size());
    usable.front()->mHold.Begin(Millis(500), mNow, 0);
    CPPUNIT_ASSERT_MESSAGE("endpoints that are not allowed would take requests",
                           registry.TimeUntilPauseEnds("pool", mNow, south) == Micros(Millis(500)));
  }

  // Callers of a host may be sent only to instances that all of its routes allow.
  void TestRegionsOfHost()
  {
    RoutingConfiguration configuration;
    const auto add = [&](const std::string& aHost, const std::string& aPrefix, AllowedRegions aIn) {
      Route route;
      route.mHost = aHost;
      route.mPrefix = aPrefix;
      route.mAllowedRegions = std::move(aIn);
      configuration.mRoutes.push_back(std::move(route));
    };
    using List = std::vector<std::string>;
    add("h", "/a/", List{ "north", "south" });
    add("h", "/b/", std::nullopt);
    add("h", "/c/", List{ "south", "west" });
    add("free", "/", std::nullopt);
    const auto table = RouteTable::Create(std::move(configuration));
    CPPUNIT_ASSERT(table->RegionsOf("h") == List{ "south" });
    CPPUNIT_ASSERT(!table->RegionsOf("free"));
    CPPUNIT_ASSERT(!table->RegionsOf("unknown"));
    CPPUNIT_ASSERT(mRegions.HasSeveralRegions() && !ZoneRegions().HasSeveralRegions());
  }

private:
  TimePoint mNow{ std::chrono::hours(1) };
  ZoneRegions mRegions{ { { "n1", "north" }, { "n2", "north" }, { "s1", "south" } } };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneRegionsTest);

} // namespace gentianloom
