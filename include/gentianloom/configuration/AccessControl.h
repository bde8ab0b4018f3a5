#ifndef GENTIANLOOM_CONFIGURATION_ACCESS_CONTROL_H
#define GENTIANLOOM_CONFIGURATION_ACCESS_CONTROL_H

#include "gentianloom/configuration/Difference.h"
#include "gentianloom/settings/Settings.h"

#include <optional>

namespace gentianloom {

/**
 * @brief Checks whether an operator may apply a configuration.
 *
 * An owner may change everything and a reader nothing. An operator with the team role may change
 * the organisations of its teams and the budgets that only those organisations use; the rest of the
 * configuration must be unchanged.
 *
 * @return nothing if the operator may apply it, else ErrorCode::NotAllowed with the names of the
 *         changed entries that the operator may not change
 * @par Complexity n log n in the number of entries
 */
std::optional<Error> CheckMayApply(const OperatorSettings& aOperator,
                                   const Configuration& aBefore,
                                   const Configuration& aAfter);

/**
 * @brief Reduces a difference to the entries that an operator may see.
 * @return for an owner the whole difference; for other operators the organisations and budgets of
 *         their teams
 */
Difference FilterVisible(const OperatorSettings& aOperator,
                         const Difference& aDifference,
                         const Configuration& aBefore,
                         const Configuration& aAfter);

/// @brief Whether an operator may see the organisations of a team.
bool MaySeeTeam(const OperatorSettings& aOperator, const std::string& aTeam);

} // namespace gentianloom

#endif
