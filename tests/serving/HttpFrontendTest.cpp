#include "gentianloom/serving/HttpFrontend.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <atomic>
#include <string>

namespace gentianloom {

class HttpFrontendTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpFrontendTest);
  CPPUNIT_TEST(TestCutRequestHeads);
  CPPUNIT_TEST_SUITE_END();

  /// Sends bytes, ends the sending direction and returns the response.
  static std::string Exchange(const std::string& aAddress, std::string_view aBytes)
  {
    Poco::Net::StreamSocket socket{ Poco::Net::SocketAddress(aAddress) };
    socket.sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
    socket.shutdownSend();
    std::string out;
    std::array<char, 1'024> buf{};
    for (int n = 1; n > 0;) {
      n = socket.receiveBytes(buf.data(), static_cast<int>(buf.size()));
      out.append(buf.data(), static_cast<std::size_t>(n));
    }
    return out;
  }

public:
  // A caller that stopped in the middle of its request's head and ended its sending direction was
  // served with the fields so far, for example with a part of its Idempotency-Key.
  void TestCutRequestHeads()
  {
    std::atomic<int> served = 0;
    const auto frontend =
      HttpFrontend::Start("127.0.0.1:0", ServingSettings{}, [&](auto&, auto& aResponse) {
        ++served;
        aResponse.setContentLength(0);
        aResponse.send();
      });
    CPPUNIT_ASSERT(frontend.has_value());
    const auto address = frontend.value()->Address();
    const std::string head = "POST /services/a/b HTTP/1.1\r\nHost: h\r\n"
                             "Idempotency-Key: abcdef\r\nContent-Length: 0\r\n\r\n";
    for (std::size_t n = 0; n < head.size(); ++n) {
      const auto response = Exchange(address, head.substr(0, n));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(head.substr(0, n), 0, served.load());
      CPPUNIT_ASSERT_MESSAGE(response, response.empty() || response.starts_with("HTTP/1.1 400"));
    }
    CPPUNIT_ASSERT(Exchange(address, head + head).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT_EQUAL(2, served.load());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpFrontendTest);

} // namespace gentianloom
