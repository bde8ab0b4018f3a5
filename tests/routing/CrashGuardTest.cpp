#include "gentianloom/routing/EndpointTable.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace gentianloom {

class CrashGuardTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashGuardTest);
  CPPUNIT_TEST(TestVerdicts);
  CPPUNIT_TEST(TestObservationsAreShared);
  CPPUNIT_TEST(TestSameProcessAnswers);
  CPPUNIT_TEST(TestPlacement);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestVerdicts()
  {
    struct Event
    {
      int mAtSecond;
      std::string mFingerprint;
      std::string mEndpoint;
      AttemptOutcome mOutcome;
    };
    struct Row
    {
      std::string mName;
      std::vector<Event> mEvents;
      int mCheckedAtSecond;
      CrashVerdict mVerdict; // of "x"
    };
    const auto kInterrupted = AttemptOutcome::Interrupted;
    const Row rows[] = {
      { "no crash", {}, 0, CrashVerdict::NotSuspected },
      { "one crash", { { 0, "x", "a", kInterrupted } }, 1, CrashVerdict::Suspect },
      { "one crash, expired", { { 0, "x", "a", kInterrupted } }, 301, CrashVerdict::NotSuspected },
      { "two crashes block",
        { { 0, "x", "a", kInterrupted }, { 1, "x", "b", kInterrupted } },
        2,
        CrashVerdict::Blocked },
      { "the block lasts 600 s",
        { { 0, "x", "a", kInterrupted }, { 1, "x", "b", kInterrupted } },
        600,
        CrashVerdict::Blocked },
      { "after the block, the request is a suspect",
        { { 0, "x", "a", kInterrupted }, { 1, "x", "b", kInterrupted } },
        602,
        CrashVerdict::Suspect },
      { "one more crash blocks again",
        { { 0, "x", "a", kInterrupted },
          { 1, "x", "b", kInterrupted },
          { 700, "x", "c", kInterrupted } },
        1'200,
        CrashVerdict::Blocked },
      { "two interruptions on one endpoint within 5 s are one crash",
        { { 0, "x", "a", kInterrupted }, { 1, "x", "a", kInterrupted } },
        2,
        CrashVerdict::Suspect },
      { "the same endpoint crashed twice",
        { { 0, "x", "a", kInterrupted }, { 20, "x", "a", kInterrupted } },
        21,
        CrashVerdict::Blocked },
      { "a complete answer clears the request",
        { { 0, "x", "a", kInterrupted }, { 1, "x", "b", AttemptOutcome::Done } },
        2,
        CrashVerdict::NotSuspected },
      { "other outcomes are not crashes",
        { { 0, "x", "a", AttemptOutcome::TimedOut },
          { 1, "x", "b", AttemptOutcome::NotReached },
          { 2, "x", "c", AttemptOutcome::Refused },
          { 3, "x", "d", AttemptOutcome::CallerDisconnected } },
        4,
        CrashVerdict::NotSuspected },
      { "requests that share one crash are not blocked",
        { { 0, "y", "a", kInterrupted },
          { 0, "x", "a", kInterrupted },
          { 5, "y", "b", kInterrupted } },
        6,
        CrashVerdict::Suspect },
      { "a network fault is not a crash",
        { { 0, "x", "a", kInterrupted },
          { 0, "y", "b", kInterrupted },
          { 0, "z", "c", kInterrupted } },
        1,
        CrashVerdict::NotSuspected },
    };
    for (const auto& row : rows) {
      ManualClock clock;
      CrashGuard guard(CrashGuardSettings{}, clock, "r");
      int second = 0;
      for (const auto& it : row.mEvents) {
        clock.Advance(std::chrono::seconds(it.mAtSecond - second));
        second = it.mAtSecond;
        guard.OnPlaced(it.mFingerprint, it.mEndpoint);
        guard.OnAttempt({ it.mEndpoint, it.mFingerprint, it.mOutcome });
      }
      clock.Advance(std::chrono::seconds(row.mCheckedAtSecond - second));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mName, static_cast<int>(row.mVerdict), static_cast<int>(guard.Check("x").mVerdict));
    }
  }

  void TestObservationsAreShared()
  {
    ManualClock clock;
    CrashGuard one(CrashGuardSettings{}, clock, "one");
    CrashGuard two(CrashGuardSettings{}, clock, "two");
    int callbacks = 0;
    one.SetOnObservation([&] { ++callbacks; });
    one.OnAttempt({ "a", "x", AttemptOutcome::Interrupted });
    clock.Advance(std::chrono::seconds(2));
    const auto observations = one.TakeObservations();
    CPPUNIT_ASSERT(callbacks == 1 && observations.size() == 1 && one.TakeObservations().empty());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2'000 }, observations[0].ageMs);
    for (int n = 0; n < 3; ++n) {
      two.MergeObservation(observations[0]); // a repeated observation is counted once
    }
    CPPUNIT_ASSERT(two.Check("x").mVerdict == CrashVerdict::Suspect);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, two.TakeObservations().size()); // forwarded once
    two.OnAttempt({ "b", "x", AttemptOutcome::Interrupted });
    CPPUNIT_ASSERT(two.Check("x").mVerdict == CrashVerdict::Blocked);
    CPPUNIT_ASSERT(two.Check("x").mBlockRemaining == Millis(600'000));
    for (const auto& it : two.TakeObservations()) {
      one.MergeObservation(it);
    }
    CPPUNIT_ASSERT(one.Check("x").mVerdict == CrashVerdict::Blocked);
  }

  void TestSameProcessAnswers()
  {
    struct Row
    {
      std::string mRunIdAfter;
      CrashVerdict mVerdict;
    };
    // If the same process still answers, only the connection was interrupted.
    for (const Row& row : { Row{ "run-1", CrashVerdict::NotSuspected },
                            Row{ "run-2", CrashVerdict::Suspect },
                            Row{ "", CrashVerdict::Suspect } }) {
      ManualClock clock;
      CrashGuard guard(CrashGuardSettings{}, clock, "r");
      guard.OnEndpointAnswered("a", "run-1");
      guard.OnAttempt({ "a", "x", AttemptOutcome::Interrupted });
      guard.OnEndpointAnswered("a", row.mRunIdAfter);
      CPPUNIT_ASSERT(guard.Check("x").mVerdict == row.mVerdict);
    }
  }

  void TestPlacement()
  {
    Configuration stated;
    stated.mEndpoints = { { "a", "z", "m" }, { "b", "z", "m" }, { "c", "z", "m" } };
    const AcceptedConfiguration configuration(1, "digest", stated);
    ManualClock clock;
    CrashGuard guard(CrashGuardSettings{}, clock, "r");
    EndpointTable table({}, RoutingSettings{}, Millis(3'000), clock, &guard, 1);
    for (const char* name : { "a", "b", "c" }) {
      table.Update(ListedEndpoint{ name, "127.0.0.1:1", "z" });
    }
    guard.OnAttempt({ "a", "x", AttemptOutcome::Interrupted });
    guard.OnAttempt({ "a", "y", AttemptOutcome::Interrupted });
    const auto place = [&](const std::string& aFingerprint) {
      return table.PlaceModel(configuration, "m", "z", {}, { aFingerprint, "", {} });
    };
    const auto x = place("x").value().mEndpoint;
    const auto y = place("y").value().mEndpoint;
    CPPUNIT_ASSERT(x != y); // suspects do not share an endpoint
    for (int n = 0; n < 3; ++n) {
      const auto unsuspected = place("free" + std::to_string(n)).value().mEndpoint;
      CPPUNIT_ASSERT(unsuspected != x && unsuspected != y);
    }
    guard.OnAttempt({ x, "x", AttemptOutcome::Interrupted });
    const auto refused = place("x");
    CPPUNIT_ASSERT(!refused && refused.error().mCode == ErrorCode::RequestCrashesEndpoints);
    CPPUNIT_ASSERT(refused.error().mRetryAfter.has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashGuardTest);

} // namespace gentianloom
