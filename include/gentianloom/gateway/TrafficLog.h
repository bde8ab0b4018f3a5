#ifndef GENTIANLOOM_GATEWAY_TRAFFIC_LOG_H
#define GENTIANLOOM_GATEWAY_TRAFFIC_LOG_H

#include "gentianloom/base/Metrics.h"
#include "gentianloom/external/AsyncStore.h"
#include "gentianloom/net/HttpClient.h"
#include "gentianloom/net/Traffic.h"

#include <functional>
#include <string>

namespace gentianloom {

/**
 * @brief Logs at a fixed interval how many bytes a gateway exchanged by purpose, its calls to the
 *        key-value service by kind, its transactions of budgets, and the longest delay of its loop.
 *
 * Together they tell a full link from a process with too little processor time. The totals are
 * served as the gauges `gentianloom_store_bytes`, `gentianloom_load_news_bytes`,
 * `gentianloom_caller_bytes`, `gentianloom_endpoint_bytes` and `gentianloom_forwarding_bytes`.
 */
class TrafficLog
{
public:
  /// Sources of the figures.
  struct Sources
  {
    std::function<net::BodyBytes()> mStore; ///< exchanged with the key-value service
    std::function<net::BodyBytes()> mPeers; ///< exchanged with the other instances
    std::function<int()> mOpenRequests;
    std::function<StoreCalls()> mCalls; ///< to the key-value service
    const net::Traffic& mCallers;
    const net::Traffic& mEndpoints;
    const net::Traffic& mInstances;                ///< requests that instances hand to each other
    std::function<Micros()> mTakeLongestLoopDelay; ///< since the last call
    std::function<Micros()> mTakeLongestPeerQueue; ///< see PeerSocket::TakeLongestQueueTime()
    std::function<Millis()> mTakeOldestView;       ///< greatest age of a view, likewise
  };

  TrafficLog(net::Loop& aLoop, Sources aSources, Metrics& aMetrics);

  /// @brief Starts logging. Call it once.
  void Start();

private:
  /// Transactions of budgets so far, and those of them that conflicted.
  struct BudgetWrites
  {
    std::uint64_t mAll = 0;
    std::uint64_t mConflicts = 0;
  };

  net::Task<void> Run();
  /// Logs the bytes and connections of callers, endpoints and other instances.
  void LogConnections();
  BudgetWrites CountBudgetWrites();
  void SetGauges(const std::string& aName, const net::BodyBytes& aBytes);
  void SetGauges(const std::string& aName, const net::Traffic& aTraffic);

  net::Loop& mLoop;
  Sources mSources;
  Metrics& mMetrics;
  net::Traffic mLastCallers;
  net::Traffic mLastEndpoints;
  net::Traffic mLastInstances;
  std::uint64_t mLastPauses = 0; ///< before connections of callers were accepted, see LinkBudget
};

} // namespace gentianloom

#endif
