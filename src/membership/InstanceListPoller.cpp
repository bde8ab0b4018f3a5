#include "gentianloom/membership/InstanceListPoller.h"

#include "gentianloom/base/Log.h"

namespace gentianloom {

InstanceListPoller::InstanceListPoller(
  std::unique_ptr<InstanceList> aList,
  Millis aPollInterval,
  std::function<void(const std::vector<ListedInstance>&)> aOnList,
  Metrics& aMetrics)
  : mList(std::move(aList))
  , mPollInterval(aPollInterval)
  , mOnList(std::move(aOnList))
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
  bool isAvailable = true;
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    lock.unlock();
    const auto answer = mList->Read();
    mReads.Add();
    if (answer) {
      mOnList(answer.value());
    } else {
      mFailures.Add();
    }
    if (isAvailable != answer.has_value()) {
      isAvailable = answer.has_value();
      LogChange(isAvailable ? LogLevel::Info : LogLevel::Warning,
                "membership",
                isAvailable ? "the instance list is available again"
                            : "the instance list is unavailable");
    }
    lock.lock();
    mWake.wait_for(lock, mPollInterval, [this] { return mStopping; });
  }
}

} // namespace gentianloom
