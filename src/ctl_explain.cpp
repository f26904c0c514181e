#include "ctl_explain.h"

#include <algorithm>

#include <fmt/format.h>

namespace apricotyard {

namespace {

// Reads a value at aAt, quoted or up to the next space, and moves aAt behind it.
std::string
ReadValue(std::string_view aLine, std::size_t& aAt)
{
  std::string value;
  if (aAt < aLine.size() && aLine[aAt] == '"') {
    for (++aAt; aAt < aLine.size() && aLine[aAt] != '"'; ++aAt) {
      if (aLine[aAt] == '\\' && aAt + 1 < aLine.size()) {
        ++aAt;
      }
      value.push_back(aLine[aAt]);
    }
    ++aAt;
    return value;
  }
  const std::size_t end = std::min(aLine.find(' ', aAt), aLine.size());
  value = aLine.substr(aAt, end - aAt);
  aAt = end;
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
  std::size_t at = 0;
  while (at < aLine.size()) {
    const std::size_t equals = aLine.find_first_of("= ", at);
    if (equals == std::string_view::npos) {
      break;
    }
    if (aLine[equals] == ' ') {
      // The time has no key.
      if (line.mFields.empty() && line.mTime.empty()) {
        line.mTime = aLine.substr(at, equals - at);
      }
      at = equals + 1;
      continue;
    }
    std::string key(aLine.substr(at, equals - at));
    at = equals + 1;
    std::string value = ReadValue(aLine, at);
    line.mFields.emplace_back(std::move(key), std::move(value));
    ++at;
  }
  return line;
}

std::vector<std::string>
ExplainRequest(const std::vector<std::string>& aLines, std::string_view aRequest)
{
  std::vector<LogLine> found;
  for (const std::string& text : aLines) {
    if (text.find(aRequest) == std::string::npos) {
      continue;
    }
    LogLine line = ParseLogLine(text);
    if (line.Field("request") == aRequest) {
      found.push_back(std::move(line));
    }
  }
  std::stable_sort(found.begin(), found.end(), [](const LogLine& aOne, const LogLine& aTwo) {
    return aOne.mTime < aTwo.mTime;
  });
  std::vector<std::string> path;
  for (const LogLine& line : found) {
    std::string text = fmt::format("{}  {:<18}", line.mTime, line.Field("name"));
    for (const auto& [key, value] : line.mFields) {
      if (key != "level" && key != "program" && key != "event" && key != "name" &&
          key != "request") {
        text += fmt::format(" {}={}", key, value);
      }
    }
    path.push_back(std::move(text));
  }
  return path;
}

} // namespace apricotyard
