#ifndef GENTIANLOOM_BUDGET_OUTAGE_POLICY_H
#define GENTIANLOOM_BUDGET_OUTAGE_POLICY_H

#include "gentianloom/budget/GrantPolicy.h"

namespace gentianloom {

/**
 * @brief Grants enough tokens to serve requests during outages of the key-value service, and
 *        limits the loss when a router is killed.
 *
 * Load pattern: the callers of an organisation are often connected to a single instance, and may
 * move to another one. Outages of the key-value service last some seconds. Tokens held by a killed
 * router are lost. A router therefore holds tokens for the demand of a time window, limited by its
 * share of the organisation's demand in the whole fleet. Before demand is known it holds a part of
 * an equal share. After an outage the number of seconds covered grows only as fast as time passes:
 * an outage seldom follows another one at once, and kills often come together with outages.
 *
 * A budget that is nearly spent is pooled, that is, left unallocated in the key-value service:
 * small remainders on many routers cannot serve a large request, and the loss of tokens with a
 * killed router can no longer be compensated.
 */
class OutagePolicy final : public GrantPolicy
{
public:
  /// @param aSeconds length of the time window for whose demand tokens are held
  explicit OutagePolicy(double aSeconds)
    : mSeconds(aSeconds)
  {
  }

  Tokens Target(const GrantInput& aInput) const override;
  Tokens TokensToKeep(const GrantInput& aInput) const override;
  Tokens ReturnThreshold(const GrantInput& aInput, Tokens aKept) const override;

  double RefillFraction(const GrantInput& aInput) const override;

  /// @brief Whether so few tokens are unspent in the whole fleet that the budget is pooled.
  static bool IsPooled(const GrantInput& aInput);

private:
  /// Maximum number of tokens that this router may hold of a budget that is not pooled.
  Tokens Bound(const GrantInput& aInput) const;

  double mSeconds;
};

} // namespace gentianloom

#endif
