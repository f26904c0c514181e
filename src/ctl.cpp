// apricotctl: the command line tool for operators.
#include "cmdline.h"
#include "ctl_commands.h"

#include <cstdlib>
#include <utility>

#include <fmt/format.h>
#include <popt.h>

using namespace apricotyard;

namespace {

// Values that popt returns for the options that HandleOption reads: those that are repeatable or
// need parsing.
enum ParsedOption : int
{
  ControlOption = 1,
  LogOption,
  TimeoutOption,
};

constexpr std::size_t kMaxKeyFileBytes = 4096;
constexpr Duration kMaxTimeout = std::chrono::minutes(10);

std::string
EnvironmentVariable(const char* aName)
{
  const char* const value = std::getenv(aName);
  return value != nullptr ? value : "";
}

// Reads the first line of the key file; leaves aKey unchanged if aFile is empty. There is no option
// for the key itself because every user of the host can see the arguments of a process.
bool
ReadKeyFile(const std::string& aFile, std::string& aKey)
{
  if (aFile.empty()) {
    return true;
  }
  const auto content = ReadFile(aFile, kMaxKeyFileBytes);
  if (!content) {
    fmt::print(stderr, "error: {}\n", content.error().mMessage);
    return false;
  }
  aKey = content->substr(0, content->find_first_of("\r\n"));
  return true;
}

// Handles one occurrence of a ParsedOption. Returns false after printing an error.
bool
HandleOption(int aOption, const std::string& aValue, CtlOptions& aOptions)
{
  if (aOption == LogOption) {
    aOptions.mLogFiles.push_back(aValue);
    return true;
  }
  if (aOption == TimeoutOption) {
    const auto timeout = ParseDuration(aValue);
    if (!timeout || *timeout <= Duration::zero() || *timeout > kMaxTimeout) {
      fmt::print(stderr, "error: --timeout must be a duration such as 10s, at most 10m\n");
      return false;
    }
    aOptions.mTarget.mTimeout = *timeout;
    return true;
  }
  const auto address = ParseSocketAddress(aValue);
  if (!address) {
    fmt::print(stderr, "error: --control: {}\n", address.error().mMessage);
    return false;
  }
  aOptions.mTarget.mAddresses.push_back(*address);
  return true;
}

} // namespace

int
main(int argc, char** argv)
{
  CtlOptions options;
  char* optionValue = nullptr;
  char* keyFile = nullptr;
  char* author = nullptr;
  char* reason = nullptr;
  char* base = nullptr;
  char* submission = nullptr;
  int flags[5] = {};
  long limit = 50;
  long count = 0;
  const poptOption table[] = {
    { "control",
      'c',
      POPT_ARG_STRING,
      &optionValue,
      ControlOption,
      "administration address of a control host; repeatable, hosts are tried in turn",
      "IP:PORT" },
    { "key-file",
      0,
      POPT_ARG_STRING,
      &keyFile,
      0,
      "file with the team key; default $APRICOT_KEY_FILE",
      "FILE" },
    { "author", 0, POPT_ARG_STRING, &author, 0, "author of the change; default $USER", "NAME" },
    { "reason",
      'm',
      POPT_ARG_STRING,
      &reason,
      0,
      "reason for the change, for the audit log",
      "TEXT" },
    { "base",
      0,
      POPT_ARG_STRING,
      &base,
      0,
      "base revision of the document: a number or newest",
      "N" },
    { "submission",
      0,
      POPT_ARG_STRING,
      &submission,
      0,
      "submission id of an earlier attempt, to send it again",
      "ID" },
    { "timeout",
      0,
      POPT_ARG_STRING,
      &optionValue,
      TimeoutOption,
      "time limit of a call including retries; default 10s",
      "TIME" },
    { "log",
      0,
      POPT_ARG_STRING,
      &optionValue,
      LogOption,
      "log file that explain reads; repeatable",
      "FILE" },
    { "limit", 0, POPT_ARG_LONG, &limit, 0, "maximum number of listed entries; default 50", "N" },
    { "count", 0, POPT_ARG_LONG, &count, 0, "number of polls of watch; default unlimited", "N" },
    { "json", 0, POPT_ARG_NONE, &flags[0], 0, "print JSON", nullptr },
    { "yes", 0, POPT_ARG_NONE, &flags[1], 0, "confirm a disruptive command", nullptr },
    { "dry-run",
      0,
      POPT_ARG_NONE,
      &flags[2],
      0,
      "show the effect without changing anything",
      nullptr },
    { "wait",
      0,
      POPT_ARG_NONE,
      &flags[3],
      0,
      "wait up to 10 s until the revision is in force",
      nullptr },
    { "version", 0, POPT_ARG_NONE, &flags[4], 0, "print the version and exit", nullptr },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext(nullptr, argc, const_cast<const char**>(argv), table, 0);
  const std::string commandHelp = CommandHelp();
  poptSetOtherOptionHelp(context, commandHelp.c_str());
  bool valid = true;
  int rc = 0;
  while (valid && (rc = poptGetNextOpt(context)) > 0) {
    valid = HandleOption(rc, optionValue, options);
    free(std::exchange(optionValue, nullptr));
  }
  std::vector<std::string> arguments;
  while (const char* const argument = poptGetArg(context)) {
    arguments.emplace_back(argument);
  }
  if (rc < -1) {
    fmt::print(stderr, "error: {}: {}\n", poptBadOption(context, 0), poptStrerror(rc));
    valid = false;
  }
  if (limit < 0 || count < 0) {
    fmt::print(stderr, "error: --limit and --count must not be negative\n");
    valid = false;
  }
  const auto valueOr = [](const char* aValue, const std::string& aDefault) {
    return aValue != nullptr ? std::string(aValue) : aDefault;
  };
  const std::string user = EnvironmentVariable("USER");
  options.mAuthor = valueOr(author, user.empty() ? "unknown" : user);
  options.mReason = valueOr(reason, "no reason given");
  options.mBaseRevision = valueOr(base, "");
  options.mSubmissionId = valueOr(submission, "");
  options.mLimit = static_cast<std::uint64_t>(limit);
  options.mWatchCount = static_cast<std::uint64_t>(count);
  options.mJson = flags[0] != 0;
  options.mConfirmed = flags[1] != 0;
  options.mDryRun = flags[2] != 0;
  options.mWait = flags[3] != 0;
  valid = valid && ReadKeyFile(valueOr(keyFile, EnvironmentVariable("APRICOT_KEY_FILE")),
                               options.mTarget.mKey);
  int exitCode = kExitUsage;
  if (flags[4] != 0) {
    fmt::print("{}\n", kVersion);
    exitCode = kExitOk;
  } else if (valid) {
    exitCode = RunCommand(options, arguments);
  }
  poptFreeContext(context);
  for (char* const value : { keyFile, author, reason, base, submission }) {
    free(value);
  }
  return exitCode;
}
