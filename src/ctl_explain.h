// Prints the path of one request from decision log lines.
#ifndef APRICOTYARD_CTL_EXPLAIN_H
#define APRICOTYARD_CTL_EXPLAIN_H

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace apricotyard {

struct LogLine
{
  std::string mTime;
  // In the order of the line, without quotes and escapes.
  std::vector<std::pair<std::string, std::string>> mFields;

  std::string_view Field(std::string_view aKey) const;
};

// Splits a line of log.h. A line that is not of this format gives no fields.
LogLine
ParseLogLine(std::string_view aLine);

// The lines of the request in order of their time, one per event: time, program, event, the other
// fields. aLines are the lines of any number of logs.
std::vector<std::string>
ExplainRequest(const std::vector<std::string>& aLines, std::string_view aRequest);

} // namespace apricotyard

#endif
