#include "gentianloom/gateway/SoftwareVersionRecord.h"

#include "support/MemoryAsyncStore.h"
#include "support/RunLoop.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gentianloom {

class SoftwareVersionRecordTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SoftwareVersionRecordTest);
  CPPUNIT_TEST(TestSoleVersion);
  CPPUNIT_TEST(TestUpdate);
  CPPUNIT_TEST(TestText);
  CPPUNIT_TEST(TestOddEntries);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint kStart{ std::chrono::hours(1) };
  static constexpr Millis kMaxAge = SoftwareVersionHistory::kMaxStreamAge;

public:
  // A stream whose origin nobody knows may go on only if one version can have begun it.
  void TestSoleVersion()
  {
    SoftwareVersionHistory history;
    history.Observe("pool", "v1", kStart);
    CPPUNIT_ASSERT(!history.SoleVersion("pool", kStart)); // others may have served before
    history.SetCompleteFrom(kStart);
    CPPUNIT_ASSERT(!history.SoleVersion("pool", kStart)); // others may serve by now
    history.ConfirmUntil(kStart);
    CPPUNIT_ASSERT(history.SoleVersion("pool", kStart) == "v1");
    const auto outdatedAt = kStart + SoftwareVersionHistory::kMaxConfirmationAge + Millis(1);
    CPPUNIT_ASSERT(!history.SoleVersion("pool", outdatedAt));
    CPPUNIT_ASSERT(!history.SoleVersion("desk", kStart));
    const auto later = kStart + Millis(1);
    history.Observe("pool", "v2", later);
    CPPUNIT_ASSERT(!history.SoleVersion("pool", later));
    history.ConfirmUntil(kStart + kMaxAge);
    CPPUNIT_ASSERT(!history.SoleVersion("pool", kStart + kMaxAge));
    history.Observe("pool", "v2", later + kMaxAge);
    history.ConfirmUntil(later + kMaxAge);
    CPPUNIT_ASSERT(history.SoleVersion("pool", later + kMaxAge) == "v2");
  }

  // A version is recorded at once, and stays until no instance needs it any more.
  void TestUpdate()
  {
    SoftwareVersionHistory history;
    history.Observe("pool", "v1", kStart);
    const SoftwareVersions old = { { "gone", { "v0" } }, { "pool", { "v0", "v1" } } };
    const SoftwareVersions first = { { "pool", { "v1" } } };
    CPPUNIT_ASSERT(UpdateSoftwareVersions({}, history, kStart) == first);
    CPPUNIT_ASSERT(UpdateSoftwareVersions(old, history, kStart) == first);
    history.Observe("pool", "v0", kStart);
    const auto now = kStart + kMaxAge + Millis(1);
    history.Observe("pool", "v1", now);
    CPPUNIT_ASSERT(UpdateSoftwareVersions(old, history, now).at("pool").size() == 2);
    CPPUNIT_ASSERT(UpdateSoftwareVersions(first, history, now) == first);
    const auto end = kStart + 2 * kMaxAge + Millis(1);
    history.Observe("pool", "v1", end);
    CPPUNIT_ASSERT(UpdateSoftwareVersions(old, history, end) == first);
  }

  void TestText()
  {
    const SoftwareVersions versions = { { "desk", {} }, { "pool", { "v1", "v2" } } };
    CPPUNIT_ASSERT(ParseSoftwareVersions(ToText(versions)).value() == versions);
    for (const auto* it : { "", "[]", "{\"pool\":1}", "{\"pool\":[1]}", "{\"pool\":[\"v1\"" }) {
      CPPUNIT_ASSERT_MESSAGE(it, !ParseSoftwareVersions(it));
    }
  }

  // An entry whose key begins with that of the record was taken for it: a new version was never
  // recorded, and the recorded ones were not known.
  void TestOddEntries()
  {
    const std::string key(kSoftwareVersionKey);
    for (const auto* name : { "&x", "-old", "/a", " " }) {
      for (const auto* value : { "?", "", R"({"pool":["v9"]})" }) {
        net::Loop loop(1);
        const ManualClock clock;
        MemoryAsyncStore store;
        store.Put(key, ToText({ { "pool", { "v1" } } }));
        store.Put(key + name, value);
        SoftwareVersionHistory history;
        history.Observe("pool", "v2", clock.Now());
        SoftwareVersionRecord record(loop, store, history, clock);
        record.Start();
        const auto isRecorded = [&] {
          const auto versions = ParseSoftwareVersions(store.mItems.at(key).mValue);
          return versions && versions.value() == SoftwareVersions{ { "pool", { "v1", "v2" } } };
        };
        CPPUNIT_ASSERT_MESSAGE(std::string(name) + value, testing::RunUntil(loop, isRecorded));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoftwareVersionRecordTest);

} // namespace gentianloom
