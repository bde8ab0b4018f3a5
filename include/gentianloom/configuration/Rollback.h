#ifndef GENTIANLOOM_CONFIGURATION_ROLLBACK_H
#define GENTIANLOOM_CONFIGURATION_ROLLBACK_H

#include "gentianloom/configuration/Configuration.h"

namespace gentianloom {

/**
 * @brief Makes the configuration that a rollback applies: an earlier one, without losing payments.
 *
 * A payment cannot be undone by a rollback, so a budget that both configurations contain keeps the
 * higher prepaid figure.
 *
 * @param aInForce the configuration in force
 * @param aTarget the earlier configuration
 */
Configuration MakeRollbackConfiguration(const Configuration& aInForce,
                                        const Configuration& aTarget);

} // namespace gentianloom

#endif
