#ifndef GENTIANLOOM_EXTERNAL_ASYNC_STORE_H
#define GENTIANLOOM_EXTERNAL_ASYNC_STORE_H

#include "gentianloom/external/KeyValueStore.h"
#include "gentianloom/net/Task.h"

#include <string>
#include <vector>

namespace gentianloom {

/// Answer to a watch.
struct WatchResponse
{
  bool mIsTooOld = false; ///< the history is gone; everything has to be read again
  Revision mRevision = 0; ///< revision to go on from
  std::vector<WatchEvent> mEvents;
};

/// Answer to a transaction, with what a failed condition met.
struct AsyncCommitResult
{
  CommitResult mCommit;
  std::vector<KeyValue> mCurrent; ///< after a conflict: the entries of the conditions that exist
};

/**
 * @brief The platform's key-value service for code on the event loop.
 *
 * As KeyValueStore, but calls are coroutines. Failures carry ErrorCode::PlatformUnavailable.
 */
class AsyncStore
{
public:
  virtual ~AsyncStore() = default;

  /// @brief Reads all keys with a prefix. The revision is that of the first page.
  virtual net::Task<Result<RangeResponse>> Range(std::string aPrefix) = 0;

  /// @brief As Range(), but cheap and perhaps seconds old: for hints that a transaction checks.
  virtual net::Task<Result<RangeResponse>> RangeStale(std::string aPrefix) = 0;

  /// @brief Commits a transaction.
  virtual net::Task<AsyncCommitResult> Commit(Transaction aTransaction) = 0;

  /// @brief Waits for changes after a revision, at most @p aWait.
  virtual net::Task<Result<WatchResponse>> Watch(std::string aPrefix,
                                                 Revision aAfter,
                                                 Millis aWait) = 0;

  /// @brief Grants a lease.
  virtual net::Task<Result<LeaseId>> GrantLease(Millis aTtl) = 0;

  /// @brief Renews a lease. @return false if it has ended
  virtual net::Task<Result<bool>> RenewLease(LeaseId aLease) = 0;

  /// @brief Ends a lease; its keys vanish.
  virtual net::Task<Result<void>> RevokeLease(LeaseId aLease) = 0;
};

} // namespace gentianloom

#endif
