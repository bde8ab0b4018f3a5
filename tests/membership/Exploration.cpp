#include "gentianloom/membership/MembershipCore.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <set>

namespace gentianloom {

namespace {

using wire::Standing;

constexpr std::uint64_t kSeeds = 20;
constexpr std::uint64_t kSeedsOfMany = 6; ///< for 48 members

/// Routers' decision objects on one manual clock, with a network that cuts and loses.
class World
{
public:
  World(std::size_t aMembers, std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    for (std::size_t n = 0; n < aMembers; ++n) {
      wire::MemberNews self;
      self.name = "r" + std::to_string(n);
      self.incarnation = self.name;
      self.startedMs = 1;
      self.peerAddress = self.name;
      mCores.push_back(
        std::make_unique<MembershipCore>(self, MembershipOptions{}, aSeed * 1000 + n));
      if (n > 0) {
        mCores.back()->AddCandidate("r0", "r0"); // one seed only
      }
    }
  }

  bool Passes(std::size_t aFrom, std::size_t aTo)
  {
    const bool lost = std::uniform_real_distribution<>(0, 1)(mRandom) < mLoss;
    return !lost && !mStopped.contains(aFrom) && !mStopped.contains(aTo) && !mCut(aFrom, aTo);
  }

  bool Probe(std::size_t aFrom, std::size_t aTo)
  {
    if (!Passes(aFrom, aTo)) {
      return false;
    }
    auto& from = *mCores[aFrom];
    auto& to = *mCores[aTo];
    const auto& sender = from.Self().name;
    const bool joined = to.AddressOf(sender).empty();
    to.ApplyUpdates(from.NewsFor(to.Self().name, false), mClock.Now());
    const auto answer = to.NewsFor(sender, joined);
    if (!Passes(aTo, aFrom)) {
      return false;
    }
    from.ApplyUpdates(answer, mClock.Now());
    from.OnReached(to.Self().name, mClock.Now());
    return true;
  }

  void Period()
  {
    mClock.Advance(std::chrono::seconds(1));
    for (std::size_t n = 0; n < mCores.size(); ++n) {
      if (mStopped.contains(n)) {
        continue;
      }
      auto& core = *mCores[n];
      const auto target = core.StartPeriod(mClock.Now());
      if (!target) {
        continue;
      }
      const auto to = IndexOf(target->mName);
      bool reached = Probe(n, to);
      for (const auto& it : core.Helpers(target->mName)) {
        const auto helper = IndexOf(it.mName);
        reached = reached || (Probe(n, helper) && Probe(helper, to));
      }
      if (!reached) {
        core.OnMissed(target->mName, mClock.Now());
      }
    }
  }

  /// Runs until every running router sees the standing of another as told. @return periods, or -1
  int Until(const std::function<bool(std::size_t, std::size_t)>& aHolds, int aMost)
  {
    for (int n = 0; n <= aMost; ++n) {
      bool all = true;
      for (std::size_t i = 0; all && i < mCores.size(); ++i) {
        for (std::size_t j = 0; all && j < mCores.size(); ++j) {
          all = i == j || mStopped.contains(i) || aHolds(i, j);
        }
      }
      if (all) {
        return n;
      }
      Period();
    }
    return -1;
  }

  bool Sees(std::size_t aWho, std::size_t aWhom, Standing::type aStanding) const
  {
    const auto& others = mCores[aWho]->Others();
    const auto it = others.find(mCores[aWhom]->Self().name);
    return it != others.end() && it->second.mInfo.standing == aStanding;
  }

  int Join()
  {
    return Until([this](auto aWho, auto aWhom) { return Sees(aWho, aWhom, Standing::ALIVE); }, 120);
  }

  static std::size_t IndexOf(const std::string& aName) { return std::stoul(aName.substr(1)); }

  ManualClock mClock;
  std::mt19937_64 mRandom;
  std::vector<std::unique_ptr<MembershipCore>> mCores;
  std::set<std::size_t> mStopped;
  double mLoss = 0;
  std::function<bool(std::size_t, std::size_t)> mCut = [](auto, auto) { return false; };
};

} // namespace

class MembershipExploration : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MembershipExploration);
  CPPUNIT_TEST(TestDeath);
  CPPUNIT_TEST(TestFreezeAndRefute);
  CPPUNIT_TEST(TestPartitionAndMerge);
  CPPUNIT_TEST(TestOneWayCut);
  CPPUNIT_TEST(TestLoss);
  CPPUNIT_TEST(TestLeaving);
  CPPUNIT_TEST_SUITE_END();

  static void ForSeeds(const std::function<void(std::size_t, std::uint64_t)>& aRun)
  {
    for (const std::size_t members : { 3, 7, 48 }) {
      for (std::uint64_t seed = 1; seed <= (members > 7 ? kSeedsOfMany : kSeeds); ++seed) {
        aRun(members, seed);
      }
    }
  }

  static void Check(bool aGood, const std::string& aWhat, std::size_t aMembers, std::uint64_t aSeed)
  {
    CPPUNIT_ASSERT_MESSAGE(
      aWhat + ", members " + std::to_string(aMembers) + ", seed " + std::to_string(aSeed), aGood);
  }

