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
 * @brief Chooses the endpoint; lets chat requests wait in a fair queue while none has room.
 *
 * The stage's thread never waits: a request without room is parked, and a thread of its own places
 * parked requests as endpoints free up, and refuses early those that cannot be answered in time.
 */
class PlaceFilter final : public Filter
{
public:
  using Placed = std::function<void(const ExchangePtr&)>;
  using Refused = std::function<void(const ExchangePtr&, const Error&)>;

  /// @param aPlaced takes parked requests that were placed
  /// @param aRefused takes parked requests that were refused
  PlaceFilter(EndpointTable& aEndpoints,
              const RoutingSettings& aSettings,
              std::string aZone,
              const Clock& aClock,
              Placed aPlaced,
              Refused aRefused,
              Metrics& aMetrics);
  ~PlaceFilter() override;

  Step Duty() const override { return Step::RequestPlace; }
  FilterAnswer Apply(const ExchangePtr& aExchange) override;

  void Start();

  /// @brief Ends the thread and refuses all parked requests.
  void Stop();

  /// @brief Learns that a request left its endpoint, so that there may be room.
  void OnFinished(const ExchangePtr& aExchange);

private:
  struct Parked
  {
    ExchangePtr mExchange;
    Error mWhy; ///< why it could not be placed
  };
  using Refusals = std::vector<std::pair<ExchangePtr, Error>>;

  void Run();
  void Dispatch();
  void DispatchPool(const std::string& aPool,
                    std::vector<ExchangePtr>& aPlaced,
                    Refusals& aRefused);
  Result<Placement> Place(const Exchange& aExchange);
  void Settle(const ExchangePtr& aExchange, const Placement& aPlacement);
  FilterAnswer Park(const ExchangePtr& aExchange, const std::string& aPool, Error aWhy);
  void CollectShed(const std::vector<ShedRequest>& aShed, Refusals& aOut);
  bool MayWait(const Exchange& aExchange, const Error& aWhy);

  EndpointTable& mEndpoints;
  std::string mZone;
  const Clock& mClock;
  Placed mPlaced;
  Refused mRefused;
  Gauge& mWaitingGauge;
  Counter& mQueued;
  Counter& mShedCount;
  std::mutex mMutex;
  std::condition_variable mWake;
  bool mStopping = false;
  bool mRoom = false; ///< an endpoint may have become free
  AdmissionController mAdmission;
  std::unordered_map<std::uint64_t, Parked> mParked;
  std::uint64_t mLastId = 0;
  std::thread mThread;
};

} // namespace gentianloom

#endif
