#include "gentianloom/budget/UsageCaps.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <string>

namespace gentianloom {

namespace {

constexpr Millis kWall{ 1'000'000 };
constexpr Tokens kUnlimited = std::numeric_limits<Tokens>::max();

Holding MakeHolding(Tokens aGranted, Tokens aReserved)
{
  Holding out;
  out.mGranted = aGranted;
  out.mReserved = aReserved;
  return out;
}

UsageReport MakeReport(Tokens aCap)
{
  return {
    "run-1", "boot", Millis(10'000), Millis(2'500), { { "b", aCap } }, Millis(700'000), true
  };
}

ShardRecord ShardWith(Tokens aGranted, Tokens aSpent)
{
  ShardRecord out;
  out.mWriters["run-1"] = { 1, 1, Millis(0) };
  auto& budget = out.mBudgets["b"];
  budget.mPrepaid = 1'000;
  budget.mHolders["run-1"].mGranted = aGranted;
  budget.mHolders["run-1"].mSpent = aSpent;
  return out;
}

} // namespace

class UsageCapsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(UsageCapsTest);
  CPPUNIT_TEST(TestUsableTokens);
  CPPUNIT_TEST(TestRoomOfCaps);
  CPPUNIT_TEST(TestReportWithUnknownOutcome);
  CPPUNIT_TEST(TestEndedWithinCaps);
  CPPUNIT_TEST(TestWallClock);
  CPPUNIT_TEST(TestClosePredecessor);
  CPPUNIT_TEST(TestSerialization);
  CPPUNIT_TEST_SUITE_END();

public:
  // No tokens may be used before the first report, tokens within the cap while reports succeed, and
  // all tokens in an outage.
  void TestUsableTokens()
  {
    UsageCaps caps("run-1", "boot", {});
    std::map<std::string, Holding> holdings = { { "b", MakeHolding(800, 0) } };
    CPPUNIT_ASSERT_EQUAL(Tokens{ 0 }, caps.UsableTokens("b", holdings["b"], mNow));
    CPPUNIT_ASSERT(caps.IsDue(holdings, mNow));
    CPPUNIT_ASSERT_MESSAGE("the reserve opened before the first report",
                           !caps.IsReserveOpen(mNow + Millis(60'000)));
    caps.OnCommitted(caps.Plan(holdings, mNow, kWall));
    const auto room = caps.UsableTokens("b", holdings["b"], mNow);
    CPPUNIT_ASSERT(room > 0 && room < 800);
    CPPUNIT_ASSERT_EQUAL(Tokens{ 0 }, caps.UsableTokens("other", holdings["b"], mNow));
    holdings["b"].mReserved = room;
    CPPUNIT_ASSERT_EQUAL(Tokens{ 0 }, caps.UsableTokens("b", holdings["b"], mNow));
    CPPUNIT_ASSERT_MESSAGE("a report is due when the cap is used up", caps.IsDue(holdings, mNow));
    CPPUNIT_ASSERT_EQUAL(Tokens{ 0 }, caps.UsableTokens("b", holdings["b"], mNow + Millis(3'000)));
    CPPUNIT_ASSERT_EQUAL(kUnlimited, caps.UsableTokens("b", holdings["b"], mNow + Millis(3'001)));
    // The report after the outage includes the tokens used and closes the reserve.
    holdings["b"].mReserved = 700;
    caps.OnCommitted(caps.Plan(holdings, mNow + Millis(9'000), kWall + Millis(9'000)));
    const auto left = caps.UsableTokens("b", holdings["b"], mNow + Millis(9'000));
    CPPUNIT_ASSERT(left > 0 && left <= 100);
    CPPUNIT_ASSERT(!caps.IsReserveOpen(mNow + Millis(9'100)));
  }

  // A report whose answer was lost may have been stored. A successor would rely on that report, so
  // the reserve must not open before the delay after it has passed.
  // Caps for less than the time until the reserve opens refused requests in between; caps for more
  // than a part of what is unspent lost nearly all of it when all instances lost power together.
  void TestRoomOfCaps()
  {
    struct Row
    {
      std::string mName;
      Tokens mUnallocated;
      Tokens mRoom;
    };
    // 100 tokens a second, and 3 s from a report until the reserve opens.
    const Row rows[] = { { "most is unspent", 100'000, 450 }, { "little is unspent", 1'000, 270 } };
    for (const auto& row : rows) {
      UsageCaps caps("run-1", "boot", {});
      std::map<std::string, Holding> holdings = { { "b", MakeHolding(800, 0) } };
      auto& it = holdings["b"];
      it.mDemand = 100;
      it.mEstimateWeight = 1;
      it.mLastUnallocated = row.mUnallocated;
      caps.OnCommitted(caps.Plan(holdings, mNow, kWall));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mRoom, caps.UsableTokens("b", it, mNow));
    }
  }

  void TestReportWithUnknownOutcome()
  {
    UsageCaps caps("run-1", "boot", {});
    std::map<std::string, Holding> holdings = { { "b", MakeHolding(800, 0) } };
    caps.OnCommitted(caps.Plan(holdings, mNow, kWall));
    const auto lost = caps.Plan(holdings, mNow + Millis(1'000), kWall + Millis(1'000));
    CPPUNIT_ASSERT(!caps.IsReserveOpen(mNow + Millis(3'900)));
    CPPUNIT_ASSERT(caps.IsReserveOpen(mNow + Millis(4'001)));
    caps.OnNotCommitted(lost);
    CPPUNIT_ASSERT(caps.IsReserveOpen(mNow + Millis(3'900)));
  }

  // A successor must not assume that its predecessor ended within its caps unless the clocks and
  // the lease show it. Otherwise tokens that were used would be granted again.
  void TestEndedWithinCaps()
  {
    struct Row
    {
      std::string mName;
      std::string mBoot;
      int mStartedAt;
      int mWallTime; // 700'000 in the report
      bool mIsLeaseAlive;
      bool mEndedWithinCaps;
    };
    const Row rows[] = {
      { "started soon after", "boot", 12'000, 702'000, false, true },
      { "started soon after, the wall clock was set meanwhile",
        "boot",
        12'000,
        705'000,
        false,
        true },
      { "started when the reserve was about to open", "boot", 12'500, 702'500, false, true },
      { "the reserve may have opened", "boot", 12'501, 702'000, true, false },
      { "another boot, whose clock started anew", "boot-2", 12'000, 0, true, false },
      { "unknown boot", "", 12'000, 0, true, false },
      { "started before the report", "boot", 9'000, 701'000, true, false },
      { "power loss, wall clock and lease agree", "boot-2", 3, 702'500, true, true },
      { "power loss, too late by the wall clock", "boot-2", 3, 702'501, true, false },
      { "power loss, the wall clock was set back", "boot-2", 3, 699'999, true, false },
      { "power loss, the lease has expired", "boot-2", 3, 702'000, false, false },
      { "same boot identifier, but the clock started anew", "boot", 3, 702'000, true, true },
      { "same boot identifier, but the clock is far ahead", "boot", 400'000, 701'000, true, true },
    };
    for (const auto& row : rows) {
      const PredecessorEvidence evidence{
        row.mBoot, Millis(row.mStartedAt), Millis(row.mWallTime), row.mIsLeaseAlive
      };
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mName, row.mEndedWithinCaps, EndedWithinCaps(MakeReport(0), evidence));
    }
    auto unsteady = MakeReport(0);
    unsteady.mIsWallClockSteady = false;
    // A report of another era may not be the predecessor's last one.
    const PredecessorEvidence later{ "boot", Millis(12'000), Millis(702'000), false, /*mEra=*/2 };
    CPPUNIT_ASSERT(!EndedWithinCaps(MakeReport(0), later));
    CPPUNIT_ASSERT(!EndedWithinCaps(unsteady, { "boot-2", Millis(3), Millis(702'000), true }));
  }

  // If the wall clock was set while the process ran, it cannot tell how long a power loss lasted.
  void TestWallClock()
  {
    const std::map<std::string, Holding> holdings;
    UsageCaps caps("run-1", "boot", {});
    CPPUNIT_ASSERT(caps.Plan(holdings, mNow, kWall).mIsWallClockSteady);
    const auto steady = caps.Plan(holdings, mNow + Millis(1'000), kWall + Millis(1'050));
    CPPUNIT_ASSERT(steady.mIsWallClockSteady);
    const auto ahead = caps.Plan(holdings, mNow + Millis(2'000), kWall + Millis(4'000));
    CPPUNIT_ASSERT(!ahead.mIsWallClockSteady);
    const auto back = caps.Plan(holdings, mNow + Millis(3'000), kWall + Millis(3'000));
    CPPUNIT_ASSERT_MESSAGE("it stays unsteady after the clock was set back",
                           !back.mIsWallClockSteady);
  }

  void TestClosePredecessor()
  {
    struct Row
    {
      std::string mName;
      Tokens mGranted;
      Tokens mSpent;
      Tokens mCap;
      bool mIsWithinCaps;
      Tokens mFreed;
    };
    const Row rows[] = {
      { "the tokens within the cap count as spent", 600, 100, 250, true, 350 },
      { "not within the caps: all tokens count as spent", 600, 100, 250, false, 0 },
      { "a cap above the tokens held", 600, 100, 900, true, 0 },
      { "more recorded as spent than the cap", 600, 300, 250, true, 300 }
    };
    for (const auto& row : rows) {
      auto shard = ShardWith(row.mGranted, row.mSpent);
      const auto freed = ClosePredecessor(shard, MakeReport(row.mCap), row.mIsWithinCaps);
      const auto& budget = shard.mBudgets["b"];
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mFreed, freed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mName, budget.mPrepaid - row.mGranted + row.mFreed, budget.Unallocated());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, budget.Granted(), budget.Spent());
      CPPUNIT_ASSERT_MESSAGE(row.mName, budget.mHolders.empty() && shard.mWriters.empty());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        "only once", Tokens{ 0 }, ClosePredecessor(shard, MakeReport(row.mCap), row.mIsWithinCaps));
    }
    // The holding of another incarnation is kept.
    auto shard = ShardWith(600, 0);
    auto other = MakeReport(0);
    other.mIncarnation = "run-2";
    CPPUNIT_ASSERT_EQUAL(Tokens{ 0 }, ClosePredecessor(shard, other, true));
    CPPUNIT_ASSERT_EQUAL(Tokens{ 400 }, shard.mBudgets["b"].Unallocated());
  }

  void TestSerialization()
  {
    const auto report = ParseUsageReport(ToText(MakeReport(77)));
    CPPUNIT_ASSERT(report.value().mIncarnation == "run-1");
    CPPUNIT_ASSERT(report.value().mReportedAt == Millis(10'000));
    CPPUNIT_ASSERT_EQUAL(Tokens{ 77 }, report.value().mCaps.at("b"));
    for (const auto* it : { "", "[]", "{}", "{\"incarnation\": 1}" }) {
      CPPUNIT_ASSERT_MESSAGE(it, !ParseUsageReport(it));
    }
  }

private:
  TimePoint mNow{ std::chrono::hours(1) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageCapsTest);

} // namespace gentianloom
