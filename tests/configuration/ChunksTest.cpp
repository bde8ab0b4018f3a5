#include "ConfigurationTestSupport.h"

#include "gentianloom/configuration/ConfigurationJson.h"
#include "gentianloom/configuration/Difference.h"
#include "gentianloom/configuration/Rollback.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gentianloom::testing {

class ChunksTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ChunksTest);
  CPPUNIT_TEST(TestRoundTrip);
  CPPUNIT_TEST(TestSmallChange);
  CPPUNIT_TEST(TestBadChunks);
  CPPUNIT_TEST(TestAllErrorsAtOnce);
  CPPUNIT_TEST(TestDifference);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestRoundTrip()
  {
    for (const int n : { 0, 1, 3'000 }) {
      const auto stated = SampleConfiguration(n);
      const auto chunks = SplitConfiguration(stated).value();
      for (const auto& it : chunks.mTexts) {
        CPPUNIT_ASSERT(it.second->size() <= kMaxChunkBytes);
        CPPUNIT_ASSERT(MatchesDigest(*it.second, it.first));
      }
      const auto read = AssembleConfiguration(chunks, nullptr).value();
      CPPUNIT_ASSERT_EQUAL(SerializeConfiguration(stated), SerializeConfiguration(read));
    }
    auto reversed = SampleConfiguration(100);
    std::reverse(reversed.mOrganisations.begin(), reversed.mOrganisations.end());
    CPPUNIT_ASSERT_EQUAL(SplitConfiguration(SampleConfiguration(100)).value().mDigest,
                         SplitConfiguration(reversed).value().mDigest);
  }

  void TestSmallChange()
  {
    auto stated = SampleConfiguration(3'000);
    const auto before = SplitConfiguration(stated).value();
    const auto old = stated;
    stated.mOrganisations[7].mWeight = 5;
    const auto after = SplitConfiguration(stated).value();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, FindMissingDigests(after.mManifest, before).size());
    const ChunkedConfiguration previous{ old, before };
    const auto read = AssembleConfiguration(after, &previous).value();
    CPPUNIT_ASSERT_EQUAL(SerializeConfiguration(stated), SerializeConfiguration(read));
  }

  void TestBadChunks()
  {
    auto chunks = SplitConfiguration(SampleConfiguration(10)).value();
    chunks.mTexts.erase(chunks.mManifest.front().mDigest);
    CPPUNIT_ASSERT(!AssembleConfiguration(chunks, nullptr));
    for (const auto* it : { "", "[]", "{\"chunks\":[[]]}", "{\"chunks\":[[\"a\",0,3,\"d\"]]}" }) {
      CPPUNIT_ASSERT(!ParseManifest(it));
    }
    auto wide = SampleConfiguration(1);
    wide.mOrganisations[0].mKeyDigests.assign(20'000, std::string(71, 'd'));
    const auto refused = SplitConfiguration(wide);
    CPPUNIT_ASSERT(!refused && refused.error().mCode == ErrorCode::BodyTooLarge);
  }

  void TestAllErrorsAtOnce()
  {
    const auto parsed = ParseConfiguration(
      R"({ "teams": [{ "name": "a" }, { "name": "a" }],
           "organisations": [{ "name": "o", "team": "b", "budget": "x", "weigth": 2 }],
           "budgets": [{ "name": "y", "prepaidTokens": -1 }] })",
      "f");
    const std::string_view wanted[] = { "f#/deployment",
                                        "f#/teams/1/name",
                                        "f#/organisations/0/team",
                                        "f#/organisations/0/budget",
                                        "f#/organisations/0/weigth",
                                        "f#/budgets/0/prepaidTokens" };
    for (const auto part : wanted) {
      const bool found =
        std::any_of(parsed.mErrors.begin(), parsed.mErrors.end(), [&](const auto& it) {
          return it.mText.find(part) != std::string::npos;
        });
      CPPUNIT_ASSERT_MESSAGE(std::string(part), found);
    }
    CPPUNIT_ASSERT_EQUAL(std::size(wanted), parsed.mErrors.size());
  }

  void TestDifference()
  {
    const auto before = SampleConfiguration(3);
    auto after = before;
    after.mOrganisations.pop_back();
    after.mBudgets[0].mPrepaidTokens = 500;
    after.mBudgets.push_back({ "new", 1 });
    CPPUNIT_ASSERT_EQUAL(std::string("organisations: 1 removed (org-2); "
                                     "budgets: 1 added (new), 1 changed (budget-0)"),
                         FormatSummary(Compare(before, after)));
    CPPUNIT_ASSERT(Compare(before, before).Empty());
    // A rollback never takes back a payment.
    const auto rolled = MakeRollbackConfiguration(before, after);
    CPPUNIT_ASSERT_EQUAL(Tokens{ 1'000 }, rolled.mBudgets[0].mPrepaidTokens);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, rolled.mOrganisations.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChunksTest);

} // namespace gentianloom::testing
