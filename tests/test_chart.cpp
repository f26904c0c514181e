// Checks that invalid state charts are rejected when they are loaded, not at run time.
#include "chart.h"

#include <filesystem>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;

namespace {

constexpr const char* kChartHeader = "name = 'c'\nstates = ['a', 'b']\nevents = ['go', 'stop']\n"
                                     "initial = 'a'\nfinal = ['b']\n";

struct BadChart
{
  const char* mBody;
  const char* mExpected;
};

constexpr BadChart kBadCharts[] = {
  { "[state.a]\ngo = 'c'\nstop = 'b'\n", "c.toml:7: unknown state 'c'" },
  { "[state.a]\ngo = 'b'\nstop = 'b'\njump = 'b'\n", "c.toml:9: unknown event 'jump'" },
  { "[state.a]\ngo = 'b'\n", "state 'a' has no transition for event 'stop'" },
  { "[state.a]\nignore = ['go', 'stop']\n", "state 'b' cannot be reached" },
  { "[state.a]\ngo = 'b'\nignore = ['go', 'stop']\n", "event 'go' is given twice in state 'a'" },
  { "[state.z]\n", "unknown state 'z'" },
  { "", "has no [state.NAME] tables" },
  { "[state.a", "syntax error" },
};

} // namespace

class ChartTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ChartTest);
  CPPUNIT_TEST(CompilesAndSteps);
  CPPUNIT_TEST(ReportsErrorsWithLines);
  CPPUNIT_TEST(ShippedChartsAreValid);
  CPPUNIT_TEST_SUITE_END();

public:
  void CompilesAndSteps()
  {
    const auto chart =
      ParseChart("c.toml", std::string(kChartHeader) + "[state.a]\ngo = 'b'\nforbid = ['stop']\n");
    CPPUNIT_ASSERT(chart.has_value());
    CPPUNIT_ASSERT_EQUAL(ChartState{ 1 }, Step(*chart, 0, *FindEvent(*chart, "go")));
    CPPUNIT_ASSERT_EQUAL(kNoTransition, Step(*chart, 0, *FindEvent(*chart, "stop")));
    CPPUNIT_ASSERT_EQUAL(kNoTransition, Step(*chart, 1, 0));
    CPPUNIT_ASSERT(CheckChartNames(*chart, { "a", "b" }, { "go", "stop" }).has_value());
    CPPUNIT_ASSERT(!CheckChartNames(*chart, { "b", "a" }, { "go", "stop" }).has_value());
  }

  void ReportsErrorsWithLines()
  {
    for (const BadChart& testCase : kBadCharts) {
      const auto chart = ParseChart("c.toml", std::string(kChartHeader) + testCase.mBody);
      CPPUNIT_ASSERT_MESSAGE(testCase.mExpected, !chart.has_value());
      CPPUNIT_ASSERT_MESSAGE(chart.error().mMessage + " lacks: " + testCase.mExpected,
                             chart.error().mMessage.find(testCase.mExpected) != std::string::npos);
    }
  }

  void ShippedChartsAreValid()
  {
    int count = 0;
    for (const auto& entry : std::filesystem::directory_iterator(SOURCE_FOLDER "/charts")) {
      const auto chart = LoadChart(entry.path().string());
      CPPUNIT_ASSERT_MESSAGE(chart ? "" : chart.error().mMessage, chart.has_value());
      ++count;
    }
    CPPUNIT_ASSERT(count > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChartTest);
