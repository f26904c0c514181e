// Checks that every error in the settings is reported, and that one error does not hide others.
#include "cmdline.h"
#include "config.h"
#include "entry_settings.h"
#include "gateway.h"
#include "settings.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;

namespace {

std::vector<SettingsProblem>
CheckEntry(std::string_view aText)
{
  SettingsReader reader("entry.toml", aText);
  EntrySettings settings;
  ReadEntrySettings(reader, settings);
  return reader.Finish();
}

} // namespace

class SettingsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(AcceptsValidSettings);
  CPPUNIT_TEST(ReportsAllErrors);
  CPPUNIT_TEST(ReportsSyntaxError);
  CPPUNIT_TEST(ParsesDurations);
  CPPUNIT_TEST(RefusesHostNamesAsAddresses);
  CPPUNIT_TEST(EffectiveSettingsAreValid);
  CPPUNIT_TEST(ConfigReportsDanglingReferences);
  CPPUNIT_TEST(ExamplesAreValid);
  CPPUNIT_TEST(ReadsPriceOfTraffic);
  CPPUNIT_TEST_SUITE_END();

public:
  void AcceptsValidSettings()
  {
    const auto problems =
      CheckEntry("host = 'e1'\ndata_centre = 'bolu'\n"
                 "address = '127.0.0.1:7200'\npeer_address = "
                 "'127.0.0.1:7201'\ncontrol = ['127.0.1.1:7101']\ntls.plaintext = true\n");
    CPPUNIT_ASSERT(problems.empty());
  }

  // A price that is not read would let requests leave as if it cost nothing.
  void ReadsPriceOfTraffic()
  {
    const std::string common = "host = '127.0.0.1'\ndata_centre = 'bolu'\n"
                               "caller_address = '127.0.0.1:80'\n"
                               "ready_address = '127.0.0.1:81'\n"
                               "rpc_port = 7000\nseeds = ['127.0.0.2:7000']\n"
                               "tls.plaintext = true\n";
    for (const auto& [text, price, valid] :
         std::vector<std::tuple<std::string, double, bool>>{ { "", 0, true },
                                                             { "price_per_gb = 0.02", 0.02, true },
                                                             { "price_per_gb = 3", 3, true },
                                                             { "price_per_gb = -1", 0, false } }) {
      SettingsReader reader("gateway.toml", common + "[locality]\n" + text);
      GatewaySettings settings;
      ReadGatewaySettings(reader, settings);
      const std::vector<SettingsProblem> problems = reader.Finish();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        problems.empty() ? "" : problems[0].mKey, valid, problems.empty());
      CPPUNIT_ASSERT_DOUBLES_EQUAL(price, valid ? settings.mPricePerGb : 0, 1e-9);
    }
  }

  void ReportsAllErrors()
  {
    // An unknown key, a wrong type, a value out of range, an invalid address and a missing key.
    const auto problems =
      CheckEntry("host = 7\naddress = 'localhost:1'\nmax_connections = 1\n"
                 "peer_address = '127.0.0.1:7201'\n"
                 "control = ['127.0.1.1:7101']\ntls.plaintext = true\ncolour = 'red'\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 5 }, problems.size());
    CPPUNIT_ASSERT_EQUAL(std::string("data_centre"), problems[0].mKey);
    CPPUNIT_ASSERT_EQUAL(std::string("host"), problems[1].mKey);
    CPPUNIT_ASSERT_EQUAL(1U, problems[1].mLine);
    CPPUNIT_ASSERT_EQUAL(std::string("address"), problems[2].mKey);
    CPPUNIT_ASSERT_EQUAL(std::string("max_connections"), problems[3].mKey);
    CPPUNIT_ASSERT(problems[3].mMessage.find("from 10 to 20000") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::string("colour"), problems[4].mKey);
    CPPUNIT_ASSERT_EQUAL(7U, problems[4].mLine);
  }

  void ReportsSyntaxError()
  {
    const auto problems = CheckEntry("host = \n");
    CPPUNIT_ASSERT(!problems.empty());
    CPPUNIT_ASSERT(FormatProblem(problems.back()).starts_with("entry.toml:1: syntax error"));
  }

  void ParsesDurations()
  {
    CPPUNIT_ASSERT(ParseDuration("250ms").value() == std::chrono::milliseconds(250));
    CPPUNIT_ASSERT(ParseDuration("2m").value() == std::chrono::minutes(2));
    for (const char* const text : { "", "5", "-1s", "1.5s", "9999999999999h", "3 s" }) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseDuration(text).has_value());
    }
  }

  void RefusesHostNamesAsAddresses()
  {
    CPPUNIT_ASSERT(ParseSocketAddress("[::1]:80").value().mIp == "::1");
    for (const char* const text : { "localhost:80", "127.0.0.1", "127.0.0.1:0", "1.2.3.4:70000" }) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseSocketAddress(text).has_value());
    }
  }

  void EffectiveSettingsAreValid()
  {
    SettingsReader reader("a",
                          "host = 'e1'\ndata_centre = 'bolu'\naddress = '127.0.0.1:7200'\n"
                          "peer_address = '127.0.0.1:7201'\n"
                          "control = ['127.0.1.1:7101']\ntls.plaintext = true\n");
    EntrySettings settings;
    ReadEntrySettings(reader, settings);
    CPPUNIT_ASSERT(CheckEntry(reader.Effective()).empty());
  }

  void ConfigReportsDanglingReferences()
  {
    const ConfigResult result = ParseConfig("c",
                                            "[collection.desk]\nservices = ['a', 'a']\n"
                                            "default_class = 'nope'\n[caller.x]\n"
                                            "collections = ['gone']\nclasses = []\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, result.mProblems.size());
  }

  // New users copy the examples, so they must pass the current validation.
  void ExamplesAreValid()
  {
    for (const char* const name : { "quickstart", "kestane", "kaarnapuu" }) {
      const auto text =
        ReadFile(std::string(SOURCE_FOLDER "/examples/") + name + ".toml", std::size_t{ 1 } << 20U);
      CPPUNIT_ASSERT(text.has_value());
      const ConfigResult result = ParseConfig(name, *text);
      CPPUNIT_ASSERT_MESSAGE(result.mProblems.empty() ? "" : FormatProblem(result.mProblems[0]),
                             result.mProblems.empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);
