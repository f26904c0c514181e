// Checks which sizes of requests the routing document allows.
#include "caller_limits.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;

namespace {

CallerLimits
Limits(std::size_t aMaxHeader, std::size_t aMaxBody)
{
  CallerLimits limits;
  limits.mMaxHeader = aMaxHeader;
  limits.mMaxBody = aMaxBody;
  return limits;
}

HttpRequest
RequestOf(std::size_t aHeadBytes, std::size_t aHeaders)
{
  HttpRequest request;
  request.mHeadBytes = aHeadBytes;
  request.mRawHeaders.resize(aHeaders);
  return request;
}

} // namespace

class CallerLimitsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CallerLimitsTest);
  CPPUNIT_TEST(AppliesLimitsOfTheDocument);
  CPPUNIT_TEST(UsesDefaultsAndUpperBounds);
  CPPUNIT_TEST(RequestMayGrowWhenItIsPassedOn);
  CPPUNIT_TEST_SUITE_END();

public:
  void AppliesLimitsOfTheDocument()
  {
    const CallerLimits limits = Limits(16384, 262144);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 16384 }, LimitsForCallers(limits).mMaxHeadBytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 262144 }, LimitsForCallers(limits).mMaxBodyBytes);
    CPPUNIT_ASSERT(IsWithinLimits(RequestOf(16384, 10), limits, false));
    CPPUNIT_ASSERT(!IsWithinLimits(RequestOf(16385, 10), limits, false));
  }

  void UsesDefaultsAndUpperBounds()
  {
    const HttpLimits defaults;
    const HttpLimits absent = LimitsForCallers({});
    CPPUNIT_ASSERT_EQUAL(defaults.mMaxHeadBytes, absent.mMaxHeadBytes);
    CPPUNIT_ASSERT_EQUAL(defaults.mMaxBodyBytes, absent.mMaxBodyBytes);
    const HttpLimits largest = LimitsForCallers(Limits(SIZE_MAX, SIZE_MAX));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 256 } * 1024, largest.mMaxHeadBytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 16 } * 1024 * 1024, largest.mMaxBodyBytes);
  }

  // A gateway writes a blank after each colon and adds headers of its own. The gateway that gets
  // the request must not reject it for that.
  void RequestMayGrowWhenItIsPassedOn()
  {
    constexpr std::size_t kMaxHeader = 16384;
    constexpr std::size_t kMostHeaders = kMaxHeader / 4;
    constexpr std::size_t kAdded = 200;
    const CallerLimits limits = Limits(kMaxHeader, 1000);
    const HttpRequest grown = RequestOf(kMaxHeader + kMostHeaders + kAdded, kMostHeaders);
    CPPUNIT_ASSERT(IsWithinLimits(grown, limits, true));
    CPPUNIT_ASSERT(!IsWithinLimits(grown, limits, false));
    CPPUNIT_ASSERT(grown.mHeadBytes <= LimitsForConnections(limits).mMaxHeadBytes);
    CPPUNIT_ASSERT(!IsWithinLimits(RequestOf(kMaxHeader + 1000, 10), limits, true));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerLimitsTest);
