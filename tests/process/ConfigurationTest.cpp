#include "support/Fleet.h"

#include "gentianloom/base/Ids.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <future>

namespace gentianloom::testing {

namespace {

constexpr Millis kInForceLimit{ 5'000 };
constexpr Millis kRequestTimeout{ 20'000 };

/// The example with another prepaid figure of one budget.
std::string FileWith(std::int64_t aPrepaid)
{
  auto json = ParseJson(ReadBragaExample(), "braga.json", Step::Settings).value();
  json["budgets"][0]["prepaidTokens"] = aPrepaid;
  return json.dump();
}

struct AdminAnswer
{
  int mStatus = 0; ///< 0: none
  Json mBody;
};

AdminAnswer Send(const std::string& aAddress, HttpRequest aRequest)
{
  aRequest.mHeaders.emplace_back("Authorization", "Bearer operator-key");
  const auto answer = CallHttp(aAddress, aRequest, kRequestTimeout, Step::ApplicationCommit);
  return answer ? AdminAnswer{ answer.value().mStatus,
                               Json::parse(answer.value().mBody, nullptr, false) }
                : AdminAnswer{};
}

AdminAnswer Apply(const std::string& aAddress, const std::string& aText, const std::string& aQuery)
{
  return Send(aAddress, { "PUT", "/admin/v1/configuration?" + aQuery, aText });
}

} // namespace

/// Applying and spreading a configuration through real processes.
class ConfigurationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigurationTest);
  CPPUNIT_TEST(TestConfiguration);
  CPPUNIT_TEST_SUITE_END();

  static bool InForce(const Fleet& aFleet, std::int64_t aVersion, Millis aLimit)
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
      aLimit);
  }

  /// Two operators apply at once: one wins, and the other is told by whom and what differs.
  static void CheckRace(const Fleet& aFleet)
  {
    const auto routers = aFleet.Routers();
    auto left = std::async(std::launch::async, [&] {
      return Apply(routers[0].mAddress, FileWith(50'000'000), "base=1");
    });
    auto right = Apply(routers[1].mAddress, FileWith(60'000'000), "base=1");
    auto first = left.get();
    if (first.mStatus != 200) {
      std::swap(first, right);
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(first.mBody.dump(), 200, first.mStatus);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(right.mBody.dump(), 409, right.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("owner"), right.mBody["inForce"].value("operator", ""));
    CPPUNIT_ASSERT_EQUAL(
      std::string("culture-2026"),
      right.mBody["yourFileAgainstInForce"]["budgets"]["changed"][0].get<std::string>());
    CPPUNIT_ASSERT(InForce(aFleet, 2, kInForceLimit));
  }

  /// The answer to the write of the head is lost after it took effect. @return last version
  static std::int64_t CheckLostAnswer(const Fleet& aFleet)
  {
    std::int64_t version = 0;
    // Of the calls of one apply, some lose their answers, so the head's is lost in one of them.
    for (int n = 0; n < 4; ++n) {
      aFleet.SetFaults("key-value", { { "loseAnswer", n } });
      const auto file = FileWith(70'000'000 + n);
      const auto answer = Apply(aFleet.Routers()[0].mAddress, file, "");
      aFleet.SetFaults("key-value", { { "loseAnswer", 0 } });
      const auto history = aFleet.GetAdmin("router-2", "/admin/v1/configuration/history");
      const auto& last = history["versions"].back();
      const auto again = Apply(aFleet.Routers()[1].mAddress, file, "");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(again.mBody.dump(), 200, again.mStatus);
      version = again.mBody["version"].get<std::int64_t>();
      if (answer.mStatus != 200) {
        continue; // told as not done: the second order did it, or found it done
      }
      CPPUNIT_ASSERT_EQUAL(last["version"], answer.mBody["version"]);
      CPPUNIT_ASSERT_EQUAL(last["version"], again.mBody["version"]);
      CPPUNIT_ASSERT(!again.mBody["changed"].get<bool>());
    }
    return version;
  }

  /// The key-value service is away: what is in force stays, and a restarted router asks peers.
  static void CheckOutage(Fleet& aFleet, std::int64_t aVersion)
  {
    CPPUNIT_ASSERT(InForce(aFleet, aVersion, kInForceLimit));
    constexpr int kManyCalls = 1'000'000;
    aFleet.SetFaults("key-value", { { "refuse", kManyCalls } });
    const auto refused = Apply(aFleet.Routers()[0].mAddress, FileWith(1), "");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(refused.mBody.dump(), 503, refused.mStatus);
    aFleet.Signal("router-3", SIGKILL);
    CPPUNIT_ASSERT(aFleet.WaitForExit("router-3", kRequestTimeout));
    aFleet.Restart("router-3");
    const auto status = aFleet.GetAdmin("router-3", "/admin/v1/status");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      status.dump(), aVersion, status.value("version", std::int64_t{ 0 }));
    CPPUNIT_ASSERT(status["provisional"].get<bool>());
    aFleet.SetFaults("key-value", { { "refuse", 0 } });
    const auto answer = Apply(aFleet.Routers()[2].mAddress, FileWith(80'000'000), "");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.mBody.dump(), 200, answer.mStatus);
    CPPUNIT_ASSERT_EQUAL(aVersion + 1, answer.mBody["version"].get<std::int64_t>());
    CPPUNIT_ASSERT(InForce(aFleet, aVersion + 1, kRequestTimeout));
  }

  /// A rollback is a new version that keeps payments, and the audit trail names who did it.
  static void CheckRollback(const Fleet& aFleet)
  {
    const auto answer =
      Send(aFleet.Routers()[1].mAddress, { "POST", "/admin/v1/configuration/rollback?to=1" });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.mBody.dump(), 200, answer.mStatus);
    CPPUNIT_ASSERT(!answer.mBody["changed"].get<bool>()); // only a payment differs, which stays
    const auto audit = aFleet.GetAdmin("router-1", "/admin/v1/audit");
    CPPUNIT_ASSERT(audit["entries"].size() >= 3);
    CPPUNIT_ASSERT_EQUAL(std::string("owner"), audit["entries"][0].value("operator", ""));
  }

public:
  void TestConfiguration()
  {
    Fleet fleet(FleetOptions{});
    const auto first = Apply(fleet.Routers()[0].mAddress, FileWith(40'000'000), "base=0");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(first.mBody.dump(), 200, first.mStatus);
    CPPUNIT_ASSERT(InForce(fleet, 1, kInForceLimit));
    CheckRace(fleet);
    const auto version = CheckLostAnswer(fleet);
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
