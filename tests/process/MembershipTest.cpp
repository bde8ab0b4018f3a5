#include "support/Fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <csignal>

namespace gentianloom::testing {

/**
 * Routers of a real fleet detect that another one is dead, leaving or paused.
 *
 * Guards against entry points that list a router which cannot serve, or lack one which can.
 */
class MembershipTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(TestKilled);
  CPPUNIT_TEST(TestLeaving);
  CPPUNIT_TEST(TestFrozen);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<std::string> EntryPoints(const std::string& aRouter)
  {
    const auto response =
      CallHttp(aRouter, { "GET", "/v1/entry-points" }, Millis(5'000), Step::Settings);
    CPPUNIT_ASSERT(response.has_value());
    const auto json = Json::parse(response.value().mBody);
    CPPUNIT_ASSERT(json["lifetime_ms"].get<std::int64_t>() > 0);
    return json["addresses"].get<std::vector<std::string>>();
  }

  static bool IsOffered(const std::string& aRouter, const std::string& aAddress)
  {
    const auto addresses = EntryPoints(aRouter);
    return std::find(addresses.begin(), addresses.end(), aAddress) != addresses.end();
  }

  /// Waits until the entry points of the first two routers do or do not list the third one.
  static void WaitUntilOffered(const Fleet& aFleet, bool aOffered, Millis aTimeout)
  {
    const auto third = aFleet.Process("router-3").mAddress;
    for (const auto* name : { "router-1", "router-2" }) {
      const auto address = aFleet.Process(name).mAddress;
      CPPUNIT_ASSERT_MESSAGE(
        name, WaitFor([&] { return IsOffered(address, third) == aOffered; }, aTimeout));
      CPPUNIT_ASSERT(IsOffered(address, address));
    }
  }

public:
  void TestKilled()
  {
    const Fleet fleet(FleetOptions{});
    WaitUntilOffered(fleet, true, Millis(20'000));
    fleet.Signal("router-3", SIGKILL);
    WaitUntilOffered(fleet, false, Millis(19'000));
  }

  void TestLeaving()
  {
    const Fleet fleet(FleetOptions{});
    WaitUntilOffered(fleet, true, Millis(20'000));
    const auto third = fleet.Process("router-3").mAddress;
    fleet.Signal("router-3", SIGTERM);
    WaitUntilOffered(
      fleet, false, Millis(2'000)); // well before the drain's address lifetime is over
    CPPUNIT_ASSERT_MESSAGE("the leaving router does not list exactly the other two",
                           EntryPoints(third).size() == 2 && !IsOffered(third, third));
  }

  void TestFrozen()
  {
    const Fleet fleet(FleetOptions{});
    WaitUntilOffered(fleet, true, Millis(20'000));
    fleet.Signal("router-3", SIGSTOP);
    WaitUntilOffered(fleet, false, Millis(19'000));
    fleet.Signal("router-3", SIGCONT);
    WaitUntilOffered(fleet, true, Millis(30'000));
    const auto third = fleet.Process("router-3").mAddress;
    const bool knowsAll = WaitFor([&] { return EntryPoints(third).size() == 3; }, Millis(30'000));
    CPPUNIT_ASSERT_MESSAGE("the resumed router considers the others dead after its own pause",
                           knowsAll);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

} // namespace gentianloom::testing
