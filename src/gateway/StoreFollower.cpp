#include "gentianloom/gateway/StoreFollower.h"

#include "gentianloom/base/Jitter.h"
#include "gentianloom/base/Log.h"

#include <algorithm>

namespace gentianloom {

namespace {

/// Entries that vanished so long after the last failed call may have lapsed in the outage.
constexpr Millis kOutageMemory{ 1'500 };
/// First pause after a failed call, doubled up to kMostDoublings times.
constexpr Millis kFirstPause{ 40 };
constexpr int kMostDoublings = 3;
/// A pause is from this part of its length up to as much more as a random number says.
constexpr double kLeastPart = 0.5;

} // namespace

StoreFollower::StoreFollower(net::Loop& aLoop,
                             AsyncStore& aStore,
                             std::string aPrefix,
                             Millis aWait,
                             FollowerSink aSink,
                             const Clock& aClock,
                             Metrics& aMetrics)
  : mLoop(aLoop)
  , mStore(aStore)
  , mPrefix(std::move(aPrefix))
  , mWait(aWait)
  , mSink(std::move(aSink))
  , mClock(aClock)
  , mMetrics(aMetrics)
{
}

void StoreFollower::Start()
{
  net::Start(mLoop, "follow " + mPrefix, Run());
}

StoreCondition StoreFollower::Condition() const
{
  const bool isRecent = mFailedAt != TimePoint{} && mClock.Now() - mFailedAt < kOutageMemory;
  return isRecent ? StoreCondition::AfterOutage : StoreCondition::Steady;
}

net::Task<void> StoreFollower::Run()
{
  while (true) {
    bool answered = false;
    if (mMustRead) {
      answered = co_await Read();
    } else {
      answered = co_await Watch();
    }
    if (answered) {
      continue;
    }
    const auto pause = kFirstPause * (1 << std::min(mFailures - 1, kMostDoublings));
    co_await net::Signal::Sleep(
      mLoop, std::chrono::duration_cast<Micros>(pause * (kLeastPart + Jitter())));
  }
}

net::Task<bool> StoreFollower::Read()
{
  const auto answer = co_await mStore.Range(mPrefix);
  NoteAnswer(answer.has_value(), answer ? "" : ToString(answer.error()));
  if (!answer) {
    co_return false;
  }
  mRevision = answer.value().mRevision;
  mMustRead = false;
  mHasRead = true;
  mSink.mOnSnapshot(answer.value().mEntries, Condition());
  co_return true;
}

net::Task<bool> StoreFollower::Watch()
{
  const auto answer = co_await mStore.Watch(mPrefix, mRevision, mWait);
  NoteAnswer(answer.has_value(), answer ? "" : ToString(answer.error()));
  if (!answer) {
    co_return false;
  }
  const auto& it = answer.value();
  if (it.mIsTooOld) {
    LogChange(LogLevel::Warning,
              "store",
              "the history is gone; reading everything again",
              { { "prefix", mPrefix }, { "after", std::to_string(mRevision) } });
    mMustRead = true;
    co_return true;
  }
  mRevision = std::max(mRevision, it.mRevision);
  if (!it.mEvents.empty()) {
    mSink.mOnEvents(it.mEvents, Condition());
  }
  co_return true;
}

void StoreFollower::NoteAnswer(bool aAnswered, const std::string& aWhy)
{
  if (aAnswered == mIsAway) {
    LogChange(aAnswered ? LogLevel::Info : LogLevel::Warning,
              "store",
              aAnswered ? "the key-value service answers again"
                        : "the key-value service does not answer; going on with what is known",
              { { "prefix", mPrefix }, { "why", aWhy } });
  }
  mIsAway = !aAnswered;
  if (aAnswered) {
    mFailures = 0;
    return;
  }
  ++mFailures;
  mFailedAt = mClock.Now();
  mMetrics.CounterOf("gentianloom_store_failures_total", "prefix=\"" + mPrefix + "\"").Add();
}

} // namespace gentianloom
