#ifndef GENTIANLOOM_BUDGET_BUDGET_RECORD_H
#define GENTIANLOOM_BUDGET_BUDGET_RECORD_H

#include "gentianloom/base/Error.h"
#include "gentianloom/billing/Bill.h"

#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace gentianloom {

/// What one incarnation last reported of one budget: cumulative, written only by itself.
struct HolderRecord
{
  Tokens mGranted = 0;                       ///< drawn from the budget
  Tokens mReturned = 0;                      ///< given back to the budget
  Tokens mSpent = 0;                         ///< billed
  Tokens mGiven = 0;                         ///< given to other incarnations
  std::map<std::string, Tokens> mReceived{}; ///< by giver
  bool mReleased = false;                    ///< closed by an operator's order

  Tokens Net() const { return mGranted - mReturned; }
  Tokens Received() const;
  Tokens Rest() const { return Net() + Received() - mGiven - mSpent; }
};

/// Whose use it was, for usage reports.
struct UsageKey
{
  std::string mOrganisation;
  std::string mModel;
  std::int64_t mDay = 0;

  friend bool operator<(const UsageKey& aLeft, const UsageKey& aRight)
  {
    return std::tie(aLeft.mOrganisation, aLeft.mModel, aLeft.mDay) <
           std::tie(aRight.mOrganisation, aRight.mModel, aRight.mDay);
  }
};

/// One budget as the key-value service holds it.
struct BudgetRecord
{
  Tokens mPrepaid = 0;
  std::int64_t mVersion = 0; ///< configuration version that stated the prepaid figure
  std::map<std::string, HolderRecord> mHolders;
  HolderRecord mClosed; ///< sum of incarnations that left gracefully; receipts by open giver
  std::map<UsageKey, Tokens> mUsage;

  /// @brief Rights granted and not returned. Never grows above the prepaid figure.
  Tokens Granted() const;
  Tokens Spent() const;
  Tokens Unallocated() const { return mPrepaid - Granted(); }

  /// @brief What others are known to have received from an incarnation.
  Tokens KnownGiven(const std::string& aGiver) const;

  /// @brief Takes over the stated prepaid figure unless the record's is of a newer version.
  void State(Tokens aPrepaid, std::int64_t aVersion);

  /// @brief Folds an incarnation that holds nothing any more into the sum of the closed ones.
  void Fold(const std::string& aIncarnation);
};

/// A request's bill, kept while another run of the same request may still report.
struct BillRecord
{
  Tokens mTokens = 0;
  std::int64_t mCommit = 0; ///< Shard::mCommits when it was written
  Millis mWritten{ 0 };     ///< wall-clock time of the writer
};

/// What an incarnation last wrote to a shard; resolves lost answers.
struct WriterRecord
{
  std::int64_t mBatch = 0;  ///< number of its last batch here
  std::int64_t mCommit = 0; ///< Shard::mCommits of that batch
  Millis mWritten{ 0 };     ///< its wall-clock time
};

/// Many budgets in one value of the key-value service.
struct ShardRecord
{
  std::int64_t mCommits = 0; ///< writes so far
  std::int64_t mPruned = 0;  ///< bills of commits up to this one may have been forgotten by force
  std::map<std::string, WriterRecord> mWriters;
  std::map<std::string, BudgetRecord> mBudgets;
  std::map<std::string, BillRecord> mBills;

  /// @brief Forgets bills that no run can report again; by force above the most that are kept.
  void PruneBills(Millis aNow);
};

/// Number of shards; part of the stored format.
inline constexpr int kShards = 256;

/// A caller's retries come within this time of the first run.
inline constexpr Millis kRetryWindow{ 120'000 };

/// Bills kept in one shard, about 30 bytes each.
inline constexpr std::size_t kMostBills = 10'000;

/// Organisation under which an operator's release charges what no bill names.
inline constexpr std::string_view kReleasedUsage = "(released)";

/// @brief Shard of a budget. @par Complexity linear in the name
int ShardOf(std::string_view aBudget);

/// @brief Key of a shard in the key-value service.
std::string ShardKey(int aShard);

/// @brief Reads a stored shard; an empty text is an empty shard.
Result<ShardRecord> ParseShard(std::string_view aText);

/// @brief Writes a shard for storing.
std::string ShardText(const ShardRecord& aShard);

} // namespace gentianloom

#endif
