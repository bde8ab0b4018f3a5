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

/// Number of versions that are kept for `history`, `diff` and `rollback`.
inline constexpr std::size_t kKeptVersions = 64;

/// A request to apply a checked configuration.
struct ApplyRequest
{
  std::string mOperator;
  std::string mApplyId; ///< idempotency key: a repeated request has the same one
  std::string mAction = "apply";
  std::optional<std::int64_t> mBaseVersion; ///< version that the file was built on; none: any
  std::int64_t mHighestKnown = 0; ///< of the router that applies; the new version is higher
  Millis mWallTime{ 0 };

  /// Returns further writes for the transaction that moves the head, such as the audit entry; may
  /// be empty.
  std::function<std::vector<Write>(const ConfigurationHead&)> mExtraWrites{};
};

/// The result of an apply.
struct ApplyResult
{
  ConfigurationHead mHead;
  bool mChanged = false; ///< false: the same configuration was in force already
};

/**
 * @brief Reads and writes accepted configurations in the key-value service.
 *
 * Chunks are immutable and written first; then one transaction moves the head, on the condition
 * that the head's revision is still the one that was read. Thread-safe, since it has no mutable
 * state.
 */
class ConfigurationStore
{
public:
  explicit ConfigurationStore(KeyValueStore& aStore)
    : mStore(aStore)
  {
  }

  /// @brief Reads the head record. Costs one call.
  /// @return the record; its version is 0 if no configuration was applied yet
  Result<ConfigurationHead> ReadHead();

  /// @brief Reads the head records of the kept versions, oldest first. Costs one call.
  Result<std::vector<ConfigurationHead>> ReadHistory();

  /// @brief Reads the head record of one version.
  /// @return the record, or ErrorCode::OutOfRange if the version is not kept
  Result<ConfigurationHead> ReadVersion(std::int64_t aVersion);

  /**
   * @brief Reads the chunks of a version.
   * @param aDigest digest of the manifest
   * @param aCached chunks that need not be read again, or null
   * @return the complete set, or ErrorCode::StaleAnswer if the service did not return all chunks
   * @par Complexity one call for the manifest and one for each missing chunk, at most 17 calls
   */
  Result<ChunkSet> ReadChunks(const std::string& aDigest, const ChunkSet* aCached);

  /// @brief Reads a complete version.
  /// @param aPrevious a version that has most chunks in common with it, or null
  /// @return the version, null for version 0, or an error as from ReadChunks()
  Result<AcceptedConfigurationPtr> ReadConfiguration(const ConfigurationHead& aHead,
                                                     const AcceptedConfigurationPtr& aPrevious);

  /**
   * @brief Applies a checked configuration atomically.
   *
   * A request moves the head at most once, even if responses are lost and the request is repeated.
   *
   * @return the result, or an error: ErrorCode::Conflict if the version in force is not the
   *         request's base version or another operator's apply won, ErrorCode::PlatformAnswerLost
   *         if the outcome could not be determined, ErrorCode::PlatformUnavailable if nothing was
   *         changed
   */
  Result<ApplyResult> Apply(const Configuration& aConfiguration, const ApplyRequest& aRequest);

  /**
   * @brief Looks up the outcome of an apply whose response was lost.
   * @return the head record that the apply wrote, or nothing if no kept version has this id
   */
  Result<std::optional<ConfigurationHead>> FindByApplyId(std::string_view aApplyId);

  /**
   * @brief Deletes the versions beyond the kept ones and the chunks that no kept version uses.
   * @param aWallTime the present wall time; chunks of unfinished applies are deleted after an hour
   * @return the number of deleted keys, or ErrorCode::Conflict if the head moved meanwhile
   */
  Result<std::size_t> Sweep(Millis aWallTime);

private:
  struct Attempt;

  /// Checks by a transaction's condition, which unlike a read is never stale, whether a head that
  /// was read is the newest.
  Result<bool> IsNewest(const ConfigurationHead& aHead);

  Result<void> WriteChunks(const ChunkSet& aChunks, const Attempt& aAttempt);
  Result<ApplyResult> CommitHead(const Attempt& aAttempt);
  Result<ApplyResult> ResolveConflict(const Attempt& aAttempt);
  Result<Revision> ReadRevision(std::string_view aKey);
  static Error MakeConflictError(const ConfigurationHead& aWinner, std::int64_t aBaseVersion);

  KeyValueStore& mStore;
};

} // namespace gentianloom

#endif
