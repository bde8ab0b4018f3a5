#include "gentianloom/external/EtcdStore.h"
#include "gentianloom/external/HttpCall.h"

#include "support/ScriptedEngine.h"

#include <Poco/Exception.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace gentianloom {

class EtcdStoreTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EtcdStoreTest);
  CPPUNIT_TEST(TestEndlessWatch);
  CPPUNIT_TEST(TestWatchOutlivesLimitOfOneLine);
  CPPUNIT_TEST(TestOddEntries);
  CPPUNIT_TEST(TestOddResponses);
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

  // One entry with an odd field ended the thread that read the list, and a watch never got beyond
  // it.
  void TestOddEntries()
  {
    // "YQ==" is the key "a", "Zw==" the key "g".
    const std::string good = R"({"key":"Zw==","value":"Zw==","mod_revision":"5"})";
    struct Row
    {
      std::string mEntry;
      std::size_t mEntries; ///< that are read, with the good one
      std::string mValue;   ///< of the first one
    };
    const std::string unreadable(kUnreadableValue);
    const Row rows[] = {
      { R"({"key":"YQ==","value":"YQ==","mod_revision":"4"})", 2, "a" },
      { R"({"key":"YQ==","value":"YQ==","mod_revision":4})", 2, "a" },
      { R"({"key":"YQ==","mod_revision":"4"})", 2, "" },
      { R"({"key":"YQ==","mod_revision":"4","lease":"x","create_revision":[]})", 2, "" },
      { R"({"key":"YQ==","value":"?","mod_revision":"4"})", 2, unreadable },
      { R"({"key":"YQ==","value":5,"mod_revision":"4"})", 2, unreadable },
      { R"({"key":"YQ==","value":"YQ==","mod_revision":"four"})", 1, "g" },
      { R"({"key":"YQ==","value":"YQ==","mod_revision":"99999999999999999999"})", 1, "g" },
      { R"({"key":"YQ==","value":"YQ==","mod_revision":null})", 1, "g" },
      { R"({"key":"?","mod_revision":"4"})", 1, "g" },
      { R"({"key":5,"mod_revision":"4"})", 1, "g" },
      { R"({"mod_revision":"4"})", 1, "g" },
      { R"([])", 1, "g" },
      { R"("a")", 1, "g" },
      { R"(null)", 1, "g" }
    };
    for (const auto& row : rows) {
      const auto list =
        ReadRange(R"({"header":{"revision":"7"},"kvs":[)" + row.mEntry + "," + good + "]}");
      CPPUNIT_ASSERT_MESSAGE(row.mEntry, list);
      CPPUNIT_ASSERT_EQUAL(Revision{ 7 }, list.value().mRevision);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mEntry, row.mEntries, list.value().mEntries.size());
      CPPUNIT_ASSERT_EQUAL(row.mValue, list.value().mEntries.front().mValue);
      CPPUNIT_ASSERT_EQUAL(std::string("g"), list.value().mEntries.back().mKey);
      const auto events = ReadEvents(R"({"kv":)" + row.mEntry + R"(},{"kv":)" + good + "}");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mEntry, row.mEntries, events.size());
    }
    for (const auto* event : { "5", "null", "[]", "{}", R"({"kv":5})", R"({"kv":[]})" }) {
      const auto events = ReadEvents(std::string(event) + R"(,{"type":5,"kv":)" + good + "}");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(event, std::size_t{ 1 }, events.size());
    }
  }

  // A response with an odd field ended the thread that made the call.
  void TestOddResponses()
  {
    for (const auto* body : { "{}",
                              R"({"header":5,"kvs":5,"succeeded":"yes","ID":"x","result":5})",
                              R"({"header":{"revision":"x"},"kvs":{"a":1},"result":{"TTL":"x"}})",
                              R"({"header":[],"kvs":"a","succeeded":5,"ID":[],"TTL":{}})" }) {
      const auto list = ReadRange(body);
      CPPUNIT_ASSERT_MESSAGE(body, list && list.value().mEntries.empty());
      Answer(body, [&](EtcdStore& aStore) {
        CPPUNIT_ASSERT(aStore.Commit({}, Step::GrantRead).mEffect == Effect::NotApplied);
      });
      Answer(body, [](EtcdStore& aStore) {
        CPPUNIT_ASSERT(aStore.KeepAlive(1, Step::GrantRead).value().count() == 0);
      });
      Answer(body, [](EtcdStore& aStore) {
        CPPUNIT_ASSERT(!aStore.GrantLease(std::chrono::seconds(1), Step::GrantRead));
      });
    }
  }

private:
  /// Makes a call that is answered with a body.
  template<typename Function>
  static void Answer(const std::string& aBody, Function aCall)
  {
    testing::ScriptedEngine server;
    std::thread sender([&] {
      server.AcceptOnly();
      server.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBody.size()) +
                  "\r\n\r\n" + aBody);
    });
    const auto store = EtcdStore::Create({ server.Address() }, kTimeout).value();
    try {
      aCall(*store);
    } catch (...) {
      sender.join();
      throw;
    }
    sender.join();
  }

  static Result<RangeResponse> ReadRange(const std::string& aBody)
  {
    std::optional<Result<RangeResponse>> out;
    Answer(aBody, [&](EtcdStore& aStore) { out = aStore.Range("a", true, Step::GrantRead); });
    return *out;
  }

  static std::vector<WatchEvent> ReadEvents(const std::string& aEvents)
  {
    testing::ScriptedEngine server;
    std::thread sender([&] {
      server.AcceptOnly();
      server.Send(std::string(kHead) + R"({"result":{"events":[)" + aEvents + "]}}\n");
      server.FinishSending();
    });
    std::vector<WatchEvent> out;
    const auto store = EtcdStore::Create({ server.Address() }, kTimeout).value();
    const auto onEvents = [&](const auto& aRead, Revision) {
      out.insert(out.end(), aRead.begin(), aRead.end());
      return true;
    };
    (void)store->Watch("/a", 1, kTimeout, onEvents, Step::GrantRead);
    sender.join();
    return out;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EtcdStoreTest);

} // namespace gentianloom
