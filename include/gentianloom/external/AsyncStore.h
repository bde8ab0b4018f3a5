#ifndef GENTIANLOOM_EXTERNAL_ASYNC_STORE_H
#define GENTIANLOOM_EXTERNAL_ASYNC_STORE_H

#include "gentianloom/external/KeyValueStore.h"
#include "gentianloom/external/StoreContact.h"
#include "gentianloom/net/HttpClient.h"
#include "gentianloom/net/Task.h"

#include <string>
#include <vector>

namespace gentianloom {

/// Response to a watch request.
struct WatchResponse
{
  std::int64_t mEra = 0;  ///< of the service, see AsyncStore::Era()
  bool mIsTooOld = false; ///< changes since the revision were discarded; read all keys again
  Revision mRevision = 0; ///< revision from which to continue the watch
  std::vector<WatchEvent> mEvents;
};

/// Result of a transaction, with the current entries after a conflict.
struct AsyncCommitResult
{
  CommitResult mCommit;
  std::vector<KeyValue> mCurrent; ///< after a conflict: existing entries of the conditions' keys
};

/// Calls of a client so far, by kind.
struct StoreCalls
{
  std::uint64_t mReads = 0; ///< pages
  std::uint64_t mWatches = 0;
  std::uint64_t mTransactions = 0;
  std::uint64_t mLeases = 0; ///< grants, renewals and revocations
};

/**
 * @brief Client of the platform's key-value service for code that runs on the event loop.
 *
 * Like KeyValueStore, but with coroutines. All failures have ErrorCode::PlatformUnavailable.
 */
class AsyncStore
{
public:
  virtual ~AsyncStore() = default;

  /**
   * @brief Returns the highest era that a response has stated; 0 if none has.
   *
   * The era rises when the service comes back from an older copy of its data: what was written
   * since the copy is gone, and revisions are given out a second time.
   */
  virtual std::int64_t Era() const { return 0; }

  /// @brief Reads all keys with a prefix, page by page.
  /// @return the entries and the revision of the first page
  virtual net::Task<Result<RangeResponse>> Range(std::string aPrefix) = 0;

  /// @brief Like Range(), but cheaper, and the result may be seconds old. Use it only for hints
  /// that a transaction checks.
  virtual net::Task<Result<RangeResponse>> RangeStale(std::string aPrefix) = 0;

  /// @brief Commits a transaction.
  virtual net::Task<AsyncCommitResult> Commit(Transaction aTransaction) = 0;

  /// @brief Waits up to @p aWait for changes after a revision.
  virtual net::Task<Result<WatchResponse>> Watch(std::string aPrefix,
                                                 Revision aAfter,
                                                 Millis aWait) = 0;

  /// @brief Grants a lease.
  virtual net::Task<Result<LeaseId>> GrantLease(Millis aTtl) = 0;

  /// @brief Renews a lease. @return false if it has expired or was revoked
  virtual net::Task<Result<bool>> RenewLease(LeaseId aLease) = 0;

  /// @brief What all calls of this client show about outages of the service.
  virtual const StoreContact& Contact() const = 0;

  /// @brief Bytes of all calls' bodies so far; zero for a store that uses no network.
  virtual net::BodyBytes Bytes() const { return {}; }

  /// @brief Calls made so far, whether answered or not; zero for a store that uses no network.
  virtual StoreCalls Calls() const { return {}; }

  /// @brief Revokes a lease, which deletes its keys.
  virtual net::Task<Result<void>> RevokeLease(LeaseId aLease) = 0;
};

} // namespace gentianloom

#endif
