#ifndef GENTIANLOOM_RELAY_ENDPOINT_ATTEMPT_H
#define GENTIANLOOM_RELAY_ENDPOINT_ATTEMPT_H

#include "gentianloom/net/HttpParser.h"
#include "gentianloom/relay/EventSplitter.h"
#include "gentianloom/relay/RelayContext.h"
#include "gentianloom/relay/ResponseWriter.h"
#include "gentianloom/relay/StreamOrigins.h"
#include "gentianloom/routing/AttemptObserver.h"
#include "gentianloom/routing/EndpointChooser.h"

#include <optional>
#include <span>
#include <string>

namespace gentianloom {

/// Progress of a streamed response across all attempts of its request.
struct StreamProgress
{
  std::int64_t mEventCount = 0; ///< events forwarded to the caller
  /// Id of the last event that the caller has, here or from the response that it resumes.
  std::optional<std::int64_t> mLastEventId;
  std::string mContentType;  ///< of the head that was forwarded; empty if it had none
  TimePoint mFirstEventAt{}; ///< when the first event was forwarded
  /// What began the stream; set before any event is forwarded. Later attempts must have it as well.
  std::optional<StreamOrigin> mOrigin;
};

/// The part of a request that is the same for all its attempts.
struct AttemptRequest
{
  const net::RequestHead& mHead;
  const std::string& mBody;
  bool mHasBody = false; ///< true also if the caller sent an empty body
  RequestSource mSource = RequestSource::Caller;
  const CallerRequest& mCallerRequest;
  const Route& mRoute;
  std::string mOrganisation;              ///< name; empty for an anonymous caller
  StreamKey mStream = 0;                  ///< of the stream that the request begins or resumes
  std::span<const std::string> mPartKeys; ///< of the shared parts of its prompt, for the guard
  TimePoint mDeadline{};                  ///< the earlier of the caller's and the route's deadlines
};

/// How an endpoint's response was framed and where and when it ended, for the log.
struct ResponseEnd
{
  net::Framing mFraming = net::Framing::None;
  net::ChannelState mConnection = net::ChannelState::Connecting; ///< of the endpoint connection
  std::size_t mPartialEventBytes = 0;  ///< bytes received after the last complete event
  std::optional<Micros> mAfterSending; ///< since the request was given to the connection; unset if
                                       ///< it was not
  std::optional<Micros> mSinceFirstEvent; ///< of this attempt; unset without an event
  bool mIsHeadReceived = false;
  std::size_t mInFlight = 0; ///< requests of this instance at the endpoint, with this one
};

/// How an attempt ended.
struct AttemptResult
{
  AttemptOutcome mOutcome = AttemptOutcome::Interrupted;
  bool mRequestDidNotRun = false; ///< true only if this is certain
  std::string mReason;            ///< why the attempt failed, for the log; empty after a success
  ResponseEnd mResponseEnd;
};

/**
 * @brief Sends a request to one endpoint and forwards the response to the caller.
 *
 * The response is forwarded only if the request id in its head is the id of this request, and a
 * success status only if the endpoint signed it. A streamed response is forwarded event by event,
 * any other response once it is complete. The connection is kept for reuse only after a complete
 * response with no bytes after it. Otherwise it is closed, so that the endpoint cancels the
 * request.
 */
class EndpointAttempt final : private EndpointContact::Listener
{
public:
  /// @param aSignal is notified when data arrives on a connection or its state changes
  EndpointAttempt(RelayContext& aContext,
                  const AttemptRequest& aRequest,
                  const PlacementChoice& aPlacement,
                  ResponseWriter& aWriter,
                  StreamProgress& aProgress,
                  std::shared_ptr<net::Signal> aSignal);
  ~EndpointAttempt() override;
  EndpointAttempt(const EndpointAttempt&) = delete;
  EndpointAttempt& operator=(const EndpointAttempt&) = delete;

