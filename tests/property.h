// Property tests by RapidCheck with a fixed seed.
#ifndef APRICOTYARD_TEST_PROPERTY_H
#define APRICOTYARD_TEST_PROPERTY_H

#include <cstdlib>
#include <string>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace apricotyard {

// Fails the running test if aProperty does not hold; RapidCheck prints the smallest counterexample.
template<typename Property>
void
CheckProperty(const std::string& aText, Property&& aProperty)
{
  // Read by RapidCheck at its first check; a value from outside reproduces a failure.
  setenv("RC_PARAMS", "seed=20261204 max_success=500", 0);
  CPPUNIT_ASSERT_MESSAGE(aText, rc::check(aText, std::forward<Property>(aProperty)));
}

} // namespace apricotyard

#endif
