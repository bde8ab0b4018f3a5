#ifndef GENTIANLOOM_GATEWAY_INSTANCE_REGISTRATION_H
#define GENTIANLOOM_GATEWAY_INSTANCE_REGISTRATION_H

#include "gentianloom/external/AsyncStore.h"
#include "gentianloom/membership/InstanceDirectory.h"
#include "gentianloom/net/Signal.h"

#include <functional>

namespace gentianloom {

/**
 * @brief Keeps an instance's record in the key-value service, under a lease that it renews.
 *
 * The record is written once the instance may be listed, again when it begins to leave, and again
 * with a new lease if the lease has expired.
 */
class InstanceRegistration
{
public:
  /**
   * @param aSelf record of this instance; its flag for leaving may change
   * @param aMayBeListed whether the instance may be listed; not asked any more once it leaves
   */
  InstanceRegistration(net::Loop& aLoop,
                       AsyncStore& aStore,
                       const InstanceRecord& aSelf,
                       std::function<bool()> aMayBeListed);

  /// @brief Starts keeping the record. Call it once.
  void Start();

  /// @brief Writes the record at once if it has changed.
  void Wake() { mWake.Notify(); }

  /// @brief Revokes the lease, which deletes the record. A failure is logged.
  net::Task<void> Revoke();

private:
  net::Task<void> Run();
  /// @return whether the write took effect
  net::Task<bool> WriteRecord();
  /// @return false if the lease has expired
  net::Task<bool> RenewLease();

  net::Loop& mLoop;
  AsyncStore& mStore;
  const InstanceRecord& mSelf;
  std::function<bool()> mMayBeListed;
  net::Signal mWake;
  std::int64_t mEra = 0; ///< of the store, when the record was last written or checked
  LeaseId mLease = 0;    ///< 0 if there is none
};

} // namespace gentianloom

#endif
