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
 * The thread of the stage never waits: a request that cannot be placed is parked. A separate thread
 * places parked requests when endpoints have capacity again, and rejects requests early if they
 * cannot be completed before their deadline.
 */
class PlaceFilter final : public Filter
{
public:
  using PlacedCallback = std::function<void(const ExchangePtr&)>;
  using RejectedCallback = std::function<void(const ExchangePtr&, const Error&)>;

  /// @param aOnPlaced called for each parked request that was placed
  /// @param aOnRejected called for each parked request that was rejected
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

  /// @brief Call it when a request left its endpoint, so that parked requests are tried again.
  void OnFinished(const ExchangePtr& aExchange);

private:
  struct Parked
  {
    ExchangePtr mExchange;
    Error mPlacementError; ///< why it could not be placed so far
  };
  using Rejections = std::vector<std::pair<ExchangePtr, Error>>;

  void Run();

  /// Places or rejects as many parked requests as possible.
  void Dispatch();
  void DispatchPool(const std::string& aPool,
                    std::vector<ExchangePtr>& aPlaced,
                    Rejections& aRejected);

  /// Chooses an endpoint for a chat request.
  Result<Placement> Place(const Exchange& aExchange);
  void AssignPlacement(const ExchangePtr& aExchange, const Placement& aPlacement);

  /// Enqueues a request. Call it with mMutex locked.
  /// @return FilterDecision::Reject if the queue is full and this request is the one to drop
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
