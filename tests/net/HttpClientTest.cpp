#include "gentianloom/net/HttpClient.h"

#include "support/RunLoop.h"
#include "support/ScriptedEngine.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace gentianloom::net {

class HttpClientTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpClientTest);
  CPPUNIT_TEST(TestIdleConnections);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::string_view kResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  static constexpr Millis kTimeout{ 1'500 };

  static Task<void> Call(HttpClient& aClient, std::optional<bool>& aIsAnswered)
  {
    HttpCall call{ "GET", "/", "" };
    const auto reply = co_await aClient.Call(std::move(call), kTimeout);
    aIsAnswered = reply.has_value();
  }

  /// Lets the coroutines of closed connections end before their loop does.
  static void Finish(Loop& aLoop)
  {
    aLoop.restart();
    aLoop.run_for(Millis(50));
  }

  /// Makes one call. @return whether it was answered
  static bool CallOnce(Loop& aLoop, HttpClient& aClient)
  {
    std::optional<bool> out;
    Start(aLoop, "call", Call(aClient, out));
    CPPUNIT_ASSERT(testing::RunUntil(aLoop, [&] { return out.has_value(); }));
    return out.value_or(false);
  }

public:
  // A connection that was idle had gone silent, and a watch on it told of an endpoint that left
  // only after its timeout. The server here answers one request on each connection.
  void TestIdleConnections()
  {
    struct Row
    {
      Millis mIdle;
      bool mIsReused;
    };
    const Row rows[] = { { Millis(0), true }, { HttpClient::kMaxIdle + Millis(100), false } };
    for (const auto& row : rows) {
      gentianloom::testing::ScriptedEngine server;
      Loop loop(1);
      const auto address = ParseSocketAddress(server.Address()).value();
      auto client = std::make_unique<HttpClient>(loop, address, server.Address());
      std::thread first([&] {
        server.AcceptOnly();
        server.Send(kResponse);
      });
      CPPUNIT_ASSERT(CallOnce(loop, *client));
      first.join();
      std::this_thread::sleep_for(row.mIdle);
      std::thread second([&] {
        if (!row.mIsReused) {
          server.AcceptOnly();
        }
        server.Send(kResponse);
      });
      const bool isAnswered = CallOnce(loop, *client);
      if (!isAnswered) {
        client = std::make_unique<HttpClient>(loop, address, server.Address());
        (void)CallOnce(loop, *client); // the server waits for a connection
      }
      second.join();
      client = nullptr;
      Finish(loop);
      CPPUNIT_ASSERT(isAnswered);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

} // namespace gentianloom::net
