#include "config_merge.h"

#include <algorithm>
#include <map>
#include <set>

#include <fmt/format.h>
#include <toml++/toml.h>

namespace apricotyard {

namespace {

// The table of the longest common subsequence has at most this many cells (4 bytes each).
constexpr std::size_t kMaxDifferenceCells = 4'000'000;
constexpr std::size_t kContextLines = 2;

std::vector<std::string_view>
Lines(std::string_view aText)
{
  std::vector<std::string_view> lines;
  while (!aText.empty()) {
    const std::size_t end = aText.find('\n');
    lines.push_back(aText.substr(0, end));
    aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
  }
  return lines;
}

std::string_view
Trimmed(std::string_view aLine)
{
  const std::size_t begin = aLine.find_first_not_of(" \t\r");
  return begin == std::string_view::npos ? std::string_view{} : aLine.substr(begin);
}

// Without trailing blank lines, with one line end.
std::string
Normalized(std::string_view aText)
{
  const std::size_t end = aText.find_last_not_of(" \t\r\n");
  return end == std::string_view::npos ? std::string()
                                       : std::string(aText.substr(0, end + 1)) + "\n";
}

struct Header
{
  std::string mName;
  // Index of the header's line.
  std::size_t mLine = 0;
};

Expected<std::vector<Header>>
FindHeaders(const toml::table& aDocument, const std::vector<std::string_view>& aLines)
{
  std::vector<Header> headers;
  for (const auto& [kind, node] : aDocument) {
    const toml::table* const table = node.as_table();
    if (table == nullptr) {
      return Fail(Result::InvalidDocument,
                  fmt::format("line {}: '{}' is not inside a section such as [class.check]",
                              node.source().begin.line,
                              kind.str()));
    }
    for (const auto& [name, section] : *table) {
      const std::size_t line = section.source().begin.line;
      const bool inside = section.is_table() && line >= 1 && line <= aLines.size();
      if (!inside || section.as_table()->is_inline() ||
          !Trimmed(aLines[line - 1]).starts_with('[')) {
        return Fail(Result::InvalidDocument,
                    fmt::format("line {}: the section needs a header [{}.{}] of its own",
                                line,
                                kind.str(),
                                name.str()));
      }
      headers.push_back({ fmt::format("{}.{}", kind.str(), name.str()), line - 1 });
    }
  }
  std::sort(headers.begin(), headers.end(), [](const Header& aOne, const Header& aTwo) {
    return aOne.mLine < aTwo.mLine;
  });
  return headers;
}

std::string
Join(const std::vector<std::string_view>& aLines, std::size_t aBegin, std::size_t aEnd)
{
  std::string text;
  for (std::size_t i = aBegin; i < aEnd; ++i) {
    text.append(aLines[i]).push_back('\n');
  }
  return text;
}

bool
IsToml(std::string_view aText)
{
  try {
    (void)toml::parse(aText);
    return true;
  } catch (const toml::parse_error&) {
    return false;
  }
}

// True if aText sets nothing outside the section aName. The owner of one section must not be able
// to change another one through its text.
bool
HoldsOnly(std::string_view aText, std::string_view aName)
{
  if (!IsToml(aText)) {
    return false;
  }
  const toml::table document = toml::parse(aText);
  return std::all_of(document.begin(), document.end(), [&](const auto& aKind) {
    const toml::table* const table = aKind.second.as_table();
    return table != nullptr && std::all_of(table->begin(), table->end(), [&](const auto& aSection) {
             return fmt::format("{}.{}", aKind.first.str(), aSection.first.str()) == aName;
           });
  });
}

} // namespace

Expected<std::vector<DocumentSection>>
SplitSections(std::string_view aText)
{
  toml::table document;
  try {
    document = toml::parse(aText);
  } catch (const toml::parse_error& error) {
    return Fail(Result::InvalidDocument,
                fmt::format("line {}: {}", error.source().begin.line, error.description()));
  }
  const std::vector<std::string_view> lines = Lines(aText);
  const auto headers = FindHeaders(document, lines);
  if (!headers) {
    return tl::unexpected(headers.error());
  }
  std::vector<DocumentSection> sections;
  std::string name(kPreamble);
  std::size_t begin = 0;
  for (const Header& header : *headers) {
    // Comments directly above a header belong to it.
    std::size_t end = header.mLine;
    while (end > begin && Trimmed(lines[end - 1]).starts_with('#')) {
      --end;
    }
    // A line that begins with '#' can be the end of a text over several lines.
    if (!IsToml(Join(lines, begin, end))) {
      end = header.mLine;
    }
    sections.push_back({ name, Join(lines, begin, end) });
    name = header.mName;
    begin = end;
  }
  sections.push_back({ name, Join(lines, begin, lines.size()) });
  // A header such as [class.a.b] before [class.a] would tear a section into two places.
  std::set<std::string> names;
  for (const DocumentSection& section : sections) {
    if (!names.insert(section.mName).second || !HoldsOnly(section.mText, section.mName)) {
      return Fail(Result::InvalidDocument,
                  fmt::format("the section '{}' is not in one piece", section.mName));
    }
  }
  return sections;
}

std::string
SectionText(const std::vector<DocumentSection>& aSections, std::string_view aName)
{
  const auto found =
    std::find_if(aSections.begin(), aSections.end(), [&](const DocumentSection& aSection) {
      return aSection.mName == aName;
    });
  return found == aSections.end() ? std::string() : Normalized(found->mText);
}

std::vector<std::string>
ChangedSections(const std::vector<DocumentSection>& aOld, const std::vector<DocumentSection>& aNew)
{
  std::map<std::string, std::pair<std::string, std::string>> texts;
  for (const DocumentSection& section : aOld) {
    texts[section.mName].first = Normalized(section.mText);
  }
  for (const DocumentSection& section : aNew) {
    texts[section.mName].second = Normalized(section.mText);
  }
  std::vector<std::string> changed;
  for (const auto& [name, pair] : texts) {
    if (pair.first != pair.second) {
      changed.push_back(name);
    }
  }
  return changed;
}

MergeResult
MergeSections(const std::vector<DocumentSection>& aBase,
              const std::vector<DocumentSection>& aTheirs,
              const std::vector<DocumentSection>& aMine)
{
  MergeResult result;
  const std::vector<std::string> mine = ChangedSections(aBase, aMine);
  const std::vector<std::string> theirs = ChangedSections(aBase, aTheirs);
  for (const std::string& name : mine) {
    if (std::binary_search(theirs.begin(), theirs.end(), name) &&
        SectionText(aTheirs, name) != SectionText(aMine, name)) {
      result.mConflicts.push_back(name);
    }
  }
  if (!result.mConflicts.empty()) {
    return result;
  }
  std::vector<DocumentSection> merged;
  for (const DocumentSection& section : aMine) {
    const bool keepMine = std::binary_search(mine.begin(), mine.end(), section.mName) ||
                          !std::binary_search(theirs.begin(), theirs.end(), section.mName);
    const std::string text = keepMine ? section.mText : SectionText(aTheirs, section.mName);
    if (!text.empty()) {
      merged.push_back({ section.mName, text });
    }
  }
  std::string predecessor;
  for (const DocumentSection& section : aTheirs) {
    const bool added = SectionText(aBase, section.mName).empty();
    const auto same = [&](std::string_view aName) {
      return std::find_if(merged.begin(), merged.end(), [&](const DocumentSection& aSection) {
        return aSection.mName == aName;
      });
    };
    if (added && !Normalized(section.mText).empty() && same(section.mName) == merged.end()) {
      const auto after = same(predecessor);
      const auto place = section.mName == kPreamble ? merged.begin()
                         : after == merged.end()    ? after
                                                    : after + 1;
      merged.insert(place, section);
    }
    predecessor = section.mName;
  }
  for (const DocumentSection& section : merged) {
    // Sections stay separated by a blank line after one of them was moved or replaced.
    if (!result.mDocument.empty() && !result.mDocument.ends_with("\n\n")) {
      result.mDocument.push_back('\n');
    }
    result.mDocument += section.mText;
  }
  return result;
}

std::string
LineDifference(std::string_view aOld, std::string_view aNew)
{
  const std::vector<std::string_view> before = Lines(aOld);
  const std::vector<std::string_view> after = Lines(aNew);
  const std::size_t width = after.size() + 1;
  std::vector<std::uint32_t> common;
  const bool small = (before.size() + 1) * width <= kMaxDifferenceCells;
  if (small) {
    common.resize((before.size() + 1) * width);
    for (std::size_t i = before.size(); i-- > 0;) {
      for (std::size_t j = after.size(); j-- > 0;) {
        common[i * width + j] =
          before[i] == after[j] ? common[(i + 1) * width + j + 1] + 1
                                : std::max(common[(i + 1) * width + j], common[i * width + j + 1]);
      }
    }
  }
  std::vector<std::pair<char, std::string_view>> marked;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < before.size() || j < after.size()) {
    if (small && i < before.size() && j < after.size() && before[i] == after[j]) {
      marked.emplace_back(' ', before[i]);
      ++i;
      ++j;
    } else if (i < before.size() && (!small || j == after.size() ||
                                     common[(i + 1) * width + j] >= common[i * width + j + 1])) {
      marked.emplace_back('-', before[i++]);
    } else {
      marked.emplace_back('+', after[j++]);
    }
  }
  std::string text;
  std::size_t printed = 0;
  for (std::size_t k = 0; k < marked.size(); ++k) {
    const std::size_t low = k - std::min(k, kContextLines);
    const std::size_t high = std::min(marked.size(), k + kContextLines + 1);
    const bool near = std::any_of(marked.begin() + static_cast<std::ptrdiff_t>(low),
                                  marked.begin() + static_cast<std::ptrdiff_t>(high),
                                  [](const auto& aLine) { return aLine.first != ' '; });
    if (near) {
      if (k > printed && !text.empty()) {
        text += "...\n";
      }
      text.push_back(marked[k].first);
      text.append(marked[k].second).push_back('\n');
      printed = k + 1;
    }
  }
  return text;
}

bool
CoversSection(std::string_view aPattern, std::string_view aName)
{
  if (aPattern == "*" || aPattern == aName) {
    return aPattern == "*" || aName != kPreamble;
  }
  return aPattern.size() > 2 && aPattern.ends_with(".*") &&
         aName.starts_with(aPattern.substr(0, aPattern.size() - 1));
}

} // namespace apricotyard
