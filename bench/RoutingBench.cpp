#include "BenchReport.h"
#include "RoutingModel.h"

namespace gentianloom::bench {

namespace {

constexpr double kLoads[] = { 0.7, 1.0, 1.5 };
constexpr double kSeconds = 240;
constexpr double kGoodputGoal = 0.95;
constexpr double kFirstTokenGoal = 0.5;
constexpr double kShareGoal = 0.9;

struct Contender
{
  const char* mName;
  const char* mPolicy;
  bool mAdmission;
  bool mEjection;
};

/// The baselines have no outlier ejection, except one that is run with and without it.
constexpr Contender kContenders[] = { { "chosen", "least-wait", true, true },
                                      { "round robin", "round-robin", false, false },
                                      { "random", "random", false, false },
                                      { "round robin with ejection", "round-robin", false, true } };

Json ToJson(const RoutingRun& aRun, const RoutingFigures& aFigures)
{
  return { { "policy", aRun.mPolicy },
           { "admission", aRun.mAdmission },
           { "ejection", aRun.mEjection },
           { "load", aRun.mLoad },
           { "slow_endpoint", aRun.mSlowEndpoint },
           { "crash", aRun.mCrash },
           { "seconds", aRun.mSeconds },
           { "asked", aFigures.mAsked },
           { "in_time", aFigures.mInTime },
           { "late", aFigures.mLate },
           { "refused", aFigures.mRefused },
           { "wrongly_refused", aFigures.mWronglyRefused },
           { "broken", aFigures.mBroken },
           { "goodput_per_second", aFigures.mGoodput },
           { "good_tokens_per_second", aFigures.mGoodTokens },
           { "first_token_ms",
             { { "median", aFigures.mFirstTokenMs[0] },
               { "p95", aFigures.mFirstTokenMs[1] },
               { "p99", aFigures.mFirstTokenMs[2] } } },
           { "prefix_hits", aFigures.mPrefixHits },
           { "least_fair_share", aFigures.mLeastShare } };
}

} // namespace

BenchReport RunRoutingBench(const BenchOptions& aOptions)
{
  BenchReport out;
  std::map<std::string, std::map<double, RoutingFigures>> figures;
  for (const auto& contender : kContenders) {
    for (const double load : kLoads) {
      RoutingRun run;
      run.mPolicy = contender.mPolicy;
      run.mAdmission = contender.mAdmission;
      run.mEjection = contender.mEjection;
      run.mLoad = load;
      run.mSeconds = kSeconds * aOptions.mScale;
      run.mSeed = aOptions.mSeed;
      auto& result = figures[contender.mName][load];
      result = RoutingModel(run).Run();
      out.mRuns.push_back(ToJson(run, result));
    }
  }
  auto& chosen = figures["chosen"];
  auto& turns = figures["round robin"];
  out.mGoals.push_back({ "goodput at 1.5 of capacity to that at 1.0",
                         kGoodputGoal,
                         chosen[1.5].mGoodTokens / chosen[1.0].mGoodTokens,
                         "ratio of tokens in time",
                         GoalSide::AtLeast });
  for (const double load : kLoads) {
    const auto at = std::to_string(load).substr(0, 3);
    out.mGoals.push_back({ "95th-percentile first token to round robin's, slow endpoint, at " + at,
                           kFirstTokenGoal,
                           chosen[load].mFirstTokenMs[1] / turns[load].mFirstTokenMs[1],
                           "ratio",
                           GoalSide::AtMost });
    out.mGoals.push_back({ "least share of an organisation of what it is due at " + at,
                           kShareGoal,
                           chosen[load].mLeastShare,
                           "share",
                           GoalSide::AtLeast });
  }
  return out;
}

} // namespace gentianloom::bench
