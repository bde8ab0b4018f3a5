#include "gentianloom/base/Base64.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace gentianloom {

class Base64Test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(Base64Test);
  CPPUNIT_TEST(TestDecoding);
  CPPUNIT_TEST(TestEachByte);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kBytes = 256;

public:
  // A text that is not base64 threw an exception through the reader of the store, or gave its first
  // bytes.
  void TestDecoding()
  {
    struct Row
    {
      std::string mText;
      std::optional<std::string> mBytes;
    };
    const Row rows[] = { { "", "" },
                         { "YQ==", "a" },
                         { "YWI=", "ab" },
                         { "YWJj", "abc" },
                         { "YWJjZA==", "abcd" },
                         { "YW\nJj", std::nullopt },
                         { "Y", std::nullopt },
                         { "YQ==YQ==", std::nullopt },
                         { "YQ==x", std::nullopt },
                         { "YWJ\n", std::nullopt },
                         { "?", std::nullopt },
                         { "YQ", std::nullopt },
                         { "YQ=", std::nullopt },
                         { "YWJjY", std::nullopt },
                         { "YWJj?", std::nullopt },
                         { "YW?=", std::nullopt },
                         { "=", std::nullopt },
                         { "====", std::nullopt },
                         { "\xff\xff\xff\xff", std::nullopt } };
    for (const auto& row : rows) {
      CPPUNIT_ASSERT_MESSAGE(row.mText, DecodeBase64(row.mText) == row.mBytes);
    }
  }

  void TestEachByte()
  {
    std::string bytes;
    for (int n = 0; n < kBytes; ++n) {
      bytes += static_cast<char>(n);
      CPPUNIT_ASSERT(DecodeBase64(EncodeBase64(bytes)) == bytes);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(Base64Test);

} // namespace gentianloom
