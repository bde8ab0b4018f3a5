file(GLOB NET_TESTS CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/net/*Test.cpp)
gentianloom_test(net-tests unit 60 ${NET_TESTS})
