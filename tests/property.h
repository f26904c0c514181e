// Property tests by RapidCheck; tests/main.cpp fixes the seed.
#ifndef APRICOTYARD_TEST_PROPERTY_H
#define APRICOTYARD_TEST_PROPERTY_H

#include <string>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace apricotyard {

// Fails the running test if aProperty does not hold; RapidCheck prints the smallest counterexample.
template<typename Property>
void
CheckProperty(const std::string& aText, Property&& aProperty)
{
  CPPUNIT_ASSERT_MESSAGE(aText, rc::check(aText, std::forward<Property>(aProperty)));
}

} // namespace apricotyard

#endif
