# Each file is built as its own test program, so that a program runs one fleet at a time.
file(GLOB PROCESS_TESTS CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/process/*Test.cpp)
foreach(SOURCE ${PROCESS_TESTS})
  get_filename_component(NAME ${SOURCE} NAME_WE)
  gentianloom_test(process-${NAME} process 240 ${SOURCE})
endforeach()

# Runs the first command of the README as a user does, on the existing build.
add_test(NAME process-main-job COMMAND ${CMAKE_SOURCE_DIR}/scripts/try)
set_tests_properties(process-main-job PROPERTIES LABELS process TIMEOUT 120
  ENVIRONMENT "GENTIANLOOM_BUILT=1")
