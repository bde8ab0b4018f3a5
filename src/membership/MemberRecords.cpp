#include "gentianloom/membership/MemberRecords.h"

#include "gentianloom/base/JsonReader.h"

#include <algorithm>

namespace gentianloom {

namespace {

constexpr Millis kRetry{ 5'000 };
constexpr Step kStep = Step::RequestPlace;

} // namespace

MemberRecords::MemberRecords(KeyValueStore& aStore,
                             MembershipService& aMembership,
                             const MemberRecordIntervals& aTimes,
                             const Clock& aClock,
                             Metrics& aMetrics)
  : mStore(aStore)
  , mMembership(aMembership)
  , mTimes(aTimes)
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
  if (mClock.Now() >= mNextKeep) {
    const bool good = Keep().has_value();
    mNextKeep = mClock.Now() + (good ? Millis(mTimes.mKeepAlive) : kRetry);
    mFailures.Add(good ? 0 : 1);
  }
  const auto pause = mMembership.Living() == 0 ? mTimes.mReadAlone : mTimes.mRead;
  mNextRead = std::min(mNextRead, mClock.Now() + pause);
  if (mClock.Now() >= mNextRead) {
    const bool good = Read().has_value();
    mNextRead = mClock.Now() + (good ? Millis(pause) : kRetry);
    mFailures.Add(good ? 0 : 1);
  }
  const auto due = std::min({ mNextKeep, mNextRead, mClock.Now() + mTimes.mReadAlone });
  return std::max(Millis(1), std::chrono::duration_cast<Millis>(due - mClock.Now()));
}

Result<void> MemberRecords::Keep()
{
  if (mLease != 0) {
    BOOST_OUTCOME_TRY(left, mStore.KeepAlive(mLease, kStep));
    if (left.count() > 0) {
      return success();
    }
  }
  BOOST_OUTCOME_TRY(lease, mStore.GrantLease(mTimes.mTtl, kStep));
  mLease = lease;
  const auto self = mMembership.Self();
  const Json record = { { "name", self.name },
                        { "incarnation", self.incarnation },
                        { "peerAddress", self.peerAddress },
                        { "zone", self.zone } };
  const auto answer = mStore.Commit(
    { {}, { { std::string(kMembersPrefix) + self.name, record.dump(), mLease } } }, kStep);
  if (answer.mEffect == Effect::DidNot) {
    mLease = 0;
    return answer.mError;
  }
  return success(); // an unknown outcome needs no resolving: the next keep-alive tells
}

Result<void> MemberRecords::Read()
{
  BOOST_OUTCOME_TRY(range, mStore.Range(kMembersPrefix, true, kStep));
  for (const auto& it : range.mEntries) {
    const auto record = Json::parse(it.mValue, nullptr, false);
    if (record.is_object()) {
      mMembership.AddCandidate(record.value("name", ""), record.value("peerAddress", ""));
    }
  }
  return success();
}

} // namespace gentianloom
