#ifndef GENTIANLOOM_BUDGET_GRANT_POLICY_H
#define GENTIANLOOM_BUDGET_GRANT_POLICY_H

#include "gentianloom/configuration/Configuration.h"
#include "gentianloom/settings/Settings.h"

#include <memory>

namespace gentianloom {

/// What a policy may look at.
struct GrantInput
{
  Tokens mLeft = 0;         ///< granted to nobody, by the record just read
  double mDemand = 0;       ///< tokens a second that this router reserved lately
  Tokens mLargest = 0;      ///< largest reservation lately
  int mHolders = 1;         ///< incarnations that hold rights of the budget, this one included
  Tokens mFree = 0;         ///< held and not used
  double mObserved = 0;     ///< how much of the demand estimate's memory was observed, 0 to 1
  double mSteadyFor = 0;    ///< seconds since the key-value service last failed to answer
  Tokens mPrepaid = 0;      ///< what the budget is in all; 0: not known
  Tokens mOthersRest = 0;   ///< rights of other holders that they have not reported as spent
  double mOthersDemand = 0; ///< tokens a second that other holders reported as spent lately
};

/**
 * @brief Tokens that a random demand most likely does not exceed.
 * @param aDemand mean demand, tokens a second
 * @param aLargest largest request: few large requests vary more than many small ones
 */
Tokens TokensFor(double aDemand, double aSeconds, Tokens aLargest);

/**
 * @brief Decides how much of a budget a router holds in advance. Pure.
 */
class GrantPolicy
{
public:
  virtual ~GrantPolicy() = default;

  /// @brief Time constant of the demand estimate, seconds.
  double DemandMemory() const { return mDemandMemory; }

  /// @brief Longest time before what was used is written.
  Millis ChargeInterval() const { return mChargeInterval; }

  /// @brief Part of the target below which a refill is due.
  virtual double RefillBelow(const GrantInput& /*aInput*/) const { return kRefillUsual; }

  /// @brief Tokens that the router should have free after a refill.
  virtual Tokens Target(const GrantInput& aInput) const = 0;

  /// @brief Tokens that the router keeps when it gives back what idles.
  virtual Tokens Kept(const GrantInput& aInput) const;

  /// @brief Free tokens above which a router gives back what idles. @param aKept see Kept()
  virtual Tokens GiveBackAbove(const GrantInput& aInput, Tokens aKept) const;

  /**
   * @brief Makes the policy that the settings choose.
   * @param aSettings `policy` is `fixed`, `demand` or `shrinking`
   */
  static std::unique_ptr<GrantPolicy> Create(const BudgetSettings& aSettings);

private:
  static constexpr double kRefillUsual = 0.5;

  double mDemandMemory = 0;
  double mKeptSeconds = 0; ///< rights for so long a demand are never given back
  Millis mChargeInterval{ 0 };
};

} // namespace gentianloom

#endif
