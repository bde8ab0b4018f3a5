#include "gentianloom/membership/EntryPoints.h"
#include "gentianloom/membership/MemberRecords.h"

#include "MemoryStore.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

namespace gentianloom {

namespace {

using wire::Standing;

wire::MemberNews News(const std::string& aName,
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
  CPPUNIT_TEST(TestSelf);
  CPPUNIT_TEST(TestPause);
  CPPUNIT_TEST(TestMessageIsBounded);
  CPPUNIT_TEST(TestEntryPoints);
  CPPUNIT_TEST(TestEntryPointsAreSteadyAndSpread);
  CPPUNIT_TEST(TestRecords);
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
    const auto news = [](Standing::type aStanding, std::int64_t aGeneration, std::int64_t aRun) {
      return News("a", aStanding, aGeneration, aRun);
    };
    const Row rows[] = {
      { news(Standing::ALIVE, 1, 1), news(Standing::ALIVE, 1, 1), false },
      { news(Standing::SUSPECT, 1, 1), news(Standing::ALIVE, 1, 1), true },
      { news(Standing::ALIVE, 1, 1), news(Standing::SUSPECT, 1, 1), false },
      { news(Standing::ALIVE, 2, 1), news(Standing::SUSPECT, 1, 1), true }, // refuted
      { news(Standing::ALIVE, 2, 1), news(Standing::DEAD, 1, 1), true },    // refuted late
      { news(Standing::ALIVE, 1, 1), news(Standing::DEAD, 1, 1), false },
      { news(Standing::ALIVE, 9, 1), news(Standing::LEAVING, 1, 1), false }, // leaving is for good
      { news(Standing::SUSPECT, 9, 1), news(Standing::LEAVING, 1, 1), false },
      { news(Standing::LEAVING, 1, 1), news(Standing::ALIVE, 9, 1), true },
      { news(Standing::DEAD, 2, 1), news(Standing::LEAVING, 2, 1), true },
      { news(Standing::LEAVING, 3, 1), news(Standing::DEAD, 2, 1), true },
      { news(Standing::ALIVE, 1, 2), news(Standing::LEAVING, 9, 1), true }, // newer run
      { news(Standing::DEAD, 9, 1), news(Standing::ALIVE, 1, 2), false },   // older run
    };
    int n = 0;
    for (const auto& row : rows) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        "row " + std::to_string(n++), row.mSupersedes, Supersedes(row.mNew, row.mKnown));
    }
  }

  void TestSelf()
  {
    struct Row
    {
      wire::MemberNews mSaid;
      std::int64_t mGeneration;
      std::int64_t mStarted;
    };
    const Row rows[] = {
      { News("self", Standing::SUSPECT, 1, 5), 2, 5 }, { News("self", Standing::DEAD, 7, 5), 8, 5 },
      { News("self", Standing::ALIVE, 3, 5), 1, 5 },   { News("self", Standing::DEAD, 0, 5), 1, 5 },
      { News("self", Standing::ALIVE, 1, 9), 1, 10 }, // an earlier run whose clock was ahead
      { News("self", Standing::DEAD, 9, 4), 1, 5 },
    };
    for (const auto& row : rows) {
      MembershipCore core(News("self", Standing::ALIVE, 1, 5), {}, 1);
      core.ApplyUpdates({ row.mSaid }, TimePoint{});
      CPPUNIT_ASSERT_EQUAL(row.mGeneration, core.Self().generation);
      CPPUNIT_ASSERT_EQUAL(row.mStarted, core.Self().startedMs);
    }
  }

  /// A router that was paused itself gives those whom it suspects the time back.
  void TestPause()
  {
    MembershipCore core(News("self"), {}, 1);
    ManualClock clock;
    core.ApplyUpdates({ News("a") }, clock.Now());
    core.StartPeriod(clock.Now());
    core.OnMissed("a", clock.Now());
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
      MembershipCore core(News("self"), {}, 1);
      for (int n = 0; n < members; ++n) {
        core.ApplyUpdates({ News("r" + std::to_string(n)) }, TimePoint{});
      }
      for (int n = 0; n < members; ++n) {
        const auto most = MembershipCore::kMostNews + MembershipCore::kSample + 2;
        CPPUNIT_ASSERT(core.NewsFor("r1", false).size() <= most);
      }
      // After enough messages no piece of news is left; only samples go along.
      for (int n = 0; n < 30 * members; ++n) {
        core.NewsFor("other", false);
      }
      CPPUNIT_ASSERT(core.NewsFor("r1", false).size() <= MembershipCore::kSample + 1);
    }
  }

  void TestEntryPoints()
  {
    struct Row
    {
      std::vector<std::tuple<std::string, Standing::type, std::string, int>> mMembers;
      std::set<std::string> mOffered; // of these
      std::size_t mCount;
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
        members.push_back(News(name, standing));
        members.back().zone = zone;
        members.back().loadPermille = load;
      }
      const auto answer = ChooseEntryPoints(members, "library", "");
      CPPUNIT_ASSERT_EQUAL(row.mCount, answer.size());
      for (const auto& it : answer) {
        CPPUNIT_ASSERT_MESSAGE(it, row.mOffered.contains(it));
      }
    }
  }

  void TestEntryPointsAreSteadyAndSpread()
  {
    std::vector<wire::MemberNews> members;
    for (int n = 0; n < 24; ++n) {
      members.push_back(News("r" + std::to_string(n)));
      members.back().zone = "z" + std::to_string(n % 4);
    }
    auto fewer = members;
    fewer.erase(fewer.begin() + 5);
    constexpr int kOrganisations = 2'400;
    std::map<std::string, int> first;
    int moved = 0;
    for (int n = 0; n < kOrganisations; ++n) {
      const auto name = "o" + std::to_string(n);
      auto answer = ChooseEntryPoints(members, name, "");
      CPPUNIT_ASSERT_EQUAL(kMostEntryPoints, answer.size());
      ++first[answer.front()];
      const auto later = ChooseEntryPoints(fewer, name, "");
      const bool had = std::find(answer.begin(), answer.end(), "r5:1") != answer.end();
      CPPUNIT_ASSERT(had || later == answer); // only the share of the one that went moves
      moved += later == answer ? 0 : 1;
      const auto near = ChooseEntryPoints(members, name, "z2");
      const auto at = std::stoi(near.front().substr(1));
      CPPUNIT_ASSERT_EQUAL(2, at % 4);
    }
    CPPUNIT_ASSERT(moved < kOrganisations / 4);
    for (const auto& [address, n] : first) {
      CPPUNIT_ASSERT_MESSAGE(address + " " + std::to_string(n), n > 50 && n < 200);
    }
    CPPUNIT_ASSERT_EQUAL(members.size(), first.size());
  }

  /// The record vanishes with its lease and is written again; others' records become candidates.
  void TestRecords()
  {
    ManualClock clock;
    Metrics metrics;
    standin::MemoryStore store(clock);
    Settings settings;
    settings.mName = "self";
    MembershipService duty(settings, "self-1", {}, clock, metrics);
    MemberRecords records(store, duty, {}, clock, metrics);
    const auto entries = [&] {
      return store.Range(kMembersPrefix, true, Step::Settings).value().mEntries.size();
    };
    records.RunOnce();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, entries());
    clock.Advance(std::chrono::seconds(301)); // paused past its lease
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, entries());
    for (int n = 0; n < 10; ++n) {
      clock.Advance(records.RunOnce());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, entries());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

} // namespace gentianloom
