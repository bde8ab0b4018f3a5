#ifndef GENTIANLOOM_BUDGET_GRANT_POLICY_H
#define GENTIANLOOM_BUDGET_GRANT_POLICY_H

#include "gentianloom/configuration/Model.h"
#include "gentianloom/settings/Settings.h"

#include <memory>

namespace gentianloom {

/// What a policy may look at.
struct GrantInput
{
  Tokens mLeft = 0;    ///< granted to nobody, by the record just read
  double mDemand = 0;  ///< tokens a second that this router reserved lately
  Tokens mLargest = 0; ///< largest reservation lately
  int mHolders = 1;    ///< incarnations that hold rights of the budget, this one included
};

/**
 * @brief Decides how much of a budget a router holds in advance. Pure.
 */
class GrantPolicy
{
public:
  virtual ~GrantPolicy() = default;

  /// @brief Time constant of the demand estimate, seconds.
  double DemandMemory() const { return mDemandMemory; }

  /// @brief Rights for so many seconds of demand are never given back.
  double KeptSeconds() const { return mKeptSeconds; }

  /// @brief Tokens that the router should have free after a refill.
  virtual Tokens Target(const GrantInput& aInput) const = 0;

  /**
   * @brief Makes the policy that the settings choose.
   * @param aSettings `policy` is `fixed`, `demand` or `shrinking`
   */
  static std::unique_ptr<GrantPolicy> Create(const BudgetSettings& aSettings);

private:
  double mDemandMemory = 0;
  double mKeptSeconds = 0;
};

} // namespace gentianloom

#endif
