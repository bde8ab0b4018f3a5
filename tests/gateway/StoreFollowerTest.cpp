#include "gentianloom/gateway/StoreFollower.h"

#include "support/MemoryAsyncStore.h"
#include "support/RunLoop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace gentianloom {

class StoreFollowerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoreFollowerTest);
  CPPUNIT_TEST(TestFollows);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestFollows()
  {
    net::Loop loop(1);
    const ManualClock clock;
    Metrics metrics;
    MemoryAsyncStore store;
    store.WaitOn(loop);
    store.Put("p/a", "1");
    std::string seen;
    const auto note = [&seen](const std::string& aText, StoreCondition aCondition) {
      seen += aText + (aCondition == StoreCondition::Steady ? " " : "? ");
    };
    StoreFollower follower(loop,
                           store,
                           "p/",
                           std::chrono::hours(1),
                           { [&](const auto& aEntries, StoreCondition aCondition) {
                              note("snapshot" + std::to_string(aEntries.size()), aCondition);
                            },
                             [&](const auto& aEvents, StoreCondition aCondition) {
                               for (const auto& it : aEvents) {
                                 note((it.mDeleted ? "-" : "+") + it.mEntry.mKey, aCondition);
                               }
                             } },
                           clock,
                           metrics);
    const auto expect = [&](const std::string& aWhat, const std::string& aSeen) {
      const bool isSeen = testing::RunUntil(loop, [&] { return seen == aSeen; });
      CPPUNIT_ASSERT_MESSAGE(aWhat + ": " + seen, isSeen);
      seen.clear();
    };
    follower.Start();
    expect("reads all", "snapshot1 ");
    CPPUNIT_ASSERT(follower.HasRead());
    store.Put("p/b", "1");
    store.Put("q/c", "1");
    expect("other prefixes are no concern", "+p/b ");
    store.Remove("p/a");
    expect("removal", "-p/a ");
    store.SetMode(StoreMode::Forgot);
    expect("the history is gone", "snapshot1 ");
    const auto watches = store.mWatches;
    store.SetMode(StoreMode::Down);
    CPPUNIT_ASSERT(testing::RunUntil(loop, [&] { return store.mWatches > watches + 1; }));
    store.SetMode(StoreMode::Up);
    store.Remove("p/b");
    expect("may only have lapsed", "-p/b? ");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreFollowerTest);

} // namespace gentianloom
