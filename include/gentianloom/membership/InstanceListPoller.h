#ifndef GENTIANLOOM_MEMBERSHIP_INSTANCE_LIST_POLLER_H
#define GENTIANLOOM_MEMBERSHIP_INSTANCE_LIST_POLLER_H

#include "gentianloom/base/Metrics.h"
#include "gentianloom/external/InstanceList.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace gentianloom {

/**
 * @brief Polls the platform's list of instances on its own thread.
 */
class InstanceListPoller
{
public:
  /// @param aPollInterval pause between two reads
  /// @param aOnList called on the polling thread with each list that was read
  InstanceListPoller(std::unique_ptr<InstanceList> aList,
                     Millis aPollInterval,
                     std::function<void(const std::vector<ListedInstance>&)> aOnList,
                     Metrics& aMetrics);
  ~InstanceListPoller();

  void Start();
  void Stop();

private:
  void Run();

  std::unique_ptr<InstanceList> mList;
  Millis mPollInterval;
  std::function<void(const std::vector<ListedInstance>&)> mOnList;
  Counter& mReads;
  Counter& mFailures;
  std::mutex mMutex;
  std::condition_variable mWake;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace gentianloom

#endif
