#include "support/Fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace gentianloom::testing {

namespace {

constexpr std::int64_t kPrepaid = 6'000;
constexpr std::int64_t kToppedUp = 9'000;
constexpr Millis kSettled{ 20'000 };

/// The example with one small budget, so that it runs out within the test.
std::string Example(std::int64_t aPrepaid)
{
  auto json = Json::parse(ReadBragaExample(), nullptr, true, true);
  for (auto& it : json["budgets"]) {
    it["prepaidTokens"] = aPrepaid;
  }
  return json.dump();
}

} // namespace

/// A partition with a top-up inside it, between real processes; engines' journals are the truth.
class PartitionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PartitionTest);
  CPPUNIT_TEST(TestTopUpInPartition);
  CPPUNIT_TEST_SUITE_END();

  std::set<std::string> mTold; ///< request ids of which a caller was told "done"
  int mTries = 0;
  int mExhausted = 0; ///< refusals for lack of budget

  /// Sends requests in turn to all routers until each refused one, or a bound is reached.
  void Spend(const Fleet& aFleet, int aMost)
  {
    std::set<std::string> refused;
    for (int n = 0; n < aMost && refused.size() < aFleet.Routers().size(); ++n) {
      for (const auto& router : aFleet.Routers()) {
        ChatCall call;
        call.mTokens = 150;
        call.mStream = false;
        const auto id = "partition-" + std::to_string(mTries++);
        call.mHeaders = { { "X-Request-Id", id }, { "Gentianloom-Deadline-Ms", "5000" } };
        const auto answer = CallChat(router.mAddress, call);
        CPPUNIT_ASSERT_MESSAGE(router.mName + " " + std::to_string(answer.mStatus) + " " +
                                 answer.mBody.dump(),
                               answer.mOutcome == "done" || answer.mOutcome == "not-run");
        if (answer.mOutcome == "done") {
          mTold.insert(id);
          continue;
        }
        refused.insert(router.mName);
        mExhausted += answer.mBody["error"].value("code", "") == "budget_exhausted" ? 1 : 0;
      }
    }
  }

  static std::int64_t Ran(const Fleet& aFleet)
  {
    std::int64_t out = 0;
    for (const auto& it : aFleet.JournalEntries()) {
      out += it["prompt_tokens"].get<std::int64_t>() + it["output_tokens"].get<std::int64_t>();
    }
    return out;
  }

  /// What callers were told is what ran: each "done" once, nothing else.
  void CheckJournal(const Fleet& aFleet) const
  {
    std::set<std::string> ran;
    for (const auto& it : aFleet.JournalEntries()) {
      CPPUNIT_ASSERT(ran.insert(it["request_id"].get<std::string>()).second);
    }
    CPPUNIT_ASSERT(ran == mTold);
  }

public:
  void TestTopUpInPartition()
  {
    FleetOptions options;
    options.mRelays = true;
    options.mRouterSettings = R"({ "drain": { "addressLifetimeMs": 0 },
                                   "keyValue": { "timeoutMs": 500 } })";
    const Fleet fleet(options);
    fleet.ApplyEverywhere(Example(kPrepaid));
    Spend(fleet, 3);
    // Router 3 is alone: no key-value service, no peers reach it.
    for (const auto* it : { "relay-key-value-3", "relay-peers-3" }) {
      fleet.SetFaults(it, { { "cutOn", 1 } });
    }
    Spend(fleet, 6);
    CPPUNIT_ASSERT(Ran(fleet) <= kPrepaid);
    fleet.Apply(Example(kToppedUp));
    Spend(fleet, 40);
    CPPUNIT_ASSERT(Ran(fleet) <= kToppedUp);
    for (const auto* it : { "relay-key-value-3", "relay-peers-3" }) {
      fleet.SetFaults(it, { { "cutOn", 0 } });
    }
    const auto inForce = [&] {
      return fleet.GetAdmin("router-3", "/admin/v1/status").value("version", 0) >= 2;
    };
    CPPUNIT_ASSERT_MESSAGE("the top-up did not reach router 3", WaitFor(inForce, kSettled));
    Spend(fleet, 60);
    const auto ran = Ran(fleet);
    CPPUNIT_ASSERT(ran <= kToppedUp);
    // Both sides' rights were sold in the end: what is left is less than one request needs.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(ran) + " ran", ran > kToppedUp - 600);
    CPPUNIT_ASSERT(mExhausted > 0);
    CheckJournal(fleet);
    const auto billed = [&] {
      const auto view = fleet.GetAdmin("router-1", "/admin/v1/budgets/culture-department");
      return view.value("spent", std::int64_t{ 0 }) == ran;
    };
    CPPUNIT_ASSERT_MESSAGE("spend and journals differ", WaitFor(billed, kSettled));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PartitionTest);

} // namespace gentianloom::testing
