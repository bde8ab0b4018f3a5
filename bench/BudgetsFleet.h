#ifndef GENTIANLOOM_BENCH_BUDGETS_FLEET_H
#define GENTIANLOOM_BENCH_BUDGETS_FLEET_H

#include "gentianloom/budget/Ledger.h"
#include "gentianloom/budget/WritePacer.h"

#include <deque>
#include <memory>
#include <random>

namespace gentianloom::bench {

/// Demand pattern.
enum class Demand
{
  Steady,
  Tight,      ///< prepaid is 5 % above the expected use
  Bursty,     ///< ten times the rate in one second of ten
  EndOfBudget ///< prepaid is 60 % of the expected use
};

/// Fault in the middle third of a run.
enum class Trouble
{
  None,
  Partition, ///< half of the routers reach neither the store nor the other half
  Outage,    ///< the key-value store is unavailable
  Crashes,   ///< a router is killed and replaced every ten seconds
  /// A partition with a crash every five minutes and, halfway, a top-up of a fifth; callers whose
  /// router crashed try again at another.
  Everything
};

/// Parameters of one simulated fleet.
struct FleetOrder
{
  BudgetSettings mBudget;
  Demand mDemand = Demand::Steady;
  Trouble mTrouble = Trouble::None;
  std::size_t mRouters = 7;
  std::size_t mBudgets = 10;
  std::size_t mReach = 0; ///< number of routers that the callers of one shard use; 0: all
  int mSeconds = 300;
  double mRate = 5; ///< requests per second at each router
  std::uint64_t mSeed = 1;
};

/// Results of a run.
struct FleetFigures
{
  std::uint64_t mRequests = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mFalse = 0; ///< refused although more than 1 % and enough tokens were unspent
  std::uint64_t mFalseInReach = 0; ///< of these: the reachable store and routers had enough tokens
  std::uint64_t mWaited = 0;
  Tokens mOverspend = 0;
  Tokens mUsed = 0;
  Tokens mStranded = 0;
  std::uint64_t mCrashes = 0;
  std::uint64_t mRetries = 0; ///< retries after a crash
  std::uint64_t mWrites = 0;
  std::uint64_t mReads = 0;
  std::uint64_t mConflicts = 0;
  std::uint64_t mMostWrites = 0; ///< maximum of one router in ten seconds
};

/// @brief Simulates a fleet: real ledgers on a simulated clock, store and peers.
FleetFigures RunFleet(const FleetOrder& aOrder);

} // namespace gentianloom::bench

#endif
