#include "platform/RangeCollector.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace gentianloom::platform {

class RangeCollectorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RangeCollectorTest);
  CPPUNIT_TEST(TestPages);
  CPPUNIT_TEST(TestRepeatedKey);
  CPPUNIT_TEST(TestSizeLimit);
  CPPUNIT_TEST_SUITE_END();

  static RangePage MakePage(const std::vector<std::string>& aKeys, bool aHasMore)
  {
    RangePage out;
    out.mRevision = 3;
    out.mHasMore = aHasMore;
    for (const auto& it : aKeys) {
      out.mEntries.push_back({ it, "v", 1, 2, 0 });
    }
    return out;
  }

public:
  // A page that did not go beyond the one before it was read without end.
  void TestPages()
  {
    struct Row
    {
      std::vector<std::vector<std::string>> mPages; ///< all but the last one state more
      bool mIsRead;
      std::string mLastKey;
    };
    const Row rows[] = {
      { { { "p/a", "p/b" }, { "p/c" } }, true, "p/c" },
      { { {} }, true, "" },
      { { { "p/a" }, {} }, true, "p/a" },
      { { { "p/a", "p/b" }, { "p/b", "p/c" }, {} }, true, "p/c" },
      // The order is the service's, which need not be that of the bytes.
      { { { "p/\xf0\x9f\x98\x80" }, { "p/\xef\xbf\xbd" }, { "p/a" } }, true, "p/a" },
      { { { "p/a" }, { "p/a" }, {} }, false, "p/a" },
      { { { "p/a" }, { "p/b" }, { "p/a" }, {} }, false, "p/b" },
      { { {}, { "p/a" } }, false, "" },
      { { { "p/a" }, {}, { "p/b" } }, false, "p/a" },
      { { { "q/a" }, { "p/b" } }, false, "" },
      { { { "p", "", "p/a", "q/a" }, { "q/b" } }, true, "p/a" },
    };
    for (const auto& row : rows) {
      RangeCollector range("p/");
      bool isRead = true;
      for (std::size_t n = 0; isRead && n < row.mPages.size(); ++n) {
        const bool hasMore = n + 1 < row.mPages.size();
        const auto more = range.Add(MakePage(row.mPages[n], hasMore));
        isRead = more.has_value();
        CPPUNIT_ASSERT(!isRead || more.value() == hasMore);
      }
      CPPUNIT_ASSERT_EQUAL(row.mIsRead, isRead);
      CPPUNIT_ASSERT_EQUAL(row.mLastKey, range.After());
      for (const auto& it : range.Take().mEntries) {
        CPPUNIT_ASSERT(it.mKey.starts_with("p/"));
      }
    }
  }

  // Pages are not a snapshot: what was read later is newer.
  void TestRepeatedKey()
  {
    RangeCollector range("p/");
    CPPUNIT_ASSERT(range.Add(MakePage({ "p/a", "p/b" }, true)).value());
    auto page = MakePage({ "p/a", "p/c" }, false);
    page.mRevision = 9;
    page.mEntries.front().mValue = "new";
    CPPUNIT_ASSERT(!range.Add(std::move(page)).value());
    const auto out = range.Take();
    CPPUNIT_ASSERT_EQUAL(Revision{ 3 }, out.mRevision);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, out.mEntries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("new"), out.mEntries.front().mValue);
  }

  // Nothing bounded what was gathered.
  void TestSizeLimit()
  {
    constexpr std::size_t kValueBytes = 1'024 * 1'024;
    RangeCollector range("p/");
    std::size_t pages = 0;
    for (bool isRead = true; isRead && pages <= 2 * RangeCollector::kMaxBytes / kValueBytes;) {
      auto page = MakePage({ "p/" + std::to_string(pages) }, true);
      page.mEntries.front().mValue.assign(kValueBytes, 'v');
      isRead = range.Add(std::move(page)).has_value();
      ++pages;
    }
    CPPUNIT_ASSERT_EQUAL(RangeCollector::kMaxBytes / kValueBytes, pages);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RangeCollectorTest);

} // namespace gentianloom::platform
