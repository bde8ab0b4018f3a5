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
 * @brief What callers see: chat completions, models, plain services and entry points.
 *
 * Each method runs on the connection's thread and gives the final answer.
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

  /// @brief Handles a request below `/v1/` or `/services/`.
  void Handle(Poco::Net::HTTPServerRequest& aRequest, Poco::Net::HTTPServerResponse& aResponse);

  /// Addresses for an organisation and a zone, best first.
  using EntryPointSource =
    std::function<std::vector<std::string>(std::string_view, std::string_view)>;

  /// @brief Sets who chooses the addresses that callers are told; before serving starts.
  void SetEntryPointSource(EntryPointSource aSource) { mEntryPointSource = std::move(aSource); }

  /// @brief From now on new work is refused, because this router is leaving.
  void RejectNewRequests() { mRejectsNewRequests = true; }

private:
  bool RejectIfLeaving(Poco::Net::HTTPServerResponse& aResponse) const;
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
