#include "support/Fleet.h"

#include <Poco/Net/StreamSocket.h>
#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

namespace gentianloom::testing {

/**
 * Chat requests through real processes, while routers, engines and connections fail.
 *
 * Guards against incomplete or foreign responses, second runs, second bills and wrong outcomes.
 */
class RequestOutcomesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestOutcomesTest);
  CPPUNIT_TEST(TestAll);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kTokens = 100;

  static std::string ExpectedText(int aFrom, int aTo)
  {
    std::string out;
    for (int n = aFrom; n <= aTo; ++n) {
      out += "w" + std::to_string(n) + " ";
    }
    return out;
  }

  static std::vector<Json> JournalEntriesOf(const Fleet& aFleet, const std::string& aRequest)
  {
    std::vector<Json> out;
    for (const auto& it : aFleet.JournalEntries()) {
      if (it["request_id"] == aRequest) {
        out.push_back(it);
      }
    }
    return out;
  }

  static ChatCall MakeCall(const std::string& aRequest)
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
    CheckEndlessComments(fleet);
    CheckCallerLeavesEndlessComments(fleet);
    CheckCallerDisconnects(fleet);
    CheckCallerLeftBeforeDispatch(fleet);
    CheckRouterKilled(fleet);
  }

private:
  /// Faulty streams of engines: each request runs once, and "done" has the complete response.
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
    const Json noFaults = { { "duplicate", 0 },
                            { "reorder", 0 },
                            { "crossEvent", 0 },
                            { "goAwayAfterTokens", 0 },
                            { "cannotResumeOn", 0 } };
    for (const auto& row : rows) {
      for (const auto* engine : { "drafting-1", "drafting-2" }) {
        aFleet.SetFaults(engine, noFaults);
        aFleet.SetFaults(engine, row.mFaults);
      }
      const auto response =
        CallChat(aFleet.Process("router-1").mAddress, MakeCall("bad-" + row.mName));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mName + response.mBody.dump(), row.mOutcome, response.mOutcome);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mName, ExpectedText(1, row.mOutcome == "done" ? kTokens : 10), response.mText);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mName, std::size_t{ 1 }, JournalEntriesOf(aFleet, "bad-" + row.mName).size());
    }
    for (const auto* engine : { "drafting-1", "drafting-2" }) {
      aFleet.SetFaults(engine, noFaults);
    }
  }

  /// A refused request is retried on another engine; if all refuse, the outcome is "not-run".
  static void CheckRefusals(const Fleet& aFleet)
  {
    aFleet.SetFaults("drafting-1", { { "refuse", 1 } });
    aFleet.SetFaults("drafting-2", { { "refuse", 1 } });
    const auto whenAllRefuse = CallChat(aFleet.Process("router-1").mAddress, MakeCall("refused"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      whenAllRefuse.mBody.dump(), std::string("not-run"), whenAllRefuse.mOutcome);
    CPPUNIT_ASSERT(whenAllRefuse.mBody["error"].contains("retry_after_ms"));
    CPPUNIT_ASSERT(JournalEntriesOf(aFleet, "refused").empty());
    aFleet.SetFaults("drafting-1", { { "refuse", 1 } });
    for (const auto* id : { "one-refuses-1", "one-refuses-2" }) {
      const auto whenOneRefuses = CallChat(aFleet.Process("router-1").mAddress, MakeCall(id));
      CPPUNIT_ASSERT_EQUAL(std::string("done"), whenOneRefuses.mOutcome);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, JournalEntriesOf(aFleet, id).size());
    }
    aFleet.SetFaults("drafting-1", { { "refuse", 0 } });
  }

  /// An engine that sends comments without end held a request past its deadline.
  static void CheckEndlessComments(const Fleet& aFleet)
  {
    aFleet.SetFaults("drafting-1", { { "endlessCommentsOn", 1 } });
    aFleet.SetFaults("drafting-2", { { "endlessCommentsOn", 1 } });
    auto call = MakeCall("comments");
    call.mHeaders.emplace_back("Gentianloom-Deadline-Ms", "1000");
    const auto start = std::chrono::steady_clock::now();
    const auto response = CallChat(aFleet.Process("router-1").mAddress, call);
    const auto duration = std::chrono::steady_clock::now() - start;
    aFleet.SetFaults("drafting-1", { { "endlessCommentsOn", 0 } });
    aFleet.SetFaults("drafting-2", { { "endlessCommentsOn", 0 } });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(response.mBody.dump(), std::string("unknown"), response.mOutcome);
    CPPUNIT_ASSERT(duration < std::chrono::seconds(3));
  }

  /// A caller that leaves while its engine sends only comments: the request must be cancelled.
  static void CheckCallerLeavesEndlessComments(const Fleet& aFleet)
  {
    aFleet.SetFaults("drafting-1", { { "endlessCommentsOn", 1 } });
    aFleet.SetFaults("drafting-2", { { "endlessCommentsOn", 1 } });
    const auto countCancelled = [&] {
      return ReadMetric(aFleet, "router-1", "gentianloom_cancels_total{result=\"sent\"}");
    };
    const int before = countCancelled();
    {
      const auto connection = SendRequest(aFleet, "router-1", "left-comments");
      CPPUNIT_ASSERT(WaitFor([&] { return JournalEntriesOf(aFleet, "left-comments").size() == 1; },
                             Millis(3'000)));
    }
    CPPUNIT_ASSERT(WaitFor([&] { return countCancelled() > before; }, Millis(2'000)));
    aFleet.SetFaults("drafting-1", { { "endlessCommentsOn", 0 } });
    aFleet.SetFaults("drafting-2", { { "endlessCommentsOn", 0 } });
  }

  /// Sends a chat request and returns its connection, which nobody reads.
  static Poco::Net::StreamSocket SendRequest(const Fleet& aFleet,
                                             const std::string& aRouter,
                                             const std::string& aId)
  {
    const auto call = MakeCall(aId);
    const auto body = MakeBody(call).dump();
    const auto request =
      "POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\nAuthorization: "
      "Bearer " +
      call.mKey + "\r\nX-Request-Id: " + aId + "\r\n" +
      "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
    const auto& address = aFleet.Process(aRouter).mAddress;
    Poco::Net::StreamSocket out{ Poco::Net::SocketAddress(address) };
    out.sendBytes(request.data(), static_cast<int>(request.size()));
    return out;
  }

  static void CheckCallerDisconnects(const Fleet& aFleet)
  {
    auto call = MakeCall("left");
    call.mTokens = 1'000;
    int n = 0;
    const auto response = CallChat(
      aFleet.Process("router-2").mAddress, call, [&](const std::string&) { return ++n < 5; });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(response.mBody.dump(), 200, response.mStatus);
    const bool isCancelled = WaitFor(
      [&] {
        return ReadMetric(aFleet, "router-2", "gentianloom_cancels_total{result=\"sent\"}") == 1;
      },
      Millis(4'000));
    const auto entries = JournalEntriesOf(aFleet, "left");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, entries.size());
    const auto& entry = entries.front();
    CPPUNIT_ASSERT_MESSAGE(entry.dump(), isCancelled);
    CPPUNIT_ASSERT_MESSAGE(entry.dump(), entry["output_tokens"].get<int>() < call.mTokens);
    CPPUNIT_ASSERT_MESSAGE(entry.dump(), !entry["whole"].get<bool>());
  }

  /// A caller leaves before its request is dispatched: no engine may run it.
  static void CheckCallerLeftBeforeDispatch(const Fleet& aFleet)
  {
    const auto countEnded = [&] {
      return ReadMetric(aFleet, "router-2", "gentianloom_outcomes_total{outcome=\"not-run\"}") +
             ReadMetric(aFleet, "router-2", "gentianloom_outcomes_total{outcome=\"unknown\"}");
    };
    const int endedBefore = countEnded();
    aFleet.Signal("router-2", SIGSTOP);
    SendRequest(aFleet, "router-2", "left-before-dispatch"); // and closes the connection
    aFleet.Signal("router-2", SIGCONT);
    const bool hasEnded = WaitFor([&] { return countEnded() > endedBefore; }, Millis(8'000));
    CPPUNIT_ASSERT_MESSAGE(ReadMetrics(aFleet, "router-2"), hasEnded);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, JournalEntriesOf(aFleet, "left-before-dispatch").size());
  }

  static std::string ReadMetrics(const Fleet& aFleet, const std::string& aRouter)
  {
    const auto response = CallHttp(
      aFleet.Process(aRouter).mAddress, { "GET", "/metrics" }, Millis(5'000), Step::Settings);
    return response.value().mBody;
  }

  static int ReadMetric(const Fleet& aFleet, const std::string& aRouter, const std::string& aName)
  {
    const auto text = ReadMetrics(aFleet, aRouter);
    const auto at = text.find(aName + " ");
    return at == std::string::npos ? 0 : std::stoi(text.substr(at + aName.size() + 1));
  }

  /// A router is killed mid-stream: another one resumes the same run, which is billed once.
  static void CheckRouterKilled(const Fleet& aFleet)
  {
    const auto spent = [&] {
      return aFleet.GetAdmin("router-2", "/admin/v1/budgets/library")
        .value("spent", std::int64_t{ 0 });
    };
    auto call = MakeCall("killed");
    call.mKey = "library-key"; // no other request of this test uses its budget
    int n = 0;
    const auto first = CallChat(aFleet.Process("router-1").mAddress, call, [&](const std::string&) {
      if (++n == 20) {
        aFleet.Signal("router-1", SIGKILL);
      }
      return true;
    });
    CPPUNIT_ASSERT_EQUAL(std::string(), first.mOutcome);
    CPPUNIT_ASSERT(!first.mResumeToken.empty() && !first.mText.empty());
    const int lastReceived = std::stoi(first.mText.substr(first.mText.rfind('w') + 1));
    call.mHeaders.emplace_back("Gentianloom-Resume", first.mResumeToken);
    call.mHeaders.emplace_back("Last-Event-ID", std::to_string(lastReceived));
    const auto second = CallChat(aFleet.Process("router-2").mAddress, call);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(second.mBody.dump(), std::string("done"), second.mOutcome);
    CPPUNIT_ASSERT_EQUAL(ExpectedText(1, kTokens), first.mText + second.mText);
    const auto entries = JournalEntriesOf(aFleet, "killed");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, entries.size());
    const auto ranTokens = entries[0]["prompt_tokens"].get<std::int64_t>() + kTokens;
    CPPUNIT_ASSERT_EQUAL(ranTokens, second.mBody["usage"]["total_tokens"].get<std::int64_t>());
    CPPUNIT_ASSERT(WaitFor([&] { return spent() >= ranTokens; }, Millis(10'000)));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("billed once", ranTokens, spent());
    // Another organisation cannot resume the stream by its request id.
    auto foreignCall = call;
    foreignCall.mKey = "works-key";
    const auto foreignResponse = CallChat(aFleet.Process("router-2").mAddress, foreignCall);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), foreignResponse.mOutcome);
    CPPUNIT_ASSERT(foreignResponse.mText.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestOutcomesTest);

} // namespace gentianloom::testing
