#include "gentianloom/membership/MembershipCore.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <set>

namespace gentianloom {

namespace {

using wire::Standing;

constexpr std::uint64_t kSeeds = 20;
constexpr std::uint64_t kLargeFleetSeeds = 6; ///< for fleets of 48 routers

/// Simulates a fleet: one MembershipCore per router, one manual clock, and a network that can lose
/// messages and block links.
class SimulatedFleet
{
public:
  SimulatedFleet(std::size_t aMembers, std::uint64_t aSeed)
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
        mCores.back()->AddCandidate("r0", "r0"); // the only known address at the start
      }
    }
  }

  bool IsDelivered(std::size_t aFrom, std::size_t aTo)
  {
    const bool lost = std::uniform_real_distribution<>(0, 1)(mRandom) < mLossRate;
    return !lost && !mStoppedMembers.contains(aFrom) && !mStoppedMembers.contains(aTo) &&
           !mIsCut(aFrom, aTo);
  }

  bool Probe(std::size_t aFrom, std::size_t aTo)
  {
    if (!IsDelivered(aFrom, aTo)) {
      return false;
    }
    auto& from = *mCores[aFrom];
    auto& to = *mCores[aTo];
    const auto& sender = from.Self().name;
    const bool joined = to.AddressOf(sender).empty();
    to.ApplyUpdates(from.CollectUpdates(to.Self().name, false), mClock.Now());
    const auto answer = to.CollectUpdates(sender, joined);
    if (!IsDelivered(aTo, aFrom)) {
      return false;
    }
    from.ApplyUpdates(answer, mClock.Now());
    from.OnContact(to.Self().name, mClock.Now());
    return true;
  }

  void RunPeriod()
  {
    mClock.Advance(std::chrono::seconds(1));
    for (std::size_t n = 0; n < mCores.size(); ++n) {
      if (mStoppedMembers.contains(n)) {
        continue;
      }
      auto& core = *mCores[n];
      const auto target = core.StartPeriod(mClock.Now());
      if (!target) {
        continue;
      }
      const auto to = IndexOf(target->mName);
      bool reached = Probe(n, to);
      for (const auto& it : core.ChooseHelpers(target->mName)) {
        const auto helper = IndexOf(it.mName);
        reached = reached || (Probe(n, helper) && Probe(helper, to));
      }
      if (!reached) {
        core.OnProbeFailed(target->mName, mClock.Now());
      }
    }
  }

  /// Runs until the condition holds for each pair of a running router and another member.
  /// @return number of periods, or -1 if the condition does not hold after aMaxPeriods
  int RunUntil(const std::function<bool(std::size_t, std::size_t)>& aCondition, int aMaxPeriods)
  {
    for (int n = 0; n <= aMaxPeriods; ++n) {
      bool all = true;
      for (std::size_t i = 0; all && i < mCores.size(); ++i) {
        for (std::size_t j = 0; all && j < mCores.size(); ++j) {
          all = i == j || mStoppedMembers.contains(i) || aCondition(i, j);
        }
      }
      if (all) {
        return n;
      }
      RunPeriod();
    }
    return -1;
  }

  bool Sees(std::size_t aObserver, std::size_t aMember, Standing::type aStanding) const
  {
    const auto& others = mCores[aObserver]->Others();
    const auto it = others.find(mCores[aMember]->Self().name);
    return it != others.end() && it->second.mInfo.standing == aStanding;
  }

  int RunUntilJoined()
  {
    return RunUntil(
      [this](auto aObserver, auto aMember) { return Sees(aObserver, aMember, Standing::ALIVE); },
      120);
  }

  static std::size_t IndexOf(const std::string& aName) { return std::stoul(aName.substr(1)); }

  ManualClock mClock;
  std::mt19937_64 mRandom;
  std::vector<std::unique_ptr<MembershipCore>> mCores;
  std::set<std::size_t> mStoppedMembers;
  double mLossRate = 0;
  std::function<bool(std::size_t, std::size_t)> mIsCut = [](auto, auto) { return false; };
};

} // namespace

class MembershipExploration : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MembershipExploration);
  CPPUNIT_TEST(TestStoppedMemberIsDetected);
  CPPUNIT_TEST(TestFrozenMemberRefutes);
  CPPUNIT_TEST(TestPartitionAndMerge);
  CPPUNIT_TEST(TestHelpersBridgeOneWayCut);
  CPPUNIT_TEST(TestNoFalseDeathUnderLoss);
  CPPUNIT_TEST(TestLeaving);
  CPPUNIT_TEST_SUITE_END();

  static void ForSeeds(const std::function<void(std::size_t, std::uint64_t)>& aRun)
  {
    for (const std::size_t members : { 3, 7, 48 }) {
      for (std::uint64_t seed = 1; seed <= (members > 7 ? kLargeFleetSeeds : kSeeds); ++seed) {
        aRun(members, seed);
      }
    }
  }

  static void Require(bool aCondition,
                      const std::string& aMessage,
                      std::size_t aMembers,
                      std::uint64_t aSeed)
  {
    CPPUNIT_ASSERT_MESSAGE(aMessage + ", members " + std::to_string(aMembers) + ", seed " +
                             std::to_string(aSeed),
                           aCondition);
  }

