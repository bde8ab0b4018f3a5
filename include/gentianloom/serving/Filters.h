#ifndef GENTIANLOOM_SERVING_FILTERS_H
#define GENTIANLOOM_SERVING_FILTERS_H

#include "gentianloom/budget/BudgetManager.h"
#include "gentianloom/serving/Filter.h"

#include <mutex>
#include <vector>

namespace gentianloom {

/// Returns the configuration in force; null if none was accepted yet.
using ConfigurationSource = std::function<AcceptedConfigurationPtr()>;

/// Finds the organisation of a bearer key and checks that the configuration contains the requested
/// model or service.
class AuthenticateFilter final : public Filter
{
public:
  explicit AuthenticateFilter(ConfigurationSource aConfiguration)
    : mConfiguration(std::move(aConfiguration))
  {
  }
  Step HandledStep() const override { return Step::RequestAuthenticate; }
  FilterResult Apply(const ExchangePtr& aExchange) override;

private:
  ConfigurationSource mConfiguration;
};

/// Reserves the upper bound of a chat request's tokens in its budget. Parks the request while more
/// tokens are being requested for the budget.
class ReserveFilter final : public Filter
{
public:
  ReserveFilter(BudgetManager& aBudgets, const Clock& aClock)
    : mBudgets(aBudgets)
    , mClock(aClock)
  {
  }
  Step HandledStep() const override { return Step::RequestReserve; }
  FilterResult Apply(const ExchangePtr& aExchange) override;

  /// @brief Removes and returns all parked exchanges, so that they can be submitted again.
  /// Thread-safe.
  std::vector<ExchangePtr> TakeParked();

private:
  BudgetManager& mBudgets;
  const Clock& mClock;
  std::mutex mMutex;
  std::vector<ExchangePtr> mParked;
};

/// @brief Returns the properties of an exchange that placement uses.
PlacementHints MakePlacementHints(const Exchange& aExchange);

/// Charges the tokens that a completed request used and releases the rest of its reservation.
class SettleFilter final : public Filter
{
public:
  explicit SettleFilter(BudgetManager& aBudgets)
    : mBudgets(aBudgets)
  {
  }
  Step HandledStep() const override { return Step::RequestSettle; }
  FilterResult Apply(const ExchangePtr& aExchange) override;

private:
  BudgetManager& mBudgets;
};

} // namespace gentianloom

#endif
