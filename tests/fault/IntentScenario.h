#ifndef GENTIANLOOM_TESTS_FAULT_INTENT_SCENARIO_H
#define GENTIANLOOM_TESTS_FAULT_INTENT_SCENARIO_H

#include "Scenario.h"

namespace gentianloom::fault {

/**
 * @brief Makes the scenario of calls that run at most once.
 *
 * Three routers share one key-value service and one endpoint.
 */
ScenarioPtr MakeIntentScenario();

} // namespace gentianloom::fault

#endif
