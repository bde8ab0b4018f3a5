#include "gentianloom/gateway/GatewaySettings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <string>

namespace gentianloom {

namespace {

nlohmann::json ValidSettings()
{
  return { { "instance", "i" },
           { "availability_zone", "z" },
           { "caller_address", "10.0.0.1:1" },
           { "readiness_address", "10.0.0.1:2" },
           { "directory_address", "10.0.0.1:3" },
           { "store_address", "10.0.0.2:4" } };
}

} // namespace

class GatewaySettingsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GatewaySettingsTest);
  CPPUNIT_TEST(TestValidSettings);
  CPPUNIT_TEST(TestInvalidSettings);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestValidSettings()
  {
    auto json = ValidSettings();
    json["leave_time_s"] = "9.5"; // the platform's template fills in strings
    json["retry_share"] = "";     // and leaves them empty if the platform has no value
    json["retry_slack"] = 52;
    json["memory_mb"] = "88";
    json["max_fds"] = "";
    json["unknown_key"] = 1;
    const auto parsed = ParseGatewaySettings("// a comment\n" + json.dump(), "file");
    CPPUNIT_ASSERT(parsed.mErrors.empty());
    CPPUNIT_ASSERT(parsed.mSettings.mTerminationGracePeriod == Millis(9'500));
    CPPUNIT_ASSERT_EQUAL(0.2, parsed.mSettings.mRetryShare);
    CPPUNIT_ASSERT_EQUAL(52.0, parsed.mSettings.mRetrySlack);
    CPPUNIT_ASSERT_EQUAL(88.0, parsed.mSettings.mMemoryMb);
    CPPUNIT_ASSERT_EQUAL(0.0, parsed.mSettings.mMaxDescriptors);
  }

  void TestInvalidSettings()
  {
    struct Row
    {
      std::string mKey;
      nlohmann::json mValue; // null: the key is missing
      ErrorCode mCode;
    };
    const Row rows[] = { { "instance", nullptr, ErrorCode::MissingKey },
                         { "instance", 4, ErrorCode::WrongType },
                         { "instance", "", ErrorCode::WrongType },
                         { "caller_address", "10.0.0.1", ErrorCode::OutOfRange },
                         { "store_address", "store:80", ErrorCode::OutOfRange },
                         { "metrics_address", "10.0.0.1:x", ErrorCode::OutOfRange },
                         { "memory_mb", "much", ErrorCode::WrongType },
                         { "memory_mb", 8, ErrorCode::OutOfRange },
                         { "max_fds", -1, ErrorCode::OutOfRange },
                         { "leave_time_s", "soon", ErrorCode::WrongType },
                         { "leave_time_s", 0, ErrorCode::OutOfRange },
                         { "rights_window_s", -1, ErrorCode::OutOfRange } };
    for (const auto& row : rows) {
      auto json = ValidSettings();
      json.erase(row.mKey);
      if (!row.mValue.is_null()) {
        json[row.mKey] = row.mValue;
      }
      const auto parsed = ParseGatewaySettings(json.dump(), "file");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mKey, std::size_t{ 1 }, parsed.mErrors.size());
      const auto& error = parsed.mErrors.front();
      CPPUNIT_ASSERT_MESSAGE(row.mKey, error.mCode == row.mCode);
      CPPUNIT_ASSERT_MESSAGE("the error names the file and the key",
                             error.mText.starts_with("file: \"" + row.mKey + "\""));
    }
    CPPUNIT_ASSERT(ParseGatewaySettings("{", "file").mErrors.front().mCode ==
                   ErrorCode::MalformedJson);
    CPPUNIT_ASSERT(ParseGatewaySettings("[]", "file").mErrors.front().mCode ==
                   ErrorCode::WrongType);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewaySettingsTest);

} // namespace gentianloom
