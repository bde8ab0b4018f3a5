#ifndef GENTIANLOOM_SERVING_SERVICE_RELAY_H
#define GENTIANLOOM_SERVING_SERVICE_RELAY_H

#include "gentianloom/external/HttpCall.h"
#include "gentianloom/serving/RelayDependencies.h"

namespace Poco::Net {
class HTTPServerResponse;
}

namespace gentianloom {

/// @brief Whether the configuration declares a call of a service as idempotent (`repeatable`). The
/// first entry that matches the method and the start of the path decides.
bool IsRepeatable(const ServiceSpec& aService, std::string_view aMethod, std::string_view aPath);

/**
 * @brief Sends one admitted call to a plain service and sends the caller the final response.
 *
 * Idempotent calls are retried on other endpoints. Other calls run at most once: an intent is
 * stored in the key-value service before such a call is sent. Runs on the connection's thread and
 * holds no lock.
 */
class ServiceRelay
{
public:
  ServiceRelay(const ExchangePtr& aExchange,
               const RelayDependencies& aDependencies,
               Poco::Net::HTTPServerResponse& aResponse);

  /// @brief Runs the call and sends the response.
  /// @param aBody body of the call, forwarded unchanged
  void Run(std::string aBody);

private:
  /// Result of one attempt.
  struct CallResult
  {
    std::optional<ServiceResponse> mResponse{}; ///< complete response; empty if the attempt failed
    AttemptFailure mFailure{};
    Error mError{}; ///< why there is no response
  };

  /// Runs an idempotent call, with retries.
  void RunRepeatable();

  /// Begins an intent, then runs the call, or sends the result of an earlier call with the same
  /// idempotency key.
  void RunAtMostOnce();

  /// Runs the call and stores its result in the intent.
  void Dispatch(const IntentBeginResult& aBeginResult);

  /// Sends the call to the current endpoint.
  CallResult RunAttempt();
  void SendServiceResponse(const ServiceResponse& aServiceResponse);

  /// Sends the error for a call that must not run because of the state of its intent.
  void SendIntentReply(const IntentBeginResult& aBeginResult);
  void SendFailure(Error aError, Outcome aOutcome);

  /// Places the call; sends the error if no endpoint is available. @return whether it was placed
  bool ChooseFirstEndpoint();

  /// Places the call for a retry, on an endpoint that was not tried yet if there is one.
  /// @return whether it was placed
  bool ChooseNextEndpoint();

  ExchangePtr mExchange;
  RelayDependencies mDependencies;
  Poco::Net::HTTPServerResponse& mResponse;
  HttpRequest mRequest;
  std::vector<std::string> mTriedEndpoints;
};

} // namespace gentianloom

#endif
