#include "support/Fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace gentianloom::testing {

namespace {

constexpr std::int64_t kPrepaid = 6'000;
constexpr std::int64_t kToppedUp = 9'000;
constexpr Millis kSettleTimeout{ 20'000 };

/// Returns the example configuration with small budgets, which run out during the test.
std::string ExampleWithPrepaid(std::int64_t aPrepaid)
{
  auto json = Json::parse(ReadBragaExample(), nullptr, true, true);
  for (auto& it : json["budgets"]) {
    it["prepaidTokens"] = aPrepaid;
  }
  return json.dump();
}

} // namespace

/**
 * A router is cut off from the key-value service and its peers, and the budget is topped up
 * meanwhile.
 *
 * Guards against overspend on either side, by the engines' journals, and against tokens that can no
 * longer be spent after the partition.
 */
class PartitionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PartitionTest);
  CPPUNIT_TEST(TestTopUpInPartition);
  CPPUNIT_TEST_SUITE_END();

  std::set<std::string> mDoneIds; ///< ids of the requests that were reported as done
  int mRequestCount = 0;
  int mExhaustedCount = 0; ///< number of refusals because the budget was exhausted

  /// Sends requests to all routers in turn, until each has refused one or aMaxRounds is reached.
  void Spend(const Fleet& aFleet, int aMaxRounds)
  {
    std::set<std::string> refused;
    for (int n = 0; n < aMaxRounds && refused.size() < aFleet.Routers().size(); ++n) {
      for (const auto& router : aFleet.Routers()) {
        ChatCall call;
        call.mTokens = 150;
        call.mStream = false;
        const auto id = "partition-" + std::to_string(mRequestCount++);
        call.mHeaders = { { "X-Request-Id", id }, { "Gentianloom-Deadline-Ms", "5000" } };
        const auto response = CallChat(router.mAddress, call);
        CPPUNIT_ASSERT_MESSAGE(router.mName + " " + std::to_string(response.mStatus) + " " +
                                 response.mBody.dump(),
                               response.mOutcome == "done" || response.mOutcome == "not-run");
        if (response.mOutcome == "done") {
          mDoneIds.insert(id);
          continue;
        }
        refused.insert(router.mName);
        mExhaustedCount += response.mBody["error"].value("code", "") == "budget_exhausted" ? 1 : 0;
      }
    }
  }

  static std::int64_t RanTokens(const Fleet& aFleet)
  {
    std::int64_t out = 0;
    for (const auto& it : aFleet.JournalEntries()) {
      out += it["prompt_tokens"].get<std::int64_t>() + it["output_tokens"].get<std::int64_t>();
    }
    return out;
  }

  /// Checks that exactly the requests reported as done ran, each once.
  void CheckJournal(const Fleet& aFleet) const
  {
    std::set<std::string> ran;
    for (const auto& it : aFleet.JournalEntries()) {
      CPPUNIT_ASSERT(ran.insert(it["request_id"].get<std::string>()).second);
    }
    CPPUNIT_ASSERT(ran == mDoneIds);
  }

public:
  void TestTopUpInPartition()
  {
    FleetOptions options;
    options.mRelays = true;
    options.mRouterSettings = R"({ "drain": { "addressLifetimeMs": 0 },
                                   "keyValue": { "timeoutMs": 500 } })";
    const Fleet fleet(options);
    fleet.ApplyEverywhere(ExampleWithPrepaid(kPrepaid));
    Spend(fleet, 3);
    // Cuts router 3 off from the key-value service and its peers.
    for (const auto* it : { "relay-key-value-3", "relay-peers-3" }) {
      fleet.SetFaults(it, { { "cutOn", 1 } });
    }
    Spend(fleet, 6);
    CPPUNIT_ASSERT(RanTokens(fleet) <= kPrepaid);
    fleet.Apply(ExampleWithPrepaid(kToppedUp));
    Spend(fleet, 40);
    CPPUNIT_ASSERT(RanTokens(fleet) <= kToppedUp);
    for (const auto* it : { "relay-key-value-3", "relay-peers-3" }) {
      fleet.SetFaults(it, { { "cutOn", 0 } });
    }
    const auto inForce = [&] {
      return fleet.GetAdmin("router-3", "/admin/v1/status").value("version", 0) >= 2;
    };
    CPPUNIT_ASSERT_MESSAGE("the top-up did not reach router 3", WaitFor(inForce, kSettleTimeout));
    Spend(fleet, 60);
    const auto ran = RanTokens(fleet);
    CPPUNIT_ASSERT(ran <= kToppedUp);
    // The grants of both sides were used up: less is left than one request needs.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(ran) + " ran", ran > kToppedUp - 600);
    CPPUNIT_ASSERT(mExhaustedCount > 0);
    CheckJournal(fleet);
    const auto billed = [&] {
      const auto view = fleet.GetAdmin("router-1", "/admin/v1/budgets/culture-department");
      return view.value("spent", std::int64_t{ 0 }) == ran;
    };
    CPPUNIT_ASSERT_MESSAGE("the spend differs from the journals", WaitFor(billed, kSettleTimeout));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PartitionTest);

} // namespace gentianloom::testing
