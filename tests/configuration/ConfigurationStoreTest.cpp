#include "ConfigurationTestSupport.h"

#include "gentianloom/configuration/ConfigurationJson.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gentianloom::testing {

class ConfigurationStoreTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigurationStoreTest);
  CPPUNIT_TEST(TestApply);
  CPPUNIT_TEST(TestRace);
  CPPUNIT_TEST(TestLostAnswers);
  CPPUNIT_TEST(TestRestoredService);
  CPPUNIT_TEST(TestSweep);
  CPPUNIT_TEST(TestSweepDuringApply);
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
  void TestApply()
  {
    auto stated = SampleConfiguration(2'000);
    const auto first = mStore.Apply(stated, MakeApplyRequest("ana", 0)).value();
    CPPUNIT_ASSERT(first.mChanged && first.mHead.mVersion == 1);
    const auto again = mStore.Apply(stated, MakeApplyRequest("rui", 1)).value();
    CPPUNIT_ASSERT(!again.mChanged && again.mHead.mVersion == 1);
    stated.mOrganisations[0].mWeight = 9;
    const auto commits = mFaulty.mCommits;
    const auto second = mStore.Apply(stated, MakeApplyRequest("ana")).value();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, second.mHead.mVersion);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, second.mHead.mParent);
    CPPUNIT_ASSERT_EQUAL(2, mFaulty.mCommits - commits); // the chunks and the head
    CPPUNIT_ASSERT_EQUAL(SerializeConfiguration(stated),
                         SerializeConfiguration(ReadInForce()->Spec()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, mStore.ReadHistory().value().size());
    const auto old = mStore.ReadVersion(1).value();
    CPPUNIT_ASSERT_EQUAL(std::string("ana"), old.mOperator);
    CPPUNIT_ASSERT(!mStore.ReadVersion(3));
  }

  void TestRace()
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

  void TestLostAnswers()
  {
    struct Row
    {
      int mLost;
      bool mDownAfter;
      bool mKnown; ///< whether the outcome can be told at once
    };
    const Row rows[] = { { 1, false, true }, { 2, false, true }, { 0, true, false } };
    int organisations = 1;
    for (const auto& row : rows) {
      mFaulty.mLostAnswers = row.mLost;
      mFaulty.mDownAfterCommit = row.mDownAfter;
      const auto order = MakeApplyRequest("ana");
      const auto stated = SampleConfiguration(++organisations);
      const auto answer = mStore.Apply(stated, order);
      CPPUNIT_ASSERT_EQUAL(row.mKnown, answer.has_value());
      CPPUNIT_ASSERT(row.mKnown || answer.error().mCode == ErrorCode::PlatformAnswerLost);
      mFaulty.mDown = false;
      mFaulty.mDownAfterCommit = false;
      const auto head = mStore.ReadHead().value();
      CPPUNIT_ASSERT_EQUAL(head.mVersion, mStore.FindByApplyId(order.mApplyId).value()->mVersion);
      // The same order again is not carried out a second time.
      CPPUNIT_ASSERT_EQUAL(head.mVersion, mStore.Apply(stated, order).value().mHead.mVersion);
      CPPUNIT_ASSERT_EQUAL(head.mModRevision, mStore.ReadHead().value().mModRevision);
    }
    mFaulty.mDown = true;
    const auto refused = mStore.Apply(SampleConfiguration(9), MakeApplyRequest("ana"));
    CPPUNIT_ASSERT(!refused && refused.error().mCode == ErrorCode::PlatformUnavailable);
  }

  void TestRestoredService()
  {
    // Routers hold version 7, but the service was restored to version 1.
    mStore.Apply(SampleConfiguration(1), MakeApplyRequest("ana")).value();
    auto order = MakeApplyRequest("rui", 7);
    order.mHighestKnown = 7;
    const auto answer = mStore.Apply(SampleConfiguration(1), order).value();
    CPPUNIT_ASSERT(answer.mChanged);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 8 }, answer.mHead.mVersion);
  }

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

  void TestSweepDuringApply()
  {
    // An order is about to move the head to chunks that a sweep deletes at that moment.
    const auto wanted = SampleConfiguration(5);
    for (std::size_t n = 0; n < kKeptVersions; ++n) {
      mStore
        .Apply(SampleConfiguration(n == 0 ? 5 : static_cast<int>(n) + 5), MakeApplyRequest("ana"))
        .value();
    }
    mStore.Apply(SampleConfiguration(200), MakeApplyRequest("ana")).value();
    mFaulty.mBeforeHeadCommit = [this] { CPPUNIT_ASSERT(mStore.Sweep(Millis(0)).value() > 0); };
    mStore.Apply(wanted, MakeApplyRequest("ana")).value();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 5 }, ReadInForce()->Spec().mOrganisations.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationStoreTest);

} // namespace gentianloom::testing
