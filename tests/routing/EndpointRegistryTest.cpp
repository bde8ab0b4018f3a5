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

std::string Names(const EndpointRegistry& aRegistry)
{
  std::string out;
  for (const auto& it : aRegistry.Usable("pool")) {
    out += it->mEntry.mId;
  }
  return out;
}

} // namespace

class EndpointRegistryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EndpointRegistryTest);
  CPPUNIT_TEST(TestLeavingAndGone);
  CPPUNIT_TEST(TestOutage);
  CPPUNIT_TEST(TestNewRun);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestLeavingAndGone()
  {
    EndpointRegistry registry;
    registry.Replace({ Entry("a"), Entry("b"), Entry("c") }, false, mNow);
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), Names(registry));
    registry.Put(Entry("b", 1, true), mNow);
    CPPUNIT_ASSERT_EQUAL(std::string("ac"), Names(registry));
    const auto held = registry.Usable("pool").front();
    registry.Remove("a", false, mNow);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), Names(registry));
    CPPUNIT_ASSERT(!held->TakesWork());
    registry.OnReplaced("c");
    CPPUNIT_ASSERT_EQUAL(std::string(), Names(registry));
    CPPUNIT_ASSERT(registry.Usable("other").empty());
  }

  // Entries lapse while the key-value service is away, and come back within two seconds.
  void TestOutage()
  {
    EndpointRegistry registry;
    registry.Replace({ Entry("a"), Entry("b") }, false, mNow);
    registry.Replace({ Entry("a") }, true, mNow);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Names(registry));
    registry.Remove("a", true, mNow);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("a last choice", std::string("ab"), Names(registry));
    registry.Put(Entry("b"), mNow + Millis(500));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Names(registry));
    registry.Advance(mNow + EndpointRegistry::kReturnTime - Millis(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, registry.Size());
    registry.Advance(mNow + EndpointRegistry::kReturnTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, registry.Size());
  }

  // A run that starts anew under an old name knows nothing of before.
  void TestNewRun()
  {
    EndpointRegistry registry;
    registry.Put(Entry("a", 1), mNow);
    const auto before = registry.Usable("pool").front();
    registry.Put(Entry("a", 1), mNow);
    CPPUNIT_ASSERT(before == registry.Usable("pool").front());
    registry.Put(Entry("a", 2), mNow);
    CPPUNIT_ASSERT(before != registry.Usable("pool").front());
    CPPUNIT_ASSERT(!before->TakesWork());
  }

private:
  TimePoint mNow{ std::chrono::hours(1) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointRegistryTest);

} // namespace gentianloom
