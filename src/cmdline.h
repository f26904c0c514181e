// The command line options that the long-running programs share, and their start-up.
#ifndef APRICOTYARD_CMDLINE_H
#define APRICOTYARD_CMDLINE_H

#include "events.h"
#include "settings.h"

#include <functional>
#include <string>

namespace apricotyard {

inline constexpr const char* kVersion = "0.1.0";

// Exit codes of every program, listed in docs/OPERATIONS.md.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;

struct CommonOptions
{
  std::string mSettingsFile;
  bool mCheckSettings = false;
  bool mPrintSettings = false;
};

// Parses --settings, --check-settings, --print-settings, --version and --help. Returns false if
// the program should end at once with aExitCode.
bool
ParseCommonOptions(int aArgc,
                   char** aArgv,
                   const std::string& aSummary,
                   CommonOptions& aOptions,
                   int& aExitCode);

// Reads the whole file into a text of at most aMaxBytes.
Expected<std::string>
ReadFile(const std::string& aPath, std::size_t aMaxBytes);

// Reads and validates the settings file with aRead, prints every problem to standard error and
// handles --check-settings and --print-settings. Returns false if the program should end at once
// with aExitCode.
bool
LoadSettings(const CommonOptions& aOptions,
             const std::function<void(SettingsReader&)>& aRead,
             int& aExitCode);

// Reads the table [log] that every program has.
void
ReadLogSettings(SettingsReader& aReader, LogLevel& aLevel);

} // namespace apricotyard

#endif
