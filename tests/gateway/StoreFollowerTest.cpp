#include "gentianloom/gateway/StoreFollower.h"

#include "support/MemoryAsyncStore.h"

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
    SystemClock clock;
    Metrics metrics;
    MemoryAsyncStore store;
    store.mLoop = &loop;
    store.Put("p/a", "1");
    std::string seen;
    const auto note = [&seen](const std::string& aText, StoreCondition aCondition) {
      seen += aText + (aCondition == StoreCondition::Steady ? " " : "? ");
    };
    StoreFollower follower(loop,
                           store,
                           "p/",
                           Millis(10),
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
    // The store answers watches at once, so that the loop is run in small steps.
    const auto step = [&loop] {
      loop.restart();
      loop.run_for(std::chrono::milliseconds(5));
    };
    follower.Start();
    step();
    CPPUNIT_ASSERT(follower.HasRead());
    store.Put("p/b", "1");
    store.Put("q/c", "1");
    step();
    store.Remove("p/a");
    step();
    CPPUNIT_ASSERT_EQUAL(std::string("snapshot1 +p/b -p/a "), seen);
    seen.clear();
    store.mMode = StoreMode::Forgot;
    step();
    CPPUNIT_ASSERT_EQUAL_MESSAGE("reads all again", std::string("snapshot1 "), seen);
    seen.clear();
    store.mMode = StoreMode::Down;
    step();
    store.mMode = StoreMode::Up;
    store.Remove("p/b");
    loop.restart();
    loop.run_for(std::chrono::milliseconds(200));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("may only have lapsed", std::string("-p/b? "), seen);
    loop.stop();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreFollowerTest);

} // namespace gentianloom
