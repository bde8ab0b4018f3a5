#include "gentianloom/net/HttpHead.h"
#include "gentianloom/net/HttpClient.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace gentianloom::net {

class HttpHeadTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpHeadTest);
  CPPUNIT_TEST(TestRemoveHopByHop);
  CPPUNIT_TEST(TestSerialization);
  CPPUNIT_TEST(TestParseSocketAddress);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestRemoveHopByHop()
  {
    HeaderList list;
    for (const auto& name : { "Connection", "keep-alive", "X-Named", "TE", "X-Kept", "Upgrade" }) {
      list.Add(name, EqualsIgnoreCase(name, "Connection") ? "close, x-named" : "1");
    }
    CPPUNIT_ASSERT(list.HasToken("connection", "CLOSE"));
    CPPUNIT_ASSERT(!list.HasToken("connection", "clos"));
    list.RemoveHopByHop();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, list.Lines().size());
    CPPUNIT_ASSERT_EQUAL(std::string("X-Kept"), list.Lines().front().first);
  }

  void TestSerialization()
  {
    RequestHead request{ "POST", "/a", {}, true };
    request.mHeaders.Add("Host", "h");
    request.mHeaders.Add("Content-Length", "99");
    request.mHeaders.Add("Transfer-Encoding", "chunked");
    CPPUNIT_ASSERT_EQUAL(std::string("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"),
                         SerializeRequestHead(request, 0));
    CPPUNIT_ASSERT_EQUAL(std::string("POST /a HTTP/1.1\r\nHost: h\r\n\r\n"),
                         SerializeRequestHead(request, std::nullopt));
    const ResponseHead response{ 200, "OK", {}, true };
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
                         SerializeResponseHead(response, Framing::Chunked, 0));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"),
                         SerializeResponseHead(response, Framing::Length, 7));
    CPPUNIT_ASSERT_EQUAL(std::string("10\r\n0123456789abcdef\r\n"),
                         SerializeChunk("0123456789abcdef"));
  }

  void TestParseSocketAddress()
  {
    struct Row
    {
      std::string mText;
      bool mIsGood;
    };
    const Row rows[] = {
      { "10.1.0.40:8227", true }, { "10.1.0.40", false },       { "", false },
      { "10.1.0.40:0", false },   { "10.1.0.40:65536", false }, { "host:80", false },
      { "10.1.0.40:8x", false }
    };
    for (const auto& row : rows) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mText, row.mIsGood, ParseSocketAddress(row.mText).has_value());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpHeadTest);

} // namespace gentianloom::net
