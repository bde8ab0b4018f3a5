#include "BudgetSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

namespace gentianloom::fault {

namespace {

constexpr std::uint64_t kFirstSeed = 1;
constexpr std::uint64_t kSchedules = 20'000;
constexpr std::uint64_t kMutantSchedules = 2'000;
constexpr std::size_t kSteps = 300;

using Schedule = std::vector<std::uint64_t>;

BudgetSimulation::Options MakeOptions(std::uint64_t aSeed, std::string_view aMutant)
{
  static constexpr std::array kPolicies = { "fixed", "demand", "shrinking" };
  BudgetSimulation::Options out;
  out.mRouters = 3 + aSeed % 5;
  out.mPolicy = kPolicies[aSeed % kPolicies.size()];
  out.mMutant = aMutant;
  return out;
}

void Add(EventCounts& aSum, const EventCounts& aRun)
{
  aSum.mReserved += aRun.mReserved;
  aSum.mRefused += aRun.mRefused;
  aSum.mCommitted += aRun.mCommitted;
  aSum.mConflicts += aRun.mConflicts;
  aSum.mLostAnswers += aRun.mLostAnswers;
  aSum.mCredited += aRun.mCredited;
  aSum.mReruns += aRun.mReruns;
  aSum.mKilled += aRun.mKilled;
  aSum.mReleased += aRun.mReleased;
  aSum.mLowered += aRun.mLowered;
  aSum.mClosed += aRun.mClosed;
}

/// Runs a schedule. @return the violated invariant, empty if none is
std::string RunSchedule(const BudgetSimulation::Options& aOptions,
                        const Schedule& aSchedule,
                        EventCounts* aCounts = nullptr,
                        std::vector<std::string>* aEvents = nullptr)
{
  BudgetSimulation simulation(aOptions, [](Step, std::size_t) {});
  for (const auto it : aSchedule) {
    simulation.RunEvent(it);
    if (aEvents != nullptr) {
      aEvents->push_back(simulation.LastEvent());
    }
    if (!simulation.Violation().empty()) {
      return simulation.Violation();
    }
  }
  simulation.ShutDownAndCheck();
  if (aCounts != nullptr) {
    Add(*aCounts, simulation.Counts());
  }
  return simulation.Violation();
}

/// Removes parts of a failing schedule as long as it still fails.
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

/// Runs the schedules of consecutive seeds. @return report of the first failure, empty if none
std::string Explore(std::uint64_t aSchedules, std::string_view aMutant, EventCounts& aCounts)
{
  for (auto seed = kFirstSeed; seed < kFirstSeed + aSchedules; ++seed) {
    Random random(seed);
    Schedule schedule;
    for (std::size_t n = 0; n < kSteps; ++n) {
      schedule.push_back(random.Next());
    }
    const auto options = MakeOptions(seed, aMutant);
    if (RunSchedule(options, schedule, &aCounts).empty()) {
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

/// Runs random interleavings of routers, a store and operators. After each event it checks that no
/// budget is overspent and that no request is billed more than once. TestMutants() checks that
/// the test detects known defects.
class ExplorationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ExplorationTest);
  CPPUNIT_TEST(TestInvariants);
  CPPUNIT_TEST(TestMutants);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestInvariants()
  {
    EventCounts it;
    const auto report = Explore(kSchedules, "", it);
    CPPUNIT_ASSERT_MESSAGE(report, report.empty());
    // The invariants are only tested if the schedules cause these events often enough.
    const std::pair<std::string_view, std::uint64_t> seen[] = {
      { "reserved", it.mReserved },
      { "refused", it.mRefused },
      { "committed", it.mCommitted },
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
      CPPUNIT_ASSERT_MESSAGE(std::string(name) + " occurred too rarely", count >= kSchedules / 4);
    }
  }

  void TestMutants()
  {
    for (const auto mutant : kMutants) {
      EventCounts seen;
      const auto report = Explore(kMutantSchedules, mutant, seen);
      CPPUNIT_ASSERT_MESSAGE("not detected: " + std::string(mutant), !report.empty());
      std::cout << "\n" << mutant << ": " << report << "\n";
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExplorationTest);

} // namespace gentianloom::fault
