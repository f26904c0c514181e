#include "log.h"

#include <atomic>
#include <cstdio>
#include <ctime>
#include <deque>
#include <thread>

#include <absl/synchronization/mutex.h>
#include <fmt/chrono.h>

namespace apricotyard {

namespace {

// Limit of the buffer between callers and writer thread: about 1.6 MB at 200 bytes per line.
constexpr std::size_t kMaxBufferedLines = 8192;

struct Logger
{
  absl::Mutex mMutex;
  std::deque<std::string> mLines;
  bool mRunning = false;
  bool mStopping = false;
  std::string mProgram = "apricotyard";
  std::function<void(std::string_view)> mSink;
  std::thread mWriter;
  std::atomic<LogLevel> mLevel{ LogLevel::Info };
  std::atomic<std::uint64_t> mLost{ 0 };
};

Logger&
GlobalLogger()
{
  static Logger* sLogger = new Logger;
  return *sLogger;
}

std::string_view
LevelName(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      return "error";
  }
  return "error";
}

bool
NeedsQuotes(std::string_view aValue)
{
  if (aValue.empty()) {
    return true;
  }
  for (const char c : aValue) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte <= ' ' || byte == '"' || byte == '\\' || byte == '=' || byte == 0x7f) {
      return true;
    }
  }
  return false;
}

void
AppendValue(std::string& aOut, std::string_view aValue)
{
  if (!NeedsQuotes(aValue)) {
    aOut.append(aValue);
    return;
  }
  aOut.push_back('"');
  for (const char c : aValue) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      aOut.push_back('\\');
      aOut.push_back(c);
    } else if (byte < ' ' || byte == 0x7f) {
      fmt::format_to(std::back_inserter(aOut), "\\x{:02x}", byte);
    } else {
      aOut.push_back(c);
    }
  }
  aOut.push_back('"');
}

std::string
TimePrefix()
{
  const auto now = std::chrono::system_clock::now();
  const auto millis =
    std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
  return fmt::format(
    "{:%Y-%m-%dT%H:%M:%S}.{:03}Z ", fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis);
}

void
WriteLines(const std::deque<std::string>& aLines,
           const std::function<void(std::string_view)>& aSink)
{
  for (const std::string& line : aLines) {
    if (aSink) {
      aSink(line);
    } else {
      // Write errors are ignored: if the reader of standard output is gone, the process runs on
      // without a log.
      std::fwrite(line.data(), 1, line.size(), stdout);
      std::fputc('\n', stdout);
    }
  }
  if (!aSink) {
    std::fflush(stdout);
  }
}

void
RunWriter()
{
  Logger& logger = GlobalLogger();
  std::uint64_t reportedLost = 0;
  for (;;) {
    std::deque<std::string> lines;
    bool stopping = false;
    {
      absl::MutexLock lock(&logger.mMutex);
      const auto ready = [&logger] { return !logger.mLines.empty() || logger.mStopping; };
      logger.mMutex.Await(absl::Condition(&ready));
      lines.swap(logger.mLines);
      stopping = logger.mStopping;
    }
    WriteLines(lines, logger.mSink);
    const std::uint64_t lost = logger.mLost.load();
    if (lost != reportedLost) {
      const LogField fields[] = { { "lines", lost - reportedLost } };
      const std::string report =
        TimePrefix() + FormatLogLine(logger.mProgram, Event::LogLinesLost, fields);
      WriteLines({ report }, logger.mSink);
      reportedLost = lost;
    }
    if (stopping && lines.empty()) {
      return;
    }
  }
}

} // namespace

void
StartLogger(std::string aProgram, LogLevel aLevel)
{
  Logger& logger = GlobalLogger();
  absl::MutexLock lock(&logger.mMutex);
  if (logger.mRunning) {
    return;
  }
  logger.mProgram = std::move(aProgram);
  logger.mLevel = aLevel;
  logger.mRunning = true;
  logger.mStopping = false;
  logger.mWriter = std::thread(RunWriter);
}

void
StopLogger()
{
  Logger& logger = GlobalLogger();
  {
    absl::MutexLock lock(&logger.mMutex);
    if (!logger.mRunning) {
      return;
    }
    logger.mStopping = true;
  }
  logger.mWriter.join();
  absl::MutexLock lock(&logger.mMutex);
  logger.mRunning = false;
}

void
SetLogLevel(LogLevel aLevel)
{
  GlobalLogger().mLevel = aLevel;
}

bool
LogEnabled(LogLevel aLevel)
{
  return aLevel >= GlobalLogger().mLevel.load(std::memory_order_relaxed);
}

void
LogEvent(Event aEvent, std::span<const LogField> aFields)
{
  Logger& logger = GlobalLogger();
  if (!LogEnabled(Describe(aEvent).mLevel)) {
    return;
  }
  std::string line = TimePrefix() + FormatLogLine(logger.mProgram, aEvent, aFields);
  absl::MutexLock lock(&logger.mMutex);
  if (!logger.mRunning) {
    return;
  }
  if (logger.mLines.size() >= kMaxBufferedLines) {
    logger.mLost.fetch_add(1);
    return;
  }
  logger.mLines.push_back(std::move(line));
}

std::uint64_t
LostLogLines()
{
  return GlobalLogger().mLost.load();
}

std::string
FormatLogLine(std::string_view aProgram, Event aEvent, std::span<const LogField> aFields)
{
  const EventInfo& info = Describe(aEvent);
  std::string line = fmt::format("level={} program={} event={} name={}",
                                 LevelName(info.mLevel),
                                 aProgram,
                                 info.mNumber,
                                 info.mName);
  for (const LogField& field : aFields) {
    line.push_back(' ');
    line.append(field.mKey);
    line.push_back('=');
    AppendValue(line, field.mValue);
  }
  return line;
}

void
SetLogSink(std::function<void(std::string_view)> aSink)
{
  GlobalLogger().mSink = std::move(aSink);
}

} // namespace apricotyard
