// Reconstructs the history of one request from the logs of the entry hosts.
#ifndef APRICOTYARD_CTL_EXPLAIN_H
#define APRICOTYARD_CTL_EXPLAIN_H

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace apricotyard {

// A parsed log line.
struct LogLine
{
  std::string mTime;
  // Keys and values in the order of the line, with quotes and escapes removed.
  std::vector<std::pair<std::string, std::string>> mFields;

  // The value of the first field with this key, or empty. Valid as long as this object.
  std::string_view Field(std::string_view aKey) const;
};

// Parses a line in the format that log.h writes. Never fails: text without a key is skipped, so
// that a line in another format yields no or meaningless fields.
LogLine
ParseLogLine(std::string_view aLine);

// Returns the log lines of a request sorted by time, each as time, event name and the remaining
// fields without level, program, event number and request. aLines may come from several logs in any
// order.
std::vector<std::string>
ExplainRequest(const std::vector<std::string>& aLines, std::string_view aRequest);

} // namespace apricotyard

#endif
