// Splits the operator's document into its sections, compares and merges documents. Works on the
// text, so that comments and layout of the operators are kept.
#ifndef APRICOTYARD_CONFIG_MERGE_H
#define APRICOTYARD_CONFIG_MERGE_H

#include "types.h"

#include <string>
#include <string_view>
#include <vector>

namespace apricotyard {

// The name of the text before the first section.
inline constexpr std::string_view kPreamble = "preamble";

struct DocumentSection
{
  // "class.check", or kPreamble.
  std::string mName;
  // The comment lines directly above the header, the header and everything up to the next section.
  std::string mText;
};

// The sections in the order of the document; the preamble is first and may be empty. Fails with
// InvalidDocument if the text is not TOML or if a section does not begin with a header of its own
// such as [class.check]. Pure.
Expected<std::vector<DocumentSection>>
SplitSections(std::string_view aText);

// Names of the sections that differ, in the order of the alphabet. Trailing blank lines do not
// count. Pure.
std::vector<std::string>
ChangedSections(const std::vector<DocumentSection>& aOld, const std::vector<DocumentSection>& aNew);

struct MergeResult
{
  std::string mDocument;
  // Sections that both sides changed in different ways. mDocument is empty if there are any.
  std::vector<std::string> mConflicts;
};

// Merges the edits aBase to aMine into aTheirs. The order of aMine is kept; sections that only
// aTheirs added follow their predecessor in aTheirs. Pure.
MergeResult
MergeSections(const std::vector<DocumentSection>& aBase,
              const std::vector<DocumentSection>& aTheirs,
              const std::vector<DocumentSection>& aMine);

// The text of a section, or an empty text if it is absent.
std::string
SectionText(const std::vector<DocumentSection>& aSections, std::string_view aName);

// The lines that differ, marked with '-' for aOld and '+' for aNew, with two lines of context.
// Texts beyond a stated size are shown as a whole. Pure.
std::string
LineDifference(std::string_view aOld, std::string_view aNew);

// True if aPattern ("class.check", "class.*" or "*") covers the section aName. Only "*" covers the
// preamble.
bool
CoversSection(std::string_view aPattern, std::string_view aName);

} // namespace apricotyard

#endif
