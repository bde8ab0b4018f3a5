#ifndef GENTIANLOOM_RELAY_RELAY_PARTS_H
#define GENTIANLOOM_RELAY_RELAY_PARTS_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/base/Metrics.h"
#include "gentianloom/budget/GrantManager.h"
#include "gentianloom/outcome/RetryPolicy.h"
#include "gentianloom/relay/ConnectionPool.h"
#include "gentianloom/relay/RequestCodec.h"
#include "gentianloom/routing/EndpointRegistry.h"
#include "gentianloom/routing/FirstTokenModel.h"
#include "gentianloom/routing/RouteTable.h"

#include <functional>
#include <map>
#include <string>

namespace gentianloom {

/// What all requests of one process share. Used on the event loop only.
struct RelayParts
{
  net::Loop& mLoop;
  const Clock& mClock;
  Metrics& mMetrics;
  const RequestCodec& mCodec;
  std::string mZone;       ///< availability zone of this instance
  RouteTable::Ptr mRoutes; ///< configuration in force; null until one was read
  EndpointRegistry mEndpoints{};
  std::map<std::string, FirstTokenModel> mFirstTokens{}; ///< by service
  ConnectionPool mConnections;
  GrantManager& mRights;
  RetryBudget mRetries;
  std::function<void()>
    mOnPendingChange{};     ///< called when prompts are sent or begin to be answered
  bool mIsLeaving = false;  ///< callers are told to close their connections
  bool mRefusesNew = false; ///< the process ends too soon to finish new requests
  int mOpenRequests = 0;
};

} // namespace gentianloom

#endif
