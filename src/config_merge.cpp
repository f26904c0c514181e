#include "config_merge.h"

#include <algorithm>
#include <map>
#include <set>

#include <fmt/format.h>
#include <toml++/toml.h>

namespace apricotyard {

namespace {

// Limit of the table for the longest common subsequence, in cells of 4 bytes.
constexpr std::size_t kMaxDiffCells = 4'000'000;
constexpr std::size_t kContextLines = 2;

std::vector<std::string_view>
SplitLines(std::string_view aText)
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
TrimLeft(std::string_view aLine)
{
  const std::size_t begin = aLine.find_first_not_of(" \t\r");
  return begin == std::string_view::npos ? std::string_view{} : aLine.substr(begin);
}

// Removes white space and blank lines at the end of the text, and ends a non-empty text with one
// newline.
std::string
Normalize(std::string_view aText)
{
  const std::size_t end = aText.find_last_not_of(" \t\r\n");
  return end == std::string_view::npos ? std::string()
                                       : std::string(aText.substr(0, end + 1)) + "\n";
}

struct SectionHeader
{
  std::string mName;
  // Index of the header's line, counted from 0.
  std::size_t mLine = 0;
};

Expected<std::vector<SectionHeader>>
FindSectionHeaders(const toml::table& aDocument, const std::vector<std::string_view>& aLines)
{
  std::vector<SectionHeader> headers;
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
      const bool hasHeaderLine = section.is_table() && line >= 1 && line <= aLines.size();
      if (!hasHeaderLine || section.as_table()->is_inline() ||
          !TrimLeft(aLines[line - 1]).starts_with('[')) {
        return Fail(Result::InvalidDocument,
                    fmt::format("line {}: the section needs a header [{}.{}] of its own",
                                line,
                                kind.str(),
                                name.str()));
      }
      headers.push_back({ fmt::format("{}.{}", kind.str(), name.str()), line - 1 });
    }
  }
  std::sort(
    headers.begin(), headers.end(), [](const SectionHeader& aLeft, const SectionHeader& aRight) {
      return aLeft.mLine < aRight.mLine;
    });
  return headers;
}

std::string
JoinLines(const std::vector<std::string_view>& aLines, std::size_t aBegin, std::size_t aEnd)
{
  std::string text;
  for (std::size_t i = aBegin; i < aEnd; ++i) {
    text.append(aLines[i]).push_back('\n');
  }
  return text;
}

bool
IsValidToml(std::string_view aText)
{
  try {
    (void)toml::parse(aText);
    return true;
  } catch (const toml::parse_error&) {
    return false;
  }
}