public:
  void TestStoppedMemberIsDetected()
  {
    ForSeeds([](std::size_t aMembers, std::uint64_t aSeed) {
      SimulatedFleet fleet(aMembers, aSeed);
      Require(fleet.RunUntilJoined() >= 0, "the fleet did not form", aMembers, aSeed);
      fleet.mStoppedMembers = { aMembers - 1 };
      const auto isDeadSeen = [&](auto aObserver, auto aMember) {
        return fleet.Sees(
          aObserver, aMember, aMember == aMembers - 1 ? Standing::DEAD : Standing::ALIVE);
      };
      Require(
        fleet.RunUntil(isDeadSeen, 19) >= 0, "death not detected within 19 s", aMembers, aSeed);
    });
  }

  void TestFrozenMemberRefutes()
  {
    ForSeeds([](std::size_t aMembers, std::uint64_t aSeed) {
      SimulatedFleet fleet(aMembers, aSeed);
      fleet.RunUntilJoined();
      fleet.mStoppedMembers = { 1 };
      for (int n = 0; n < 40; ++n) {
        fleet.RunPeriod();
      }
      fleet.mStoppedMembers.clear();
      Require(fleet.RunUntilJoined() >= 0, "the death was not refuted", aMembers, aSeed);
      Require(fleet.mCores[1]->Refutations() > 0, "no refutation was counted", aMembers, aSeed);
    });
  }

  void TestPartitionAndMerge()
  {
    ForSeeds([](std::size_t aMembers, std::uint64_t aSeed) {
      SimulatedFleet fleet(aMembers, aSeed);
      fleet.RunUntilJoined();
      const auto side = [&](auto aObserver) { return aObserver < aMembers / 2; };
      fleet.mIsCut = [&](auto aObserver, auto aMember) { return side(aObserver) != side(aMember); };
      const auto isSplitSeen = [&](auto aObserver, auto aMember) {
        return fleet.Sees(
          aObserver, aMember, side(aObserver) == side(aMember) ? Standing::ALIVE : Standing::DEAD);
      };
      Require(fleet.RunUntil(isSplitSeen, 300) >= 0,
              "the sides do not declare each other dead",
              aMembers,
              aSeed);
      for (int n = 0; n < 600; ++n) {
        fleet.RunPeriod();
      }
      fleet.mIsCut = [](auto, auto) { return false; };
      Require(
        fleet.RunUntilJoined() >= 0, "the sides do not merge after the partition", aMembers, aSeed);
    });
  }

  /// A link that is blocked in one direction causes no suspicion, because helpers reach the target.
  void TestHelpersBridgeOneWayCut()
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      SimulatedFleet fleet(7, seed);
      fleet.RunUntilJoined();
      fleet.mIsCut = [](auto aObserver, auto aMember) { return aObserver == 1 && aMember == 2; };
      for (int n = 0; n < 200; ++n) {
        fleet.RunPeriod();
        Require(fleet.Sees(1, 2, Standing::ALIVE) && fleet.Sees(2, 1, Standing::ALIVE),
                "suspected although helpers reach it",
                7,
                seed);
      }
    }
  }

  /// At a loss rate of 5%, every suspicion is refuted before the member is declared dead.
  void TestNoFalseDeathUnderLoss()
  {
    ForSeeds([](std::size_t aMembers, std::uint64_t aSeed) {
      SimulatedFleet fleet(aMembers, aSeed);
      fleet.RunUntilJoined();
      fleet.mLossRate = 0.05;
      for (int n = 0; n < 300; ++n) {
        fleet.RunPeriod();
        for (std::size_t i = 0; i < aMembers; ++i) {
          for (std::size_t j = 0; j < aMembers; ++j) {
            Require(i == j || !fleet.Sees(i, j, Standing::DEAD),
                    "a running member was declared dead",
                    aMembers,
                    aSeed);
          }
        }
      }
    });
  }

  void TestLeaving()
  {
    ForSeeds([](std::size_t aMembers, std::uint64_t aSeed) {
      SimulatedFleet fleet(aMembers, aSeed);
      fleet.RunUntilJoined();
      fleet.mCores[1]->Leave();
      const auto isLeavingSeen = [&](auto aObserver, auto aMember) {
        return aMember != 1 || fleet.Sees(aObserver, aMember, Standing::LEAVING);
      };
      Require(
        fleet.RunUntil(isLeavingSeen, 15) >= 0, "leaving not known within 15 s", aMembers, aSeed);
      for (int n = 0; n < 60; ++n) {
        fleet.RunPeriod();
        Require(fleet.RunUntil(isLeavingSeen, 0) == 0, "leaving was overridden", aMembers, aSeed);
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipExploration);

} // namespace gentianloom
