#include "gentianloom/net/HttpClient.h"
#include "gentianloom/net/ResponseEnd.h"

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
  CPPUNIT_TEST(TestEndWhileSending);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::string_view kResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  static constexpr Millis kTimeout{ 1'500 };

  static Task<void> Call(HttpClient& aClient, std::string aBody, std::optional<bool>& aIsAnswered)
  {
    HttpCall call{ aBody.empty() ? "GET" : "POST", "/", std::move(aBody) };
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
  static bool CallOnce(Loop& aLoop, HttpClient& aClient, std::string aBody = {})
  {
    std::optional<bool> out;
    Start(aLoop, "call", Call(aClient, std::move(aBody), out));
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

  // MIXED: a response without a length, whose connection was reset while the request was being
  // written, counted as complete: the failed write takes the error, and the next read returns the
  // end of the stream.
  void TestEndWhileSending()
  {
    enum class End
    {
      Reset,
      Close,         ///< the server closes its side and reads on
      CloseAndReset, ///< it closes its side, and both a moment later
      CloseAndHold,  ///< it closes its side and reads nothing more
    };
    struct Row
    {
      std::string mName;
      End mEnd;
      bool mIsComplete;
      int mRuns;
    };
    const Row rows[] = {
      { "reset", End::Reset, false, 100 },
      { "closed, reads on", End::Close, true, 100 },
      { "closed, then reset", End::CloseAndReset, false, 100 },
      { "closed, reads nothing", End::CloseAndHold, true, 2 },
    };
    constexpr Millis kHoldTime = 2 * kMaxResetDelay;
    constexpr std::size_t kBodyBytes = 4 * 1'024 * 1'024;
    constexpr int kMaxPauseMicros = 400;
    for (const auto& row : rows) {
      for (int n = 0; n < row.mRuns; ++n) {
        gentianloom::testing::ScriptedEngine server;
        Loop loop(1);
        const auto address = ParseSocketAddress(server.Address()).value();
        auto client = std::make_unique<HttpClient>(loop, address, server.Address());
        std::thread thread([&] {
          const Micros pause(n * kMaxPauseMicros / row.mRuns);
          server.AcceptOnly();
          server.Send("HTTP/1.1 200 OK\r\n\r\npart");
          std::this_thread::sleep_for(pause);
          if (row.mEnd != End::Reset) {
            server.FinishSending();
          }
          if (row.mEnd == End::Close) {
            server.ReadToEnd(kBodyBytes);
          } else if (row.mEnd == End::CloseAndHold) {
            std::this_thread::sleep_for(kHoldTime);
          }
          server.Reset();
        });
        const bool isAnswered = CallOnce(loop, *client, std::string(kBodyBytes, 'x'));
        thread.join();
        client = nullptr;
        Finish(loop);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          row.mName + ", run " + std::to_string(n), row.mIsComplete, isAnswered);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

} // namespace gentianloom::net
