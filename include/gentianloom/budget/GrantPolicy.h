#ifndef GENTIANLOOM_BUDGET_GRANT_POLICY_H
#define GENTIANLOOM_BUDGET_GRANT_POLICY_H

#include "gentianloom/configuration/Configuration.h"
#include "gentianloom/settings/Settings.h"

#include <memory>

namespace gentianloom {

/// State of a budget and of one holder, from which a policy decides how many tokens to hold.
struct GrantInput
{
  Tokens mUnallocated = 0;        ///< tokens granted to no holder, from the last read
  double mDemand = 0;             ///< estimated tokens per second reserved by this router
  Tokens mLargestRequest = 0;     ///< largest recent reservation, tokens
  int mHolders = 1;               ///< incarnations in the budget's record, including this one
  Tokens mFree = 0;               ///< granted tokens that are neither used nor reserved
  double mObservedFraction = 0;   ///< weight of observations in mDemand: 0 at first, then up to 1
  double mSecondsSinceOutage = 0; ///< seconds since the last failed call to the store
  Tokens mPrepaid = 0;            ///< size of the budget; 0 if not known
  Tokens mOthersUnspent = 0;      ///< tokens that other holders have not reported as spent
  double mOthersDemand = 0;       ///< tokens per second reported as spent by other holders
};

/**
 * @brief Returns a number of tokens that random demand is unlikely to exceed within a period: the
 *        mean plus 1.5 standard deviations.
 * @param aDemand mean demand, tokens per second
 * @param aSeconds length of the period, seconds
 * @param aLargestRequest tokens of the largest request; the same demand in few large requests has
 *                        a higher variance than in many small ones
 */
Tokens DemandTokens(double aDemand, double aSeconds, Tokens aLargestRequest);

/**
 * @brief Decides how many tokens of a budget a router holds in advance. Does no input or output.
 */
class GrantPolicy
{
public:
  virtual ~GrantPolicy() = default;

  /// @brief Time constant of the exponential decay of the demand estimate, in seconds.
  double DemandMemory() const { return mDemandMemory; }

  /// @brief Time between reports of used tokens in a small fleet; Ledger multiplies it by a factor
  ///        that grows with the number of holders.
  Millis ChargeInterval() const { return mChargeInterval; }

  /// @brief Returns the fraction of the target below which a refill is due.
  virtual double RefillFraction(const GrantInput& /*aInput*/) const
  {
    return kDefaultRefillFraction;
  }

  /// @brief Returns the tokens that the router should have free after a refill.
  virtual Tokens Target(const GrantInput& aInput) const = 0;

  /// @brief Returns how many free tokens the router keeps when it returns unused ones.
  virtual Tokens TokensToKeep(const GrantInput& aInput) const;

  /**
   * @brief Returns the number of free tokens above which a router returns unused ones.
   * @param aKept result of TokensToKeep()
   */
  virtual Tokens ReturnThreshold(const GrantInput& aInput, Tokens aKept) const;

  /**
   * @brief Creates the policy that the settings name.
   * @param aSettings `policy` is `fixed`, `demand`, `outage` or `shrinking`
   */
  static std::unique_ptr<GrantPolicy> Create(const BudgetSettings& aSettings);

private:
  static constexpr double kDefaultRefillFraction = 0.5;

  double mDemandMemory = 0;
  double mKeptSeconds = 0; ///< tokens for the demand of this time are not returned as unused
  Millis mChargeInterval{ 0 };
};

} // namespace gentianloom

#endif
