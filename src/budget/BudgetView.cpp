#include "gentianloom/budget/BudgetView.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// A holder that was silent for longer is shown as in doubt; live ones report each minute.
constexpr Millis kSilence{ 180'000 };

} // namespace

BudgetView ViewOf(const ShardRecord& aShard, const std::string& aBudget, Millis aNow)
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
  Tokens fresh = 0;
  for (const auto& [name, it] : budget.mHolders) {
    const auto writer = aShard.mWriters.find(name);
    const auto age = writer == aShard.mWriters.end() ? aNow : aNow - writer->second.mWritten;
    const bool silent = age > kSilence && it.Rest() != 0;
    out.mHolders.push_back({ name, it.mSpent, it.Rest(), age, silent, it.mReleased });
    out.mOldestReport = it.Rest() == 0 ? out.mOldestReport : std::max(out.mOldestReport, age);
    fresh += silent ? 0 : it.Rest();
  }
  const auto granted = budget.Granted() - out.mSpent;
  out.mHeld = std::clamp<Tokens>(fresh, 0, std::max<Tokens>(0, granted));
  out.mInDoubt = granted - out.mHeld;
  return out;
}

Result<Tokens> Release(ShardRecord& aShard, const ReleaseOrder& aOrder)
{
  const auto fail = [&aOrder](ErrorCode aCode, const std::string& aText) {
    return MakeError(aCode, Step::GrantReturn, aOrder.mIncarnation, aText);
  };
  const auto budget = aShard.mBudgets.find(aOrder.mBudget);
  if (budget == aShard.mBudgets.end() || !budget->second.mHolders.contains(aOrder.mIncarnation)) {
    return fail(ErrorCode::UnknownReference,
                "no such incarnation holds rights of the budget \"" + aOrder.mBudget +
                  "\"; see gentianloom budget show");
  }
  auto& holder = budget->second.mHolders[aOrder.mIncarnation];
  if (holder.mReleased) {
    return fail(ErrorCode::Conflict, "its rights were released before");
  }
  const auto given = std::max(holder.mGiven, budget->second.KnownGiven(aOrder.mIncarnation));
  const auto least = holder.mSpent + given;
  const auto most = holder.Net() + holder.Received();
  if (aOrder.mUsed < least || aOrder.mUsed > most) {
    return fail(ErrorCode::OutOfRange,
                "used must be from " + std::to_string(least) + " to " + std::to_string(most) +
                  ": it reported that much and held no more");
  }
  const auto unbilled = aOrder.mUsed - least;
  holder.mGiven = given;
  holder.mSpent += unbilled;
  if (unbilled > 0) {
    budget->second.mUsage[{ std::string(kReleasedUsage), "", DayOf(aOrder.mNow) }] += unbilled;
  }
  const auto freed = most - aOrder.mUsed;
  holder.mReturned += freed;
  holder.mReleased = true;
  ++aShard.mCommits;
  return freed;
}

} // namespace gentianloom
