#include "gentianloom/routing/EndpointRegistry.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace gentianloom {

namespace {

EndpointEntry Entry(const std::string& aId, std::int64_t aStartedAt = 1, bool aIsLeaving = false)
{
  EndpointEntry out;
  out.mId = aId;
  out.mService = "pool";
  out.mAddress = "10.0.0.1:80";
  out.mStartedAt = aStartedAt;
  out.mIsLeaving = aIsLeaving;
  return out;
}

std::string UsableIds(const EndpointRegistry& aRegistry)
{
  std::string out;
  for (const auto& it : aRegistry.UsableEndpoints("pool")) {
    out += it->mEntry.mId;
  }
  return out;
}

} // namespace

class EndpointRegistryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EndpointRegistryTest);
  CPPUNIT_TEST(TestLeavingAndRemoved);
  CPPUNIT_TEST(TestOutage);
  CPPUNIT_TEST(TestNewProcess);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestLeavingAndRemoved()
  {
    EndpointRegistry registry;
    registry.Replace({ Entry("a"), Entry("b"), Entry("c") }, false, mNow);
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), UsableIds(registry));
    registry.Put(Entry("b", 1, true), mNow);
    CPPUNIT_ASSERT_EQUAL(std::string("ac"), UsableIds(registry));
    const auto held = registry.UsableEndpoints("pool").front();
    registry.Remove("a", false, mNow);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), UsableIds(registry));
    CPPUNIT_ASSERT(!held->AcceptsRequests());
    registry.OnAddressReassigned("c");
    CPPUNIT_ASSERT_EQUAL(std::string(), UsableIds(registry));
    CPPUNIT_ASSERT(registry.UsableEndpoints("other").empty());
  }

  // Entries expire during an outage of the key-value service and are renewed within two seconds.
  void TestOutage()
  {
    EndpointRegistry registry;
    registry.Replace({ Entry("a"), Entry("b") }, false, mNow);
    registry.Replace({ Entry("a") }, true, mNow);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), UsableIds(registry));
    registry.Remove("a", true, mNow);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      "missing entries are the last resort", std::string("ab"), UsableIds(registry));
    registry.Put(Entry("b"), mNow + Millis(500));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), UsableIds(registry));
    registry.RemoveExpired(mNow + EndpointRegistry::kRenewalGracePeriod - Millis(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, registry.Size());
    registry.RemoveExpired(mNow + EndpointRegistry::kRenewalGracePeriod);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, registry.Size());
  }

  // A process that starts with a known id gets a new record.
  void TestNewProcess()
  {
    EndpointRegistry registry;
    registry.Put(Entry("a", 1), mNow);
    const auto before = registry.UsableEndpoints("pool").front();
    registry.Put(Entry("a", 1), mNow);
    CPPUNIT_ASSERT(before == registry.UsableEndpoints("pool").front());
    registry.Put(Entry("a", 2), mNow);
    CPPUNIT_ASSERT(before != registry.UsableEndpoints("pool").front());
    CPPUNIT_ASSERT(!before->AcceptsRequests());
  }

private:
  TimePoint mNow{ std::chrono::hours(1) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointRegistryTest);

} // namespace gentianloom
