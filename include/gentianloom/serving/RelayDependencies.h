#ifndef GENTIANLOOM_SERVING_RELAY_DEPENDENCIES_H
#define GENTIANLOOM_SERVING_RELAY_DEPENDENCIES_H

#include "gentianloom/outcome/IntentCoordinator.h"
#include "gentianloom/outcome/RetryPolicy.h"
#include "gentianloom/outcome/StreamValidator.h"
#include "gentianloom/routing/AttemptObserver.h"
#include "gentianloom/serving/Pipeline.h"

namespace gentianloom {

/// The objects that all relays of a router share.
struct RelayDependencies
{
  Pipeline& mPipeline;
  IntentCoordinator& mIntents;
  RetryBudget& mRetryBudget;
  EchoingEngines& mEchoingEngines;
  AttemptObserver& mObserver;
  const ServingSettings& mSettings;
  const Clock& mClock;
  Metrics& mMetrics;
};

} // namespace gentianloom

#endif
