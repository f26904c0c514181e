// Splits the operator's configuration document into sections, and compares and merges documents.
// Works on the text, so that the operators' comments and layout are kept.
#ifndef APRICOTYARD_CONFIG_MERGE_H
#define APRICOTYARD_CONFIG_MERGE_H

#include "types.h"

#include <string>
#include <string_view>
#include <vector>

namespace apricotyard {

// Name of the text before the first section.
inline constexpr std::string_view kPreamble = "preamble";

struct DocumentSection
{
  // Such as "class.check", or kPreamble.
  std::string mName;
  // The comment lines directly above the header, the header and everything up to the next section.
  std::string mText;
};

// Returns the sections in document order; the preamble is first and may be empty. Fails with
// InvalidDocument if the text is not valid TOML, if a section does not begin with its own header
// such as [class.check], or if a section is not contiguous. Thread-safe.
Expected<std::vector<DocumentSection>>
SplitSections(std::string_view aText);

// Returns the names of the sections that differ, in alphabetical order. Ignores trailing blank
// lines. Thread-safe.
std::vector<std::string>
ChangedSections(const std::vector<DocumentSection>& aOld, const std::vector<DocumentSection>& aNew);

struct MergeResult
{
  std::string mDocument;
  // Names of the sections that both sides changed in different ways. If there are any, mDocument is
  // empty.
  std::vector<std::string> mConflicts;
};

// Three-way merge: combines the changes from aBase to aMine with those from aBase to aTheirs. Keeps
// the order of aMine; a section that only aTheirs added follows its predecessor in aTheirs.
// Thread-safe.
MergeResult
MergeSections(const std::vector<DocumentSection>& aBase,
              const std::vector<DocumentSection>& aTheirs,
              const std::vector<DocumentSection>& aMine);

// Returns the text of a section without trailing blank lines, or an empty string if it is absent.
// Thread-safe.
std::string
SectionText(const std::vector<DocumentSection>& aSections, std::string_view aName);

// Returns a line diff: removed lines are marked with '-', added lines with '+', and two lines of
// context are shown. If the texts are too large to compare, all old lines are shown as removed and
// all new lines as added. Thread-safe.
std::string
LineDiff(std::string_view aOld, std::string_view aNew);

// Returns true if aPattern ("class.check", "class.*" or "*") matches the section aName. Only "*"
// matches the preamble. Thread-safe.
bool
CoversSection(std::string_view aPattern, std::string_view aName);

} // namespace apricotyard

#endif
