#include "cmdline.h"

#include <cstdio>
#include <fstream>
#include <sstream>

#include <fmt/format.h>
#include <popt.h>

namespace apricotyard {

namespace {

constexpr std::size_t kMaxSettingsBytes = std::size_t{ 256 } * 1024;

} // namespace

bool
ParseCommonOptions(int aArgc,
                   char** aArgv,
                   const std::string& aSummary,
                   CommonOptions& aOptions,
                   int& aExitCode)
{
  char* settings = nullptr;
  int check = 0;
  int print = 0;
  int version = 0;
  const poptOption options[] = {
    { "settings",
      's',
      POPT_ARG_STRING,
      static_cast<void*>(&settings),
      0,
      "read settings from FILE (TOML)",
      "FILE" },
    { "check-settings",
      0,
      POPT_ARG_NONE,
      &check,
      0,
      "validate the settings, report all errors and exit",
      nullptr },
    { "print-settings",
      0,
      POPT_ARG_NONE,
      &print,
      0,
      "print the effective settings, defaults included, and exit",
      nullptr },
    { "version", 0, POPT_ARG_NONE, &version, 0, "print the version and exit", nullptr },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext(nullptr, aArgc, const_cast<const char**>(aArgv), options, 0);
  poptSetOtherOptionHelp(context, fmt::format("[OPTION...]\n{}", aSummary).c_str());
  const int parseResult = poptGetNextOpt(context);
  const char* const extra = poptGetArg(context);
  aExitCode = kExitOk;
  bool shouldRun = false;
  if (parseResult < -1) {
    fmt::print(stderr,
               "{}: {}\n",
               poptBadOption(context, POPT_BADOPTION_NOALIAS),
               poptStrerror(parseResult));
    aExitCode = kExitUsage;
  } else if (extra != nullptr) {
    fmt::print(stderr, "unexpected argument '{}'; see --help\n", extra);
    aExitCode = kExitUsage;
  } else if (version != 0) {
    fmt::print("{}\n", kVersion);
  } else if (settings == nullptr) {
    fmt::print(stderr, "--settings FILE is required; see --help\n");
    aExitCode = kExitUsage;
  } else {
    aOptions.mSettingsFile = settings;
    aOptions.mCheckSettings = check != 0;
    aOptions.mPrintSettings = print != 0;
    shouldRun = true;
  }
  poptFreeContext(context);
  free(settings);
  return shouldRun;
}

Expected<std::string>
ReadFile(const std::string& aPath, std::size_t aMaxBytes)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return Fail(Result::NotFound, fmt::format("cannot read {}", aPath));
  }
  std::string text(aMaxBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > aMaxBytes) {
    return Fail(Result::BodyTooLarge, fmt::format("{} exceeds {} bytes", aPath, aMaxBytes));
  }
  return text;
}

bool
LoadSettings(const CommonOptions& aOptions,
             const std::function<void(SettingsReader&)>& aRead,
             int& aExitCode)
{
  const auto text = ReadFile(aOptions.mSettingsFile, kMaxSettingsBytes);
  if (!text) {
    fmt::print(stderr, "{}\n", text.error().mMessage);
    aExitCode = kExitUsage;
    return false;
  }
  SettingsReader reader(aOptions.mSettingsFile, *text);
  aRead(reader);
  const std::vector<SettingsProblem> problems = reader.Finish();
  for (const SettingsProblem& problem : problems) {
    fmt::print(stderr, "{}\n", FormatProblem(problem));
  }
  if (!problems.empty()) {
    fmt::print(stderr, "{} errors in the settings\n", problems.size());
    aExitCode = kExitUsage;
    return false;
  }
  aExitCode = kExitOk;
  if (aOptions.mPrintSettings) {
    fmt::print("{}", reader.Effective());
    return false;
  }
  if (aOptions.mCheckSettings) {
    fmt::print("{}: the settings are valid\n", aOptions.mSettingsFile);
    return false;
  }
  return true;
}

void
ReadLogSettings(SettingsReader& aReader, LogLevel& aLevel)
{
  std::string level = "info";
  aReader.Choice("log.level", Presence::Optional, { "debug", "info", "warning", "error" }, level);
  aLevel = level == "debug"     ? LogLevel::Debug
           : level == "info"    ? LogLevel::Info
           : level == "warning" ? LogLevel::Warning
                                : LogLevel::Error;
}

} // namespace apricotyard
