#ifndef GENTIANLOOM_SERVING_PLACE_FILTER_H
#define GENTIANLOOM_SERVING_PLACE_FILTER_H

#include "gentianloom/routing/Admission.h"
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
 * @brief Chooses the endpoint; lets chat requests wait in a fair queue while none has room.
 *
 * The stage's thread never waits: a request without room is parked, and a thread of its own places
 * parked requests as endpoints free up, and refuses early those that cannot be answered in time.
 */
class PlaceFilter final : public Filter
{
public:
  using PlacedCallback = std::function<void(const ExchangePtr&)>;
  using RejectedCallback = std::function<void(const ExchangePtr&, const Error&)>;

  /// @param aOnPlaced takes parked requests that were placed
  /// @param aOnRejected takes parked requests that were refused
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

  /// @brief Ends the thread and refuses all parked requests.
  void Stop();

  /// @brief Learns that a request left its endpoint, so that there may be room.
  void OnFinished(const ExchangePtr& aExchange);

private:
  struct Parked
  {
    ExchangePtr mExchange;
    Error mPlacementError; ///< why it could not be placed
  };
  using Rejections = std::vector<std::pair<ExchangePtr, Error>>;

  void Run();
  void Dispatch();
  void DispatchPool(const std::string& aPool,
                    std::vector<ExchangePtr>& aPlaced,
                    Rejections& aRejected);
  Result<Placement> Place(const Exchange& aExchange);
  void AssignPlacement(const ExchangePtr& aExchange, const Placement& aPlacement);
  FilterResult Park(const ExchangePtr& aExchange, const std::string& aPool, Error aPlacementError);
  void CollectShed(const std::vector<Shed>& aShed, Rejections& aOut);
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
  bool mMayHaveCapacity = false; ///< an endpoint may have become free
  Admission mAdmission;
  std::unordered_map<std::uint64_t, Parked> mParked;
  std::uint64_t mLastId = 0;
  std::thread mThread;
};

} // namespace gentianloom

#endif
