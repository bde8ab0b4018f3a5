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
  CPPUNIT_TEST(TestMalformedChunks);
  CPPUNIT_TEST(TestReportsAllErrors);
  CPPUNIT_TEST(TestDifferenceAndRollback);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Chunks must assemble to the same configuration, and equal configurations must give the same
  /// digest whatever the order of their entries.
  void TestRoundTrip()
  {
    for (const int n : { 0, 1, 3'000 }) {
      const auto configuration = SampleConfiguration(n);
      const auto chunks = SplitConfiguration(configuration).value();
      for (const auto& it : chunks.mTexts) {
        CPPUNIT_ASSERT(it.second->size() <= kMaxChunkBytes);
        CPPUNIT_ASSERT(MatchesDigest(*it.second, it.first));
      }
      const auto read = AssembleConfiguration(chunks, nullptr).value();
      CPPUNIT_ASSERT_EQUAL(SerializeConfiguration(configuration), SerializeConfiguration(read));
    }
    auto reversed = SampleConfiguration(100);
    std::reverse(reversed.mOrganisations.begin(), reversed.mOrganisations.end());
    CPPUNIT_ASSERT_EQUAL(SplitConfiguration(SampleConfiguration(100)).value().mDigest,
                         SplitConfiguration(reversed).value().mDigest);
  }

  /// A change of one entry must rewrite one chunk only, or every small change would rewrite a large
  /// configuration.
  void TestSmallChange()
  {
    auto configuration = SampleConfiguration(3'000);
    const auto before = SplitConfiguration(configuration).value();
    const auto previousConfiguration = configuration;
    configuration.mOrganisations[7].mWeight = 5;
    const auto after = SplitConfiguration(configuration).value();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, FindMissingDigests(after.mManifest, before).size());
    const ChunkedConfiguration previous{ previousConfiguration, before };
    const auto read = AssembleConfiguration(after, &previous).value();
    CPPUNIT_ASSERT_EQUAL(SerializeConfiguration(configuration), SerializeConfiguration(read));
  }

  /// Missing chunks, malformed manifests and chunks too large to store must give errors.
  void TestMalformedChunks()
  {
    auto chunks = SplitConfiguration(SampleConfiguration(10)).value();
    chunks.mTexts.erase(chunks.mManifest.front().mDigest);
    CPPUNIT_ASSERT(!AssembleConfiguration(chunks, nullptr));
    for (const auto* it : { "", "[]", "{\"chunks\":[[]]}", "{\"chunks\":[[\"a\",0,3,\"d\"]]}" }) {
      CPPUNIT_ASSERT(!ParseManifest(it));
    }
    auto oversized = SampleConfiguration(1);
    oversized.mOrganisations[0].mKeyDigests.assign(20'000, std::string(71, 'd'));
    const auto result = SplitConfiguration(oversized);
    CPPUNIT_ASSERT(!result && result.error().mCode == ErrorCode::BodyTooLarge);
  }

  /// An operator must see all errors of a file at once, not one after each attempt.
  void TestReportsAllErrors()
  {
    const auto parsed = ParseConfiguration(
      R"({ "teams": [{ "name": "a" }, { "name": "a" }],
           "organisations": [{ "name": "o", "team": "b", "budget": "x", "weigth": 2 }],
           "budgets": [{ "name": "y", "prepaidTokens": -1 }] })",
      "f");
    const std::string_view expected[] = { "f#/deployment",
                                          "f#/teams/1/name",
                                          "f#/organisations/0/team",
                                          "f#/organisations/0/budget",
                                          "f#/organisations/0/weigth",
                                          "f#/budgets/0/prepaidTokens" };
    for (const auto part : expected) {
      const bool found =
        std::any_of(parsed.mErrors.begin(), parsed.mErrors.end(), [&](const auto& it) {
          return it.mText.find(part) != std::string::npos;
        });
      CPPUNIT_ASSERT_MESSAGE(std::string(part), found);
    }
    CPPUNIT_ASSERT_EQUAL(std::size(expected), parsed.mErrors.size());
  }

  /// The summary must name the entries that differ, and a rollback must keep later payments.
  void TestDifferenceAndRollback()
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
    // The prepaid figure must not go back to that of the earlier version.
    const auto rollback = MakeRollbackConfiguration(before, after);
    CPPUNIT_ASSERT_EQUAL(Tokens{ 1'000 }, rollback.mBudgets[0].mPrepaidTokens);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, rollback.mOrganisations.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChunksTest);

} // namespace gentianloom::testing
