#ifndef GENTIANLOOM_SERVING_FILTERS_H
#define GENTIANLOOM_SERVING_FILTERS_H

#include "gentianloom/budget/BudgetDuty.h"
#include "gentianloom/serving/Filter.h"

#include <mutex>
#include <vector>

namespace gentianloom {

/// Gives the configuration in force; null if none was accepted yet.
using ConfigurationSource = std::function<AcceptedConfigurationPtr()>;

/// Finds the organisation of a bearer key and checks that the model or service exists.
class AuthenticateFilter final : public Filter
{
public:
  explicit AuthenticateFilter(ConfigurationSource aConfiguration)
    : mConfiguration(std::move(aConfiguration))
  {
  }
  Step Duty() const override { return Step::RequestAuthenticate; }
  FilterAnswer Apply(const ExchangePtr& aExchange) override;

private:
  ConfigurationSource mConfiguration;
};

/// Sets aside the upper bound of a chat request's tokens; parks it while a refill is under way.
class ReserveFilter final : public Filter
{
public:
  ReserveFilter(BudgetDuty& aBudgets, const Clock& aClock)
    : mBudgets(aBudgets)
    , mClock(aClock)
  {
  }
  Step Duty() const override { return Step::RequestReserve; }
  FilterAnswer Apply(const ExchangePtr& aExchange) override;

  /// @brief Takes out all parked exchanges, to be submitted again. Any thread may call.
  std::vector<ExchangePtr> TakeParked();

private:
  BudgetDuty& mBudgets;
  const Clock& mClock;
  std::mutex mMutex;
  std::vector<ExchangePtr> mParked;
};

/// @brief What placement may know of an exchange.
PlaceHints HintsOf(const Exchange& aExchange);

/// Charges what was used and frees the rest, after the answer.
class SettleFilter final : public Filter
{
public:
  explicit SettleFilter(BudgetDuty& aBudgets)
    : mBudgets(aBudgets)
  {
  }
  Step Duty() const override { return Step::RequestSettle; }
  FilterAnswer Apply(const ExchangePtr& aExchange) override;

private:
  BudgetDuty& mBudgets;
};

} // namespace gentianloom

#endif
