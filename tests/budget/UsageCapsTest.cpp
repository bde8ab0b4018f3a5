#include "gentianloom/budget/UsageCaps.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <string>

namespace gentianloom {

namespace {

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
  return { "run-1", "boot", Millis(10'000), Millis(2'500), { { "b", aCap } } };
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
    caps.OnTook(caps.Plan(holdings, mNow));
    const auto room = caps.Room("b", holdings["b"], mNow);
    CPPUNIT_ASSERT(room > 0 && room < 800);
    CPPUNIT_ASSERT_EQUAL(Tokens{ 0 }, caps.Room("other", holdings["b"], mNow));
    holdings["b"].mReserved = room;
    CPPUNIT_ASSERT_EQUAL(Tokens{ 0 }, caps.Room("b", holdings["b"], mNow));
    CPPUNIT_ASSERT_MESSAGE("room is short", caps.IsDue(holdings, mNow));
    CPPUNIT_ASSERT_EQUAL(Tokens{ 0 }, caps.Room("b", holdings["b"], mNow + Millis(2'500)));
    CPPUNIT_ASSERT_EQUAL(kOpen, caps.Room("b", holdings["b"], mNow + Millis(2'501)));
    // A report after the outage states what was used and closes the reserve.
    holdings["b"].mReserved = 700;
    caps.OnTook(caps.Plan(holdings, mNow + Millis(9'000)));
    const auto left = caps.Room("b", holdings["b"], mNow + Millis(9'000));
    CPPUNIT_ASSERT(left > 0 && left <= 100);
    CPPUNIT_ASSERT(!caps.IsOpen(mNow + Millis(9'100)));
  }

  // A report whose answer was lost may be what a successor reads: the reserve waits for it.
  void TestUnknownReport()
  {
    UsageCaps caps("run-1", "boot", {});
    std::map<std::string, Holding> holdings = { { "b", Held(800, 0) } };
    caps.OnTook(caps.Plan(holdings, mNow));
    const auto lost = caps.Plan(holdings, mNow + Millis(1'000));
    CPPUNIT_ASSERT(!caps.IsOpen(mNow + Millis(3'400)));
    CPPUNIT_ASSERT(caps.IsOpen(mNow + Millis(3'501)));
    caps.OnDidNot(lost);
    CPPUNIT_ASSERT(caps.IsOpen(mNow + Millis(3'400)));
  }

  void TestProofOfEnd()
  {
    struct Row
    {
      std::string mName;
      std::string mBoot;
      int mStartedAt;
      bool mIsProof;
    };
    const Row rows[] = { { "started soon after", "boot", 12'000, true },
                         { "at the last moment", "boot", 12'500, true },
                         { "the reserve may have opened", "boot", 12'501, false },
                         { "another boot counts from elsewhere", "boot-2", 12'000, false },
                         { "boot not known", "", 12'000, false },
                         { "a clock that went back", "boot", 9'000, false } };
    for (const auto& row : rows) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mName, row.mIsProof, EndedWithinCaps(Report(0), row.mBoot, Millis(row.mStartedAt)));
    }
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
        row.mName, budget.mPrepaid - row.mGranted + row.mFreed, budget.Left());
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
    CPPUNIT_ASSERT_EQUAL(Tokens{ 400 }, shard.mBudgets["b"].Left());
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