  /**
   * @brief Runs the attempt. Call it only once.
   *
   * Ends shortly after the deadline of the request at the latest.
   * @return how the attempt ended; a failure is reported here, not as an error
   */
  net::Task<AttemptResult> Run();

private:
  void OnContactLost() override;
  net::Task<bool> OpenConnection();
  net::Task<void> ReceiveResponse();
  void SendRequest();
  net::RequestHead MakeForwardedRequestHead() const;
  /// Tells the service's contact that the endpoint accepted no connection.
  void ReportNotConnected();
  /// Ends the attempt because there is no time left for it.
  void FinishLate();
  /// @return true if bytes were consumed, the parser state changed or the attempt ended; false if
  ///         there is nothing to do until the next notification
  bool ProcessReceived();
  void OnResponseHead();
  /// Handles the head of a response from another instance.
  void OnPeerResponseHead();
  /// Whether a response that need not state a request's id certainly answers this request.
  bool IsResponseToThisRequest() const;
  /// Remembers what the endpoint says of itself.
  void ObserveEndpointState();
  void ObserveLeaving();
  /// Notes whether the endpoint had room for the request.
  void ObserveRoom();
  /// Notes that the endpoint wants no requests for some time, or has answered a trial.
  void ObservePause();
  /// Notes the rate limit that the endpoint states, or that it states none.
  void ObserveRateLimit();
  void ObserveWarmUp();
  /// Whether the endpoint still takes the request after the connection was opened.
  bool AcceptsRequest() const;
  /// Counts a Retry-After: "asked" for a pause, or "invalid".
  void CountPause(std::string_view aKind) const;
  /// Whether a response continues the stream of which the caller has the head already.
  bool ContinuesStream() const;
  /// Whether an event may follow those that the caller has.
  bool BelongsToStream(const ServerSentEvent& aEvent) const;
  /// Whether the status promises the caller that the request did not run, which the endpoint did
  /// not state.
  bool IsUnprovedRefusal() const;
  void OnResponseBody();
  /// Whether this attempt holds more than it may, or more than a small part of what all hold if
  /// that is too much.
  bool IsTooMuchBuffered(std::size_t aMaxBytes, std::size_t aSmallBytes) const;
  /// States how many bytes of the response are held until it, or its next event, is complete.
  void CountBuffered(std::size_t aBytes);
  void OnResponseComplete();
  /// Whether a stream ended where its endpoint cannot have ended it on purpose.
  bool IsStreamTruncated() const;
  void ForwardEvents();
  /// Forwards the head of a stream.
  void StartStream();
  std::int64_t MaxEvents() const;
  void Finish(AttemptOutcome aOutcome, bool aRequestDidNotRun, std::string aReason);
  void ReleaseConnection();
  void OnFirstEvent();
  /// Notes the origin of a stream, before its first event of this attempt is forwarded.
  void RecordOrigin();
  /// Tells the guard that the endpoint survived the start of the response.
  void ReportSurvivedBegin();
  void NotifyPendingTokensChanged() const;
  bool IsAtPeer() const { return mEndpoint->mIsPeerInstance; }
  bool IsStream() const { return mRequest.mRoute.mKind == RouteKind::Streaming; }
  bool IsAtMostOnce() const { return mRequest.mRoute.mKind == RouteKind::AtMostOnce; }
  Micros TimeLeft() const;
  net::ResponseHead MakeForwardedResponseHead() const;

  RelayContext& mContext;
  const AttemptRequest& mRequest;
  EndpointRegistry::Ptr mEndpoint;
  EndpointContact* mContact; ///< with the endpoints of the service; null at another instance
  ResponseWriter& mWriter;
  StreamProgress& mProgress;
  std::shared_ptr<net::Signal> mSignal;
  double mTokensToPrefill; ///< uncached prompt tokens of this request and those pending at the
                           ///< endpoint before it
  EndpointLoad::RequestHandle mLoadHandle;
  std::optional<TimePoint> mPermitUntil; ///< end of the permit of an endpoint that needs one
  bool mIsTrial; ///< the first request after a pause that the endpoint asked for
  EndpointConnection mConnection;
  std::size_t mBytesSentBefore = 0; ///< bytes that earlier requests sent on the connection
  bool mIsRequestSent = false;
  bool mIsContactLost = false; ///< see EndpointContact::Listener
  TimePoint mRequestSentAt{};
  net::ResponseParser mParser;
  bool mIsHeadReceived = false;
  EndpointResponse mResponse;
  std::string mUnforwardedBody; ///< part of the response body that was not forwarded yet
  EventSplitter mSplitter;
  bool mHasForwardedEvent = false;
  bool mIsContinuation;     ///< the caller has events of the stream from before this attempt
  bool mHasEventId = false; ///< an event of this attempt had one
  std::int64_t mReceivedEvents = 0;
  std::optional<TimePoint> mFirstEventAt; ///< when this attempt received its first event
  bool mHasReportedSurvival = false;
  std::size_t mCountedBytes = 0; ///< this attempt's part of RelayContext::mBufferedBytes
  std::optional<AttemptResult> mResult;
};

} // namespace gentianloom

#endif
