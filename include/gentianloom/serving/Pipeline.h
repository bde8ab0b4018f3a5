#ifndef GENTIANLOOM_SERVING_PIPELINE_H
#define GENTIANLOOM_SERVING_PIPELINE_H

#include "gentianloom/serving/Filters.h"
#include "gentianloom/serving/PlaceFilter.h"

#include <span>

namespace gentianloom {

/**
 * @brief The filters of a request in order, each on a thread of its own.
 *
 * The connection's thread accepts and relays; between the two it gives the exchange to the
 * pipeline: authenticate, reserve, place. After the answer it gives it to settle.
 */
class Pipeline
{
public:
  Pipeline(ConfigurationSource aConfiguration,
           BudgetDuty& aBudgets,
           EndpointTable& aEndpoints,
           const Clock& aClock,
           const Settings& aSettings,
           Metrics& aMetrics);
  ~Pipeline();

  void Start();
  void Stop();

  /**
   * @brief Takes an exchange through the filters up to its placement and waits.
   * @return the refusal, if any
   */
  std::optional<Error> Admit(const ExchangePtr& aExchange);

  /// Told of each exchange that has ended, and why it was refused if it was; must not block.
  using Observer = std::function<void(const Exchange&, const std::optional<Error>&)>;

  /// @brief Sets the observer; before Start().
  void SetObserver(Observer aObserver) { mObserver = std::move(aObserver); }

  /**
   * @brief Chooses another endpoint for an admitted exchange, on the connection's thread.
   * @param aExcluded endpoints that it was tried on already
   * @return ErrorCode::NoEndpoint if there is none; the exchange then has no placement
   */
  Result<void> PlaceExcluding(const ExchangePtr& aExchange, std::span<const std::string> aExcluded);

  /// @brief The endpoint of a name, for a stream that is to be resumed there.
  Result<void> PlaceOnEndpoint(const ExchangePtr& aExchange, const std::string& aEndpoint);

  /// @brief Gives an answered exchange to settlement. Its ring has a slot for each connection.
  void Finish(const ExchangePtr& aExchange);

  /// @brief Tries parked exchanges again, after a refill.
  void RetryParked();

private:
  void SubmitOrReject(Stage& aStage, const ExchangePtr& aExchange);
  void RejectExchange(const ExchangePtr& aExchange, const Error& aError);

  void ReleasePlacement(const ExchangePtr& aExchange);

  Observer mObserver = [](const Exchange&, const std::optional<Error>&) {};
  EndpointTable& mEndpoints;
  BudgetDuty& mBudgets;
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
