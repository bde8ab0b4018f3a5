#include "gentianloom/gateway/InstanceRegistration.h"

#include "gentianloom/base/Log.h"
#include "gentianloom/net/Backoff.h"
#include "gentianloom/net/Signal.h"

namespace gentianloom {

namespace {

/// TTL of the lease, and the interval to renew it.
constexpr Millis kLeaseTtl{ 3'000 };
constexpr Millis kRenewalInterval{ 1'000 };
/// Interval at which it is checked whether the record has to be written.
constexpr Millis kCheckInterval{ 200 };
/// Longest pause after failed calls.
constexpr Millis kMaxRetryPause{ 800 };

} // namespace

InstanceRegistration::InstanceRegistration(net::Loop& aLoop,
                                           AsyncStore& aStore,
                                           const InstanceRecord& aSelf,
                                           std::function<bool()> aMayBeListed)
  : mLoop(aLoop)
  , mStore(aStore)
  , mSelf(aSelf)
  , mMayBeListed(std::move(aMayBeListed))
  , mWake(aLoop)
{
}

void InstanceRegistration::Start()
{
  net::Start(mLoop, "instance record", Run());
}

net::Task<bool> InstanceRegistration::WriteRecord()
{
  if (mLease == 0) {
    const auto lease = co_await mStore.GrantLease(kLeaseTtl);
    if (!lease) {
      co_return false;
    }
    mLease = lease.value();
  }
  Transaction transaction;
  transaction.mWrites.push_back(
    { std::string(kInstancePrefix) + mSelf.mName, ToText(mSelf), mLease });
  const auto answer = co_await mStore.Commit(std::move(transaction));
  if (answer.mCommit.mEffect != Effect::Applied) {
    // Retried with a new lease. The write has no precondition, so repeating it is safe even if it
    // took effect and only the response was lost.
    mLease = 0;
    co_return false;
  }
  co_return true;
}

net::Task<bool> InstanceRegistration::RenewLease()
{
  const auto renewed = co_await mStore.RenewLease(mLease);
  if (!renewed || renewed.value()) {
    co_return true; // after a failed call the lease may still be alive
  }
  LogChange(LogLevel::Warning, "instances", "the lease of this instance's record has expired", {});
  mLease = 0;
  co_return false;
}

net::Task<void> InstanceRegistration::Run()
{
  bool isWritten = false;
  bool isLeavingPublished = false;
  net::Backoff backoff(kCheckInterval, kMaxRetryPause);
  while (true) {
    // After the store came back from an older copy, the record may be gone and the lease's number
    // may be another instance's.
    if (mStore.Era() != mEra) {
      mEra = mStore.Era();
      mLease = 0;
      isWritten = false;
    }
    if (mSelf.mIsLeaving || mMayBeListed()) {
      if (!isWritten || isLeavingPublished != mSelf.mIsLeaving) {
        const bool isLeaving = mSelf.mIsLeaving;
        isWritten = co_await WriteRecord();
        isLeavingPublished = isWritten ? isLeaving : isLeavingPublished;
        if (!isWritten) {
          co_await net::Signal::Sleep(mLoop, backoff.Next());
          continue;
        }
        backoff.Reset();
      } else {
        isWritten = co_await RenewLease();
        if (!isWritten) {
          continue;
        }
      }
    }
    const bool isUpToDate = isWritten && isLeavingPublished == mSelf.mIsLeaving;
    const auto pause = isUpToDate && !mSelf.mIsLeaving ? kRenewalInterval : kCheckInterval;
    co_await mWake.WaitFor(pause);
  }
}

net::Task<void> InstanceRegistration::Revoke()
{
  if (mLease == 0) {
    co_return;
  }
  const auto revoked = co_await mStore.RevokeLease(mLease);
  if (!revoked) {
    LogChange(LogLevel::Warning,
              "instances",
              "the lease of this instance's record could not be revoked; it will expire",
              { { "error", ToString(revoked.error()) } });
  }
}

} // namespace gentianloom
