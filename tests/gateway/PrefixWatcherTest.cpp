#include "gentianloom/gateway/PrefixWatcher.h"

#include "support/MemoryAsyncStore.h"
#include "support/RunLoop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace gentianloom {

class PrefixWatcherTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PrefixWatcherTest);
  CPPUNIT_TEST(TestSnapshotsAndEvents);
  CPPUNIT_TEST_SUITE_END();

  static net::Task<void> ReadOtherKeys(AsyncStore& aStore)
  {
    CPPUNIT_ASSERT(co_await aStore.RangeStale("q/"));
  }

public:
  void TestSnapshotsAndEvents()
  {
    net::Loop loop(1);
    ManualClock clock;
    Metrics metrics;
    MemoryAsyncStore store;
    store.EnableWaiting(loop);
    store.SetClock(clock);
    store.Put("p/a", "1");
    std::string seen;
    const auto record = [&seen](const std::string& aText, StoreAvailability aAvailability) {
      seen += aText + (aAvailability == StoreAvailability::Available ? " " : "? ");
    };
    PrefixWatcher watcher(loop,
                          store,
                          "p/",
                          { std::chrono::hours(1) },
                          { [&](const auto& aEntries, StoreAvailability aAvailability) {
                             record("snapshot" + std::to_string(aEntries.size()), aAvailability);
                           },
                            [&](const auto& aEvents, StoreAvailability aAvailability) {
                              for (const auto& it : aEvents) {
                                record((it.mIsDeleted ? "-" : "+") + it.mEntry.mKey, aAvailability);
                              }
                            } },
                          nullptr,
                          clock,
                          metrics);
    const auto expect = [&](const std::string& aStep, const std::string& aExpected) {
      const bool isSeen = testing::RunUntil(loop, [&] { return seen == aExpected; });
      CPPUNIT_ASSERT_MESSAGE(aStep + ": " + seen, isSeen);
      seen.clear();
    };
    watcher.Start();
    expect("initial snapshot", "snapshot1 ");
    CPPUNIT_ASSERT(watcher.HasSynced());
    store.Put("p/b", "1");
    store.Put("q/c", "1");
    expect("changes of other prefixes are ignored", "+p/b ");
    store.Remove("p/a");
    expect("deletion", "-p/a ");
    store.SetMode(StoreMode::HistoryCompacted);
    expect("new snapshot after the store discarded its history", "snapshot1 ");
    // The store comes back from an older copy and gives revisions out again: a watch from the last
    // one seen would miss the change for good.
    store.mEra = 2;
    store.mRevision = 1;
    store.mHistory.clear();
    store.Put("p/d", "1");
    expect("new snapshot after the store came back from a copy", "snapshot2? ");
    const auto awaitCalls = [&] {
      const auto watches = store.mWatchCalls;
      CPPUNIT_ASSERT(testing::RunUntil(loop, [&] { return store.mWatchCalls > watches + 1; }));
    };
    const auto fail = [&](Millis aTime) {
      store.SetMode(StoreMode::Down);
      awaitCalls();
      clock.Advance(aTime);
      awaitCalls();
      store.SetMode(StoreMode::Up);
    };
    fail(Millis(3'000));
    store.Remove("p/b");
    expect("a deletion after an outage may be a lease expiry", "-p/b? ");
    // A watch that was cut counted as an outage, and an endpoint that had left was used for longer.
    clock.Advance(Millis(2'000));
    store.Put("p/c", "1");
    expect("the outage is over", "+p/c ");
    fail(Millis(1'000));
    store.Remove("p/c");
    expect("a deletion after a watch that was cut is none", "-p/c ");
    // Two watches that were cut counted as an outage although other calls were answered.
    store.Put("p/c", "1");
    expect("the outage is over", "+p/c ");
    for (int n = 0; n < 3; ++n) {
      fail(Millis(1'500));
      const auto reads = store.mRangeCalls;
      net::Start(loop, "other call", ReadOtherKeys(store));
      CPPUNIT_ASSERT(testing::RunUntil(loop, [&] { return store.mRangeCalls > reads; }));
    }
    store.Remove("p/c");
    expect("nor is one after several, if other calls were answered", "-p/c ");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrefixWatcherTest);

} // namespace gentianloom
