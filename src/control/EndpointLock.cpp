#include "gentianloom/control/EndpointLock.h"

namespace gentianloom {

EndpointLock::EndpointLock(KeyValueStore& aStore,
                           std::string aHolder,
                           const ControlOptions& aRules,
                           const Clock& aClock)
  : mStore(aStore)
  , mHolder(std::move(aHolder))
  , mRules(aRules)
  , mClock(aClock)
{
}

Result<LockGrant> EndpointLock::Acquire(const std::string& aShard,
                                        const std::string& aEndpoint,
                                        bool aDisturbs)
{
  LockGrant out;
  out.mValidUntil = mClock.Now() + mRules.mLeaseTtl;
  BOOST_OUTCOME_TRY(lease, mStore.GrantLease(mRules.mLeaseTtl, Step::OrderLease));
  out.mLease = lease;
  auto fencing = Write(aShard, aEndpoint, aDisturbs, lease);
  if (!fencing) {
    Release(out);
    return fencing.error();
  }
  out.mFencingToken = fencing.value();
  return out;
}

Result<Revision> EndpointLock::Write(const std::string& aShard,
                                     const std::string& aEndpoint,
                                     bool aDisturbs,
                                     LeaseId aLease)
{
  const auto endpointKey = std::string(kControlPrefix) + "endpoints/" + aEndpoint;
  const auto shardKey = std::string(kControlPrefix) + "shards/" + aShard;
  const auto value = mHolder + " " + std::to_string(aLease);
  Transaction transaction{ { { endpointKey, 0 } }, { { endpointKey, value, aLease } } };
  if (aDisturbs) {
    transaction.mCompares.push_back({ shardKey, 0 });
    transaction.mWrites.push_back({ shardKey, value, aLease });
  }
  const auto answer = mStore.Commit(transaction, Step::OrderLease);
  if (answer.mEffect == Effect::Applied) {
    return answer.mRevision;
  }
  if (answer.mEffect == Effect::Unknown) {
    BOOST_OUTCOME_TRY(range, mStore.Range(endpointKey, false, Step::OrderLease));
    if (!range.mEntries.empty() && range.mEntries.front().mValue == value) {
      return range.mEntries.front().mCreateRevision;
    }
  } else if (!answer.mIsConflict) {
    return answer.mError;
  }
  return MakeError(ErrorCode::Conflict,
                   Step::OrderLease,
                   aEndpoint,
                   "another router gives orders to this endpoint or its shard");
}

std::optional<TimePoint> EndpointLock::Renew(const LockGrant& aGrant)
{
  const auto asked = mClock.Now();
  const auto left = mStore.KeepAlive(aGrant.mLease, Step::OrderLease);
  if (!left) {
    return std::nullopt;
  }
  return left.value().count() > 0 ? asked + left.value() : TimePoint{};
}

void EndpointLock::Release(const LockGrant& aGrant)
{
  static_cast<void>(mStore.RevokeLease(aGrant.mLease, Step::OrderLease));
}

} // namespace gentianloom
