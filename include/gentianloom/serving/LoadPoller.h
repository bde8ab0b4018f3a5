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
 * @brief Reads a load report.
 * @return the report, or ErrorCode::EndpointFailed that says what is wrong with it
 */
Result<LoadReport> ParseLoadReport(const std::string& aEndpoint, const std::string& aText);

/// @brief Reads the cache events of an answer; what is malformed is left out.
std::vector<CacheEvent> ParseCacheEvents(const std::string& aText);

/**
 * @brief Polls load reports and cache events of a bounded set of endpoints, on a thread of its own.
 *
 * An endpoint that does not answer is asked again after a pause that doubles, so that a few dead
 * ones do not make the reports of all others old.
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
  struct Backoff
  {
    Millis mDelay{ 0 };
    TimePoint mUntil{};
  };

  void Run();
  void PollAll(const AcceptedConfiguration& aConfiguration);
  bool PollEngine(const PollTarget& aTarget);
  bool PollService(const PollTarget& aTarget);

  EndpointTable& mEndpoints;
  ConfigurationSource mConfiguration;
  const Settings& mSettings;
  const Clock& mClock;
  Counter& mPollCounter;
  Counter& mFailureCounter;
  std::map<std::string, Backoff> mBackoffs;
  std::mutex mMutex;
  std::condition_variable mWake;
  bool mIsStopping = false;
  std::thread mThread;
};

} // namespace gentianloom

#endif
