file(GLOB RELAY_TESTS CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/relay/*Test.cpp)
gentianloom_test(relay-tests unit 60 ${RELAY_TESTS})
