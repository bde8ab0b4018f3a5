file(GLOB EXTERNAL_TESTS CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/external/*Test.cpp)
gentianloom_test(external-tests unit 60 ${EXTERNAL_TESTS})
