#ifndef GENTIANLOOM_RELAY_REQUEST_EXCHANGE_H
#define GENTIANLOOM_RELAY_REQUEST_EXCHANGE_H

#include "gentianloom/relay/EndpointAttempt.h"

#include <string>
#include <vector>

namespace gentianloom {

/**
 * @brief Serves one request of a caller up to its response.
 *
 * Looks up the route and the organisation, reserves tokens of a prepaid organisation, chooses an
 * endpoint, and retries if a retry is safe and the retry budget allows it. Afterwards settles the
 * reservation with the tokens used and writes one log line.
 */
class RequestExchange
{
public:
  RequestExchange(RelayContext& aContext,
                  net::Channel& aChannel,
                  std::shared_ptr<net::Signal> aSignal,
                  net::RequestHead aHead,
                  std::string aBody,
                  bool aHasBody);
  ~RequestExchange();
  RequestExchange(const RequestExchange&) = delete;
  RequestExchange& operator=(const RequestExchange&) = delete;

  /// @brief Serves the request. @return whether the connection can be reused for another request
  net::Task<bool> Run();

private:
  bool Admit();
  net::Task<bool> ReserveTokens();
  net::Task<void> RunAttempts();
  PlacementChoice ChooseEndpoint();
  bool MayRetry(const AttemptResult& aResult);
  void SendFailure();
  void SendError(int aStatus, const Error& aError);
  void SettleTokens();
  void Log() const;
  Micros TimeLeft() const { return mDeadline - mContext.mClock.Now(); }

  RelayContext& mContext;
  std::shared_ptr<net::Signal> mSignal;
  net::RequestHead mHead;
  std::string mBody;
  bool mHasBody;
  ResponseWriter mWriter;
  TimePoint mStartedAt;
  TimePoint mDeadline;
  CallerRequest mRequest;
  RouteTable::Ptr mRoutes; ///< configuration at admission, used until the request ends
  const Route* mRoute = nullptr;
  const OrganisationAccount* mPayer = nullptr;
  std::string mService;
  Tokens mReservedTokens = 0;
  bool mMayHaveRun = false;
  StreamProgress mProgress;
  std::vector<std::string> mTriedEndpoints;
  AttemptResult mLastAttempt;
  PlacementChoice mPlacement;
  Micros mReserveTime{ 0 };
  std::string mFailureReason; ///< set if the request was rejected or no attempt succeeded
};

} // namespace gentianloom

#endif
