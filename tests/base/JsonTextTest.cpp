#include "gentianloom/base/JsonText.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace gentianloom {

class JsonTextTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(JsonTextTest);
  CPPUNIT_TEST(TestTexts);
  CPPUNIT_TEST(TestNoJson);
  CPPUNIT_TEST_SUITE_END();

public:
  // A key of another writer that is no Unicode made a whole response unreadable.
  void TestTexts()
  {
    const std::string replacement = "\xef\xbf\xbd";
    const std::string smile = "\xf0\x9f\x98\x80";
    struct Row
    {
      std::string mText; ///< between quotes
      std::string mValue;
    };
    const Row rows[] = { { "a", "a" },
                         { R"(\u00e9)", "\xc3\xa9" },
                         { R"(\ud83d\ude00)", smile },
                         { R"(\uD83D\uDE00)", smile },
                         { R"(x\ud800)", "x" + replacement },
                         { R"(x\udcff)", "x" + replacement },
                         { R"(\ud800\ud83d\ude00)", replacement + smile },
                         { R"(\ude00\ud83d)", replacement + replacement },
                         { R"(\ud800\n\\\"\udc00)", replacement + "\n\\\"" + replacement },
                         { R"(\\ud800\ud800)", "\\ud800" + replacement },
                         { "a\xff", "a" + replacement },
                         { "\xed\xa0\x80z", replacement + "z" },
                         { "\xc3\xa9\xff", "\xc3\xa9" + replacement } };
    for (const auto& row : rows) {
      const auto json = ParseLenientJson("[\"" + row.mText + "\",\"next\"]");
      CPPUNIT_ASSERT_MESSAGE(row.mText, json.is_array() && json.size() == 2);
      const auto value = json[0].get<std::string>();
      CPPUNIT_ASSERT_MESSAGE(row.mText, value.find('\xff') == std::string::npos);
      // How many replacement characters stand for a run of invalid bytes is the library's matter.
      const bool isEqual = value == row.mValue || row.mText.front() == '\xed';
      CPPUNIT_ASSERT_MESSAGE(row.mText + " " + value, isEqual);
      CPPUNIT_ASSERT_EQUAL(std::string("next"), json[1].get<std::string>());
    }
  }

  void TestNoJson()
  {
    for (const auto* it :
         { "", "?", "\"\\", "\"\\u", "\"\\ud8", "\"\\ud800", "[\"\\ud800\"", "\xff" }) {
      CPPUNIT_ASSERT_MESSAGE(it, ParseLenientJson(it).is_discarded());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonTextTest);

} // namespace gentianloom
