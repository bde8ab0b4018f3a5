#include "support/Fleet.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace gentianloom::testing {

namespace {

constexpr long kAnswerSeconds = 20;
constexpr std::size_t kMostBodyBytes = 64 * 1024;

/// Sends bytes as they are and reads until the router closes or stops sending.
std::string SendRaw(const std::string& aAddress, const std::string& aBytes)
{
  std::string out;
  try {
    Poco::Net::StreamSocket socket{ Poco::Net::SocketAddress(aAddress) };
    socket.setReceiveTimeout(Poco::Timespan(kAnswerSeconds, 0));
    socket.sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
    socket.shutdownSend();
    std::array<char, 4096> buf{};
    for (int n = socket.receiveBytes(buf.data(), buf.size()); n > 0;
         n = socket.receiveBytes(buf.data(), buf.size())) {
      out.append(buf.data(), static_cast<std::size_t>(n));
    }
  } catch (const Poco::Exception&) {
    return out;
  }
  return out;
}

std::string Post(const std::string& aPath,
                 const std::string& aBody,
                 const std::string& aKey = "culture-key",
                 std::size_t aStatedLength = std::string::npos)
{
  const auto length = aStatedLength == std::string::npos ? aBody.size() : aStatedLength;
  return "POST " + aPath + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer " +
         aKey + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(length) +
         "\r\n\r\n" + aBody;
}

std::string Chat(const std::string& aBody, const std::string& aKey = "culture-key")
{
  return Post("/v1/chat/completions", aBody, aKey);
}

} // namespace

/// What callers may send wrongly: a clear error, no charge, and nothing reaches an engine.
class BadInputTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BadInputTest);
  CPPUNIT_TEST(TestBadInput);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestBadInput()
  {
    FleetOptions options;
    options.mRouters = 1;
    options.mEngines = 1;
    options.mRouterSettings = R"({ "serving": { "mostBodyBytes": 65536, "clientIdleMs": 2000 },
                                   "drain": { "addressLifetimeMs": 0 } })";
    const Fleet fleet(options);
    fleet.ApplyEverywhere(ReadBragaExample());
    const auto& router = fleet.Process("router-1").mAddress;
    const std::string good = R"("messages":[{"role":"user","content":"x"}])";
    struct Row
    {
      std::string mBytes;
      std::string mStatus;
      std::string mPart; // must stand in the body
    };
    const Row rows[] = {
      { "NONSENSE\r\n\r\n", "400", "" },
      { Chat("{"), "400", "malformed_json" },
      { Chat("[]"), "400", "malformed_json" },
      { Chat(std::string(kMostBodyBytes / 2, '[')), "400", "malformed_json" },
      { Chat(R"({"model":1e999})"), "400", "malformed_json" },
      { Chat(R"({"model":"slides-large"})"), "400", "body#/messages" },
      { Chat(R"({"model":"slides-large","messages":[{"role":3}]})"),
        "400",
        "body#/messages/0/role" },
      { Chat("{" + good + "}"), "400", "body#/model" },
      { Chat(R"({"model":"slides-large","max_tokens":0,)" + good + "}"),
        "400",
        "body#/max_tokens" },
      { Chat(R"({"model":"slides-large","max_tokens":99999999999999999999,)" + good + "}"),
        "400",
        "body#/max_tokens" },
      { Chat(R"({"model":"slides-large","stream":"yes",)" + good + "}"), "400", "body#/stream" },
      { Chat(R"({"model":"slides-small",)" + good + "}"), "404", "unknown_model" },
      { Chat(R"({"model":"slides-large",)" + good + "}", "stolen"), "401", "not_authenticated" },
      { Chat(std::string(kMostBodyBytes + 1, ' ')), "413", "body_too_large" },
      { Post("/v1/chat/completions", "{}", "culture-key", 100), "400", "malformed_request" },
      { Post("/services/nothing/x", "{}"), "404", "unknown_service" },
      { Post("/v2/x", "{}"), "404", "unknown_path" },
      { Post("/admin/v1/configuration", "{}", "culture-key"), "401", "not_authenticated" },
    };
    for (const auto& row : rows) {
      const auto answer = SendRaw(router, row.mBytes);
      const auto text = row.mBytes.substr(0, 200) + "\n-> " + answer;
      CPPUNIT_ASSERT_MESSAGE(text, answer.starts_with("HTTP/1.1 " + row.mStatus));
      CPPUNIT_ASSERT_MESSAGE(text, answer.find(row.mPart) != std::string::npos);
      if (row.mPart.empty()) {
        continue;
      }
      CPPUNIT_ASSERT_MESSAGE(text,
                             answer.find("Gentianloom-Outcome: not-run") != std::string::npos);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fleet.JournalEntries().size());
    CheckStillServes(fleet, router);
  }

private:
  /// After all of it, a good request is served, and only it is charged.
  static void CheckStillServes(const Fleet& aFleet, const std::string& aRouter)
  {
    const auto answer = CallChat(aRouter, ChatCall{});
    CPPUNIT_ASSERT_EQUAL(std::string("done"), answer.mOutcome);
    const auto used = answer.mBody["usage"]["total_tokens"].get<std::int64_t>();
    const bool charged = WaitFor(
      [&] {
        const auto view = aFleet.GetAdmin("router-1", "/admin/v1/budgets/culture-department");
        return view.value("spent", std::int64_t{ -1 }) == used;
      },
      Millis(10'000));
    CPPUNIT_ASSERT(charged);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BadInputTest);

} // namespace gentianloom::testing
