#ifndef GENTIANLOOM_RELAY_REQUEST_EXCHANGE_H
#define GENTIANLOOM_RELAY_REQUEST_EXCHANGE_H

#include "gentianloom/relay/EndpointAttempt.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace gentianloom {

/**
 * @brief Serves one request of a caller, from admission until its response has been sent.
 *
 * Looks up the route and the organisation, reserves tokens of a prepaid organisation, chooses an
 * endpoint, and retries if a retry is safe and the retry budget allows it. Afterwards settles the
 * reservation with the tokens used and writes one log line.
 */
class RequestExchange
{
public:
  /// @param aSignal is notified when a connection changes or the budget may cover more tokens
  RequestExchange(RelayContext& aContext,
                  net::Channel& aChannel,
                  std::shared_ptr<net::Signal> aSignal,
                  net::RequestHead aHead,
                  std::string aBody,
                  bool aHasBody,
                  RequestSource aSource);
  ~RequestExchange();
  RequestExchange(const RequestExchange&) = delete;
  RequestExchange& operator=(const RequestExchange&) = delete;

  /// @brief Serves the request. @return whether the connection can be reused for another request
  net::Task<bool> Run();

private:
  bool Admit();
  /// Finds out what began the stream that the request resumes, if it does. @return false if that is
  /// not known or not allowed any more; the request was rejected then
  net::Task<bool> FindStreamOrigin();
  /// As SoleOrigin(), after a look at what is recorded now.
  net::Task<std::optional<StreamOrigin>> FindSoleOrigin();
  /// The origin of any stream on the route, if only one can have begun it by what is known here.
  std::optional<StreamOrigin> SoleOrigin() const;
  void RejectResume(std::string_view aReason);
  StreamKey Stream() const;
  net::Task<bool> ReserveTokens();
  void OnTokensNotReserved(Tokens aTokens); ///< responds by mReservation
  net::Task<void> RunAttempts();
  /// Lets other instances serve the request.
  net::Task<void> RunAtPeers();
  /// Makes one attempt at the endpoint or instance of mPlacement.
  net::Task<void> RunAttempt();
  /// Whether this instance reaches no endpoint of the request's service.
  bool IsContactLost() const;
  /// Whether another instance may serve the request: nothing was sent to the caller, and it has not
  /// run or may run again.
  bool MayAskPeers() const;
  /// Whether endpoints were tried and none of them accepted a connection.
  bool WasNoEndpointReached() const;
  /// Chooses an endpoint and takes the permit that it needs.
  net::Task<void> Place();
  /// @param aOnlyUnlimited leaves out endpoints with a rate limit
  PlacementChoice ChooseEndpoint(bool aOnlyUnlimited);
  /// Leaves out endpoints whose software version a restarted instance would not know, unless there
  /// are no others.
  void KeepRecordedVersions(std::vector<EndpointRegistry::Ptr>& aEndpoints);
  /// Whether the load of the service's usable endpoints is evened out.
  bool IsLoadEvened(std::span<const EndpointRegistry::Ptr> aEndpoints);
  bool MayRetry(const AttemptResult& aResult);
  /// When an endpoint may accept a request that none accepted now.
  Millis RetryAfterRefusal() const;
  void ReportFailedAttempts(); ///< aborts a started stream, otherwise sends an error response
  void SendError(int aStatus, const Error& aError);
  void SettleTokens();
  /// Gives the reserved tokens back unused.
  void ReleaseTokens();
  /// The same for all repetitions of the request; empty if it was not admitted.
  std::string Fingerprint() const;
  /// Keys of the shared parts of the prompt.
  std::span<const std::string> PartKeys() const;
  /// For how long no endpoint may get the request, because of what it does to them.
  std::optional<Millis> BlockedFor() const;
  /// Whether endpoints ended under the request, so that it is not sent again.
  bool IsSuspect() const;
  void RejectBlocked(Millis aTime);
  /// Responds if the request is blocked and no trial can be taken. @return whether it may be sent
  net::Task<bool> PassGuard();
  /// Tells the guard how the last attempt ended.
  void ReportToGuard();
  void LogFailedAttempt(bool aWillRetry) const;
  void Log() const;
  /// Time until the deadline, or until this instance ends the requests that still run.
  Micros TimeLeft() const;
  /// Rejects the request because this instance shuts down.
  void RejectLeaving();

  RelayContext& mContext;
  std::shared_ptr<net::Signal> mSignal;
  net::RequestHead mHead;
  std::string mBody;
  bool mHasBody;
  RequestSource mSource;
  ResponseWriter mWriter;
  TimePoint mStartedAt;
  TimePoint mDeadline;
  CallerRequest mRequest;
  RouteTable::Ptr mRoutes; ///< configuration at admission, used until the request ends
  const Route* mRoute = nullptr;
  const OrganisationAccount* mAccount = nullptr; ///< null for an anonymous request
  AllowedZones mAllowedZones;          ///< of endpoints and instances that may get the request
  std::vector<std::string> mCrashKeys; ///< see MakeCrashKeys()
  bool mIsTrial = false;               ///< sent although it is blocked, see RequestGuard
  std::string mService;
  TokenReservation mReservation;
  bool mRequestMayHaveRun = false; ///< at least one attempt may have run the request
  StreamProgress mProgress;
  std::vector<std::string> mTriedEndpoints; ///< ids, one for each attempt
  std::size_t mNotReachedAttempts = 0;      ///< of these, those without a connection
  std::vector<std::string> mTriedPeers;     ///< addresses of other instances, one for each attempt
  AttemptResult mLastAttempt;
  PlacementChoice mPlacement;
  bool mIsNoneRecorded = false; ///< the last placement knew no endpoint of a recorded version
  Micros mReserveDuration{ 0 }; ///< from the start of the request until its tokens were reserved
  std::string mFailureReason;   ///< set if the request was rejected or no attempt succeeded
};

} // namespace gentianloom

#endif