public:
  void TestDeath()
  {
    ForSeeds([](std::size_t aMembers, std::uint64_t aSeed) {
      World world(aMembers, aSeed);
      Check(world.Join() >= 0, "did not join", aMembers, aSeed);
      world.mStopped = { aMembers - 1 };
      const auto dead = [&](auto aWho, auto aWhom) {
        return world.Sees(aWho, aWhom, aWhom == aMembers - 1 ? Standing::DEAD : Standing::ALIVE);
      };
      Check(world.Until(dead, 19) >= 0, "not noticed in 19 s", aMembers, aSeed);
    });
  }

  void TestFreezeAndRefute()
  {
    ForSeeds([](std::size_t aMembers, std::uint64_t aSeed) {
      World world(aMembers, aSeed);
      world.Join();
      world.mStopped = { 1 };
      for (int n = 0; n < 40; ++n) {
        world.Period();
      }
      world.mStopped.clear();
      Check(world.Join() >= 0, "not refuted", aMembers, aSeed);
      Check(world.mCores[1]->Refutations() > 0, "no refutation", aMembers, aSeed);
    });
  }

  void TestPartitionAndMerge()
  {
    ForSeeds([](std::size_t aMembers, std::uint64_t aSeed) {
      World world(aMembers, aSeed);
      world.Join();
      const auto side = [&](auto aWho) { return aWho < aMembers / 2; };
      world.mCut = [&](auto aWho, auto aWhom) { return side(aWho) != side(aWhom); };
      const auto apart = [&](auto aWho, auto aWhom) {
        return world.Sees(
          aWho, aWhom, side(aWho) == side(aWhom) ? Standing::ALIVE : Standing::DEAD);
      };
      Check(world.Until(apart, 300) >= 0, "sides do not part", aMembers, aSeed);
      for (int n = 0; n < 600; ++n) {
        world.Period();
      }
      world.mCut = [](auto, auto) { return false; };
      Check(world.Join() >= 0, "sides do not merge", aMembers, aSeed);
    });
  }

  /// Helpers get round a cut between two routers, in one direction or both.
  void TestOneWayCut()
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      World world(7, seed);
      world.Join();
      world.mCut = [](auto aWho, auto aWhom) { return aWho == 1 && aWhom == 2; };
      for (int n = 0; n < 200; ++n) {
        world.Period();
        Check(world.Sees(1, 2, Standing::ALIVE) && world.Sees(2, 1, Standing::ALIVE),
              "suspected though helpers reach it",
              7,
              seed);
      }
    }
  }

  /// With one message in twenty lost, a suspicion is refuted before it becomes a death.
  void TestLoss()
  {
    ForSeeds([](std::size_t aMembers, std::uint64_t aSeed) {
      World world(aMembers, aSeed);
      world.Join();
      world.mLoss = 0.05;
      for (int n = 0; n < 300; ++n) {
        world.Period();
        for (std::size_t i = 0; i < aMembers; ++i) {
          for (std::size_t j = 0; j < aMembers; ++j) {
            Check(i == j || !world.Sees(i, j, Standing::DEAD), "false death", aMembers, aSeed);
          }
        }
      }
    });
  }

  void TestLeaving()
  {
    ForSeeds([](std::size_t aMembers, std::uint64_t aSeed) {
      World world(aMembers, aSeed);
      world.Join();
      world.mCores[1]->Leave();
      const auto leaving = [&](auto aWho, auto aWhom) {
        return aWhom != 1 || world.Sees(aWho, aWhom, Standing::LEAVING);
      };
      Check(world.Until(leaving, 15) >= 0, "leaving is not known in 15 s", aMembers, aSeed);
      for (int n = 0; n < 60; ++n) {
        world.Period();
        Check(world.Until(leaving, 0) == 0, "leaving was forgotten", aMembers, aSeed);
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipExploration);

} // namespace gentianloom
