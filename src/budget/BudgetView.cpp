#include "gentianloom/budget/BudgetView.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// A holder with unspent tokens is shown as in doubt if its last report is older than this. Running
/// incarnations report at least once per minute.
constexpr Millis kActivityTimeout{ 180'000 };

} // namespace

BudgetView MakeBudgetView(const ShardRecord& aShard, const std::string& aBudget, Millis aNow)
{
  BudgetView out;
  const auto found = aShard.mBudgets.find(aBudget);
  if (found == aShard.mBudgets.end()) {
    return out;
  }
  const auto& budget = found->second;
  out.mPrepaid = budget.mPrepaid;
  out.mVersion = budget.mVersion;
  out.mSpent = budget.Spent();
  out.mUnallocated = budget.Unallocated();
  out.mUsage = budget.mUsage;
  Tokens heldByActive = 0;
  for (const auto& [name, it] : budget.mHolders) {
    const auto writer = aShard.mWriters.find(name);
    const auto age = writer == aShard.mWriters.end() ? aNow : aNow - writer->second.mWritten;
    const bool isInDoubt = age > kActivityTimeout && it.Unspent() != 0;
    out.mHolders.push_back({ name, it.mSpent, it.Unspent(), age, isInDoubt, it.mReleased });
    out.mOldestReport = it.Unspent() == 0 ? out.mOldestReport : std::max(out.mOldestReport, age);
    heldByActive += isInDoubt ? 0 : it.Unspent();
  }
  const auto grantedUnspent = budget.Granted() - out.mSpent;
  out.mHeld = std::clamp<Tokens>(heldByActive, 0, std::max<Tokens>(0, grantedUnspent));
  out.mInDoubt = grantedUnspent - out.mHeld;
  return out;
}

Result<Tokens> Release(ShardRecord& aShard, const ReleaseOrder& aOrder)
{
  const auto makeError = [&aOrder](ErrorCode aCode, const std::string& aText) {
    return MakeError(aCode, Step::GrantReturn, aOrder.mIncarnation, aText);
  };
  const auto budget = aShard.mBudgets.find(aOrder.mBudget);
  if (budget == aShard.mBudgets.end() || !budget->second.mHolders.contains(aOrder.mIncarnation)) {
    return makeError(ErrorCode::UnknownReference,
                     "this incarnation holds no tokens of the budget \"" + aOrder.mBudget +
                       "\"; see gentianloom budget show");
  }
  auto& holder = budget->second.mHolders[aOrder.mIncarnation];
  if (holder.mReleased) {
    return makeError(ErrorCode::Conflict, "this incarnation was already released");
  }
  const auto given = std::max(holder.mGiven, budget->second.ReceivedFrom(aOrder.mIncarnation));
  const auto minUsed = holder.mSpent + given;
  const auto maxUsed = holder.NetGranted() + holder.Received();
  if (aOrder.mUsed < minUsed || aOrder.mUsed > maxUsed) {
    return makeError(ErrorCode::OutOfRange,
                     "used must be from " + std::to_string(minUsed) + " to " +
                       std::to_string(maxUsed) + ": the tokens it reported and the tokens it held");
  }
  const auto unbilled = aOrder.mUsed - minUsed;
  holder.mGiven = given;
  holder.mSpent += unbilled;
  if (unbilled > 0) {
    budget->second
      .mUsage[{ std::string(kReleasedOrganisation), "", DaysSinceEpoch(aOrder.mNow) }] += unbilled;
  }
  const auto freed = maxUsed - aOrder.mUsed;
  holder.mReturned += freed;
  holder.mReleased = true;
  ++aShard.mCommits;
  return freed;
}

} // namespace gentianloom
