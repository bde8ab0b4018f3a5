file(GLOB PLATFORM_TESTS CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/platform/*Test.cpp)
gentianloom_test(platform-tests unit 60 ${PLATFORM_TESTS})
target_link_libraries(platform-tests gentianloom-platform)

# Run the gateway program against a stand-in of the platform, as separate processes on loopback.
# Further arguments select classes of the script; without any, all of its tests run.
function(gentianloom_gateway_test NAME SCRIPT)
  add_test(NAME ${NAME} COMMAND python3 ${CMAKE_CURRENT_SOURCE_DIR}/platform/${SCRIPT} ${ARGN})
  set_tests_properties(${NAME} PROPERTIES LABELS process TIMEOUT 240
    ENVIRONMENT "GENTIANLOOM_BUILD=${CMAKE_BINARY_DIR}")
endfunction()

gentianloom_gateway_test(process-gateway gateway_test.py)
gentianloom_gateway_test(process-retry-budget retry_budget_test.py)
gentianloom_gateway_test(process-endless-response endless_response_test.py)
gentianloom_gateway_test(process-interrupted-response interrupted_response_test.py)
gentianloom_gateway_test(process-misdirected-response misdirected_response_test.py)
gentianloom_gateway_test(process-stream-version stream_version_test.py)
gentianloom_gateway_test(process-store-era store_era_test.py)
gentianloom_gateway_test(process-fleet-budget fleet_budget_test.py FleetBudgetTest)
gentianloom_gateway_test(process-fleet-budget-limits fleet_budget_test.py FleetBudgetLimitTest)
gentianloom_gateway_test(process-crashing-request crashing_request_test.py)
gentianloom_gateway_test(process-crashing-part crashing_part_test.py)
gentianloom_gateway_test(process-leaving-endpoint leaving_endpoint_test.py)
gentianloom_gateway_test(process-retry-after retry_after_test.py)
gentianloom_gateway_test(process-rate-limit rate_limit_test.py)
gentianloom_gateway_test(process-instance-without-endpoints instance_without_endpoints_test.py)
gentianloom_gateway_test(process-brittle-endpoint brittle_endpoint_test.py)
gentianloom_gateway_test(process-odd-entry odd_entry_test.py)
