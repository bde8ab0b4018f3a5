#ifndef GENTIANLOOM_CONTROL_ENDPOINT_LOCK_H
#define GENTIANLOOM_CONTROL_ENDPOINT_LOCK_H

#include "gentianloom/control/EndpointJob.h"

#include <string>

namespace gentianloom {

/// Prefix of the keys that give the right to order.
inline constexpr std::string_view kControlPrefix = "/gentianloom/control/";

/**
 * @brief Locks of single endpoints, and of a shard's one endpoint that is taken out of serving, in
 *        the key-value service.
 *
 * Both keys of a job hang on a lease of its own, so a job that is over costs one revoke: a job is
 * three writes and a keep-alive for each third of the lease. The fencing number is the revision at
 * which the keys were created; it grows over all endpoints and holders.
 */
class EndpointLock
{
public:
  /// @param aHolder names this run of this router; stands in the keys' value
  EndpointLock(KeyValueStore& aStore,
               std::string aHolder,
               const ControlOptions& aRules,
               const Clock& aClock);

  /**
   * @brief Takes the locks of one job.
   * @param aDisturbs whether the endpoint serves now, so that the shard's lock is needed as well
   * @return ErrorCode::Conflict if another holds one of them, or ErrorCode::PlatformUnavailable;
   *         a lost answer is resolved by reading back
   */
  Result<LockGrant> Acquire(const std::string& aShard,
                            const std::string& aEndpoint,
                            bool aDisturbs);

  /**
   * @brief Keeps a grant alive.
   * @return until when it is valid; TimePoint{} if it is gone; nothing if the service is away
   */
  std::optional<TimePoint> Renew(const LockGrant& aGrant);

  /// @brief Gives a grant back; if the answer is lost, the lease lapses by itself.
  void Release(const LockGrant& aGrant);

private:
  Result<Revision> Write(const std::string& aShard,
                         const std::string& aEndpoint,
                         bool aDisturbs,
                         LeaseId aLease);

  KeyValueStore& mStore;
  std::string mHolder;
  ControlOptions mRules;
  const Clock& mClock;
};

} // namespace gentianloom

#endif