// Returns true if aText is valid TOML and sets nothing outside the section aName. A team that may
// change one section must not be able to change another one through its text.
bool
ContainsOnlySection(std::string_view aText, std::string_view aName)
{
  if (!IsValidToml(aText)) {
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
  const std::vector<std::string_view> lines = SplitLines(aText);
  const auto headers = FindSectionHeaders(document, lines);
  if (!headers) {
    return tl::unexpected(headers.error());
  }
  std::vector<DocumentSection> sections;
  std::string name(kPreamble);
  std::size_t begin = 0;
  for (const SectionHeader& header : *headers) {
    // Comment lines directly above a header belong to its section.
    std::size_t end = header.mLine;
    while (end > begin && TrimLeft(lines[end - 1]).starts_with('#')) {
      --end;
    }
    // A line that starts with '#' may belong to a multi-line string, which must not be split.
    if (!IsValidToml(JoinLines(lines, begin, end))) {
      end = header.mLine;
    }
    sections.push_back({ name, JoinLines(lines, begin, end) });
    name = header.mName;
    begin = end;
  }
  sections.push_back({ name, JoinLines(lines, begin, lines.size()) });
  // A table such as [class.a.b] that is separated from [class.a] would split a section in two.
  std::set<std::string> names;
  for (const DocumentSection& section : sections) {
    if (!names.insert(section.mName).second || !ContainsOnlySection(section.mText, section.mName)) {
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
  return found == aSections.end() ? std::string() : Normalize(found->mText);
}

std::vector<std::string>
ChangedSections(const std::vector<DocumentSection>& aOld, const std::vector<DocumentSection>& aNew)
{
  std::map<std::string, std::pair<std::string, std::string>> texts;
  for (const DocumentSection& section : aOld) {
    texts[section.mName].first = Normalize(section.mText);
  }
  for (const DocumentSection& section : aNew) {
    texts[section.mName].second = Normalize(section.mText);
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
    const auto findMerged = [&](std::string_view aName) {
      return std::find_if(merged.begin(), merged.end(), [&](const DocumentSection& aSection) {
        return aSection.mName == aName;
      });
    };
    if (added && !Normalize(section.mText).empty() && findMerged(section.mName) == merged.end()) {
      const auto after = findMerged(predecessor);
      const auto insertAt = section.mName == kPreamble ? merged.begin()
                            : after == merged.end()    ? after
                                                       : after + 1;
      merged.insert(insertAt, section);
    }
    predecessor = section.mName;
  }
  for (const DocumentSection& section : merged) {
    // Separates sections by a blank line, also where one was moved or replaced.
    if (!result.mDocument.empty() && !result.mDocument.ends_with("\n\n")) {
      result.mDocument.push_back('\n');
    }
    result.mDocument += section.mText;
  }
  return result;
}

std::string
LineDiff(std::string_view aOld, std::string_view aNew)
{
  const std::vector<std::string_view> before = SplitLines(aOld);
  const std::vector<std::string_view> after = SplitLines(aNew);
  const std::size_t width = after.size() + 1;
  // commonLengths[i * width + j] is the length of the longest common subsequence of the old lines
  // from i on and the new lines from j on.
  std::vector<std::uint32_t> commonLengths;
  const bool comparable = (before.size() + 1) * width <= kMaxDiffCells;
  if (comparable) {
    commonLengths.resize((before.size() + 1) * width);
    for (std::size_t i = before.size(); i-- > 0;) {
      for (std::size_t j = after.size(); j-- > 0;) {
        commonLengths[i * width + j] =
          before[i] == after[j]
            ? commonLengths[(i + 1) * width + j + 1] + 1
            : std::max(commonLengths[(i + 1) * width + j], commonLengths[i * width + j + 1]);
      }
    }
  }
  std::vector<std::pair<char, std::string_view>> markedLines;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < before.size() || j < after.size()) {
    if (comparable && i < before.size() && j < after.size() && before[i] == after[j]) {
      markedLines.emplace_back(' ', before[i]);
      ++i;
      ++j;
    } else if (i < before.size() &&
               (!comparable || j == after.size() ||
                commonLengths[(i + 1) * width + j] >= commonLengths[i * width + j + 1])) {
      markedLines.emplace_back('-', before[i++]);
    } else {
      markedLines.emplace_back('+', after[j++]);
    }
  }
  std::string text;
  std::size_t nextUnprinted = 0;
  for (std::size_t k = 0; k < markedLines.size(); ++k) {
    const std::size_t contextBegin = k - std::min(k, kContextLines);
    const std::size_t contextEnd = std::min(markedLines.size(), k + kContextLines + 1);
    const bool nearChange =
      std::any_of(markedLines.begin() + static_cast<std::ptrdiff_t>(contextBegin),
                  markedLines.begin() + static_cast<std::ptrdiff_t>(contextEnd),
                  [](const auto& aLine) { return aLine.first != ' '; });
    if (nearChange) {
      if (k > nextUnprinted && !text.empty()) {
        text += "...\n";
      }
      text.push_back(markedLines[k].first);
      text.append(markedLines[k].second).push_back('\n');
      nextUnprinted = k + 1;
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
