#include "support/Fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

namespace gentianloom::testing {

/// Chat requests through real processes while routers, engines and connections fail.
class RequestOutcomesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestOutcomesTest);
  CPPUNIT_TEST(TestAll);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kTokens = 100;

  static std::string Words(int aFrom, int aTo)
  {
    std::string out;
    for (int n = aFrom; n <= aTo; ++n) {
      out += "w" + std::to_string(n) + " ";
    }
    return out;
  }

  static std::vector<Json> EntriesOf(const Fleet& aFleet, const std::string& aRequest)
  {
    std::vector<Json> out;
    for (const auto& it : aFleet.JournalEntries()) {
      if (it["request_id"] == aRequest) {
        out.push_back(it);
      }
    }
    return out;
  }

  static ChatCall CallOf(const std::string& aRequest)
  {
    ChatCall call;
    call.mTokens = kTokens;
    call.mHeaders = { { "X-Request-Id", aRequest } };
    return call;
  }

public:
  void TestAll()
  {
    FleetOptions options;
    options.mTokenMicros = 5'000;
    options.mRouterSettings = R"({ "drain": { "addressLifetimeMs": 100, "limitMs": 5000 } })";
    const Fleet fleet(options);
    fleet.ApplyEverywhere(ReadBragaExample());
    CheckBadStreams(fleet);
    CheckRefusals(fleet);
    CheckCallerLeaves(fleet);
    CheckRouterKilled(fleet);
  }

