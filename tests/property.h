// Property-based tests with RapidCheck. tests/main.cpp sets the default seed.
#ifndef APRICOTYARD_TEST_PROPERTY_H
#define APRICOTYARD_TEST_PROPERTY_H

#include <string>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace apricotyard {

// Fails the running test if aProperty does not hold; RapidCheck prints the smallest counterexample.
template<typename Property>
void
CheckProperty(const std::string& aDescription, Property&& aProperty)
{
  CPPUNIT_ASSERT_MESSAGE(aDescription, rc::check(aDescription, std::forward<Property>(aProperty)));
}

} // namespace apricotyard

#endif
