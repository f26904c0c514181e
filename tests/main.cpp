// Runs every registered test, or those whose name contains the first argument.
#include <iostream>
#include <string>

#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

namespace {

void
AddMatching(CppUnit::Test* aTest, const std::string& aFilter, CppUnit::TestSuite& aOut)
{
  if (aTest->getChildTestCount() == 0) {
    if (aTest->getName().find(aFilter) != std::string::npos) {
      aOut.addTest(aTest);
    }
    return;
  }
  for (int i = 0; i < aTest->getChildTestCount(); ++i) {
    AddMatching(aTest->getChildTestAt(i), aFilter, aOut);
  }
}

} // namespace

int
main(int argc, char** argv)
{
  CppUnit::Test* const all = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
  CppUnit::TestSuite selected("selected");
  AddMatching(all, argc > 1 ? argv[1] : "", selected);
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  controller.addListener(&collector);
  selected.run(&controller);
  CppUnit::CompilerOutputter(&collector, std::cerr).printFailuresList();
  const int failed = collector.testFailuresTotal();
  std::cout << collector.runTests() - failed << " passed, " << failed << " failed" << std::endl;
  // The process ends here; the registry's suites are not destroyed twice.
  std::_Exit(collector.runTests() > 0 && failed == 0 ? 0 : 1);
}
