#include "support/Fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace gentianloom::testing {

/// What is stated comes to run on real stand-ins of engines; drafting-1 ignores fencing numbers.
class ControlTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ControlTest);
  CPPUNIT_TEST(TestVersions);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Millis kTimeout{ 60'000 };

  static Json Engine(const Fleet& aFleet, const std::string& aName, const std::string& aPath)
  {
    const auto answer =
      CallHttp(aFleet.Process(aName).mAddress, { "GET", aPath }, Millis(5'000), Step::OrderVerify);
    CPPUNIT_ASSERT(answer.has_value());
    return Json::parse(answer.value().mBody);
  }

  static bool Runs(const Fleet& aFleet, const std::string& aName, const std::string& aVersion)
  {
    const auto status = Engine(aFleet, aName, "/control");
    return status.value("version", "") == aVersion && status.value("state", "") == "ready";
  }

  static void Apply(const Fleet& aFleet, const std::string& aVersion)
  {
    auto text = ReadBragaExample();
    text.replace(text.find("2026-05"), std::string("2026-05").size(), aVersion);
    aFleet.ApplyEverywhere(text);
  }

  static void AwaitBoth(const Fleet& aFleet, const std::string& aVersion)
  {
    for (const auto* name : { "drafting-1", "drafting-2" }) {
      CPPUNIT_ASSERT_MESSAGE(std::string(name) + " does not come to " + aVersion,
                             WaitFor([&] { return Runs(aFleet, name, aVersion); }, kTimeout));
    }
  }

  static std::vector<Json> Orders(const Fleet& aFleet,
                                  const std::string& aName,
                                  const std::string& aVersion)
  {
    std::vector<Json> out;
    const auto journal = Engine(aFleet, aName, "/control/journal");
    for (const auto& it : journal["orders"]) {
      if (it.value("version", "") == aVersion) {
        out.push_back(it);
      }
    }
    return out;
  }

  /// The endpoint as its owner shows it to operators.
  static Json Shown(const Fleet& aFleet, const std::string& aName)
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

  static bool IsShown(const Fleet& aFleet, const std::string& aName, const std::string& aCondition)
  {
    return Shown(aFleet, aName).value("condition", "") == aCondition;
  }

  /// One endpoint at a time, each by one order.
  static void CheckRollout(const Fleet& aFleet, const std::string& aVersion)
  {
    const auto first = Orders(aFleet, "drafting-1", aVersion);
    const auto second = Orders(aFleet, "drafting-2", aVersion);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, first.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, second.size());
    const auto begin = [](const Json& it) { return it["startMs"].get<std::int64_t>(); };
    const auto end = [](const Json& it) { return it["endMs"].get<std::int64_t>(); };
    CPPUNIT_ASSERT_MESSAGE("both loaded at the same time",
                           end(first[0]) <= begin(second[0]) || end(second[0]) <= begin(first[0]));
  }

  /// An order of a holder that was paused past its lease arrives late.
  static void CheckLateOrder(const Fleet& aFleet, const std::string& aVersion)
  {
    const Json order = { { "model", "slides-large" },       { "version", "2026-05" },
                         { "adapters", { "house-style" } }, { "role", "both" },
                         { "configuration_version", 1 },    { "fencing", 1 } };
    for (const auto& [name, status] : { std::pair("drafting-1", 202), { "drafting-2", 409 } }) {
      const auto answer = CallHttp(aFleet.Process(name).mAddress,
                                   { "PUT", "/control", order.dump() },
                                   Millis(5'000),
                                   Step::OrderSend);
      CPPUNIT_ASSERT(answer.has_value());
      CPPUNIT_ASSERT_EQUAL(status, answer.value().mStatus);
    }
    CPPUNIT_ASSERT(!Runs(aFleet, "drafting-1", aVersion));
    AwaitBoth(aFleet, aVersion);
  }

  /// An engine that cannot load is tried a few times, then shown as stuck until something changes.
  static void CheckStuck(const Fleet& aFleet)
  {
    aFleet.SetFaults("drafting-2", { { "failLoadOn", 1 } });
    Apply(aFleet, "2026-07");
    CPPUNIT_ASSERT(WaitFor([&] { return IsShown(aFleet, "drafting-2", "stuck"); }, kTimeout));
    const auto reason = Shown(aFleet, "drafting-2").value("reason", "");
    CPPUNIT_ASSERT_MESSAGE(reason, reason.find("told to fail") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 5 }, Orders(aFleet, "drafting-2", "2026-07").size());
    aFleet.SetFaults("drafting-2", { { "failLoadOn", 0 } });
    Apply(aFleet, "2026-08");
    AwaitBoth(aFleet, "2026-08");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 5 }, Orders(aFleet, "drafting-2", "2026-07").size());
  }

public:
  void TestVersions()
  {
    const Fleet fleet(FleetOptions{});
    Apply(fleet, "2026-05");
    AwaitBoth(fleet, "2026-05");
    for (const auto* name : { "drafting-1", "drafting-2" }) {
      fleet.SetFaults(name, { { "loadMs", 1'500 } });
    }
    Apply(fleet, "2026-06");
    AwaitBoth(fleet, "2026-06");
    CheckRollout(fleet, "2026-06");
    CPPUNIT_ASSERT(WaitFor([&] { return IsShown(fleet, "drafting-1", "in-force"); }, kTimeout));
    CheckLateOrder(fleet, "2026-06");
    CheckStuck(fleet);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlTest);

} // namespace gentianloom::testing
