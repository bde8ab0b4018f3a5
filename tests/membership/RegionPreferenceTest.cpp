#include "gentianloom/membership/RegionPreference.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace gentianloom {

class RegionPreferenceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RegionPreferenceTest);
  CPPUNIT_TEST(TestChoose);
  CPPUNIT_TEST_SUITE_END();

public:
  // Callers were given instances of other regions, which may not read the bodies of their requests,
  // or got addresses far away although their own region has some.
  void TestChoose()
  {
    using List = std::vector<std::string>;
    using Table = std::map<std::string, std::string, std::less<>>;
    const Table several{
      { "n1", "north" }, { "n2", "north" }, { "s1", "south" }, { "w1", "west" }
    };
    const Table one{ { "n1", "north" }, { "n2", "north" } };
    struct Row
    {
      std::string mName;
      Table mRegions;
      std::string mZones; ///< of the instances, which are named 0, 1 and so on
      std::string mCallerRegion;
      std::string mCallerZone;
      AllowedRegions mAllowed;
      std::string mExpected;
    };
    const Row rows[] = {
      { "own zone", several, "n1 n1 n2 s1", "north", "n1", std::nullopt, "01" },
      { "one of the own zone is too few", several, "n1 n2 n2 s1", "north", "n1", {}, "012" },
      { "own region", several, "n2 s1 w1", "north", "n1", std::nullopt, "0" },
      { "allowed regions", several, "s1 w1 n1", "east", "e1", List{ "south", "north" }, "02" },
      { "own region is not allowed", several, "n1 s1 w1", "north", "n1", List{ "west" }, "0" },
      { "neither", several, "s1 w1", "north", "n1", List{ "west" }, "1" },
      { "nothing would be left", several, "s1 s1 w1", "north", "n1", List{ "east" }, "012" },
      { "no region is allowed", several, "n1 s1", "", "", List{}, "01" },
      { "unknown caller", several, "n1 s1", "", "x", std::nullopt, "01" },
      { "unknown caller, restricted host", several, "n1 s1 x", "", "x", List{ "north" }, "0" },
      { "zone that is not in the table", several, "x x n1 n1", "", "x", std::nullopt, "01" },
      { "the same, restricted", several, "x x n1 s1", "", "x", List{ "north" }, "2" },
      { "one region", one, "n1 n1 n2", "north", "n1", List{ "south" }, "01" },
      { "one region, one of the zone", one, "n1 n2 n2", "north", "n1", List{ "south" }, "012" },
      { "no table", {}, "n1 n1 s1", "north", "n1", List{ "south" }, "01" },
    };
    for (const auto& row : rows) {
      std::vector<InstanceRecord> records;
      std::string zone;
      for (const char it : row.mZones + " ") {
        if (it != ' ') {
          zone += it;
          continue;
        }
        const auto name = std::to_string(records.size());
        records.push_back({ name, "run", zone, name + ":1", name + ":2", false });
        zone.clear();
      }
      std::vector<const InstanceRecord*> all;
      all.reserve(records.size());
      for (const auto& it : records) {
        all.push_back(&it);
      }
      const RegionPreference preference{ ZoneRegions(row.mRegions),
                                         row.mCallerRegion,
                                         row.mAllowed };
      std::string chosen;
      for (const auto* it : preference.Choose(all, row.mCallerZone)) {
        chosen += it->mName;
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mExpected, chosen);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegionPreferenceTest);

} // namespace gentianloom
