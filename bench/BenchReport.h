#ifndef GENTIANLOOM_BENCH_BENCH_REPORT_H
#define GENTIANLOOM_BENCH_BENCH_REPORT_H

#include "gentianloom/base/JsonReader.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gentianloom::bench {

/// Whether a figure should be below or above its goal.
enum class GoalSide
{
  AtMost,
  AtLeast
};

/// A goal and the measured figure. Goals come from stated targets, never from measurements.
struct Goal
{
  std::string mName;
  double mGoal = 0;
  double mMeasured = 0;
  std::string mUnit;
  GoalSide mSide = GoalSide::AtMost;

  bool Met() const { return mSide == GoalSide::AtMost ? mMeasured <= mGoal : mMeasured >= mGoal; }
};

/// Options of a bench run.
struct BenchOptions
{
  std::uint64_t mSeed = 1;
  double mScale = 1.0; ///< factor on the duration of the runs
};

/// Result of a bench run.
struct BenchReport
{
  Json mRuns = Json::array(); ///< raw figures
  std::vector<Goal> mGoals;
};

/// A named bench.
struct Suite
{
  std::string_view mName;
  std::string_view mHelp;
  BenchReport (*mRun)(const BenchOptions&);
};

// One function for each suite, each in a file of its own.
BenchReport RunPipelineBench(const BenchOptions& aOptions);
BenchReport RunBudgetsBench(const BenchOptions& aOptions);
BenchReport RunIntentsBench(const BenchOptions& aOptions);
BenchReport RunRoutingBench(const BenchOptions& aOptions);
BenchReport RunConfigurationBench(const BenchOptions& aOptions);
BenchReport RunDeploymentsBench(const BenchOptions& aOptions);
BenchReport RunControlBench(const BenchOptions& aOptions);

} // namespace gentianloom::bench

#endif
