#include "gentianloom/outcome/StreamValidator.h"
#include "gentianloom/outcome/Drain.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace gentianloom::testing {

class StreamValidatorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StreamValidatorTest);
  CPPUNIT_TEST(TestEvents);
  CPPUNIT_TEST(TestDrain);
  CPPUNIT_TEST_SUITE_END();

  struct Event
  {
    std::string mData;
    std::int64_t mSequence;
    std::int64_t mTokens;
    EventCheckResult mExpected;
  };

  static std::string Data(const std::string& aId, const std::string& aText = "x")
  {
    return R"({"choices":[{"delta":{"content":")" + aText + R"("}}],"id":")" + aId + "\"}";
  }

public:
  void TestEvents()
  {
    using enum EventCheckResult;
    struct Row
    {
      std::string mName;
      bool mIsKnownToEcho; ///< the engine has echoed an exchange id before
      std::int64_t mLastSequence;
      std::vector<Event> mEvents;
    };
    const auto a = Data("req-a");
    const auto generated = Data("engine-1");
    const Row rows[] = {
      { "in order", false, 0, { { a, 1, 1, InOrder }, { a, 2, 2, InOrder } } },
      { "prefixed id", false, 0, { { Data("chatcmpl-req-a"), 0, 1, InOrder } } },
      { "duplicate",
        false,
        0,
        { { a, 1, 1, InOrder }, { a, 1, 1, Duplicate }, { a, 2, 2, InOrder } } },
      { "missing event", false, 0, { { a, 1, 1, InOrder }, { a, 3, 3, Gap } } },
      { "delayed duplicate",
        false,
        0,
        { { a, 1, 1, InOrder }, { a, 2, 2, InOrder }, { a, 1, 1, Duplicate } } },
      { "resumed stream", false, 7, { { a, 7, 7, Duplicate }, { a, 8, 8, InOrder } } },
      { "resumed stream with a gap", false, 7, { { a, 9, 9, Gap } } },
      { "event of another exchange",
        false,
        0,
        { { a, 1, 1, InOrder }, { Data("req-b"), 2, 2, WrongExchange } } },
      { "first event of another exchange", true, 0, { { Data("req-b"), 1, 1, WrongExchange } } },
      { "engine generates ids",
        false,
        0,
        { { generated, 0, 1, InOrder }, { generated, 0, 2, InOrder } } },
      { "engine changes its id",
        false,
        0,
        { { generated, 0, 1, InOrder }, { Data("engine-2"), 0, 2, WrongExchange } } },
      { "exchange id inside the content",
        true,
        0,
        { { Data("req-b", R"(\"id\":\"req-a\")"), 1, 1, WrongExchange } } },
      { "no numbers, duplicate", false, 0, { { a, 0, 1, InOrder }, { a, 0, 1, Duplicate } } },
      { "no numbers, token count decreases", false, 0, { { a, 0, 2, InOrder }, { a, 0, 1, Gap } } },
      { "no numbers, same token count",
        false,
        0,
        { { a, 0, 1, InOrder }, { Data("req-a", "y"), 0, 1, InOrder } } },
      { "no id", false, 0, { { "{}", 0, 0, InOrder }, { "not json", 0, 0, InOrder } } },
    };
    for (const auto& row : rows) {
      EchoingEngines echoingEngines;
      if (row.mIsKnownToEcho) {
        echoingEngines.Add("engine");
      }
      StreamValidator validator("req-a", "engine", echoingEngines, row.mLastSequence);
      for (const auto& it : row.mEvents) {
        CPPUNIT_ASSERT_MESSAGE(row.mName,
                               validator.Check(it.mData, it.mSequence, it.mTokens) == it.mExpected);
      }
    }
  }

  void TestDrain()
  {
    using enum DrainPhase;
    struct Row
    {
      std::string mName;
      std::vector<int> mSignalSeconds; ///< when signals arrive
      std::vector<int> mOpenRequests;  ///< number of open requests at each second
      std::vector<DrainPhase> mPhases;
    };
    const Row rows[] = {
      { "no signal", {}, { 0, 0 }, { Serving, Serving } },
      { "no open requests",
        { 0 },
        { 0, 0, 0, 0 },
        { AddressWithdrawn, AddressWithdrawn, Draining, Flushing } },
      { "open requests complete",
        { 0 },
        { 1, 1, 1, 1, 0 },
        { AddressWithdrawn, AddressWithdrawn, Draining, Draining, Flushing } },
      { "drain limit",
        { 0 },
        { 1, 1, 1, 1, 1, 1 },
        { AddressWithdrawn, AddressWithdrawn, Draining, Draining, Draining, Flushing } },
      { "second signal", { 0, 1 }, { 1, 1, 1 }, { AddressWithdrawn, Draining, Flushing } },
    };
    for (const auto& row : rows) {
      Drain drain({ Millis(2'000), Millis(3'000) });
      for (std::size_t n = 0; n < row.mOpenRequests.size(); ++n) {
        const TimePoint now{ std::chrono::seconds(n) };
        for (const int it : row.mSignalSeconds) {
          if (it == static_cast<int>(n)) {
            drain.OnSignal(now);
          }
        }
        CPPUNIT_ASSERT_MESSAGE(row.mName,
                               drain.Advance(now, row.mOpenRequests[n]) == row.mPhases[n]);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamValidatorTest);

} // namespace gentianloom::testing
