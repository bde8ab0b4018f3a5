#include "gentianloom/control/EndpointLock.h"
#include "gentianloom/control/ShardPlanner.h"

#include "MemoryStore.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace gentianloom {

namespace {

EndpointTarget Target(const std::string& aName, const std::string& aVersion, bool aFences = false)
{
  return { aName, { "m", aVersion, {}, "both" }, 2, aFences };
}

EngineStatus Status(const std::string& aVersion,
                    EngineState aState = EngineState::Ready,
                    std::int64_t aConfiguration = 1)
{
  return { { "m", aVersion, {}, "both" }, aState, "reason", aConfiguration };
}

} // namespace

class ControlTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ControlTest);
  CPPUNIT_TEST(TestChoose);
  CPPUNIT_TEST(TestStuck);
  CPPUNIT_TEST(TestObserved);
  CPPUNIT_TEST(TestLapse);
  CPPUNIT_TEST(TestShards);
  CPPUNIT_TEST(TestLock);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestChoose()
  {
    struct Row
    {
      std::vector<std::optional<EngineStatus>> mLooks; // of e0, e1, ...; nothing: no answer
      std::vector<PlannedJob> mRunning;
      std::string mChosen;
      bool mInterruptsServing;
    };
    const auto ready = [](const char* aVersion) { return Status(aVersion); };
    const auto failed = Status("v1", EngineState::Failed);
    const Row rows[] = {
      { { ready("v2"), ready("v2") }, {}, "", false },
      { { ready("v1"), ready("v1") }, {}, "e0", true },
      { { ready("v1"), ready("v1") }, { { "e0", true } }, "", false }, // one at a time
      { { ready("v2"), ready("v1") }, {}, "e1", true },
      { { std::nullopt, ready("v1") }, {}, "", false }, // the share must go on serving
      { { failed, ready("v1") }, {}, "e0", false },     // does not serve anyway
      { { failed, ready("v1") }, { { "e0", false } }, "", false },
      { { ready("v1") }, {}, "e0", true }, // nothing can serve meanwhile
      { { ready("v1"), ready("v1"), ready("v1") }, { { "e0", true } }, "", false },
      { { Status("v2", EngineState::Loading), ready("v2") }, {}, "", false },  // by another's order
      { { Status("v1", EngineState::Ready, 3), ready("v2") }, {}, "", false }, // newer than ours
    };
    int n = 0;
    for (const auto& row : rows) {
      ShardPlanner plan{ ControlOptions{} };
      std::vector<EndpointTarget> targets;
      for (std::size_t i = 0; i < row.mLooks.size(); ++i) {
        targets.push_back(Target("e" + std::to_string(i), "v2"));
      }
      plan.SetTargets(targets);
      ManualClock clock;
      CPPUNIT_ASSERT(!plan.Choose(row.mRunning, clock.Now())); // nothing was looked at yet
      for (std::size_t i = 0; i < row.mLooks.size(); ++i) {
        plan.OnObserved("e" + std::to_string(i), row.mLooks[i], clock.Now());
      }
      const auto next = plan.Choose(row.mRunning, clock.Now());
      const auto where = "row " + std::to_string(n++);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(where, row.mChosen, next ? next->mEndpoint : std::string());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(where, row.mInterruptsServing, next && next->mInterruptsServing);
    }
  }

  void TestStuck()
  {
    const ControlOptions rules;
    ShardPlanner plan{ rules };
    ManualClock clock;
    plan.SetTargets({ Target("e", "v2") });
    plan.OnObserved("e", Status("v1"), clock.Now());
    int tries = 0;
    for (int n = 0; n < 1'000; ++n) {
      clock.Advance(std::chrono::seconds(1));
      if (!plan.Choose({}, clock.Now())) {
        continue;
      }
      ++tries;
      plan.OnJobEnd("e", JobOutcome::Failed, "told to fail", clock.Now());
      plan.OnObserved("e", Status("v2", EngineState::Failed), clock.Now());
    }
    CPPUNIT_ASSERT_EQUAL(rules.mMaxTries, tries);
    CPPUNIT_ASSERT(plan.Records().at("e").mCondition == EndpointCondition::Stuck);
    // It is tried again when the endpoint changes, or what is stated.
    auto restated = plan;
    restated.SetTargets({ Target("e", "v3") });
    restated.OnObserved("e", Status("v2", EngineState::Failed), clock.Now());
    CPPUNIT_ASSERT(restated.Choose({}, clock.Now()).has_value());
    plan.OnObserved("e", Status("", EngineState::Ready), clock.Now()); // restarted, empty
    CPPUNIT_ASSERT(plan.Choose({}, clock.Now()).has_value());
  }

  void TestObserved()
  {
    struct Row
    {
      std::optional<EngineStatus> mStatus;
      Millis mAfter;
      JobOutcome mEnd;
    };
    const Row rows[] = {
      { Status("v2"), Millis(0), JobOutcome::Succeeded },
      { Status("v1"), Millis(0), JobOutcome::None },
      { Status("v1"), Millis(5'001), JobOutcome::Failed },
      { Status("v2", EngineState::Loading), Millis(5'001), JobOutcome::None },
      { Status("v2", EngineState::Loading), Millis(600'001), JobOutcome::Failed },
      { Status("v2", EngineState::Failed), Millis(0), JobOutcome::Failed },
      { Status("v1", EngineState::Ready, 3), Millis(0), JobOutcome::Behind },
      { std::nullopt, Millis(0), JobOutcome::None },
      { std::nullopt, Millis(5'001), JobOutcome::Failed },
    };
    int n = 0;
    for (const auto& row : rows) {
      ManualClock clock;
      EndpointJob job(Target("e", "v2", true), {}, clock.Now());
      CPPUNIT_ASSERT(job.NextAction(clock.Now()) == JobAction::RequestPermit);
      job.OnPermitResult(true, Millis(0), clock.Now());
      CPPUNIT_ASSERT(job.NextAction(clock.Now()) == JobAction::AcquireLock);
      job.OnLockResult(LockGrant{ 1, 7, clock.Now() + std::chrono::hours(1) }, {}, clock.Now());
      CPPUNIT_ASSERT(job.NextAction(clock.Now()) == JobAction::Send);
      CPPUNIT_ASSERT_EQUAL(std::int64_t{ 7 }, job.Order().mFencingToken);
      job.OnSent(OrderResult::Unknown, clock.Now());
      clock.Advance(row.mAfter);
      job.OnObserved(row.mStatus, clock.Now());
      CPPUNIT_ASSERT_MESSAGE("row " + std::to_string(n++), row.mEnd == job.Outcome());
    }
  }

  /// The lease lapses at one place after another of a job; nothing is sent or taken as read after.
  void TestLapse()
  {
    for (const int place : { 0, 1, 2 }) {
      ManualClock clock;
      EndpointJob job(Target("e", "v2"), {}, clock.Now());
      job.OnPermitResult(true, Millis(0), clock.Now());
      job.OnLockResult(LockGrant{ 1, 7, clock.Now() + std::chrono::seconds(15) }, {}, clock.Now());
      CPPUNIT_ASSERT(job.NextAction(clock.Now()) == JobAction::Wait); // orders of earlier holders
      clock.Advance(std::chrono::seconds(place == 0 ? 60 : 6));
      if (place > 0) {
        job.OnRenewed(clock.Now() + std::chrono::seconds(15), clock.Now());
        CPPUNIT_ASSERT(job.NextAction(clock.Now()) == JobAction::Send);
        clock.Advance(std::chrono::seconds(place == 1 ? 60 : 0));
        job.OnSent(OrderResult::Accepted, clock.Now());
      }
      if (place == 2) {
        clock.Advance(std::chrono::seconds(60));
        job.OnObserved(Status("v2"), clock.Now());
      }
      CPPUNIT_ASSERT(job.NextAction(clock.Now()) == JobAction::End);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(place), job.Outcome() == JobOutcome::Lapsed);
    }
  }

  void TestShards()
  {
    struct Row
    {
      int mEndpoints;
      std::size_t mShards;
    };
    const std::vector<std::string> routers = { "r1", "r2", "r3", "r4" };
    for (const auto& row :
         { Row{ 0, 0 }, Row{ 1, 1 }, Row{ 64, 1 }, Row{ 65, 2 }, Row{ 640, 10 } }) {
      Configuration stated;
      stated.mModels.push_back({ "m", "v1", {} });
      for (int n = 0; n < row.mEndpoints; ++n) {
        stated.mEndpoints.push_back({ "e" + std::to_string(n), "z", "m", {} });
      }
      const auto shards = ShardsOf(AcceptedConfiguration(1, "", stated));
      CPPUNIT_ASSERT_EQUAL(row.mShards, shards.size());
      std::size_t total = 0;
      for (const auto& it : shards) {
        total += it.mTargets.size();
        const auto owner = OwnerOf(it.mName, routers);
        const std::vector<std::string> fewer = { "r1", "r2", "r3" };
        CPPUNIT_ASSERT(owner == "r4" || OwnerOf(it.mName, fewer) == owner);
      }
      CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(row.mEndpoints), total);
    }
  }

  void TestLock()
  {
    ManualClock clock;
    standin::MemoryStore store(clock);
    EndpointLock first(store, "first", {}, clock);
    EndpointLock second(store, "second", {}, clock);
    const auto grant = first.Acquire("m/0", "e1", true).value();
    CPPUNIT_ASSERT(second.Acquire("m/0", "e1", false).error().mCode == ErrorCode::Conflict);
    CPPUNIT_ASSERT(second.Acquire("m/0", "e2", true).error().mCode == ErrorCode::Conflict);
    CPPUNIT_ASSERT(second.Acquire("m/0", "e3", false).has_value());
    clock.Advance(std::chrono::seconds(10));
    CPPUNIT_ASSERT(*first.Renew(grant) == clock.Now() + std::chrono::seconds(15));
    clock.Advance(std::chrono::seconds(16)); // paused past its lease
    const auto later = second.Acquire("m/0", "e1", true).value();
    CPPUNIT_ASSERT(later.mFencingToken > grant.mFencingToken);
    CPPUNIT_ASSERT(*first.Renew(grant) == TimePoint{});
    first.Release(grant); // takes nothing from the new holder
    CPPUNIT_ASSERT(first.Acquire("m/0", "e1", true).error().mCode == ErrorCode::Conflict);
    second.Release(later);
    CPPUNIT_ASSERT(first.Acquire("m/0", "e1", true).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlTest);

} // namespace gentianloom
