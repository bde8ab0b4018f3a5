#include "support/Fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <csignal>
#include <set>
#include <thread>

namespace gentianloom::testing {

/**
 * Calls of a plain service through real processes, while routers, the endpoint and the key-value
 * service fail. Guards against running a call twice for one idempotency key.
 */
class AtMostOnceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AtMostOnceTest);
  CPPUNIT_TEST(TestAll);
  CPPUNIT_TEST_SUITE_END();

  /// A router's response to a call of a plain service.
  struct CallResult
  {
    int mStatus = 0; ///< 0 without a response
    std::string mCode;
    std::string mOutcome;
    std::string mBody;
  };

  static CallResult CallService(const Fleet& aFleet,
                                const std::string& aProcess,
                                const std::string& aKey,
                                const std::string& aBody = "{}",
                                const std::string& aDeadlineMs = "8000")
  {
    HttpRequest request{ "POST", "/services/templates/publish", aBody };
    request.mHeaders = { { "Authorization", "Bearer culture-key" },
                         { "Gentianloom-Deadline-Ms", aDeadlineMs } };
    if (!aKey.empty()) {
      request.mHeaders.emplace_back("Idempotency-Key", aKey);
    }
    const auto response =
      CallHttp(aFleet.Process(aProcess).mAddress, request, Millis(15'000), Step::Settings);
    if (!response) {
      return {};
    }
    CallResult out{ response.value().mStatus, "", "done", response.value().mBody };
    const auto json = Json::parse(out.mBody, nullptr, false);
    if (json.is_object() && json.contains("gentianloom")) {
      out.mOutcome = json["gentianloom"]["outcome"].get<std::string>();
      out.mCode = json["error"]["code"].get<std::string>();
    }
    return out;
  }

  static std::size_t RunCount(const Fleet& aFleet, const std::string& aKey)
  {
    std::size_t n = 0;
    for (const auto& it : aFleet.JournalEntries()) {
      n += it["idempotency_key"] == aKey ? 1U : 0U;
    }
    return n;
  }

public:
  void TestAll()
  {
    FleetOptions options;
    options.mRouterSettings = R"({ "drain": { "addressLifetimeMs": 100, "limitMs": 5000 } })";
    const Fleet fleet(options);
    fleet.ApplyEverywhere(ReadBragaExample());
    CheckIdempotencyKeys(fleet);
    CheckConcurrentCalls(fleet);
    CheckLostResponses(fleet);
    CheckFrozenRouter(fleet);
    CheckKilledRouter(fleet);
  }

private:
  static void CheckIdempotencyKeys(const Fleet& aFleet)
  {
    const auto withoutKey = CallService(aFleet, "router-1", "");
    CPPUNIT_ASSERT_EQUAL(std::string("idempotency_key_missing"), withoutKey.mCode);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), withoutKey.mOutcome);
    const auto first = CallService(aFleet, "router-1", "key-a");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(first.mBody, 200, first.mStatus);
    // Once the result is stored, every router returns the same response for the key.
    CallResult second;
    const bool isStored = WaitFor(
      [&] {
        second = CallService(aFleet, "router-2", "key-a");
        return second.mStatus == 200;
      },
      Millis(5'000));
    CPPUNIT_ASSERT_MESSAGE(second.mBody, isStored);
    CPPUNIT_ASSERT_EQUAL(first.mBody, second.mBody);
    const auto otherBody = CallService(aFleet, "router-2", "key-a", "{\"other\":1}");
    CPPUNIT_ASSERT_EQUAL(std::string("idempotency_key_conflict"), otherBody.mCode);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), otherBody.mOutcome);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, RunCount(aFleet, "key-a"));
  }

  static void CheckConcurrentCalls(const Fleet& aFleet)
  {
    for (int n = 0; n < 5; ++n) {
      const auto key = "two-" + std::to_string(n);
      aFleet.SetFaults("templates-1", { { "holdRunOn", 1 } });
      CallResult results[3];
      std::thread one([&] { results[0] = CallService(aFleet, "router-1", key); });
      std::thread two([&] { results[1] = CallService(aFleet, "router-2", key); });
      std::thread three([&] { results[2] = CallService(aFleet, "router-2", key); });
      const bool hasStarted = WaitFor([&] { return RunCount(aFleet, key) == 1; }, Millis(5'000));
      aFleet.SetFaults("templates-1", { { "holdRunOn", 0 } });
      one.join();
      two.join();
      three.join();
      CPPUNIT_ASSERT(hasStarted);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, RunCount(aFleet, key));
      int done = 0;
      for (const auto& it : results) {
        done += it.mStatus == 200 ? 1 : 0;
        CPPUNIT_ASSERT_MESSAGE(it.mBody, it.mStatus == 200 || it.mCode == "already_running");
      }
      CPPUNIT_ASSERT(done >= 1);
    }
  }

  static void CheckLostResponses(const Fleet& aFleet)
  {
    // The key-value service loses a response after the write: the router reads the record back.
    for (int n = 0; n < 4; ++n) {
      const auto key = "lost-" + std::to_string(n);
      aFleet.SetFaults("key-value", { { "loseAnswer", 1 + n % 2 } });
      CallResult result;
      const bool done = WaitFor(
        [&] {
          result = CallService(aFleet, n % 2 == 0 ? "router-1" : "router-2", key);
          return result.mStatus == 200 || result.mOutcome == "unknown";
        },
        Millis(8'000));
      CPPUNIT_ASSERT_MESSAGE(result.mBody, done);
      CPPUNIT_ASSERT_EQUAL(result.mStatus == 200 ? std::size_t{ 1 } : std::size_t{ 0 },
                           RunCount(aFleet, key));
    }
    aFleet.SetFaults("key-value", { { "loseAnswer", 0 } });
    // The endpoint runs the call and loses the response: the outcome is unknown and stays so.
    aFleet.SetFaults("templates-1", { { "loseAnswer", 1 } });
    const auto result = CallService(aFleet, "router-1", "lost-answer");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.mBody, std::string("unknown"), result.mOutcome);
    for (const auto* router : { "router-1", "router-2", "router-3" }) {
      CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                           CallService(aFleet, router, "lost-answer").mOutcome);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, RunCount(aFleet, "lost-answer"));
  }

  /// Reads a number from `/metrics` of a router or `/journal` of the key-value service.
  static int ReadNumber(const Fleet& aFleet, const std::string& aProcess, const std::string& aName)
  {
    const auto response = CallHttp(aFleet.Process(aProcess).mAddress,
                                   { "GET", aProcess == "key-value" ? "/journal" : "/metrics" },
                                   Millis(5'000),
                                   Step::Settings);
    const auto& text = response.value().mBody;
    const auto at = text.rfind(aName);
    return at == std::string::npos ? 0 : std::stoi(text.substr(at + aName.size() + 1));
  }

  /// Freezes a router between its intent and the send, past the dispatch window and the deadline.
  static void CheckFrozenRouter(const Fleet& aFleet)
  {
    CPPUNIT_ASSERT_EQUAL(
      200, CallService(aFleet, "router-3", "warm").mStatus); // the router acquires its lease
    const std::string attempts = "gentianloom_intent_attempts_total";
    const int attemptsBefore = ReadNumber(aFleet, "router-3", attempts);
    aFleet.SetFaults("key-value", { { "delayMs", 500 } });
    CallResult frozenResult;
    std::thread caller(
      [&] { frozenResult = CallService(aFleet, "router-3", "frozen", "{}", "4000"); });
    const bool hasStarted = WaitFor(
      [&] { return ReadNumber(aFleet, "router-3", attempts) > attemptsBefore; }, Millis(5'000));
    aFleet.Signal("router-3", SIGSTOP);
    // This call is sent later and has the same delay, so the intent of the frozen router is written
    // when its response arrives.
    CPPUNIT_ASSERT_EQUAL(200, CallService(aFleet, "router-2", "after-frozen").mStatus);
    aFleet.SetFaults("key-value", { { "delayMs", 0 } });
    // Other routers report that the call is running, then that its outcome is unknown.
    std::set<std::string> codes;
    const bool isUnknown = WaitFor(
      [&] {
        const auto result = CallService(aFleet, "router-1", "frozen");
        codes.insert(result.mCode);
        return result.mCode == "outcome_unknown";
      },
      Millis(8'000));
    const auto runsWhileFrozen = RunCount(aFleet, "frozen");
    aFleet.Signal("router-3", SIGCONT);
    caller.join();
    CPPUNIT_ASSERT(hasStarted);
    CPPUNIT_ASSERT_MESSAGE(Json(codes).dump() + std::to_string(runsWhileFrozen),
                           isUnknown && codes.contains("already_running"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, runsWhileFrozen);
    // The resumed router does not send the call and reports "not run"; a retry then runs it once.
    CPPUNIT_ASSERT_EQUAL_MESSAGE(frozenResult.mBody, std::string("not-run"), frozenResult.mOutcome);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, RunCount(aFleet, "frozen"));
    const bool hasRun = WaitFor(
      [&] { return CallService(aFleet, "router-2", "frozen").mStatus == 200; }, Millis(8'000));
    CPPUNIT_ASSERT(hasRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, RunCount(aFleet, "frozen"));
  }

  static void CheckKilledRouter(const Fleet& aFleet)
  {
    aFleet.SetFaults("templates-1", { { "holdRunOn", 1 } });
    std::thread caller([&] { CallService(aFleet, "router-1", "killed", "{}", "1500"); });
    CPPUNIT_ASSERT(WaitFor([&] { return RunCount(aFleet, "killed") == 1; }, Millis(5'000)));
    aFleet.Signal("router-1", SIGKILL);
    caller.join();
    CallResult result;
    const bool final = WaitFor(
      [&] {
        result = CallService(aFleet, "router-2", "killed");
        return result.mCode == "outcome_unknown";
      },
      Millis(8'000));
    aFleet.SetFaults("templates-1", { { "holdRunOn", 0 } });
    CPPUNIT_ASSERT_MESSAGE(result.mBody, final);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, RunCount(aFleet, "killed"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceTest);

} // namespace gentianloom::testing
