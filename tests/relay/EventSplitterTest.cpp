#include "gentianloom/relay/EventSplitter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace gentianloom {

class EventSplitterTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EventSplitterTest);
  CPPUNIT_TEST(TestSplitsEvents);
  CPPUNIT_TEST(TestAcceptsInputSplitAtAnyByte);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestSplitsEvents()
  {
    struct Row
    {
      std::string mName;
      std::string mBytes;
      std::vector<std::optional<std::int64_t>> mIds;
      std::string mIncomplete;
      bool mEndsInsideEvent = false;
    };
    const Row rows[] = {
      { "one event", "id: 4\ndata: x\n\n", { 4 }, "" },
      { "id after the data", "data: x\nid:12\n\n", { 12 }, "" },
      { "CRLF line endings", "id: 4\r\ndata: x\r\n\r\n", { 4 }, "" },
      { "no id", "data: x\n\n", { std::nullopt }, "" },
      { "id that is not a number", "id: x\n\n", { std::nullopt }, "" },
      { "incomplete second event", "id: 1\ndata: x\n\nid: 2\nda", { 1 }, "id: 2\nda", true },
      { "an event without its blank line", "id: 1\ndata: x\n", {}, "id: 1\ndata: x\n", true },
      { "a comment at the end", "id: 1\n\n: bye\r\n", { 1 }, ": bye\r\n", false },
      { "part of a comment", "id: 1\n\n: by", { 1 }, ": by", false },
      { "an event after a comment", ": hi\nid", {}, ": hi\nid", true },
      { "data that contains an id field", "data: id: 9\n\n", { std::nullopt }, "" },
    };
    for (const auto& row : rows) {
      EventSplitter splitter;
      const auto events = splitter.Append(row.mBytes);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mIds.size(), events.size());
      for (std::size_t n = 0; n < events.size(); ++n) {
        CPPUNIT_ASSERT_MESSAGE(row.mName, row.mIds[n] == events[n].mId);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mIncomplete, splitter.Incomplete());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mEndsInsideEvent, splitter.EndsInsideEvent());
    }
  }

  // A read from the connection can end at any byte of an event.
  void TestAcceptsInputSplitAtAnyByte()
  {
    const std::string bytes = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    for (std::size_t split = 0; split <= bytes.size(); ++split) {
      EventSplitter splitter;
      std::string forwarded;
      for (const auto& part : { bytes.substr(0, split), bytes.substr(split) }) {
        for (const auto& event : splitter.Append(part)) {
          forwarded += event.mBytes;
        }
      }
      CPPUNIT_ASSERT_EQUAL(bytes, forwarded);
      CPPUNIT_ASSERT(splitter.Incomplete().empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventSplitterTest);

} // namespace gentianloom
