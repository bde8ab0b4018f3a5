#include "gentianloom/membership/EntryPoints.h"
#include "gentianloom/membership/MemberRecords.h"

#include "MemoryStore.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

namespace gentianloom {

namespace {

using wire::Standing;

wire::MemberNews MakeMember(const std::string& aName,
                            Standing::type aStanding = Standing::ALIVE,
                            std::int64_t aGeneration = 1,
                            std::int64_t aStarted = 1)
{
  wire::MemberNews out;
  out.name = aName;
  out.incarnation = aName + std::to_string(aStarted);
  out.startedMs = aStarted;
  out.generation = aGeneration;
  out.standing = aStanding;
  out.callerAddress = aName + ":1";
  out.peerAddress = aName + ":2";
  return out;
}

} // namespace

class MembershipTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(TestSupersedes);
  CPPUNIT_TEST(TestUpdatesAboutSelf);
  CPPUNIT_TEST(TestPausedProcess);
  CPPUNIT_TEST(TestMessageIsBounded);
  CPPUNIT_TEST(TestEntryPoints);
  CPPUNIT_TEST(TestEntryPointsAreStableAndBalanced);
  CPPUNIT_TEST(TestRecordIsRewritten);
  CPPUNIT_TEST(TestOddRecords);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestSupersedes()
  {
    struct Row
    {
      wire::MemberNews mNew;
      wire::MemberNews mKnown;
      bool mSupersedes;
    };
    const auto member = [](Standing::type aStanding, std::int64_t aGeneration, std::int64_t aRun) {
      return MakeMember("a", aStanding, aGeneration, aRun);
    };
    const Row rows[] = {
      { member(Standing::ALIVE, 1, 1), member(Standing::ALIVE, 1, 1), false },
      { member(Standing::SUSPECT, 1, 1), member(Standing::ALIVE, 1, 1), true },
      { member(Standing::ALIVE, 1, 1), member(Standing::SUSPECT, 1, 1), false },
      { member(Standing::ALIVE, 2, 1), member(Standing::SUSPECT, 1, 1), true }, // refuted
      { member(Standing::ALIVE, 2, 1),
        member(Standing::DEAD, 1, 1),
        true }, // refuted after its death was declared
      { member(Standing::ALIVE, 1, 1), member(Standing::DEAD, 1, 1), false },
      { member(Standing::ALIVE, 9, 1),
        member(Standing::LEAVING, 1, 1),
        false }, // leaving cannot be undone
      { member(Standing::SUSPECT, 9, 1), member(Standing::LEAVING, 1, 1), false },
      { member(Standing::LEAVING, 1, 1), member(Standing::ALIVE, 9, 1), true },
      { member(Standing::DEAD, 2, 1), member(Standing::LEAVING, 2, 1), true },
      { member(Standing::LEAVING, 3, 1), member(Standing::DEAD, 2, 1), true },
      { member(Standing::ALIVE, 1, 2), member(Standing::LEAVING, 9, 1), true }, // newer incarnation
      { member(Standing::DEAD, 9, 1), member(Standing::ALIVE, 1, 2), false },   // older incarnation
    };
    int n = 0;
    for (const auto& row : rows) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        "row " + std::to_string(n++), row.mSupersedes, Supersedes(row.mNew, row.mKnown));
    }
  }

  void TestUpdatesAboutSelf()
  {
    struct Row
    {
      wire::MemberNews mUpdate;
      std::int64_t mGeneration;
      std::int64_t mStarted;
    };
    const Row rows[] = {
      { MakeMember("self", Standing::SUSPECT, 1, 5), 2, 5 },
      { MakeMember("self", Standing::DEAD, 7, 5), 8, 5 },
      { MakeMember("self", Standing::ALIVE, 3, 5), 1, 5 },
      { MakeMember("self", Standing::DEAD, 0, 5), 1, 5 },
      { MakeMember("self", Standing::ALIVE, 1, 9), 1, 10 }, // an earlier run whose clock was ahead
      { MakeMember("self", Standing::DEAD, 9, 4), 1, 5 },
    };
    for (const auto& row : rows) {
      MembershipCore core(MakeMember("self", Standing::ALIVE, 1, 5), {}, 1);
      core.ApplyUpdates({ row.mUpdate }, TimePoint{});
      CPPUNIT_ASSERT_EQUAL(row.mGeneration, core.Self().generation);
      CPPUNIT_ASSERT_EQUAL(row.mStarted, core.Self().startedMs);
    }
  }

  /// A router whose own process was paused extends its suspicions by that time. Else it would
  /// declare suspects dead that had no chance to refute.
  void TestPausedProcess()
  {
    MembershipCore core(MakeMember("self"), {}, 1);
    ManualClock clock;
    core.ApplyUpdates({ MakeMember("a") }, clock.Now());
    core.StartPeriod(clock.Now());
    core.OnProbeFailed("a", clock.Now());
    clock.Advance(std::chrono::minutes(1));
    core.StartPeriod(clock.Now());
    CPPUNIT_ASSERT(core.Others().at("a").mInfo.standing == Standing::SUSPECT);
    for (int n = 0; n < 4; ++n) {
      clock.Advance(std::chrono::seconds(1));
      core.StartPeriod(clock.Now());
    }
    CPPUNIT_ASSERT(core.Others().at("a").mInfo.standing == Standing::DEAD);
  }

  void TestMessageIsBounded()
  {
    for (const int members : { 3, 48, 720 }) {
      MembershipCore core(MakeMember("self"), {}, 1);
      for (int n = 0; n < members; ++n) {
        core.ApplyUpdates({ MakeMember("r" + std::to_string(n)) }, TimePoint{});
      }
      for (int n = 0; n < members; ++n) {
        const auto maxEntries = MembershipCore::kMaxUpdates + MembershipCore::kSampledMembers + 2;
        CPPUNIT_ASSERT(core.CollectUpdates("r1", false).size() <= maxEntries);
      }
      // After enough messages no pending update is left, and messages carry sampled members only.
      for (int n = 0; n < 30 * members; ++n) {
        core.CollectUpdates("other", false);
      }
      CPPUNIT_ASSERT(core.CollectUpdates("r1", false).size() <=
                     MembershipCore::kSampledMembers + 1);
    }
  }

  void TestEntryPoints()
  {
    struct Row
    {
      std::vector<std::tuple<std::string, Standing::type, std::string, int>> mMembers;
      std::set<std::string> mAllowed; // every chosen address is one of these
      std::size_t mExpectedCount;
    };
    const Row rows[] = {
      { { { "a", Standing::ALIVE, "z1", 0 } }, { "a:1" }, 1 },
      { { { "a", Standing::LEAVING, "z1", 0 }, { "b", Standing::SUSPECT, "z1", 0 } }, {}, 0 },
      { { { "a", Standing::ALIVE, "z1", 0 },
          { "b", Standing::DEAD, "z2", 0 },
          { "c", Standing::LEAVING, "z3", 0 } },
        { "a:1" },
        1 },
      { { { "a", Standing::ALIVE, "z1", 950 },
          { "b", Standing::ALIVE, "z1", 0 },
          { "c", Standing::ALIVE, "z1", 0 },
          { "d", Standing::ALIVE, "z1", 899 } },
        { "b:1", "c:1", "d:1" },
        3 },
      { { { "a", Standing::ALIVE, "z1", 950 }, { "b", Standing::ALIVE, "z1", 990 } },
        { "a:1", "b:1" },
        2 },
    };
    for (const auto& row : rows) {
      std::vector<wire::MemberNews> members;
      for (const auto& [name, standing, zone, load] : row.mMembers) {
        members.push_back(MakeMember(name, standing));
        members.back().zone = zone;
        members.back().loadPermille = load;
      }
      const auto answer = ChooseEntryPoints(members, "library", "");
      CPPUNIT_ASSERT_EQUAL(row.mExpectedCount, answer.size());
      for (const auto& it : answer) {
        CPPUNIT_ASSERT_MESSAGE(it, row.mAllowed.contains(it));
      }
    }
  }

  void TestEntryPointsAreStableAndBalanced()
  {
    std::vector<wire::MemberNews> members;
    for (int n = 0; n < 24; ++n) {
      members.push_back(MakeMember("r" + std::to_string(n)));
      members.back().zone = "z" + std::to_string(n % 4);
    }
    auto remaining = members;
    remaining.erase(remaining.begin() + 5);
    constexpr int kOrganisations = 2'400;
    std::map<std::string, int> first;
    int changedCount = 0;
    for (int n = 0; n < kOrganisations; ++n) {
      const auto name = "o" + std::to_string(n);
      auto answer = ChooseEntryPoints(members, name, "");
      CPPUNIT_ASSERT_EQUAL(kMaxEntryPoints, answer.size());
      ++first[answer.front()];
      const auto later = ChooseEntryPoints(remaining, name, "");
      const bool wasChosen = std::find(answer.begin(), answer.end(), "r5:1") != answer.end();
      // Only the organisations that used the removed router get another answer.
      CPPUNIT_ASSERT(wasChosen || later == answer);
      changedCount += later == answer ? 0 : 1;
      const auto sameZone = ChooseEntryPoints(members, name, "z2");
      const auto at = std::stoi(sameZone.front().substr(1));
      CPPUNIT_ASSERT_EQUAL(2, at % 4);
    }
    CPPUNIT_ASSERT(changedCount < kOrganisations / 4);
    for (const auto& [address, n] : first) {
      CPPUNIT_ASSERT_MESSAGE(address + " " + std::to_string(n), n > 50 && n < 200);
    }
    CPPUNIT_ASSERT_EQUAL(members.size(), first.size());
  }

  /// The record is deleted when its lease expires, for example after a pause of the process, and is
  /// then written again.
  void TestRecordIsRewritten()
  {
    ManualClock clock;
    Metrics metrics;
    standin::MemoryStore store(clock);
    Settings settings;
    settings.mName = "self";
    MembershipService service(settings, "self-1", {}, clock, metrics);
    MemberRecords records(store, service, {}, clock, metrics);
    const auto entries = [&] {
      return store.Range(kMemberKeyPrefix, true, Step::Settings).value().mEntries.size();
    };
    records.RunOnce();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, entries());
    clock.Advance(std::chrono::seconds(301)); // the lease expires
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, entries());
    for (int n = 0; n < 10; ++n) {
      clock.Advance(records.RunOnce());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, entries());
  }

  // A record of another writer ended the thread that reads the members, and with it the process.
  void TestOddRecords()
  {
    for (const auto* value : { "",
                               "?",
                               "5",
                               "[]",
                               "{}",
                               R"({"name":5,"peerAddress":"10.0.0.2:1"})",
                               R"({"name":"x","peerAddress":5})",
                               R"({"name":null,"peerAddress":[]})",
                               R"({"name":"x","peerAddress":"nowhere"})" }) {
      ManualClock clock;
      Metrics metrics;
      standin::MemoryStore store(clock);
      Settings settings;
      settings.mName = "self";
      MembershipService service(settings, "self-1", {}, clock, metrics);
      MemberRecords records(store, service, {}, clock, metrics);
      store.Commit({ {}, { { std::string(kMemberKeyPrefix) + "&x", value } } }, Step::Settings);
      for (int n = 0; n < 5; ++n) {
        clock.Advance(records.RunOnce());
      }
      const auto& failures = metrics.CounterOf("gentianloom_membership_record_failures_total");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(value, std::uint64_t{ 0 }, failures.Value());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

} // namespace gentianloom
