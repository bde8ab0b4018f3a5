add_library(gentianloom-budget-world STATIC ${CMAKE_CURRENT_SOURCE_DIR}/budget/BudgetSimulation.cpp
  ${CMAKE_CURRENT_SOURCE_DIR}/budget/BudgetSimulationFaults.cpp ${CMAKE_CURRENT_SOURCE_DIR}/budget/BudgetSimulationChecks.cpp)
target_include_directories(gentianloom-budget-world PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/budget
  ${CMAKE_CURRENT_SOURCE_DIR}/fault)
target_link_libraries(gentianloom-budget-world PUBLIC gentianloom-standins)
file(GLOB BUDGET_TESTS CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/budget/*Test.cpp)
list(FILTER BUDGET_TESTS EXCLUDE REGEX "ExplorationTest")
gentianloom_test(budget-tests unit 60 ${BUDGET_TESTS})
target_link_libraries(budget-tests gentianloom-budget-world)
gentianloom_test(budget-exploration fault 120 ${CMAKE_CURRENT_SOURCE_DIR}/budget/ExplorationTest.cpp)
target_link_libraries(budget-exploration gentianloom-budget-world)
