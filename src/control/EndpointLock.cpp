#include "gentianloom/control/EndpointLock.h"

namespace gentianloom {

EndpointLock::EndpointLock(KeyValueStore& aStore,
                           std::string aHolder,
                           const ControlOptions& aOptions,
                           const Clock& aClock)
  : mStore(aStore)
  , mHolder(std::move(aHolder))
  , mOptions(aOptions)
  , mClock(aClock)
{
}

Result<LockGrant> EndpointLock::Acquire(const std::string& aShard,
                                        const std::string& aEndpoint,
                                        bool aInterruptsServing)
{
  LockGrant grant;
  grant.mValidUntil = mClock.Now() + mOptions.mLeaseTtl;
  BOOST_OUTCOME_TRY(lease, mStore.GrantLease(mOptions.mLeaseTtl, Step::OrderLease));
  grant.mLease = lease;
  auto token = WriteKeys(aShard, aEndpoint, aInterruptsServing, lease);
  if (!token) {
    Release(grant);
    return token.error();
  }
  grant.mFencingToken = token.value();
  return grant;
}

Result<Revision> EndpointLock::WriteKeys(const std::string& aShard,
                                         const std::string& aEndpoint,
                                         bool aInterruptsServing,
                                         LeaseId aLease)
{
  const auto endpointKey = std::string(kControlPrefix) + "endpoints/" + aEndpoint;
  const auto shardKey = std::string(kControlPrefix) + "shards/" + aShard;
  const auto value = mHolder + " " + std::to_string(aLease);
  Transaction transaction{ { { endpointKey, 0 } }, { { endpointKey, value, aLease } } };
  if (aInterruptsServing) {
    transaction.mCompares.push_back({ shardKey, 0 });
    transaction.mWrites.push_back({ shardKey, value, aLease });
  }
  const auto result = mStore.Commit(transaction, Step::OrderLease);
  if (result.mEffect == Effect::Applied) {
    return result.mRevision;
  }
  if (result.mEffect == Effect::Unknown) {
    BOOST_OUTCOME_TRY(range, mStore.Range(endpointKey, false, Step::OrderLease));
    if (!range.mEntries.empty() && range.mEntries.front().mValue == value) {
      return range.mEntries.front().mCreateRevision;
    }
  } else if (!result.mIsConflict) {
    return result.mError;
  }
  return MakeError(ErrorCode::Conflict,
                   Step::OrderLease,
                   aEndpoint,
                   "another router holds the lock on this endpoint or its shard");
}

std::optional<TimePoint> EndpointLock::Renew(const LockGrant& aGrant)
{
  const auto requestedAt = mClock.Now();
  const auto ttl = mStore.KeepAlive(aGrant.mLease, Step::OrderLease);
  if (!ttl) {
    return std::nullopt;
  }
  return ttl.value().count() > 0 ? requestedAt + ttl.value() : TimePoint{};
}

void EndpointLock::Release(const LockGrant& aGrant)
{
  static_cast<void>(mStore.RevokeLease(aGrant.mLease, Step::OrderLease));
}

} // namespace gentianloom
