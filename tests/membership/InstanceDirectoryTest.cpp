#include "gentianloom/membership/InstanceDirectory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace gentianloom {

namespace {

InstanceRecord Record(const std::string& aName, const std::string& aZone, bool aIsLeaving = false)
{
  return { aName, "run-" + aName, aZone, aName + ":1", aName + ":2", aIsLeaving };
}

std::string Joined(const std::vector<std::string>& aList)
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
  CPPUNIT_TEST(TestOffers);
  CPPUNIT_TEST(TestOutage);
  CPPUNIT_TEST(TestRecords);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestOffers()
  {
    InstanceDirectory directory;
    directory.Replace({ Record("a", "z1"), Record("b", "z1"), Record("c", "z2") }, false, mNow);
    const auto self = Record("a", "z1");
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), Joined(directory.SelectAddresses(self, "z1", mNow)));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("one alone is not enough",
                                 std::string("abc"),
                                 Joined(directory.SelectAddresses(self, "z2", mNow)));
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), Joined(directory.SelectAddresses(self, "", mNow)));
    directory.Put(Record("b", "z1", true));
    CPPUNIT_ASSERT_EQUAL(std::string("ac"), Joined(directory.SelectAddresses(self, "z1", mNow)));
    CPPUNIT_ASSERT_EQUAL(std::string("c"),
                         Joined(directory.SelectAddresses(Record("a", "z1", true), "z1", mNow)));
    directory.Remove("c", false, mNow);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Joined(directory.SelectAddresses(self, "z1", mNow)));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Joined(directory.PeerAddresses("a")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, directory.Size("a"));
  }

  // All leases lapse in an outage; the instances are there all the same.
  void TestOutage()
  {
    InstanceDirectory directory;
    directory.Replace({ Record("a", "z1"), Record("b", "z1") }, false, mNow);
    directory.Replace({}, true, mNow);
    const auto self = Record("a", "z1");
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), Joined(directory.SelectAddresses(self, "z1", mNow)));
    const auto later = mNow + InstanceDirectory::kReturnTime;
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Joined(directory.SelectAddresses(self, "z1", later)));
    directory.Put(Record("b", "z1"));
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), Joined(directory.SelectAddresses(self, "z1", later)));
  }

  void TestRecords()
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
