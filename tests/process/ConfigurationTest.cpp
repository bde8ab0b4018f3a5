#include "support/Fleet.h"

#include "gentianloom/base/Ids.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <future>

namespace gentianloom::testing {

namespace {

constexpr Millis kInForceTimeout{ 5'000 };
constexpr Millis kRequestTimeout{ 20'000 };

/// Returns the example configuration with another prepaid amount of its first budget.
std::string ConfigurationWithPrepaid(std::int64_t aPrepaid)
{
  auto json = ParseJson(ReadBragaExample(), "braga.json", Step::Settings).value();
  json["budgets"][0]["prepaidTokens"] = aPrepaid;
  return json.dump();
}

struct AdminResponse
{
  int mStatus = 0; ///< 0 without a response
  Json mBody;
};

AdminResponse SendToAdmin(const std::string& aAddress, HttpRequest aRequest)
{
  aRequest.mHeaders.emplace_back("Authorization", "Bearer operator-key");
  const auto response = CallHttp(aAddress, aRequest, kRequestTimeout, Step::ApplicationCommit);
  return response ? AdminResponse{ response.value().mStatus,
                                   Json::parse(response.value().mBody, nullptr, false) }
                  : AdminResponse{};
}

AdminResponse Apply(const std::string& aAddress,
                    const std::string& aText,
                    const std::string& aQuery)
{
  return SendToAdmin(aAddress, { "PUT", "/admin/v1/configuration?" + aQuery, aText });
}

} // namespace

/**
 * Applies and distributes configurations through real processes.
 *
 * Guards against lost or reverted versions when operators race, responses are lost, or the
 * key-value service is unavailable.
 */
class ConfigurationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigurationTest);
  CPPUNIT_TEST(TestConfiguration);
  CPPUNIT_TEST_SUITE_END();

  static bool WaitForVersion(const Fleet& aFleet, std::int64_t aVersion, Millis aTimeout)
  {
    return WaitFor(
      [&] {
        for (const auto& it : aFleet.Routers()) {
          const auto status = aFleet.GetAdmin(it.mName, "/admin/v1/status");
          if (status.value("version", std::int64_t{ 0 }) != aVersion) {
            return false;
          }
        }
        return true;
      },
      aTimeout);
  }

