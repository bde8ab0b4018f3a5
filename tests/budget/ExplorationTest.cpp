#include "BudgetSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

namespace gentianloom::fault {

namespace {

constexpr std::uint64_t kFirstSeed = 1;
constexpr std::uint64_t kSchedules = 20'000;
constexpr std::uint64_t kPlantSchedules = 2'000;
constexpr std::size_t kSteps = 300;

using Schedule = std::vector<std::uint64_t>;

BudgetSimulation::Options OptionsOf(std::uint64_t aSeed, std::string_view aPlant)
{
  static constexpr std::array kPolicies = { "fixed", "demand", "shrinking" };
  BudgetSimulation::Options out;
  out.mRouters = 3 + aSeed % 5;
  out.mPolicy = kPolicies[aSeed % kPolicies.size()];
  out.mMutant = aPlant;
  return out;
}

void Add(Coverage& aSum, const Coverage& aRun)
{
  aSum.mReserved += aRun.mReserved;
  aSum.mRefused += aRun.mRefused;
  aSum.mLanded += aRun.mLanded;
  aSum.mConflicts += aRun.mConflicts;
  aSum.mLostAnswers += aRun.mLostAnswers;
  aSum.mCredited += aRun.mCredited;
  aSum.mReruns += aRun.mReruns;
  aSum.mKilled += aRun.mKilled;
  aSum.mReleased += aRun.mReleased;
  aSum.mLowered += aRun.mLowered;
  aSum.mClosed += aRun.mClosed;
}

/// Runs a schedule. @return the violation, empty if all held
std::string RunSchedule(const BudgetSimulation::Options& aOptions,
                        const Schedule& aSchedule,
                        Coverage* aCoverage = nullptr,
                        std::vector<std::string>* aEvents = nullptr)
{
  BudgetSimulation world(aOptions, [](Step, std::size_t) {});
  for (const auto it : aSchedule) {
    world.RunEvent(it);
    if (aEvents != nullptr) {
      aEvents->push_back(world.LastEvent());
    }
    if (!world.Violation().empty()) {
      return world.Violation();
    }
  }
  world.EndFaults();
  if (aCoverage != nullptr) {
    Add(*aCoverage, world.Seen());
  }
  return world.Violation();
}

/// Leaves out parts of a failing schedule for as long as it still fails.
Schedule Shorten(const BudgetSimulation::Options& aOptions, Schedule aSchedule)
{
  for (std::size_t part = aSchedule.size() / 2; part > 0; part /= 2) {
    for (std::size_t from = 0; from < aSchedule.size();) {
      auto shorter = aSchedule;
      const auto begin = shorter.begin() + static_cast<std::ptrdiff_t>(from);
      const auto length = std::min(part, shorter.size() - from);
      shorter.erase(begin, begin + static_cast<std::ptrdiff_t>(length));
      if (RunSchedule(aOptions, shorter).empty()) {
        from += part;
        continue;
      }
      aSchedule = std::move(shorter);
    }
  }
  return aSchedule;
}

/// Explores schedules by seed. @return report of the first that fails, empty if none does
std::string Explore(std::uint64_t aSchedules, std::string_view aPlant, Coverage& aCoverage)
{
  for (auto seed = kFirstSeed; seed < kFirstSeed + aSchedules; ++seed) {
    Random random(seed);
    Schedule schedule;
    for (std::size_t n = 0; n < kSteps; ++n) {
      schedule.push_back(random.Next());
    }
    const auto options = OptionsOf(seed, aPlant);
    if (RunSchedule(options, schedule, &aCoverage).empty()) {
      continue;
    }
    const auto shorter = Shorten(options, schedule);
    std::vector<std::string> events;
    const auto violation = RunSchedule(options, shorter, nullptr, &events);
    std::string out = "seed " + std::to_string(seed) + ", " + std::to_string(shorter.size()) +
                      " of " + std::to_string(kSteps) + " events: " + violation;
    for (const auto& it : events) {
      out += "\n  " + it;
    }
    return out;
  }
  return {};
}

} // namespace

/// Random interleavings of routers, a store and operators; both promises are checked at each step.
class ExplorationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ExplorationTest);
  CPPUNIT_TEST(TestPromises);
  CPPUNIT_TEST(TestPlants);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestPromises()
  {
    Coverage it;
    const auto report = Explore(kSchedules, "", it);
    CPPUNIT_ASSERT_MESSAGE(report, report.empty());
    // A schedule that brings nothing about proves nothing.
    const std::pair<std::string_view, std::uint64_t> seen[] = {
      { "reserved", it.mReserved },
      { "refused", it.mRefused },
      { "landed", it.mLanded },
      { "conflicts", it.mConflicts },
      { "lost answers", it.mLostAnswers },
      { "transfers credited", it.mCredited },
      { "reruns", it.mReruns },
      { "killed", it.mKilled },
      { "released", it.mReleased },
      { "lowered", it.mLowered },
      { "closed", it.mClosed },
    };
    for (const auto& [name, count] : seen) {
      std::cout << "\n" << name << ": " << count;
      CPPUNIT_ASSERT_MESSAGE(std::string(name) + " too rarely", count >= kSchedules / 4);
    }
  }

  void TestPlants()
  {
    for (const auto plant : kMutants) {
      Coverage seen;
      const auto report = Explore(kPlantSchedules, plant, seen);
      CPPUNIT_ASSERT_MESSAGE("not found: " + std::string(plant), !report.empty());
      std::cout << "\n" << plant << ": " << report << "\n";
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExplorationTest);

} // namespace gentianloom::fault
