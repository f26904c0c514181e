// Command-line options and start-up code shared by the long-running programs.
#ifndef APRICOTYARD_CMDLINE_H
#define APRICOTYARD_CMDLINE_H

#include "events.h"
#include "settings.h"

#include <functional>
#include <string>

namespace apricotyard {

inline constexpr const char* kVersion = "0.1.0";

// Exit codes of all programs; see docs/OPERATIONS.md.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;

struct CommonOptions
{
  std::string mSettingsFile;
  bool mCheckSettings = false;
  bool mPrintSettings = false;
};

// Parses --settings, --check-settings, --print-settings, --version and --help. Returns false if the
// program should exit at once with aExitCode.
bool
ParseCommonOptions(int aArgc,
                   char** aArgv,
                   const std::string& aSummary,
                   CommonOptions& aOptions,
                   int& aExitCode);

// Returns the content of the file. Fails with NotFound if it cannot be opened and with BodyTooLarge
// if it exceeds aMaxBytes. Thread-safe.
Expected<std::string>
ReadFile(const std::string& aPath, std::size_t aMaxBytes);

// Reads the settings file, validates it with aRead and prints all problems to standard error.
// Handles --check-settings and --print-settings. Returns false if the program should exit at once
// with aExitCode.
bool
LoadSettings(const CommonOptions& aOptions,
             const std::function<void(SettingsReader&)>& aRead,
             int& aExitCode);

// Reads the [log] table, which the settings of every program have.
void
ReadLogSettings(SettingsReader& aReader, LogLevel& aLevel);

} // namespace apricotyard

#endif
