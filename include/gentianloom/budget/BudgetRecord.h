#ifndef GENTIANLOOM_BUDGET_BUDGET_RECORD_H
#define GENTIANLOOM_BUDGET_BUDGET_RECORD_H

#include "gentianloom/base/Error.h"
#include "gentianloom/billing/Bill.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace gentianloom {

/// Cumulative figures of one incarnation in a budget. Only that incarnation writes them, except
/// that a successor or an operator may close its holding.
struct HolderRecord
{
  Tokens mGranted = 0;                       ///< tokens drawn from the budget
  Tokens mReturned = 0;                      ///< tokens returned to the budget
  Tokens mSpent = 0;                         ///< tokens billed
  Tokens mGiven = 0;                         ///< tokens transferred to other incarnations
  std::map<std::string, Tokens> mReceived{}; ///< tokens from other incarnations, by giver
  bool mReleased = false;                    ///< released by an operator's order

  /// @brief Tokens drawn and not returned.
  Tokens NetGranted() const { return mGranted - mReturned; }
  /// @brief Tokens received from all other incarnations.
  Tokens Received() const;
  /// @brief Tokens held and not billed yet.
  Tokens Unspent() const { return NetGranted() + Received() - mGiven - mSpent; }
};

/// Key of an entry in the usage reports.
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

/// One budget as stored in the key-value service.
struct BudgetRecord
{
  Tokens mPrepaid = 0;       ///< size of the budget
  std::int64_t mVersion = 0; ///< configuration version that mPrepaid comes from
  std::map<std::string, HolderRecord> mHolders;
  /// Sum of the closed holders and of those whose entries are kept elsewhere; mReceived has only
  /// givers that are still open.
  HolderRecord mClosed;
  int mSeparateHolders = 0; ///< open holders whose entries are kept elsewhere
  std::map<UsageKey, Tokens> mUsage;

  /// @brief Tokens granted to all holders and not returned. No draw may raise it above mPrepaid.
  Tokens Granted() const;

  /// @brief Tokens billed by all holders.
  Tokens Spent() const;

  /// @brief Tokens granted to no holder; negative if the budget was lowered below the tokens
  ///        granted.
  Tokens Unallocated() const { return mPrepaid - Granted(); }

  /// @brief Tokens that the other holders have recorded as received from an incarnation.
  Tokens ReceivedFrom(const std::string& aGiver) const;

  /// @brief Sets the prepaid figure if it comes from a newer configuration version.
  void UpdatePrepaid(Tokens aPrepaid, std::int64_t aVersion);

  /// @brief Number of holders that are not closed.
  int OpenHolders() const { return static_cast<int>(mHolders.size()) + mSeparateHolders; }

  /// @brief Removes a holder that has no unspent tokens, and adds its figures to mClosed.
  void CloseHolder(const std::string& aIncarnation);
};

/// The bill of a request, kept while another run of the request may still report its own.
struct BillRecord
{
  Tokens mTokens = 0;
  std::int64_t mCommit = 0; ///< ShardRecord::mCommits when it was written
  Millis mWritten{ 0 };     ///< wall-clock time of the writer
};

/// The last batch that an incarnation wrote to a shard. It shows whether a write whose answer was
/// lost took effect.
struct WriterRecord
{
  std::int64_t mBatch = 0;  ///< number of the batch
  std::int64_t mCommit = 0; ///< ShardRecord::mCommits of the batch
  Millis mWritten{ 0 };     ///< wall-clock time of the writer
};

/// Several budgets stored in one value of the key-value service.
struct ShardRecord
{
  std::int64_t mEra = 0;     ///< era of the key-value service at the last write, see AsyncStore
  std::int64_t mCommits = 0; ///< number of writes
  std::int64_t mPruned = 0;  ///< bills of commits up to this one may have been removed too early
  std::map<std::string, WriterRecord> mWriters;
  std::map<std::string, BudgetRecord> mBudgets;
  std::map<std::string, BillRecord> mBills;

  /**
   * @brief Removes the bills of requests of which no other run can be reported any more.
   *
   * If more than kMaxBillsPerShard remain, the oldest are removed as well and mPruned is raised.
   *
   * @param aNow current wall-clock time
   */
  void PruneBills(Millis aNow);
};

/// What one incarnation has in a shard, kept apart from it.
struct SeparateHoldings
{
  WriterRecord mWriter;
  std::map<std::string, HolderRecord> mHolders; ///< by budget
};

/**
 * @brief Takes the entries of one incarnation out of a shard, so that the shard holds only sums and
 *        does not grow with the number of incarnations.
 *
 * Entries with transfers from or to other incarnations stay in the shard.
 * @return the entries; unset if the incarnation is not a writer of the shard
 */
std::optional<SeparateHoldings> SeparateHolder(ShardRecord& aShard,
                                               const std::string& aIncarnation);

/// @brief Puts entries that SeparateHolder() returned back into the shard.
void InsertHolder(ShardRecord& aShard,
                  const std::string& aIncarnation,
                  const SeparateHoldings& aHoldings);

/// @brief Converts to JSON, for the key-value service.
nlohmann::json ToJson(const SeparateHoldings& aHoldings);

/// @brief Converts from JSON. Throws nlohmann::json::exception if the JSON is malformed.
SeparateHoldings ParseSeparateHoldings(const nlohmann::json& aJson);

/// Number of shards; part of the stored format.
inline constexpr int kShards = 256;

/// Longest time after the first run of a request in which callers retry it.
inline constexpr Millis kRetryWindow{ 120'000 };

/// Limit on the bills in one shard, which take about 30 bytes each.
inline constexpr std::size_t kMaxBillsPerShard = 10'000;

/// Organisation to which Release() charges tokens without a bill.
inline constexpr std::string_view kReleasedOrganisation = "(released)";

/// @brief Returns the shard of a budget. @par Complexity linear in the name
int ShardOf(std::string_view aBudget);

/// @brief Returns the key of a shard in the key-value service.
std::string ShardKey(int aShard);

/// @brief Parses a stored shard; an empty text is an empty shard.
/// @return the shard, or ErrorCode::Internal if the text is malformed
Result<ShardRecord> ParseShard(std::string_view aText);

/// @brief Serialises a shard for the key-value service.
std::string SerializeShard(const ShardRecord& aShard);

} // namespace gentianloom

#endif
