#include "ScriptedStore.h"

#include "gentianloom/outcome/IntentCoordinator.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gentianloom::testing {

/// At-most-once calls of two routers while the key-value service fails in various ways.
class IntentCoordinatorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(IntentCoordinatorTest);
  CPPUNIT_TEST(TestFirstAttempt);
  CPPUNIT_TEST(TestSecondAttempt);
  CPPUNIT_TEST(TestPauseBeforeDispatch);
  CPPUNIT_TEST(TestDelayedCreate);
  CPPUNIT_TEST(TestRecordExpiry);
  CPPUNIT_TEST(TestBatchedWrite);
  CPPUNIT_TEST(TestSerialization);
  CPPUNIT_TEST_SUITE_END();

  struct Fixture
  {
    ManualClock mClock;
    ScriptedStore mStore{ mClock };
    Metrics mMetrics;
    IntentSettings mSettings;
    IntentCoordinator mFirst{ mStore, mSettings, "router-1-a", mClock, mMetrics };
    IntentCoordinator mSecond{ mStore, mSettings, "router-2-a", mClock, mMetrics };

    IntentCall Call(const std::string& aBody = "x") const
    {
      return { MakeIntentKey("o", "s", "k"),
               ComputeCallFingerprint("POST", "/publish", "application/json", aBody),
               mClock.Now() + std::chrono::seconds(10) };
    }
  };

