#include "BenchReport.h"
#include "BudgetsFleet.h"

#include <algorithm>

namespace gentianloom::bench {

namespace {

constexpr std::string_view kPolicies[] = { "fixed", "demand", "shrinking" };
constexpr std::string_view kDemands[] = { "steady", "tight", "bursty", "end of budget" };
constexpr std::string_view kTroubles[] = { "none", "partition", "outage", "crashes" };
constexpr int kSeconds = 300;
constexpr int kScaleSeconds = 120;
constexpr double kSecondsPerDay = 86'400;
/// Crashes of one router per day, at the users' target.
constexpr double kCrashesPerDay = 150.0 / 720.0;
/// Number of routers that the callers of one shard use: three in each of five regions.
constexpr std::size_t kReach = 15;
constexpr double kTargetNodes = 720;
constexpr double kBudgetsPerNode = 16'000 / kTargetNodes;
constexpr std::size_t kSizes[] = { 90, 180, 360 };

double Ratio(double aPart, double aWhole)
{
  return aWhole > 0 ? aPart / aWhole : 0;
}

/// Fraction of the spent tokens that crashes strand, at the target's crash rate.
double StrandedShare(const FleetOrder& aOrder, const FleetFigures& aFigures)
{
  const auto perCrash = Ratio(aFigures.mStranded, static_cast<double>(aFigures.mCrashes));
  const auto perDay = static_cast<double>(aFigures.mUsed) / static_cast<double>(aOrder.mRouters) /
                      aOrder.mSeconds * kSecondsPerDay;
  return Ratio(perCrash * kCrashesPerDay, perDay);
}

Json RunJson(const FleetOrder& aOrder, const FleetFigures& aFigures)
{
  const double seconds = aOrder.mSeconds;
  return { { "policy", aOrder.mBudget.mPolicy },
           { "window_s", aOrder.mBudget.mDemandWindow.count() / 1'000 },
           { "demand", kDemands[static_cast<std::size_t>(aOrder.mDemand)] },
           { "fault", kTroubles[static_cast<std::size_t>(aOrder.mTrouble)] },
           { "routers", aOrder.mRouters },
           { "budgets", aOrder.mBudgets },
           { "requests", aFigures.mRequests },
           { "waited", aFigures.mWaited },
           { "refused", aFigures.mRefused },
           { "false_refusals", aFigures.mFalse },
           { "false_refusals_in_reach", aFigures.mFalseInReach },
           { "overspend_tokens", aFigures.mOverspend },
           { "stranded_share", StrandedShare(aOrder, aFigures) },
           { "writes_per_s", aFigures.mWrites / seconds },
           { "reads_per_s", aFigures.mReads / seconds },
           { "conflicts", aFigures.mConflicts },
           { "most_writes_of_a_router_in_10_s", aFigures.mMostWrites } };
}

/// Worst figures of the chosen policy over all demand patterns, by fault.
struct Worst
{
  double mFalse[std::size(kTroubles)] = {};
  double mOverspend = 0; ///< of all policies
  double mStranded = 0;
  double mWrites = 0;
};

void RunPolicies(const BenchOptions& aOptions, BenchReport& aReport, Worst& aWorst)
{
  const BudgetSettings chosen;
  for (const auto policy : kPolicies) {
    for (std::size_t demand = 0; demand < std::size(kDemands); ++demand) {
      for (std::size_t trouble = 0; trouble < std::size(kTroubles); ++trouble) {
        FleetOrder order;
        order.mBudget.mPolicy = policy;
        order.mDemand = static_cast<Demand>(demand);
        order.mTrouble = static_cast<Trouble>(trouble);
        order.mSeconds = std::max(30, static_cast<int>(kSeconds * aOptions.mScale));
        order.mSeed = aOptions.mSeed;
        const auto figures = RunFleet(order);
        aReport.mRuns.push_back(RunJson(order, figures));
        aWorst.mOverspend = std::max(aWorst.mOverspend, static_cast<double>(figures.mOverspend));
        if (policy != chosen.mPolicy) {
          continue;
        }
        auto& wrong = aWorst.mFalse[trouble];
        wrong = std::max(wrong, 100.0 * Ratio(figures.mFalse, figures.mRequests));
        aWorst.mStranded = std::max(aWorst.mStranded, 100.0 * StrandedShare(order, figures));
        const auto writes = Ratio(figures.mWrites, order.mSeconds * order.mRouters);
        aWorst.mWrites = std::max(aWorst.mWrites, writes);
      }
    }
  }
}

/// @brief Extrapolates the writes per second to the target's size from the two largest fleets.
double RunSizes(const BenchOptions& aOptions, BenchReport& aReport)
{
  std::vector<double> rates;
  for (const auto routers : kSizes) {
    FleetOrder order;
    order.mRouters = routers;
    order.mBudgets = static_cast<std::size_t>(routers * kBudgetsPerNode);
    order.mReach = kReach;
    order.mRate = 9.5;
    order.mSeconds = std::max(20, static_cast<int>(kScaleSeconds * aOptions.mScale));
    order.mSeed = aOptions.mSeed;
    // The commit interval that a router has in a fleet of the target's size.
    order.mBudget.mCommitInterval = FleetInterval(order.mBudget.mCommitInterval,
                                                  static_cast<std::size_t>(kTargetNodes),
                                                  order.mBudget.mFleetWritesPerSecond);
    const auto figures = RunFleet(order);
    aReport.mRuns.push_back(RunJson(order, figures));
    rates.push_back(figures.mWrites / static_cast<double>(order.mSeconds));
  }
  const auto last = rates.size() - 1;
  const auto slope =
    (rates[last] - rates[last - 1]) / static_cast<double>(kSizes[last] - kSizes[last - 1]);
  return rates[last] + slope * (kTargetNodes - static_cast<double>(kSizes[last]));
}

} // namespace

BenchReport RunBudgetsBench(const BenchOptions& aOptions)
{
  BenchReport out;
  Worst worst;
  RunPolicies(aOptions, out, worst);
  const auto writes = RunSizes(aOptions, out);
  out.mGoals.push_back({ "overspend of all policies", 0, worst.mOverspend, "tokens" });
  for (std::size_t n = 0; n < std::size(kTroubles); ++n) {
    out.mGoals.push_back({ "false refusals, fault: " + std::string(kTroubles[n]),
                           0.01,
                           worst.mFalse[n],
                           "% of requests" });
  }
  out.mGoals.push_back({ "stranded by crashes", 0.1, worst.mStranded, "% of spend" });
  out.mGoals.push_back({ "key-value writes of a router", 1, worst.mWrites, "1/s" });
  out.mGoals.push_back({ "key-value writes of 720 nodes, 16,000 budgets", 300, writes, "1/s" });
  return out;
}

} // namespace gentianloom::bench
