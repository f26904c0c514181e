// Asynchronous logger: one line per event on standard output, key=value, through a bounded buffer.
#ifndef APRICOTYARD_LOG_H
#define APRICOTYARD_LOG_H

#include "events.h"

#include <functional>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

#include <fmt/format.h>

namespace apricotyard {

struct LogField
{
  std::string_view mKey;
  std::string mValue;

  // Formats aValue with fmt's default format.
  template<typename T>
  LogField(std::string_view aKey, const T& aValue)
    : mKey(aKey)
    , mValue(fmt::format("{}", aValue))
  {
  }
};

// Starts the writer thread. Call once, before other threads log. aProgram is printed in each line.
void
StartLogger(std::string aProgram, LogLevel aLevel);

// Writes what is buffered and ends the writer thread.
void
StopLogger();

// Changes the lowest level that is written. Thread-safe.
void
SetLogLevel(LogLevel aLevel);

// True if events of aLevel are written. Thread-safe. Lets the request path skip formatting.
bool
LogEnabled(LogLevel aLevel);

// Queues one line. Never blocks on output: if the buffer is full the line is counted as lost and
// the loss is reported by LogLinesLost. Thread-safe.
void
LogEvent(Event aEvent, std::span<const LogField> aFields);

inline void
LogEvent(Event aEvent, std::initializer_list<LogField> aFields)
{
  LogEvent(aEvent, std::span<const LogField>(aFields.begin(), aFields.size()));
}

// The number of lines lost since the start. Thread-safe.
std::uint64_t
LostLogLines();

// Formats one line without the time. Values that contain a space, a quote or a control character
// are quoted and escaped, so that input from outside cannot forge a line. Thread-safe.
std::string
FormatLogLine(std::string_view aProgram, Event aEvent, std::span<const LogField> aFields);

// Replaces standard output by aSink, for tests. Precondition: the logger is not running.
void
SetLogSink(std::function<void(std::string_view)> aSink);

} // namespace apricotyard

#endif
