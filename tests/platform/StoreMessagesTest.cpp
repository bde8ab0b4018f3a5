#include "platform/StoreMessages.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace gentianloom::platform {

class StoreMessagesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoreMessagesTest);
  CPPUNIT_TEST(TestOddItems);
  CPPUNIT_TEST(TestOddEvents);
  CPPUNIT_TEST(TestOddBodies);
  CPPUNIT_TEST(TestTransaction);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::string_view kGood =
    R"({"key":"p/good","value":"YQ==","rev":5,"created":3,"lease":7})";

  /// An odd item beside a good one. An empty value: the item is left out.
  struct Row
  {
    std::string mItem;
    std::string mValue;
    bool mIsMalformed;
  };

  static const std::vector<Row>& Rows()
  {
    static const std::string sUnreadable(kUnreadableValue);
    static const std::vector<Row> sRows = {
      { R"({"key":"p/x","value":"YWI=","rev":6})", "ab", false },
      { R"({"key":"p/x","value":"YWI=","rev":6,"created":"?","lease":[1]})", "ab", false },
      { R"({"key":"p/x","value":"?","rev":6})", sUnreadable, true },
      { R"({"key":"p/x","value":"YWI","rev":6})", sUnreadable, true },
      { R"({"key":"p/x","value":5,"rev":6})", sUnreadable, true },
      { R"({"key":"p/x","value":null,"rev":6})", sUnreadable, true },
      { R"({"key":"p/x","value":{"a":[1]},"rev":6})", sUnreadable, true },
      { R"({"key":"p/x","rev":6})", sUnreadable, true },
      { R"({"key":"p/x","value":"YWI="})", sUnreadable, true },
      { R"({"key":"p/x","value":"YWI=","rev":"6"})", sUnreadable, true },
      { R"({"key":"p/x","value":"YWI=","rev":-6})", sUnreadable, true },
      { R"({"key":"p/x","value":"YWI=","rev":6.5})", sUnreadable, true },
      { R"({"key":"p/x","value":"YWI=","rev":1e300})", sUnreadable, true },
      { R"({"key":"p/x","value":"YWI=","rev":18446744073709551615})", sUnreadable, true },
      { R"({"key":5,"value":"YWI=","rev":6})", "", true },
      { R"({"key":null,"value":"YWI=","rev":6})", "", true },
      { R"({"value":"YWI=","rev":6})", "", true },
      { R"({})", "", true },
      { R"([])", "", true },
      { R"("p/x")", "", true },
      { R"(5)", "", true },
      { R"(null)", "", true }
    };
    return sRows;
  }

public:
  // One item with an odd field made the whole page unreadable, or ended the process.
  void TestOddItems()
  {
    for (const auto& row : Rows()) {
      const auto list = R"("items":[)" + row.mItem + "," + std::string(kGood) + "]";
      const auto page = DecodeRangePage("{" + list + R"(,"has-more":true,"at":9})");
      CPPUNIT_ASSERT_MESSAGE(row.mItem, page);
      CPPUNIT_ASSERT(page.value().mHasMore && page.value().mRevision == 9);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mItem, std::size_t{ row.mIsMalformed ? 1U : 0U }, page.value().mMalformed);
      CheckEntries(row, page.value().mEntries);
      CheckEntries(row, DecodeCurrentItems("{" + list + "}"));
    }
  }

  // A watch that cannot read one event never gets beyond it.
  void TestOddEvents()
  {
    for (const auto& row : Rows()) {
      const auto body =
        R"({"events":[)" + row.mItem + "," + std::string(kGood) +
        R"(,{"key":"p/gone","rev":8,"deleted":true},{"key":"p/odd","deleted":true}],"at":9})";
      const auto page = DecodeWatchPage(body);
      CPPUNIT_ASSERT_MESSAGE(row.mItem, page);
      CPPUNIT_ASSERT_EQUAL(Revision{ 9 }, page.value().mRevision);
      auto events = page.value().mEvents;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mItem, std::string("p/gone"), events.back().mEntry.mKey);
      CPPUNIT_ASSERT(events.back().mIsDeleted && events.back().mEntry.mValue.empty());
      events.pop_back();
      std::vector<KeyValue> entries;
      for (const auto& it : events) {
        CPPUNIT_ASSERT(!it.mIsDeleted);
        entries.push_back(it.mEntry);
      }
      const bool isOrdered = entries.size() == 1 || entries.front().mModRevision != 0;
      CPPUNIT_ASSERT_MESSAGE(row.mItem, isOrdered);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mItem, std::string("p/good"), entries.back().mKey);
    }
  }

  void TestOddBodies()
  {
    for (const auto* body : { "",
                              "?",
                              "null",
                              "5",
                              "[]",
                              "{}",
                              R"({"at":9})",
                              R"({"items":[],"events":[]})",
                              R"({"items":5,"events":5,"at":9})",
                              R"({"items":{},"events":{},"at":9})",
                              R"({"items":[],"events":[],"at":"9"})",
                              R"({"items":[],"events":[],"at":-9})" }) {
      CPPUNIT_ASSERT_MESSAGE(body, !DecodeRangePage(body));
      CPPUNIT_ASSERT_MESSAGE(body, !DecodeWatchPage(body));
      CPPUNIT_ASSERT_MESSAGE(body, DecodeCurrentItems(body).empty());
      CPPUNIT_ASSERT_MESSAGE(body, !DecodeRevision(body));
      CPPUNIT_ASSERT_MESSAGE(body, !DecodeLease(body));
    }
    CPPUNIT_ASSERT_EQUAL(Revision{ 4 }, DecodeRevision(R"({"rev":4})").value());
    CPPUNIT_ASSERT_EQUAL(LeaseId{ 5 }, DecodeLease(R"({"lease":5,"ttl-ms":1})").value());
  }

  void TestTransaction()
  {
    const Transaction transaction{ { { "a", 3 } }, { { "a", "x", 7 }, { "b", "", 0, true } } };
    const auto expected = nlohmann::json::parse(
      R"({"expected-rev":[{"key":"a","rev":3}],"puts":[{"key":"a","value":"eA==","lease":7}],)"
      R"("remove":["b"]})");
    CPPUNIT_ASSERT(expected == nlohmann::json::parse(EncodeTransaction(transaction)));
  }

private:
  static void CheckEntries(const Row& aRow, const std::vector<KeyValue>& aEntries)
  {
    const std::size_t expected = aRow.mValue.empty() ? 1 : 2;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(aRow.mItem, expected, aEntries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), aEntries.back().mValue);
    CPPUNIT_ASSERT_EQUAL(Revision{ 5 }, aEntries.back().mModRevision);
    if (!aRow.mValue.empty()) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(aRow.mItem, aRow.mValue, aEntries.front().mValue);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreMessagesTest);

} // namespace gentianloom::platform
