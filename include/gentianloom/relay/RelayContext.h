#ifndef GENTIANLOOM_RELAY_RELAY_CONTEXT_H
#define GENTIANLOOM_RELAY_RELAY_CONTEXT_H

#include "gentianloom/base/Clock.h"
#include "gentianloom/base/Metrics.h"
#include "gentianloom/net/CallerMemory.h"
#include "gentianloom/outcome/RetryPolicy.h"
#include "gentianloom/relay/ConnectionPool.h"
#include "gentianloom/relay/PeerInstances.h"
#include "gentianloom/relay/RecordedVersions.h"
#include "gentianloom/relay/RequestCodec.h"
#include "gentianloom/relay/RequestGuard.h"
#include "gentianloom/relay/RequestPermits.h"
#include "gentianloom/relay/StreamOrigins.h"
#include "gentianloom/relay/TokenReservations.h"
#include "gentianloom/routing/EndpointContact.h"
#include "gentianloom/routing/EndpointRegistry.h"
#include "gentianloom/routing/EvenLoad.h"
#include "gentianloom/routing/FirstTokenModel.h"
#include "gentianloom/routing/RouteTable.h"
#include "gentianloom/routing/SoftwareVersionHistory.h"
#include "gentianloom/routing/ZoneRegions.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace gentianloom {

/// State that all requests of a router process share. Used only on the event loop thread.
struct RelayContext
{
  net::Loop& mLoop;
  const Clock& mClock;
  Metrics& mMetrics;
  const RequestCodec& mCodec;
  std::string mZone;       ///< availability zone of this instance
  RouteTable::Ptr mRoutes; ///< current configuration; null until the first one was read
  EndpointRegistry mEndpoints{};
  std::map<std::string, FirstTokenModel> mFirstTokenModels{}; ///< by service
  ConnectionPool mConnections;
  TokenReservations& mReservations;
  RetryBudgets mRetryBudgets;
  SoftwareVersionHistory mVersionHistory{};
  RecordedVersions* mRecordedVersions = nullptr; ///< null: the history alone decides
  StreamOrigins* mStreamOrigins = nullptr;       ///< null: no origin is known
  RequestGuard* mGuard = nullptr;                ///< null: no request is blocked
  RequestPermits* mPermits = nullptr;            ///< null: rate limits of endpoints are not kept
  PeerInstances* mPeers = nullptr;               ///< null: no other instance can serve a request
  net::CallerMemory* mCallerMemory = nullptr;    ///< null: what callers hold is not bounded
  EndpointContacts mContacts{};
  EvenLoadSwitch mEvenLoad{};
  ZoneRegions mRegions{};
  /// Called when the prompt tokens pending at an endpoint change, that is, when a request of a
  /// streaming route is sent, receives its first event or ends.
  std::function<void()> mOnPendingTokensChanged{};
  bool mIsLeaving = false; ///< responses ask callers to close their connections
  /// When requests that still run are ended; set once this instance shuts down.
  std::optional<TimePoint> mServesUntil{};
  bool mRejectsNewRequests = false; ///< the process ends too soon to complete new requests
  int mOpenRequests = 0;
  int mOpenPeerRequests = 0;      ///< of these, those that other instances sent
  std::size_t mBufferedBytes = 0; ///< of responses that are forwarded once they are complete
  net::Traffic mCallerTraffic{};
  net::Traffic mEndpointTraffic{};
  net::Traffic mInstanceTraffic{}; ///< of requests that instances hand to each other
};

} // namespace gentianloom

#endif