private:
  /// Faults of one engine's stream; the caller's answer is whole and ran once, or is not done.
  static void CheckBadStreams(const Fleet& aFleet)
  {
    struct Row
    {
      std::string mName;
      Json mFaults;
      std::string mOutcome;
    };
    const Row rows[] = {
      { "duplicate", { { "duplicate", 1 } }, "done" },
      { "reorder", { { "reorder", 1 } }, "done" },
      { "cross", { { "crossEvent", 1 } }, "done" },
      { "away", { { "goAwayAfterTokens", 10 } }, "done" },
      { "away-for-good", { { "goAwayAfterTokens", 10 }, { "cannotResumeOn", 1 } }, "unknown" },
    };
    const Json none = { { "duplicate", 0 },
                        { "reorder", 0 },
                        { "crossEvent", 0 },
                        { "goAwayAfterTokens", 0 },
                        { "cannotResumeOn", 0 } };
    for (const auto& row : rows) {
      for (const auto* engine : { "drafting-1", "drafting-2" }) {
        aFleet.SetFaults(engine, none);
        aFleet.SetFaults(engine, row.mFaults);
      }
      const auto answer = CallChat(aFleet.Process("router-1").mAddress, CallOf("bad-" + row.mName));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName + answer.mBody.dump(), row.mOutcome, answer.mOutcome);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mName, Words(1, row.mOutcome == "done" ? kTokens : 10), answer.mText);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mName, std::size_t{ 1 }, EntriesOf(aFleet, "bad-" + row.mName).size());
    }
    for (const auto* engine : { "drafting-1", "drafting-2" }) {
      aFleet.SetFaults(engine, none);
    }
  }

  /// A refusal is tried elsewhere; if all refuse, "not run" is told at once, and is true.
  static void CheckRefusals(const Fleet& aFleet)
  {
    aFleet.SetFaults("drafting-1", { { "refuse", 1 } });
    aFleet.SetFaults("drafting-2", { { "refuse", 1 } });
    const auto all = CallChat(aFleet.Process("router-1").mAddress, CallOf("refused"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(all.mBody.dump(), std::string("not-run"), all.mOutcome);
    CPPUNIT_ASSERT(all.mBody["error"].contains("retry_after_ms"));
    CPPUNIT_ASSERT(EntriesOf(aFleet, "refused").empty());
    aFleet.SetFaults("drafting-1", { { "refuse", 1 } });
    for (const auto* id : { "one-refuses-1", "one-refuses-2" }) {
      const auto one = CallChat(aFleet.Process("router-1").mAddress, CallOf(id));
      CPPUNIT_ASSERT_EQUAL(std::string("done"), one.mOutcome);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, EntriesOf(aFleet, id).size());
    }
    aFleet.SetFaults("drafting-1", { { "refuse", 0 } });
  }

  static void CheckCallerLeaves(const Fleet& aFleet)
  {
    auto call = CallOf("left");
    call.mTokens = 1'000;
    int n = 0;
    const auto answer = CallChat(
      aFleet.Process("router-2").mAddress, call, [&](const std::string&) { return ++n < 5; });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.mBody.dump(), 200, answer.mStatus);
    const bool cancelled = WaitFor(
      [&] { return Metric(aFleet, "router-2", "gentianloom_cancels_total{result=\"sent\"}") == 1; },
      Millis(4'000));
    const auto entries = EntriesOf(aFleet, "left");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, entries.size());
    const auto& entry = entries.front();
    CPPUNIT_ASSERT_MESSAGE(entry.dump(), cancelled);
    CPPUNIT_ASSERT_MESSAGE(entry.dump(), entry["output_tokens"].get<int>() < call.mTokens);
    CPPUNIT_ASSERT_MESSAGE(entry.dump(), !entry["whole"].get<bool>());
  }

  static int Metric(const Fleet& aFleet, const std::string& aRouter, const std::string& aName)
  {
    const auto answer = CallHttp(
      aFleet.Process(aRouter).mAddress, { "GET", "/metrics" }, Millis(5'000), Step::Settings);
    const auto& text = answer.value().mBody;
    const auto at = text.find(aName + " ");
    return at == std::string::npos ? 0 : std::stoi(text.substr(at + aName.size() + 1));
  }

  /// The caller's retry at another router gets the rest of the same run, and it is billed once.
  static void CheckRouterKilled(const Fleet& aFleet)
  {
    const auto spent = [&] {
      return aFleet.GetAdmin("router-2", "/admin/v1/budgets/library")
        .value("spent", std::int64_t{ 0 });
    };
    auto call = CallOf("killed");
    call.mKey = "library-key"; // whose budget nothing else here draws on
    int n = 0;
    const auto first = CallChat(aFleet.Process("router-1").mAddress, call, [&](const std::string&) {
      if (++n == 20) {
        aFleet.Signal("router-1", SIGKILL);
      }
      return true;
    });
    CPPUNIT_ASSERT_EQUAL(std::string(), first.mOutcome);
    CPPUNIT_ASSERT(!first.mResumeToken.empty() && !first.mText.empty());
    const int have = std::stoi(first.mText.substr(first.mText.rfind('w') + 1));
    call.mHeaders.emplace_back("Gentianloom-Resume", first.mResumeToken);
    call.mHeaders.emplace_back("Last-Event-ID", std::to_string(have));
    const auto second = CallChat(aFleet.Process("router-2").mAddress, call);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(second.mBody.dump(), std::string("done"), second.mOutcome);
    CPPUNIT_ASSERT_EQUAL(Words(1, kTokens), first.mText + second.mText);
    const auto entries = EntriesOf(aFleet, "killed");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, entries.size());
    const auto ran = entries[0]["prompt_tokens"].get<std::int64_t>() + kTokens;
    CPPUNIT_ASSERT_EQUAL(ran, second.mBody["usage"]["total_tokens"].get<std::int64_t>());
    CPPUNIT_ASSERT(WaitFor([&] { return spent() >= ran; }, Millis(10'000)));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("billed once", ran, spent());
    // Another organisation does not get the stream by its id.
    auto foreign = call;
    foreign.mKey = "works-key";
    const auto stolen = CallChat(aFleet.Process("router-2").mAddress, foreign);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), stolen.mOutcome);
    CPPUNIT_ASSERT(stolen.mText.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestOutcomesTest);

} // namespace gentianloom::testing
