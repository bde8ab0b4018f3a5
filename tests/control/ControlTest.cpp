#include "gentianloom/control/EndpointLock.h"
#include "gentianloom/control/ShardPlanner.h"

#include "MemoryStore.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace gentianloom {

namespace {

EndpointTarget Target(const std::string& aName,
                      const std::string& aVersion,
                      bool aChecksFencing = false)
{
  return { aName, { "m", aVersion, {}, "both" }, 2, aChecksFencing };
}

EngineStatus Status(const std::string& aVersion,
                    EngineState aState = EngineState::Ready,
                    std::int64_t aConfigurationVersion = 1)
{
  return { { "m", aVersion, {}, "both" }, aState, "reason", aConfigurationVersion };
}

} // namespace

class ControlTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ControlTest);
  CPPUNIT_TEST(TestChoose);
  CPPUNIT_TEST(TestStuckAfterMaxTries);
  CPPUNIT_TEST(TestOutcomeByStatus);
  CPPUNIT_TEST(TestLeaseExpiry);
  CPPUNIT_TEST(TestShardsAndOwners);
  CPPUNIT_TEST(TestLock);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against taking too many endpoints of a shard out of serving at the same time.
  void TestChoose()
  {
    struct Row
    {
      std::vector<std::optional<EngineStatus>> mStatuses; // of e0, e1, ...; unset: no answer
      std::vector<PlannedJob> mRunning;
      std::string mChosen;
      bool mInterruptsServing;
    };
    const auto ready = [](const char* aVersion) { return Status(aVersion); };
    const auto failed = Status("v1", EngineState::Failed);
    const Row rows[] = {
      { { ready("v2"), ready("v2") }, {}, "", false },
      { { ready("v1"), ready("v1") }, {}, "e0", true },
      { { ready("v1"), ready("v1") }, { { "e0", true } }, "", false }, // one interruption at a time
      { { ready("v2"), ready("v1") }, {}, "e1", true },
      { { std::nullopt, ready("v1") }, {}, "", false }, // the minimum share must keep serving
      { { failed, ready("v1") }, {}, "e0", false },     // e0 does not serve
      { { failed, ready("v1") }, { { "e0", false } }, "", false },
      { { ready("v1") }, {}, "e0", true }, // a single endpoint may always be interrupted
      { { ready("v1"), ready("v1"), ready("v1") }, { { "e0", true } }, "", false },
      { { Status("v2", EngineState::Loading), ready("v2") }, {}, "", false },  // another job's
      { { Status("v1", EngineState::Ready, 3), ready("v2") }, {}, "", false }, // newer
    };
    int n = 0;
    for (const auto& row : rows) {
      ShardPlanner planner{ ControlOptions{} };
      std::vector<EndpointTarget> targets;
      for (std::size_t i = 0; i < row.mStatuses.size(); ++i) {
        targets.push_back(Target("e" + std::to_string(i), "v2"));
      }
      planner.SetTargets(targets);
      ManualClock clock;
      CPPUNIT_ASSERT(!planner.Choose(row.mRunning, clock.Now())); // nothing was observed yet
      for (std::size_t i = 0; i < row.mStatuses.size(); ++i) {
        planner.OnObserved("e" + std::to_string(i), row.mStatuses[i], clock.Now());
      }
      const auto next = planner.Choose(row.mRunning, clock.Now());
      const auto rowName = "row " + std::to_string(n++);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(rowName, row.mChosen, next ? next->mEndpoint : std::string());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        rowName, row.mInterruptsServing, next && next->mInterruptsServing);
    }
  }

  /// Guards against endless retries when an engine cannot load its target.
  void TestStuckAfterMaxTries()
  {
    const ControlOptions options;
    ShardPlanner planner{ options };
    ManualClock clock;
    planner.SetTargets({ Target("e", "v2") });
    planner.OnObserved("e", Status("v1"), clock.Now());
    int tries = 0;
    for (int n = 0; n < 1'000; ++n) {
      clock.Advance(std::chrono::seconds(1));
      if (!planner.Choose({}, clock.Now())) {
        continue;
      }
      ++tries;
      planner.OnJobEnd("e", JobOutcome::Failed, "failed", clock.Now());
      planner.OnObserved("e", Status("v2", EngineState::Failed), clock.Now());
    }
    CPPUNIT_ASSERT_EQUAL(options.mMaxTries, tries);
    CPPUNIT_ASSERT(planner.Records().at("e").mCondition == EndpointCondition::Stuck);
    // It is tried again when its target or the status of its engine changes.
    auto changed = planner;
    changed.SetTargets({ Target("e", "v3") });
    changed.OnObserved("e", Status("v2", EngineState::Failed), clock.Now());
    CPPUNIT_ASSERT(changed.Choose({}, clock.Now()).has_value());
    // The engine was restarted without a model.
    planner.OnObserved("e", Status("", EngineState::Ready), clock.Now());
    CPPUNIT_ASSERT(planner.Choose({}, clock.Now()).has_value());
  }

  /// The outcome of a job for each status that is observed after the order was sent.
  void TestOutcomeByStatus()
  {
    struct Row
    {
      std::optional<EngineStatus> mStatus;
      Millis mElapsed;
      JobOutcome mOutcome;
    };
    const Row rows[] = {
      { Status("v2"), Millis(0), JobOutcome::Succeeded },
      { Status("v1"), Millis(0), JobOutcome::None },
      { Status("v1"), Millis(5'001), JobOutcome::Failed },
      { Status("v2", EngineState::Loading), Millis(5'001), JobOutcome::None },
      { Status("v2", EngineState::Loading), Millis(600'001), JobOutcome::Failed },
      { Status("v2", EngineState::Failed), Millis(0), JobOutcome::Failed },
      { Status("v1", EngineState::Ready, 3), Millis(0), JobOutcome::Superseded },
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
      clock.Advance(row.mElapsed);
      job.OnObserved(row.mStatus, clock.Now());
      CPPUNIT_ASSERT_MESSAGE("row " + std::to_string(n++), row.mOutcome == job.Outcome());
    }
  }

  /// Guards against a job that goes on after its lease expired, for example because the process was
  /// paused. The lease expires before the order is sent, while it is sent, or before the engine is
  /// observed.
  void TestLeaseExpiry()
  {
    for (const int expiryStep : { 0, 1, 2 }) {
      ManualClock clock;
      EndpointJob job(Target("e", "v2"), {}, clock.Now());
      job.OnPermitResult(true, Millis(0), clock.Now());
      job.OnLockResult(LockGrant{ 1, 7, clock.Now() + std::chrono::seconds(15) }, {}, clock.Now());
      // Orders of earlier holders may still arrive.
      CPPUNIT_ASSERT(job.NextAction(clock.Now()) == JobAction::Wait);
      clock.Advance(std::chrono::seconds(expiryStep == 0 ? 60 : 6));
      if (expiryStep > 0) {
        job.OnRenewed(clock.Now() + std::chrono::seconds(15), clock.Now());
        CPPUNIT_ASSERT(job.NextAction(clock.Now()) == JobAction::Send);
        clock.Advance(std::chrono::seconds(expiryStep == 1 ? 60 : 0));
        job.OnSent(OrderResult::Accepted, clock.Now());
      }
      if (expiryStep == 2) {
        clock.Advance(std::chrono::seconds(60));
        job.OnObserved(Status("v2"), clock.Now());
      }
      CPPUNIT_ASSERT(job.NextAction(clock.Now()) == JobAction::End);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(expiryStep), job.Outcome() == JobOutcome::LockLost);
    }
  }

  /// Shards have a limited size, and a shard changes its owner only if that router leaves.
  void TestShardsAndOwners()
  {
    struct Row
    {
      int mEndpoints;
      std::size_t mShards;
    };
    const std::vector<std::string> routers = { "r1", "r2", "r3", "r4" };
    for (const auto& row :
         { Row{ 0, 0 }, Row{ 1, 1 }, Row{ 64, 1 }, Row{ 65, 2 }, Row{ 640, 10 } }) {
      Configuration configuration;
      configuration.mModels.push_back({ "m", "v1", {} });
      for (int n = 0; n < row.mEndpoints; ++n) {
        configuration.mEndpoints.push_back({ "e" + std::to_string(n), "z", "m", {} });
      }
      const auto shards = SplitIntoShards(AcceptedConfiguration(1, "", configuration));
      CPPUNIT_ASSERT_EQUAL(row.mShards, shards.size());
      std::size_t total = 0;
      for (const auto& it : shards) {
        total += it.mTargets.size();
        const auto owner = SelectOwner(it.mName, routers);
        const std::vector<std::string> remaining = { "r1", "r2", "r3" };
        CPPUNIT_ASSERT(owner == "r4" || SelectOwner(it.mName, remaining) == owner);
      }
      CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(row.mEndpoints), total);
    }
  }

  /// Guards against two routers that send orders to the same endpoint, and against a holder that
  /// releases the lock of its successor.
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
    clock.Advance(std::chrono::seconds(16)); // the first holder is paused until its lease expired
    const auto later = second.Acquire("m/0", "e1", true).value();
    CPPUNIT_ASSERT(later.mFencingToken > grant.mFencingToken);
    CPPUNIT_ASSERT(*first.Renew(grant) == TimePoint{});
    first.Release(grant); // must not release the lock of the new holder
    CPPUNIT_ASSERT(first.Acquire("m/0", "e1", true).error().mCode == ErrorCode::Conflict);
    second.Release(later);
    CPPUNIT_ASSERT(first.Acquire("m/0", "e1", true).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlTest);

} // namespace gentianloom
