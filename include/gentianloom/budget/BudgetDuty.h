#ifndef GENTIANLOOM_BUDGET_BUDGET_DUTY_H
#define GENTIANLOOM_BUDGET_BUDGET_DUTY_H

#include "gentianloom/base/Metrics.h"
#include "gentianloom/budget/BudgetView.h"
#include "gentianloom/budget/Ledger.h"
#include "gentianloom/budget/WritePacer.h"
#include "gentianloom/configuration/AcceptedConfiguration.h"
#include "gentianloom/external/KeyValueStore.h"
#include "gentianloom/peer/Handlers.h"
#include "gentianloom/settings/Settings.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace gentianloom {

/// Asks a peer for rights; the answer's transfer has no tokens if it gave none.
using AskPeer = std::function<
  Result<Transfer>(const PeerSettings& aPeer, const Transfer& aWanted, const std::string& aTaker)>;

/// @brief Asks over Thrift. Makes no second try; the caller repeats under the same identifier.
Result<Transfer> AskPeerByThrift(const PeerSettings& aPeer,
                                 const Transfer& aWanted,
                                 const std::string& aTaker);

/// What a BudgetDuty is joined to.
struct BudgetLinks
{
  std::function<AcceptedConfigurationPtr()> mConfiguration; ///< null if none is in force
  std::function<std::vector<PeerSettings>()> mPeers;        ///< whom to ask for rights
  std::function<void()> mOnChange; ///< called after each round, to try waiting requests again
  AskPeer mAskPeer = AskPeerByThrift;
};

/**
 * @brief Keeps the ledger and its duty thread: the only writer of a router's rights and bills.
 *
 * The ledger is locked only for single decisions, never across a call to the key-value service or
 * to a peer.
 */
class BudgetDuty final : public RightsHandler
{
public:
  /**
   * @param aIncarnation identifier of this run of this router, never used before
   */
  BudgetDuty(KeyValueStore& aStore,
             const BudgetSettings& aSettings,
             std::string aIncarnation,
             BudgetLinks aLinks,
             const Clock& aClock,
             Metrics& aMetrics);
  ~BudgetDuty() override;

  void Start();
  void Stop(); ///< reports all bills, returns the rest, ends the thread

  ReserveAnswer Reserve(const std::string& aBudget, Tokens aTokens);

  /// @brief Frees a reservation and stages the bill of what was used.
  void Settle(const Bill& aBill, Tokens aReserved);

  /// @brief As above for work that no request names; each call is a bill of its own.
  void Settle(const std::string& aBudget, Tokens aReserved, Tokens aUsed);

  /// @brief Gives rights to a peer. Called from the peer server's threads.
  wire::RightsAnswer OnAskRights(const wire::RightsRequest& aRequest) override;

  /// @brief Reads one budget from the key-value service.
  Result<BudgetView> ReadView(const std::string& aBudget);

  /// @brief Reads many budgets, each shard once.
  Result<std::map<std::string, BudgetView>> ReadViews(const std::set<std::string>& aBudgets);

  /**
   * @brief Closes the rights of an incarnation that is gone, by an owner's order.
   * @return tokens freed; ErrorCode::PlatformAnswerLost if it may have happened: show, then repeat
   */
  Result<Tokens> ReleaseHolder(const ReleaseOrder& aOrder);

  const std::string& Incarnation() const { return mIncarnation; }

private:
  /// One shard on its way through a round.
  struct ShardWork
  {
    int mShard = 0;
    Revision mRevision = 0;
    std::int64_t mBatch = 0;
    ShardRecord mRecord;
  };

  void Run();
  void RunRound();
  bool WriteShards(const std::set<int>& aShards, bool aClosing);
  Result<std::vector<ShardWork>> ReadShards(const std::set<int>& aShards);
  Result<ShardWork> ReadShard(int aShard, Step aStep);
  BudgetView MakeView(ShardRecord& aShard, const std::string& aBudget) const;
  Transaction PlanAll(std::vector<ShardWork>& aWork, bool aClosing);
  void AskPeers();
  void AskOne(const PeerSettings& aPeer, const std::string& aBudget, Tokens aTokens);
  void EndRound();
  void CloseAll();
  void NoteStore(bool aWorks, const std::string& aWhy);
  StatedBudget Stated(const std::string& aBudget) const;

  KeyValueStore& mStore;
  BudgetSettings mSettings;
  std::string mIncarnation;
  BudgetLinks mLinks;
  const Clock& mClock;
  Metrics& mMetrics;
  std::unique_ptr<GrantPolicy> mPolicy;

  std::mutex mMutex;
  std::condition_variable mWake;
  Ledger mLedger;
  WritePacer mPacer;                ///< of the duty thread
  std::atomic<bool> mAway{ false }; ///< whether the key-value service is away
  bool mUrgent = false;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace gentianloom

#endif
