#ifndef GENTIANLOOM_EXTERNAL_ETCD_STORE_H
#define GENTIANLOOM_EXTERNAL_ETCD_STORE_H

#include "gentianloom/external/KeyValueStore.h"

#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace gentianloom {

/**
 * @brief Client of a key-value service with the JSON-over-HTTP API of etcd v3.
 *
 * Requests try the addresses in order. A transaction is not retried at the next address once it may
 * have been sent, because it could then be applied twice. A watch uses only the first address.
 */
class EtcdStore final : public KeyValueStore
{
public:
  /**
   * @brief Creates the client without connecting.
   * @param aAddresses `host:port` of the service, at least one
   * @param aTimeout for each of connect, send and receive
   * @return the client, or ErrorCode::BadSettings if an address is malformed or none is given
   */
  static Result<std::unique_ptr<EtcdStore>> Create(std::vector<std::string> aAddresses,
                                                   Millis aTimeout);

  Result<RangeResponse> Range(std::string_view aKey, bool aIsPrefix, Step aStep) override;
  CommitResult Commit(const Transaction& aTransaction, Step aStep) override;
  Result<LeaseId> GrantLease(std::chrono::seconds aTtl, Step aStep) override;
  Result<std::chrono::seconds> KeepAlive(LeaseId aLease, Step aStep) override;
  Result<void> RevokeLease(LeaseId aLease, Step aStep) override;
  Result<void> Watch(std::string_view aPrefix,
                     Revision aFrom,
                     Millis aTimeout,
                     const std::function<bool(const std::vector<WatchEvent>&, Revision)>& aOnEvents,
                     Step aStep) override;
  void StopWatches(std::string_view aPrefix) override;

private:
  class ActiveWatch;

  EtcdStore(std::vector<std::string> aAddresses, Millis aTimeout);

  std::vector<std::string> mAddresses;
  Millis mTimeout;
  std::mutex mWatchMutex; ///< guards the members below
  std::set<ActiveWatch*> mWatches;
  std::set<std::string, std::less<>> mStoppedPrefixes; ///< watches of these return at once
};

} // namespace gentianloom

#endif
