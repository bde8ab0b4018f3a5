#include "gentianloom/gateway/CallerMemoryMonitor.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace gentianloom {

/// Load pattern: callers that fill the memory of the smallest machines, or open connections only.
class CallerMemoryMonitorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CallerMemoryMonitorTest);
  CPPUNIT_TEST(TestLimits);
  CPPUNIT_TEST(TestCounters);
  CPPUNIT_TEST_SUITE_END();

public:
  // A bound above the machine's memory bounds nothing; one that is too low refuses ordinary
  // callers.
  void TestLimits()
  {
    constexpr std::size_t kMiB = 1'024UL * 1'024;
    struct Row
    {
      double mMemoryMb;
      double mMaxDescriptors;
      std::size_t mSystemDescriptors;
      std::size_t mBytes;
      std::size_t mConnections;
    };
    const Row rows[] = { { 0, 0, 20'000, 1'024 * kMiB, 9'000 },
                         { 0, 0, 1'000'000, 1'024 * kMiB, 100'000 },
                         { 90, 3'000, 20'000, 30 * kMiB, 1'350 },
                         { 513, 8'000, 1'000, 171 * kMiB, 450 },
                         { 16, 64, 20'000, 12 * kMiB, 28 } };
    for (const auto& it : rows) {
      GatewaySettings settings;
      settings.mMemoryMb = it.mMemoryMb;
      settings.mMaxDescriptors = it.mMaxDescriptors;
      const auto limits = MakeCallerMemoryLimits(settings, it.mSystemDescriptors);
      CPPUNIT_ASSERT_EQUAL(it.mBytes, limits.mBytes);
      CPPUNIT_ASSERT_EQUAL(it.mConnections, limits.mConnections);
    }
  }

  // Each report counted all refusals since the start again.
  void TestCounters()
  {
    ManualClock clock;
    Metrics metrics;
    net::CallerMemory memory({ 1'024, 10 }, clock);
    CallerMemoryMonitor monitor(memory, metrics);
    net::CallerShare share(memory, [](net::ShedReason) {});
    share.SetState(net::CallerState::Reading);
    share.Set(net::HeldKind::Body, 2'048);
    for (int n = 0; n < 3; ++n) {
      monitor.Report(clock.Now());
      clock.Advance(Millis(400));
    }
    const auto& shed = metrics.CounterOf("gentianloom_caller_shed_total", "reason=\"memory\"");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, shed.Value());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 },
                         metrics.GaugeOf("gentianloom_caller_connections").Value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerMemoryMonitorTest);

} // namespace gentianloom
