#include "ScriptedStore.h"

#include "gentianloom/outcome/IntentCoordinator.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gentianloom::testing {

/// Work that must not repeat, against a key-value service that fails at each call.
class IntentCoordinatorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(IntentCoordinatorTest);
  CPPUNIT_TEST(TestFirstAttempt);
  CPPUNIT_TEST(TestSecondAttempt);
  CPPUNIT_TEST(TestPausedHolder);
  CPPUNIT_TEST(TestLateCreate);
  CPPUNIT_TEST(TestLifetime);
  CPPUNIT_TEST(TestSharedWrite);
  CPPUNIT_TEST(TestRecordAndKeys);
  CPPUNIT_TEST_SUITE_END();

  struct World
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
      { "normal", {}, {}, true },
      { "answer lost, read back", { LosesAnswer }, {}, true },
      { "call lost, written again", { LosesCall }, {}, true },
      { "first write late, written again", { Delays }, {}, true },
      { "answer and read back lost", { LosesAnswer }, { Down }, false },
      { "store down", { Down }, {}, false },
      { "every call lost", { LosesCall, LosesCall, LosesCall }, {}, false },
    };
    for (const auto& row : rows) {
      World world;
      world.mStore.mCommits = row.mCommits;
      world.mStore.mReads = row.mReads;
      const auto permit = world.mFirst.Begin(world.Call());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mMayRun, permit.mMayRun);
      world.mStore.DeliverLate();
      if (permit.mMayRun) {
        CPPUNIT_ASSERT_MESSAGE(row.mName, !world.mSecond.Begin(world.Call()).mMayRun);
        continue;
      }
      CPPUNIT_ASSERT_MESSAGE(row.mName, permit.mReply == IntentReply::StoreUnavailable);
      // Once the trace is cleared, the caller's retry runs at another router.
      CPPUNIT_ASSERT_MESSAGE(row.mName, world.mFirst.FlushOnce());
      CPPUNIT_ASSERT_MESSAGE(row.mName, world.mSecond.Begin(world.Call()).mMayRun);
    }
  }

  void TestSecondAttempt()
  {
    using Seconds = std::chrono::seconds;
    struct Row
    {
      std::string mName;
      std::optional<IntentState> mEnd; ///< how the first attempt ended; nothing: it still runs
      std::size_t mAnswerBytes;
      std::string mBody;
      Seconds mLater;
      std::optional<IntentReply> mReply; ///< nothing: the second may run
    };
    using enum IntentReply;
    const Row rows[] = {
      { "under way", std::nullopt, 0, "x", Seconds(1), Running },
      { "holder gave up or died", std::nullopt, 0, "x", Seconds(11), Unknown },
      { "done", IntentState::Done, 9, "x", Seconds(1), Stored },
      { "done long ago", IntentState::Done, 9, "x", Seconds(80'000), Stored },
      { "large answer",
        IntentState::Done,
        kMaxStoredResponseBytes + 1,
        "x",
        Seconds(1),
        AnswerNotKept },
      { "unknown for ever", IntentState::Unknown, 0, "x", Seconds(80'000), Unknown },
      { "proved not run", IntentState::NotRun, 0, "x", Seconds(1), std::nullopt },
      { "other body, under way", std::nullopt, 0, "y", Seconds(1), Conflict },
      { "other body, done", IntentState::Done, 9, "y", Seconds(1), Conflict },
    };
    for (const auto& row : rows) {
      for (const bool flushed : { true, false }) {
        for (const bool sameRouter : { true, false }) {
          World world;
          const auto first = world.mFirst.Begin(world.Call());
          if (row.mEnd) {
            world.mFirst.Resolve(
              first, *row.mEnd, { 200, "t", std::string(row.mAnswerBytes, 'a') });
          }
          if (flushed) {
            world.mFirst.FlushOnce();
          }
          world.mClock.Advance(row.mLater);
          auto& duty = sameRouter ? world.mFirst : world.mSecond;
          const auto second = duty.Begin(world.Call(row.mBody));
          const bool known = flushed || (sameRouter && row.mEnd != IntentState::NotRun);
          if (!known) {
            CPPUNIT_ASSERT_MESSAGE(row.mName, !second.mMayRun);
            continue;
          }
          CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, !row.mReply, second.mMayRun);
          // A holder that still has the call tells "running" as long as it has it.
          const bool held = sameRouter && !row.mEnd && row.mReply == Unknown;
          CPPUNIT_ASSERT_MESSAGE(row.mName,
                                 second.mMayRun || second.mReply == (held ? Running : *row.mReply));
          if (row.mReply == Stored) {
            CPPUNIT_ASSERT_EQUAL(std::string(row.mAnswerBytes, 'a'), second.mResponse.mBody);
          }
        }
      }
    }
  }

  void TestPausedHolder()
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
      World world; // paused during the create
      world.mStore.mOnCall = [&] { world.mClock.Advance(row.mPause); };
      CPPUNIT_ASSERT_EQUAL(row.mMayRun, world.mFirst.Begin(world.Call()).mMayRun);
      world.mStore.mOnCall = {};
      World late; // paused between the create and the send
      const auto permit = late.mFirst.Begin(late.Call());
      late.mClock.Advance(row.mPause);
      CPPUNIT_ASSERT_EQUAL(row.mMayRun, permit.mAttempt->MayDispatch(late.mClock.Now()));
    }
  }

  void TestLateCreate()
  {
    World world; // the create arrives after "not run" was told and resolved
    world.mStore.mCommits = { StoreBehaviour::Delays };
    world.mStore.mReads = { StoreBehaviour::Down };
    CPPUNIT_ASSERT(!world.mFirst.Begin(world.Call()).mMayRun);
    CPPUNIT_ASSERT(world.mFirst.FlushOnce());
    world.mStore.DeliverLate();
    CPPUNIT_ASSERT(world.mSecond.Begin(world.Call()).mMayRun);
  }

  void TestLifetime()
  {
    World world;
    const auto first = world.mFirst.Begin(world.Call());
    world.mFirst.Resolve(first, IntentState::Unknown, {});
    CPPUNIT_ASSERT(world.mFirst.FlushOnce());
    world.mClock.Advance(world.mSettings.mLifetime - Millis(1));
    CPPUNIT_ASSERT(!world.mSecond.Begin(world.Call()).mMayRun);
    world.mClock.Advance(std::chrono::hours(2));
    CPPUNIT_ASSERT(world.mSecond.Begin(world.Call()).mMayRun); // stated: the key no longer protects
  }

  void TestSharedWrite()
  {
    World world;
    std::vector<IntentPermit> permits;
    for (int n = 0; n < 16; ++n) {
      auto call = world.Call();
      call.mKey += std::to_string(n);
      permits.push_back(world.mFirst.Begin(call));
    }
    world.mStore.mCalls = 0;
    for (const auto& it : permits) {
      world.mFirst.Resolve(it, IntentState::Done, { 200, "t", "a" });
    }
    CPPUNIT_ASSERT(world.mFirst.FlushOnce());
    CPPUNIT_ASSERT_EQUAL(1, world.mStore.mCalls);
  }

  void TestRecordAndKeys()
  {
    CPPUNIT_ASSERT(MakeIntentKey("a", "bc", "d") != MakeIntentKey("ab", "c", "d"));
    CPPUNIT_ASSERT(ComputeCallFingerprint("POST", "/a", "t", "b") !=
                   ComputeCallFingerprint("POST", "/a", "", "tb"));
    IntentRecord record{ "i", "n", "f", IntentState::Done, Millis(7), { 201, "t", "\xff\x01z" },
                         true };
    const auto read = ParseIntent(SerializeIntent(record));
    CPPUNIT_ASSERT(read && read->mState == IntentState::Done && read->mNonce == "n");
    CPPUNIT_ASSERT_EQUAL(record.mResponse.mBody, read->mResponse.mBody);
    for (const auto* it : { "", "[]", "{}", R"({"incarnation":1})" }) {
      CPPUNIT_ASSERT(!ParseIntent(it));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IntentCoordinatorTest);

} // namespace gentianloom::testing
