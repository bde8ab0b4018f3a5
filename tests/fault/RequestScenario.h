#ifndef GENTIANLOOM_TESTS_FAULT_REQUEST_SCENARIO_H
#define GENTIANLOOM_TESTS_FAULT_REQUEST_SCENARIO_H

#include "Scenario.h"

namespace gentianloom::fault {

/**
 * @brief Makes the scenario of chat requests, from acceptance to the relayed response.
 *
 * The engines retain their streams, so that an interrupted stream can be resumed.
 */
ScenarioPtr MakeRequestScenario();

/// @brief Makes the scenario of a router that drains while requests are open and more arrive.
ScenarioPtr MakeDrainScenario();

} // namespace gentianloom::fault

#endif
