#ifndef GENTIANLOOM_ROUTING_ADMISSION_CONTROLLER_H
#define GENTIANLOOM_ROUTING_ADMISSION_CONTROLLER_H

#include "gentianloom/routing/FairQueue.h"
#include "gentianloom/routing/RoutingSettings.h"

#include <map>
#include <string>
#include <vector>

namespace gentianloom {

/// Reason why admission refuses a request.
enum class ShedReason : std::uint8_t
{
  QueueFull, ///< the queue is full, and the organisation has the largest backlog for its weight
  DeadlineUnreachable, ///< the estimated answer time exceeds the deadline
  QueueTimeout         ///< no endpoint had capacity within the maximum wait
};

/// A request that admission refuses (load shedding).
struct ShedRequest
{
  std::uint64_t mId = 0;
  ShedReason mReason = ShedReason::QueueFull;
  Millis mRetryAfter{ 0 };
};

/**
 * @brief Queues requests until an endpoint has capacity, and refuses early those that cannot be
 * served in time.
 *
 * There is one fair queue for each pool (a model). The controller measures the throughput of a pool
 * (cost per second) and the time that an answer takes, and refuses a request at once if these show
 * that it would miss its deadline. It has no clock or I/O: time is an argument. Not thread-safe.
 */
class AdmissionController
{
public:
  explicit AdmissionController(const RoutingSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /**
   * @brief Adds a request to the queue of a pool.
   * @return requests that are refused as a result; the new one may be among them
   */
  std::vector<ShedRequest> Enqueue(const std::string& aPool,
                                   QueuedRequest aRequest,
                                   TimePoint aNow);

  /// @brief Whether requests wait for a pool. A new request must then be queued too, to keep the
  /// order.
  bool HasQueuedRequests(const std::string& aPool) const;

  /// @brief Next request of a pool; unset if its queue is empty.
  std::optional<QueuedRequest> Peek(const std::string& aPool) const;

  /// @brief Removes the request that Peek() returned, after it was placed on an endpoint.
  void Pop(const std::string& aPool, TimePoint aNow);

  /// @brief Removes a request. @return whether it was queued
  bool Remove(const std::string& aPool, std::uint64_t aId);

  /// @brief Removes and returns the requests that can no longer be served in time.
  std::vector<ShedRequest> RemoveExpired(TimePoint aNow);

  /// @brief Records a completed request. @param aTotal time from placement to the end of the answer
  void OnCompleted(const std::string& aPool, Micros aTotal);

  /// @brief Names of the pools with queued requests.
  std::vector<std::string> PoolsWithQueuedRequests() const;

private:
  struct Pool
  {
    explicit Pool(std::size_t aCapacity)
      : mQueue(aCapacity)
    {
    }
    FairQueue mQueue;
    double mCostPerSecond = 0; ///< moving average of the throughput while requests waited
    double mBusySeconds = 0;   ///< total time during which requests waited
    TimePoint mLastPop{};      ///< time of the last Pop(), or when the queue last became non-empty
    double mMeanServiceMs = 0; ///< moving mean of the time that an answer takes; 0: not known
  };

  Millis EstimateWait(const Pool& aPool, const QueuedRequest& aRequest) const;
  Micros RequiredServiceTime(const Pool& aPool) const;

  RoutingSettings mSettings;
  std::map<std::string, Pool> mPools;
};

} // namespace gentianloom

#endif
