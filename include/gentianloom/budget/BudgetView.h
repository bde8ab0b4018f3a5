#ifndef GENTIANLOOM_BUDGET_BUDGET_VIEW_H
#define GENTIANLOOM_BUDGET_BUDGET_VIEW_H

#include "gentianloom/budget/BudgetRecord.h"

#include <vector>

namespace gentianloom {

/// One holder of a budget as shown to operators.
struct HolderView
{
  std::string mIncarnation;
  Tokens mSpent = 0;
  Tokens mUnspent = 0;
  Millis mAge{ 0 };       ///< time since its last report
  bool mInDoubt = false;  ///< it has unspent tokens and has not reported for 3 minutes
  bool mReleased = false; ///< released by an operator's order
};

/// One budget as shown to operators. Invariant: prepaid = spent + held + in doubt + unallocated.
struct BudgetView
{
  Tokens mPrepaid = 0;
  std::int64_t mVersion = 0; ///< configuration version of the prepaid figure
  Tokens mSpent = 0;
  Tokens mHeld = 0;          ///< unspent tokens of holders that are not in doubt
  Tokens mInDoubt = 0;       ///< other unspent tokens, including those in transfer between two
  Tokens mUnallocated = 0;   ///< negative if the budget was lowered below the tokens granted
  Millis mOldestReport{ 0 }; ///< age of the oldest report of a holder with unspent tokens
  std::vector<HolderView> mHolders;
  std::map<UsageKey, Tokens> mUsage;
};

/**
 * @brief Summarises the record of a budget for operators.
 *
 * The age of a report affects only the figures shown, never which incarnation may spend tokens.
 *
 * @param aNow current wall-clock time
 */
BudgetView MakeBudgetView(const ShardRecord& aShard, const std::string& aBudget, Millis aNow);

/// An operator's order to close the holding of an incarnation that has ended for good.
struct ReleaseOrder
{
  std::string mBudget;
  std::string mIncarnation;
  Tokens mUsed = 0; ///< all tokens used or given away, from the engines' and routers' logs
  Millis mNow{ 0 }; ///< wall-clock time of the order
};

/**
 * @brief Charges the tokens that the order states as used, frees the holder's other tokens and
 *        marks the holder as released.
 * @return the number of tokens freed; ErrorCode::UnknownReference if there is no such holder,
 *         ErrorCode::Conflict if it was released before, ErrorCode::OutOfRange if the order
 *         contradicts the record
 */
Result<Tokens> Release(ShardRecord& aShard, const ReleaseOrder& aOrder);

} // namespace gentianloom

#endif
