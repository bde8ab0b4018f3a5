#ifndef GENTIANLOOM_BUDGET_GRANT_MANAGER_H
#define GENTIANLOOM_BUDGET_GRANT_MANAGER_H

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
#include <set>
#include <string>
#include <vector>

namespace gentianloom {

/// Callbacks of a GrantManager.
struct GrantDependencies
{
  std::function<ConfiguredBudget(const std::string&)> mConfiguredBudget; ///< by name
  std::function<std::size_t()> mInstanceCount;        ///< number of routers in the fleet
  std::function<std::vector<std::string>()> mBudgets; ///< names of the budgets of which
                                                      ///< tokens are held in advance
};

/// Identity of a holder: one incarnation of one instance.
struct HolderIdentity
{
  std::string mInstance;    ///< name used by at most one running process
  std::string mIncarnation; ///< unique identifier of this run
  std::string mBoot;        ///< boot identifier of the host; empty if not known
};

/**
 * @brief Draws tokens from budgets and reports their use, in rounds on the event loop.
 *
 * A round writes by compare-and-swap against cached records; records are read again only after a
 * conflict or a lost answer. Before the first round the holdings of predecessors, that is earlier
 * processes under this instance's name, are closed.
 */
class GrantManager
{
public:
  GrantManager(net::Loop& aLoop,
               AsyncStore& aStore,
               const BudgetSettings& aSettings,
               HolderIdentity aIdentity,
               GrantDependencies aDependencies,
               const Clock& aClock,
               Metrics& aMetrics);

  /**
   * @brief Starts the rounds.
   *
   * Must be called as soon as this process listens on the instance's address: the time of the call
   * is taken as the time by which the predecessor had ended.
   */
  void Start();

  /// @brief Requests an early round, for example after a change of the configuration.
  void Wake();

  /// @brief Returns all unused tokens before the process ends, until @p aDeadline at the latest.
  net::Task<void> Close(TimePoint aDeadline);

  /**
   * @brief Reserves tokens. If the answer is Wait, @p aWaiter is notified when the caller should
   *        retry; Notifications() has increased by then.
   * @param aMaxWait longest time that the request may wait. While the key-value service is
   *                 unavailable, a request that would wait longer for the reserve is answered
   *                 ReserveAnswer::Unavailable at once
   */
  ReserveAnswer Reserve(const std::string& aBudget,
                        Tokens aTokens,
                        const std::shared_ptr<net::Signal>& aWaiter,
                        Micros aMaxWait);

  /// @brief Frees a reservation and charges the tokens used.
  void Settle(const std::string& aBudget, Tokens aReserved, Tokens aUsed);

  /// @brief Number of rounds completed.
  std::uint64_t Rounds() const { return mRounds; }

  /// @brief Number of times that the waiters were notified.
  std::uint64_t Notifications() const { return mNotifications; }

  /// @brief Whether the holdings of predecessors are closed.
  bool HasTakenOver() const { return mHasTakenOver; }

  /// @brief Whether the last recorded call to the key-value service failed; see
  /// RecordStoreResult() in StoreResult.h.
  bool IsStoreUnavailable() const { return mPacer.IsStoreUnavailable(); }

  /// @brief Time since calls to the key-value service began to fail; 0 if the last one succeeded.
  Millis StoreUnavailableFor() const;

