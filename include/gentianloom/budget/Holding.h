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
 * @brief What one incarnation of a router holds of one budget. Pure.
 *
 * Invariant: Free() >= 0. Numbers below the line in the key-value service follow only from what is
 * known to have taken effect there; what is under way stays deducted.
 */
struct Holding
{
  // Confirmed by the key-value service.
  Tokens mGranted = 0;
  Tokens mReturned = 0;
  Tokens mSpent = 0;
  // Local.
  Tokens mReturning = 0; ///< deducted, return under way
  Tokens mDrawing = 0;   ///< draw under way; not to be sold yet
  Tokens mStaged = 0;    ///< used, bill under way
  Tokens mReserved = 0;  ///< set aside for requests in flight
  Tokens mGiven = 0;     ///< given to peers
  std::map<std::string, Tokens> mReceived{};
  bool mRevoked = false; ///< an operator closed this incarnation's rights

  // What the last read of the record showed.
  Tokens mLeftSeen = 0;
  Tokens mPrepaidSeen = 0;
  Tokens mOthersRest = 0;                 ///< see GrantInput
  std::optional<Tokens> mOthersSpentSeen; ///< all that others have spent
  int mHoldersSeen = 1;

  // Demand.
  double mDemand = 0; ///< tokens a second, decayed
  double mWeight = 0; ///< share of the estimate's memory that was observed, 0 to 1
  Tokens mLargest = 0;
  Tokens mTaken = 0;        ///< since mTicked
  Tokens mOthersTaken = 0;  ///< what others reported as spent since mTicked
  double mOthersDemand = 0; ///< tokens a second, decayed
  double mSteadyFor = 0;    ///< see GrantInput
  TimePoint mTicked{};

  // Requests that wait.
  Tokens mWaitingTokens = 0; ///< sum of the bounds that wait
  Tokens mWantedMost = 0;    ///< largest of them
  Tokens mWantedLeast = 0;   ///< smallest of them
  bool mLooked = false;      ///< whether a draw was planned since the first of them came
  Tokens mRefusedFrom = 0;
  TimePoint mRefusedUntil{};
  int mRefusals = 0; ///< rounds in a row that left requests short

  // What the record does not show yet.
  bool mChanged = false;

  Tokens Received() const;
  Tokens Free() const;

  /// @brief Tokens used or set aside for requests in flight, since the incarnation started.
  Tokens Used() const { return mSpent + mStaged + mReserved; }

  /// @brief Takes what a read of the record shows of all holders together.
  void See(const BudgetRecord& aBudget, const HolderRecord& aOwn);

  /// @brief Whether a further draw may serve what waits.
  bool MayDraw() const;

  /// @brief Brings the demand estimate up to date. @param aMemory its time constant, seconds
  void Tick(TimePoint aNow, double aMemory);

  GrantInput Input() const;

  /// @brief Tokens to draw. @param aLeft granted to nobody
  Tokens Draw(const GrantPolicy& aPolicy, Tokens aLeft) const;

  /// @brief Tokens to give back: what idles, or what a lowered budget asks for.
  Tokens Excess(const GrantPolicy& aPolicy, Tokens aLeft) const;

  /// @brief Whether a refill is due before requests have to wait for it.
  bool IsLow(const GrantPolicy& aPolicy) const;
};

} // namespace gentianloom

#endif
