#include "gentianloom/serving/EngineStream.h"
#include "support/ScriptedEngine.h"

#include <Poco/Exception.h>
#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace gentianloom {

class EngineStreamTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EngineStreamTest);
  CPPUNIT_TEST(TestLastEventIsNotDelayed);
  CPPUNIT_TEST(TestStreamEnd);
  CPPUNIT_TEST(TestCutHeads);
  CPPUNIT_TEST(TestInterimResponses);
  CPPUNIT_TEST(TestNoStatus);
  CPPUNIT_TEST(TestStatesNotRun);
  CPPUNIT_TEST(TestUnresponsiveEngine);
  CPPUNIT_TEST(TestEndlessResponse);
  CPPUNIT_TEST(TestEndlessStream);
  CPPUNIT_TEST(TestSlowResponse);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Millis kMaxDuration{ 30'000 };

  static std::unique_ptr<EngineStream> Open(testing::ScriptedEngine& aEngine)
  {
    HttpRequest request{ "POST", "/v1/chat/completions", "{}" };
    auto stream = EngineStream::Start(aEngine.Address(), request, ServingSettings{}, kMaxDuration);
    CPPUNIT_ASSERT(stream.has_value());
    aEngine.Accept();
    CPPUNIT_ASSERT_EQUAL(200, stream.value()->ReadStatus().value());
    return std::move(stream.value());
  }

  /// Returns the next event, skipping comments and blank lines.
  static StreamEvent NextEvent(EngineStream& aStream)
  {
    auto event = aStream.ReadEvent();
    while (event.mState == StreamState::Comment) {
      event = aStream.ReadEvent();
    }
    return event;
  }

public:
  /// The last received event must be relayed at once: if it were reported as followed by more, the
  /// relay would not flush it. The blank line and the chunk end after an event, which stay
  /// buffered, must not count as more. The next read must return Idle instead of blocking.
  void TestLastEventIsNotDelayed()
  {
    struct Row
    {
      std::string_view mChunk;
      int mEvents;
    };
    const Row rows[] = { { "data: {\"a\":1}\n\n", 1 },
                         { "data: {\"a\":1}\r\n\r\n", 1 },
                         { ": comment\n\ndata: {\"a\":1}\n\n", 1 },
                         { "data: {\"a\":1}\n\ndata: {\"b\":2}\n\n", 2 } };
    for (const auto& row : rows) {
      testing::ScriptedEngine engine;
      auto stream = Open(engine);
      engine.SendChunk(row.mChunk);
      for (int n = 1; n <= row.mEvents; ++n) {
        const auto event = NextEvent(*stream);
        CPPUNIT_ASSERT(event.mState == StreamState::Event);
        CPPUNIT_ASSERT_EQUAL(n < row.mEvents, event.mHasMoreBuffered);
      }
      CPPUNIT_ASSERT(stream->ReadEvent().mState == StreamState::Idle);
    }
  }

  // An interim response counted as the final one, and so as the promise that the request did not
  // run. Too many of them are no response.
  void TestInterimResponses()
  {
    struct Row
    {
      int mInterim;
      bool mIsFinalRead;
    };
    const Row rows[] = { { 0, true }, { 1, true }, { 16, true }, { 17, false } };
    for (const auto& row : rows) {
      testing::ScriptedEngine engine;
      HttpRequest request{ "POST", "/v1/chat/completions", "{}" };
      auto stream = EngineStream::Start(engine.Address(), request, ServingSettings{}, kMaxDuration);
      CPPUNIT_ASSERT(stream.has_value());
      engine.AcceptOnly();
      for (int n = 0; n < row.mInterim; ++n) {
        engine.Send("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n");
      }
      engine.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      const auto status = stream.value()->ReadStatus();
      CPPUNIT_ASSERT_EQUAL(row.mIsFinalRead ? 200 : 0, status ? status.value() : 0);
    }
  }

  // TWICE: 202 or 206 counted as the promise that the request did not run, and it ran again.
  void TestStatesNotRun()
  {
    const std::pair<int, bool> rows[] = { { 200, false }, { 202, false }, { 206, false },
                                          { 301, true },  { 400, true },  { 404, true },
                                          { 429, true },  { 500, false }, { 502, false },
                                          { 503, true },  { 504, false } };
    for (const auto& [status, isNotRun] : rows) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(status), isNotRun, StatesNotRun(status));
    }
  }

  // MIXED: a number that is no status counted as the status of an engine's response.
  void TestNoStatus()
  {
    for (const auto* it : { "000", "099", "600", "999" }) {
      testing::ScriptedEngine engine;
      HttpRequest request{ "POST", "/v1/chat/completions", "{}" };
      auto stream = EngineStream::Start(engine.Address(), request, ServingSettings{}, kMaxDuration);
      CPPUNIT_ASSERT(stream.has_value());
      engine.AcceptOnly();
      engine.Send(std::string("HTTP/1.1 ") + it + " X\r\nContent-Length: 0\r\n\r\n");
      CPPUNIT_ASSERT_MESSAGE(it, !stream.value()->ReadStatus());
    }
  }

  /// An engine that accepts the connection and never responds must not block its caller forever:
  /// EngineStream and CallHttp() must both give up after their timeout.
  void TestUnresponsiveEngine()
  {
    constexpr Millis kSilence{ 100 };
    const testing::ScriptedEngine engine;
    const HttpRequest request{ "POST", "/v1/chat/completions", "{}" };
    ServingSettings settings;
    settings.mEndpointIdleTimeout = kSilence;
    const auto stream = EngineStream::Start(engine.Address(), request, settings, kMaxDuration);
    CPPUNIT_ASSERT(stream.has_value());
    CPPUNIT_ASSERT(!stream.value()->ReadStatus().has_value());
    const auto response = CallHttp(engine.Address(), request, kSilence, Step::GrantRead);
    CPPUNIT_ASSERT(!response.has_value());
    CPPUNIT_ASSERT(response.error().mProgress == CallProgress::Sent);
  }

  /// An engine that stopped in the middle of its response's head and closed seemed to have answered
  /// with the status so far: one below 500 counted as "not run", and the request ran again.
  void TestCutHeads()
  {
    const std::string heads[] = {
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
      "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Service Unavailable\r\n\r\n",
    };
    for (const auto& head : heads) {
      for (std::size_t n = 0; n < head.size(); ++n) {
        testing::ScriptedEngine engine;
        const HttpRequest request{ "POST", "/v1/chat/completions", "{}" };
        const auto stream =
          EngineStream::Start(engine.Address(), request, ServingSettings{}, kMaxDuration);
        CPPUNIT_ASSERT(stream.has_value());
        engine.AcceptOnly();
        const auto cut = head.substr(0, n);
        engine.Send(cut);
        engine.FinishSending();
        CPPUNIT_ASSERT_MESSAGE(cut, !stream.value()->ReadStatus());
      }
    }
  }

  /// A response counts as complete only if its end marker was read. A stream that ends without it,
  /// within an event or with an invalid chunk must be reported as broken, never as done.
  void TestStreamEnd()
  {
    struct Row
    {
      std::string_view mBytes;
      StreamState mState;
    };
    const Row rows[] = { { "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n", StreamState::Done },
                         { "0\r\n\r\n", StreamState::Broken },
                         { "5\r\ndata:", StreamState::Broken },
                         { "zz\r\n", StreamState::Broken },
                         { "", StreamState::Broken } };
    for (const auto& row : rows) {
      testing::ScriptedEngine engine;
      auto stream = Open(engine);
      engine.Send(row.mBytes);
      engine.Close();
      CPPUNIT_ASSERT(stream->ReadEvent().mState == row.mState);
    }
  }

