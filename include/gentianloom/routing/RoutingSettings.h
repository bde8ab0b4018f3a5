#ifndef GENTIANLOOM_ROUTING_ROUTING_SETTINGS_H
#define GENTIANLOOM_ROUTING_ROUTING_SETTINGS_H

#include "gentianloom/base/Clock.h"

#include <cstdint>
#include <string>

namespace gentianloom {

/// Settings of placement and admission.
struct RoutingSettings
{
  std::string mPolicy = "least-wait"; ///< `least-wait`, `round-robin` or `random`
  std::int64_t mSampleSize = 3;       ///< candidates sampled by `least-wait`
  Millis mFirstTokenTarget{ 790 };    ///< if exceeded, the concurrency limit decreases
  double mMaxEjectedShare =
    0.5; ///< maximum share of a model's endpoints that are ejected at a time
  Millis mRemoteZonePenalty{
    3
  }; ///< added to the expected wait of endpoints in other availability zones
  std::int64_t mQueueSlots = 512;    ///< maximum number of requests that wait for an endpoint
  Millis mMaxQueueTime{ 10'000 };    ///< maximum wait for an endpoint
  Millis mLoadPollInterval{ 1'000 }; ///< interval between load polls
  std::int64_t mMaxPolled = 64;      ///< maximum number of endpoints that are polled
  Millis mPollTimeout{ 300 };        ///< timeout of one poll
  Millis mCrashBlockTime{ 600'000 }; ///< how long a request that crashed endpoints is refused
};

} // namespace gentianloom

#endif
