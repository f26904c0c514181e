// Guards against forged log lines, and against a logger that blocks its callers or loses lines
// without a report.
#include "log.h"

#include <absl/synchronization/notification.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;

class LogTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(EscapesValues);
  CPPUNIT_TEST(ReportsLostLines);
  CPPUNIT_TEST_SUITE_END();

public:
  void EscapesValues()
  {
    const LogField fields[] = { { "a", "x\nlevel=error" }, { "b", "plain" }, { "c", "" } };
    const std::string line = FormatLogLine("p", Event::ProcessStarted, fields);
    CPPUNIT_ASSERT(line.find('\n') == std::string::npos);
    CPPUNIT_ASSERT(line.ends_with("a=\"x\\x0alevel=error\" b=plain c=\"\""));
  }

  // A sink that does not return simulates a full pipe on standard output.
  void ReportsLostLines()
  {
    absl::Notification release;
    std::vector<std::string> lines;
    SetLogSink([&](std::string_view aLine) {
      release.WaitForNotification();
      lines.emplace_back(aLine);
    });
    StartLogger("test", LogLevel::Info);
    const std::uint64_t before = LostLogLines();
    constexpr int kLines = 20'000;
    for (int i = 0; i < kLines; ++i) {
      LogEvent(Event::ProcessStarted, { { "i", i } });
    }
    const std::uint64_t lost = LostLogLines() - before;
    release.Notify();
    StopLogger();
    SetLogSink(nullptr);
    CPPUNIT_ASSERT(lost > 0);
    const auto isReport = [](const std::string& aLine) {
      return aLine.find("name=LogLinesLost") != std::string::npos;
    };
    const auto reports = std::count_if(lines.begin(), lines.end(), isReport);
    CPPUNIT_ASSERT(reports >= 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ kLines }, lines.size() - reports + lost);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);
