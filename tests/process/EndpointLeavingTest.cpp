#include "support/Fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <mutex>
#include <thread>

namespace gentianloom::testing {

namespace {

constexpr int kStreams = 12;

} // namespace

/**
 * An engine reports that it is leaving, while the instance list still has it as alive.
 *
 * Guards against new work on the engine later than 3 s after the report, and against interrupting
 * its open streams.
 */
class EndpointLeavingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EndpointLeavingTest);
  CPPUNIT_TEST(TestLeaving);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestLeaving()
  {
    FleetOptions options;
    options.mTokenMicros = 50'000;
    const Fleet fleet(options);
    fleet.ApplyEverywhere(ReadBragaExample());
    // Streams of 8 s, on both engines.
    std::vector<std::thread> streams;
    streams.reserve(kStreams);
    std::atomic<int> completeStreams{ 0 };
    std::atomic<int> startedStreams{ 0 };
    std::mutex mutex;
    std::string failures;
    for (int n = 0; n < kStreams; ++n) {
      streams.emplace_back([&, n] {
        ChatCall call;
        call.mTokens = 160;
        call.mText = "stream " + std::to_string(n);
        bool isFirst = true;
        const auto& router = fleet.Routers()[static_cast<std::size_t>(n) % 3];
        const auto response = CallChat(router.mAddress, call, [&](const std::string&) {
          startedStreams += std::exchange(isFirst, false) ? 1 : 0;
          return true;
        });
        if (response.mOutcome != "done") {
          const std::lock_guard lock(mutex);
          failures += std::to_string(response.mStatus) + " " + response.mBody.dump() + "\n";
        }
        completeStreams += response.mOutcome == "done" && response.mText.ends_with("w160 ") ? 1 : 0;
      });
    }
    const bool allStarted = WaitFor([&] { return startedStreams == kStreams; }, Millis(10'000));
    const auto entriesBefore = EngineEntries(fleet, "drafting-1").size();
    fleet.SetFaults("drafting-1", { { "leavingOn", 1 } });
    const auto markedAt = std::chrono::steady_clock::now();
    const auto reactionLimit = std::chrono::seconds(3);
    WaitFor([&] { return std::chrono::steady_clock::now() - markedAt >= reactionLimit; },
            Millis(4'000));
    const auto entriesAtLimit = EngineEntries(fleet, "drafting-1").size();
    int served = 0;
    for (int n = 0; n < 30; ++n) {
      ChatCall call;
      call.mTokens = 1;
      call.mText = "new work " + std::to_string(n);
      const auto& router = fleet.Routers()[static_cast<std::size_t>(n) % 3];
      served += CallChat(router.mAddress, call).mOutcome == "done" ? 1 : 0;
    }
    const auto entriesAfter = EngineEntries(fleet, "drafting-1");
    for (auto& it : streams) {
      it.join();
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(startedStreams) + " started; " + failures, allStarted);
    CPPUNIT_ASSERT_MESSAGE("no stream ran on the leaving engine", entriesBefore > 0);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      "new work on the leaving engine", entriesAtLimit, entriesAfter.size());
    CPPUNIT_ASSERT_EQUAL(30, served);
    CPPUNIT_ASSERT_EQUAL(kStreams, completeStreams.load());
  }

private:
  static std::vector<Json> EngineEntries(const Fleet& aFleet, const std::string& aEngine)
  {
    const auto response = CallHttp(
      aFleet.Process(aEngine).mAddress, { "GET", "/journal" }, Millis(5'000), Step::Settings);
    CPPUNIT_ASSERT(response.has_value());
    return Json::parse(response.value().mBody)["entries"].get<std::vector<Json>>();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointLeavingTest);

} // namespace gentianloom::testing
