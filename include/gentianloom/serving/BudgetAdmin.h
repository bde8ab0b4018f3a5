#ifndef GENTIANLOOM_SERVING_BUDGET_ADMIN_H
#define GENTIANLOOM_SERVING_BUDGET_ADMIN_H

#include "gentianloom/budget/BudgetDuty.h"
#include "gentianloom/serving/AdminHandler.h"
#include "gentianloom/serving/Filters.h"

namespace gentianloom {

/// Administration of budgets: figures, usage, and the release of rights in doubt.
class BudgetAdmin final : public AdminHandler
{
public:
  BudgetAdmin(BudgetDuty& aBudgets, ConfigurationSource aConfiguration)
    : mBudgets(aBudgets)
    , mConfiguration(std::move(aConfiguration))
  {
  }

  bool Handle(const AdminCall& aCall) override;

private:
  void HandleShow(const AdminCall& aCall, const std::string& aOrganisation);
  void HandleUsage(const AdminCall& aCall);
  void HandleRelease(const AdminCall& aCall, const std::string& aOrganisation);
  Result<ReleaseOrder> ReadReleaseOrder(const AdminCall& aCall,
                                        const std::string& aOrganisation) const;

  BudgetDuty& mBudgets;
  ConfigurationSource mConfiguration;
};

} // namespace gentianloom

#endif
