#include "support/Fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <csignal>
#include <thread>

namespace gentianloom::testing {

namespace {

constexpr std::int64_t kPrepaid = 30'000;
constexpr std::string_view kStatedPrepaid = "40000000";
constexpr int kTokens = 40;
constexpr Millis kPatience{ 60'000 };

std::string SmallBudget()
{
  auto text = ReadBragaExample();
  const auto at = text.find(kStatedPrepaid);
  CPPUNIT_ASSERT(at != std::string::npos);
  return text.replace(at, kStatedPrepaid.size(), std::to_string(kPrepaid));
}

/// Callers of each router that call until they are told to stop.
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
      const auto answer = CallChat(aAddress, call);
      mDone += answer.mOutcome == "done" ? 1 : 0;
      mExhausted += answer.mStatus == 402 ? 1 : 0;
    }
  }

  std::atomic<bool> mStopped{ false };
  std::vector<std::thread> mThreads;
};

} // namespace

/// Spend stays within what is prepaid, by the engines' own journals, whatever happens to routers.
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
    fleet.ApplyEverywhere(SmallBudget());
    Callers callers(fleet);
    const auto waitForMore = [&callers](int aCount) {
      const auto until = callers.mDone + aCount;
      CPPUNIT_ASSERT(WaitFor([&] { return callers.mDone >= until; }, kPatience));
    };
    waitForMore(20);
    fleet.Signal("router-3", SIGKILL); // with open streams
    waitForMore(10);
    fleet.Signal("router-2", SIGSTOP);
    fleet.SetFaults("key-value", { { "loseAnswer", 3 } });
    waitForMore(10);
    fleet.Signal("router-2", SIGCONT);
    fleet.SetFaults("key-value", { { "stallOn", 1 } });
    waitForMore(5); // sold from what is held
    fleet.SetFaults("key-value", { { "stallOn", 0 } });
    CPPUNIT_ASSERT(WaitFor([&] { return callers.mExhausted >= 5; }, kPatience));
    callers.Stop();
    CheckFigures(fleet);
  }

private:
  static void CheckFigures(const Fleet& aFleet)
  {
    std::int64_t ran = 0;
    for (const auto& it : aFleet.JournalEntries()) {
      ran += it["prompt_tokens"].get<std::int64_t>() + it["output_tokens"].get<std::int64_t>();
    }
    CPPUNIT_ASSERT_MESSAGE("engines ran " + std::to_string(ran), ran <= kPrepaid);
    Json budget;
    const auto addsUp = [&] {
      const auto report = aFleet.GetAdmin("router-1", "/admin/v1/usage");
      budget = report;
      for (const auto& it : report.value("budgets", Json::array())) {
        budget = it["budget"] == "culture-2026" ? it : budget;
      }
      if (!budget.contains("usage")) {
        return false;
      }
      std::int64_t usage = 0;
      for (const auto& it : budget["usage"]) {
        usage += it["tokens"].get<std::int64_t>();
      }
      const auto figure = [&budget](const char* aName) {
        return budget[aName].get<std::int64_t>();
      };
      const auto sum = figure("spent") + figure("held") + figure("in_doubt") + figure("left");
      // What the killed router ran and did not report is part of what is granted to it.
      return usage == figure("spent") && sum == kPrepaid && figure("spent") <= ran &&
             ran <= figure("spent") + figure("held") + figure("in_doubt");
    };
    const bool good = WaitFor(addsUp, Millis(15'000));
    CPPUNIT_ASSERT_MESSAGE("ran " + std::to_string(ran) + ", " + budget.dump(), good);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BudgetCrashTest);

} // namespace gentianloom::testing
