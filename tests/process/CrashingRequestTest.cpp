#include "support/Fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>

namespace gentianloom::testing {

namespace {

constexpr int kEngines = 4;
constexpr int kNeighbours = 9;

std::string FourEngines()
{
  auto text = ReadBragaExample();
  const std::string first = "{ \"name\": \"drafting-1\"";
  const auto at = text.find(first);
  CPPUNIT_ASSERT(at != std::string::npos);
  for (const auto* name : { "drafting-3", "drafting-4" }) {
    text.insert(at,
                "{ \"name\": \"" + std::string(name) +
                  "\", \"zone\": \"braga-1\", \"model\": \"slides-large\", \"slots\": 64 },\n");
  }
  return text;
}

} // namespace

/// A request that crashes each engine that runs it, among others that do not.
class CrashingRequestTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashingRequestTest);
  CPPUNIT_TEST(TestStopped);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestStopped()
  {
    FleetOptions options;
    options.mEngines = kEngines;
    options.mTokenMicros = 20'000;
    const Fleet fleet(options);
    fleet.ApplyEverywhere(FourEngines());
    for (int n = 1; n <= kEngines; ++n) {
      fleet.SetFaults("drafting-" + std::to_string(n), { { "crashOnMarkOn", 1 } });
    }
    const auto routers = fleet.Routers();
    std::atomic<int> started{ 0 };
    std::atomic<int> truthful{ 0 };
    std::vector<std::thread> neighbours;
    neighbours.reserve(kNeighbours);
    for (int n = 0; n < kNeighbours; ++n) {
      neighbours.emplace_back([&, n] {
        bool first = true;
        const auto answer = CallChat(
          routers[static_cast<std::size_t>(n) % 3].mAddress, Neighbour(n), [&](const std::string&) {
            started += std::exchange(first, false) ? 1 : 0;
            return true;
          });
        const bool whole = answer.mOutcome == "done" && answer.mText.ends_with("w200 ");
        truthful += whole || answer.mOutcome == "unknown" || answer.mOutcome == "not-run" ? 1 : 0;
      });
    }
    const bool allStarted = WaitFor([&] { return started == kNeighbours; }, Millis(10'000));
    ChatResponse last;
    for (std::size_t n = 0; n < 12; ++n) {
      ChatCall poison;
      poison.mText = "crash-this-endpoint";
      last = CallChat(routers[n % 3].mAddress, poison);
    }
    for (auto& it : neighbours) {
      it.join();
    }
    int down = 0;
    for (int n = 1; n <= kEngines; ++n) {
      down += fleet.WaitForExit("drafting-" + std::to_string(n), Millis(0)) ? 1 : 0;
    }
    int answered = 0;
    for (int n = 0; n < kNeighbours; ++n) {
      const auto again = CallChat(routers[static_cast<std::size_t>(n) % 3].mAddress, Neighbour(n));
      answered += again.mOutcome == "done" ? 1 : 0;
    }
    CPPUNIT_ASSERT(allStarted);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(last.mBody.dump(), 2, down);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(last.mBody.dump(), 422, last.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("request_crashes_endpoints"),
                         last.mBody["error"]["code"].get<std::string>());
    CPPUNIT_ASSERT(last.mBody["error"]["retry_after_ms"].get<std::int64_t>() > 0);
    CPPUNIT_ASSERT_EQUAL(kNeighbours, truthful.load());
    CPPUNIT_ASSERT_EQUAL(kNeighbours, answered);
  }

private:
  static ChatCall Neighbour(int aNumber)
  {
    ChatCall out;
    out.mTokens = 200;
    out.mText = "neighbour " + std::to_string(aNumber);
    return out;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingRequestTest);

} // namespace gentianloom::testing
