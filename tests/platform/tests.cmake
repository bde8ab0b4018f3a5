file(GLOB PLATFORM_TESTS CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/platform/*Test.cpp)
gentianloom_test(platform-tests unit 60 ${PLATFORM_TESTS})
target_link_libraries(platform-tests gentianloom-platform)

# Runs the gateway program against a stand-in of the platform, as separate processes on loopback.
add_test(NAME process-gateway
  COMMAND python3 ${CMAKE_CURRENT_SOURCE_DIR}/platform/gateway_test.py)
set_tests_properties(process-gateway PROPERTIES LABELS process TIMEOUT 240
  ENVIRONMENT "GENTIANLOOM_BUILD=${CMAKE_BINARY_DIR}")
