#include "gentianloom/external/EngineControl.h"
#include "gentianloom/external/InstanceList.h"
#include "gentianloom/external/WeightStore.h"

#include "support/ScriptedEngine.h"

#include <cppunit/extensions/HelperMacros.h>

#include <exception>
#include <string>
#include <thread>

namespace gentianloom {

/// Responses of other programs to the daemon with odd fields, each of which ended a thread and with
/// it the process.
class OddResponsesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OddResponsesTest);
  CPPUNIT_TEST(TestInstances);
  CPPUNIT_TEST(TestLists);
  CPPUNIT_TEST(TestEngineStatus);
  CPPUNIT_TEST(TestRetryAfter);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Millis kTimeout{ 2'000 };

public:
  // One odd row names no instance to use; the others hold.
  void TestInstances()
  {
    const std::string good = R"({"name":"e2","address":"10.0.0.2:80","zone":"z"})";
    struct Row
    {
      std::string mInstance;
      std::size_t mInstances; ///< that are read, with the good one
    };
    const Row rows[] = { { R"({"name":"e1","address":"10.0.0.1:80","state":"leaving"})", 2 },
                         { R"({"name":"e1","address":"10.0.0.1:80","zone":5,"state":[]})", 2 },
                         { R"({"name":"e1","address":"nowhere"})", 1 },
                         { R"({"name":"e1","address":80})", 1 },
                         { R"({"name":"e1"})", 1 },
                         { R"({"name":5,"address":"10.0.0.1:80"})", 1 },
                         { R"({"name":"","address":"10.0.0.1:80"})", 1 },
                         { R"({"name":null,"address":"10.0.0.1:80"})", 1 },
                         { R"({"address":"10.0.0.1:80"})", 1 },
                         { R"([])", 1 },
                         { R"("e1")", 1 },
                         { R"(5)", 1 },
                         { R"(null)", 1 } };
    for (const auto& row : rows) {
      const auto body = R"({"instances":[)" + row.mInstance + "," + good + "]}";
      Answer("200 OK", body, [&](const std::string& aAddress) {
        const auto list = HttpInstanceList(aAddress, kTimeout).Read();
        CPPUNIT_ASSERT_MESSAGE(body, list);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(body, row.mInstances, list.value().size());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(body, std::string("e2"), list.value().back().mName);
      });
    }
  }

  // A response without a list is none: an empty one would say that all instances have gone.
  void TestLists()
  {
    for (const std::string body :
         { "", "?", "[]", "5", "{}", R"({"instances":5})", R"({"instances":{"a":1}})" }) {
      Answer("200 OK", body, [&](const std::string& aAddress) {
        CPPUNIT_ASSERT_MESSAGE(body, !HttpInstanceList(aAddress, kTimeout).Read());
      });
    }
  }

  void TestEngineStatus()
  {
    struct Row
    {
      std::string mBody;
      bool mIsRead;
    };
    const Row rows[] = { { R"({"model":"m","version":"v","adapters":["b","a"]})", true },
                         { R"({})", true },
                         { R"({"model":5})", false },
                         { R"({"adapters":"a"})", false },
                         { R"({"adapters":[5]})", false },
                         { R"({"state":[]})", false },
                         { R"({"configuration_version":"7"})", false },
                         { R"([])", false },
                         { R"(?)", false },
                         { "", false } };
    for (const auto& row : rows) {
      Answer("200 OK", row.mBody, [&](const std::string& aAddress) {
        const auto status = HttpEngineControl(kTimeout).Observe(aAddress);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mBody, row.mIsRead, status.has_value());
      });
    }
  }

  void TestRetryAfter()
  {
    struct Row
    {
      std::string mBody;
      Millis mRetryAfter;
    };
    const Row rows[] = { { R"({"retry_after_ms":250})", Millis(250) },
                         { R"({"retry_after_ms":"250"})", Millis(1'000) },
                         { R"({"retry_after_ms":-1})", Millis(1'000) },
                         { R"({"retry_after_ms":9223372036854775807})", Millis(3'600'000) },
                         { R"({"retry_after_ms":[]})", Millis(1'000) },
                         { R"([])", Millis(1'000) } };
    for (const auto& row : rows) {
      Answer("429 Too Many Requests", row.mBody, [&](const std::string& aAddress) {
        const auto permit = HttpWeightStore(aAddress, kTimeout).RequestPermit("m@v");
        CPPUNIT_ASSERT(!permit && permit.error().mCode == ErrorCode::Overloaded);
        CPPUNIT_ASSERT_MESSAGE(row.mBody, permit.error().mRetryAfter == row.mRetryAfter);
      });
    }
  }

private:
  /// Makes a call to a server that answers it with a status and a body.
  template<typename Function>
  static void Answer(const std::string& aStatus, const std::string& aBody, Function aCall)
  {
    testing::ScriptedEngine server;
    std::thread sender([&] {
      server.AcceptOnly();
      server.Send("HTTP/1.1 " + aStatus + "\r\nContent-Length: " + std::to_string(aBody.size()) +
                  "\r\n\r\n" + aBody);
    });
    std::exception_ptr failure;
    try {
      aCall(server.Address());
    } catch (...) {
      failure = std::current_exception();
    }
    sender.join();
    if (failure) {
      std::rethrow_exception(failure);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddResponsesTest);

} // namespace gentianloom
