#include "gentianloom/external/EtcdStore.h"
#include "gentianloom/external/HttpCall.h"

#include "support/ScriptedEngine.h"

#include <Poco/Exception.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <string>
#include <thread>

namespace gentianloom {

class EtcdStoreTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EtcdStoreTest);
  CPPUNIT_TEST(TestEndlessWatch);
  CPPUNIT_TEST(TestWatchOutlivesLimitOfOneLine);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Millis kTimeout{ 2'000 };
  static constexpr std::size_t kBlockBytes = 64 * 1'024;
  static constexpr std::size_t kFloodBytes = 4 * kMaxCallResponseBytes;
  static constexpr std::string_view kHead = "HTTP/1.1 200 OK\r\n\r\n";

  /// Sends blocks until the client closes the connection. @return number of bytes sent
  static std::size_t Flood(testing::ScriptedEngine& aServer, std::string_view aBlock)
  {
    std::size_t sent = 0;
    try {
      while (sent < kFloodBytes) {
        aServer.Send(aBlock);
        sent += aBlock.size();
      }
    } catch (const Poco::Exception&) {
      return sent;
    }
    aServer.Close();
    return sent;
  }

public:
  // A head or a line without end was kept as a whole, until the process ran out of memory.
  void TestEndlessWatch()
  {
    const std::string block(kBlockBytes, 'a');
    struct Row
    {
      std::string mName;
      std::string mBegin;
    };
    const Row rows[] = { { "a header line", "HTTP/1.1 200 OK\r\nX-Pad: " },
                         { "a line", std::string(kHead) },
                         { "a line of a chunk",
                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                           "ffffffff\r\n" } };
    for (const auto& row : rows) {
      testing::ScriptedEngine server;
      std::size_t sent = 0;
      std::thread sender([&] {
        server.AcceptOnly();
        server.Send(row.mBegin);
        sent = Flood(server, block);
      });
      const auto store = EtcdStore::Create({ server.Address() }, kTimeout).value();
      const auto onEvents = [](const auto&, Revision) { return true; };
      (void)store->Watch("/a", 1, kTimeout, onEvents, Step::GrantRead);
      sender.join();
      CPPUNIT_ASSERT_MESSAGE(row.mName, sent < kFloodBytes);
    }
  }

  // The limit is for one line: a watch lasts for as long as the service sends changes.
  void TestWatchOutlivesLimitOfOneLine()
  {
    const std::string padding(kMaxCallResponseBytes / 4, 'a');
    const auto line = R"({"result":{"header":{"revision":"7"},"padding":")" + padding + "\"}}\n";
    constexpr int kLines = 6;
    testing::ScriptedEngine server;
    std::thread sender([&] {
      server.AcceptOnly();
      server.Send(kHead);
      for (int n = 0; n < kLines; ++n) {
        server.Send(line);
      }
    });
    int lines = 0;
    const auto store = EtcdStore::Create({ server.Address() }, kTimeout).value();
    const auto onEvents = [&](const auto&, Revision aRevision) {
      lines += aRevision == 7 ? 1 : 0;
      return lines < kLines;
    };
    (void)store->Watch("/a", 1, kTimeout, onEvents, Step::GrantRead);
    sender.join();
    CPPUNIT_ASSERT_EQUAL(kLines, lines);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EtcdStoreTest);

} // namespace gentianloom
