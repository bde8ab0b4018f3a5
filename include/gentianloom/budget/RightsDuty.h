#ifndef GENTIANLOOM_BUDGET_RIGHTS_DUTY_H
#define GENTIANLOOM_BUDGET_RIGHTS_DUTY_H

#include "gentianloom/base/Metrics.h"
#include "gentianloom/budget/Ledger.h"
#include "gentianloom/budget/WritePacer.h"
#include "gentianloom/external/AsyncStore.h"
#include "gentianloom/net/Signal.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gentianloom {

/// What a RightsDuty is joined to.
struct RightsLinks
{
  std::function<StatedBudget(const std::string&)> mStated; ///< what the configuration states
  std::function<std::size_t()> mInstances;                 ///< routers that draw as well
};

/**
 * @brief Keeps one process's ledger and runs its rounds with the key-value service.
 *
 * A round writes by compare-and-swap on the records that this process knows; only a conflict or a
 * lost answer costs a read. Runs on the event loop.
 */
class RightsDuty
{
public:
  RightsDuty(net::Loop& aLoop,
             AsyncStore& aStore,
             const BudgetSettings& aSettings,
             std::string aIncarnation,
             RightsLinks aLinks,
             const Clock& aClock,
             Metrics& aMetrics);

  /// @brief Starts the rounds.
  void Start();

  /// @brief Returns all rights, for a process that leaves. Ends when done or out of time.
  net::Task<void> Close(TimePoint aDeadline);

  /**
   * @brief Sets tokens aside. After an answer of Wait, @p aWaiter is notified when the next round
   *        has ended, and the caller asks again.
   */
  ReserveAnswer Reserve(const std::string& aBudget,
                        Tokens aTokens,
                        const std::shared_ptr<net::Signal>& aWaiter);

  /// @brief Frees a reservation and charges what was used.
  void Settle(const std::string& aBudget, Tokens aReserved, Tokens aUsed);

  /// @brief Number of rounds that have ended.
  std::uint64_t Rounds() const { return mRounds; }

  /// @brief Whether the key-value service does not answer.
  bool IsAway() const { return mPacer.IsAway(); }

  const std::map<std::string, Holding>& Holdings() const { return mLedger.Holdings(); }

private:
  /// What is known of a shard in the key-value service.
  struct KnownShard
  {
    Revision mRevision = 0;
    ShardRecord mRecord;
  };

  net::Task<void> Run();
  net::Task<void> RunRound();
  net::Task<bool> Write(std::set<int> aShards, bool aClosing);
  net::Task<bool> ReadAll(std::set<int> aShards);
  bool Remember(int aShard, const KeyValue& aEntry);
  void NoteStore(bool aWorks, const std::string& aWhy);
  void EndRound();

  net::Loop& mLoop;
  AsyncStore& mStore;
  BudgetSettings mSettings;
  std::string mIncarnation;
  RightsLinks mLinks;
  const Clock& mClock;
  Metrics& mMetrics;
  std::unique_ptr<GrantPolicy> mPolicy;
  Ledger mLedger;
  WritePacer mPacer;
  net::Signal mWake;
  bool mIsUrgent = false;
  bool mIsClosing = false;
  std::uint64_t mRounds = 0;
  std::map<int, KnownShard> mKnown;
  std::vector<std::weak_ptr<net::Signal>> mWaiters;
};

} // namespace gentianloom

#endif
