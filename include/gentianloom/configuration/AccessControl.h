#ifndef GENTIANLOOM_CONFIGURATION_ACCESS_CONTROL_H
#define GENTIANLOOM_CONFIGURATION_ACCESS_CONTROL_H

#include "gentianloom/configuration/Difference.h"
#include "gentianloom/settings/Settings.h"

#include <optional>

namespace gentianloom {

/**
 * @brief Tells whether an operator may apply a file.
 *
 * An owner may change everything and a reader nothing. A team may change its own organisations and
 * the budgets that only its organisations use, by a file in which nothing else differs.
 *
 * @return why not, naming everything that is not the operator's; nothing if it may
 * @par Complexity n log n in the entries
 */
std::optional<Error> CheckMayApply(const OperatorSettings& aOperator,
                                   const Configuration& aBefore,
                                   const Configuration& aAfter);

/// @brief Leaves of a difference what an operator may see: an owner all, others their teams' own.
Difference FilterVisible(const OperatorSettings& aOperator,
                         const Difference& aDifference,
                         const Configuration& aBefore,
                         const Configuration& aAfter);

/// @brief Whether an operator sees an organisation of this team.
bool MaySeeTeam(const OperatorSettings& aOperator, const std::string& aTeam);

} // namespace gentianloom

#endif
