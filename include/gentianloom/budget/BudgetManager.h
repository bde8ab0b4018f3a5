#ifndef GENTIANLOOM_BUDGET_BUDGET_MANAGER_H
#define GENTIANLOOM_BUDGET_BUDGET_MANAGER_H

#include "gentianloom/base/Metrics.h"
#include "gentianloom/budget/BudgetView.h"
#include "gentianloom/budget/Ledger.h"
#include "gentianloom/budget/WritePacer.h"
#include "gentianloom/configuration/AcceptedConfiguration.h"
#include "gentianloom/external/KeyValueStore.h"
#include "gentianloom/peer/PeerHandlers.h"
#include "gentianloom/settings/Settings.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace gentianloom {

/// Asks a peer router to transfer tokens. The returned transfer has 0 tokens if the peer gave none.
using AskPeer = std::function<
  Result<Transfer>(const PeerSettings& aPeer, const Transfer& aWanted, const std::string& aTaker)>;

/**
 * @brief Asks a peer over Thrift, without retries.
 *
 * A caller that retries must use the same transfer identifier, so that the peer can recognise the
 * repeated request.
 *
 * @return the peer's answer, or the error of the connection
 */
Result<Transfer> AskPeerByThrift(const PeerSettings& aPeer,
                                 const Transfer& aWanted,
                                 const std::string& aTaker);

/// Callbacks of a BudgetManager.
struct BudgetDependencies
{
  std::function<AcceptedConfigurationPtr()>
    mConfiguration;                                  ///< null before the first one is accepted
  std::function<std::vector<PeerSettings>()> mPeers; ///< peers to ask for tokens
  std::function<void()> mOnRoundEnd;                 ///< retries requests that wait for tokens
  AskPeer mAskPeer = AskPeerByThrift;
};

/**
 * @brief Draws tokens from budgets and reports bills, in rounds on a thread of its own.
 *
 * No other component of this router writes its grants and bills. mMutex is never held during a call
 * to the key-value service or to a peer.
 */
class BudgetManager final : public RightsHandler
{
public:
  /**
   * @param aIncarnation unique identifier of this run of the router
   */
  BudgetManager(KeyValueStore& aStore,
                const BudgetSettings& aSettings,
                std::string aIncarnation,
                BudgetDependencies aDependencies,
                const Clock& aClock,
                Metrics& aMetrics);
  ~BudgetManager() override;

  /// @brief Starts the thread.
  void Start();

  /// @brief Ends the thread, reports all bills and returns unused tokens.
  void Stop();

  /// @brief Reserves tokens for a request; see Ledger::Reserve(). While the key-value service is
  ///        unavailable, the answer is ReserveAnswer::Unavailable instead of Exhausted.
  ReserveAnswer Reserve(const std::string& aBudget, Tokens aTokens);

  /// @brief Frees a reservation and queues the bill of the tokens used.
  void Settle(const Bill& aBill, Tokens aReserved);

  /// @brief Does the same for work without a request identifier; each call creates a new bill.
  void Settle(const std::string& aBudget, Tokens aReserved, Tokens aUsed);

  /// @brief Transfers tokens to a peer. Called from the peer server's threads.
  wire::RightsAnswer OnAskRights(const wire::RightsRequest& aRequest) override;

  /// @brief Reads one budget from the key-value service, or returns the error of the read.
  Result<BudgetView> ReadView(const std::string& aBudget);

  /// @brief Reads several budgets, each of their shards once.
  Result<std::map<std::string, BudgetView>> ReadViews(const std::set<std::string>& aBudgets);

  /**
   * @brief Closes the holding of an incarnation that has ended, on an operator's order.
   * @return the number of tokens freed; an error of Release() or of the key-value service;
   *         ErrorCode::BudgetBusy after too many conflicts;
   *         ErrorCode::PlatformAnswerLost if the write may have taken effect: the operator should
   *         show the budget before the order is repeated
   */
  Result<Tokens> ReleaseHolder(const ReleaseOrder& aOrder);

  const std::string& Incarnation() const { return mIncarnation; }

private:
  /// One shard that was read, and the batch that is written to it.
  struct ShardWork
  {
    int mShard = 0;
    Revision mRevision = 0;
    std::int64_t mBatch = 0;
    ShardRecord mRecord;
  };

  void Run();
  void RunRound();
  bool WriteShards(const std::set<int>& aShards, bool aIsClosing);
  Result<std::vector<ShardWork>> ReadShards(const std::set<int>& aShards);
  Result<ShardWork> ReadShard(int aShard, Step aStep);
  BudgetView MakeView(ShardRecord& aShard, const std::string& aBudget) const;
  Transaction PlanTransaction(std::vector<ShardWork>& aWork, bool aIsClosing);
  void AskPeers();
  void AskPeerFor(const PeerSettings& aPeer, const std::string& aBudget, Tokens aTokens);
  void EndRound();
  void ReturnAll();
  void OnStoreResult(bool aSucceeded, const std::string& aError);
  ConfiguredBudget FindConfiguredBudget(const std::string& aBudget) const;

  KeyValueStore& mStore;
  BudgetSettings mSettings;
  std::string mIncarnation;
  BudgetDependencies mDependencies;
  const Clock& mClock;
  Metrics& mMetrics;
  std::unique_ptr<GrantPolicy> mPolicy;

  std::mutex mMutex;
  std::condition_variable mWake;
  Ledger mLedger;
  WritePacer mPacer;                              ///< used by the thread, and by Stop() after it
  std::atomic<bool> mIsStoreUnavailable{ false }; ///< set by rounds, read by Reserve()
  bool mIsUrgent = false;                         ///< requests wait for a round
  bool mIsStopping = false;
  std::thread mThread;
};

} // namespace gentianloom

#endif
