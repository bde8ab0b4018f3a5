#include "gentianloom/external/HttpCall.h"

#include "support/ScriptedEngine.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <thread>

namespace gentianloom {

class HttpCallTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpCallTest);
  CPPUNIT_TEST(TestCutHeads);
  CPPUNIT_TEST(TestWholeResponses);
  CPPUNIT_TEST(TestNoStatus);
  CPPUNIT_TEST_SUITE_END();

  using CallResult = boost::outcome_v2::checked<HttpResponse, CallFailure>;

  /// Makes a call to a server that sends bytes and ends the connection without a reset.
  static CallResult Call(std::string_view aResponse, const std::string& aMethod)
  {
    testing::ScriptedEngine server;
    std::thread sender([&] {
      server.AcceptOnly();
      server.Send(aResponse);
      server.FinishSending();
    });
    auto out = CallHttp(server.Address(), { aMethod, "/" }, Millis(2'000), Step::GrantRead);
    sender.join();
    return out;
  }

public:
  // A server that stopped in the middle of its response's head and closed seemed to have answered
  // with the fields so far, and with no body.
  void TestCutHeads()
  {
    struct Row
    {
      std::string mMethod;
      std::string mHead;
    };
    const Row rows[] = {
      { "POST", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Server: a\r\n\r\n" },
      { "POST", "HTTP/1.1 200 OK\r\nX-Server: a\r\nContent-Length: 800\r\n\r\n" },
      { "POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Server: a\r\n\r\n" },
      { "POST", "HTTP/1.0 200 OK\r\nX-Server: a\r\n\r\n" },
      { "POST", "HTTP/1.1 204 No Content\r\nX-Server: a\r\n\r\n" },
      { "POST", "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n" },
      { "POST", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" },
      { "HEAD", "HTTP/1.1 200 OK\r\nX-Server: a\r\n\r\n" },
    };
    for (const auto& row : rows) {
      for (std::size_t n = 0; n < row.mHead.size(); ++n) {
        const auto cut = row.mHead.substr(0, n);
        const auto response = Call(cut, row.mMethod);
        CPPUNIT_ASSERT_MESSAGE(row.mMethod + ": " + cut, !response);
        CPPUNIT_ASSERT_MESSAGE(cut, response.error().mProgress == CallProgress::Sent);
      }
    }
  }

  // The end of a body, or of a connection after a whole head, is none within a head.
  void TestWholeResponses()
  {
    struct Row
    {
      std::string mResponse;
      std::string mBody;
      bool mIsComplete;
    };
    const Row rows[] = {
      { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", true },
      { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", "ab", true },
      { "HTTP/1.1 200 OK\r\n\r\nab", "ab", false },
      { "HTTP/1.0 200 OK\r\n\r\n", "", false },
      { "HTTP/1.1 204 No Content\r\n\r\n", "", true },
      { "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
        "ab",
        true },
    };
    for (const auto& row : rows) {
      const auto response = Call(row.mResponse, "POST");
      CPPUNIT_ASSERT_MESSAGE(row.mResponse, response.has_value());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mResponse, row.mBody, response.value().mBody);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mResponse, row.mIsComplete, response.value().mIsComplete);
    }
  }

  // MIXED: a response whose status is none, such as 000, was handed on as an answer.
  void TestNoStatus()
  {
    for (const auto* it : { "000", "099", "600", "999" }) {
      const auto response =
        Call(std::string("HTTP/1.1 ") + it + " X\r\nContent-Length: 2\r\n\r\nab", "POST");
      CPPUNIT_ASSERT_MESSAGE(it, !response);
      CPPUNIT_ASSERT_MESSAGE(it, response.error().mProgress == CallProgress::Sent);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpCallTest);

} // namespace gentianloom
