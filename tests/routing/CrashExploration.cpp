#include "gentianloom/routing/EndpointTable.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <set>

namespace gentianloom {

namespace {

using std::chrono::seconds;

constexpr int kRouters = 3;
constexpr int kEndpoints = 5;
constexpr int kInnocents = 12;
constexpr int kSteps = 400;

/// Routers with their guards, endpoints that crash on the poison, and news that travels late.
class CrashWorld
{
public:
  explicit CrashWorld(std::uint64_t aSeed, bool aNewsTravels)
    : mRandom(aSeed)
    , mNewsTravels(aNewsTravels)
    , mConfiguration(Stated())
  {
    for (int n = 0; n < kRouters; ++n) {
      const auto name = "router-" + std::to_string(n);
      mGuards.push_back(std::make_unique<CrashGuard>(CrashGuardSettings{}, mClock, name));
      mTables.push_back(std::make_unique<EndpointTable>(std::map<std::string, std::string>{},
                                                        RoutingSettings{},
                                                        Millis(3'000),
                                                        mClock,
                                                        mGuards.back().get(),
                                                        aSeed + static_cast<std::uint64_t>(n)));
      for (const auto& it : mConfiguration.Spec().mEndpoints) {
        mTables.back()->Learn(EndpointState{ it.mName, "127.0.0.1:1", "z" });
      }
    }
  }

  /// @brief Runs callers for a while, one poison among innocents that are sent until answered.
  void Run()
  {
    for (int step = 0; step < kSteps; ++step) {
      mClock.Advance(Millis(100));
      Report();
      if (step % 10 == 0) {
        Send(static_cast<int>(mRandom() % kRouters), "poison");
      }
      for (int n = 0; n < kInnocents; ++n) {
        const auto name = "innocent-" + std::to_string(n);
        if (!mRunning.contains(name) && !mAnswered.contains(name)) {
          Send(static_cast<int>(mRandom() % kRouters), name);
        }
      }
      EndSome();
      Spread();
    }
  }

  std::set<std::string> mCrashed;
  std::set<std::string> mAnswered;
  std::set<std::string> mBlockedInnocents;
  int mPoisonRefused = 0;

private:
  struct Sent
  {
    int mRouter = 0;
    std::string mEndpoint;
  };

  static AcceptedConfiguration Stated()
  {
    Configuration out;
    for (int n = 0; n < kEndpoints; ++n) {
      out.mEndpoints.push_back({ "e" + std::to_string(n), "z", "m" });
    }
    return { 1, "digest", out };
  }

  void Report()
  {
    for (const auto& table : mTables) {
      for (const auto& it : mConfiguration.Spec().mEndpoints) {
        if (!mCrashed.contains(it.mName)) {
          LoadReport report;
          report.mEndpoint = it.mName;
          report.mRun = "run";
          table->Learn(report);
        }
      }
    }
  }

  void Send(int aRouter, const std::string& aName)
  {
    auto& table = *mTables[static_cast<std::size_t>(aRouter)];
    const auto placed = table.PlaceModel(mConfiguration, "m", "z", {}, { aName, "", {} });
    if (!placed) {
      const bool blocked = placed.error().mCode == ErrorCode::RequestCrashesEndpoints;
      mPoisonRefused += blocked && aName == "poison" ? 1 : 0;
      if (blocked && aName != "poison") {
        mBlockedInnocents.insert(aName);
      }
      return;
    }
    const auto& endpoint = placed.value().mEndpoint;
    if (mCrashed.contains(endpoint)) {
      table.Release(endpoint);
      table.OnAttempt({ endpoint, aName, AttemptEnd::NotReached });
      return;
    }
    mRunning.emplace(aName, Sent{ aRouter, endpoint });
    if (aName == "poison") {
      Crash(endpoint);
    }
  }

  void Crash(const std::string& aEndpoint)
  {
    mCrashed.insert(aEndpoint);
    for (auto it = mRunning.begin(); it != mRunning.end();) {
      const auto next = std::next(it);
      if (it->second.mEndpoint == aEndpoint) {
        End(it, AttemptEnd::Broke);
      }
      it = next;
    }
  }

  void EndSome()
  {
    for (auto it = mRunning.begin(); it != mRunning.end();) {
      const auto next = std::next(it);
      if (mRandom() % 20 == 0) {
        mAnswered.insert(it->first);
        End(it, AttemptEnd::Done);
      }
      it = next;
    }
  }

  void End(std::multimap<std::string, Sent>::iterator aRun, AttemptEnd aEnd)
  {
    auto& table = *mTables[static_cast<std::size_t>(aRun->second.mRouter)];
    table.Release(aRun->second.mEndpoint);
    table.OnAttempt({ aRun->second.mEndpoint, aRun->first, aEnd });
    mRunning.erase(aRun);
  }

  /// @brief News travels within a second, sometimes twice.
  void Spread()
  {
    for (const auto& from : mGuards) {
      for (const auto& news : from->TakeNews()) {
        for (const auto& to : mGuards) {
          for (std::uint64_t n = 0; mNewsTravels && to != from && n < 1 + mRandom() % 2; ++n) {
            to->Learn(news);
          }
        }
      }
    }
  }

  RandomSource mRandom;
  bool mNewsTravels;
  ManualClock mClock;
  AcceptedConfiguration mConfiguration;
  std::vector<std::unique_ptr<CrashGuard>> mGuards;
  std::vector<std::unique_ptr<EndpointTable>> mTables;
  std::multimap<std::string, Sent> mRunning;
};

} // namespace

/// A poison request among innocents, by seeds, on the real placement and crash guard.
class CrashExploration : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashExploration);
  CPPUNIT_TEST(TestSeeds);
  CPPUNIT_TEST(TestNewsIsNeeded);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestSeeds()
  {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
      CrashWorld world(seed, true);
      world.Run();
      const auto text = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t{ 2 }, world.mCrashed.size());
      CPPUNIT_ASSERT_MESSAGE(text, world.mPoisonRefused > 0);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t{ 0 }, world.mBlockedInnocents.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t{ kInnocents }, world.mAnswered.size());
    }
  }

  /// The world can show the fault: without news between routers more endpoints go down.
  void TestNewsIsNeeded()
  {
    std::size_t most = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      CrashWorld world(seed, false);
      world.Run();
      most = std::max(most, world.mCrashed.size());
    }
    CPPUNIT_ASSERT(most > 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashExploration);

} // namespace gentianloom
