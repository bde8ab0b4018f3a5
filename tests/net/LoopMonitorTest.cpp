#include "gentianloom/net/LoopMonitor.h"

#include "support/RunLoop.h"

#include <boost/asio/steady_timer.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace gentianloom::net {

class LoopMonitorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LoopMonitorTest);
  CPPUNIT_TEST(TestBusyLoopIsMeasured);
  CPPUNIT_TEST_SUITE_END();

public:
  // If a handler that blocks the loop did not show, an overloaded process would look like a healthy
  // one in its metrics.
  void TestBusyLoopIsMeasured()
  {
    Loop loop{ 1 };
    const SystemClock clock;
    Metrics metrics;
    LoopMonitor monitor(loop, clock, metrics);
    monitor.Start();
    constexpr Millis kBlocked{ 400 };
    constexpr Millis kMinDelay{ 200 };
    boost::asio::steady_timer timer(loop, Millis(20));
    timer.async_wait([&](const auto&) { std::this_thread::sleep_for(kBlocked); });
    CPPUNIT_ASSERT(testing::RunUntil(loop, [&] { return monitor.Delay() >= kMinDelay; }));
    CPPUNIT_ASSERT(metrics.Render().find("gentianloom_loop_delay_seconds_count") !=
                   std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoopMonitorTest);

} // namespace gentianloom::net
