#ifndef GENTIANLOOM_BUDGET_RIGHTS_DUTY_H
#define GENTIANLOOM_BUDGET_RIGHTS_DUTY_H

#include "gentianloom/base/Metrics.h"
#include "gentianloom/budget/Ledger.h"
#include "gentianloom/budget/UsageCaps.h"
#include "gentianloom/budget/WritePacer.h"
#include "gentianloom/external/AsyncStore.h"
#include "gentianloom/net/Signal.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gentianloom {

/// What a RightsDuty is joined to.
struct RightsLinks
{
  std::function<StatedBudget(const std::string&)> mStated; ///< what the configuration states
  std::function<std::size_t()> mInstances;                 ///< routers that draw as well
  std::function<std::vector<std::string>()> mBudgets;      ///< budgets that callers may draw on
};

/// Who draws: one incarnation of one instance.
struct RightsOwner
{
  std::string mInstance;    ///< name that at most one living process has
  std::string mIncarnation; ///< never used before
  std::string mBoot;        ///< boot of the machine; empty: not known
};

/**
 * @brief Keeps one process's ledger and runs its rounds with the key-value service.
 *
 * A round writes by compare-and-swap on the records that this process knows; only a conflict or a
 * lost answer costs a read. Before the first round the rights of predecessors on this instance are
 * closed. Runs on the event loop.
 */
class RightsDuty
{
public:
  RightsDuty(net::Loop& aLoop,
             AsyncStore& aStore,
             const BudgetSettings& aSettings,
             RightsOwner aOwner,
             RightsLinks aLinks,
             const Clock& aClock,
             Metrics& aMetrics);

  /// @brief Starts the rounds. Called once this process holds the instance's address.
  void Start();

  /// @brief Lets a round begin soon, for example after a change of the configuration.
  void Wake();

  /// @brief Returns all rights, for a process that leaves. Ends when done or out of time.
  net::Task<void> Close(TimePoint aDeadline);

  /**
   * @brief Sets tokens aside. After an answer of Wait, @p aWaiter is notified when it is worth to
   *        ask again: TimesTold() has grown by then.
   * @param aTimeLeft until the request's deadline; one that would wait too long is refused at once
   */
  ReserveAnswer Reserve(const std::string& aBudget,
                        Tokens aTokens,
                        const std::shared_ptr<net::Signal>& aWaiter,
                        Micros aTimeLeft);

  /// @brief Frees a reservation and charges what was used.
  void Settle(const std::string& aBudget, Tokens aReserved, Tokens aUsed);

  /// @brief Number of rounds that have ended.
  std::uint64_t Rounds() const { return mRounds; }

  /// @brief How often those that wait were told to ask again.
  std::uint64_t TimesTold() const { return mTold; }

  /// @brief Whether the rights of predecessors were looked at and closed.
  bool HasTakenOver() const { return mHasTakenOver; }

  /// @brief Whether the key-value service does not answer.
  bool IsAway() const { return mPacer.IsAway(); }

  /// @brief For how long it has not answered; zero if it does.
  Millis AwayFor() const;

  const std::map<std::string, Holding>& Holdings() const { return mLedger.Holdings(); }

private:
  /// Pause after a conflict, so that two routers do not conflict again and again.
  static constexpr Micros kConflictPause{ 4'000 };

  /// What is known of a shard in the key-value service.
  struct KnownShard
  {
    Revision mRevision = 0;
    ShardRecord mRecord;
  };

  /// What is known of this instance's usage report in the key-value service.
  struct KnownReport
  {
    Revision mRevision = 0;
    std::optional<UsageReport> mReport;
  };

  /// One transaction with what it changes.
  struct Planned
  {
    struct Shard
    {
      std::int64_t mBatch = 0;
      ShardRecord mRecord;
    };
    Transaction mTransaction;
    std::map<int, Shard> mShards;
    UsageReport mReport;
  };

  net::Task<void> Run();
  Millis QuietInterval() const;
  net::Task<void> RunRound();
  net::Task<std::optional<PredecessorSigns>> LookForPredecessor(std::string aIncarnation);
  net::Task<bool> TakeOver();
  std::optional<int> NextShardOf(const std::string& aIncarnation) const;
  net::Task<bool> CloseShard(int aShard, UsageReport aPredecessor, bool aIsWithinCaps);
  net::Task<bool> ReplaceReport();
  net::Task<bool> TakeOverAnswer(AsyncCommitResult aAnswer);
  void LogPredecessor(const UsageReport& aPredecessor,
                      int aShard,
                      bool aIsWithinCaps,
                      Tokens aFreed) const;
  net::Task<void> Refresh();
  net::Task<bool> Write(std::set<int> aShards, bool aClosing);
  net::Task<bool> ReadAll();
  Planned Plan(const std::set<int>& aShards, bool aClosing);
  void AddReport(Transaction& aTransaction, const UsageReport& aReport) const;
  bool OnAnswer(Planned& aPlanned, const AsyncCommitResult& aAnswer);
  void OnConflict(const std::vector<KeyValue>& aCurrent);
  bool Remember(const KeyValue& aEntry);
  void NoteStore(bool aWorks, const std::string& aWhy);
  void EndRound();
  void TellWaiters();
  net::Task<void> TellWhenOpen(Micros aTime);
  std::optional<ReserveAnswer> WaitForReserve(const Holding& aHolding,
                                              Tokens aTokens,
                                              Micros aTimeLeft,
                                              TimePoint aNow);
  void LogHoldings() const;

  net::Loop& mLoop;
  AsyncStore& mStore;
  BudgetSettings mSettings;
  RightsOwner mOwner;
  RightsLinks mLinks;
  const Clock& mClock;
  Metrics& mMetrics;
  std::unique_ptr<GrantPolicy> mPolicy;
  Ledger mLedger;
  UsageCaps mCaps;
  WritePacer mPacer;
  net::Signal mWake;
  bool mIsUrgent = false;
  bool mIsClosing = false;
  bool mIsRunning = false;
  bool mIsReplaced = false; ///< another incarnation has taken over this instance's name
  bool mHasTakenOver = false;
  TimePoint mStartedAt{};
  Millis mStartedWallTime{ 0 };
  std::optional<PredecessorSigns> mPredecessor; ///< once looked for
  TimePoint mAwaySince{};                       ///< with mPacer.IsAway()
  TimePoint mFailedAt{}; ///< when the key-value service last failed to answer
  TimePoint mRefreshedAt{};
  TimePoint mRoundAt{}; ///< start of the last round
  std::uint64_t mRounds = 0;
  std::uint64_t mTold = 0;
  bool mTellsWhenOpen = false; ///< a task waits until the reserve opens
  bool mIsKnown = false; ///< whether the members below are up to date as far as this process knows
  std::map<int, KnownShard> mKnown;
  KnownReport mKnownReport;
  std::vector<std::weak_ptr<net::Signal>> mWaiters;
};

} // namespace gentianloom

#endif
