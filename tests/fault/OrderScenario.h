#ifndef GENTIANLOOM_TESTS_FAULT_ORDER_SCENARIO_H
#define GENTIANLOOM_TESTS_FAULT_ORDER_SCENARIO_H

#include "Scenario.h"

namespace gentianloom::fault {

/**
 * @brief Makes the scenario of orders to endpoints.
 *
 * Two routers compete for the locks; one engine compares fencing numbers, the other ignores them.
 */
ScenarioPtr MakeOrderScenario();

} // namespace gentianloom::fault

#endif
