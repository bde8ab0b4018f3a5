#ifndef GENTIANLOOM_SERVING_PIPELINE_H
#define GENTIANLOOM_SERVING_PIPELINE_H

#include "gentianloom/serving/Filters.h"
#include "gentianloom/serving/PlaceFilter.h"

#include <span>

namespace gentianloom {

/**
 * @brief Runs the filters of a request in order, each filter on its own thread.
 *
 * The connection's thread reads the request and passes it to Admit(), which runs the filters
 * authenticate, reserve and place. After relaying the response, the connection's thread passes the
 * exchange to Finish(), which runs the filter settle.
 */
class Pipeline
{
public:
  Pipeline(ConfigurationSource aConfiguration,
           BudgetManager& aBudgets,
           EndpointTable& aEndpoints,
           const Clock& aClock,
           const Settings& aSettings,
           Metrics& aMetrics);
  ~Pipeline();

  void Start();
  void Stop();

  /**
   * @brief Runs the filters up to placement and waits for the result.
   * @return why the request was rejected; empty if it was admitted
   */
  std::optional<Error> Admit(const ExchangePtr& aExchange);

  /// Called for each completed exchange, with the error if it was rejected. Must not block.
  using Observer = std::function<void(const Exchange&, const std::optional<Error>&)>;

  /// @brief Sets the observer. Call it before Start().
  void SetObserver(Observer aObserver) { mObserver = std::move(aObserver); }

  /**
   * @brief Releases the current placement of an admitted exchange, if it has one, and chooses an
   * endpoint. Runs on the connection's thread.
   * @param aExcluded endpoints that were already tried
   * @return ErrorCode::NoEndpoint, ErrorCode::Overloaded or ErrorCode::RequestCrashesEndpoints if
   *         there is no other endpoint; the exchange has no placement then
   */
  Result<void> PlaceExcluding(const ExchangePtr& aExchange, std::span<const std::string> aExcluded);

  /**
   * @brief Places an exchange on the named endpoint, to resume a stream there.
   * @return ErrorCode::NoEndpoint if the endpoint is unknown or does not serve the model
   */
  Result<void> PlaceOnEndpoint(const ExchangePtr& aExchange, const std::string& aEndpoint);

  /// @brief Reports a completed exchange to the observer, releases its placement and submits it to
  /// the settle stage. Waits if the queue of that stage is full, which is unlikely because it has
  /// more slots than there are allowed connections.
  void Finish(const ExchangePtr& aExchange);

  /// @brief Submits the exchanges that ReserveFilter parked to it again. Call it after the budgets
  /// changed.
  void RetryParked();

private:
  void SubmitOrReject(Stage& aStage, const ExchangePtr& aExchange);

  /// Releases the reservation, reports the rejection to the observer and ends admission.
  void RejectExchange(const ExchangePtr& aExchange, const Error& aError);

  /// Removes the placement and frees its slot on the endpoint.
  void ReleasePlacement(const ExchangePtr& aExchange);

  Observer mObserver = [](const Exchange&, const std::optional<Error>&) {};
  EndpointTable& mEndpoints;
  BudgetManager& mBudgets;
  std::string mZone;
  ReserveFilter* mReserveFilter;
  PlaceFilter* mPlaceFilter;
  std::unique_ptr<Stage> mSettleStage;
  std::unique_ptr<Stage> mPlaceStage;
  std::unique_ptr<Stage> mReserveStage;
  std::unique_ptr<Stage> mAuthenticateStage;
};

} // namespace gentianloom

#endif
