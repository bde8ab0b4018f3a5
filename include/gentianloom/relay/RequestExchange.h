#ifndef GENTIANLOOM_RELAY_REQUEST_EXCHANGE_H
#define GENTIANLOOM_RELAY_REQUEST_EXCHANGE_H

#include "gentianloom/relay/EndpointAttempt.h"

#include <string>
#include <vector>

namespace gentianloom {

/**
 * @brief Serves one request of a caller from its first byte to its one final answer.
 *
 * Finds route and organisation, reserves tokens, places the request, retries where that is safe and
 * the shared limits allow it, settles what was used and writes one log line.
 */
class RequestExchange
{
public:
  RequestExchange(RelayParts& aParts,
                  net::Channel& aChannel,
                  std::shared_ptr<net::Signal> aSignal,
                  net::RequestHead aHead,
                  std::string aBody,
                  bool aHasBody);
  ~RequestExchange();
  RequestExchange(const RequestExchange&) = delete;
  RequestExchange& operator=(const RequestExchange&) = delete;

  /// @brief Serves it. @return whether the connection may carry another request
  net::Task<bool> Run();

private:
  bool Admit();
  net::Task<bool> Reserve();
  net::Task<void> Serve();
  PlacementChoice Place();
  bool MayRetry(const AttemptResult& aResult);
  void AnswerFailure();
  void Refuse(int aStatus, const Error& aError);
  void Settle();
  void Log() const;
  Micros TimeLeft() const { return mDeadline - mParts.mClock.Now(); }

  RelayParts& mParts;
  std::shared_ptr<net::Signal> mSignal;
  net::RequestHead mHead;
  std::string mBody;
  bool mHasBody;
  CallerSide mCaller;
  TimePoint mStartedAt;
  TimePoint mDeadline;
  CallerRequest mRequest;
  RouteTable::Ptr mRoutes; ///< configuration that the request is judged by
  const Route* mRoute = nullptr;
  const OrganisationAccount* mPayer = nullptr;
  std::string mService;
  Tokens mReserved = 0;
  bool mMayHaveRun = false;
  StreamProgress mProgress;
  std::vector<std::string> mTried;
  AttemptResult mLast;
  PlacementChoice mChoice;
  Micros mReserveTime{ 0 };
  std::string mRefusal; ///< why the router itself refused or failed it
};

} // namespace gentianloom

#endif
