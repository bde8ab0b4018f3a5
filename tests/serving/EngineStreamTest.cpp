#include "gentianloom/serving/EngineStream.h"
#include "support/ScriptedEngine.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gentianloom {

class EngineStreamTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EngineStreamTest);
  CPPUNIT_TEST(TestLastEventIsNotHeldBack);
  CPPUNIT_TEST(TestEnds);
  CPPUNIT_TEST(TestSilentPeer);
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

  /// Reads past comments and blank lines.
  static StreamEvent NextEvent(EngineStream& aStream)
  {
    auto event = aStream.Next();
    while (event.mState == StreamState::Comment) {
      event = aStream.Next();
    }
    return event;
  }

public:
  /// An event with nothing after it says so, and reading on is idle, not blocked.
  void TestLastEventIsNotHeldBack()
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
        CPPUNIT_ASSERT_EQUAL(n < row.mEvents, event.mMoreBuffered);
      }
      CPPUNIT_ASSERT(stream->Next().mState == StreamState::Idle);
    }
  }

  /// A peer that takes the connection and never answers is given up after the stated time.
  void TestSilentPeer()
  {
    constexpr Millis kSilence{ 100 };
    const testing::ScriptedEngine engine;
    const HttpRequest request{ "POST", "/v1/chat/completions", "{}" };
    ServingSettings settings;
    settings.mEndpointIdleTimeout = kSilence;
    const auto stream = EngineStream::Start(engine.Address(), request, settings);
    CPPUNIT_ASSERT(stream.has_value());
    CPPUNIT_ASSERT(!stream.value()->ReadStatus().has_value());
    const auto answer = CallHttp(engine.Address(), request, kSilence, Step::GrantRead);
    CPPUNIT_ASSERT(!answer.has_value());
    CPPUNIT_ASSERT(answer.error().mProgress == CallProgress::Sent);
  }

  void TestEnds()
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
      CPPUNIT_ASSERT(stream->Next().mState == row.mState);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineStreamTest);

} // namespace gentianloom
