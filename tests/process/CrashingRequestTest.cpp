#include "support/Fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>

namespace gentianloom::testing {

namespace {

constexpr int kEngineCount = 4;
constexpr int kNeighbourCount = 9;

std::string ExampleWithFourEngines()
{
  auto text = ReadBragaExample();
  const std::string firstEngine = "{ \"name\": \"drafting-1\"";
  const auto at = text.find(firstEngine);
  CPPUNIT_ASSERT(at != std::string::npos);
  for (const auto* name : { "drafting-3", "drafting-4" }) {
    text.insert(at,
                "{ \"name\": \"" + std::string(name) +
                  "\", \"zone\": \"braga-1\", \"model\": \"slides-large\", \"slots\": 64 },\n");
  }
  return text;
}

} // namespace

/**
 * A request crashes each engine that runs it, while other requests run on the same engines.
 *
 * Guards against retries that crash one engine after the other.
 */
class CrashingRequestTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashingRequestTest);
  CPPUNIT_TEST(TestStopped);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestStopped()
  {
    FleetOptions options;
    options.mEngines = kEngineCount;
    options.mTokenMicros = 20'000;
    const Fleet fleet(options);
    fleet.ApplyEverywhere(ExampleWithFourEngines());
    for (int n = 1; n <= kEngineCount; ++n) {
      fleet.SetFaults("drafting-" + std::to_string(n), { { "crashOnMarkOn", 1 } });
    }
    const auto routers = fleet.Routers();
    std::atomic<int> started{ 0 };
    std::atomic<int> validOutcomes{ 0 };
    std::vector<std::thread> neighbours;
    neighbours.reserve(kNeighbourCount);
    for (int n = 0; n < kNeighbourCount; ++n) {
      neighbours.emplace_back([&, n] {
        bool isFirst = true;
        const auto response = CallChat(routers[static_cast<std::size_t>(n) % 3].mAddress,
                                       MakeNeighbourCall(n),
                                       [&](const std::string&) {
                                         started += std::exchange(isFirst, false) ? 1 : 0;
                                         return true;
                                       });
        const bool isComplete = response.mOutcome == "done" && response.mText.ends_with("w200 ");
        validOutcomes +=
          isComplete || response.mOutcome == "unknown" || response.mOutcome == "not-run" ? 1 : 0;
      });
    }
    const bool allStarted = WaitFor([&] { return started == kNeighbourCount; }, Millis(10'000));
    ChatResponse last;
    for (std::size_t n = 0; n < 12; ++n) {
      ChatCall crashingCall;
      crashingCall.mText = "crash-this-endpoint";
      last = CallChat(routers[n % 3].mAddress, crashingCall);
    }
    for (auto& it : neighbours) {
      it.join();
    }
    int crashedEngines = 0;
    for (int n = 1; n <= kEngineCount; ++n) {
      crashedEngines += fleet.WaitForExit("drafting-" + std::to_string(n), Millis(0)) ? 1 : 0;
    }
    int served = 0;
    for (int n = 0; n < kNeighbourCount; ++n) {
      const auto repeated =
        CallChat(routers[static_cast<std::size_t>(n) % 3].mAddress, MakeNeighbourCall(n));
      served += repeated.mOutcome == "done" ? 1 : 0;
    }
    CPPUNIT_ASSERT(allStarted);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(last.mBody.dump(), 2, crashedEngines);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(last.mBody.dump(), 422, last.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("request_crashes_endpoints"),
                         last.mBody["error"]["code"].get<std::string>());
    CPPUNIT_ASSERT(last.mBody["error"]["retry_after_ms"].get<std::int64_t>() > 0);
    CPPUNIT_ASSERT_EQUAL(kNeighbourCount, validOutcomes.load());
    CPPUNIT_ASSERT_EQUAL(kNeighbourCount, served);
  }

private:
  static ChatCall MakeNeighbourCall(int aNumber)
  {
    ChatCall out;
    out.mTokens = 200;
    out.mText = "neighbour " + std::to_string(aNumber);
    return out;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingRequestTest);

} // namespace gentianloom::testing
