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
    EventCheckResult mRuling;
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
      bool mEchoes; ///< the engine was seen to echo exchange ids
      std::int64_t mAfter;
      std::vector<Event> mEvents;
    };
    const auto a = Data("req-a");
    const auto own = Data("engine-1");
    const Row rows[] = {
      { "in order", false, 0, { { a, 1, 1, InOrder }, { a, 2, 2, InOrder } } },
      { "prefixed id", false, 0, { { Data("chatcmpl-req-a"), 0, 1, InOrder } } },
      { "duplicate",
        false,
        0,
        { { a, 1, 1, InOrder }, { a, 1, 1, Duplicate }, { a, 2, 2, InOrder } } },
      { "missing", false, 0, { { a, 1, 1, InOrder }, { a, 3, 3, Gap } } },
      { "late", false, 0, { { a, 1, 1, InOrder }, { a, 2, 2, InOrder }, { a, 1, 1, Duplicate } } },
      { "resumed", false, 7, { { a, 7, 7, Duplicate }, { a, 8, 8, InOrder } } },
      { "resumed with a gap", false, 7, { { a, 9, 9, Gap } } },
      { "crossed", false, 0, { { a, 1, 1, InOrder }, { Data("req-b"), 2, 2, WrongExchange } } },
      { "crossed from the start", true, 0, { { Data("req-b"), 1, 1, WrongExchange } } },
      { "ids of its own", false, 0, { { own, 0, 1, InOrder }, { own, 0, 2, InOrder } } },
      { "changed id",
        false,
        0,
        { { own, 0, 1, InOrder }, { Data("engine-2"), 0, 2, WrongExchange } } },
      { "id in a text",
        true,
        0,
        { { Data("req-b", R"(\"id\":\"req-a\")"), 1, 1, WrongExchange } } },
      { "no numbers, copy", false, 0, { { a, 0, 1, InOrder }, { a, 0, 1, Duplicate } } },
      { "no numbers, falls", false, 0, { { a, 0, 2, InOrder }, { a, 0, 1, Gap } } },
      { "no numbers, same count",
        false,
        0,
        { { a, 0, 1, InOrder }, { Data("req-a", "y"), 0, 1, InOrder } } },
      { "no id at all", false, 0, { { "{}", 0, 0, InOrder }, { "not json", 0, 0, InOrder } } },
    };
    for (const auto& row : rows) {
      EchoingEngines echoing;
      if (row.mEchoes) {
        echoing.Note("engine");
      }
      StreamValidator guard("req-a", "engine", echoing, row.mAfter);
      for (const auto& it : row.mEvents) {
        CPPUNIT_ASSERT_MESSAGE(row.mName,
                               guard.Check(it.mData, it.mSequence, it.mTokens) == it.mRuling);
      }
    }
  }

  void TestDrain()
  {
    using enum DrainPhase;
    struct Row
    {
      std::string mName;
      std::vector<int> mSignalsAt; ///< seconds
      std::vector<int> mOpen;      ///< requests open at each second
      std::vector<DrainPhase> mPhases;
    };
    const Row rows[] = {
      { "no signal", {}, { 0, 0 }, { Serving, Serving } },
      { "idle", { 0 }, { 0, 0, 0, 0 }, { Announced, Announced, Draining, Flushing } },
      { "busy", { 0 }, { 1, 1, 1, 1, 0 }, { Announced, Announced, Draining, Draining, Flushing } },
      { "limit",
        { 0 },
        { 1, 1, 1, 1, 1, 1 },
        { Announced, Announced, Draining, Draining, Draining, Flushing } },
      { "second signal", { 0, 1 }, { 1, 1, 1 }, { Announced, Draining, Flushing } },
    };
    for (const auto& row : rows) {
      Drain drain({ Millis(2'000), Millis(3'000) });
      for (std::size_t n = 0; n < row.mOpen.size(); ++n) {
        const TimePoint now{ std::chrono::seconds(n) };
        for (const int it : row.mSignalsAt) {
          if (it == static_cast<int>(n)) {
            drain.OnSignal(now);
          }
        }
        CPPUNIT_ASSERT_MESSAGE(row.mName, drain.Advance(now, row.mOpen[n]) == row.mPhases[n]);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamValidatorTest);

} // namespace gentianloom::testing
