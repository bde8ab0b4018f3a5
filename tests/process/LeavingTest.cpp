#include "support/Fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <csignal>
#include <thread>

namespace gentianloom::testing {

/**
 * A router gets SIGTERM with open streams.
 *
 * Guards against interrupted streams, requests that ran but were reported as not run, wrong spend,
 * and grants that the router does not return.
 */
class LeavingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LeavingTest);
  CPPUNIT_TEST(TestDrain);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kStreams = 8;

public:
  void TestDrain()
  {
    FleetOptions options;
    options.mTokenMicros = 20'000;
    options.mRouterSettings = R"({ "drain": { "addressLifetimeMs": 1000, "limitMs": 20000 } })";
    const Fleet fleet(options);
    fleet.ApplyEverywhere(ReadBragaExample());
    const auto address = fleet.Process("router-1").mAddress;
    std::atomic<int> streamingCount{ 0 };
    std::vector<ChatResponse> responses(kStreams);
    std::vector<std::thread> callers;
    callers.reserve(kStreams);
    for (int n = 0; n < kStreams; ++n) {
      callers.emplace_back([&, n] {
        ChatCall call;
        call.mTokens = 200; // about 4 s
        bool isFirst = true;
        responses[static_cast<std::size_t>(n)] = CallChat(address, call, [&](const std::string&) {
          streamingCount += std::exchange(isFirst, false) ? 1 : 0;
          return true;
        });
      });
    }
    CPPUNIT_ASSERT(WaitFor([&] { return streamingCount == kStreams; }, Millis(10'000)));
    fleet.Signal("router-1", SIGTERM);
    // The router serves until the lifetime of its address has passed, then refuses as leaving.
    ChatCall shortCall;
    shortCall.mTokens = 1;
    CPPUNIT_ASSERT_EQUAL(std::string("done"), CallChat(address, shortCall).mOutcome);
    ChatResponse refused;
    const bool isLeaving = WaitFor(
      [&] {
        refused = CallChat(address, shortCall);
        return refused.mStatus == 503;
      },
      Millis(3'000));
    CPPUNIT_ASSERT(isLeaving);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), refused.mOutcome);
    CPPUNIT_ASSERT_EQUAL(std::string("leaving"), refused.mBody["error"]["code"].get<std::string>());
    for (auto& it : callers) {
      it.join();
    }
    for (const auto& it : responses) {
      CPPUNIT_ASSERT_EQUAL(std::string("done"), it.mOutcome);
      CPPUNIT_ASSERT(it.mText.ends_with("w200 "));
    }
    CPPUNIT_ASSERT(fleet.WaitForExit("router-1", Millis(10'000)));
    const auto view = fleet.GetAdmin("router-2", "/admin/v1/budgets/culture-department");
    std::int64_t ranTokens = 0;
    for (const auto& it : fleet.JournalEntries()) {
      ranTokens +=
        it["prompt_tokens"].get<std::int64_t>() + it["output_tokens"].get<std::int64_t>();
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(view.dump(), ranTokens, view.value("spent", std::int64_t{ 0 }));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      view.dump(), std::int64_t{ 0 }, view.value("held", std::int64_t{ -1 }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingTest);

} // namespace gentianloom::testing
