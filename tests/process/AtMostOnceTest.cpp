#include "support/Fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <csignal>
#include <set>
#include <thread>

namespace gentianloom::testing {

/// Publications through real processes: each key runs at most once, whatever fails.
class AtMostOnceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AtMostOnceTest);
  CPPUNIT_TEST(TestAll);
  CPPUNIT_TEST_SUITE_END();

  /// A router's answer to a call of a plain service.
  struct Told
  {
    int mStatus = 0; ///< 0: no answer
    std::string mCode;
    std::string mOutcome;
    std::string mBody;
  };

  static Told Call(const Fleet& aFleet,
                   const std::string& aRouter,
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
    const auto answer =
      CallHttp(aFleet.Process(aRouter).mAddress, request, Millis(15'000), Step::Settings);
    if (!answer) {
      return {};
    }
    Told out{ answer.value().mStatus, "", "done", answer.value().mBody };
    const auto json = Json::parse(out.mBody, nullptr, false);
    if (json.is_object() && json.contains("gentianloom")) {
      out.mOutcome = json["gentianloom"]["outcome"].get<std::string>();
      out.mCode = json["error"]["code"].get<std::string>();
    }
    return out;
  }

  static std::size_t Runs(const Fleet& aFleet, const std::string& aKey)
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
    CheckKeys(fleet);
    CheckTwoAtOnce(fleet);
    CheckLostAnswers(fleet);
    CheckFrozenRouter(fleet);
    CheckKilledRouter(fleet);
  }

private:
  static void CheckKeys(const Fleet& aFleet)
  {
    const auto none = Call(aFleet, "router-1", "");
    CPPUNIT_ASSERT_EQUAL(std::string("idempotency_key_missing"), none.mCode);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), none.mOutcome);
    const auto first = Call(aFleet, "router-1", "key-a");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(first.mBody, 200, first.mStatus);
    // Once the end is written, every router gives the same answer again.
    Told again;
    const bool stored = WaitFor(
      [&] {
        again = Call(aFleet, "router-2", "key-a");
        return again.mStatus == 200;
      },
      Millis(5'000));
    CPPUNIT_ASSERT_MESSAGE(again.mBody, stored);
    CPPUNIT_ASSERT_EQUAL(first.mBody, again.mBody);
    const auto other = Call(aFleet, "router-2", "key-a", "{\"other\":1}");
    CPPUNIT_ASSERT_EQUAL(std::string("idempotency_key_conflict"), other.mCode);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), other.mOutcome);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Runs(aFleet, "key-a"));
  }

  static void CheckTwoAtOnce(const Fleet& aFleet)
  {
    for (int n = 0; n < 5; ++n) {
      const auto key = "two-" + std::to_string(n);
      aFleet.SetFaults("templates-1", { { "holdRunOn", 1 } });
      Told told[3];
      std::thread one([&] { told[0] = Call(aFleet, "router-1", key); });
      std::thread two([&] { told[1] = Call(aFleet, "router-2", key); });
      std::thread three([&] { told[2] = Call(aFleet, "router-2", key); });
      const bool begun = WaitFor([&] { return Runs(aFleet, key) == 1; }, Millis(5'000));
      aFleet.SetFaults("templates-1", { { "holdRunOn", 0 } });
      one.join();
      two.join();
      three.join();
      CPPUNIT_ASSERT(begun);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Runs(aFleet, key));
      int done = 0;
      for (const auto& it : told) {
        done += it.mStatus == 200 ? 1 : 0;
        CPPUNIT_ASSERT_MESSAGE(it.mBody, it.mStatus == 200 || it.mCode == "already_running");
      }
      CPPUNIT_ASSERT(done >= 1);
    }
  }

  static void CheckLostAnswers(const Fleet& aFleet)
  {
    // The key-value service loses an answer after the write: read back, run once.
    for (int n = 0; n < 4; ++n) {
      const auto key = "lost-" + std::to_string(n);
      aFleet.SetFaults("key-value", { { "loseAnswer", 1 + n % 2 } });
      Told told;
      const bool done = WaitFor(
        [&] {
          told = Call(aFleet, n % 2 == 0 ? "router-1" : "router-2", key);
          return told.mStatus == 200 || told.mOutcome == "unknown";
        },
        Millis(8'000));
      CPPUNIT_ASSERT_MESSAGE(told.mBody, done);
      CPPUNIT_ASSERT_EQUAL(told.mStatus == 200 ? std::size_t{ 1 } : std::size_t{ 0 },
                           Runs(aFleet, key));
    }
    aFleet.SetFaults("key-value", { { "loseAnswer", 0 } });
    // The endpoint loses the answer after it ran: unknown, at once, and never run again.
    aFleet.SetFaults("templates-1", { { "loseAnswer", 1 } });
    const auto told = Call(aFleet, "router-1", "lost-answer");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(told.mBody, std::string("unknown"), told.mOutcome);
    for (const auto* router : { "router-1", "router-2", "router-3" }) {
      CPPUNIT_ASSERT_EQUAL(std::string("unknown"), Call(aFleet, router, "lost-answer").mOutcome);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Runs(aFleet, "lost-answer"));
  }

  /// A number from a process's `/metrics` or, for the key-value service, `/journal`.
  static int Count(const Fleet& aFleet, const std::string& aRouter, const std::string& aName)
  {
    const auto answer = CallHttp(aFleet.Process(aRouter).mAddress,
                                 { "GET", aRouter == "key-value" ? "/journal" : "/metrics" },
                                 Millis(5'000),
                                 Step::Settings);
    const auto& text = answer.value().mBody;
    const auto at = text.rfind(aName);
    return at == std::string::npos ? 0 : std::stoi(text.substr(at + aName.size() + 1));
  }

  /// A router frozen between its intent and the send, for longer than its window and the deadline.
  static void CheckFrozenRouter(const Fleet& aFleet)
  {
    CPPUNIT_ASSERT_EQUAL(200, Call(aFleet, "router-3", "warm").mStatus); // it has its lease now
    const std::string attempts = "gentianloom_intent_attempts_total";
    const int before = Count(aFleet, "router-3", attempts);
    aFleet.SetFaults("key-value", { { "delayMs", 500 } });
    Told frozen;
    std::thread caller([&] { frozen = Call(aFleet, "router-3", "frozen", "{}", "4000"); });
    const bool begun =
      WaitFor([&] { return Count(aFleet, "router-3", attempts) > before; }, Millis(5'000));
    aFleet.Signal("router-3", SIGSTOP);
    // Sent later and delayed as long: once this one is answered, the frozen router's intent is
    // there.
    CPPUNIT_ASSERT_EQUAL(200, Call(aFleet, "router-2", "after-frozen").mStatus);
    aFleet.SetFaults("key-value", { { "delayMs", 0 } });
    // Others are told that it runs, then that its outcome is unknown; they never run it.
    std::set<std::string> codes;
    const bool unknown = WaitFor(
      [&] {
        const auto told = Call(aFleet, "router-1", "frozen");
        codes.insert(told.mCode);
        return told.mCode == "outcome_unknown";
      },
      Millis(8'000));
    const auto runs = Runs(aFleet, "frozen");
    aFleet.Signal("router-3", SIGCONT);
    caller.join();
    CPPUNIT_ASSERT(begun);
    CPPUNIT_ASSERT_MESSAGE(Json(codes).dump() + std::to_string(runs),
                           unknown && codes.contains("already_running"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, runs);
    // Awake again, it does not send, and says so; then the caller's retry runs, once.
    CPPUNIT_ASSERT_EQUAL_MESSAGE(frozen.mBody, std::string("not-run"), frozen.mOutcome);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Runs(aFleet, "frozen"));
    const bool ran =
      WaitFor([&] { return Call(aFleet, "router-2", "frozen").mStatus == 200; }, Millis(8'000));
    CPPUNIT_ASSERT(ran);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Runs(aFleet, "frozen"));
  }

  static void CheckKilledRouter(const Fleet& aFleet)
  {
    aFleet.SetFaults("templates-1", { { "holdRunOn", 1 } });
    std::thread caller([&] { Call(aFleet, "router-1", "killed", "{}", "1500"); });
    CPPUNIT_ASSERT(WaitFor([&] { return Runs(aFleet, "killed") == 1; }, Millis(5'000)));
    aFleet.Signal("router-1", SIGKILL);
    caller.join();
    Told told;
    const bool final = WaitFor(
      [&] {
        told = Call(aFleet, "router-2", "killed");
        return told.mCode == "outcome_unknown";
      },
      Millis(8'000));
    aFleet.SetFaults("templates-1", { { "holdRunOn", 0 } });
    CPPUNIT_ASSERT_MESSAGE(told.mBody, final);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Runs(aFleet, "killed"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceTest);

} // namespace gentianloom::testing