private:
  /// Sends a text again and again until the client closes the connection.
  static void Flood(testing::ScriptedEngine& aEngine, std::string_view aText, Millis aPause)
  {
    try {
      while (true) {
        aEngine.Send(aText);
        std::this_thread::sleep_for(aPause);
      }
    } catch (const Poco::Exception&) {
      return;
    }
  }

public:
  /// Bytes without end in a head or a body: memory and time of a call must stay bounded.
  void TestEndlessResponse()
  {
    const std::string block(64 * 1'024, 'a');
    struct Row
    {
      std::string_view mHead;
      std::string_view mRepeated;
      Millis mPause;
    };
    const Row rows[] = {
      { "HTTP/1.1 200 OK\r\n", "X-Pad: a\r\n", Millis(0) },
      { "HTTP/1.1 200 OK\r\nX-Pad: ", block, Millis(0) },
      { "", "HTTP/1.1 100 Continue\r\n\r\n", Millis(0) },
      { "HTTP/1.1 200 OK\r\n\r\n", block, Millis(0) },
      { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", Millis(0) },
      { "HTTP/1.1 200 OK\r\n\r\n", "a", Millis(20) },
    };
    for (const auto& row : rows) {
      testing::ScriptedEngine engine;
      std::thread sender([&] {
        engine.AcceptOnly();
        engine.Send(row.mHead);
        Flood(engine, row.mRepeated, row.mPause);
      });
      const auto start = std::chrono::steady_clock::now();
      const auto response =
        CallHttp(engine.Address(), { "GET", "/" }, Millis(200), Step::GrantRead);
      const auto duration = std::chrono::steady_clock::now() - start;
      sender.join();
      CPPUNIT_ASSERT(!response.has_value());
      CPPUNIT_ASSERT(duration < std::chrono::seconds(2));
    }
  }

  /// A service that goes on sending for longer than three timeouts, within the caller's time, was
  /// cut off.
  void TestSlowResponse()
  {
    constexpr Millis kTimeout{ 100 };
    constexpr Millis kPause{ 50 };
    constexpr int kParts = 10;
    testing::ScriptedEngine engine;
    std::thread sender([&] {
      engine.AcceptOnly();
      engine.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kParts) + "\r\n\r\n");
      for (int n = 0; n < kParts; ++n) {
        std::this_thread::sleep_for(kPause);
        engine.Send("a");
      }
    });
    const auto response =
      CallHttp(engine.Address(), { "GET", "/" }, kTimeout, Step::GrantRead, Millis(10'000));
    sender.join();
    CPPUNIT_ASSERT(response.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string(kParts, 'a'), response.value().mBody);
  }

  /// An event without end must not hold a stream past its deadline.
  void TestEndlessStream()
  {
    const std::string block(64 * 1'024, 'a');
    struct Row
    {
      std::string_view mRepeated;
      Millis mPause;
    };
    const Row rows[] = { { block, Millis(0) }, { "a", Millis(20) } };
    for (const auto& row : rows) {
      testing::ScriptedEngine engine;
      HttpRequest request{ "POST", "/v1/chat/completions", "{}" };
      auto stream =
        EngineStream::Start(engine.Address(), request, ServingSettings{}, Millis(500)).value();
      std::thread sender([&] {
        engine.AcceptOnly();
        engine.Send("HTTP/1.1 200 OK\r\n\r\ndata: ");
        Flood(engine, row.mRepeated, row.mPause);
      });
      const auto start = std::chrono::steady_clock::now();
      CPPUNIT_ASSERT_EQUAL(200, stream->ReadStatus().value());
      const auto event = stream->ReadEvent();
      const auto duration = std::chrono::steady_clock::now() - start;
      stream.reset();
      sender.join();
      CPPUNIT_ASSERT(event.mState == StreamState::Broken);
      CPPUNIT_ASSERT(duration < std::chrono::seconds(2));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineStreamTest);

} // namespace gentianloom
