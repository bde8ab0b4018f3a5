#include "gentianloom/budget/GrantManager.h"

#include "gentianloom/membership/InstanceDirectory.h"

#include "support/MemoryAsyncStore.h"
#include "support/RunLoop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <tuple>
#include <utility>

namespace gentianloom {

namespace {

constexpr Tokens kPrepaid = 100'000;
/// Longer than the longest back-off (300 ms), so that each step of the clock allows a round.
constexpr Millis kBackOff{ 301 };

/// Longest wait of a request that can wait for the reserve to open.
constexpr Millis kLongWait{ 5'000 };

BudgetSettings Settings()
{
  BudgetSettings out;
  out.mPolicy = "outage";
  out.mDemandWindow = Millis(8'000);
  out.mDemandTimeConstant = Millis(8'000);
  out.mCommitInterval = Millis(1);
  return out;
}

/// One incarnation with its own event loop.
struct Process
{
  Process(MemoryAsyncStore& aStore,
          const ManualClock& aClock,
          const std::string& aIncarnation,
          const std::string& aBoot = "boot",
          std::vector<std::string> aBudgets = { "b" },
          const std::string& aInstance = "instance-1")
    : mManager(mLoop,
               aStore,
               Settings(),
               { aInstance, aIncarnation, aBoot },
               { [](const std::string&) {
                  return ConfiguredBudget{ kPrepaid, 1 };
                },
                 [] { return std::size_t{ 1 }; },
                 [budgets = std::move(aBudgets)] { return budgets; } },
               aClock,
               mMetrics)
  {
  }

  /// Runs the loop until the next round has ended.
  void RunRound()
  {
    const auto before = mManager.Rounds();
    mManager.Wake();
    CPPUNIT_ASSERT(testing::RunUntil(mLoop, [&] { return mManager.Rounds() > before; }));
  }

  /// Like RunRound(), but ends after the next call to the store if the process has not taken over
  /// yet.
  void RunRoundOrStoreCall(const MemoryAsyncStore& aStore)
  {
    const auto before = mManager.Rounds();
    const auto calls = aStore.mRangeCalls + aStore.mCommitCalls;
    mManager.Wake();
    CPPUNIT_ASSERT(testing::RunUntil(mLoop, [&] {
      return mManager.Rounds() > before || aStore.mRangeCalls + aStore.mCommitCalls > calls;
    }));
  }

  ReserveAnswer Reserve(Tokens aTokens, Millis aMaxWait = kLongWait)
  {
    return mManager.Reserve("b", aTokens, mSignal, aMaxWait);
  }

  net::Loop mLoop{ 1 };
  Metrics mMetrics;
  GrantManager mManager;
  std::shared_ptr<net::Signal> mSignal = std::make_shared<net::Signal>(mLoop);
};

/// The stored budget "b" with the entry of the incarnation that wrote instance-1's usage report.
BudgetRecord StoredBudget(const MemoryAsyncStore& aStore)
{
  const auto shard = ShardOf("b");
  auto record = ParseShard(aStore.mItems.at(ShardKey(shard)).mValue).value();
  const auto report =
    ParseUsageReport(aStore.mItems.at(UsageReportKey("instance-1")).mValue).value();
  InsertHolder(record, report.mIncarnation, report.mShards.at(shard));
  return record.mBudgets.at("b");
}

Tokens UnallocatedTokens(const MemoryAsyncStore& aStore)
{
  const auto it = aStore.mItems.find(ShardKey(ShardOf("b")));
  return ParseShard(it->second.mValue).value().mBudgets.at("b").Unallocated();
}

/// Makes a process draw and spend tokens, in requests of a tenth of them.
void DrawFor(Process& aProcess, Tokens aTokens, ManualClock& aClock)
{
  for (int n = 0; n < 10; ++n) {
    while (aProcess.Reserve(aTokens / 10) != ReserveAnswer::Reserved) {
      aClock.Advance(kBackOff);
      aProcess.RunRound();
    }
    aProcess.mManager.Settle("b", aTokens / 10, aTokens / 10);
  }
  aClock.Advance(kBackOff);
  aProcess.RunRound();
}

} // namespace

class GrantManagerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GrantManagerTest);
  CPPUNIT_TEST(TestTokensHeldBeforeDemand);
  CPPUNIT_TEST(TestManyBudgets);
  CPPUNIT_TEST(TestRecordsOfLargeFleet);
  CPPUNIT_TEST(TestOutage);
  CPPUNIT_TEST(TestNotifiedWhenReserveOpens);
  CPPUNIT_TEST(TestLostAnswer);
  CPPUNIT_TEST(TestSuccessor);
  CPPUNIT_TEST(TestPredecessorOfOlderVersion);
  CPPUNIT_TEST(TestTakeOverReadsOnce);
  CPPUNIT_TEST(TestNoOverspend);
  CPPUNIT_TEST(TestReplacedProcessStops);
  CPPUNIT_TEST(TestStoreComesBackFromCopy);
  CPPUNIT_TEST(TestOddShards);
  CPPUNIT_TEST(TestUnreadableShard);
  CPPUNIT_TEST(TestUnreadableShardIsDeleted);
  CPPUNIT_TEST(TestUnreadableReport);
  CPPUNIT_TEST_SUITE_END();

public:
  // An outage may begin before the first request, so tokens must be drawn before there is demand.
  void TestTokensHeldBeforeDemand()
  {
    Process process(mStore, mClock, "run-1");
    process.mManager.Start();
    process.RunRound();
    CPPUNIT_ASSERT(UnallocatedTokens(mStore) < kPrepaid && UnallocatedTokens(mStore) > 0);
    mStore.mMode = StoreMode::Down;
    CPPUNIT_ASSERT(process.Reserve(500) == ReserveAnswer::Reserved);
  }

  // One entry of another writer among the shards kept all budgets of all instances from being used,
  // and their callers were told that nothing was left.
  void TestOddShards()
  {
    constexpr Tokens kTokens = kPrepaid / 5;
    const auto own = std::to_string(ShardOf("b"));
    const auto other = std::to_string((ShardOf("b") + 1) % kShards);
    const std::string names[] = { "",         "?",   "0" + own, "+" + own, own + " ",
                                  own + "&x", "256", "-1",      "99999",   "9999999999999999999",
                                  other };
    for (const auto& name : names) {
      for (const bool isThereFirst : { true, false }) {
        MemoryAsyncStore store;
        Process process(store, mClock, "run-1");
        const auto put = [&] { store.Put("/gentianloom/budget-shards/" + name, "?"); };
        if (isThereFirst) {
          put();
        }
        process.mManager.Start();
        RunRounds(process);
        put();
        RunRounds(process);
        CPPUNIT_ASSERT_MESSAGE(name, IsReserved(process, kTokens));
      }
    }
  }

  // Of a budget whose own shard cannot be read, nothing may be drawn, but callers may come again.
  void TestUnreadableShard()
  {
    constexpr Tokens kTokens = kPrepaid / 5;
    Process process(mStore, mClock, "run-1", "boot", { "b", "c" });
    CPPUNIT_ASSERT(ShardOf("b") != ShardOf("c"));
    process.mManager.Start();
    RunRounds(process);
    const auto record = mStore.mItems.at(ShardKey(ShardOf("b"))).mValue;
    mStore.Put(ShardKey(ShardOf("b")), "?");
    RunRounds(process);
    for (int n = 0; n < 10; ++n) {
      const auto answer = process.Reserve(kTokens);
      CPPUNIT_ASSERT(answer == ReserveAnswer::Wait || answer == ReserveAnswer::Unavailable);
      RunRounds(process);
    }
    CPPUNIT_ASSERT(process.Reserve(kTokens) == ReserveAnswer::Unavailable);
    CPPUNIT_ASSERT(process.mManager.Holdings().at("c").mGranted > 0);
    CPPUNIT_ASSERT_EQUAL(std::string("?"), mStore.mItems.at(ShardKey(ShardOf("b"))).mValue);
    mStore.Put(ShardKey(ShardOf("b")), record);
    RunRounds(process);
    CPPUNIT_ASSERT(IsReserved(process, kTokens));
  }

  // An entry that stood under the key of a shard before any budget did.
  void TestUnreadableShardIsDeleted()
  {
    const auto key = ShardKey(ShardOf("c"));
    mStore.Put(key, "?");
    Process process(mStore, mClock, "run-1", "boot", { "b", "c" });
    process.mManager.Start();
    RunRounds(process);
    mClock.Advance(Millis(5'000)); // until the entry counts as one of this era
    RunRounds(process);
    CPPUNIT_ASSERT(process.mManager.Holdings().at("b").mGranted > 0);
    CPPUNIT_ASSERT_EQUAL(Tokens{ 0 }, process.mManager.Holdings().at("c").mGranted);
    mStore.Remove(key);
    RunRounds(process);
    mClock.Advance(Millis(5'000));
    RunRounds(process);
    CPPUNIT_ASSERT(process.mManager.Holdings().at("c").mGranted > 0);
  }

  // An instance whose usage report cannot be read drew nothing any more, and neither did its
  // successors. What is not known of it must not be drawn again.
  void TestUnreadableReport()
  {
    struct Row
    {
      std::string mName;
      bool mIsRestarted;  ///< another incarnation finds the report
      bool mIsAnswerLost; ///< of the write before
    };
    const Row rows[] = { { "running", false, false },
                         { "running, after a lost answer", false, true },
                         { "restarted", true, false } };
    constexpr Tokens kRequest = kPrepaid / 50;
    for (const auto& row : rows) {
      MemoryAsyncStore store;
      auto process = std::make_unique<Process>(store, mClock, "run-1");
      process->mManager.Start();
      Tokens used = 0;
      const auto use = [&](int aRequests) {
        Tokens out = 0;
        for (int n = 0; n < aRequests && IsReserved(*process, kRequest); ++n) {
          process->mManager.Settle("b", kRequest, kRequest);
          out += kRequest;
        }
        used += out;
        return out;
      };
      CPPUNIT_ASSERT_EQUAL(10 * kRequest, use(10));
      if (row.mIsAnswerLost) {
        store.SetMode(StoreMode::LosesResponses);
        RunRounds(*process);
        store.SetMode(StoreMode::Up);
      }
      store.Put(UsageReportKey("instance-1"), "?");
      if (row.mIsRestarted) {
        process = std::make_unique<Process>(store, mClock, "run-2");
        process->mManager.Start();
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, 10 * kRequest, use(10));
      use(100);
      CPPUNIT_ASSERT_MESSAGE(row.mName, used <= kPrepaid && used > kPrepaid / 2);
      CPPUNIT_ASSERT_MESSAGE(
        row.mName, ParseUsageReport(store.mItems.at(UsageReportKey("instance-1")).mValue));
    }
  }

  // Tokens that were drawn since the copy were in nobody's record, and others drew them again.
  void TestStoreComesBackFromCopy()
  {
    struct Row
    {
      std::string mName;
      bool mIsDrawnByBoth; ///< since the copy
      bool mFirstEnds;     ///< the process that drew most has ended when the store comes back
    };
    const Row rows[] = { { "one drew", false, false },
                         { "both drew", true, false },
                         { "one drew and has ended", false, true } };
    for (const auto& row : rows) {
      MemoryAsyncStore store;
      Process first(store, mClock, "run-1", "boot", { "b" }, "instance-1");
      Process second(store, mClock, "run-2", "boot", { "b" }, "instance-2");
      const auto runBoth = [&](int aRounds) {
        for (int n = 0; n < aRounds; ++n) {
          first.RunRound();
          second.RunRound();
          mClock.Advance(kBackOff);
        }
      };
      first.mManager.Start();
      second.mManager.Start();
      runBoth(2);
      const auto copy = std::pair(store.mItems, store.mRevision);
      DrawFor(first, kPrepaid / 2, mClock);
      if (row.mIsDrawnByBoth) {
        DrawFor(second, kPrepaid / 4, mClock);
      }
      mClock.Advance(Millis(2'000));
      second.RunRound(); // reads what the other one has drawn
      std::tie(store.mItems, store.mRevision) = copy;
      store.mEra = 2;
      const auto held = [](const Process& aProcess) {
        const auto& it = aProcess.mManager.Holdings().at("b");
        return it.mGranted - it.mReturned;
      };
      const auto drawn = held(first) + held(second);
      CPPUNIT_ASSERT(drawn > kPrepaid / 2);
      for (int n = 0; n < 30; ++n) {
        second.Reserve(kPrepaid / 8);
        second.RunRound();
        if (!row.mFirstEnds) {
          first.RunRound();
        }
        mClock.Advance(kBackOff);
        const auto all = held(first) + held(second);
        CPPUNIT_ASSERT_MESSAGE(row.mName, all <= kPrepaid);
        const bool isRestoring = n < 10; // 3 s
        CPPUNIT_ASSERT_MESSAGE(row.mName, !isRestoring || all == drawn);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mName, kPrepaid, UnallocatedTokens(store) + held(first) + held(second));
    }
  }

  // There are more shards than fit in one transaction: one round must still draw on all budgets.
  void TestManyBudgets()
  {
    constexpr int kBudgets = 40;
    std::vector<std::string> names;
    names.reserve(kBudgets);
    for (int n = 0; n < kBudgets; ++n) {
      names.push_back("budget-" + std::to_string(n));
    }
    Process process(mStore, mClock, "run-1", "boot", names);
    process.mManager.Start();
    process.RunRound();
    for (const auto& it : names) {
      CPPUNIT_ASSERT_MESSAGE(it, process.mManager.Holdings().at(it).mGranted > 0);
    }
  }

  // If the shared records held an entry of each instance, every write and refresh of one instance
  // would grow with the fleet, fill its link and delay callers' requests and disconnects.
  void TestRecordsOfLargeFleet()
  {
    constexpr int kInstances = 75;
    constexpr int kBudgets = 24;
    constexpr std::size_t kSlowestLinkBytesPerSecond = 10'000'000 / 8;
    constexpr std::size_t kMaxLinkShareDivisor = 20; // 5 %, for all shards once a second
    std::vector<std::string> names;
    names.reserve(kBudgets);
    for (int n = 0; n < kBudgets; ++n) {
      names.push_back("budget-" + std::to_string(n));
    }
    std::vector<std::unique_ptr<Process>> fleet;
    fleet.reserve(kInstances);
    for (int n = 0; n < kInstances; ++n) {
      const auto id = std::to_string(n);
      const auto incarnation = "run-" + std::string(30, 'x') + id;
      fleet.push_back(
        std::make_unique<Process>(mStore, mClock, incarnation, "boot", names, "instance-" + id));
      fleet.back()->mManager.Start();
      fleet.back()->RunRound();
    }
    std::size_t bytes = 0;
    for (const auto& [key, it] : mStore.mItems) {
      bytes += key.starts_with("/gentianloom/budget-shards/") ? it.mValue.size() : 0;
    }
    CPPUNIT_ASSERT(bytes > 0);
    CPPUNIT_ASSERT_LESSEQUAL(kSlowestLinkBytesPerSecond / kMaxLinkShareDivisor, bytes);
  }

  // In the first seconds of an outage only tokens within the cap may be used, then all held tokens.
  void TestOutage()
  {
    Process process(mStore, mClock, "run-1");
    process.mManager.Start();
    process.RunRound();
    const auto held = kPrepaid - UnallocatedTokens(mStore);
    mStore.mMode = StoreMode::Down;
    mClock.Advance(Millis(1'500));
    process.RunRound();
    CPPUNIT_ASSERT(process.mManager.IsStoreUnavailable());
    CPPUNIT_ASSERT_EQUAL_MESSAGE("above the cap: the request waits for the reserve",
                                 static_cast<int>(ReserveAnswer::Wait),
                                 static_cast<int>(process.Reserve(held)));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("a request that cannot wait so long is refused at once",
                                 static_cast<int>(ReserveAnswer::Unavailable),
                                 static_cast<int>(process.Reserve(held, Millis(1'000))));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("a request above the held tokens is refused at once",
                                 static_cast<int>(ReserveAnswer::Unavailable),
                                 static_cast<int>(process.Reserve(held + 1)));
    mClock.Advance(Millis(1'501));
    CPPUNIT_ASSERT(process.Reserve(held) == ReserveAnswer::Reserved);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("no tokens are free, and the budget cannot be read",
                                 static_cast<int>(ReserveAnswer::Unavailable),
                                 static_cast<int>(process.Reserve(1)));
  }

  // A request that waits for the reserve must be notified when it opens, although no round ends.
  void TestNotifiedWhenReserveOpens()
  {
    Process process(mStore, mClock, "run-1");
    process.mManager.Start();
    process.RunRound();
    const auto held = kPrepaid - UnallocatedTokens(mStore);
    mStore.mMode = StoreMode::Down;
    mClock.Advance(Millis(2'900));
    process.RunRound();
    CPPUNIT_ASSERT(process.mManager.IsStoreUnavailable());
    CPPUNIT_ASSERT(process.Reserve(held) == ReserveAnswer::Wait);
    const auto notifications = process.mManager.Notifications();
    const auto rounds = process.mManager.Rounds();
    // The back-off does not end as long as the manual clock is not advanced, so no further round
    // starts.
    CPPUNIT_ASSERT(testing::RunUntil(
      process.mLoop, [&] { return process.mManager.Notifications() > notifications; }));
    CPPUNIT_ASSERT_EQUAL(rounds, process.mManager.Rounds());
    mClock.Advance(Millis(101));
    CPPUNIT_ASSERT(process.Reserve(held) == ReserveAnswer::Reserved);
  }

  // A write takes effect but its answer is lost: the record must be read and nothing drawn twice.
  void TestLostAnswer()
  {
    Process process(mStore, mClock, "run-1");
    mStore.mMode = StoreMode::LosesResponses;
    process.mManager.Start();
    process.RunRound();
    const auto unallocated = UnallocatedTokens(mStore);
    mStore.mMode = StoreMode::Up;
    mClock.Advance(Millis(500));
    process.RunRound();
    CPPUNIT_ASSERT(process.Reserve(500) == ReserveAnswer::Reserved);
    const auto& holding = process.mManager.Holdings().at("b");
    CPPUNIT_ASSERT_EQUAL(kPrepaid - UnallocatedTokens(mStore),
                         holding.mGranted - holding.mReturned);
    CPPUNIT_ASSERT(UnallocatedTokens(mStore) <= unallocated);
  }

  // A process ends and a successor starts. Tokens that the first one may have used must be charged;
  // the others are freed only if it surely ended before its reserve opened.
  void TestSuccessor()
  {
    struct Row
    {
      std::string mName;
      int mDownMillis;
      std::string mBoot; // of the successor
      bool mIsLeaseAlive;
      bool mFrees;
    };
    const Row rows[] = { { "killed and restarted", 1'400, "boot", false, true },
                         { "restarted after the reserve opened", 4'000, "boot", true, false },
                         { "power loss", 1'400, "boot-2", true, true },
                         { "power loss, the lease has expired", 1'400, "boot-2", false, false },
                         { "long power loss", 4'000, "boot-2", true, false } };
    for (const auto& row : rows) {
      MemoryAsyncStore store;
      Process first(store, mClock, "run-1");
      first.mManager.Start();
      first.RunRound();
      CPPUNIT_ASSERT(first.Reserve(1'000) == ReserveAnswer::Reserved);
      const auto unallocatedBefore = UnallocatedTokens(store);
      if (row.mIsLeaseAlive) {
        const InstanceRecord record{ "instance-1", "run-1", "", "", "", false };
        store.Put(std::string(kInstancePrefix) + "instance-1", ToText(record));
      }
      mClock.Advance(Millis(row.mDownMillis));
      Process second(store, mClock, "run-2", row.mBoot);
      second.mManager.Start();
      second.RunRound();
      const auto budget = StoredBudget(store);
      CPPUNIT_ASSERT_MESSAGE(row.mName, budget.mHolders.contains("run-2"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, 1, budget.OpenHolders());
      const auto closed = budget.mClosed.NetGranted();
      CPPUNIT_ASSERT_MESSAGE("tokens that may have been used are charged", closed >= 1'000);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mFrees, closed < kPrepaid - unallocatedBefore);
      CPPUNIT_ASSERT(second.Reserve(500) == ReserveAnswer::Reserved);
    }
  }

  // A predecessor of an older version kept its holding in the shard and none in its usage report.
  // If its successor looked only into the report, the tokens would stay granted for ever.
  void TestPredecessorOfOlderVersion()
  {
    Process first(mStore, mClock, "run-1");
    first.mManager.Start();
    first.RunRound();
    const auto shard = ShardOf("b");
    auto& storedReport = mStore.mItems.at(UsageReportKey("instance-1"));
    auto& storedShard = mStore.mItems.at(ShardKey(shard));
    auto report = ParseUsageReport(storedReport.mValue).value();
    auto record = ParseShard(storedShard.mValue).value();
    InsertHolder(record, "run-1", report.mShards.at(shard));
    report.mShards.clear();
    storedReport.mValue = ToText(report);
    storedShard.mValue = SerializeShard(record);
    Process second(mStore, mClock, "run-2");
    second.mManager.Start();
    second.RunRound();
    const auto budget = StoredBudget(mStore);
    CPPUNIT_ASSERT(!budget.mHolders.contains("run-1"));
    CPPUNIT_ASSERT_EQUAL(1, budget.OpenHolders());
    CPPUNIT_ASSERT(budget.mClosed.NetGranted() < kPrepaid - UnallocatedTokens(mStore));
  }

  // All processes may start at once, so each may read the records only once to limit the load.
  void TestTakeOverReadsOnce()
  {
    Process first(mStore, mClock, "run-1");
    first.mManager.Start();
    first.RunRound();
    Process second(mStore, mClock, "run-2");
    const auto before = mStore.mRangeCalls;
    second.mManager.Start();
    CPPUNIT_ASSERT(testing::RunUntil(second.mLoop, [&] { return second.mManager.HasTakenOver(); }));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      "shards, report, lease", 3, static_cast<int>(mStore.mRangeCalls - before));
  }

  // After any sequence of kills, outages and lost answers the reserved tokens must not exceed the
  // budget, and the sums in the shards must match what the instances state that they hold.
  void TestNoOverspend()
  {
    for (const int instances : { 1, 4 }) {
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const auto name = std::to_string(instances) + " instances, seed " + std::to_string(seed);
        RunRandomFleet(instances, seed, name);
      }
    }
  }

  // Two processes run under one instance name: the older one must refuse further requests.
  void TestReplacedProcessStops()
  {
    Process first(mStore, mClock, "run-1");
    first.mManager.Start();
    first.RunRound();
    Process second(mStore, mClock, "run-2");
    second.mManager.Start();
    second.RunRound();
    mClock.Advance(Millis(1'500));
    first.RunRound();
    CPPUNIT_ASSERT(first.Reserve(10) == ReserveAnswer::Unavailable);
    CPPUNIT_ASSERT(second.Reserve(10) == ReserveAnswer::Reserved);
  }

private:
  void RunRounds(Process& aProcess)
  {
    constexpr int kRounds = 5;
    for (int n = 0; n < kRounds; ++n) {
      mClock.Advance(kBackOff);
      aProcess.RunRound();
    }
  }

  /// Whether a process can reserve so many tokens after some rounds.
  bool IsReserved(Process& aProcess, Tokens aTokens)
  {
    constexpr int kAttempts = 10;
    for (int n = 0; n < kAttempts; ++n) {
      if (aProcess.Reserve(aTokens) == ReserveAnswer::Reserved) {
        return true;
      }
      mClock.Advance(kBackOff);
      aProcess.RunRound();
    }
    return false;
  }

  void RunRandomFleet(int aInstances, std::uint64_t aSeed, const std::string& aName)
  {
    MemoryAsyncStore store;
    std::uint64_t state = aSeed * 7'919;
    const auto randomBelow = [&state](std::uint64_t aBelow) {
      state = state * 6'364'136'223'846'793'005ULL + 1'442'695'040'888'963'407ULL;
      return (state >> 33U) % aBelow;
    };
    const auto start = [&](int aInstance, const std::string& aIncarnation) {
      const auto instance = "instance-" + std::to_string(aInstance + 1);
      auto out = std::make_unique<Process>(
        store, mClock, aIncarnation, "boot", std::vector<std::string>{ "b" }, instance);
      out->mManager.Start();
      return out;
    };
    std::vector<std::unique_ptr<Process>> fleet;
    fleet.reserve(static_cast<std::size_t>(aInstances));
    for (int n = 0; n < aInstances; ++n) {
      fleet.push_back(start(n, "run-0-" + std::to_string(n)));
    }
    Tokens used = 0;
    for (int n = 0; n < 60 * aInstances; ++n) {
      const auto choice = randomBelow(10);
      store.mMode =
        choice == 0 ? StoreMode::Down : (choice == 1 ? StoreMode::LosesResponses : StoreMode::Up);
      mClock.Advance(kBackOff + Millis(static_cast<std::int64_t>(randomBelow(2'000))));
      const auto which = randomBelow(static_cast<std::uint64_t>(aInstances));
      auto& process = fleet[which];
      process->RunRoundOrStoreCall(store);
      const auto tokens = static_cast<Tokens>(100 + randomBelow(4'000));
      if (process->Reserve(tokens) == ReserveAnswer::Reserved) {
        used += tokens; // counts even if the process is killed before it reports
      }
      if (randomBelow(12) == 0) {
        process = start(static_cast<int>(which), "run-" + std::to_string(n + 1));
      }
      CheckSums(store, aName);
    }
    CPPUNIT_ASSERT_MESSAGE(aName, used <= kPrepaid);
  }

  /// Checks that without the holdings in the usage reports only closed holders are left in the
  /// sums.
  static void CheckSums(const MemoryAsyncStore& aStore, const std::string& aName)
  {
    const auto shard = ShardOf("b");
    const auto stored = aStore.mItems.find(ShardKey(shard));
    if (stored == aStore.mItems.end()) {
      return;
    }
    auto record = ParseShard(stored->second.mValue).value();
    for (const auto& [key, it] : aStore.mItems) {
      if (!key.starts_with(UsageReportKey(""))) {
        continue;
      }
      const auto report = ParseUsageReport(it.mValue).value();
      if (report.mShards.contains(shard)) {
        InsertHolder(record, report.mIncarnation, report.mShards.at(shard));
      }
    }
    const auto& budget = record.mBudgets.at("b");
    CPPUNIT_ASSERT_MESSAGE(aName, budget.Granted() <= kPrepaid);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(aName, 0, budget.mSeparateHolders);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(aName, budget.mClosed.NetGranted(), budget.mClosed.mSpent);
    CPPUNIT_ASSERT_MESSAGE(aName, budget.mClosed.mSpent >= 0);
  }

  ManualClock mClock;
  MemoryAsyncStore mStore;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GrantManagerTest);

} // namespace gentianloom
