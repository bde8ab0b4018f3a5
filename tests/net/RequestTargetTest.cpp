#include "gentianloom/net/RequestTarget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace gentianloom::net {

class RequestTargetTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestTargetTest);
  CPPUNIT_TEST(TestEncoding);
  CPPUNIT_TEST(TestEachByte);
  CPPUNIT_TEST(TestParts);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kBytes = 256;

public:
  // A key of another writer became part of the syntax of the target.
  void TestEncoding()
  {
    struct Row
    {
      std::string mText;
      std::string mInQuery;
      std::string mInSegment;
    };
    const Row rows[] = {
      { "servers/i-7f3a91c2", "servers/i-7f3a91c2", "servers%2Fi-7f3a91c2" },
      { "a.b_c~d", "a.b_c~d", "a.b_c~d" },
      { "10.1.0.40:80", "10.1.0.40:80", "10.1.0.40%3A80" },
      { "&after=zz", "%26after%3Dzz", "%26after%3Dzz" },
      { "+ #?", "%2B%20%23%3F", "%2B%20%23%3F" },
      { "%20x%", "%2520x%25", "%2520x%25" },
      { "a\r\n\t", "a%0D%0A%09", "a%0D%0A%09" },
      { std::string("\0\x7f", 2), "%00%7F", "%00%7F" },
      { "\xc3\xa9", "%C3%A9", "%C3%A9" },
      { "", "", "" },
    };
    for (const auto& row : rows) {
      CPPUNIT_ASSERT_EQUAL("/p?k=" + row.mInQuery,
                           RequestTarget("/p").AddParameter("k", row.mText).Text());
      CPPUNIT_ASSERT_EQUAL("/p/" + row.mInSegment,
                           RequestTarget("/p").AddSegment(row.mText).Text());
    }
  }

  // Whatever the byte is, it stays within its part, which is printable.
  void TestEachByte()
  {
    constexpr std::string_view kSyntax = "?#&=+; \"<>\\^`{|}";
    for (int n = 0; n < kBytes; ++n) {
      const std::string text(1, static_cast<char>(n));
      const auto target = RequestTarget("").AddParameter("k", text).Text();
      const auto value = target.substr(std::string_view("?k=").size());
      const bool isEncoded = value.size() == 3 && value.front() == '%';
      CPPUNIT_ASSERT_MESSAGE(target, isEncoded || (value == text && n > ' ' && n < '\x7f'));
      CPPUNIT_ASSERT_MESSAGE(target, isEncoded || kSyntax.find(value) == std::string_view::npos);
    }
  }

  void TestParts()
  {
    const auto target =
      RequestTarget("/v1").AddSegment("a/b").AddParameter("n", "1").AddParameter("m", "&");
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/a%2Fb?n=1&m=%26"), target.Text());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestTargetTest);

} // namespace gentianloom::net
