// apricotctl: the operator's command line.
#include "cmdline.h"
#include "ctl_commands.h"

#include <cstdlib>
#include <utility>

#include <fmt/format.h>
#include <popt.h>

using namespace apricotyard;

namespace {

// Keys of options that may be given several times, or that are parsed here.
enum OptionKey : int
{
  ControlOption = 1,
  LogOption,
  TimeoutOption,
};

constexpr std::size_t kMaxKeyFile = 4096;
constexpr Duration kMaxTimeout = std::chrono::minutes(10);

std::string
Environment(const char* aName)
{
  const char* const value = std::getenv(aName);
  return value != nullptr ? value : "";
}

// Reads the key from its file, without the line end. Keys are not taken from the command line,
// where every user of the machine can see them.
bool
ReadKey(const std::string& aFile, std::string& aKey)
{
  if (aFile.empty()) {
    return true;
  }
  const auto text = ReadFile(aFile, kMaxKeyFile);
  if (!text) {
    fmt::print(stderr, "error: {}\n", text.error().mMessage);
    return false;
  }
  aKey = text->substr(0, text->find_first_of("\r\n"));
  return true;
}

// Takes one occurrence of an option that popt returns to the loop.
bool
TakeOption(int aKey, const std::string& aText, CtlOptions& aOptions)
{
  if (aKey == LogOption) {
    aOptions.mLogs.push_back(aText);
    return true;
  }
  if (aKey == TimeoutOption) {
    const auto timeout = ParseDuration(aText);
    if (!timeout || *timeout <= Duration::zero() || *timeout > kMaxTimeout) {
      fmt::print(stderr, "error: --timeout must be a duration such as 10s, at most 10m\n");
      return false;
    }
    aOptions.mTarget.mTimeout = *timeout;
    return true;
  }
  const auto address = ParseSocketAddress(aText);
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
  char* occurrence = nullptr;
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
      &occurrence,
      ControlOption,
      "administration address of a control host; repeatable, tried in turn",
      "IP:PORT" },
    { "key-file",
      0,
      POPT_ARG_STRING,
      &keyFile,
      0,
      "file with the team key; default $APRICOT_KEY_FILE",
      "FILE" },
    { "author", 0, POPT_ARG_STRING, &author, 0, "who makes the change; default $USER", "NAME" },
    { "reason",
      'm',
      POPT_ARG_STRING,
      &reason,
      0,
      "why the change is made, for the audit log",
      "TEXT" },
    { "base",
      0,
      POPT_ARG_STRING,
      &base,
      0,
      "revision that the document is based on, or newest",
      "N" },
    { "submission",
      0,
      POPT_ARG_STRING,
      &submission,
      0,
      "submission id of an earlier attempt",
      "ID" },
    { "timeout",
      0,
      POPT_ARG_STRING,
      &occurrence,
      TimeoutOption,
      "time for a call with its repetitions; default 10s",
      "TIME" },
    { "log",
      0,
      POPT_ARG_STRING,
      &occurrence,
      LogOption,
      "log file for explain; repeatable",
      "FILE" },
    { "limit", 0, POPT_ARG_LONG, &limit, 0, "entries of a list; default 50", "N" },
    { "count", 0, POPT_ARG_LONG, &count, 0, "rounds of watch; default no end", "N" },
    { "json", 0, POPT_ARG_NONE, &flags[0], 0, "print JSON", nullptr },
    { "yes", 0, POPT_ARG_NONE, &flags[1], 0, "confirm what can do harm", nullptr },
    { "dry-run", 0, POPT_ARG_NONE, &flags[2], 0, "show what would change", nullptr },
    { "wait",
      0,
      POPT_ARG_NONE,
      &flags[3],
      0,
      "wait until the revision is in force, 10 s at most",
      nullptr },
    { "version", 0, POPT_ARG_NONE, &flags[4], 0, "print the version and exit", nullptr },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext(nullptr, argc, const_cast<const char**>(argv), table, 0);
  const std::string summary = CommandSummary();
  poptSetOtherOptionHelp(context, summary.c_str());
  bool good = true;
  int rc = 0;
  while (good && (rc = poptGetNextOpt(context)) > 0) {
    good = TakeOption(rc, occurrence, options);
    free(std::exchange(occurrence, nullptr));
  }
  std::vector<std::string> words;
  while (const char* const word = poptGetArg(context)) {
    words.emplace_back(word);
  }
  if (rc < -1) {
    fmt::print(stderr, "error: {}: {}\n", poptBadOption(context, 0), poptStrerror(rc));
    good = false;
  }
  if (limit < 0 || count < 0) {
    fmt::print(stderr, "error: --limit and --count must not be negative\n");
    good = false;
  }
  const auto text = [](const char* aValue, const std::string& aDefault) {
    return aValue != nullptr ? std::string(aValue) : aDefault;
  };
  const std::string user = Environment("USER");
  options.mAuthor = text(author, user.empty() ? "unknown" : user);
  options.mReason = text(reason, "no reason given");
  options.mBase = text(base, "");
  options.mSubmission = text(submission, "");
  options.mLimit = static_cast<std::uint64_t>(limit);
  options.mCount = static_cast<std::uint64_t>(count);
  options.mJson = flags[0] != 0;
  options.mYes = flags[1] != 0;
  options.mDryRun = flags[2] != 0;
  options.mWait = flags[3] != 0;
  good = good && ReadKey(text(keyFile, Environment("APRICOT_KEY_FILE")), options.mTarget.mKey);
  int exitCode = kExitUsage;
  if (flags[4] != 0) {
    fmt::print("{}\n", kVersion);
    exitCode = kExitOk;
  } else if (good) {
    exitCode = RunCommand(options, words);
  }
  poptFreeContext(context);
  for (char* const value : { keyFile, author, reason, base, submission }) {
    free(value);
  }
  return exitCode;
}
