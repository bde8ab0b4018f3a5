#ifndef GENTIANLOOM_SERVING_LOAD_POLLER_H
#define GENTIANLOOM_SERVING_LOAD_POLLER_H

#include "gentianloom/base/Metrics.h"
#include "gentianloom/routing/EndpointTable.h"
#include "gentianloom/serving/Filters.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace gentianloom {

/**
 * @brief Parses the load report of an endpoint.
 * @return the report; ErrorCode::EndpointFailed if it is malformed
 */
Result<LoadReport> ParseLoadReport(const std::string& aEndpoint, const std::string& aText);

/// @brief Parses the cache events of a response. Malformed events are skipped.
std::vector<CacheEvent> ParseCacheEvents(const std::string& aText);

/**
 * @brief Polls the load reports and cache events of a bounded set of endpoints on its own thread.
 *
 * The endpoints are polled one after the other, and the poll of one that does not respond lasts
 * until its timeout.
 * Polls of such an endpoint back off exponentially, so that a few failed endpoints do not delay the
 * reports of all others.
 */
class LoadPoller
{
public:
  LoadPoller(EndpointTable& aEndpoints,
             ConfigurationSource aConfiguration,
             const Settings& aSettings,
             const Clock& aClock,
             Metrics& aMetrics);
  ~LoadPoller();

  void Start();
  void Stop();

private:
  /// Backoff of an endpoint whose last poll failed.
  struct Backoff
  {
    Millis mDelay{ 0 };
    TimePoint mUntil{};
  };

  void Run();
  void PollAll(const AcceptedConfiguration& aConfiguration);

  /// Polls the load report and the new cache events of an engine. An engine without load reports
  /// (status 404) counts as reachable. @return false if the poll failed
  bool PollEngine(const PollTarget& aTarget);

  /// Polls `/healthz` of a plain service. @return false if the poll failed
  bool PollService(const PollTarget& aTarget);

  EndpointTable& mEndpoints;
  ConfigurationSource mConfiguration;
  const Settings& mSettings;
  const Clock& mClock;
  Counter& mPollCounter;
  Counter& mFailureCounter;
  std::map<std::string, Backoff> mBackoffs; ///< by endpoint name
  std::mutex mMutex;
  std::condition_variable mWake;
  bool mIsStopping = false;
  std::thread mThread;
};

} // namespace gentianloom

#endif
