#ifndef GENTIANLOOM_SERVING_RELAY_PARTS_H
#define GENTIANLOOM_SERVING_RELAY_PARTS_H

#include "gentianloom/outcome/IntentCoordinator.h"
#include "gentianloom/outcome/RetryPolicy.h"
#include "gentianloom/outcome/StreamValidator.h"
#include "gentianloom/routing/AttemptObserver.h"
#include "gentianloom/serving/Pipeline.h"

namespace gentianloom {

/// What the relays of a router share.
struct RelayParts
{
  Pipeline& mPipeline;
  IntentCoordinator& mIntents;
  RetryBudget& mRetries;
  EchoingEngines& mEchoing;
  AttemptObserver& mObserver;
  const ServingSettings& mSettings;
  const Clock& mClock;
  Metrics& mMetrics;
};

} // namespace gentianloom

#endif
