#include "support/Fleet.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace gentianloom::testing {

namespace {

constexpr long kResponseTimeoutSeconds = 20;
constexpr std::size_t kMaxBodyBytes = 64 * 1024;

/// Sends raw bytes and reads until the router closes the connection or the timeout passes.
std::string SendRaw(const std::string& aAddress, const std::string& aBytes)
{
  std::string out;
  try {
    Poco::Net::StreamSocket socket{ Poco::Net::SocketAddress(aAddress) };
    socket.setReceiveTimeout(Poco::Timespan(kResponseTimeoutSeconds, 0));
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

std::string MakePost(const std::string& aPath,
                     const std::string& aBody,
                     const std::string& aKey = "culture-key",
                     std::size_t aContentLength = std::string::npos)
{
  const auto length = aContentLength == std::string::npos ? aBody.size() : aContentLength;
  return "POST " + aPath + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer " +
         aKey + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(length) +
         "\r\n\r\n" + aBody;
}

std::string MakeChat(const std::string& aBody, const std::string& aKey = "culture-key")
{
  return MakePost("/v1/chat/completions", aBody, aKey);
}

} // namespace

/**
 * Sends malformed and hostile requests.
 *
 * Guards against unclear errors, against charges for such requests, and against their reaching an
 * engine.
 */
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
    const std::string validMessages = R"("messages":[{"role":"user","content":"x"}])";
    struct Row
    {
      std::string mBytes;
      std::string mStatus;
      std::string mExpectedText; // must be in the response; empty: the outcome is not checked
    };
    const Row rows[] = {
      { "NONSENSE\r\n\r\n", "400", "" },
      { MakeChat("{"), "400", "malformed_json" },
      { MakeChat("[]"), "400", "malformed_json" },
      { MakeChat(std::string(kMaxBodyBytes / 2, '[')), "400", "malformed_json" },
      { MakeChat(R"({"model":1e999})"), "400", "malformed_json" },
      { MakeChat(R"({"model":"slides-large"})"), "400", "body#/messages" },
      { MakeChat(R"({"model":"slides-large","messages":[{"role":3}]})"),
        "400",
        "body#/messages/0/role" },
      { MakeChat("{" + validMessages + "}"), "400", "body#/model" },
      { MakeChat(R"({"model":"slides-large","max_tokens":0,)" + validMessages + "}"),
        "400",
        "body#/max_tokens" },
      { MakeChat(R"({"model":"slides-large","max_tokens":99999999999999999999,)" + validMessages +
                 "}"),
        "400",
        "body#/max_tokens" },
      { MakeChat(R"({"model":"slides-large","stream":"yes",)" + validMessages + "}"),
        "400",
        "body#/stream" },
      { MakeChat(R"({"model":"slides-small",)" + validMessages + "}"), "404", "unknown_model" },
      { MakeChat(R"({"model":"slides-large",)" + validMessages + "}", "stolen"),
        "401",
        "not_authenticated" },
      { MakeChat(std::string(kMaxBodyBytes + 1, ' ')), "413", "body_too_large" },
      { MakePost("/v1/chat/completions", "{}", "culture-key", 100), "400", "malformed_request" },
      { MakePost("/services/nothing/x", "{}"), "404", "unknown_service" },
      { MakePost("/v2/x", "{}"), "404", "unknown_path" },
      { MakePost("/admin/v1/configuration", "{}", "culture-key"), "401", "not_authenticated" },
    };
    for (const auto& row : rows) {
      const auto response = SendRaw(router, row.mBytes);
      const auto text = row.mBytes.substr(0, 200) + "\n-> " + response;
      CPPUNIT_ASSERT_MESSAGE(text, response.starts_with("HTTP/1.1 " + row.mStatus));
      CPPUNIT_ASSERT_MESSAGE(text, response.find(row.mExpectedText) != std::string::npos);
      if (row.mExpectedText.empty()) {
        continue;
      }
      CPPUNIT_ASSERT_MESSAGE(text,
                             response.find("Gentianloom-Outcome: not-run") != std::string::npos);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fleet.JournalEntries().size());
    CheckStillServes(fleet, router);
  }

private:
  /// Checks that a valid request is served afterwards, and that only it is charged.
  static void CheckStillServes(const Fleet& aFleet, const std::string& aRouter)
  {
    const auto response = CallChat(aRouter, ChatCall{});
    CPPUNIT_ASSERT_EQUAL(std::string("done"), response.mOutcome);
    const auto usedTokens = response.mBody["usage"]["total_tokens"].get<std::int64_t>();
    const bool charged = WaitFor(
      [&] {
        const auto view = aFleet.GetAdmin("router-1", "/admin/v1/budgets/culture-department");
        return view.value("spent", std::int64_t{ -1 }) == usedTokens;
      },
      Millis(10'000));
    CPPUNIT_ASSERT(charged);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BadInputTest);

} // namespace gentianloom::testing
