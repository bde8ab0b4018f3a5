#include "gentianloom/serving/ChatDelta.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace gentianloom {

class ChatDeltaTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ChatDeltaTest);
  CPPUNIT_TEST(TestEvents);
  CPPUNIT_TEST_SUITE_END();

public:
  // An event with a null for its text threw through the thread that relays the response.
  void TestEvents()
  {
    struct Row
    {
      std::string mData;
      std::string mText;
      std::string mFinishReason;
    };
    const Row rows[] = {
      { R"({"choices":[{"delta":{"content":"a"}}]})", "a", "" },
      { R"({"choices":[{"delta":{"content":"a"},"finish_reason":"stop"}]})", "a", "stop" },
      { R"({"choices":[{"delta":{"content":null},"finish_reason":"stop"}]})", "", "stop" },
      { R"({"choices":[{"delta":{},"finish_reason":null}]})", "", "" },
      { R"({"choices":[{"delta":null,"finish_reason":"stop"}]})", "", "stop" },
      { R"({"choices":[{"delta":"a"}]})", "", "" },
      { R"({"choices":[{"delta":{"content":["a"]}}]})", "", "" },
      { R"({"choices":[5]})", "", "" },
      { R"({"choices":[]})", "", "" },
      { R"({"choices":{"a":1}})", "", "" },
      { R"({"choices":5})", "", "" },
      { R"([])", "", "" },
      { "?", "", "" },
      { "", "", "" }
    };
    for (const auto& row : rows) {
      const auto delta = ParseChatDelta(row.mData);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mData, row.mText, delta.mText);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mData, row.mFinishReason, delta.mFinishReason);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChatDeltaTest);

} // namespace gentianloom
