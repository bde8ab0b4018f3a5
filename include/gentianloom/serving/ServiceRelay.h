#ifndef GENTIANLOOM_SERVING_SERVICE_RELAY_H
#define GENTIANLOOM_SERVING_SERVICE_RELAY_H

#include "gentianloom/external/HttpCall.h"
#include "gentianloom/serving/RelayParts.h"

namespace Poco::Net {
class HTTPServerResponse;
}

namespace gentianloom {

/// @brief Whether a call of a service is stated as repeatable; the first match counts.
bool IsRepeatable(const ServiceSpec& aService, std::string_view aMethod, std::string_view aPath);

/**
 * @brief Sends one admitted call to a plain service and gives the caller the final answer.
 *
 * Idempotent calls are tried again on other endpoints. Others run under an intent, at most once.
 * Runs on the connection's thread, holds no lock.
 */
class ServiceRelay
{
public:
  ServiceRelay(const ExchangePtr& aExchange,
               const RelayParts& aParts,
               Poco::Net::HTTPServerResponse& aResponse);

  /// @param aBody body of the call, passed on as it is
  void Run(std::string aBody);

private:
  /// How one attempt ended.
  struct Attempted
  {
    std::optional<ServiceResponse> mAnswer{}; ///< whole answer of the service
    AttemptFailure mFacts{};
    Error mError{}; ///< without an answer
  };

  void RunRepeatable();
  void RunOnce();
  void Dispatch(const IntentBeginResult& aPermit);
  Attempted TryOnce();
  void Tell(const ServiceResponse& aAnswer);
  void TellRuling(const IntentBeginResult& aPermit);
  void GiveUp(Error aError, Outcome aOutcome);
  bool PlaceFirst();
  bool PlaceElsewhere();

  ExchangePtr mExchange;
  RelayParts mParts;
  Poco::Net::HTTPServerResponse& mResponse;
  HttpRequest mCall;
  std::vector<std::string> mTried;
};

} // namespace gentianloom

#endif
