#include "ConfigurationTestSupport.h"

#include "gentianloom/configuration/ConfigurationJson.h"

#include "gentianloom/report/Audit.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gentianloom::testing {

class ConfigurationStoreTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigurationStoreTest);
  CPPUNIT_TEST(TestApply);
  CPPUNIT_TEST(TestConcurrentApply);
  CPPUNIT_TEST(TestLostResponses);
  CPPUNIT_TEST(TestRestoredService);
  CPPUNIT_TEST(TestSweep);
  CPPUNIT_TEST(TestSweepDuringApply);
  CPPUNIT_TEST(TestOddRecords);
  CPPUNIT_TEST_SUITE_END();

  ManualClock mClock;
  standin::MemoryStore mMemory{ mClock };
  FaultyStore mFaulty{ mMemory };
  ConfigurationStore mStore{ mFaulty };

  AcceptedConfigurationPtr ReadInForce()
  {
    return mStore.ReadConfiguration(mStore.ReadHead().value(), {}).value();
  }

public:
  /// A version must be readable after it was applied, an unchanged configuration must not make a
  /// new version, and a small change must cost two writes.
  void TestApply()
  {
    auto configuration = SampleConfiguration(2'000);
    const auto first = mStore.Apply(configuration, MakeApplyRequest("ana", 0)).value();
    CPPUNIT_ASSERT(first.mChanged && first.mHead.mVersion == 1);
    const auto unchanged = mStore.Apply(configuration, MakeApplyRequest("rui", 1)).value();
    CPPUNIT_ASSERT(!unchanged.mChanged && unchanged.mHead.mVersion == 1);
    configuration.mOrganisations[0].mWeight = 9;
    const auto commits = mFaulty.mCommits;
    const auto second = mStore.Apply(configuration, MakeApplyRequest("ana")).value();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, second.mHead.mVersion);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, second.mHead.mParent);
    CPPUNIT_ASSERT_EQUAL(2, mFaulty.mCommits - commits); // one for the chunks, one for the head
    CPPUNIT_ASSERT_EQUAL(SerializeConfiguration(configuration),
                         SerializeConfiguration(ReadInForce()->Spec()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, mStore.ReadHistory().value().size());
    const auto old = mStore.ReadVersion(1).value();
    CPPUNIT_ASSERT_EQUAL(std::string("ana"), old.mOperator);
    CPPUNIT_ASSERT(!mStore.ReadVersion(3));
  }

  /// Of two concurrent applies the later one must fail with a conflict that names the winner, or it
  /// would overwrite changes that its operator has not seen.
  void TestConcurrentApply()
  {
    mStore.Apply(SampleConfiguration(1), MakeApplyRequest("ana")).value();
    const auto stale = mStore.Apply(SampleConfiguration(2), MakeApplyRequest("rui", 0));
    CPPUNIT_ASSERT(!stale && stale.error().mCode == ErrorCode::Conflict);
    mFaulty.mBeforeHeadCommit = [this] {
      mStore.Apply(SampleConfiguration(3), MakeApplyRequest("ana")).value();
    };
    const auto loser = mStore.Apply(SampleConfiguration(4), MakeApplyRequest("rui", 1));
    CPPUNIT_ASSERT(!loser && loser.error().mCode == ErrorCode::Conflict);
    CPPUNIT_ASSERT(loser.error().mText.find("\"ana\" applied version 2") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, ReadInForce()->Spec().mOrganisations.size());
  }

  /// If the service commits but its response is lost, the outcome must be read back, and a repeated
  /// request must not be executed twice.
  void TestLostResponses()
  {
    struct Row
    {
      int mLostResponses;
      bool mGoesDown;
      bool mIsOutcomeKnown; ///< whether Apply() can determine the outcome
    };
    const Row rows[] = { { 1, false, true }, { 2, false, true }, { 0, true, false } };
    int organisations = 1;
    for (const auto& row : rows) {
      mFaulty.mLostResponses = row.mLostResponses;
      mFaulty.mGoesDownAfterCommit = row.mGoesDown;
      const auto request = MakeApplyRequest("ana");
      const auto configuration = SampleConfiguration(++organisations);
      const auto answer = mStore.Apply(configuration, request);
      CPPUNIT_ASSERT_EQUAL(row.mIsOutcomeKnown, answer.has_value());
      CPPUNIT_ASSERT(row.mIsOutcomeKnown || answer.error().mCode == ErrorCode::PlatformAnswerLost);
      mFaulty.mIsDown = false;
      mFaulty.mGoesDownAfterCommit = false;
      const auto head = mStore.ReadHead().value();
      CPPUNIT_ASSERT_EQUAL(head.mVersion, mStore.FindByApplyId(request.mApplyId).value()->mVersion);
      // The repeated request must not be executed again.
      CPPUNIT_ASSERT_EQUAL(head.mVersion,
                           mStore.Apply(configuration, request).value().mHead.mVersion);
      CPPUNIT_ASSERT_EQUAL(head.mModRevision, mStore.ReadHead().value().mModRevision);
    }
    mFaulty.mIsDown = true;
    const auto unavailable = mStore.Apply(SampleConfiguration(9), MakeApplyRequest("ana"));
    CPPUNIT_ASSERT(!unavailable && unavailable.error().mCode == ErrorCode::PlatformUnavailable);
  }

  /// Routers hold version 7, but the service was restored to version 1. The next apply must use a
  /// version above 7, since routers ignore older ones.
  void TestRestoredService()
  {
    mStore.Apply(SampleConfiguration(1), MakeApplyRequest("ana")).value();
    auto request = MakeApplyRequest("rui", 7);
    request.mHighestKnown = 7;
    const auto answer = mStore.Apply(SampleConfiguration(1), request).value();
    CPPUNIT_ASSERT(answer.mChanged);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 8 }, answer.mHead.mVersion);
  }

  /// A sweep must delete expired versions and their chunks, but no chunk that a kept version uses.
  void TestSweep()
  {
    const int versions = static_cast<int>(kKeptVersions) + 10;
    for (int n = 0; n < versions; ++n) {
      mStore.Apply(SampleConfiguration(n + 1), MakeApplyRequest("ana")).value();
    }
    const auto chunks = [this] {
      return mMemory.Range(kChunkPrefix, true, Step::Settings).value().mEntries.size();
    };
    const auto before = chunks();
    CPPUNIT_ASSERT(mStore.Sweep(Millis(0)).value() > 0);
    CPPUNIT_ASSERT(chunks() < before);
    const auto history = mStore.ReadHistory().value();
    CPPUNIT_ASSERT_EQUAL(kKeptVersions, history.size());
    for (const auto& it : history) {
      CPPUNIT_ASSERT(mStore.ReadConfiguration(it, {}).has_value());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mStore.Sweep(Millis(0)).value());
  }

  /// An apply is about to move the head to chunks of an expired version when a sweep deletes them.
  /// The apply must notice it and write the chunks again.
  void TestSweepDuringApply()
  {
    const auto configuration = SampleConfiguration(5);
    for (std::size_t n = 0; n < kKeptVersions; ++n) {
      mStore
        .Apply(SampleConfiguration(n == 0 ? 5 : static_cast<int>(n) + 5), MakeApplyRequest("ana"))
        .value();
    }
    mStore.Apply(SampleConfiguration(200), MakeApplyRequest("ana")).value();
    mFaulty.mBeforeHeadCommit = [this] { CPPUNIT_ASSERT(mStore.Sweep(Millis(0)).value() > 0); };
    mStore.Apply(configuration, MakeApplyRequest("ana")).value();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 5 }, ReadInForce()->Spec().mOrganisations.size());
  }

  // A record of another writer ended the thread that sweeps, or the answer to an operator.
  void TestOddRecords()
  {
    mStore.Apply(SampleConfiguration(1), MakeApplyRequest("ana")).value();
    const auto chunks = mMemory.Range(kChunkPrefix, true, Step::Settings).value().mEntries.size();
    for (const auto* value : { "",
                               "?",
                               "[]",
                               "{}",
                               R"({"timeMs":"0"})",
                               R"({"timeMs":-1})",
                               R"({"timeMs":9223372036854775807})",
                               R"({"timeMs":[],"chunks":5,"operator":5,"text":{}})" }) {
      const Transaction odd{
        {}, { { std::string(kPendingPrefix) + "&x", value }, { "/gentianloom/audit/&x", value } }
      };
      mMemory.Commit(odd, Step::Settings);
      CPPUNIT_ASSERT_MESSAGE(value, mStore.Sweep(Millis(7'200'000)));
      CPPUNIT_ASSERT_MESSAGE(value, ReadAudit(mMemory));
      CPPUNIT_ASSERT_EQUAL(
        chunks, mMemory.Range(kChunkPrefix, true, Step::Settings).value().mEntries.size());
    }
    for (const auto* text : { R"({"version":1,"digest":"d","parent":"0"})",
                              R"({"version":1,"digest":"d","timeMs":[],"operator":5})" }) {
      CPPUNIT_ASSERT_MESSAGE(text, ParseHead(text));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationStoreTest);

} // namespace gentianloom::testing
