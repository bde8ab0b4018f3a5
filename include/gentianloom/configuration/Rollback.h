#ifndef GENTIANLOOM_CONFIGURATION_ROLLBACK_H
#define GENTIANLOOM_CONFIGURATION_ROLLBACK_H

#include "gentianloom/configuration/Configuration.h"

namespace gentianloom {

/**
 * @brief The configuration that a rollback applies: the earlier one, with every payment kept.
 *
 * What was prepaid is a fact, so a budget that both state keeps the higher figure.
 *
 * @param aInForce the configuration in force
 * @param aTarget the earlier one
 */
Configuration MakeRollbackConfiguration(const Configuration& aInForce,
                                        const Configuration& aTarget);

} // namespace gentianloom

#endif
