#ifndef GENTIANLOOM_SERVING_BUDGET_ADMIN_H
#define GENTIANLOOM_SERVING_BUDGET_ADMIN_H

#include "gentianloom/budget/BudgetManager.h"
#include "gentianloom/serving/AdminHandler.h"
#include "gentianloom/serving/Filters.h"

namespace gentianloom {

/// Administration API of budgets: balances, usage, and the release of grants in doubt.
class BudgetAdmin final : public AdminHandler
{
public:
  BudgetAdmin(BudgetManager& aBudgets, ConfigurationSource aConfiguration)
    : mBudgets(aBudgets)
    , mConfiguration(std::move(aConfiguration))
  {
  }

  bool Handle(const AdminCall& aCall) override;

private:
  /// Sends the balance of one organisation's budget, with the routers that hold grants from it.
  void HandleShow(const AdminCall& aCall, const std::string& aOrganisation);

  /// Sends the balances and usage of all budgets that the operator may see.
  void HandleUsage(const AdminCall& aCall);

  /// Releases the grants in doubt of one router process.
  void HandleRelease(const AdminCall& aCall, const std::string& aOrganisation);

  /// @brief Authorizes a release and parses its request body.
  /// @return the order; ErrorCode::NotAllowed, ErrorCode::UnknownOrganisation or the first error of
  ///         the body
  Result<ReleaseOrder> ReadReleaseOrder(const AdminCall& aCall,
                                        const std::string& aOrganisation) const;

  BudgetManager& mBudgets;
  ConfigurationSource mConfiguration;
};

} // namespace gentianloom

#endif
