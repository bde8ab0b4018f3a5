#ifndef GENTIANLOOM_TESTS_FAULT_CONFIGURATION_SCENARIO_H
#define GENTIANLOOM_TESTS_FAULT_CONFIGURATION_SCENARIO_H

#include "Scenario.h"

namespace gentianloom::fault {

/**
 * @brief Makes the scenario of applying and distributing a configuration.
 *
 * Two operators use three routers, which share one key-value service.
 */
ScenarioPtr MakeConfigurationScenario();

} // namespace gentianloom::fault

#endif
