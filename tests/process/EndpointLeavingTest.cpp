#include "support/Fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <mutex>
#include <thread>

namespace gentianloom::testing {

namespace {

constexpr int kStreams = 12;

} // namespace

/// An engine that says it leaves, while the instance list goes on saying that it lives.
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
    // Streams of 8 s on both engines.
    std::vector<std::thread> streams;
    streams.reserve(kStreams);
    std::atomic<int> whole{ 0 };
    std::atomic<int> started{ 0 };
    std::mutex mutex;
    std::string notDone;
    for (int n = 0; n < kStreams; ++n) {
      streams.emplace_back([&, n] {
        ChatCall call;
        call.mTokens = 160;
        call.mText = "stream " + std::to_string(n);
        bool first = true;
        const auto& router = fleet.Routers()[static_cast<std::size_t>(n) % 3];
        const auto answer = CallChat(router.mAddress, call, [&](const std::string&) {
          started += std::exchange(first, false) ? 1 : 0;
          return true;
        });
        if (answer.mOutcome != "done") {
          const std::lock_guard lock(mutex);
          notDone += std::to_string(answer.mStatus) + " " + answer.mBody.dump() + "\n";
        }
        whole += answer.mOutcome == "done" && answer.mText.ends_with("w160 ") ? 1 : 0;
      });
    }
    const bool allStarted = WaitFor([&] { return started == kStreams; }, Millis(10'000));
    const auto onLeaving = Entries(fleet, "drafting-1").size();
    fleet.SetFaults("drafting-1", { { "leavingOn", 1 } });
    const auto marked = std::chrono::steady_clock::now();
    const auto limit = std::chrono::seconds(3);
    WaitFor([&] { return std::chrono::steady_clock::now() - marked >= limit; }, Millis(4'000));
    const auto atLimit = Entries(fleet, "drafting-1").size();
    int answered = 0;
    for (int n = 0; n < 30; ++n) {
      ChatCall call;
      call.mTokens = 1;
      call.mText = "new work " + std::to_string(n);
      const auto& router = fleet.Routers()[static_cast<std::size_t>(n) % 3];
      answered += CallChat(router.mAddress, call).mOutcome == "done" ? 1 : 0;
    }
    const auto after = Entries(fleet, "drafting-1");
    for (auto& it : streams) {
      it.join();
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(started) + " started; " + notDone, allStarted);
    CPPUNIT_ASSERT_MESSAGE("no stream ran on the leaving engine", onLeaving > 0);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("new work on the leaving engine", atLimit, after.size());
    CPPUNIT_ASSERT_EQUAL(30, answered);
    CPPUNIT_ASSERT_EQUAL(kStreams, whole.load());
  }

private:
  static std::vector<Json> Entries(const Fleet& aFleet, const std::string& aEngine)
  {
    const auto answer = CallHttp(
      aFleet.Process(aEngine).mAddress, { "GET", "/journal" }, Millis(5'000), Step::Settings);
    CPPUNIT_ASSERT(answer.has_value());
    return Json::parse(answer.value().mBody)["entries"].get<std::vector<Json>>();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointLeavingTest);

} // namespace gentianloom::testing
