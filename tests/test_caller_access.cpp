// Guards against callers that reach collections or classes that the configuration does not give
// them.
#include "caller_access.h"
#include "digest.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;

namespace {

struct AccessCase
{
  const char* mKey;
  const char* mCollection;
  const char* mClass;
  Result mExpected;
};

constexpr AccessCase kCases[] = {
  { "secret", "desk", "", Result::Ok },
  { "secret", "desk", "check", Result::Ok },
  { "secret", "desk", "list", Result::Forbidden },
  { "secret", "dues", "", Result::Forbidden },
  { "secret", "nowhere", "", Result::Ok },
  { "wrong", "desk", "", Result::Unauthorized },
  { "", "desk", "", Result::Unauthorized },
};

Config
MakeConfig()
{
  Config config;
  config.mClasses["check"].mName = "check";
  config.mClasses["list"].mName = "list";
  config.mCollections["desk"] = { "desk", { "a" }, "check" };
  config.mCollections["dues"] = { "dues", { "b" }, "check" };
  config.mCallers["x"] = { "x", Sha256Hex("secret"), { "desk" }, { "check" } };
  return config;
}

} // namespace

class CallerAccessTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CallerAccessTest);
  CPPUNIT_TEST(FollowsTheTable);
  CPPUNIT_TEST(EmptyKeyMatchesOpenCaller);
  CPPUNIT_TEST(KnownDigest);
  CPPUNIT_TEST_SUITE_END();

public:
  void FollowsTheTable()
  {
    const Config config = MakeConfig();
    for (const AccessCase& row : kCases) {
      const auto caller = IdentifyCaller(config, row.mKey);
      const auto access = caller.and_then([&](const CallerPolicy* aCaller) {
        return CheckAccess(config, *aCaller, row.mCollection, row.mClass);
      });
      const Result result = access ? Result::Ok : access.error().mResult;
      CPPUNIT_ASSERT_MESSAGE(std::string(row.mKey) + " " + row.mCollection + " " + row.mClass,
                             result == row.mExpected);
    }
  }

  void EmptyKeyMatchesOpenCaller()
  {
    Config config = MakeConfig();
    config.mCallers["open"] = { "open", "", { "desk" }, { "check" } };
    CPPUNIT_ASSERT_EQUAL(std::string("open"), IdentifyCaller(config, "").value()->mName);
    CPPUNIT_ASSERT(BearerKey("Bearer k") == "k" && BearerKey("Basic k").empty());
  }

  // The digest of the empty text is published with the algorithm (FIPS 180-4).
  void KnownDigest()
  {
    CPPUNIT_ASSERT_EQUAL(
      std::string("e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"),
      Sha256Hex(""));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerAccessTest);
