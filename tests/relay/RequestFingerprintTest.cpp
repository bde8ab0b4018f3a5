#include "gentianloom/relay/RequestFingerprint.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace gentianloom::testing {

/// Guards against log lines of different requests that seem to belong to one repeated request.
class RequestFingerprintTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestFingerprintTest);
  CPPUNIT_TEST(TestEachFieldCounts);
  CPPUNIT_TEST(TestKeysOfParts);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestEachFieldCounts()
  {
    struct Row
    {
      const char* mOrganisation;
      const char* mPath;
      const char* mBody;
    };
    const Row rows[] = {
      { "org", "/read/x", "body" }, { "org2", "/read/x", "body" }, { "org", "/read/y", "body" },
      { "org", "/read/x", "" },     { "", "/read/x", "body" },     { "org/read", "/x", "body" },
      { "org", "/read/xbo", "dy" }, { "org", "", "/read/xbody" },
    };
    std::set<std::string> fingerprints;
    for (const auto& it : rows) {
      const auto out = MakeRequestFingerprint(it.mOrganisation, it.mPath, it.mBody);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 16 }, out.size());
      CPPUNIT_ASSERT_EQUAL(out, MakeRequestFingerprint(it.mOrganisation, it.mPath, it.mBody));
      CPPUNIT_ASSERT_MESSAGE(it.mPath, fingerprints.insert(out).second);
    }
  }

  // The last part belongs to one request; a caller that names thousands must not fill the memory.
  void TestKeysOfParts()
  {
    struct Row
    {
      std::string mName;
      std::vector<PromptPart> mParts;
      std::vector<std::string> mKeys; ///< behind the fingerprint
    };
    const std::string first = "part-0000000000000001";
    const std::string second = "part-0000000000000002";
    const Row rows[] = {
      { "no parts", {}, {} },
      { "one part", { { 1, 10 } }, {} },
      { "the last is left out", { { 1, 10 }, { 2, 10 }, { 3, 10 } }, { first, second } },
      { "twice", { { 1, 10 }, { 2, 10 }, { 1, 10 }, { 3, 10 } }, { first, second } },
      { "the last stands earlier as well", { { 1, 10 }, { 2, 10 }, { 1, 10 } }, { first, second } },
      { "without tokens", { { 2, 0 }, { 3, 0 } }, { second } },
    };
    for (const auto& row : rows) {
      auto keys = MakeCrashKeys("f", row.mParts);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, std::string("f"), keys.front());
      keys.erase(keys.begin());
      CPPUNIT_ASSERT_MESSAGE(row.mName, row.mKeys == keys);
    }
    std::vector<PromptPart> many;
    for (std::uint64_t n = 0; n < 1'000; ++n) {
      many.push_back({ n, 1 });
    }
    CPPUNIT_ASSERT_EQUAL(kMaxCrashParts + 1, MakeCrashKeys("f", many).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestFingerprintTest);

} // namespace gentianloom::testing
