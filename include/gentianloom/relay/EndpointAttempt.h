#ifndef GENTIANLOOM_RELAY_ENDPOINT_ATTEMPT_H
#define GENTIANLOOM_RELAY_ENDPOINT_ATTEMPT_H

#include "gentianloom/net/HttpParser.h"
#include "gentianloom/relay/EventSplitter.h"
#include "gentianloom/relay/RelayContext.h"
#include "gentianloom/relay/ResponseWriter.h"
#include "gentianloom/routing/AttemptObserver.h"
#include "gentianloom/routing/EndpointChooser.h"

#include <optional>
#include <string>

namespace gentianloom {

/// Progress of a streamed response across all attempts of its request.
struct StreamProgress
{
  std::int64_t mEventCount = 0; ///< events forwarded to the caller
  std::optional<std::int64_t> mLastEventId;
  TimePoint mFirstEventAt{}; ///< when the first event was forwarded
};

/// The part of a request that is the same for all its attempts.
struct AttemptRequest
{
  const net::RequestHead& mHead;
  const std::string& mBody;
  bool mHasBody = false; ///< true also if the caller sent an empty body
  const CallerRequest& mCallerRequest;
  const Route& mRoute;
  std::string mOrganisation;
  TimePoint mDeadline{}; ///< the earlier one of the caller's and the route's deadline
};

/// How an attempt ended.
struct AttemptResult
{
  AttemptOutcome mEnd = AttemptOutcome::Interrupted;
  bool mProvedNotRun = false; ///< the endpoint certainly did not run the request
  std::string mReason;
};

/**
 * @brief Sends a request to one endpoint and forwards the response to the caller.
 *
 * The response is forwarded only if it matches the request. A streamed response is forwarded event
 * by event, any other response once it is complete. The connection is kept for reuse only after a
 * complete response with no bytes after it. Otherwise it is closed, which makes the endpoint cancel
 * the work.
 */
class EndpointAttempt
{
public:
  EndpointAttempt(RelayContext& aContext,
                  const AttemptRequest& aRequest,
                  const PlacementChoice& aPlacement,
                  ResponseWriter& aWriter,
                  StreamProgress& aProgress,
                  std::shared_ptr<net::Signal> aSignal);
  ~EndpointAttempt();
  EndpointAttempt(const EndpointAttempt&) = delete;
  EndpointAttempt& operator=(const EndpointAttempt&) = delete;

  net::Task<AttemptResult> Run();

private:
  net::Task<bool> OpenConnection();
  net::Task<void> ReceiveResponse();
  void SendRequest();
  bool ProcessReceived();
  void OnResponseHead();
  void OnResponseBody();
  void OnResponseComplete();
  void ForwardEvents();
  void Finish(AttemptOutcome aEnd, bool aProvedNotRun, std::string aReason);
  void ReleaseConnection();
  void OnFirstEvent();
  void NotifyPendingTokensChanged() const;
  bool IsStream() const { return mRequest.mRoute.mKind == RouteKind::Streaming; }
  bool IsAtMostOnce() const { return mRequest.mRoute.mKind == RouteKind::AtMostOnce; }
  Micros TimeLeft() const;
  net::ResponseHead MakeCallerHead() const;

  RelayContext& mContext;
  const AttemptRequest& mRequest;
  EndpointRegistry::Ptr mEndpoint;
  ResponseWriter& mWriter;
  StreamProgress& mProgress;
  std::shared_ptr<net::Signal> mSignal;
  double mTokensToPrefill; ///< prompt tokens that the endpoint processes before the first event
  EndpointLoad::RequestHandle mWorkId;
  net::Channel::Ptr mChannel;
  std::size_t mBytesSentBefore = 0; ///< bytes that earlier requests sent on the connection
  bool mIsRequestSent = false;
  TimePoint mRequestSentAt{};
  net::ResponseParser mParser;
  bool mIsHeadReceived = false;
  EndpointResponse mResponse;
  std::string mBody; ///< received and not forwarded yet
  EventSplitter mSplitter;
  std::optional<AttemptResult> mResult;
};

} // namespace gentianloom

#endif
