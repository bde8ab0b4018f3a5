#include "gentianloom/routing/RouteTable.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

namespace gentianloom {

class RouteTableTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RouteTableTest);
  CPPUNIT_TEST(TestFind);
  CPPUNIT_TEST(TestAccounts);
  CPPUNIT_TEST(TestWeights);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestFind()
  {
    RoutingConfiguration configuration;
    for (const auto& [host, prefix] : { std::pair{ "h", "/a/" }, { "h", "/a/b/" }, { "i", "/" } }) {
      Route route;
      route.mName = std::string(host) + prefix;
      route.mHost = host;
      route.mPrefix = prefix;
      configuration.mRoutes.push_back(route);
    }
    const auto table = RouteTable::Create(configuration);
    struct Row
    {
      std::string mHost;
      std::string mPath;
      std::string mRoute; // empty: none
    };
    const Row rows[] = { { "h", "/a/x", "h/a/" },  { "h", "/a/b/x", "h/a/b/" },
                         { "h", "/a/bc", "h/a/" }, { "h", "/a", "" },
                         { "h", "/ab/x", "" },     { "i", "/any/thing", "i/" },
                         { "j", "/a/x", "" },      { "h", "/a/b/c/d/e", "h/a/b/" } };
    for (const auto& row : rows) {
      const auto* route = table->Find(row.mHost, row.mPath);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mHost + row.mPath, row.mRoute, route == nullptr ? std::string() : route->mName);
    }
  }

  void TestAccounts()
  {
    RoutingConfiguration configuration;
    // Organisation "one" has prepaid 100 tokens.
    configuration.mAccounts = { { "one", 100 }, { "two", std::nullopt } };
    // API keys with indexes of mAccounts.
    configuration.mAccountByKey = { { "k1", 0 }, { "k2", 1 }, { "k3", 0 } };
    const auto table = RouteTable::Create(configuration);
    CPPUNIT_ASSERT_EQUAL(std::string("one"), table->AccountByKey("k3")->mName);
    CPPUNIT_ASSERT_EQUAL(std::string("two"), table->AccountByKey("k2")->mName);
    CPPUNIT_ASSERT(table->AccountByKey("k4") == nullptr);
    CPPUNIT_ASSERT(table->AccountByKey("") == nullptr);
    CPPUNIT_ASSERT(table->PrepaidOrganisations() == std::vector<std::string>{ "one" });
  }

  void TestWeights()
  {
    Route route;
    route.mServices = { { "a", 90 }, { "b", 10 }, { "c", 0 } };
    std::map<std::string, int> chosen;
    for (std::uint64_t draw = 0; draw < 1'000; ++draw) {
      ++chosen[RouteTable::ChooseService(route, draw)];
    }
    CPPUNIT_ASSERT_EQUAL(900, chosen["a"]);
    CPPUNIT_ASSERT_EQUAL(100, chosen["b"]);
    CPPUNIT_ASSERT_EQUAL(0, chosen["c"]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);

} // namespace gentianloom
