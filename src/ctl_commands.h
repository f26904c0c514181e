// The commands of apricotctl.
#ifndef APRICOTYARD_CTL_COMMANDS_H
#define APRICOTYARD_CTL_COMMANDS_H

#include "ctl_api.h"

#include <optional>
#include <string>
#include <vector>

namespace apricotyard {

// Options of the command line; ctl.cpp describes them for --help.
struct CtlOptions
{
  AdminTarget mTarget;
  std::string mAuthor;
  std::string mReason;
  std::string mBaseRevision;
  std::string mSubmissionId;
  std::vector<std::string> mLogFiles;
  std::uint64_t mLimit = 50;
  // Number of polls of watch; 0 means unlimited.
  std::uint64_t mWatchCount = 0;
  bool mJson = false;
  bool mConfirmed = false;
  bool mDryRun = false;
  bool mWait = false;
};

// Runs the command that the first words of aArguments name and returns the exit code. Blocks until
// the command has finished. Prints results to standard output, and errors, prompts and progress to
// standard error.
int
RunCommand(const CtlOptions& aOptions, const std::vector<std::string>& aArguments);

// The part of the help text that lists the commands, one line each.
std::string
CommandHelp();

// The first line of an exported document: a comment that names its revision. A submission uses it
// as the base revision.
std::string
ExportHeader(Revision aRevision);

// The revision in the export header of a document, or nothing if there is no valid header.
std::optional<Revision>
ExportedRevision(std::string_view aDocument);

// Formats rows as a table with aligned columns; the first row is the heading. Replaces control
// characters by '?', so that names from other processes cannot send escape sequences to the
// terminal.
std::string
FormatTable(const std::vector<std::vector<std::string>>& aRows);

} // namespace apricotyard

#endif
