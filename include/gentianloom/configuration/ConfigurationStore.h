#ifndef GENTIANLOOM_CONFIGURATION_CONFIGURATION_STORE_H
#define GENTIANLOOM_CONFIGURATION_CONFIGURATION_STORE_H

#include "gentianloom/configuration/AcceptedConfiguration.h"
#include "gentianloom/configuration/ConfigurationHead.h"
#include "gentianloom/external/KeyValueStore.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/// Versions that stay readable for `history`, `diff` and `rollback`.
inline constexpr std::size_t kKeptVersions = 64;

/// An order to apply a checked configuration.
struct ApplyRequest
{
  std::string mOperator;
  std::string mApplyId; ///< the same order again has the same one
  std::string mAction = "apply";
  std::optional<std::int64_t> mBaseVersion; ///< version that the file was built on; none: any
  std::int64_t mHighestKnown = 0; ///< highest version known anywhere; the new one lies above
  Millis mWallTime{ 0 };

  /// Further writes of the transaction that moves the head, such as the audit entry; or none.
  std::function<std::vector<Write>(const ConfigurationHead&)> mExtraWrites{};
};

/// What became of an order to apply.
struct ApplyResult
{
  ConfigurationHead mHead;
  bool mChanged = false; ///< false: the configuration in force stated the same already
};

/**
 * @brief Reads and writes accepted configurations in the key-value service.
 *
 * Chunks are immutable and written first; one transaction then moves the head from the revision
 * that was read. Thread-safe, since it holds no state.
 */
class ConfigurationStore
{
public:
  explicit ConfigurationStore(KeyValueStore& aStore)
    : mStore(aStore)
  {
  }

  /// @brief Reads the head record; version 0 if nothing was applied. Costs one call.
  Result<ConfigurationHead> ReadHead();

  /// @brief Reads the head records of the kept versions, oldest first. Costs one call.
  Result<std::vector<ConfigurationHead>> ReadHistory();

  /// @brief Reads one kept version's record. @return ErrorCode::OutOfRange if it is not kept
  Result<ConfigurationHead> ReadVersion(std::int64_t aVersion);

  /**
   * @brief Reads the chunks of a version.
   * @param aHave chunks that need no reading, or null
   * @return the whole set, or ErrorCode::StaleAnswer if the service lacks some of it
   * @par Complexity a call for the manifest and each lacking chunk, at most 17 calls
   */
  Result<ChunkSet> ReadChunks(const std::string& aDigest, const ChunkSet* aHave);

  /// @brief Reads a version whole. @param aHave a version that most chunks are shared with, or null
  Result<AcceptedConfigurationPtr> ReadConfiguration(const ConfigurationHead& aHead,
                                                     const AcceptedConfigurationPtr& aHave);

  /**
   * @brief Applies a checked configuration whole.
   *
   * The head moves at most once for an order, also if answers are lost and the order is repeated.
   *
   * @return what became of it, or an error: ErrorCode::Conflict if another version is in force than
   *         the order builds on or another operator won, ErrorCode::PlatformAnswerLost if the
   *         outcome could not be read back, ErrorCode::PlatformUnavailable if nothing took effect
   */
  Result<ApplyResult> Apply(const Configuration& aConfiguration, const ApplyRequest& aRequest);

  /**
   * @brief Finds out what became of an order whose answer was lost.
   * @return its head record, or nothing if no kept version came of it
   */
  Result<std::optional<ConfigurationHead>> FindByApplyId(std::string_view aApplyId);

  /**
   * @brief Deletes versions beyond the kept ones and chunks that no kept version needs.
   * @param aWallTime now; chunks of orders that were given up an hour ago go as well
   * @return how many keys were deleted
   */
  Result<std::size_t> Sweep(Millis aWallTime);

private:
  struct Attempt;

  /// Tells by a condition, which is never stale, whether a head that was read is the newest.
  Result<bool> IsNewest(const ConfigurationHead& aHead);

  Result<void> WriteChunks(const ChunkSet& aChunks, const Attempt& aAttempt);
  Result<ApplyResult> CommitHead(const Attempt& aAttempt);
  Result<ApplyResult> ResolveConflict(const Attempt& aAttempt);
  Result<Revision> ReadRevision(std::string_view aKey);
  static Error ConflictError(const ConfigurationHead& aWinner, std::int64_t aBase);

  KeyValueStore& mStore;
};

} // namespace gentianloom

#endif
