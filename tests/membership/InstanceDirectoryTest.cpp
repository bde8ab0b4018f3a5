#include "gentianloom/membership/InstanceDirectory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace gentianloom {

namespace {

InstanceRecord Record(const std::string& aName, const std::string& aZone, bool aIsLeaving = false)
{
  return { aName, "run-" + aName, aZone, aName + ":1", aName + ":2", aIsLeaving };
}

std::string JoinNames(const std::vector<std::string>& aList)
{
  std::string out;
  for (const auto& it : aList) {
    out += it.substr(0, it.find(':'));
  }
  return out;
}

} // namespace

class InstanceDirectoryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(InstanceDirectoryTest);
  CPPUNIT_TEST(TestSelectAddresses);
  CPPUNIT_TEST(TestMoreInstancesThanAddresses);
  CPPUNIT_TEST(TestLeasesExpireInOutage);
  CPPUNIT_TEST(TestExpiredInstancesAreErased);
  CPPUNIT_TEST(TestEndedInstancesAreNotNamed);
  CPPUNIT_TEST(TestRecordRoundTrip);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestSelectAddresses()
  {
    InstanceDirectory directory;
    directory.Replace({ Record("a", "z1"), Record("b", "z1"), Record("c", "z2") }, false, mNow);
    const auto self = Record("a", "z1");
    CPPUNIT_ASSERT_EQUAL(std::string("ab"),
                         JoinNames(directory.SelectAddresses(self, "z1", "caller", mNow)));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("a single instance of the zone is not enough",
                                 std::string("abc"),
                                 JoinNames(directory.SelectAddresses(self, "z2", "caller", mNow)));
    CPPUNIT_ASSERT_EQUAL(std::string("abc"),
                         JoinNames(directory.SelectAddresses(self, "", "caller", mNow)));
    directory.Put(Record("b", "z1", true));
    CPPUNIT_ASSERT_EQUAL(std::string("ac"),
                         JoinNames(directory.SelectAddresses(self, "z1", "caller", mNow)));
    CPPUNIT_ASSERT_EQUAL(
      std::string("c"),
      JoinNames(directory.SelectAddresses(Record("a", "z1", true), "z1", "caller", mNow)));
    directory.Remove("c", false, mNow);
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         JoinNames(directory.SelectAddresses(self, "z1", "caller", mNow)));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), JoinNames(directory.PeerAddresses("a")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, directory.Size("a"));
  }

  // Of a zone with more instances than an answer holds, those behind the first 64 names got no
  // callers.
  void TestMoreInstancesThanAddresses()
  {
    constexpr int kInstances = 120;
    InstanceDirectory directory;
    for (int n = 0; n < kInstances; ++n) {
      directory.Put(Record("i" + std::to_string(n), "z1"));
    }
    std::set<std::string> offered;
    for (int n = 0; n < 50; ++n) {
      const auto caller = "10.0.0." + std::to_string(n);
      const auto first = directory.SelectAddresses(Record("i0", "z1"), "z1", caller, mNow);
      const auto second = directory.SelectAddresses(Record("i7", "z1"), "z1", caller, mNow);
      CPPUNIT_ASSERT_EQUAL(InstanceDirectory::kMaxAddresses, first.size());
      CPPUNIT_ASSERT_MESSAGE("callers leave instances that an answer omits", first == second);
      offered.insert(first.begin(), first.end());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ kInstances }, offered.size());
  }

  // All leases expire in an outage of the key-value service although the instances still run.
  void TestLeasesExpireInOutage()
  {
    InstanceDirectory directory;
    directory.Replace({ Record("a", "z1"), Record("b", "z1") }, false, mNow);
    directory.Replace({}, true, mNow);
    const auto self = Record("a", "z1");
    CPPUNIT_ASSERT_EQUAL(std::string("ab"),
                         JoinNames(directory.SelectAddresses(self, "z1", "caller", mNow)));
    const auto later = mNow + InstanceDirectory::kReregistrationGrace;
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         JoinNames(directory.SelectAddresses(self, "z1", "caller", later)));
    directory.Put(Record("b", "z1"));
    CPPUNIT_ASSERT_EQUAL(std::string("ab"),
                         JoinNames(directory.SelectAddresses(self, "z1", "caller", later)));
  }

  // An instance that ended in an outage never writes its key again. If its entry stayed, it would
  // be sent load reports and be counted in the fleet's size for good.
  void TestExpiredInstancesAreErased()
  {
    InstanceDirectory directory;
    directory.Replace({ Record("a", "z1"), Record("b", "z1"), Record("c", "z1") }, false, mNow);
    directory.Replace({ Record("a", "z1") }, true, mNow);
    const auto end = mNow + InstanceDirectory::kReregistrationGrace;
    directory.RemoveExpired(end - Micros(1));
    CPPUNIT_ASSERT_EQUAL(std::string("bc"), JoinNames(directory.PeerAddresses("a")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, directory.Size("a"));
    directory.Put(Record("c", "z1"));
    directory.RemoveExpired(end);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), JoinNames(directory.PeerAddresses("a")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, directory.Size("a"));
  }

  // Callers that are told the address of an instance that has ended lose their time with it. Each
  // row is one way to learn of the end; the times count from the end, or from the store's return.
  void TestEndedInstancesAreNotNamed()
  {
    constexpr Millis kNamedFor{ 7'000 };
    constexpr Millis kLeaseTtl{ 3'000 };
    constexpr Millis kWatchTimeout{ 3'100 }; // of a watch that was lost without a sign
    struct Row
    {
      std::string mName;
      Millis mSeenAt; ///< when the missing key is noticed
      bool mIsAfterOutage;
      bool mIsSnapshot;
      bool mIsNoticedAgain; ///< half of the grace period later
    };
    const Row rows[] = {
      { "store is up", kLeaseTtl, false, false, false },
      { "revoked lease", Millis(0), false, false, false },
      { "lost watch", kWatchTimeout, true, false, false },
      { "lease stood still in an outage", kLeaseTtl, true, false, false },
      { "lease ended in an outage", Millis(700), true, false, true },
      { "older copy", kLeaseTtl, true, true, false },
      { "history is gone", kWatchTimeout, true, true, true },
    };
    for (const auto& row : rows) {
      InstanceDirectory directory;
      directory.Replace({ Record("a", "z1"), Record("b", "z1"), Record("c", "z1") }, false, mNow);
      const auto notice = [&](TimePoint aNow) {
        if (row.mIsSnapshot) {
          directory.Replace({ Record("a", "z1"), Record("b", "z1") }, row.mIsAfterOutage, aNow);
        } else {
          directory.Remove("c", row.mIsAfterOutage, aNow);
        }
      };
      notice(mNow + row.mSeenAt);
      if (row.mIsNoticedAgain) {
        notice(mNow + row.mSeenAt + InstanceDirectory::kReregistrationGrace / 2);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mName,
        std::string("ab"),
        JoinNames(directory.SelectAddresses(Record("a", "z1"), "z1", "caller", mNow + kNamedFor)));
    }
  }

  void TestRecordRoundTrip()
  {
    const auto record = Record("a", "z1", true);
    CPPUNIT_ASSERT(ParseInstanceRecord(ToText(record)).value() == record);
    for (const auto* it : { "", "[]", "{}", "{\"name\": 1}" }) {
      CPPUNIT_ASSERT_MESSAGE(it, !ParseInstanceRecord(it));
    }
  }

private:
  TimePoint mNow{ std::chrono::hours(1) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(InstanceDirectoryTest);

} // namespace gentianloom
