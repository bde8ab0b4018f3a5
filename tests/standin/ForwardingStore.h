#ifndef GENTIANLOOM_TESTS_STANDIN_FORWARDING_STORE_H
#define GENTIANLOOM_TESTS_STANDIN_FORWARDING_STORE_H

#include "gentianloom/external/KeyValueStore.h"

namespace gentianloom::standin {

/**
 * @brief Forwards every call to another store; derived classes override single calls.
 *
 * The inner store may be a member of the derived class: it is not used before the first call.
 */
class ForwardingStore : public KeyValueStore
{
public:
  explicit ForwardingStore(KeyValueStore& aInner)
    : mInner(aInner)
  {
  }

  Result<RangeResponse> Range(std::string_view aKey, bool aIsPrefix, Step aStep) override
  {
    return mInner.Range(aKey, aIsPrefix, aStep);
  }
  CommitResult Commit(const Transaction& aTransaction, Step aStep) override
  {
    return mInner.Commit(aTransaction, aStep);
  }
  Result<LeaseId> GrantLease(std::chrono::seconds aTtl, Step aStep) override
  {
    return mInner.GrantLease(aTtl, aStep);
  }
  Result<std::chrono::seconds> KeepAlive(LeaseId aLease, Step aStep) override
  {
    return mInner.KeepAlive(aLease, aStep);
  }
  Result<void> RevokeLease(LeaseId aLease, Step aStep) override
  {
    return mInner.RevokeLease(aLease, aStep);
  }
  Result<void> Watch(std::string_view aPrefix,
                     Revision aFrom,
                     Millis aTimeout,
                     const std::function<bool(const std::vector<WatchEvent>&, Revision)>& aOnEvents,
                     Step aStep) override
  {
    return mInner.Watch(aPrefix, aFrom, aTimeout, aOnEvents, aStep);
  }
  void StopWatches(std::string_view aPrefix) override { mInner.StopWatches(aPrefix); }

private:
  KeyValueStore& mInner;
};

} // namespace gentianloom::standin

#endif
