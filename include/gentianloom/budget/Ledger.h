#ifndef GENTIANLOOM_BUDGET_LEDGER_H
#define GENTIANLOOM_BUDGET_LEDGER_H

#include "gentianloom/budget/BudgetRecord.h"
#include "gentianloom/budget/Holding.h"

#include <deque>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace gentianloom {

/// Result of an attempt to reserve tokens.
enum class ReserveAnswer
{
  Reserved,
  Wait,       ///< a refill is needed; retry after a notification
  Exhausted,  ///< a recent round could not obtain so many tokens, or the holding was revoked
  Unavailable ///< too many bills are queued, or the key-value service is unavailable
};

/// A budget in the current configuration.
struct ConfiguredBudget
{
  Tokens mPrepaid = 0;       ///< 0 if the budget is not configured
  std::int64_t mVersion = 0; ///< version of the configuration
};

/// Tokens that one router deducted from its holding for another one.
struct Transfer
{
  std::string mId;
  std::string mBudget;
  std::string mGiver; ///< incarnation of the router that gives the tokens
  Tokens mTokens = 0;
};

/// Input of Ledger::Plan() besides the ledger and the record.
struct PlanInput
{
  TimePoint mNow{};
  Millis mWallTime{}; ///< wall-clock time of this process
  std::function<ConfiguredBudget(const std::string&)> mConfiguredBudget;
  bool mIsClosing = false; ///< return all tokens and close this holder
};

/**
 * @brief Holdings and unreported bills of one incarnation of a router. Does no input or output.
 *
 * The caller reads a shard, passes it to Reconcile(), lets Plan() change it, commits it by
 * compare-and-swap on the revision that was read, and calls OnCommitted() or OnNotCommitted(). If
 * the outcome is unknown, neither is called: the next Reconcile() looks for the batch in the
 * record.
 */
class Ledger
{
public:
  Ledger(std::string aIncarnation, const GrantPolicy& aPolicy);

  const std::string& Incarnation() const { return mIncarnation; }

  /// @brief Sets the seconds for which the key-value service has answered without a failure.
  void SetSecondsSinceOutage(double aSeconds);

  /// @brief Sets the budgets of which tokens are held in advance, before any request asks for them.
  void HoldReserves(const std::vector<std::string>& aBudgets, TimePoint aNow);

  /**
   * @brief Reserves tokens. If the answer is Wait, the next draw includes them.
   * @param aUsableTokens number of tokens that the caller may use now; a larger reservation is not
   *                      made even if enough tokens are free
   */
  ReserveAnswer Reserve(const std::string& aBudget,
                        Tokens aTokens,
                        TimePoint aNow,
                        Tokens aUsableTokens = std::numeric_limits<Tokens>::max());

  /// @brief Frees a reservation and queues the bill, which is limited to the reserved tokens.
  void Settle(Bill aBill, Tokens aReserved);

  /**
   * @brief Transfers up to @p aTokens to a peer. Repeated calls with one identifier are idempotent.
   * @return the transfer, with the tokens that were given; possibly 0
   */
  Transfer Give(const std::string& aId,
                const std::string& aBudget,
                Tokens aTokens,
                const std::string& aTaker);

  /// @brief Opens a transfer to this incarnation. @param aId a new, unique identifier
  void StartTransfer(const std::string& aId);

  /// @brief Credits an open transfer, once. @return false if it is not open or has no tokens
  bool Credit(const Transfer& aTransfer);

  /// @brief Closes a transfer, so that a late answer to it is not credited.
  void DropTransfer(const std::string& aId) { mOpenTransfers.erase(aId); }

  /// @brief Updates the demand estimates and returns the shards to which this incarnation has to
  ///        write.
  std::set<int> DueShards(TimePoint aNow);

  /// @brief Returns the shards in which this incarnation may still hold tokens or have bills.
  std::set<int> OpenShards() const;

  /// @brief Whether requests wait for a refill.
  bool HasWaitingRequests() const;

  /// @brief Returns the tokens that the waiting requests still need, by budget.
  std::map<std::string, Tokens> Shortfalls() const;

  /**
   * @brief Updates the ledger from a shard that was read, and resolves writes of unknown outcome.
   * @return false if the read is older than a write that is known to have taken effect
   */
  bool Reconcile(int aShard, const ShardRecord& aRecord);

