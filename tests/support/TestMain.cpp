#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <string>

/**
 * Runs all registered tests, or the test or suite that the first argument names.
 * @return 0 if at least one test ran and all passed, otherwise 1
 */
int main(int argc, char** argv)
{
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  controller.addListener(&collector);
  controller.addListener(&progress);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(controller, argc > 1 ? std::string(argv[1]) : std::string());
  CppUnit::CompilerOutputter outputter(&collector, std::cerr);
  outputter.write();
  if (collector.runTests() == 0) {
    std::cerr << "no test ran\n";
    return 1;
  }
  return collector.wasSuccessful() ? 0 : 1;
}
