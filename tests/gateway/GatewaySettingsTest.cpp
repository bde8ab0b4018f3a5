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
  CPPUNIT_TEST(TestWarmUpBound);
  CPPUNIT_TEST(TestZones);
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
    json["link_mbps"] = "10.0";
    json["unknown_key"] = 1;
    json["even_load"] = "off";
    const auto parsed = ParseGatewaySettings("// a comment\n" + json.dump(), "file");
    CPPUNIT_ASSERT(parsed.mErrors.empty());
    CPPUNIT_ASSERT(parsed.mSettings.mTerminationGracePeriod == Millis(9'500));
    CPPUNIT_ASSERT_EQUAL(10.0, parsed.mSettings.mLinkMbps);
    CPPUNIT_ASSERT_EQUAL(0.2, parsed.mSettings.mRetryShare);
    CPPUNIT_ASSERT_EQUAL(52.0, parsed.mSettings.mRetrySlack);
    CPPUNIT_ASSERT(parsed.mSettings.mEvenLoad == EvenLoadMode::Off);
    CPPUNIT_ASSERT_EQUAL(88.0, parsed.mSettings.mMemoryMb);
    CPPUNIT_ASSERT_EQUAL(0.0, parsed.mSettings.mMaxDescriptors);
  }

  // A process that does not start for one odd zone would take the whole site out of use.
  void TestZones()
  {
    struct Row
    {
      std::string mValue;
      std::string mRegions; ///< of the zones, one after the other
      std::size_t mSkipped;
    };
    const Row rows[] = { { R"({"z1":"north","z2":"south"})", "north south ", 0 },
                         { R"({"z1":"north","z2":null,"z3":4,"z4":"","z5":["x"]})", "north ", 4 },
                         { R"({})", "", 0 },
                         { R"("")", "", 0 },
                         { R"(null)", "", 0 } };
    for (const auto& row : rows) {
      auto json = ValidSettings();
      json["zones"] = nlohmann::json::parse(row.mValue);
      const auto parsed = ParseGatewaySettings(json.dump(), "file");
      CPPUNIT_ASSERT_MESSAGE(row.mValue, parsed.mErrors.empty());
      std::string regions;
      for (const auto& [zone, region] : parsed.mSettings.mRegionOfZone) {
        regions += region + " ";
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mValue, row.mRegions, regions);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mValue, row.mSkipped, parsed.mSkipped.size());
    }
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
                         { "link_mbps", "fast", ErrorCode::WrongType },
                         { "link_mbps", -1, ErrorCode::OutOfRange },
                         { "leave_time_s", "soon", ErrorCode::WrongType },
                         { "leave_time_s", 0, ErrorCode::OutOfRange },
                         { "rights_window_s", -1, ErrorCode::OutOfRange },
                         { "even_load", "sometimes", ErrorCode::OutOfRange },
                         { "zones", 4, ErrorCode::WrongType } };
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

  // A deployment with one half of the rule, or none, must be served as before.
  void TestWarmUpBound()
  {
    struct Row
    {
      std::string mOverage;
      std::string mSlack;
      bool mIsBound;
    };
    const Row rows[] = { { "1.5", "5", true },
                         { "1", "0", true },
                         { "", "", false },
                         { "1.5", "", false },
                         { "", "5", false } };
    for (const auto& row : rows) {
      auto json = ValidSettings();
      json["cold_overage"] = row.mOverage;
      json["cold_slack"] = row.mSlack;
      const auto parsed = ParseGatewaySettings(json.dump(), "file");
      CPPUNIT_ASSERT(parsed.mErrors.empty());
      CPPUNIT_ASSERT_EQUAL(row.mIsBound, parsed.mSettings.mWarmUpBound.has_value());
    }
    CPPUNIT_ASSERT(!ParseGatewaySettings(ValidSettings().dump(), "file").mSettings.mWarmUpBound);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewaySettingsTest);

} // namespace gentianloom
