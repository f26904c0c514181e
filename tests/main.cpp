// Runs all registered tests, or those whose name contains the first argument. With the arguments
// "--mixed-builds PROGRAM", runs those that need the test program of another build. The failure of
// a test listed in KNOWN-RED.txt ("test: CLASS::NAME") is printed, but does not fail the run.
#include "coordinator_process.h"
#include "gateway_process.h"
#include "mixed_builds.h"
#include "replica_process.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>
#include <string>

#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

namespace {

void
AddMatchingTests(CppUnit::Test* aTest, const std::string& aFilter, CppUnit::TestSuite& aOut)
{
  if (aTest->getChildTestCount() == 0) {
    if (aTest->getName().find(aFilter) != std::string::npos) {
      aOut.addTest(aTest);
    }
    return;
  }
  for (int i = 0; i < aTest->getChildTestCount(); ++i) {
    AddMatchingTests(aTest->getChildTestAt(i), aFilter, aOut);
  }
}

std::set<std::string>
ReadKnownFailures()
{
  const std::string prefix = "test: ";
  std::set<std::string> names;
  std::ifstream file(SOURCE_FOLDER "/KNOWN-RED.txt");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(prefix)) {
      names.insert(line.substr(prefix.size()));
    }
  }
  return names;
}

// Returns the number of failed tests that KNOWN-RED.txt does not list.
int
CountNewFailures(const CppUnit::TestResultCollector& aCollector)
{
  const std::set<std::string> known = ReadKnownFailures();
  int failed = 0;
  for (const CppUnit::TestFailure* const failure : aCollector.failures()) {
    if (known.contains(failure->failedTestName())) {
      std::cout << "known red, see KNOWN-RED.txt: " << failure->failedTestName() << std::endl;
    } else {
      ++failed;
    }
  }
  return failed;
}

} // namespace

int
main(int argc, char** argv)
{
  const std::string first = argc > 1 ? argv[1] : "";
  if (first == apricotyard::kRunCoordinatorArgument) {
    return apricotyard::RunCoordinatorProcess(argc, argv);
  }
  if (first == apricotyard::kRunGatewayArgument) {
    return apricotyard::RunGatewayProcess(argc, argv);
  }
  if (first == apricotyard::kRunReplicaArgument) {
    return apricotyard::RunReplicaProcess(argc, argv);
  }
  // RapidCheck reads the variable at its first check. A value that is already set is kept, so that
  // a failure can be reproduced with its seed.
  setenv("RC_PARAMS", "seed=20261204 max_success=500", 0);
  const bool mixedBuilds = first == apricotyard::kMixedBuildsArgument && argc > 2;
  if (mixedBuilds) {
    apricotyard::SetPreviousProgram(argv[2]);
  }
  CppUnit::Test* const all = CppUnit::TestFactoryRegistry::getRegistry(
                               mixedBuilds ? apricotyard::kMixedBuildsSuite : "All Tests")
                               .makeTest();
  CppUnit::TestSuite selected("selected");
  AddMatchingTests(all, mixedBuilds ? "" : first, selected);
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  controller.addListener(&collector);
  selected.run(&controller);
  CppUnit::CompilerOutputter(&collector, std::cerr).printFailuresList();
  const int failed = CountNewFailures(collector);
  std::cout << collector.runTests() - collector.testFailuresTotal() << " passed, " << failed
            << " failed" << std::endl;
  // Exits without running destructors, so that tests that belong to two suites are not destroyed
  // twice.
  std::_Exit(collector.runTests() > 0 && failed == 0 ? 0 : 1);
}
