#include "gentianloom/base/JsonReader.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gentianloom {

class JsonReaderTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(JsonReaderTest);
  CPPUNIT_TEST(TestParse);
  CPPUNIT_TEST(TestErrors);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestParse()
  {
    struct Row
    {
      std::string_view mText;
      std::string_view mPosition; ///< of the error; empty: the text is valid
    };
    const std::string deep(1'000'000, '[');
    const Row rows[] = { { "{ \"a\": 1 } // end", "" },          { "/* head */ { }", "" },
                         { "{ \"a\": 1,\n  \"b\" 2 }", "f:2:" }, { "", "f:1:" },
                         { "{ \"a\": 1e999 }", "f:1:" },         { deep, "f:1:" } };
    for (const auto& row : rows) {
      const auto result = ParseJson(row.mText, "f", Step::Settings);
      CPPUNIT_ASSERT_EQUAL(row.mPosition.empty(), result.has_value());
      if (result) {
        continue;
      }
      CPPUNIT_ASSERT(result.error().mText.starts_with(row.mPosition));
    }
  }

  void TestErrors()
  {
    struct Row
    {
      std::string_view mText;
      ErrorCode mCode;
      std::string_view mPart;
    };
    const Row rows[] = {
      { R"({ "nmae": "x", "count": 1 })", ErrorCode::MissingKey, "f#/name" },
      { R"({ "name": "x", "conut": 1, "count": 1 })", ErrorCode::UnknownKey, "\"count\"" },
      { R"({ "name": 3, "count": 1 })", ErrorCode::WrongType, "f#/name" },
      { R"({ "name": "x", "count": 99 })", ErrorCode::OutOfRange, "from 1 to 9" },
      { R"({ "name": "x", "count": 18446744073709551615 })", ErrorCode::WrongType, "f#/count" },
    };
    for (const auto& row : rows) {
      const auto json = ParseJson(row.mText, "f", Step::Settings).value();
      JsonReader::Sink sink{ "f", Step::Settings };
      JsonReader reader(json, "", sink);
      reader.String("name");
      reader.Integer("count", 1, 9);
      reader.Finish();
      CPPUNIT_ASSERT(!sink.mErrors.empty());
      CPPUNIT_ASSERT(sink.mErrors.front().mCode == row.mCode);
      CPPUNIT_ASSERT(sink.mErrors.front().mText.find(row.mPart) != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonReaderTest);

} // namespace gentianloom
