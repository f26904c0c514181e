// Guards against callers that can use collections or classes that their configuration does not
// allow.
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
  CPPUNIT_TEST(ChecksEveryCase);
  CPPUNIT_TEST(EmptyKeyMatchesCallerWithoutKey);
  CPPUNIT_TEST(DigestMatchesKnownValue);
  CPPUNIT_TEST_SUITE_END();

public:
  void ChecksEveryCase()
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

  void EmptyKeyMatchesCallerWithoutKey()
  {
    Config config = MakeConfig();
    config.mCallers["open"] = { "open", "", { "desk" }, { "check" } };
    CPPUNIT_ASSERT_EQUAL(std::string("open"), IdentifyCaller(config, "").value()->mName);
    CPPUNIT_ASSERT(BearerKey("Bearer k") == "k" && BearerKey("Basic k").empty());
  }

  // SHA-256 (FIPS 180-4) of the empty string.
  void DigestMatchesKnownValue()
  {
    CPPUNIT_ASSERT_EQUAL(
      std::string("e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"),
      Sha256Hex(""));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerAccessTest);
