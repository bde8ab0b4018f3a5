#include "gentianloom/routing/EndpointRegistry.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace gentianloom {

namespace {

EndpointEntry MakeEntry(const std::string& aId,
                        std::int64_t aStartedAt = 1,
                        bool aIsLeaving = false)
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
  for (const auto& it : aRegistry.UsableEndpoints("pool", TimePoint{})) {
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
  CPPUNIT_TEST(TestEntryWithoutStart);
  CPPUNIT_TEST(TestSoftwareVersions);
  CPPUNIT_TEST(TestOutdatedEntries);
  CPPUNIT_TEST(TestLateWrites);
  CPPUNIT_TEST(TestUnconfirmedEntryIsDeleted);
  CPPUNIT_TEST(TestLateWriteOfMissingEntry);
  CPPUNIT_TEST(TestEntryThatReturned);
  CPPUNIT_TEST(TestAnnouncedLeaving);
  CPPUNIT_TEST(TestPauses);
  CPPUNIT_TEST(TestPauseOfEntryThatReturned);
  CPPUNIT_TEST(TestNewProcessesAreReported);
  CPPUNIT_TEST(TestWarmUps);
  CPPUNIT_TEST_SUITE_END();

public:
  // An entry that is read again, is missing in an outage or lacks the time made an endpoint warm,
  // or cold for longer.
  void TestWarmUps()
  {
    constexpr Millis kTime{ 8'000 };
    EndpointRegistry registry;
    registry.SetWarmUpLimits({ { "pool", 12 } });
    const auto isLimited = [&](const std::string& aId, Millis aAt) {
      return registry.All().find(aId)->second->mWarmUp.IsLimited(mNow + aAt);
    };
    const auto put = [&](std::int64_t aSequence, std::optional<Millis> aRemaining, Millis aAt) {
      auto entry = MakeEntry("a");
      entry.mSequence = aSequence;
      entry.mWarmUpRemaining = aRemaining;
      registry.Put(std::move(entry), mNow + aAt);
    };
    registry.Put(MakeEntry("b"), mNow);
    CPPUNIT_ASSERT(!isLimited("b", Millis(0)));
    put(1, kTime, Millis(0));
    CPPUNIT_ASSERT(isLimited("a", kTime - Millis(1)));
    registry.Remove("a", /*aAfterOutage=*/true, mNow + Millis(100));
    CPPUNIT_ASSERT(isLimited("a", kTime - Millis(1)));
    registry.RemoveExpired(mNow + Millis(3'000));
    put(1, kTime, Millis(4'000));
    CPPUNIT_ASSERT(isLimited("a", kTime - Millis(1)) && !isLimited("a", kTime));
    put(2, std::nullopt, Millis(5'000));
    CPPUNIT_ASSERT(isLimited("a", kTime - Millis(1)));
    put(3, kTime, Millis(6'000));
    CPPUNIT_ASSERT(isLimited("a", Millis(6'000) + kTime - Millis(1)));
    put(2, Millis(0), Millis(6'500));
    CPPUNIT_ASSERT(isLimited("a", Millis(6'000) + kTime - Millis(1)));
    put(4, Millis(0), Millis(7'000));
    CPPUNIT_ASSERT(!isLimited("a", Millis(7'000)));
    put(5, kTime, Millis(60'000));
    CPPUNIT_ASSERT(isLimited("a", Millis(60'000)));
    // All are denied: Retry-After is the time until the next permit, or until the end.
    for (const auto& [denied, expected] :
         { std::pair(Millis(100), Millis(100)), std::pair(Millis(20'000), kTime) }) {
      registry.Remove("b", /*aAfterOutage=*/false, mNow);
      const auto now = mNow + Millis(60'000);
      registry.All().find("a")->second->mRateLimit.OnDenied(now + denied);
      CPPUNIT_ASSERT(registry.UsableEndpoints("pool", now).empty());
      CPPUNIT_ASSERT(registry.TimeUntilPauseEnds("pool", now) == Micros(expected));
    }
    registry.SetWarmUpLimits({});
    CPPUNIT_ASSERT(!isLimited("a", Millis(60'000)));
  }

  void TestLeavingAndRemoved()
  {
    EndpointRegistry registry;
    registry.Replace(
      { MakeEntry("a"), MakeEntry("b"), MakeEntry("c") }, /*aAfterOutage=*/false, mNow);
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), UsableIds(registry));
    registry.Put(MakeEntry("b", 1, /*aIsLeaving=*/true), mNow);
    CPPUNIT_ASSERT_EQUAL(std::string("ac"), UsableIds(registry));
    const auto heldEndpoint = registry.UsableEndpoints("pool", mNow).front();
    registry.Remove("a", /*aAfterOutage=*/false, mNow);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), UsableIds(registry));
    // Requests in flight still refer to the removed endpoint.
    CPPUNIT_ASSERT(!heldEndpoint->AcceptsRequests());
    registry.OnAddressReassigned("c", mNow);
    CPPUNIT_ASSERT_EQUAL(std::string(), UsableIds(registry));
    CPPUNIT_ASSERT(registry.UsableEndpoints("other", mNow).empty());
  }

  // Another program wrote an entry without a start under the id of an endpoint that is leaving. It
  // counted as a new process, which got requests.
  void TestEntryWithoutStart()
  {
    EndpointRegistry registry;
    registry.Put(MakeEntry("a", 5, /*aIsLeaving=*/true), mNow);
    CPPUNIT_ASSERT(registry.Put(MakeEntry("a", 0), mNow) == PutResult::LacksStart);
    CPPUNIT_ASSERT_EQUAL(std::string(), UsableIds(registry));
    registry.Remove("a", /*aAfterOutage=*/false, mNow);
    CPPUNIT_ASSERT(registry.Put(MakeEntry("a", 0), mNow) == PutResult::LacksStart);
    CPPUNIT_ASSERT_EQUAL(std::string(), UsableIds(registry));
    CPPUNIT_ASSERT(registry.Put(MakeEntry("a", 6), mNow) == PutResult::Applied);
    CPPUNIT_ASSERT(registry.Put(MakeEntry("b", 0), mNow) == PutResult::Applied);
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), UsableIds(registry));
  }

  // Entries expire during an outage of the key-value service. An endpoint that is still running
  // renews its entry within kRenewalGracePeriod and must not be removed before.
  void TestOutage()
  {
    EndpointRegistry registry;
    registry.Replace({ MakeEntry("a"), MakeEntry("b") }, /*aAfterOutage=*/false, mNow);
    registry.Replace({ MakeEntry("a") }, /*aAfterOutage=*/true, mNow);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), UsableIds(registry));
    registry.Remove("a", /*aAfterOutage=*/true, mNow);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      "missing endpoints are used if none is listed", std::string("ab"), UsableIds(registry));
    registry.Put(MakeEntry("b"), mNow + Millis(500));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), UsableIds(registry));
    registry.RemoveExpired(mNow + EndpointRegistry::kRenewalGracePeriod - Millis(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, registry.Size());
    registry.RemoveExpired(mNow + EndpointRegistry::kRenewalGracePeriod);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, registry.Size());
  }

  // A repeated entry keeps the record of its process; a new process with the same id, which has
  // another start time, gets a new one.
  void TestNewProcess()
  {
    EndpointRegistry registry;
    registry.Put(MakeEntry("a", 1), mNow);
    const auto before = registry.UsableEndpoints("pool", mNow).front();
    registry.Put(MakeEntry("a", 1), mNow);
    CPPUNIT_ASSERT(before == registry.UsableEndpoints("pool", mNow).front());
    registry.Put(MakeEntry("a", 2), mNow);
    CPPUNIT_ASSERT(before != registry.UsableEndpoints("pool", mNow).front());
    CPPUNIT_ASSERT(!before->AcceptsRequests());
  }

  // A stream may go on only at its software version, also at an endpoint whose entry may have
  // expired in an outage.
  void TestSoftwareVersions()
  {
    EndpointRegistry registry;
    for (const auto* id : { "a", "b", "c" }) {
      auto entry = MakeEntry(id);
      entry.mSoftwareVersion = entry.mId == "a" ? "v1" : "v2";
      registry.Put(entry, mNow);
    }
    const auto ids = [&](const std::string& aVersion) {
      std::string out;
      for (const auto& it : registry.UsableEndpoints("pool", mNow, aVersion)) {
        out += it->mEntry.mId;
      }
      return out;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), UsableIds(registry));
    CPPUNIT_ASSERT_EQUAL(std::string("bc"), ids("v2"));
    registry.Remove("a", /*aAfterOutage=*/true, mNow);
    CPPUNIT_ASSERT_EQUAL(std::string("bc"), UsableIds(registry));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), ids("v1"));
    CPPUNIT_ASSERT_EQUAL(std::string(), ids("v3"));
    // An update in place is a new process.
    const auto before = registry.UsableEndpoints("pool", mNow, "v2").front();
    auto updated = before->mEntry;
    updated.mSoftwareVersion = "v3";
    registry.Put(updated, mNow);
    CPPUNIT_ASSERT(!before->AcceptsRequests());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), ids("v3"));
  }

  // After the key-value service came back from an older copy, entries of endpoints that left or
  // ended since appeared usable again.
  void TestOutdatedEntries()
  {
    struct Row
    {
      std::string mName;
      std::int64_t mStartedAt;
      std::int64_t mSequence;
      std::string mUsable; // of "a", which is leaving, and "b", which has gone
    };
    const Row rows[] = { { "older", 1, 4, "" },
                         { "the same write", 1, 5, "a" },
                         { "a later write", 1, 6, "ab" },
                         { "a later process", 2, 1, "ab" },
                         { "an earlier process", 0, 9, "" } };
    for (const auto& row : rows) {
      EndpointRegistry registry;
      for (const auto* id : { "a", "b" }) {
        auto entry = MakeEntry(id, 1, /*aIsLeaving=*/true);
        entry.mSequence = 5;
        registry.Put(entry, mNow);
      }
      registry.Remove("b", /*aAfterOutage=*/false, mNow);
      std::vector<EndpointEntry> copy = { MakeEntry("a", row.mStartedAt),
                                          MakeEntry("b", row.mStartedAt) };
      for (auto& it : copy) {
        it.mSequence = row.mSequence;
      }
      registry.DropOutdated(copy);
      registry.Replace(std::move(copy), /*aAfterOutage=*/true, mNow);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mUsable, UsableIds(registry));
    }
  }

  // The store did earlier writes of an endpoint late, one or several, in any order: the endpoint
  // that was leaving, or had been removed, got requests again. The next process of an endpoint
  // whose clock was set back must get requests in the end.
  void TestLateWrites()
  {
    struct Write
    {
      std::int64_t mStartedAt;
      std::int64_t mSequence;
      bool mIsLeaving;
      std::int64_t mLease = 7;
    };
    struct Row
    {
      std::string mName;
      bool mIsRemoved; ///< after the first write
      std::vector<Write> mLater;
      bool mIsUsed;      ///< at once
      bool mIsUsedLater; ///< if the last write stands
    };
    constexpr Write kFirst{ 100, 5, true };
    const Row rows[] = {
      { "an earlier write of the process", false, { { 100, 4, false } }, false, false },
      { "the same one again", false, { { 100, 4, false }, { 100, 4, false } }, false, false },
      { "two, in their order", false, { { 100, 3, false }, { 100, 4, false } }, false, false },
      { "two, the later one first", false, { { 100, 4, false }, { 100, 3, false } }, false, false },
      { "three", false, { { 100, 2, false }, { 100, 3, false }, { 100, 4, false } }, false, false },
      { "one between two of its beats",
        false,
        { { 100, 3, false }, { 100, 6, true }, { 100, 4, false } },
        false,
        false },
      { "a write of the process before it", false, { { 50, 9, false } }, false, true },
      { "a later write of the process", false, { { 100, 6, false } }, true, true },
      { "the next process", false, { { 200, 1, false } }, true, true },
      { "an earlier write after the removal", true, { { 100, 4, false } }, false, false },
      { "two of them", true, { { 100, 3, false }, { 100, 4, false } }, false, false },
      { "a later write after the removal, under another lease",
        true,
        { { 100, 6, false, 8 } },
        true,
        true },
      { "a later write after the removal, without a lease",
        true,
        { { 100, 6, false, 0 } },
        true,
        true },
      { "a write under the lease of before the removal", true, { { 100, 6, false } }, false, true },
      { "two of them, in their order",
        true,
        { { 100, 6, false }, { 100, 7, false } },
        false,
        true },
      { "the next process after the removal", true, { { 200, 1, false } }, true, true },
      { "a process before it after the removal", true, { { 50, 9, false } }, false, true },
      { "the next process, its clock set back",
        false,
        { { 90, 1, false }, { 90, 2, false } },
        false,
        true },
      { "a process before it, then a beat of this one",
        false,
        { { 90, 1, false }, { 90, 2, false }, { 100, 6, true } },
        false,
        false },
      { "two processes before it", false, { { 60, 9, false }, { 50, 9, false } }, false, true },
    };
    constexpr Millis kStep{ 1'000 };
    for (const auto& row : rows) {
      EndpointRegistry registry;
      auto now = mNow;
      const auto put = [&](const Write& aWrite) {
        auto entry = MakeEntry("a", aWrite.mStartedAt, aWrite.mIsLeaving);
        entry.mSequence = aWrite.mSequence;
        entry.mLease = aWrite.mLease;
        return registry.Put(std::move(entry), now);
      };
      CPPUNIT_ASSERT_MESSAGE(row.mName, put(kFirst) == PutResult::Applied);
      if (row.mIsRemoved) {
        registry.Remove("a", /*aAfterOutage=*/false, now);
      }
      for (const auto& it : row.mLater) {
        now += kStep;
        const auto result = put(it);
        CPPUNIT_ASSERT_MESSAGE(row.mName, result != PutResult::LacksStart);
        const bool isLast = &it == &row.mLater.back();
        const bool isApplied = row.mIsUsed || it.mIsLeaving;
        CPPUNIT_ASSERT_MESSAGE(row.mName, !isLast || isApplied == (result == PutResult::Applied));
      }
      const auto expect = [&](bool aIsUsed) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          row.mName, std::string(aIsUsed ? "a" : ""), UsableIds(registry));
      };
      expect(row.mIsUsed);
      const auto stands = now + UnconfirmedEntries::kConfirmationTime;
      const auto begin = now - kStep * static_cast<int>(row.mLater.size() - 1);
      registry.AcceptConfirmed(begin + UnconfirmedEntries::kConfirmationTime - Millis(1), stands);
      expect(row.mIsUsed);
      registry.AcceptConfirmed(stands, stands);
      expect(row.mIsUsedLater);
    }
  }

  // A late entry that was deleted again, with its lease or in a snapshot, is none that stands.
  void TestUnconfirmedEntryIsDeleted()
  {
    for (const bool isSnapshot : { false, true }) {
      EndpointRegistry registry;
      registry.Put(MakeEntry("a", 100, /*aIsLeaving=*/true), mNow);
      registry.Remove("a", /*aAfterOutage=*/false, mNow);
      CPPUNIT_ASSERT(registry.Put(MakeEntry("a", 90), mNow) == PutResult::Outdated);
      if (isSnapshot) {
        registry.Replace({ MakeEntry("b") }, /*aAfterOutage=*/false, mNow);
      } else {
        registry.Remove("a", /*aAfterOutage=*/false, mNow);
        registry.Put(MakeEntry("b"), mNow);
      }
      const auto later = mNow + UnconfirmedEntries::kConfirmationTime;
      registry.AcceptConfirmed(later, later);
      CPPUNIT_ASSERT_EQUAL(std::string("b"), UsableIds(registry));
    }
  }

  // An entry that expired in an outage came back by a late write that differs in its sequence only.
  // Later beats are no change of it, so that the endpoint, which runs, was dropped. What it says
  // stays that of the later entry.
  void TestLateWriteOfMissingEntry()
  {
    for (const bool isLeaving : { false, true }) {
      EndpointRegistry registry;
      auto entry = MakeEntry("a", 100, isLeaving);
      entry.mSequence = 5;
      registry.Put(entry, mNow);
      registry.Remove("a", /*aAfterOutage=*/true, mNow);
      auto late = MakeEntry("a", 100);
      late.mSequence = 4;
      const auto later = mNow + EndpointRegistry::kRenewalGracePeriod;
      CPPUNIT_ASSERT(registry.Put(late, mNow + Millis(1'000)) == PutResult::Outdated);
      registry.RemoveExpired(later);
      CPPUNIT_ASSERT_EQUAL(std::string(isLeaving ? "" : "a"), UsableIds(registry));
      const auto known = registry.Find("a");
      CPPUNIT_ASSERT(isLeaving == (known == nullptr));
      CPPUNIT_ASSERT(isLeaving || known->mLastSeenAt == mNow);
    }
  }

  // An endpoint whose entry had lapsed and was written again was dropped with the copy, since its
  // removal was remembered.
  void TestEntryThatReturned()
  {
    EndpointRegistry registry;
    auto entry = MakeEntry("a");
    entry.mSequence = 5;
    registry.Put(entry, mNow);
    registry.Remove("a", /*aAfterOutage=*/false, mNow);
    auto returned = entry;
    returned.mSequence = 6;
    registry.Put(returned, mNow);
    std::vector<EndpointEntry> copy = { entry, MakeEntry("b") };
    registry.DropOutdated(copy);
    registry.Replace(std::move(copy), /*aAfterOutage=*/true, mNow);
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), UsableIds(registry));
  }

  // An entry that the process writes as before, or that lapsed and came back, unsaid that it
  // leaves.
  void TestAnnouncedLeaving()
  {
    EndpointRegistry registry;
    registry.Put(MakeEntry("a"), mNow);
    registry.UsableEndpoints("pool", mNow).front()->mHasAnnouncedLeaving = true;
    CPPUNIT_ASSERT_EQUAL(std::string(), UsableIds(registry));
    registry.Put(MakeEntry("a"), mNow);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("written again", std::string(), UsableIds(registry));
    registry.Remove("a", /*aAfterOutage=*/false, mNow);
    registry.Put(MakeEntry("a"), mNow);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("lapsed and came back", std::string(), UsableIds(registry));
    registry.Put(MakeEntry("a", 2), mNow);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("a later process", std::string("a"), UsableIds(registry));
  }

  // The pause of one endpoint must not be taken for that of its service.
  void TestPauses()
  {
    EndpointRegistry registry;
    registry.Replace({ MakeEntry("a"), MakeEntry("b") }, /*aAfterOutage=*/false, mNow);
    const auto all = registry.UsableEndpoints("pool", mNow);
    all[0]->mHold.Begin(Millis(900), mNow, 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, registry.UsableEndpoints("pool", mNow).size());
    CPPUNIT_ASSERT(!registry.TimeUntilPauseEnds("pool", mNow));
    all[1]->mHold.Begin(Millis(400), mNow, 0);
    CPPUNIT_ASSERT(registry.UsableEndpoints("pool", mNow).empty());
    CPPUNIT_ASSERT(registry.TimeUntilPauseEnds("pool", mNow) == Micros(Millis(400)));
    CPPUNIT_ASSERT(!registry.TimeUntilPauseEnds("other", mNow));
    all[1]->mHasAnnouncedLeaving = true;
    CPPUNIT_ASSERT(registry.TimeUntilPauseEnds("pool", mNow) == Micros(Millis(900)));
    const auto later = mNow + Millis(900);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, registry.UsableEndpoints("pool", later).size());
  }

  // An entry that lapsed and came back within the pause of its process ended the pause.
  void TestPauseOfEntryThatReturned()
  {
    EndpointRegistry registry;
    registry.Put(MakeEntry("a"), mNow);
    auto& hold = registry.UsableEndpoints("pool", mNow).front()->mHold;
    hold.Begin(Millis(100), mNow, 0);
    hold.OnSent(); // a trial request, which ends after the entry came back
    registry.Remove("a", /*aAfterOutage=*/false, mNow);
    registry.Put(MakeEntry("a"), mNow);
    hold.Begin(Millis(900), mNow, 0);
    hold.OnTrialEnded();
    CPPUNIT_ASSERT(registry.UsableEndpoints("pool", mNow + Millis(899)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         registry.UsableEndpoints("pool", mNow + Millis(900)).size());
    const auto late = mNow + EndpointRegistry::kRemovedEntryRetention + Millis(1);
    hold.Begin(Millis(120'000), mNow, 0);
    registry.Remove("a", /*aAfterOutage=*/false, mNow);
    registry.RemoveExpired(late);
    registry.Put(MakeEntry("a"), late);
    CPPUNIT_ASSERT_MESSAGE("a pause longer than removed entries are remembered",
                           registry.UsableEndpoints("pool", late).empty());
    registry.Put(MakeEntry("a", 2), mNow);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      "a later process", std::size_t{ 1 }, registry.UsableEndpoints("pool", mNow).size());
  }

  // An endpoint that crashed and came back at once looked like one that had never ended.
  void TestNewProcessesAreReported()
  {
    struct Row
    {
      std::string mName;
      EndpointEntry mEntry;
      bool mIsNew;
    };
    const Row rows[] = { { "first entry", MakeEntry("a"), true },
                         { "written again", MakeEntry("a"), false },
                         { "a later start", MakeEntry("a", 2), true },
                         { "another id at the address", MakeEntry("b"), true } };
    EndpointRegistry registry;
    std::vector<std::string> reported;
    registry.OnNewProcess([&](const std::string& it) { reported.push_back(it); });
    for (const auto& row : rows) {
      reported.clear();
      registry.Put(row.mEntry, mNow);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mIsNew ? 1UL : 0UL, reported.size());
    }
    reported.clear();
    registry.Remove("a", /*aAfterOutage=*/true, mNow);
    registry.RemoveExpired(mNow + EndpointRegistry::kRenewalGracePeriod);
    registry.Put(MakeEntry("a", 2), mNow);
    CPPUNIT_ASSERT_MESSAGE("lapsed and came back", reported.empty());
    registry.OnAddressReassigned("a", mNow);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("reassigned", std::size_t{ 1 }, reported.size());
  }

private:
  TimePoint mNow{ std::chrono::hours(1) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointRegistryTest);

} // namespace gentianloom