  /// Two operators apply at once: one gets a conflict, with the operator and the difference.
  static void CheckRace(const Fleet& aFleet)
  {
    const auto routers = aFleet.Routers();
    auto pending = std::async(std::launch::async, [&] {
      return Apply(routers[0].mAddress, ConfigurationWithPrepaid(50'000'000), "base=1");
    });
    auto loser = Apply(routers[1].mAddress, ConfigurationWithPrepaid(60'000'000), "base=1");
    auto winner = pending.get();
    if (winner.mStatus != 200) {
      std::swap(winner, loser);
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(winner.mBody.dump(), 200, winner.mStatus);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(loser.mBody.dump(), 409, loser.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("owner"), loser.mBody["inForce"].value("operator", ""));
    CPPUNIT_ASSERT_EQUAL(
      std::string("culture-2026"),
      loser.mBody["yourFileAgainstInForce"]["budgets"]["changed"][0].get<std::string>());
    CPPUNIT_ASSERT(WaitForVersion(aFleet, 2, kInForceTimeout));
  }

  /// Loses responses of the key-value service, among them that of the head. @return last version
  static std::int64_t CheckLostResponse(const Fleet& aFleet)
  {
    std::int64_t version = 0;
    // The number of lost responses varies, so that one of the applies loses that of the head.
    for (int n = 0; n < 4; ++n) {
      aFleet.SetFaults("key-value", { { "loseAnswer", n } });
      const auto file = ConfigurationWithPrepaid(70'000'000 + n);
      const auto response = Apply(aFleet.Routers()[0].mAddress, file, "");
      aFleet.SetFaults("key-value", { { "loseAnswer", 0 } });
      const auto history = aFleet.GetAdmin("router-2", "/admin/v1/configuration/history");
      const auto& newestVersion = history["versions"].back();
      const auto repeated = Apply(aFleet.Routers()[1].mAddress, file, "");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(repeated.mBody.dump(), 200, repeated.mStatus);
      version = repeated.mBody["version"].get<std::int64_t>();
      if (response.mStatus != 200) {
        continue; // not reported as done: the second call applied it or found it applied
      }
      CPPUNIT_ASSERT_EQUAL(newestVersion["version"], response.mBody["version"]);
      CPPUNIT_ASSERT_EQUAL(newestVersion["version"], repeated.mBody["version"]);
      CPPUNIT_ASSERT(!repeated.mBody["changed"].get<bool>());
    }
    return version;
  }

  /// During an outage the version in force stays, and a restarted router gets it from its peers.
  static void CheckOutage(Fleet& aFleet, std::int64_t aVersion)
  {
    CPPUNIT_ASSERT(WaitForVersion(aFleet, aVersion, kInForceTimeout));
    constexpr int kRefusedCalls = 1'000'000;
    aFleet.SetFaults("key-value", { { "refuse", kRefusedCalls } });
    const auto refused = Apply(aFleet.Routers()[0].mAddress, ConfigurationWithPrepaid(1), "");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(refused.mBody.dump(), 503, refused.mStatus);
    aFleet.Signal("router-3", SIGKILL);
    CPPUNIT_ASSERT(aFleet.WaitForExit("router-3", kRequestTimeout));
    aFleet.Restart("router-3");
    const auto status = aFleet.GetAdmin("router-3", "/admin/v1/status");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      status.dump(), aVersion, status.value("version", std::int64_t{ 0 }));
    CPPUNIT_ASSERT(status["provisional"].get<bool>());
    aFleet.SetFaults("key-value", { { "refuse", 0 } });
    const auto response =
      Apply(aFleet.Routers()[2].mAddress, ConfigurationWithPrepaid(80'000'000), "");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(response.mBody.dump(), 200, response.mStatus);
    CPPUNIT_ASSERT_EQUAL(aVersion + 1, response.mBody["version"].get<std::int64_t>());
    CPPUNIT_ASSERT(WaitForVersion(aFleet, aVersion + 1, kRequestTimeout));
  }

  /// A rollback keeps prepaid amounts, and the audit log names the operators.
  static void CheckRollback(const Fleet& aFleet)
  {
    const auto response = SendToAdmin(aFleet.Routers()[1].mAddress,
                                      { "POST", "/admin/v1/configuration/rollback?to=1" });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(response.mBody.dump(), 200, response.mStatus);
    CPPUNIT_ASSERT(!response.mBody["changed"].get<bool>()); // only a prepaid amount differs
    const auto audit = aFleet.GetAdmin("router-1", "/admin/v1/audit");
    CPPUNIT_ASSERT(audit["entries"].size() >= 3);
    CPPUNIT_ASSERT_EQUAL(std::string("owner"), audit["entries"][0].value("operator", ""));
  }

public:
  void TestConfiguration()
  {
    Fleet fleet(FleetOptions{});
    const auto applied =
      Apply(fleet.Routers()[0].mAddress, ConfigurationWithPrepaid(40'000'000), "base=0");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(applied.mBody.dump(), 200, applied.mStatus);
    CPPUNIT_ASSERT(WaitForVersion(fleet, 1, kInForceTimeout));
    CheckRace(fleet);
    const auto version = CheckLostResponse(fleet);
    CheckOutage(fleet, version);
    CheckRollback(fleet);
    const auto chat = CallChat(fleet.Routers()[0].mAddress, {});
    CPPUNIT_ASSERT_EQUAL_MESSAGE(chat.mBody.dump(), 200, chat.mStatus);
    const auto burn = fleet.GetAdmin("router-1", "/admin/v1/report/burn");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      burn.dump(), std::string("culture-department"), burn["rows"][0].value("organisation", ""));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);

} // namespace gentianloom::testing
