#include "gentianloom/membership/MemberRecords.h"

#include "gentianloom/base/Address.h"
#include "gentianloom/base/JsonFields.h"
#include "gentianloom/base/JsonReader.h"

#include <algorithm>

namespace gentianloom {

namespace {

constexpr Millis kRetryDelay{ 5'000 };
constexpr Step kStep = Step::RequestPlace;

} // namespace

MemberRecords::MemberRecords(KeyValueStore& aStore,
                             MembershipService& aMembership,
                             const MemberRecordIntervals& aIntervals,
                             const Clock& aClock,
                             Metrics& aMetrics)
  : mStore(aStore)
  , mMembership(aMembership)
  , mIntervals(aIntervals)
  , mClock(aClock)
  , mFailures(aMetrics.CounterOf("gentianloom_membership_record_failures_total"))
{
}

MemberRecords::~MemberRecords()
{
  Stop();
}

void MemberRecords::Start()
{
  mThread = std::thread([this] { Run(); });
}

void MemberRecords::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mWake.notify_all();
  if (mThread.joinable()) {
    mThread.join();
    if (mLease != 0) {
      static_cast<void>(mStore.RevokeLease(mLease, Step::DrainFlush));
    }
  }
}

void MemberRecords::Run()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    lock.unlock();
    const auto wait = RunOnce();
    lock.lock();
    mWake.wait_for(lock, wait, [this] { return mStopping; });
  }
}

Millis MemberRecords::RunOnce()
{
  if (mClock.Now() >= mNextRenewal) {
    const bool succeeded = RenewRecord().has_value();
    mNextRenewal = mClock.Now() + (succeeded ? Millis(mIntervals.mRenewInterval) : kRetryDelay);
    mFailures.Add(succeeded ? 0 : 1);
  }
  const auto readInterval =
    mMembership.LiveCount() == 0 ? mIntervals.mReadWhileAlone : mIntervals.mReadInterval;
  mNextRead = std::min(mNextRead, mClock.Now() + readInterval);
  if (mClock.Now() >= mNextRead) {
    const bool succeeded = ReadRecords().has_value();
    mNextRead = mClock.Now() + (succeeded ? Millis(readInterval) : kRetryDelay);
    mFailures.Add(succeeded ? 0 : 1);
  }
  const auto due = std::min({ mNextRenewal, mNextRead, mClock.Now() + mIntervals.mReadWhileAlone });
  return std::max(Millis(1), std::chrono::duration_cast<Millis>(due - mClock.Now()));
}

Result<void> MemberRecords::RenewRecord()
{
  if (mLease != 0) {
    BOOST_OUTCOME_TRY(left, mStore.KeepAlive(mLease, kStep));
    if (left.count() > 0) {
      return success();
    }
  }
  BOOST_OUTCOME_TRY(lease, mStore.GrantLease(mIntervals.mTtl, kStep));
  mLease = lease;
  const auto self = mMembership.Self();
  const Json record = { { "name", self.name },
                        { "incarnation", self.incarnation },
                        { "peerAddress", self.peerAddress },
                        { "zone", self.zone } };
  const auto answer = mStore.Commit(
    { {}, { { std::string(kMemberKeyPrefix) + self.name, record.dump(), mLease } } }, kStep);
  if (answer.mEffect == Effect::NotApplied) {
    mLease = 0;
    return answer.mError;
  }
  return success(); // if the outcome is unknown, the next renewal keeps or replaces the lease
}

Result<void> MemberRecords::ReadRecords()
{
  BOOST_OUTCOME_TRY(range, mStore.Range(kMemberKeyPrefix, true, kStep));
  for (const auto& it : range.mEntries) {
    const auto record = Json::parse(it.mValue, nullptr, false);
    const auto name = FindText(record, "name");
    const auto address = FindText(record, "peerAddress");
    if (name && address && ParseAddress(*address)) {
      mMembership.AddCandidate(*name, *address);
    }
  }
  return success();
}

} // namespace gentianloom
