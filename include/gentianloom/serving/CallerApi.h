#ifndef GENTIANLOOM_SERVING_CALLER_API_H
#define GENTIANLOOM_SERVING_CALLER_API_H

#include "gentianloom/serving/ServiceRelay.h"

#include <atomic>
#include <functional>
#include <string>
#include <vector>

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
}

namespace gentianloom {

/**
 * @brief Serves the API for callers: chat completions, models, plain services and entry points.
 *
 * Requests are handled on the thread of their connection, which sends the final response.
 */
class CallerApi
{
public:
  CallerApi(Pipeline& aPipeline,
            IntentCoordinator& aIntents,
            AttemptObserver& aObserver,
            ConfigurationSource aConfiguration,
            const Settings& aSettings,
            const Clock& aClock,
            Metrics& aMetrics);

  /// @brief Handles a request below `/v1/` or `/services/` and sends the response.
  void Handle(Poco::Net::HTTPServerRequest& aRequest, Poco::Net::HTTPServerResponse& aResponse);

  /// Returns the router addresses for an organisation and an availability zone, best first.
  using EntryPointSource =
    std::function<std::vector<std::string>(std::string_view, std::string_view)>;

  /// @brief Sets the source of `/v1/entry-points`. Call it before requests are served.
  void SetEntryPointSource(EntryPointSource aSource) { mEntryPointSource = std::move(aSource); }

  /// @brief Makes the router reject new chat and service requests, because it is shutting down.
  void RejectNewRequests() { mRejectsNewRequests = true; }

private:
  /// @brief Rejects a request if the router is shutting down. @return whether it was rejected
  bool RejectIfShuttingDown(Poco::Net::HTTPServerResponse& aResponse) const;
  void HandleChat(Poco::Net::HTTPServerRequest& aRequest, Poco::Net::HTTPServerResponse& aResponse);
  void HandleService(Poco::Net::HTTPServerRequest& aRequest,
                     Poco::Net::HTTPServerResponse& aResponse);
  void CountOutcome(const Exchange& aExchange);
  void HandleModels(Poco::Net::HTTPServerResponse& aResponse);
  void HandleEntryPoints(Poco::Net::HTTPServerRequest& aRequest,
                         Poco::Net::HTTPServerResponse& aResponse);
  ExchangePtr MakeExchange(Poco::Net::HTTPServerRequest& aRequest,
                           Poco::Net::HTTPServerResponse& aResponse);

  Pipeline& mPipeline;
  ConfigurationSource mConfiguration;
  const Settings& mSettings;
  const Clock& mClock;
  Metrics& mMetrics;
  RetryBudget mRetryBudget;
  EchoingEngines mEchoingEngines;
  RelayDependencies mDependencies;
  EntryPointSource mEntryPointSource;
  std::atomic<bool> mRejectsNewRequests{ false };
};

} // namespace gentianloom

#endif
