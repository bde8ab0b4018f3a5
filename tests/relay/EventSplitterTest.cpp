#include "gentianloom/relay/EventSplitter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace gentianloom {

class EventSplitterTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EventSplitterTest);
  CPPUNIT_TEST(TestEvents);
  CPPUNIT_TEST(TestAnyCut);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestEvents()
  {
    struct Row
    {
      std::string mName;
      std::string mBytes;
      std::vector<std::optional<std::int64_t>> mIds;
      std::string mRest;
    };
    const Row rows[] = {
      { "one", "id: 4\ndata: x\n\n", { 4 }, "" },
      { "id behind the data", "data: x\nid:12\n\n", { 12 }, "" },
      { "line ends of two bytes", "id: 4\r\ndata: x\r\n\r\n", { 4 }, "" },
      { "no id", "data: x\n\n", { std::nullopt }, "" },
      { "id that is no number", "id: x\n\n", { std::nullopt }, "" },
      { "cut", "id: 1\ndata: x\n\nid: 2\nda", { 1 }, "id: 2\nda" },
      { "data that looks like an id", "data: id: 9\n\n", { std::nullopt }, "" },
    };
    for (const auto& row : rows) {
      EventSplitter splitter;
      const auto events = splitter.Put(row.mBytes);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mIds.size(), events.size());
      for (std::size_t n = 0; n < events.size(); ++n) {
        CPPUNIT_ASSERT_MESSAGE(row.mName, row.mIds[n] == events[n].mId);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mRest, splitter.Rest());
    }
  }

  void TestAnyCut()
  {
    const std::string bytes = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
      EventSplitter splitter;
      std::string seen;
      for (const auto& part : { bytes.substr(0, cut), bytes.substr(cut) }) {
        for (const auto& it : splitter.Put(part)) {
          seen += it.mBytes;
        }
      }
      CPPUNIT_ASSERT_EQUAL(bytes, seen);
      CPPUNIT_ASSERT(splitter.Rest().empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventSplitterTest);

} // namespace gentianloom