  /// @brief Plans a batch: enters this incarnation's bills, drawn tokens and returned tokens in the
  ///        record of a shard. @return the number of the batch
  std::int64_t Plan(int aShard, ShardRecord& aRecord, const PlanInput& aInput);

  /// @brief Applies a batch that took effect.
  void OnCommitted(int aShard, std::int64_t aBatch);

  /// @brief Drops a batch that did not take effect and cannot do so later.
  void OnNotCommitted(int aShard, std::int64_t aBatch);

  /// @brief Whether this incarnation has returned all tokens of a shard and closed its entries.
  bool IsClosed(int aShard) const;

  /**
   * @brief Ends a round for a budget: its requests no longer count as waiting, and must reserve
   *        again.
   *
   * If the free tokens do not cover the largest of these requests, reservations are refused for 50
   * to 800 ms if they exceed the free tokens and those that can be drawn. Nothing changes, and
   * another round is needed, if the key-value service is available and another draw may cover the
   * largest request: because a request came after the round's plan, or because the record has
   * enough unallocated tokens.
   *
   * @param aIsStoreAvailable whether the key-value service is available, so that tokens can
   *                          be drawn
   * @return false if another round is needed
   */
  bool RefuseWaiting(const std::string& aBudget, TimePoint aNow, bool aIsStoreAvailable);

  const std::map<std::string, Holding>& Holdings() const { return mHoldings; }

  /// @brief Number of queued bills, which are not known to be recorded.
  std::size_t StagedBills() const { return mStagedBills; }

  /// @brief Number of bills charged although an earlier bill of the same request may have been
  ///        pruned.
  std::uint64_t UncheckedBills() const { return mUncheckedBills; }

private:
  /// This holder's figures in a budget's record, as a batch writes them.
  struct PlannedBudget
  {
    Tokens mGranted = 0;
    Tokens mReturned = 0;
    Tokens mSpent = 0;
    Tokens mGiven = 0;
    Tokens mReceived = 0;
  };
  /// A batch whose outcome is not known yet.
  struct Pending
  {
    std::int64_t mBatch = 0;
    std::int64_t mCommit = 0; ///< ShardRecord::mCommits that it writes
    TimePoint mPlannedAt{};
    std::size_t mBills = 0; ///< number of bills from the front of ShardState::mBillQueue
    std::map<std::string, PlannedBudget> mBudgets;
    bool mIsClosing = false;
  };
  struct ShardState
  {
    std::int64_t mConfirmedCommit = 0; ///< commit of the last batch known to have taken effect
    /// Last commit seen by a read with an empty queue or by a confirmed write. If bills of later
    /// commits were pruned, queued bills cannot be checked for duplicates.
    std::int64_t mLastSeenCommit = 0;
    TimePoint mReportedAt{}; ///< when the last batch known to have taken effect was planned
    bool mIsClosed = false;
    std::vector<Pending> mPending;
    std::deque<Bill> mBillQueue; ///< bills that are not known to be recorded
    std::set<std::string> mBudgets;
  };

  Holding& HoldingOf(const std::string& aBudget);
  void ApplyCommitted(ShardState& aState, const Pending& aPending);
  void RecomputePending(ShardState& aState);
  std::int64_t ChargeIntervals(const ShardState& aState) const;
  void ChargeBills(ShardState& aState, ShardRecord& aRecord, Pending& aPending, Millis aWallTime);
  void PlanBudget(const std::string& aName,
                  ShardRecord& aRecord,
                  Pending& aPending,
                  const PlanInput& aInput);
  const Pending* FindCommitted(const ShardState& aState, const ShardRecord& aRecord) const;
  void ReconcileBudget(ShardState& aState, const std::string& aName, const BudgetRecord& aBudget);
  void DropRevokedBudget(ShardState& aState, const std::string& aBudget);

  std::string mIncarnation;
  const GrantPolicy& mPolicy;
  std::int64_t mNextBatch = 0;
  bool mHasDemand = false; ///< a request has come
  std::map<std::string, Holding> mHoldings;
  std::map<int, ShardState> mShards;
  std::set<std::string> mOpenTransfers;
  std::map<std::string, Transfer> mAnsweredTransfers;
  std::deque<std::string> mAnsweredOrder; ///< keys of mAnsweredTransfers, oldest first
  std::size_t mStagedBills = 0;
  std::uint64_t mUncheckedBills = 0;
};

} // namespace gentianloom

#endif
