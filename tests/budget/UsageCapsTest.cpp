#include "gentianloom/budget/UsageCaps.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <string>

namespace gentianloom {

namespace {

constexpr Millis kWall{ 1'000'000 };
constexpr Tokens kOpen = std::numeric_limits<Tokens>::max();

Holding Held(Tokens aGranted, Tokens aReserved)
{
  Holding out;
  out.mGranted = aGranted;
  out.mReserved = aReserved;
  return out;
}

UsageReport Report(Tokens aCap)
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
  CPPUNIT_TEST(TestRoom);
  CPPUNIT_TEST(TestUnknownReport);
  CPPUNIT_TEST(TestProofOfEnd);
  CPPUNIT_TEST(TestWallClock);
  CPPUNIT_TEST(TestFold);
  CPPUNIT_TEST(TestTexts);
  CPPUNIT_TEST_SUITE_END();

public:
  // Nothing before the first report, the cap while reports succeed, all of it in an outage.
  void TestRoom()
  {
    UsageCaps caps("run-1", "boot", {});
    std::map<std::string, Holding> holdings = { { "b", Held(800, 0) } };
    CPPUNIT_ASSERT_EQUAL(Tokens{ 0 }, caps.Room("b", holdings["b"], mNow));
    CPPUNIT_ASSERT(caps.IsDue(holdings, mNow));
    CPPUNIT_ASSERT_MESSAGE("never open before a report", !caps.IsOpen(mNow + Millis(60'000)));
    caps.OnCommitted(caps.Plan(holdings, mNow, kWall));
    const auto room = caps.Room("b", holdings["b"], mNow);
    CPPUNIT_ASSERT(room > 0 && room < 800);
    CPPUNIT_ASSERT_EQUAL(Tokens{ 0 }, caps.Room("other", holdings["b"], mNow));
    holdings["b"].mReserved = room;
    CPPUNIT_ASSERT_EQUAL(Tokens{ 0 }, caps.Room("b", holdings["b"], mNow));
    CPPUNIT_ASSERT_MESSAGE("room is short", caps.IsDue(holdings, mNow));
    CPPUNIT_ASSERT_EQUAL(Tokens{ 0 }, caps.Room("b", holdings["b"], mNow + Millis(3'000)));
    CPPUNIT_ASSERT_EQUAL(kOpen, caps.Room("b", holdings["b"], mNow + Millis(3'001)));
    // A report after the outage states what was used and closes the reserve.
    holdings["b"].mReserved = 700;
    caps.OnCommitted(caps.Plan(holdings, mNow + Millis(9'000), kWall + Millis(9'000)));
    const auto left = caps.Room("b", holdings["b"], mNow + Millis(9'000));
    CPPUNIT_ASSERT(left > 0 && left <= 100);
    CPPUNIT_ASSERT(!caps.IsOpen(mNow + Millis(9'100)));
  }

  // A report whose answer was lost may be what a successor reads: the reserve waits for it.
  void TestUnknownReport()
  {
    UsageCaps caps("run-1", "boot", {});
    std::map<std::string, Holding> holdings = { { "b", Held(800, 0) } };
    caps.OnCommitted(caps.Plan(holdings, mNow, kWall));
    const auto lost = caps.Plan(holdings, mNow + Millis(1'000), kWall + Millis(1'000));
    CPPUNIT_ASSERT(!caps.IsOpen(mNow + Millis(3'900)));
    CPPUNIT_ASSERT(caps.IsOpen(mNow + Millis(4'001)));
    caps.OnNotCommitted(lost);
    CPPUNIT_ASSERT(caps.IsOpen(mNow + Millis(3'900)));
  }

  void TestProofOfEnd()
  {
    struct Row
    {
      std::string mName;
      std::string mBoot;
      int mStartedAt;
      int mWallTime; // with 700'000 in the report
      bool mLeaseIsAlive;
      bool mIsProof;
    };
    const Row rows[] = {
      { "started soon after", "boot", 12'000, 702'000, false, true },
      { "the same, the wall clock was set meanwhile", "boot", 12'000, 705'000, false, true },
      { "at the last moment", "boot", 12'500, 702'500, false, true },
      { "the reserve may have opened", "boot", 12'501, 702'000, true, false },
      { "another boot counts from elsewhere", "boot-2", 12'000, 0, true, false },
      { "boot not known", "", 12'000, 0, true, false },
      { "a clock that went back", "boot", 9'000, 701'000, true, false },
      { "power lost, both clocks agree", "boot-2", 3, 702'500, true, true },
      { "power lost, too late by the wall clock", "boot-2", 3, 702'501, true, false },
      { "power lost, the wall clock was set back", "boot-2", 3, 699'999, true, false },
      { "power lost, the lease has ended", "boot-2", 3, 702'000, false, false },
      { "the boot's name stays, its clock starts elsewhere", "boot", 3, 702'000, true, true },
      { "the same, ahead", "boot", 400'000, 701'000, true, true },
    };
    for (const auto& row : rows) {
      const PredecessorEvidence signs{
        row.mBoot, Millis(row.mStartedAt), Millis(row.mWallTime), row.mLeaseIsAlive
      };
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mIsProof, EndedWithinCaps(Report(0), signs));
    }
    auto unsteady = Report(0);
    unsteady.mIsWallClockSteady = false;
    CPPUNIT_ASSERT(!EndedWithinCaps(unsteady, { "boot-2", Millis(3), Millis(702'000), true }));
  }

  // The wall clock is set on some machines: what it says of a loss of power proves nothing then.
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
    CPPUNIT_ASSERT_MESSAGE("also after it was set back", !back.mIsWallClockSteady);
  }

  void TestFold()
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
    const Row rows[] = { { "the cap counts as spent", 600, 100, 250, true, 350 },
                         { "not shown: all counts as spent", 600, 100, 250, false, 0 },
                         { "a cap above what was held", 600, 100, 900, true, 0 },
                         { "more was written than the cap", 600, 300, 250, true, 300 } };
    for (const auto& row : rows) {
      auto shard = ShardWith(row.mGranted, row.mSpent);
      const auto freed = FoldPredecessor(shard, Report(row.mCap), row.mIsWithinCaps);
      const auto& budget = shard.mBudgets["b"];
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mFreed, freed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mName, budget.mPrepaid - row.mGranted + row.mFreed, budget.Unallocated());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, budget.Granted(), budget.Spent());
      CPPUNIT_ASSERT_MESSAGE(row.mName, budget.mHolders.empty() && shard.mWriters.empty());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        "only once", Tokens{ 0 }, FoldPredecessor(shard, Report(row.mCap), row.mIsWithinCaps));
    }
    // Another incarnation's rights stay.
    auto shard = ShardWith(600, 0);
    auto other = Report(0);
    other.mIncarnation = "run-2";
    CPPUNIT_ASSERT_EQUAL(Tokens{ 0 }, FoldPredecessor(shard, other, true));
    CPPUNIT_ASSERT_EQUAL(Tokens{ 400 }, shard.mBudgets["b"].Unallocated());
  }

  void TestTexts()
  {
    const auto report = ParseUsageReport(ToText(Report(77)));
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
