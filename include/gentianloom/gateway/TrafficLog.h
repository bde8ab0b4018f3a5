#ifndef GENTIANLOOM_GATEWAY_TRAFFIC_LOG_H
#define GENTIANLOOM_GATEWAY_TRAFFIC_LOG_H

#include "gentianloom/base/Metrics.h"
#include "gentianloom/net/HttpClient.h"

#include <functional>
#include <string>

namespace gentianloom {

/**
 * @brief Logs at a fixed interval how many bytes a gateway exchanged apart from callers' requests.
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
  };

  TrafficLog(net::Loop& aLoop, Sources aSources, Metrics& aMetrics);

  /// @brief Starts logging. Call it once.
  void Start();

private:
  net::Task<void> Run();
  void SetGauges(const std::string& aName, const net::BodyBytes& aBytes);

  net::Loop& mLoop;
  Sources mSources;
  Metrics& mMetrics;
};

} // namespace gentianloom

#endif
