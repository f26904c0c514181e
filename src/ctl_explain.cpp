#include "ctl_explain.h"

#include <algorithm>

#include <fmt/format.h>

namespace apricotyard {

namespace {

// Reads the value at aOffset, which is quoted or ends at the next space, and advances aOffset past
// it.
std::string
ReadValue(std::string_view aLine, std::size_t& aOffset)
{
  std::string value;
  if (aOffset < aLine.size() && aLine[aOffset] == '"') {
    for (++aOffset; aOffset < aLine.size() && aLine[aOffset] != '"'; ++aOffset) {
      if (aLine[aOffset] == '\\' && aOffset + 1 < aLine.size()) {
        ++aOffset;
      }
      value.push_back(aLine[aOffset]);
    }
    ++aOffset;
    return value;
  }
  const std::size_t end = std::min(aLine.find(' ', aOffset), aLine.size());
  value = aLine.substr(aOffset, end - aOffset);
  aOffset = end;
  return value;
}

} // namespace

std::string_view
LogLine::Field(std::string_view aKey) const
{
  for (const auto& [key, value] : mFields) {
    if (key == aKey) {
      return value;
    }
  }
  return {};
}

LogLine
ParseLogLine(std::string_view aLine)
{
  LogLine line;
  std::size_t offset = 0;
  while (offset < aLine.size()) {
    const std::size_t separator = aLine.find_first_of("= ", offset);
    if (separator == std::string_view::npos) {
      break;
    }
    if (aLine[separator] == ' ') {
      // The first token of a line is the time; it has no key.
      if (line.mFields.empty() && line.mTime.empty()) {
        line.mTime = aLine.substr(offset, separator - offset);
      }
      offset = separator + 1;
      continue;
    }
    std::string key(aLine.substr(offset, separator - offset));
    offset = separator + 1;
    std::string value = ReadValue(aLine, offset);
    line.mFields.emplace_back(std::move(key), std::move(value));
    ++offset;
  }
  return line;
}

std::vector<std::string>
ExplainRequest(const std::vector<std::string>& aLines, std::string_view aRequest)
{
  std::vector<LogLine> matches;
  for (const std::string& text : aLines) {
    if (text.find(aRequest) == std::string::npos) {
      continue;
    }
    LogLine line = ParseLogLine(text);
    if (line.Field("request") == aRequest) {
      matches.push_back(std::move(line));
    }
  }
  std::stable_sort(matches.begin(), matches.end(), [](const LogLine& aLeft, const LogLine& aRight) {
    return aLeft.mTime < aRight.mTime;
  });
  std::vector<std::string> history;
  for (const LogLine& line : matches) {
    std::string text = fmt::format("{}  {:<18}", line.mTime, line.Field("name"));
    for (const auto& [key, value] : line.mFields) {
      if (key != "level" && key != "program" && key != "event" && key != "name" &&
          key != "request") {
        text += fmt::format(" {}={}", key, value);
      }
    }
    history.push_back(std::move(text));
  }
  return history;
}

} // namespace apricotyard
