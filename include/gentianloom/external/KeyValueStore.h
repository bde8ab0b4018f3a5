#ifndef GENTIANLOOM_EXTERNAL_KEY_VALUE_STORE_H
#define GENTIANLOOM_EXTERNAL_KEY_VALUE_STORE_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/base/Error.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/// Revision of the key-value service; grows with every write. Zero means the key is absent.
using Revision = std::int64_t;

/// Identifier of a lease of the key-value service. Zero means none.
using LeaseId = std::int64_t;

/// One stored entry.
struct KeyValue
{
  std::string mKey;
  std::string mValue;
  Revision mCreateRevision = 0;
  Revision mModRevision = 0;
  LeaseId mLease = 0;
};

/// Answer to a read. An absent key is an empty list, not an error.
struct RangeResponse
{
  Revision mRevision = 0; ///< revision of the whole service at the read
  std::vector<KeyValue> mEntries;
};

/// A condition of a transaction: the key was last written at exactly this revision (0: absent).
struct Compare
{
  std::string mKey;
  Revision mModRevision = 0;
};

/// A write of a transaction.
struct Write
{
  std::string mKey;
  std::string mValue;
  LeaseId mLease = 0;
  bool mIsDelete = false;
};

/// Compare-and-swap over several keys: all writes happen if all conditions hold, else none.
struct Transaction
{
  std::vector<Compare> mCompares;
  std::vector<Write> mWrites;
};

/// What is known of the effect of a write.
enum class Effect : std::uint8_t
{
  Applied,    ///< the write happened, exactly once
  NotApplied, ///< the write did not happen and will not
  Unknown     ///< the answer was lost; read back an absolute value that names the writer
};

/// Answer to a transaction.
struct CommitResult
{
  Effect mEffect = Effect::Unknown;
  bool mIsConflict =
    false; ///< with Effect::NotApplied: a condition failed, so reading again may help
  Revision mRevision = 0; ///< with Effect::Applied: the revision of the writes
  Error mError{};         ///< with Effect::Unknown, or NotApplied without conflict: what happened
};

/// A change reported by a watch.
struct WatchEvent
{
  KeyValue mEntry;
  bool mIsDeleted = false;
};

/**
 * @brief The platform's key-value service. Implementations are thread-safe.
 *
 * Each call is one call of the service's budget, a waiting watch as well.
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
   * @param aIsPrefix whether all keys that start with @p aKey are wanted
   * @param aStep step that errors carry
   * @return the entries, or ErrorCode::PlatformUnavailable
   */
  virtual Result<RangeResponse> Range(std::string_view aKey, bool aIsPrefix, Step aStep) = 0;

  /**
   * @brief Commits a transaction.
   * @param aStep step that errors carry
   * @return what is known of its effect; never throws
   */
  virtual CommitResult Commit(const Transaction& aTransaction, Step aStep) = 0;

  /**
   * @brief Grants a lease.
   * @param aTtl its time to live, at least one second
   */
  virtual Result<LeaseId> GrantLease(std::chrono::seconds aTtl, Step aStep) = 0;

  /**
   * @brief Keeps a lease alive.
   * @return the time to live left from the moment the service answered; zero if the lease is gone
   */
  virtual Result<std::chrono::seconds> KeepAlive(LeaseId aLease, Step aStep) = 0;

  /// @brief Gives a lease back; its keys vanish.
  virtual Result<void> RevokeLease(LeaseId aLease, Step aStep) = 0;

  /**
   * @brief Waits for changes under a prefix, from a revision on.
   *
   * Returns when @p aOnEvents returns false, @p aTimeout has passed, or the service is away. Costs
   * one waiting call.
   *
   * @param aFrom first revision of interest
   * @param aOnEvents called with each batch and the service's revision; false ends the watch
   */
  virtual Result<void> Watch(
    std::string_view aPrefix,
    Revision aFrom,
    Millis aTimeout,
    const std::function<bool(const std::vector<WatchEvent>&, Revision)>& aOnEvents,
    Step aStep) = 0;

  /// @brief Ends waiting watches of exactly this prefix, and makes later ones return at once.
  virtual void StopWatches(std::string_view aPrefix) = 0;
};

} // namespace gentianloom

#endif
