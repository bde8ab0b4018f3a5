#ifndef GENTIANLOOM_BUDGET_BUDGET_VIEW_H
#define GENTIANLOOM_BUDGET_BUDGET_VIEW_H

#include "gentianloom/budget/BudgetRecord.h"

#include <vector>

namespace gentianloom {

/// One holder as operators see it.
struct HolderView
{
  std::string mIncarnation;
  Tokens mSpent = 0;
  Tokens mUnspent = 0;
  Millis mAge{ 0 }; ///< since its last report
  bool mInDoubt = false;
  bool mReleased = false;
};

/// One budget as operators see it. Prepaid = spent + held + in doubt + left, always.
struct BudgetView
{
  Tokens mPrepaid = 0;
  std::int64_t mVersion = 0;
  Tokens mSpent = 0;
  Tokens mHeld = 0;          ///< by incarnations that reported lately
  Tokens mInDoubt = 0;       ///< by incarnations that did not, or under way between two of them
  Tokens mUnallocated = 0;   ///< negative after the budget was lowered below what is granted
  Millis mOldestReport{ 0 }; ///< age of the oldest report in the figures
  std::vector<HolderView> mHolders;
  std::map<UsageKey, Tokens> mUsage;
};

/// @brief Makes the view of a budget. Age only changes what is shown, never who may spend.
BudgetView ViewOf(const ShardRecord& aShard, const std::string& aBudget, Millis aNow);

/// An operator's order to close the rights of an incarnation that is gone for good.
struct ReleaseOrder
{
  std::string mBudget;
  std::string mIncarnation;
  Tokens mUsed = 0; ///< all that it sold or gave away, by the engines' and routers' journals
  Millis mNow{ 0 };
};

/**
 * @brief Charges what the order states, frees the rest and closes the incarnation's rights.
 * @return the tokens freed; ErrorCode::UnknownReference if there is no such holder,
 *         ErrorCode::OutOfRange if the order contradicts what is recorded
 */
Result<Tokens> Release(ShardRecord& aShard, const ReleaseOrder& aOrder);

} // namespace gentianloom

#endif
