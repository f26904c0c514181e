// Asynchronous logger. Each event becomes one line of key=value fields on standard output. A
// bounded buffer separates the callers from the writer thread.
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

// Starts the writer thread. Must be called before other threads log; events logged while the logger
// is not running are dropped. aProgram is printed in each line.
void
StartLogger(std::string aProgram, LogLevel aLevel);

// Writes the buffered lines and joins the writer thread.
void
StopLogger();

// Sets the lowest level that is written. Thread-safe.
void
SetLogLevel(LogLevel aLevel);

// Returns true if events of aLevel are written. Lets the request path skip formatting. Thread-safe.
bool
LogEnabled(LogLevel aLevel);

// Queues one line. Never waits for output: if the buffer is full, the line is counted as lost and
// the loss is reported by a LogLinesLost event. Thread-safe.
void
LogEvent(Event aEvent, std::span<const LogField> aFields);

inline void
LogEvent(Event aEvent, std::initializer_list<LogField> aFields)
{
  LogEvent(aEvent, std::span<const LogField>(aFields.begin(), aFields.size()));
}

// Returns the number of lines lost since the process started. Thread-safe.
std::uint64_t
LostLogLines();

// Formats one line without the timestamp. Values that are empty or contain a space, a quote, a
// backslash, an equals sign or a control character are quoted and escaped, so that untrusted input
// cannot forge a line or a field. Thread-safe.
std::string
FormatLogLine(std::string_view aProgram, Event aEvent, std::span<const LogField> aFields);

// Writes lines to aSink instead of standard output, for tests; an empty aSink restores standard
// output. Precondition: the logger is not running.
void
SetLogSink(std::function<void(std::string_view)> aSink);

} // namespace apricotyard

#endif
