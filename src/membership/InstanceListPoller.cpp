#include "gentianloom/membership/InstanceListPoller.h"

#include "gentianloom/base/Log.h"

namespace gentianloom {

InstanceListPoller::InstanceListPoller(
  std::unique_ptr<InstanceList> aList,
  Millis aPoll,
  std::function<void(const std::vector<ListedInstance>&)> aLearn,
  Metrics& aMetrics)
  : mList(std::move(aList))
  , mPoll(aPoll)
  , mLearn(std::move(aLearn))
  , mReads(aMetrics.CounterOf("gentianloom_instance_list_reads_total"))
  , mFailures(aMetrics.CounterOf("gentianloom_instance_list_failures_total"))
{
}

InstanceListPoller::~InstanceListPoller()
{
  Stop();
}

void InstanceListPoller::Start()
{
  mThread = std::thread([this] { Run(); });
}

void InstanceListPoller::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mWake.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void InstanceListPoller::Run()
{
  bool good = true;
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    lock.unlock();
    const auto answer = mList->Read();
    mReads.Add();
    if (answer) {
      mLearn(answer.value());
    } else {
      mFailures.Add();
    }
    if (good != answer.has_value()) {
      good = answer.has_value();
      LogChange(good ? LogLevel::Info : LogLevel::Warning,
                "membership",
                good ? "the instance list answers again" : "the instance list does not answer");
    }
    lock.lock();
    mWake.wait_for(lock, mPoll, [this] { return mStopping; });
  }
}

} // namespace gentianloom
