#include "gentianloom/serving/EngineStream.h"
#include "support/ScriptedEngine.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gentianloom {

class EngineStreamTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EngineStreamTest);
  CPPUNIT_TEST(TestLastEventIsNotDelayed);
  CPPUNIT_TEST(TestStreamEnd);
  CPPUNIT_TEST(TestUnresponsiveEngine);
  CPPUNIT_TEST_SUITE_END();

  static std::unique_ptr<EngineStream> Open(testing::ScriptedEngine& aEngine)
  {
    HttpRequest request{ "POST", "/v1/chat/completions", "{}" };
    auto stream = EngineStream::Start(aEngine.Address(), request, ServingSettings{});
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

  /// An engine that accepts the connection and never responds must not block its caller forever:
  /// EngineStream and CallHttp() must both give up after their timeout.
  void TestUnresponsiveEngine()
  {
    constexpr Millis kSilence{ 100 };
    const testing::ScriptedEngine engine;
    const HttpRequest request{ "POST", "/v1/chat/completions", "{}" };
    ServingSettings settings;
    settings.mEndpointIdleTimeout = kSilence;
    const auto stream = EngineStream::Start(engine.Address(), request, settings);
    CPPUNIT_ASSERT(stream.has_value());
    CPPUNIT_ASSERT(!stream.value()->ReadStatus().has_value());
    const auto response = CallHttp(engine.Address(), request, kSilence, Step::GrantRead);
    CPPUNIT_ASSERT(!response.has_value());
    CPPUNIT_ASSERT(response.error().mProgress == CallProgress::Sent);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineStreamTest);

} // namespace gentianloom
