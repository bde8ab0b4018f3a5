#include "support/Fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <csignal>
#include <thread>

namespace gentianloom::testing {

namespace {

constexpr std::int64_t kPrepaid = 30'000;
constexpr std::string_view kPrepaidInExample = "40000000";
constexpr int kTokens = 40;
constexpr Millis kProgressTimeout{ 60'000 };

std::string ExampleWithSmallBudget()
{
  auto text = ReadBragaExample();
  const auto at = text.find(kPrepaidInExample);
  CPPUNIT_ASSERT(at != std::string::npos);
  return text.replace(at, kPrepaidInExample.size(), std::to_string(kPrepaid));
}

/// Two callers of each router, which send requests until Stop().
class Callers
{
public:
  explicit Callers(const Fleet& aFleet)
  {
    for (const auto& router : aFleet.Routers()) {
      for (int n = 0; n < 2; ++n) {
        mThreads.emplace_back([this, address = router.mAddress] { Run(address); });
      }
    }
  }

  void Stop()
  {
    mStopped = true;
    for (auto& it : mThreads) {
      it.join();
    }
    mThreads.clear();
  }

  std::atomic<int> mDone{ 0 };
  std::atomic<int> mExhausted{ 0 };

private:
  void Run(const std::string& aAddress)
  {
    ChatCall call;
    call.mTokens = kTokens;
    while (!mStopped) {
      const auto response = CallChat(aAddress, call);
      mDone += response.mOutcome == "done" ? 1 : 0;
      mExhausted += response.mStatus == 402 ? 1 : 0;
    }
  }

  std::atomic<bool> mStopped{ false };
  std::vector<std::thread> mThreads;
};

} // namespace

/**
 * Routers crash, freeze and lose the key-value service while callers use up a budget.
 *
 * Guards against overspend: by the engines' journals, no more tokens run than are prepaid.
 */
class BudgetCrashTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BudgetCrashTest);
  CPPUNIT_TEST(TestCrashFreezeOutage);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestCrashFreezeOutage()
  {
    FleetOptions options;
    options.mRouterSettings =
      R"({ "budget": { "policy": "fixed", "fixedTokens": 2000, "commitIntervalMs": 200 } })";
    const Fleet fleet(options);
    fleet.ApplyEverywhere(ExampleWithSmallBudget());
    Callers callers(fleet);
    const auto waitForMore = [&callers](int aCount) {
      const auto until = callers.mDone + aCount;
      CPPUNIT_ASSERT(WaitFor([&] { return callers.mDone >= until; }, kProgressTimeout));
    };
    waitForMore(20);
    fleet.Signal("router-3", SIGKILL); // with open streams
    waitForMore(10);
    fleet.Signal("router-2", SIGSTOP);
    fleet.SetFaults("key-value", { { "loseAnswer", 3 } });
    waitForMore(10);
    fleet.Signal("router-2", SIGCONT);
    fleet.SetFaults("key-value", { { "stallOn", 1 } });
    waitForMore(5); // served from the grants that the routers hold
    fleet.SetFaults("key-value", { { "stallOn", 0 } });
    CPPUNIT_ASSERT(WaitFor([&] { return callers.mExhausted >= 5; }, kProgressTimeout));
    callers.Stop();
    CheckTokens(fleet);
  }

private:
  static void CheckTokens(const Fleet& aFleet)
  {
    std::int64_t ranTokens = 0;
    for (const auto& it : aFleet.JournalEntries()) {
      ranTokens +=
        it["prompt_tokens"].get<std::int64_t>() + it["output_tokens"].get<std::int64_t>();
    }
    CPPUNIT_ASSERT_MESSAGE("engines ran " + std::to_string(ranTokens), ranTokens <= kPrepaid);
    Json budget;
    const auto isConsistent = [&] {
      const auto report = aFleet.GetAdmin("router-1", "/admin/v1/usage");
      budget = report;
      for (const auto& it : report.value("budgets", Json::array())) {
        budget = it["budget"] == "culture-2026" ? it : budget;
      }
      if (!budget.contains("usage")) {
        return false;
      }
      std::int64_t usedTokens = 0;
      for (const auto& it : budget["usage"]) {
        usedTokens += it["tokens"].get<std::int64_t>();
      }
      const auto readTokens = [&budget](const char* aName) {
        return budget[aName].get<std::int64_t>();
      };
      const auto sum =
        readTokens("spent") + readTokens("held") + readTokens("in_doubt") + readTokens("left");
      // Tokens that the killed router used and did not report count as held or in doubt.
      return usedTokens == readTokens("spent") && sum == kPrepaid &&
             readTokens("spent") <= ranTokens &&
             ranTokens <= readTokens("spent") + readTokens("held") + readTokens("in_doubt");
    };
    const bool becameConsistent = WaitFor(isConsistent, Millis(15'000));
    CPPUNIT_ASSERT_MESSAGE("ran " + std::to_string(ranTokens) + ", " + budget.dump(),
                           becameConsistent);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BudgetCrashTest);

} // namespace gentianloom::testing
