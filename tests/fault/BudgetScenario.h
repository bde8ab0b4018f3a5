#ifndef GENTIANLOOM_TESTS_FAULT_BUDGET_SCENARIO_H
#define GENTIANLOOM_TESTS_FAULT_BUDGET_SCENARIO_H

#include "Scenario.h"

namespace gentianloom::fault {

/// @brief Makes the scenario of grants, transfers and bills. It runs a BudgetSimulation.
ScenarioPtr MakeBudgetScenario();

} // namespace gentianloom::fault

#endif
