#include "support/Fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace gentianloom::testing {

/**
 * Routers roll out model versions to stand-in engines; drafting-1 ignores fencing numbers.
 *
 * Guards against both engines loading at once, a late order that stays in force, and endless tries.
 */
class ControlTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ControlTest);
  CPPUNIT_TEST(TestVersions);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Millis kTimeout{ 60'000 };

  static Json GetFromEngine(const Fleet& aFleet, const std::string& aName, const std::string& aPath)
  {
    const auto response =
      CallHttp(aFleet.Process(aName).mAddress, { "GET", aPath }, Millis(5'000), Step::OrderVerify);
    CPPUNIT_ASSERT(response.has_value());
    return Json::parse(response.value().mBody);
  }

  static bool RunsVersion(const Fleet& aFleet,
                          const std::string& aName,
                          const std::string& aVersion)
  {
    const auto status = GetFromEngine(aFleet, aName, "/control");
    return status.value("version", "") == aVersion && status.value("state", "") == "ready";
  }

  static void Apply(const Fleet& aFleet, const std::string& aVersion)
  {
    auto text = ReadBragaExample();
    text.replace(text.find("2026-05"), std::string("2026-05").size(), aVersion);
    aFleet.ApplyEverywhere(text);
  }

  static void WaitForBoth(const Fleet& aFleet, const std::string& aVersion)
  {
    for (const auto* name : { "drafting-1", "drafting-2" }) {
      CPPUNIT_ASSERT_MESSAGE(
        std::string(name) + " does not load " + aVersion,
        WaitFor([&] { return RunsVersion(aFleet, name, aVersion); }, kTimeout));
    }
  }

  static std::vector<Json> OrdersOf(const Fleet& aFleet,
                                    const std::string& aName,
                                    const std::string& aVersion)
  {
    std::vector<Json> out;
    const auto journal = GetFromEngine(aFleet, aName, "/control/journal");
    for (const auto& it : journal["orders"]) {
      if (it.value("version", "") == aVersion) {
        out.push_back(it);
      }
    }
    return out;
  }

  /// Returns the endpoint from the administration API of its owner, or an empty object.
  static Json FindEndpoint(const Fleet& aFleet, const std::string& aName)
  {
    for (const auto& router : aFleet.Routers()) {
      const auto list = aFleet.GetAdmin(router.mName, "/admin/v1/endpoints");
      for (const auto& it : list.value("endpoints", Json::array())) {
        if (it.value("name", "") == aName && it.contains("condition")) {
          return it;
        }
      }
    }
    return Json::object();
  }

  static bool HasCondition(const Fleet& aFleet,
                           const std::string& aName,
                           const std::string& aCondition)
  {
    return FindEndpoint(aFleet, aName).value("condition", "") == aCondition;
  }

  /// Checks that the engines loaded a version one after the other, with one order each.
  static void CheckRollout(const Fleet& aFleet, const std::string& aVersion)
  {
    const auto first = OrdersOf(aFleet, "drafting-1", aVersion);
    const auto second = OrdersOf(aFleet, "drafting-2", aVersion);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, first.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, second.size());
    const auto begin = [](const Json& it) { return it["startMs"].get<std::int64_t>(); };
    const auto end = [](const Json& it) { return it["endMs"].get<std::int64_t>(); };
    CPPUNIT_ASSERT_MESSAGE("both loaded at the same time",
                           end(first[0]) <= begin(second[0]) || end(second[0]) <= begin(first[0]));
  }

  /// Sends an old order, as a lock holder that was paused past its lease does.
  static void CheckLateOrder(const Fleet& aFleet, const std::string& aVersion)
  {
    const Json order = { { "model", "slides-large" },       { "version", "2026-05" },
                         { "adapters", { "house-style" } }, { "role", "both" },
                         { "configuration_version", 1 },    { "fencing", 1 } };
    for (const auto& [name, status] : { std::pair("drafting-1", 202), { "drafting-2", 409 } }) {
      const auto response = CallHttp(aFleet.Process(name).mAddress,
                                     { "PUT", "/control", order.dump() },
                                     Millis(5'000),
                                     Step::OrderSend);
      CPPUNIT_ASSERT(response.has_value());
      CPPUNIT_ASSERT_EQUAL(status, response.value().mStatus);
    }
    CPPUNIT_ASSERT(!RunsVersion(aFleet, "drafting-1", aVersion));
    WaitForBoth(aFleet, aVersion);
  }

  /// An engine that cannot load gets five orders, then it is stuck until the target changes.
  static void CheckStuck(const Fleet& aFleet)
  {
    aFleet.SetFaults("drafting-2", { { "failLoadOn", 1 } });
    Apply(aFleet, "2026-07");
    CPPUNIT_ASSERT(WaitFor([&] { return HasCondition(aFleet, "drafting-2", "stuck"); }, kTimeout));
    const auto reason = FindEndpoint(aFleet, "drafting-2").value("reason", "");
    CPPUNIT_ASSERT_MESSAGE(reason, reason.find("told to fail") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 5 }, OrdersOf(aFleet, "drafting-2", "2026-07").size());
    aFleet.SetFaults("drafting-2", { { "failLoadOn", 0 } });
    Apply(aFleet, "2026-08");
    WaitForBoth(aFleet, "2026-08");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 5 }, OrdersOf(aFleet, "drafting-2", "2026-07").size());
  }

public:
  void TestVersions()
  {
    const Fleet fleet(FleetOptions{});
    Apply(fleet, "2026-05");
    WaitForBoth(fleet, "2026-05");
    for (const auto* name : { "drafting-1", "drafting-2" }) {
      fleet.SetFaults(name, { { "loadMs", 1'500 } });
    }
    Apply(fleet, "2026-06");
    WaitForBoth(fleet, "2026-06");
    CheckRollout(fleet, "2026-06");
    CPPUNIT_ASSERT(
      WaitFor([&] { return HasCondition(fleet, "drafting-1", "in-force"); }, kTimeout));
    CheckLateOrder(fleet, "2026-06");
    CheckStuck(fleet);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlTest);

} // namespace gentianloom::testing
