#include "gentianloom/net/HttpParser.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace gentianloom::net {

class HttpParserTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpParserTest);
  CPPUNIT_TEST(TestRequests);
  CPPUNIT_TEST(TestRequestsInFragments);
  CPPUNIT_TEST(TestLimits);
  CPPUNIT_TEST(TestResponses);
  CPPUNIT_TEST(TestInterimResponse);
  CPPUNIT_TEST(TestCutResponseHeads);
  CPPUNIT_TEST(TestChunkedBodyInFragments);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestRequests()
  {
    struct Row
    {
      std::string mName;
      std::string mBytes;
      ParseState mState;
      std::string mBody;
      std::size_t mUnconsumed; // bytes that belong to the next request
    };
    const Row rows[] = {
      { "no body", "GET /a/b HTTP/1.1\r\nHost: h\r\n\r\n", ParseState::Done, "", 0 },
      { "length",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
        ParseState::Done,
        "abc",
        0 },
      { "chunks",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0"
        "\r\n\r\n",
        ParseState::Done,
        "abcde",
        0 },
      { "followed by the next request",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /",
        ParseState::Done,
        "abc",
        5 },
      { "incomplete body",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabc",
        ParseState::HeadDone,
        "",
        0 },
      { "both framings",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: "
        "chunked\r\n\r\n0\r\n\r\n",
        ParseState::Failed,
        "",
        0 },
      { "two lengths",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        ParseState::Failed,
        "",
        0 },
      { "the same length twice",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        ParseState::Failed,
        "",
        0 },
      { "negative length",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -3\r\n\r\nabc",
        ParseState::Failed,
        "",
        0 },
      { "unsupported transfer coding",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        ParseState::Failed,
        "",
        0 },
      { "identity transfer coding",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: identity\r\n\r\n",
        ParseState::Failed,
        "",
        0 },
      { "invalid chunk size",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n",
        ParseState::Failed,
        "",
        0 },
      { "bare line feeds", "GET /a HTTP/1.1\nHost: h\n\n", ParseState::Failed, "", 0 },
      { "space before the colon",
        "GET /a HTTP/1.1\r\nHost : h\r\n\r\n",
        ParseState::Failed,
        "",
        0 },
      { "no host", "GET /a HTTP/1.1\r\nA: b\r\n\r\n", ParseState::Failed, "", 0 },
      { "two hosts", "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", ParseState::Failed, "", 0 },
      { "absolute target",
        "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n",
        ParseState::Failed,
        "",
        0 },
      { "not HTTP", "hello\r\n\r\n", ParseState::Failed, "", 0 },
    };
    for (const auto& row : rows) {
      RequestParser parser({});
      const auto used = parser.Put(row.mBytes);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mName, static_cast<int>(row.mState), static_cast<int>(parser.State()));
      if (row.mState != ParseState::Done) {
        continue;
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mUnconsumed, row.mBytes.size() - used);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mBody, parser.TakeBody());
    }
  }

  void TestRequestsInFragments()
  {
    const std::string bytes = "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nX-One: 1\r\nTransfer-Encoding: "
                              "chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n";
    for (std::size_t step = 1; step < 8; ++step) {
      RequestParser parser({});
      std::string pending;
      for (std::size_t n = 0; n < bytes.size(); n += step) {
        pending += bytes.substr(n, step);
        pending.erase(0, parser.Put(pending));
      }
      CPPUNIT_ASSERT_EQUAL(static_cast<int>(ParseState::Done), static_cast<int>(parser.State()));
      CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c=d"), parser.Head().mTarget);
      CPPUNIT_ASSERT(parser.Head().mHeaders.Find("x-one") == "1");
      CPPUNIT_ASSERT_EQUAL(std::string("abcd"), parser.TakeBody());
    }
  }

  void TestLimits()
  {
    RequestParser longHead({ 64, 100 });
    longHead.Put("GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(200, 'x') + "\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ParseState::Failed), static_cast<int>(longHead.State()));
    CPPUNIT_ASSERT(longHead.Fault() == ParseFault::HeadTooLarge);
    // A declared length above the limit is rejected before any of the body arrives.
    RequestParser longBody({ 1'000, 100 });
    longBody.Put("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99000000000\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ParseState::Failed), static_cast<int>(longBody.State()));
    CPPUNIT_ASSERT(longBody.Fault() == ParseFault::BodyTooLarge);
  }

  void TestResponses()
  {
    struct Row
    {
      std::string mName;
      std::string mBytes;
      bool mPeerCloses; // the peer closes the connection without a reset afterwards
      ParseState mState;
      Framing mFraming;
      std::string mBody;
      std::size_t mUnconsumed;
    };
    const Row rows[] = {
      { "length",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        false,
        ParseState::Done,
        Framing::Length,
        "hello",
        0 },
      { "followed by more bytes",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhelloHTTP",
        false,
        ParseState::Done,
        Framing::Length,
        "hello",
        4 },
      { "empty",
        "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
        false,
        ParseState::Done,
        Framing::Length,
        "",
        0 },
      { "chunks",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        false,
        ParseState::Done,
        Framing::Chunked,
        "hello",
        0 },
      { "body shorter than its length",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
        true,
        ParseState::Failed,
        Framing::Length,
        "hello",
        0 },
      { "body without its last chunk",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        true,
        ParseState::Failed,
        Framing::Chunked,
        "hello",
        0 },
      { "body until close",
        "HTTP/1.1 200 OK\r\n\r\nhello",
        true,
        ParseState::Done,
        Framing::UntilClose,
        "hello",
        0 },
      { "body until close, still open",
        "HTTP/1.1 200 OK\r\n\r\nhello",
        false,
        ParseState::HeadDone,
        Framing::UntilClose,
        "hello",
        0 },
      { "both framings",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello",
        false,
        ParseState::Failed,
        Framing::None,
        "",
        0 },
      { "empty response", "", true, ParseState::Failed, Framing::None, "", 0 },
      { "incomplete head",
        "HTTP/1.1 200 OK\r\nConte",
        true,
        ParseState::Failed,
        Framing::None,
        "",
        0 },
      { "status 000", "HTTP/1.1 000 X\r\n\r\n", false, ParseState::Failed, Framing::None, "", 0 },
      { "status 000 for an interim response",
        "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
        false,
        ParseState::Failed,
        Framing::None,
        "",
        0 },
      { "status 099", "HTTP/1.1 099 X\r\n\r\n", false, ParseState::Failed, Framing::None, "", 0 },
      { "status 600",
        "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n",
        false,
        ParseState::Failed,
        Framing::None,
        "",
        0 },
      { "status 599",
        "HTTP/1.1 599 X\r\nContent-Length: 0\r\n\r\n",
        false,
        ParseState::Done,
        Framing::Length,
        "",
        0 },
      { "not HTTP", "hello there\r\n\r\n", false, ParseState::Failed, Framing::None, "", 0 },
    };
    for (const auto& row : rows) {
      ResponseParser parser;
      std::string body;
      const auto used = parser.Put(row.mBytes, body);
      if (row.mPeerCloses) {
        parser.PutEof();
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mName, static_cast<int>(row.mState), static_cast<int>(parser.State()));
      if (row.mFraming != Framing::None) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mBody, body);
        CPPUNIT_ASSERT_MESSAGE(row.mName, row.mFraming == parser.BodyFraming());
      }
      if (row.mState == ParseState::Done) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mUnconsumed, row.mBytes.size() - used);
      }
    }
  }

  void TestInterimResponse()
  {
    ResponseParser parser;
    std::string body;
    parser.Put("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", body);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ParseState::Done), static_cast<int>(parser.State()));
    CPPUNIT_ASSERT_EQUAL(200, parser.Head().mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), body);
  }

  // A response that ends in the middle of its head must not count as one with the fields so far and
  // no body, whatever it has stated by then.
  void TestCutResponseHeads()
  {
    const std::string heads[] = {
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Server: a\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX-Server: a\r\nContent-Length: 800\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Server: a\r\n\r\n",
      "HTTP/1.0 200 OK\r\nX-Server: a\r\n\r\n",
      "HTTP/1.1 204 No Content\r\nX-Server: a\r\n\r\n",
      "HTTP/1.1 503 Service Unavailable\r\nX-Server: a\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    };
    for (const auto& head : heads) {
      for (const bool hasNoBody : { false, true }) {
        for (std::size_t n = 0; n < head.size(); ++n) {
          ResponseParser parser(hasNoBody);
          std::string body;
          PutInFragments(
            head.substr(0, n), [&](std::string_view it) { return parser.Put(it, body); }, true);
          parser.PutEof();
          CPPUNIT_ASSERT_MESSAGE(head.substr(0, n), parser.State() == ParseState::Failed);
          CPPUNIT_ASSERT_EQUAL(std::string(), body);
        }
      }
    }
  }

  // A last chunk that arrived in parts, right after the head, ended the process.
  void TestChunkedBodyInFragments()
  {
    const std::string request = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::pair<std::string, std::string> rows[] = {
      { "0\r\n\r\n", "" },
      { "00\r\n\r\n", "" },
      { "0;x=y\r\n\r\n", "" },
      { "0\r\nX-Trailer: 1\r\n\r\n", "" },
      { "1\r\na\r\n0\r\n\r\n", "a" },
      { "1\r\n0\r\n2\r\n0\r\r\n0\r\nX-Trailer: 1\r\n\r\n", "00\r" },
    };
    for (const auto& [bytes, expected] : rows) {
      RequestParser requestParser({ 1'000, 1'000 });
      PutInFragments(request + bytes, [&](std::string_view it) { return requestParser.Put(it); });
      CPPUNIT_ASSERT_MESSAGE(bytes, requestParser.State() == ParseState::Done);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, expected, requestParser.TakeBody());
      ResponseParser responseParser;
      std::string body;
      PutInFragments(response + bytes,
                     [&](std::string_view it) { return responseParser.Put(it, body); });
      CPPUNIT_ASSERT_MESSAGE(bytes, responseParser.State() == ParseState::Done);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, expected, body);
    }
  }

private:
  /// Passes bytes one by one, together with those that were not consumed, and each state twice, as
  /// a loop does that is also notified of other events.
  template<typename Function>
  static void PutInFragments(const std::string& aBytes, Function aPut, bool aIsCut = false)
  {
    std::string pending;
    for (const auto it : aBytes) {
      pending += it;
      pending.erase(0, aPut(pending));
      pending.erase(0, aPut(pending));
    }
    CPPUNIT_ASSERT(aIsCut || pending.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpParserTest);

} // namespace gentianloom::net
