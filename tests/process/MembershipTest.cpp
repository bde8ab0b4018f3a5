#include "support/Fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <csignal>

namespace gentianloom::testing {

/// Routers of a real fleet notice who is dead, leaving or paused, and callers are told so.
class MembershipTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(TestKilled);
  CPPUNIT_TEST(TestLeaving);
  CPPUNIT_TEST(TestFrozen);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<std::string> EntryPoints(const std::string& aRouter)
  {
    const auto answer =
      CallHttp(aRouter, { "GET", "/v1/entry-points" }, Millis(5'000), Step::Settings);
    CPPUNIT_ASSERT(answer.has_value());
    const auto json = Json::parse(answer.value().mBody);
    CPPUNIT_ASSERT(json["lifetime_ms"].get<std::int64_t>() > 0);
    return json["addresses"].get<std::vector<std::string>>();
  }

  static bool Offers(const std::string& aRouter, const std::string& aAddress)
  {
    const auto all = EntryPoints(aRouter);
    return std::find(all.begin(), all.end(), aAddress) != all.end();
  }

  /// Waits until the first two routers offer the third one or not.
  static void Await(const Fleet& aFleet, bool aOffered, Millis aTimeout)
  {
    const auto third = aFleet.Process("router-3").mAddress;
    for (const auto* name : { "router-1", "router-2" }) {
      const auto address = aFleet.Process(name).mAddress;
      CPPUNIT_ASSERT_MESSAGE(name,
                             WaitFor([&] { return Offers(address, third) == aOffered; }, aTimeout));
      CPPUNIT_ASSERT(Offers(address, address));
    }
  }

public:
  void TestKilled()
  {
    const Fleet fleet(FleetOptions{});
    Await(fleet, true, Millis(20'000));
    fleet.Signal("router-3", SIGKILL);
    Await(fleet, false, Millis(19'000));
  }

  void TestLeaving()
  {
    const Fleet fleet(FleetOptions{});
    Await(fleet, true, Millis(20'000));
    const auto third = fleet.Process("router-3").mAddress;
    fleet.Signal("router-3", SIGTERM);
    Await(fleet, false, Millis(2'000)); // well before the drain's address lifetime is over
    CPPUNIT_ASSERT_MESSAGE("still serves, and offers the others",
                           EntryPoints(third).size() == 2 && !Offers(third, third));
  }

  void TestFrozen()
  {
    const Fleet fleet(FleetOptions{});
    Await(fleet, true, Millis(20'000));
    fleet.Signal("router-3", SIGSTOP);
    Await(fleet, false, Millis(19'000));
    fleet.Signal("router-3", SIGCONT);
    Await(fleet, true, Millis(30'000));
    const auto third = fleet.Process("router-3").mAddress;
    const bool all = WaitFor([&] { return EntryPoints(third).size() == 3; }, Millis(30'000));
    CPPUNIT_ASSERT_MESSAGE("the resumed router blames the others for its own pause", all);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

} // namespace gentianloom::testing
