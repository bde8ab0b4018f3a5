#ifndef GENTIANLOOM_RELAY_ENDPOINT_ATTEMPT_H
#define GENTIANLOOM_RELAY_ENDPOINT_ATTEMPT_H

#include "gentianloom/net/HttpParser.h"
#include "gentianloom/relay/CallerSide.h"
#include "gentianloom/relay/EventSplitter.h"
#include "gentianloom/relay/RelayParts.h"
#include "gentianloom/routing/AttemptObserver.h"
#include "gentianloom/routing/EndpointChooser.h"

#include <optional>
#include <string>

namespace gentianloom {

/// Progress of a stream over all attempts of its request.
struct StreamProgress
{
  std::int64_t mEvents = 0; ///< passed on to the caller
  std::optional<std::int64_t> mLastId;
  TimePoint mFirstAt{}; ///< when the first event was passed on
};

/// One request as its attempts need it.
struct AttemptRequest
{
  const net::RequestHead& mHead;
  const std::string& mBody;
  bool mHasBody = false; ///< whether the caller stated a body, also an empty one
  const CallerRequest& mCaller;
  const Route& mRoute;
  std::string mOrganisation;
  TimePoint mDeadline{}; ///< of the caller or the route, whichever comes first
};

/// How an attempt ended.
struct AttemptResult
{
  AttemptOutcome mEnd = AttemptOutcome::Interrupted;
  bool mProvedNotRun = false;
  std::string mWhy;
};

/**
 * @brief Sends a request to one endpoint and passes the answer on to the caller.
 *
 * An answer is passed on only if it belongs to the request and is whole, or is an event stream,
 * whose whole events are passed on as they come. The connection is kept only after a whole answer
 * with nothing behind it; otherwise it is closed, which ends the work at the endpoint.
 */
class EndpointAttempt
{
public:
  EndpointAttempt(RelayParts& aParts,
                  const AttemptRequest& aRequest,
                  const PlacementChoice& aChoice,
                  CallerSide& aCaller,
                  StreamProgress& aProgress,
                  std::shared_ptr<net::Signal> aSignal);
  ~EndpointAttempt();
  EndpointAttempt(const EndpointAttempt&) = delete;
  EndpointAttempt& operator=(const EndpointAttempt&) = delete;

  net::Task<AttemptResult> Run();

private:
  net::Task<bool> Open();
  net::Task<void> Receive();
  void SendRequest();
  bool Read();
  void OnHead();
  void OnBody();
  void OnWhole();
  void PassEvents();
  void Finish(AttemptOutcome aEnd, bool aProvedNotRun, std::string aWhy);
  void Release();
  void OnFirstEvent();
  void NotePendingChange() const;
  bool IsStream() const { return mRequest.mRoute.mKind == RouteKind::Streaming; }
  bool MustFinish() const { return mRequest.mRoute.mKind == RouteKind::AtMostOnce; }
  Micros TimeLeft() const;
  net::ResponseHead CallerHead() const;

  RelayParts& mParts;
  const AttemptRequest& mRequest;
  EndpointRegistry::Ptr mEndpoint;
  CallerSide& mCaller;
  StreamProgress& mProgress;
  std::shared_ptr<net::Signal> mSignal;
  double mTokensBefore; ///< prompt tokens that the endpoint reads before the first event
  EndpointLoad::RequestHandle mWork;
  net::Channel::Ptr mChannel;
  std::size_t mSentBefore = 0; ///< bytes that earlier requests sent on the connection
  bool mHasSent = false;
  TimePoint mSentAt{};
  net::ResponseParser mParser;
  bool mHeadSeen = false;
  EndpointAnswer mAnswer;
  std::string mBody; ///< received and not passed on
  EventSplitter mEvents;
  std::optional<AttemptResult> mResult;
};

} // namespace gentianloom

#endif
