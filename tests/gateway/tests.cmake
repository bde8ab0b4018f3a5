file(GLOB GATEWAY_TESTS CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/gateway/*Test.cpp)
gentianloom_test(gateway-tests unit 120 ${GATEWAY_TESTS})
