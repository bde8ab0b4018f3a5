#ifndef GENTIANLOOM_ROUTING_FAIR_QUEUE_H
#define GENTIANLOOM_ROUTING_FAIR_QUEUE_H

#include "gentianloom/base/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace gentianloom {

/// A request that waits for an endpoint.
struct QueuedRequest
{
  std::uint64_t mId = 0;
  std::string mOrganisation;
  std::int64_t mWeight = 1;   ///< weight of the organisation
  std::int64_t mPriority = 0; ///< priority of the organisation; higher is served first in a burst
  std::int64_t mCost = 1;     ///< estimated number of tokens
  TimePoint mArrived{};
  TimePoint mDeadline{};
  Micros mMaxWait = Micros::max(); ///< maximum wait; the queue's limit applies too
};

/**
 * @brief Queue of the requests that wait for the endpoints of one model, fair between
 * organisations.
 *
 * Start-time fair queueing between organisations by estimated tokens and weight; within an
 * organisation, earliest deadline first. A priority is a bounded head start in virtual time: it
 * decides the order within a burst but does not change the long-term shares. No clock or I/O: time
 * is an argument.
 */
class FairQueue
{
public:
  /// @param aCapacity maximum number of queued requests
  explicit FairQueue(std::size_t aCapacity)
    : mCapacity(aCapacity)
  {
  }

  /**
   * @brief Adds a request.
   * @return identifier of the request that was evicted because the queue is full: the one with the
   * latest deadline of the organisation with the largest backlog for its weight. It may be the new
   * request.
   * @par Complexity logarithmic; linear in the organisations if the queue is full
   */
  std::optional<std::uint64_t> Push(QueuedRequest aRequest);

  /// @brief Returns the next request without removing it; unset if the queue is empty.
  std::optional<QueuedRequest> Peek() const;

  /// @brief Removes the request that Peek() returns. @par Complexity linear in the organisations
  void Pop();

  /// @brief Removes a request, for example because its caller disconnected.
  /// @return whether it was queued
  bool Remove(std::uint64_t aId);

  /**
   * @brief Removes and returns the requests that can no longer be served in time.
   * @param aServiceTime time that must be left before the deadline of a request
   * @param aMaxWait maximum wait of any request
   */
  std::vector<QueuedRequest> RemoveExpired(TimePoint aNow, Micros aServiceTime, Micros aMaxWait);

  /**
   * @brief Estimates the cost that is served before a new request, if the shares do not change.
   *
   * The estimate is the cost of the organisation's own requests with earlier deadlines, plus the
   * cost of other organisations' requests that are served in the meantime, in proportion to their
   * weights.
   */
  double CostAhead(const QueuedRequest& aRequest) const;

  std::size_t Size() const { return mSize; }

private:
  /// Key that orders the requests of one organisation.
  struct OrderKey
  {
    TimePoint mDeadline;
    std::uint64_t mId;
    bool operator<(const OrderKey& aOther) const
    {
      return std::tie(mDeadline, mId) < std::tie(aOther.mDeadline, aOther.mId);
    }
  };
  /// Queue of one organisation.
  struct Flow
  {
    std::map<OrderKey, QueuedRequest> mWaiting;
    double mVirtualStart = 0; ///< start tag of the next request: finish tag of the last one
    double mCost = 0;         ///< total cost of the queued requests
    std::int64_t mWeight = 1;
    std::int64_t mPriority = 0;
  };
  using Flows = std::map<std::string, Flow>;

  Flows::const_iterator NextFlow() const;
  QueuedRequest Extract(Flows::iterator aFlow,
                        std::map<OrderKey, QueuedRequest>::iterator aRequest);
  void AdvanceVirtualTime();
  void RemoveIdleFlows();

  std::size_t mCapacity;
  std::size_t mSize = 0;
  double mVirtualTime = 0; ///< minimum virtual start of the flows with queued requests
  Flows mFlows;
};

} // namespace gentianloom

#endif
