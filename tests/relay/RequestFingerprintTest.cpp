#include "gentianloom/relay/RequestFingerprint.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace gentianloom::testing {

/// Guards against log lines of different requests that seem to belong to one repeated request.
class RequestFingerprintTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestFingerprintTest);
  CPPUNIT_TEST(TestEachFieldCounts);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestFingerprintTest);

} // namespace gentianloom::testing
