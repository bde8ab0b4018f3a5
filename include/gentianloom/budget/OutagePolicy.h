#ifndef GENTIANLOOM_BUDGET_OUTAGE_POLICY_H
#define GENTIANLOOM_BUDGET_OUTAGE_POLICY_H

#include "gentianloom/budget/GrantPolicy.h"

namespace gentianloom {

/**
 * @brief Grants for a router that has to live through outages and may be killed at any time.
 *
 * Load pattern: an organisation's callers often meet on one instance, and which one it is changes;
 * cuts from the key-value service last some seconds; kills lose what is held. So a router holds the
 * window's demand, bounded by its own part of the organisation's demand in the whole fleet. Before
 * demand is known it holds a part of its equal share. After an outage the reserve grows again only
 * as fast as time passes: outages seldom follow on each other at once, and kills often come with
 * them.
 *
 * Near its end a budget is pooled in the key-value service: rights that many routers hold in small
 * pieces serve no large request, and what a killed router holds can no longer be made up for.
 */
class OutagePolicy final : public GrantPolicy
{
public:
  /// @param aSeconds demand of how long a time is held
  explicit OutagePolicy(double aSeconds)
    : mSeconds(aSeconds)
  {
  }

  Tokens Target(const GrantInput& aInput) const override;
  Tokens Kept(const GrantInput& aInput) const override;
  Tokens GiveBackAbove(const GrantInput& aInput, Tokens aKept) const override;

  double RefillBelow(const GrantInput& aInput) const override;

  /// @brief Whether so little is left in the whole fleet that it is pooled.
  static bool IsPooled(const GrantInput& aInput);

private:
  Tokens Bound(const GrantInput& aInput) const;

  double mSeconds;
};

} // namespace gentianloom

#endif
