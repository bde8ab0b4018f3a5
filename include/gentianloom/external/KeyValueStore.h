#ifndef GENTIANLOOM_EXTERNAL_KEY_VALUE_STORE_H
#define GENTIANLOOM_EXTERNAL_KEY_VALUE_STORE_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/base/Error.h"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/// Revision of the key-value service, which increases with every write. As the revision of a key,
/// zero means that the key does not exist.
using Revision = std::int64_t;

/// Identifier of a lease of the key-value service. Zero means none.
using LeaseId = std::int64_t;

/**
 * @brief Value of an entry that a response does not state in a way that can be read.
 *
 * No record has it, so that each reader ignores the entry as it does that of another writer. An
 * empty value, or no entry, would say that nothing is stored.
 */
inline constexpr std::string_view kUnreadableValue = "\xff";

/// One stored entry.
struct KeyValue
{
  std::string mKey;
  std::string mValue;
  Revision mCreateRevision = 0;
  Revision mModRevision = 0;
  LeaseId mLease = 0;
};

/// Response to a read. If the key does not exist, the list is empty; this is not an error.
struct RangeResponse
{
  std::int64_t mEra = 0;  ///< of the service, see AsyncStore::Era()
  Revision mRevision = 0; ///< revision of the service at the time of the read
  std::vector<KeyValue> mEntries;
};

/// @brief Returns the entry of one key; nullptr if there is none. A read of the key as a prefix
/// also returns the keys that begin with it.
const KeyValue* FindEntry(std::span<const KeyValue> aEntries, std::string_view aKey);

/// Condition of a transaction: the key was last written at exactly this revision, or does not exist
/// if the revision is zero.
struct Compare
{
  std::string mKey;
  Revision mModRevision = 0;
};

/// Write of a transaction.
struct Write
{
  std::string mKey;
  std::string mValue;
  LeaseId mLease = 0;
  bool mIsDelete = false;
};

/// Compare-and-swap over several keys: all writes are applied if all conditions hold, otherwise
/// none.
struct Transaction
{
  std::vector<Compare> mCompares;
  std::vector<Write> mWrites;
};

/// Whether a write was applied.
enum class Effect : std::uint8_t
{
  Applied,    ///< the write was applied exactly once
  NotApplied, ///< the write was not applied and will not be
  Unknown ///< the response was lost; to find out, read the key back and compare its value, which
          ///< must identify the writer
};

/// Result of a transaction.
struct CommitResult
{
  Effect mEffect = Effect::Unknown;
  bool mIsConflict = false; ///< for Effect::NotApplied: a condition failed; read the keys again and
                            ///< retry
  Revision mRevision = 0;   ///< for Effect::Applied: the revision of the writes
  Error mError{};           ///< for Effect::Unknown, or NotApplied without a conflict
};

/// Change reported by a watch.
struct WatchEvent
{
  KeyValue mEntry;
  bool mIsDeleted = false;
};

/**
 * @brief Client of the platform's key-value service. Implementations are thread-safe.
 *
 * Each call, including a waiting watch, counts once against the service's limit on calls.
 *
 * @sa EtcdStore
 */
class KeyValueStore
{
public:
  virtual ~KeyValueStore() = default;

  /**
   * @brief Reads all keys with a prefix, or one key.
   * @param aKey the key or prefix
   * @param aIsPrefix whether to read all keys that start with @p aKey
   * @param aStep step to set in errors
   * @return the entries, or ErrorCode::PlatformUnavailable
   */
  virtual Result<RangeResponse> Range(std::string_view aKey, bool aIsPrefix, Step aStep) = 0;

  /**
   * @brief Commits a transaction.
   * @param aStep step to set in errors
   * @return whether it was applied, and the error if not; never throws
   */
  virtual CommitResult Commit(const Transaction& aTransaction, Step aStep) = 0;

  /**
   * @brief Grants a lease.
   * @param aTtl time to live, at least one second
   * @return the lease, or ErrorCode::PlatformUnavailable
   */
  virtual Result<LeaseId> GrantLease(std::chrono::seconds aTtl, Step aStep) = 0;

  /**
   * @brief Renews a lease.
   * @return the remaining time to live, measured from the service's response; zero if the lease no
   *         longer exists; or ErrorCode::PlatformUnavailable
   */
  virtual Result<std::chrono::seconds> KeepAlive(LeaseId aLease, Step aStep) = 0;

  /// @brief Revokes a lease, which deletes its keys.
  virtual Result<void> RevokeLease(LeaseId aLease, Step aStep) = 0;

  /**
   * @brief Waits for changes to keys with a prefix, starting at a revision.
   *
   * Returns when @p aOnEvents returns false, @p aTimeout has passed, or the service becomes
   * unavailable.
   *
   * @param aFrom first revision to report
   * @param aOnEvents called with each batch of events and the service's revision; the watch ends
   *        when it returns false
   */
  virtual Result<void> Watch(
    std::string_view aPrefix,
    Revision aFrom,
    Millis aTimeout,
    const std::function<bool(const std::vector<WatchEvent>&, Revision)>& aOnEvents,
    Step aStep) = 0;

  /// @brief Ends the active watches of exactly this prefix and makes later ones return at once.
  virtual void StopWatches(std::string_view aPrefix) = 0;
};

} // namespace gentianloom

#endif
