#ifndef GENTIANLOOM_SERVING_PLACE_FILTER_H
#define GENTIANLOOM_SERVING_PLACE_FILTER_H

#include "gentianloom/routing/AdmissionController.h"
#include "gentianloom/serving/Filter.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace gentianloom {

/**
 * @brief Chooses the endpoint of a request. Chat requests wait in a fair queue while no endpoint
 * has capacity.
 *
 * The thread of the stage never waits. It parks a chat request if no endpoint can take it now or if
 * other requests are already queued for the same endpoints. It rejects a chat request at once if
 * waiting cannot help, and a service call at once if it cannot be placed. A separate thread places
 * parked requests when endpoints have capacity again, and rejects those that cannot be completed
 * before their deadline.
 */
class PlaceFilter final : public Filter
{
public:
  using PlacedCallback = std::function<void(const ExchangePtr&)>;
  using RejectedCallback = std::function<void(const ExchangePtr&, const Error&)>;

  /// @param aOnPlaced called on the thread of the filter, without a lock, for each parked request
  ///        that was placed
  /// @param aOnRejected called for each parked request that was rejected: on the thread of the
  ///        filter or of Stop() without a lock, or on the thread of the stage with mMutex locked.
  ///        It must not call the filter.
  PlaceFilter(EndpointTable& aEndpoints,
              const RoutingSettings& aSettings,
              std::string aZone,
              const Clock& aClock,
              PlacedCallback aOnPlaced,
              RejectedCallback aOnRejected,
              Metrics& aMetrics);
  ~PlaceFilter() override;

  Step HandledStep() const override { return Step::RequestPlace; }
  FilterResult Apply(const ExchangePtr& aExchange) override;

  void Start();

  /// @brief Ends the thread and rejects all parked requests.
  void Stop();

  /// @brief Records how long a completed chat request took, and makes the thread try to place the
  /// parked requests. Call it after a placed chat request has released its endpoint.
  void OnFinished(const ExchangePtr& aExchange);

private:
  struct Parked
  {
    ExchangePtr mExchange;
    Error mPlacementError; ///< why it is not placed yet; sent to the caller on rejection
  };
  using Rejections = std::vector<std::pair<ExchangePtr, Error>>;

  void Run();

  /// Calls DispatchPool() for each pool, then rejects the requests that waited too long or can no
  /// longer be completed before their deadline.
  void Dispatch();

  /// Places or rejects the requests at the head of one pool's queue until no endpoint has capacity
  /// for the next one. Call it with mMutex locked.
  void DispatchPool(const std::string& aPool,
                    std::vector<ExchangePtr>& aPlaced,
                    Rejections& aRejected);

  /// Chooses an endpoint for a chat request.
  Result<Placement> Place(const Exchange& aExchange);
  void AssignPlacement(const ExchangePtr& aExchange, const Placement& aPlacement);

  /// Enqueues a request. Call it with mMutex locked. If the queue is full and admission control
  /// drops another request instead, calls mOnRejected for that one.
  /// @return FilterDecision::Park; FilterDecision::Reject if this request cannot meet its deadline,
  ///         or if the queue is full and admission control drops this request
  FilterResult Park(const ExchangePtr& aExchange, const std::string& aPool, Error aPlacementError);

  /// Moves requests that admission control dropped from mParked to aOut, with their errors.
  void CollectShed(const std::vector<ShedRequest>& aShed, Rejections& aOut);

  /// Whether a request that could not be placed now may be placed later.
  bool MayWait(const Exchange& aExchange, const Error& aPlacementError);

  EndpointTable& mEndpoints;
  std::string mZone;
  const Clock& mClock;
  PlacedCallback mOnPlaced;
  RejectedCallback mOnRejected;
  Gauge& mWaitingGauge;
  Counter& mQueuedCounter;
  Counter& mShedCounter;
  std::mutex mMutex;
  std::condition_variable mWake;
  bool mIsStopping = false;
  bool mMayHaveCapacity = false; ///< an endpoint may have capacity again
  AdmissionController mAdmission;
  std::unordered_map<std::uint64_t, Parked> mParked;
  std::uint64_t mLastId = 0;
  std::thread mThread;
};

} // namespace gentianloom

#endif
