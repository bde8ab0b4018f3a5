#ifndef GENTIANLOOM_CONTROL_ENDPOINT_LOCK_H
#define GENTIANLOOM_CONTROL_ENDPOINT_LOCK_H

#include "gentianloom/control/EndpointJob.h"

#include <string>

namespace gentianloom {

/// Prefix of the lock keys.
inline constexpr std::string_view kControlPrefix = "/gentianloom/control/";

/**
 * @brief Acquires the locks that a job needs, as keys in the key-value service.
 *
 * Each job locks its endpoint. A job that interrupts serving also locks the shard, so that only one
 * endpoint of a shard is taken out of serving at a time.
 *
 * Both keys of a job are attached to its own lease, so that one revocation releases them: a job
 * costs three writes and one keep-alive for each third of the TTL. The fencing token is the
 * revision at which the keys were created; it increases across all endpoints and holders.
 */
class EndpointLock
{
public:
  /// @param aHolder unique identifier of this run of the router, part of the keys' values
  EndpointLock(KeyValueStore& aStore,
               std::string aHolder,
               const ControlOptions& aOptions,
               const Clock& aClock);

  /**
   * @brief Acquires the locks of one job. If the result of the write is lost, the key is read back.
   * @param aInterruptsServing whether the endpoint serves now, so that the shard is locked as well
   * @return the grant, ErrorCode::Conflict if another router holds one of the locks, or
   * ErrorCode::PlatformUnavailable
   */
  Result<LockGrant> Acquire(const std::string& aShard,
                            const std::string& aEndpoint,
                            bool aInterruptsServing);

  /**
   * @brief Renews the lease of a grant.
   * @return the time until which the grant is valid; TimePoint{} if the lease no longer exists;
   * std::nullopt if the key-value service is unavailable
   */
  std::optional<TimePoint> Renew(const LockGrant& aGrant);

  /// @brief Revokes the lease of a grant. If the revocation fails, the lease expires by itself.
  void Release(const LockGrant& aGrant);

private:
  Result<Revision> WriteKeys(const std::string& aShard,
                             const std::string& aEndpoint,
                             bool aInterruptsServing,
                             LeaseId aLease);

  KeyValueStore& mStore;
  std::string mHolder;
  ControlOptions mOptions;
  const Clock& mClock;
};

} // namespace gentianloom

#endif
