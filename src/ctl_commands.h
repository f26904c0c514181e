// The commands of apricotctl.
#ifndef APRICOTYARD_CTL_COMMANDS_H
#define APRICOTYARD_CTL_COMMANDS_H

#include "ctl_api.h"

#include <optional>
#include <string>
#include <vector>

namespace apricotyard {

struct CtlOptions
{
  AdminTarget mTarget;
  std::string mAuthor;
  std::string mReason;
  std::string mBase;
  std::string mSubmission;
  std::vector<std::string> mLogs;
  std::uint64_t mLimit = 50;
  // Rounds of watch; 0 has no end.
  std::uint64_t mCount = 0;
  bool mJson = false;
  bool mYes = false;
  bool mDryRun = false;
  bool mWait = false;
};

// Runs the command that aWords name and returns the exit code. Prints results to standard output
// and everything else to standard error.
int
RunCommand(const CtlOptions& aOptions, const std::vector<std::string>& aWords);

// One line per command, for --help.
std::string
CommandSummary();

// The first line that export writes and submit reads, naming the revision of the document.
std::string
ExportHeader(Revision aRevision);

// The revision that the header of an exported document names.
std::optional<Revision>
ExportedRevision(std::string_view aDocument);

// Aligns the columns; the first row is the heading. Control characters are replaced, so that a name
// from outside cannot change the terminal.
std::string
FormatTable(const std::vector<std::vector<std::string>>& aRows);

} // namespace apricotyard

#endif
