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
constexpr int kHarmlessRequests = 12;
constexpr int kSteps = 400;

/// Simulates routers with their crash guards, endpoints that crash when they run the poison
/// request, and delayed gossip.
class CrashSimulation
{
public:
  explicit CrashSimulation(std::uint64_t aSeed, bool aGossipEnabled)
    : mRandom(aSeed)
    , mGossipEnabled(aGossipEnabled)
    , mConfiguration(MakeConfiguration())
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
        mTables.back()->Update(ListedEndpoint{ it.mName, "127.0.0.1:1", "z" });
      }
    }
  }

  /// @brief Simulates callers that repeat the poison request, and each harmless request until it is
  /// answered.
  void Run()
  {
    for (int step = 0; step < kSteps; ++step) {
      mClock.Advance(Millis(100));
      SendLoadReports();
      if (step % 10 == 0) {
        Send(static_cast<int>(mRandom() % kRouters), "poison");
      }
      for (int n = 0; n < kHarmlessRequests; ++n) {
        const auto name = "harmless-" + std::to_string(n);
        if (!mRunning.contains(name) && !mAnswered.contains(name)) {
          Send(static_cast<int>(mRandom() % kRouters), name);
        }
      }
      CompleteRandomRequests();
      DeliverObservations();
    }
  }

  std::set<std::string> mCrashed;
  std::set<std::string> mAnswered;
  std::set<std::string> mBlockedHarmless;
  int mPoisonRefusals = 0;

private:
  struct SentRequest
  {
    int mRouter = 0;
    std::string mEndpoint;
  };

  static AcceptedConfiguration MakeConfiguration()
  {
    Configuration out;
    for (int n = 0; n < kEndpoints; ++n) {
      out.mEndpoints.push_back({ "e" + std::to_string(n), "z", "m" });
    }
    return { 1, "digest", out };
  }

  void SendLoadReports()
  {
    for (const auto& table : mTables) {
      for (const auto& it : mConfiguration.Spec().mEndpoints) {
        if (!mCrashed.contains(it.mName)) {
          LoadReport report;
          report.mEndpoint = it.mName;
          report.mRunId = "run";
          table->Update(report);
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
      mPoisonRefusals += blocked && aName == "poison" ? 1 : 0;
      if (blocked && aName != "poison") {
        mBlockedHarmless.insert(aName);
      }
      return;
    }
    const auto& endpoint = placed.value().mEndpoint;
    if (mCrashed.contains(endpoint)) {
      table.Release(endpoint);
      table.OnAttempt({ endpoint, aName, AttemptOutcome::NotReached });
      return;
    }
    mRunning.emplace(aName, SentRequest{ aRouter, endpoint });
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
        End(it, AttemptOutcome::Interrupted);
      }
      it = next;
    }
  }

  void CompleteRandomRequests()
  {
    for (auto it = mRunning.begin(); it != mRunning.end();) {
      const auto next = std::next(it);
      if (mRandom() % 20 == 0) {
        mAnswered.insert(it->first);
        End(it, AttemptOutcome::Done);
      }
      it = next;
    }
  }

  void End(std::multimap<std::string, SentRequest>::iterator aRequest, AttemptOutcome aOutcome)
  {
    auto& table = *mTables[static_cast<std::size_t>(aRequest->second.mRouter)];
    table.Release(aRequest->second.mEndpoint);
    table.OnAttempt({ aRequest->second.mEndpoint, aRequest->first, aOutcome });
    mRunning.erase(aRequest);
  }

  /// @brief Delivers observations to the other routers, sometimes twice.
  void DeliverObservations()
  {
    for (const auto& from : mGuards) {
      for (const auto& observation : from->TakeObservations()) {
        for (const auto& to : mGuards) {
          for (std::uint64_t n = 0; mGossipEnabled && to != from && n < 1 + mRandom() % 2; ++n) {
            to->MergeObservation(observation);
          }
        }
      }
    }
  }

  RandomSource mRandom;
  bool mGossipEnabled;
  ManualClock mClock;
  AcceptedConfiguration mConfiguration;
  std::vector<std::unique_ptr<CrashGuard>> mGuards;
  std::vector<std::unique_ptr<EndpointTable>> mTables;
  std::multimap<std::string, SentRequest> mRunning;
};

} // namespace

/// Runs the placement and the crash guard with one poison request among harmless ones, for many
/// seeds. Guards against blocking harmless requests and against more than two crashed endpoints.
class CrashExploration : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashExploration);
  CPPUNIT_TEST(TestSeeds);
  CPPUNIT_TEST(TestGossipIsNeeded);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestSeeds()
  {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
      CrashSimulation simulation(seed, /*aGossipEnabled=*/true);
      simulation.Run();
      const auto seedText = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(seedText, std::size_t{ 2 }, simulation.mCrashed.size());
      CPPUNIT_ASSERT_MESSAGE(seedText, simulation.mPoisonRefusals > 0);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(seedText, std::size_t{ 0 }, simulation.mBlockedHarmless.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        seedText, std::size_t{ kHarmlessRequests }, simulation.mAnswered.size());
    }
  }

  /// Shows that the simulation detects the failure: without gossip, more than two endpoints crash.
  void TestGossipIsNeeded()
  {
    std::size_t maxCrashed = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      CrashSimulation simulation(seed, /*aGossipEnabled=*/false);
      simulation.Run();
      maxCrashed = std::max(maxCrashed, simulation.mCrashed.size());
    }
    CPPUNIT_ASSERT(maxCrashed > 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashExploration);

} // namespace gentianloom
