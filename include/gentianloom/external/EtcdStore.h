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
 * @brief Adapter for a key-value service that speaks the etcd v3 JSON-over-HTTP mapping.
 *
 * Calls go to the addresses in turn; a write is sent to one address only, since a second try could
 * write twice.
 */
class EtcdStore final : public KeyValueStore
{
public:
  /**
   * @brief Makes the adapter; connects to nothing yet.
   * @param aAddresses `host:port` of the service, at least one
   * @param aTimeout for each call
   * @return the adapter, or ErrorCode::BadSettings
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
  class WaitingWatch;

  EtcdStore(std::vector<std::string> aAddresses, Millis aTimeout);

  std::vector<std::string> mAddresses;
  Millis mTimeout;
  std::mutex mWatchMutex;
  std::set<WaitingWatch*> mWatches;
  std::set<std::string, std::less<>> mStoppedPrefixes;
};

} // namespace gentianloom

#endif