public:
  // A call runs at most once even if the key-value service loses requests or responses. A call that
  // is reported as not run can be retried on another router.
  void TestFirstAttempt()
  {
    using enum StoreBehaviour;
    struct Row
    {
      std::string mName;
      std::deque<StoreBehaviour> mCommits;
      std::deque<StoreBehaviour> mReads;
      bool mMayRun;
    };
    const Row rows[] = {
      { "no fault", {}, {}, true },
      { "response lost, record read back", { LosesResponse }, {}, true },
      { "request lost, written again", { LosesRequest }, {}, true },
      { "first write delayed, written again", { Delays }, {}, true },
      { "response lost, read back fails", { LosesResponse }, { Down }, false },
      { "store down", { Down }, {}, false },
      { "every request lost", { LosesRequest, LosesRequest, LosesRequest }, {}, false },
    };
    for (const auto& row : rows) {
      Fixture fixture;
      fixture.mStore.mCommits = row.mCommits;
      fixture.mStore.mReads = row.mReads;
      const auto result = fixture.mFirst.Begin(fixture.Call());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mMayRun, result.mMayRun);
      fixture.mStore.DeliverDelayed();
      if (result.mMayRun) {
        CPPUNIT_ASSERT_MESSAGE(row.mName, !fixture.mSecond.Begin(fixture.Call()).mMayRun);
        continue;
      }
      CPPUNIT_ASSERT_MESSAGE(row.mName, result.mReply == IntentReply::StoreUnavailable);
      // Once the record is resolved, the caller's retry runs on another router.
      CPPUNIT_ASSERT_MESSAGE(row.mName, fixture.mFirst.FlushOnce());
      CPPUNIT_ASSERT_MESSAGE(row.mName, fixture.mSecond.Begin(fixture.Call()).mMayRun);
    }
  }

  // What a second attempt with the same key is told, for each state of the first one.
  void TestSecondAttempt()
  {
    using Seconds = std::chrono::seconds;
    struct Row
    {
      std::string mName;
      std::optional<IntentState> mFirstResult; ///< unset if the first attempt is still running
      std::size_t mResponseBytes;
      std::string mBody;
      Seconds mElapsed;
      std::optional<IntentReply> mReply; ///< unset if the second attempt may run
    };
    using enum IntentReply;
    const Row rows[] = {
      { "in progress", std::nullopt, 0, "x", Seconds(1), Running },
      { "holder timed out or crashed", std::nullopt, 0, "x", Seconds(11), Unknown },
      { "done", IntentState::Done, 9, "x", Seconds(1), Stored },
      { "done long ago", IntentState::Done, 9, "x", Seconds(80'000), Stored },
      { "response too large to store",
        IntentState::Done,
        kMaxStoredResponseBytes + 1,
        "x",
        Seconds(1),
        AnswerNotKept },
      { "unknown long ago", IntentState::Unknown, 0, "x", Seconds(80'000), Unknown },
      { "not run", IntentState::NotRun, 0, "x", Seconds(1), std::nullopt },
      { "different body, in progress", std::nullopt, 0, "y", Seconds(1), Conflict },
      { "different body, done", IntentState::Done, 9, "y", Seconds(1), Conflict },
    };
    for (const auto& row : rows) {
      for (const bool isFlushed : { true, false }) {
        for (const bool isSameRouter : { true, false }) {
          Fixture fixture;
          const auto first = fixture.mFirst.Begin(fixture.Call());
          if (row.mFirstResult) {
            fixture.mFirst.Resolve(
              first, *row.mFirstResult, { 200, "t", std::string(row.mResponseBytes, 'a') });
          }
          if (isFlushed) {
            fixture.mFirst.FlushOnce();
          }
          fixture.mClock.Advance(row.mElapsed);
          auto& coordinator = isSameRouter ? fixture.mFirst : fixture.mSecond;
          const auto second = coordinator.Begin(fixture.Call(row.mBody));
          const bool isRecordVisible =
            isFlushed || (isSameRouter && row.mFirstResult != IntentState::NotRun);
          if (!isRecordVisible) {
            CPPUNIT_ASSERT_MESSAGE(row.mName, !second.mMayRun);
            continue;
          }
          CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, !row.mReply, second.mMayRun);
          // The router that holds the call reports Running for as long as it has no result.
          const bool isStillHeld = isSameRouter && !row.mFirstResult && row.mReply == Unknown;
          CPPUNIT_ASSERT_MESSAGE(
            row.mName, second.mMayRun || second.mReply == (isStillHeld ? Running : *row.mReply));
          if (row.mReply == Stored) {
            CPPUNIT_ASSERT_EQUAL(std::string(row.mResponseBytes, 'a'), second.mResponse.mBody);
          }
        }
      }
    }
  }

  // A router that is suspended past the send window must not dispatch: the caller may have given
  // up.
  void TestPauseBeforeDispatch()
  {
    struct Row
    {
      Millis mPause;
      bool mMayRun;
    };
    const Row rows[] = { { Millis(0), true },
                         { Millis(1'900), true },
                         { Millis(2'100), false },
                         { Millis(60'000), false } };
    for (const auto& row : rows) {
      Fixture fixture; // suspended while the record is created
      fixture.mStore.mOnCall = [&] { fixture.mClock.Advance(row.mPause); };
      CPPUNIT_ASSERT_EQUAL(row.mMayRun, fixture.mFirst.Begin(fixture.Call()).mMayRun);
      fixture.mStore.mOnCall = {};
      Fixture other; // suspended between the create and the dispatch
      const auto result = other.mFirst.Begin(other.Call());
      other.mClock.Advance(row.mPause);
      CPPUNIT_ASSERT_EQUAL(row.mMayRun, result.mAttempt->MayDispatch(other.mClock.Now()));
    }
  }

  // A create that arrives after the call was reported and resolved as not run must fail. Otherwise
  // it would block the caller's retry.
  void TestDelayedCreate()
  {
    Fixture fixture;
    fixture.mStore.mCommits = { StoreBehaviour::Delays };
    fixture.mStore.mReads = { StoreBehaviour::Down };
    CPPUNIT_ASSERT(!fixture.mFirst.Begin(fixture.Call()).mMayRun);
    CPPUNIT_ASSERT(fixture.mFirst.FlushOnce());
    fixture.mStore.DeliverDelayed();
    CPPUNIT_ASSERT(fixture.mSecond.Begin(fixture.Call()).mMayRun);
  }

  void TestRecordExpiry()
  {
    Fixture fixture;
    const auto first = fixture.mFirst.Begin(fixture.Call());
    fixture.mFirst.Resolve(first, IntentState::Unknown, {});
    CPPUNIT_ASSERT(fixture.mFirst.FlushOnce());
    fixture.mClock.Advance(fixture.mSettings.mLifetime - Millis(1));
    CPPUNIT_ASSERT(!fixture.mSecond.Begin(fixture.Call()).mMayRun);
    fixture.mClock.Advance(std::chrono::hours(2));
    // The documented lifetime has passed, so the key no longer prevents a second run.
    CPPUNIT_ASSERT(fixture.mSecond.Begin(fixture.Call()).mMayRun);
  }

  // The results of sixteen calls, the largest batch, are written in one transaction.
  void TestBatchedWrite()
  {
    Fixture fixture;
    std::vector<IntentBeginResult> results;
    for (int n = 0; n < 16; ++n) {
      auto call = fixture.Call();
      call.mKey += std::to_string(n);
      results.push_back(fixture.mFirst.Begin(call));
    }
    fixture.mStore.mCalls = 0;
    for (const auto& it : results) {
      fixture.mFirst.Resolve(it, IntentState::Done, { 200, "t", "a" });
    }
    CPPUNIT_ASSERT(fixture.mFirst.FlushOnce());
    CPPUNIT_ASSERT_EQUAL(1, fixture.mStore.mCalls);
  }

  void TestSerialization()
  {
    CPPUNIT_ASSERT(MakeIntentKey("a", "bc", "d") != MakeIntentKey("ab", "c", "d"));
    CPPUNIT_ASSERT(ComputeCallFingerprint("POST", "/a", "t", "b") !=
                   ComputeCallFingerprint("POST", "/a", "", "tb"));
    IntentRecord record{ "i", "n", "f", IntentState::Done, Millis(7), { 201, "t", "\xff\x01z" },
                         true };
    const auto parsed = ParseIntent(SerializeIntent(record));
    CPPUNIT_ASSERT(parsed && parsed->mState == IntentState::Done && parsed->mNonce == "n");
    CPPUNIT_ASSERT_EQUAL(record.mResponse.mBody, parsed->mResponse.mBody);
    for (const auto* it : { "", "[]", "{}", R"({"incarnation":1})" }) {
      CPPUNIT_ASSERT(!ParseIntent(it));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IntentCoordinatorTest);

} // namespace gentianloom::testing
