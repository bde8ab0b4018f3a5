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

/// Answer to a try to reserve.
enum class ReserveAnswer
{
  Reserved,
  Wait,       ///< a refill is under way; try again when told
  Exhausted,  ///< neither the budget nor the fleet has enough left
  Unavailable ///< too many bills wait for the key-value service
};

/// What the configuration in force states of a budget.
struct ConfiguredBudget
{
  Tokens mPrepaid = 0; ///< 0 if it states no such budget
  std::int64_t mVersion = 0;
};

/// Rights that a giver deducted for a taker.
struct Transfer
{
  std::string mId;
  std::string mBudget;
  std::string mGiver;
  Tokens mTokens = 0;
};

/// What a plan looks at besides the ledger and the record.
struct PlanInput
{
  TimePoint mNow{};
  Millis mWallTime{};
  std::function<ConfiguredBudget(const std::string&)> mConfiguredBudget;
  bool mClosing = false; ///< return all rights and fold this incarnation
};

/**
 * @brief The rights and bills of one incarnation of a router. Pure decisions, no input or output.
 *
 * The caller reads a shard, gives it to Learn(), lets Plan() change it, commits it by
 * compare-and-swap on what was read, and tells the effect. An unknown effect needs no call: the
 * next Learn() finds the batch in the record or does not.
 */
class Ledger
{
public:
  Ledger(std::string aIncarnation, const GrantPolicy& aPolicy);

  const std::string& Incarnation() const { return mIncarnation; }

  /// @brief Notes for how many seconds the key-value service has answered without a failure.
  void SetSteadyFor(double aSeconds);

  /// @brief Notes that rights of a budget will be needed, before any request asks for them.
  void Hold(const std::string& aBudget, TimePoint aNow);

  /**
   * @brief Sets tokens aside; an answer of Wait notes the want.
   * @param aRoom tokens that may be used now, if that is less than what is free
   */
  ReserveAnswer Reserve(const std::string& aBudget,
                        Tokens aTokens,
                        TimePoint aNow,
                        Tokens aRoom = std::numeric_limits<Tokens>::max());

  /// @brief Frees a reservation and stages the bill of what was used, at most the reservation.
  void Settle(Bill aBill, Tokens aReserved);

  /// @brief Gives rights to a peer; the same transfer gives the same answer again.
  Transfer Give(const std::string& aId,
                const std::string& aBudget,
                Tokens aTokens,
                const std::string& aTaker);

  /// @brief Opens a transfer to this incarnation. @param aId never used before
  void StartTransfer(const std::string& aId);

  /// @brief Credits an open transfer once. @return whether it was credited now
  bool Credit(const Transfer& aTransfer);

  /// @brief Gives up a transfer; an answer that still comes is not credited.
  void DropTransfer(const std::string& aId) { mAsked.erase(aId); }

  /// @brief Shards that have something to draw or to report.
  std::set<int> DueShards(TimePoint aNow);

  /// @brief Shards in which this incarnation still has rights or bills to return or report.
  std::set<int> OpenShards() const;

  /// @brief Whether requests wait for a refill.
  bool HasWaitingRequests() const;

  /// @brief What is missing for the requests that wait, by budget.
  std::map<std::string, Tokens> Shortfalls() const;

  /**
   * @brief Takes over what a read of a shard proves.
   * @return false if the read is older than what is known already
   */
  bool Reconcile(int aShard, const ShardRecord& aRecord);

  /// @brief Changes a shard that was just learned. @return number of the batch
  std::int64_t Plan(int aShard, ShardRecord& aRecord, const PlanInput& aInput);

  void OnCommitted(int aShard, std::int64_t aBatch);    ///< the batch is in the record
  void OnNotCommitted(int aShard, std::int64_t aBatch); ///< it is not and cannot come later

  /// @brief Whether the last batch returned all rights of a shard and folded this incarnation.
  bool IsClosed(int aShard) const;

  /**
   * @brief Ends a round of refills: what still waits is refused for a while.
   *
   * While the key-value service answers, a want that came after the round's plan, or that the
   * record had enough left for, is not refused but looked at again.
   *
   * @param aStoreAnswers whether a further draw can be made
   * @return false if another round is due
   */
  bool RefuseWaiting(const std::string& aBudget, TimePoint aNow, bool aStoreAnswers);

  const std::map<std::string, Holding>& Holdings() const { return mHoldings; }
  std::size_t StagedBills() const { return mStagedBills; }
  std::uint64_t UncheckedBills() const { return mUncheckedBills; }

private:
  struct PlannedBudget
  {
    Tokens mGranted = 0;
    Tokens mReturned = 0;
    Tokens mSpent = 0;
    Tokens mGiven = 0;
    Tokens mReceived = 0;
  };
  struct Pending
  {
    std::int64_t mBatch = 0;
    std::int64_t mCommit = 0; ///< ShardRecord::mCommits that it writes
    TimePoint mPlanned{};
    std::size_t mBills = 0;
    std::map<std::string, PlannedBudget> mBudgets;
    bool mClosing = false;
  };
  struct ShardState
  {
    std::int64_t mConfirmed = 0; ///< commit of the last batch known to be in the record
    std::int64_t mSeenCommit = 0;
    TimePoint mReported{}; ///< when the last batch known to be in the record was planned
    bool mClosed = false;
    std::vector<Pending> mPending;
    std::deque<Bill> mStaged;
    std::set<std::string> mBudgets;
  };

  Holding& Of(const std::string& aBudget);
  void Apply(ShardState& aState, const Pending& aPending);
  void Recount(ShardState& aState);
  std::int64_t ChargeSteps(const ShardState& aState) const;
  void ChargeBills(ShardState& aState, ShardRecord& aRecord, Pending& aPending, Millis aWallTime);
  void PlanBudget(const std::string& aName,
                  ShardRecord& aRecord,
                  Pending& aPending,
                  const PlanInput& aInput);
  const Pending* FindLanded(const ShardState& aState, const ShardRecord& aRecord) const;
  void LearnBudget(ShardState& aState, const std::string& aName, const BudgetRecord& aBudget);
  void DropRevoked(ShardState& aState, const std::string& aBudget);

  std::string mIncarnation;
  const GrantPolicy& mPolicy;
  std::int64_t mNextBatch = 0;
  bool mHasDemand = false; ///< whether any request has asked for rights yet
  std::map<std::string, Holding> mHoldings;
  std::map<int, ShardState> mShards;
  std::set<std::string> mAsked;
  std::map<std::string, Transfer> mGiven;
  std::deque<std::string> mGivenOrder;
  std::size_t mStagedBills = 0;
  std::uint64_t mUncheckedBills = 0;
};

} // namespace gentianloom

#endif