  const std::map<std::string, Holding>& Holdings() const { return mLedger.Holdings(); }

private:
  /// Pause after a conflict, so that two routers do not conflict repeatedly. It is multiplied by a
  /// random number and, in rounds, by the number of the attempt.
  static constexpr Micros kConflictPause{ 4'000 };

  /// Last known state of a shard in the key-value service. It holds the sums of all instances; what
  /// this instance holds is in its usage report.
  struct CachedShard
  {
    Revision mRevision = 0;
    ShardRecord mRecord;
  };

  /// Last known state of this instance's usage report in the key-value service.
  struct CachedReport
  {
    Revision mRevision = 0;
    std::optional<UsageReport> mReport;
  };

  /// What was known of the key-value service before it came back from an older copy.
  struct KnownState
  {
    std::map<int, CachedShard> mShards;
    CachedReport mReport;
  };

  /// A transaction and the cached state that is valid once it is committed.
  struct PlannedWrite
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
  Millis IdleInterval() const;
  net::Task<void> RunRound();
  net::Task<std::optional<PredecessorEvidence>> ReadPredecessorEvidence(std::string aIncarnation);
  /// @return whether all holdings of predecessors are closed; if not, call it again after a pause
  net::Task<bool> TakeOver();
  std::optional<int> PickPredecessorShard(const std::string& aIncarnation) const;
  /// @return whether TakeOver() may continue without a pause
  net::Task<bool> CloseShard(int aShard, UsageReport aPredecessor, bool aIsWithinCaps);
  /// @return whether TakeOver() may continue without a pause
  net::Task<bool> ReplaceReport();
  /// @return whether TakeOver() may continue without a pause
  net::Task<bool> OnTakeOverAnswer(AsyncCommitResult aAnswer);
  void LogPredecessor(const UsageReport& aPredecessor,
                      int aShard,
                      bool aIsWithinCaps,
                      Tokens aFreed) const;
  // Changes of the key-value service's era, see GrantEra.cpp.
  void CheckEra();
  bool IsSettled() const;
  Transaction PlanRestore(std::map<int, CachedShard>& aRestored) const;
  /// @return whether nothing is left to write back
  net::Task<bool> RestoreAfterEraChange();

  net::Task<void> RefreshCache();
  /// @return whether the transaction took effect
  net::Task<bool> Write(std::set<int> aShards, bool aIsClosing);
  /// @return whether the cache is valid
  net::Task<bool> ReadAll();
  PlannedWrite Plan(const std::set<int>& aShards, bool aIsClosing);
  /// @return the cached shard with the entries of the incarnation that wrote the cached report
  ShardRecord MakeFullShard(int aShard) const;
  void AddReport(Transaction& aTransaction, const UsageReport& aReport) const;
  /// @return whether the round is over; false after a conflict
  bool OnCommitAnswer(PlannedWrite& aPlanned, const AsyncCommitResult& aAnswer);
  void OnConflict(const std::vector<KeyValue>& aCurrent);
  void CacheReport(const KeyValue& aEntry);
  void CacheEntry(const KeyValue& aEntry);
  /// Whether the shard of a budget cannot be parsed, so that it is not known what is left of it.
  bool IsUnreadable(const std::string& aBudget) const;
  void OnStoreResult(bool aSucceeded, const std::string& aError);
  void EndRound();
  void NotifyWaiters();
  net::Task<void> NotifyWhenReserveOpens(Micros aTime);
  std::optional<ReserveAnswer> DecideReserveWait(const Holding& aHolding,
                                                 Tokens aTokens,
                                                 Micros aMaxWait,
                                                 TimePoint aNow);
  void LogHoldings() const;

  net::Loop& mLoop;
  AsyncStore& mStore;
  BudgetSettings mSettings;
  HolderIdentity mIdentity;
  GrantDependencies mDependencies;
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
  bool mIsReplaced = false; ///< another incarnation has stored a report under this name
  bool mHasTakenOver = false;
  TimePoint mStartedAt{};
  Millis mStartedWallTime{ 0 };
  std::optional<PredecessorEvidence> mPredecessorEvidence; ///< unset until it is read
  TimePoint mUnavailableSince{}; ///< valid while mPacer.IsStoreUnavailable()
  TimePoint mFailedAt{};         ///< time of the last failed call to the key-value service
  TimePoint mRefreshedAt{};
  TimePoint mRoundAt{}; ///< start of the last round
  std::uint64_t mRounds = 0;
  std::uint64_t mNotifications = 0;
  bool mNotifiesWhenReserveOpens = false; ///< a NotifyWhenReserveOpens() task runs
  bool mIsCacheValid = false; ///< false before the first read and after an unknown outcome
  std::map<int, CachedShard> mCachedShards;
  std::set<int> mUnreadableShards; ///< nothing is drawn from them
  CachedReport mCachedReport;
  std::vector<std::weak_ptr<net::Signal>> mWaiters;
  std::int64_t mEra = 0; ///< of the key-value service, as known to the rounds
  TimePoint mEraSeenAt{};
  std::optional<KnownState> mKnownBefore; ///< set while it has to be compared with the new era's
};

} // namespace gentianloom

#endif
