#ifndef GENTIANLOOM_SERVING_SERVICE_RELAY_H
#define GENTIANLOOM_SERVING_SERVICE_RELAY_H

#include "gentianloom/external/HttpCall.h"
#include "gentianloom/serving/RelayDependencies.h"

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
               const RelayDependencies& aDependencies,
               Poco::Net::HTTPServerResponse& aResponse);

  /// @param aBody body of the call, passed on as it is
  void Run(std::string aBody);

private:
  /// How one attempt ended.
  struct CallResult
  {
    std::optional<ServiceResponse> mResponse{}; ///< whole answer of the service
    AttemptFailure mFailure{};
    Error mError{}; ///< without an answer
  };

  void RunRepeatable();
  void RunAtMostOnce();
  void Dispatch(const IntentPermit& aPermit);
  CallResult RunAttempt();
  void SendServiceResponse(const ServiceResponse& aServiceResponse);
  void SendIntentReply(const IntentPermit& aPermit);
  void SendFailure(Error aError, Outcome aOutcome);
  bool ChooseFirstEndpoint();
  bool ChooseNextEndpoint();

  ExchangePtr mExchange;
  RelayDependencies mDependencies;
  Poco::Net::HTTPServerResponse& mResponse;
  HttpRequest mRequest;
  std::vector<std::string> mTriedEndpoints;
};

} // namespace gentianloom

#endif
