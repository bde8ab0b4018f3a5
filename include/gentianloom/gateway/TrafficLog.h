#ifndef GENTIANLOOM_GATEWAY_TRAFFIC_LOG_H
#define GENTIANLOOM_GATEWAY_TRAFFIC_LOG_H

#include "gentianloom/base/Metrics.h"
#include "gentianloom/external/AsyncStore.h"
#include "gentianloom/net/HttpClient.h"

#include <functional>
#include <string>

namespace gentianloom {

/**
 * @brief Logs at a fixed interval how many bytes a gateway exchanged apart from callers' requests,
 *        its calls to the key-value service by kind, and its transactions of budgets.
 *
 * The totals are served as the gauges `gentianloom_store_bytes` and `gentianloom_load_news_bytes`.
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
  BudgetWrites CountBudgetWrites();
  void SetGauges(const std::string& aName, const net::BodyBytes& aBytes);

  net::Loop& mLoop;
  Sources mSources;
  Metrics& mMetrics;
};

} // namespace gentianloom

#endif
