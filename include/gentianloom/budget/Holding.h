#ifndef GENTIANLOOM_BUDGET_HOLDING_H
#define GENTIANLOOM_BUDGET_HOLDING_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/budget/BudgetRecord.h"
#include "gentianloom/budget/GrantPolicy.h"

#include <map>
#include <optional>
#include <string>

namespace gentianloom {

/**
 * @brief Tokens of one budget that one incarnation of a router holds. Does no input or output.
 *
 * Invariant: Free() >= 0. The confirmed figures change only after a write is known to have taken
 * effect. Until then, tokens that are being returned or billed are already deducted, and tokens
 * that are being drawn are not added yet.
 */
struct Holding
{
  // Confirmed by the key-value service, cumulative.
  Tokens mGranted = 0;
  Tokens mReturned = 0;
  Tokens mSpent = 0;
  // Known only locally.
  Tokens mReturning = 0;    ///< deducted; the return is not confirmed yet
  Tokens mDrawing = 0;      ///< being drawn; must not be used before the draw is confirmed
  Tokens mStagedTokens = 0; ///< used; the bill is not confirmed yet
  Tokens mReserved = 0;     ///< reserved for requests in flight
  Tokens mGiven = 0;        ///< transferred to peers, cumulative
  std::map<std::string, Tokens> mReceived{}; ///< transferred from peers, by giver
  bool mIsRevoked = false;                   ///< an operator released this holding

  // From the last read of the record.
  Tokens mLastUnallocated = 0;
  Tokens mLastPrepaid = 0;
  Tokens mOthersUnspent = 0;              ///< see GrantInput
  std::optional<Tokens> mLastOthersSpent; ///< cumulative tokens spent by all others
  int mLastHolderCount = 1;

  // Demand estimate.
  double mDemand = 0;                 ///< tokens per second, exponentially decayed
  double mEstimateWeight = 0;         ///< see GrantInput::mObservedFraction
  Tokens mLargestRequest = 0;         ///< see GrantInput
  Tokens mReservedSinceUpdate = 0;    ///< reserved since mDemandUpdatedAt
  Tokens mOthersSpentSinceUpdate = 0; ///< reported as spent by others since mDemandUpdatedAt
  double mOthersDemand = 0;           ///< tokens per second, exponentially decayed
  double mSecondsSinceOutage = 0;     ///< see GrantInput
  TimePoint mDemandUpdatedAt{};

  // Requests that wait for a refill.
  Tokens mWaitingTokens = 0;    ///< sum of the waiting reservations
  Tokens mLargestWaiting = 0;   ///< largest waiting reservation
  Tokens mSmallestWaiting = 0;  ///< smallest waiting reservation
  bool mIsDrawPlanned = false;  ///< a draw was planned after the first request began to wait
  Tokens mMinRefusedTokens = 0; ///< smallest reservation that is refused until mRefusedUntil
  TimePoint mRefusedUntil{};
  int mRefusals = 0; ///< consecutive rounds after which requests were refused

  /// Whether tokens are held in advance; otherwise they are drawn for waiting requests only.
  bool mHoldsReserve = true;
  bool mHasChanges = false; ///< figures changed locally and have to be written to the record

  /// @brief Tokens received from all peers.
  Tokens Received() const;

  /// @brief Tokens available for reservations, before the limit that UsageCaps sets; 0 after the
  ///        holding was revoked.
  Tokens Free() const;

  /// @brief Tokens used or reserved for requests in flight, since the incarnation started.
  Tokens Used() const { return mSpent + mStagedTokens + mReserved; }

  /// @brief Updates the figures that a read of the record shows.
  /// @param aOwn this incarnation's entry
  void UpdateFromRecord(const BudgetRecord& aBudget, const HolderRecord& aOwn);

  /// @brief Whether another draw may cover the largest waiting request.
  bool MayDraw() const;

  /// @brief Updates the demand estimates. @param aTimeConstant time constant of the decay, seconds
  void UpdateDemand(TimePoint aNow, double aTimeConstant);

  /// @brief Collects the input for a policy's decisions.
  GrantInput MakeGrantInput() const;

  /// @brief Returns the tokens to draw. @param aUnallocated tokens granted to no holder
  Tokens TokensToDraw(const GrantPolicy& aPolicy, Tokens aUnallocated) const;

  /// @brief Returns the tokens to return because they are unused or the budget was lowered.
  Tokens TokensToReturn(const GrantPolicy& aPolicy, Tokens aUnallocated) const;

  /// @brief Returns the tokens that should be free after a refill.
  Tokens Target(const GrantPolicy& aPolicy, const GrantInput& aInput) const;

  /// @brief Whether requests wait for tokens, or the free tokens are below the refill threshold and
  ///        unallocated tokens are left.
  bool NeedsRefill(const GrantPolicy& aPolicy) const;
};

} // namespace gentianloom

#endif
