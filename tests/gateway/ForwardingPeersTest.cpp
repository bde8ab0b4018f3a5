#include "gentianloom/gateway/ForwardingPeers.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace gentianloom {

class ForwardingPeersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ForwardingPeersTest);
  CPPUNIT_TEST(TestOwnZoneFirst);
  CPPUNIT_TEST(TestRequestsAreSpread);
  CPPUNIT_TEST(TestAllDecline);
  CPPUNIT_TEST(TestAllowedZones);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kInstances = 20;

public:
  // A whole zone that is cut off would ask itself only.
  void TestOwnZoneFirst()
  {
    std::vector<std::string> tried;
    const auto first = mPeers.Choose("pool", tried);
    CPPUNIT_ASSERT_EQUAL(std::string("a0"), first->mEntry.mAddress);
    CPPUNIT_ASSERT(first->mIsPeerInstance);
    mPeers.OnDeclined(first);
    tried.push_back(first->mEntry.mId);
    const auto second = mPeers.Choose("pool", tried);
    CPPUNIT_ASSERT(second && second->mEntry.mAddress != "a0");
    const auto other = mPeers.Choose("desk", {});
    CPPUNIT_ASSERT_EQUAL(std::string("a0"), other->mEntry.mAddress);
  }

  // One instance would get the requests of half a fleet.
  void TestRequestsAreSpread()
  {
    ForwardingPeers peers([](std::string_view) { return All(); }, "b", mClock);
    std::set<EndpointRegistry::Ptr> chosen;
    for (int n = 0; n < 3 * kInstances; ++n) {
      const auto it = peers.Choose("pool", {});
      it->mLoad.OnSent(0);
      chosen.insert(it);
      CPPUNIT_ASSERT(it->mLoad.InFlight() <= 12);
    }
    CPPUNIT_ASSERT(chosen.size() > kInstances / 2);
  }

  // Each request of each instance would go round the fleet while no instance reaches an endpoint.
  void TestAllDecline()
  {
    int asked = 0;
    for (auto it = mPeers.Choose("pool", {}); it; it = mPeers.Choose("pool", {})) {
      mPeers.OnDeclined(it);
      ++asked;
    }
    CPPUNIT_ASSERT_EQUAL(ForwardingPeers::kMaxDeclined, asked);
    mClock.Advance(ForwardingPeers::kPause);
    const auto next = mPeers.Choose("pool", {});
    CPPUNIT_ASSERT(next);
    mPeers.OnAnswered(next);
    CPPUNIT_ASSERT(mPeers.Choose("pool", {}));
  }

  // The body of a request was passed to instances in all regions.
  void TestAllowedZones()
  {
    ForwardingPeers peers(
      [](std::string_view aZone) {
        return aZone.empty() ? All() : std::vector<std::string>{ std::string(aZone) + "0" };
      },
      "a",
      mClock);
    struct Row
    {
      AllowedZones mZones;
      std::string mFirst;
      std::string mNext; ///< after the first one declined
    };
    const Row rows[] = { { AllowedZones({ "a", "c" }), "a0", "c0" },
                         { AllowedZones({ "c" }), "c0", "" },
                         { AllowedZones(std::in_place), "", "" } };
    for (const auto& row : rows) {
      const auto address = [&](std::span<const std::string> aTried) {
        const auto it = peers.Choose("pool", aTried, row.mZones);
        return it ? it->mEntry.mAddress : std::string();
      };
      CPPUNIT_ASSERT_EQUAL(row.mFirst, address({}));
      CPPUNIT_ASSERT_EQUAL(row.mNext, address(std::vector<std::string>{ row.mFirst }));
    }
  }

private:
  static std::vector<std::string> All()
  {
    std::vector<std::string> out;
    out.reserve(kInstances);
    for (int n = 0; n < kInstances; ++n) {
      out.push_back("a" + std::to_string(n));
    }
    return out;
  }

  ManualClock mClock;
  ForwardingPeers mPeers{ [](std::string_view aZone) {
                           return aZone.empty() ? All() : std::vector<std::string>{ "a0" };
                         },
                          "zone",
                          mClock };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardingPeersTest);

} // namespace gentianloom
