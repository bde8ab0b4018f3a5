#include "gentianloom/budget/RightsDuty.h"

#include "gentianloom/membership/InstanceDirectory.h"

#include "support/MemoryAsyncStore.h"
#include "support/RunLoop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace gentianloom {

namespace {

constexpr Tokens kPrepaid = 100'000;
/// After a failed call nothing is tried for up to so long; with less, a step would have no round.
constexpr Millis kBackOff{ 301 };

/// Time left of a request that can wait for the reserve to open.
constexpr Millis kPatience{ 15'000 };

BudgetSettings Settings()
{
  BudgetSettings out;
  out.mPolicy = "outage";
  out.mDemandWindow = Millis(8'000);
  out.mDemandTimeConstant = Millis(8'000);
  out.mCommitInterval = Millis(1);
  return out;
}

/// One incarnation with a loop of its own.
struct Process
{
  Process(MemoryAsyncStore& aStore,
          const ManualClock& aClock,
          const std::string& aIncarnation,
          const std::string& aBoot = "boot",
          std::vector<std::string> aBudgets = { "b" })
    : mDuty(mLoop,
            aStore,
            Settings(),
            { "instance-1", aIncarnation, aBoot },
            { [](const std::string&) {
               return StatedBudget{ kPrepaid, 1 };
             },
              [] { return std::size_t{ 1 }; },
              [budgets = std::move(aBudgets)] { return budgets; } },
            aClock,
            mMetrics)
  {
  }

  /// Lets the next round run, and ends when it has ended.
  void Settle()
  {
    const auto before = mDuty.Rounds();
    mDuty.Wake();
    CPPUNIT_ASSERT(testing::RunUntil(mLoop, [&] { return mDuty.Rounds() > before; }));
  }

  /// As Settle(), but a process that has not taken over yet only makes its next call to the store.
  void Step(const MemoryAsyncStore& aStore)
  {
    const auto before = mDuty.Rounds();
    const auto calls = aStore.mRanges + aStore.mCommits;
    mDuty.Wake();
    CPPUNIT_ASSERT(testing::RunUntil(
      mLoop, [&] { return mDuty.Rounds() > before || aStore.mRanges + aStore.mCommits > calls; }));
  }

  ReserveAnswer Reserve(Tokens aTokens, Millis aTimeLeft = kPatience)
  {
    return mDuty.Reserve("b", aTokens, mSignal, aTimeLeft);
  }

  net::Loop mLoop{ 1 };
  Metrics mMetrics;
  RightsDuty mDuty;
  std::shared_ptr<net::Signal> mSignal = std::make_shared<net::Signal>(mLoop);
};

Tokens LeftIn(const MemoryAsyncStore& aStore)
{
  const auto it = aStore.mItems.find(ShardKey(ShardOf("b")));
  return ParseShard(it->second.mValue).value().mBudgets.at("b").Left();
}

} // namespace

class RightsDutyTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RightsDutyTest);
  CPPUNIT_TEST(TestRightsBeforeDemand);
  CPPUNIT_TEST(TestManyBudgets);
  CPPUNIT_TEST(TestOutage);
  CPPUNIT_TEST(TestToldWhenReserveOpens);
  CPPUNIT_TEST(TestLostAnswer);
  CPPUNIT_TEST(TestSuccessor);
  CPPUNIT_TEST(TestTakeOverReadsOnce);
  CPPUNIT_TEST(TestNeverOver);
  CPPUNIT_TEST(TestReplacedProcessStops);
  CPPUNIT_TEST_SUITE_END();

public:
  // An outage may begin before the first request: rights are there already.
  void TestRightsBeforeDemand()
  {
    Process process(mStore, mClock, "run-1");
    process.mDuty.Start();
    process.Settle();
    CPPUNIT_ASSERT(LeftIn(mStore) < kPrepaid && LeftIn(mStore) > 0);
    mStore.mMode = StoreMode::Down;
    CPPUNIT_ASSERT(process.Reserve(500) == ReserveAnswer::Reserved);
  }

  // More budgets than one transaction holds: one round draws on all of them.
  void TestManyBudgets()
  {
    constexpr int kBudgets = 40;
    std::vector<std::string> names;
    names.reserve(kBudgets);
    for (int n = 0; n < kBudgets; ++n) {
      names.push_back("budget-" + std::to_string(n));
    }
    Process process(mStore, mClock, "run-1", "boot", names);
    process.mDuty.Start();
    process.Settle();
    for (const auto& it : names) {
      CPPUNIT_ASSERT_MESSAGE(it, process.mDuty.Holdings().at(it).mGranted > 0);
    }
  }

  // Within the first seconds of an outage the cap binds, then all that is held may be used.
  void TestOutage()
  {
    Process process(mStore, mClock, "run-1");
    process.mDuty.Start();
    process.Settle();
    const auto held = kPrepaid - LeftIn(mStore);
    mStore.mMode = StoreMode::Down;
    mClock.Advance(Millis(1'500));
    process.Settle();
    CPPUNIT_ASSERT(process.mDuty.IsAway());
    CPPUNIT_ASSERT_EQUAL_MESSAGE("not more than the cap; the request waits for the reserve",
                                 static_cast<int>(ReserveAnswer::Wait),
                                 static_cast<int>(process.Reserve(held)));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("one that cannot wait so long is refused at once",
                                 static_cast<int>(ReserveAnswer::Unavailable),
                                 static_cast<int>(process.Reserve(held, Millis(3'000))));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("what is not held is refused at once",
                                 static_cast<int>(ReserveAnswer::Unavailable),
                                 static_cast<int>(process.Reserve(held + 1)));
    mClock.Advance(Millis(1'501));
    CPPUNIT_ASSERT(process.Reserve(held) == ReserveAnswer::Reserved);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("nothing is left, and nobody knows whether there is more",
                                 static_cast<int>(ReserveAnswer::Unavailable),
                                 static_cast<int>(process.Reserve(1)));
  }

  // A request that waits for the reserve is told when it opens, though no round ends then.
  void TestToldWhenReserveOpens()
  {
    Process process(mStore, mClock, "run-1");
    process.mDuty.Start();
    process.Settle();
    const auto held = kPrepaid - LeftIn(mStore);
    mStore.mMode = StoreMode::Down;
    mClock.Advance(Millis(2'900));
    process.Settle();
    CPPUNIT_ASSERT(process.mDuty.IsAway());
    CPPUNIT_ASSERT(process.Reserve(held) == ReserveAnswer::Wait);
    const auto told = process.mDuty.TimesTold();
    const auto rounds = process.mDuty.Rounds();
    // The store is not tried again as long as the clock stands still.
    CPPUNIT_ASSERT(
      testing::RunUntil(process.mLoop, [&] { return process.mDuty.TimesTold() > told; }));
    CPPUNIT_ASSERT_EQUAL(rounds, process.mDuty.Rounds());
    mClock.Advance(Millis(101));
    CPPUNIT_ASSERT(process.Reserve(held) == ReserveAnswer::Reserved);
  }

  // A write took effect and its answer was lost: the record is read, nothing is drawn twice.
  void TestLostAnswer()
  {
    Process process(mStore, mClock, "run-1");
    mStore.mMode = StoreMode::Lost;
    process.mDuty.Start();
    process.Settle();
    const auto left = LeftIn(mStore);
    mStore.mMode = StoreMode::Up;
    mClock.Advance(Millis(500));
    process.Settle();
    CPPUNIT_ASSERT(process.Reserve(500) == ReserveAnswer::Reserved);
    const auto& holding = process.mDuty.Holdings().at("b");
    CPPUNIT_ASSERT_EQUAL(kPrepaid - LeftIn(mStore), holding.mGranted - holding.mReturned);
    CPPUNIT_ASSERT(LeftIn(mStore) <= left);
  }

  void TestSuccessor()
  {
    struct Row
    {
      std::string mName;
      int mDownMillis;
      std::string mBoot; // of the successor
      bool mLeaseIsAlive;
      bool mFrees;
    };
    const Row rows[] = {
      { "killed and started again", 1'400, "boot", false, true },
      { "away for longer than the reserve stays closed", 4'000, "boot", true, false },
      { "lost power", 1'400, "boot-2", true, true },
      { "lost power, the lease has ended", 1'400, "boot-2", false, false },
      { "lost power for long", 4'000, "boot-2", true, false }
    };
    for (const auto& row : rows) {
      MemoryAsyncStore store;
      Process first(store, mClock, "run-1");
      first.mDuty.Start();
      first.Settle();
      CPPUNIT_ASSERT(first.Reserve(1'000) == ReserveAnswer::Reserved);
      const auto leftBefore = LeftIn(store);
      if (row.mLeaseIsAlive) {
        const InstanceRecord record{ "instance-1", "run-1", "", "", "", false };
        store.mItems[std::string(kInstancePrefix) + "instance-1"].mValue = ToText(record);
      }
      mClock.Advance(Millis(row.mDownMillis));
      Process second(store, mClock, "run-2", row.mBoot);
      second.mDuty.Start();
      second.Settle();
      const auto& budget =
        ParseShard(store.mItems.at(ShardKey(ShardOf("b"))).mValue).value().mBudgets.at("b");
      CPPUNIT_ASSERT_MESSAGE(row.mName, !budget.mHolders.contains("run-1"));
      const auto closed = budget.mClosed.Net();
      CPPUNIT_ASSERT_MESSAGE("what may have been used is charged", closed >= 1'000);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mFrees, closed < kPrepaid - leftBefore);
      CPPUNIT_ASSERT(second.Reserve(500) == ReserveAnswer::Reserved);
    }
  }

  // All processes may start at once: each reads the records once.
  void TestTakeOverReadsOnce()
  {
    Process first(mStore, mClock, "run-1");
    first.mDuty.Start();
    first.Settle();
    Process second(mStore, mClock, "run-2");
    const auto before = mStore.mRanges;
    second.mDuty.Start();
    CPPUNIT_ASSERT(testing::RunUntil(second.mLoop, [&] { return second.mDuty.HasTakenOver(); }));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      "shards, report, lease", 3, static_cast<int>(mStore.mRanges - before));
  }

  // Kills, outages and lost answers in any order: what was reserved never exceeds the budget.
  void TestNeverOver()
  {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      MemoryAsyncStore store;
      std::uint64_t state = seed * 7'919;
      const auto draw = [&state](std::uint64_t aBelow) {
        state = state * 6'364'136'223'846'793'005ULL + 1'442'695'040'888'963'407ULL;
        return (state >> 33U) % aBelow;
      };
      Tokens used = 0;
      auto process = std::make_unique<Process>(store, mClock, "run-0");
      process->mDuty.Start();
      for (int n = 0; n < 60; ++n) {
        const auto what = draw(10);
        store.mMode = what == 0 ? StoreMode::Down : (what == 1 ? StoreMode::Lost : StoreMode::Up);
        mClock.Advance(kBackOff + Millis(static_cast<std::int64_t>(draw(2'000))));
        process->Step(store);
        const auto tokens = static_cast<Tokens>(100 + draw(4'000));
        if (process->Reserve(tokens) == ReserveAnswer::Reserved) {
          used += tokens; // counted even if its process is killed before it is charged
        }
        if (draw(12) == 0) {
          process = std::make_unique<Process>(store, mClock, "run-" + std::to_string(n + 1));
          process->mDuty.Start();
        }
      }
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), used <= kPrepaid);
    }
  }

  // Two processes under one name: the older one must not go on selling.
  void TestReplacedProcessStops()
  {
    Process first(mStore, mClock, "run-1");
    first.mDuty.Start();
    first.Settle();
    Process second(mStore, mClock, "run-2");
    second.mDuty.Start();
    second.Settle();
    mClock.Advance(Millis(1'500));
    first.Settle();
    CPPUNIT_ASSERT(first.Reserve(10) == ReserveAnswer::Unavailable);
    CPPUNIT_ASSERT(second.Reserve(10) == ReserveAnswer::Reserved);
  }

private:
  ManualClock mClock;
  MemoryAsyncStore mStore;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RightsDutyTest);

} // namespace gentianloom
