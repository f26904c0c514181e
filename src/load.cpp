// apricot-load: sends queries to entry hosts at a given rate without waiting for answers (open
// loop), and reports latencies and results by collection and class. The seed determines the send
// times and the query mix.
#include "cmdline.h"
#include "http_client.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <map>
#include <random>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <popt.h>

using namespace apricotyard;

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxSettingsBytes = std::size_t{ 256 } * 1024;
constexpr Duration kAddressesTimeout = std::chrono::seconds(1);

// One entry of the query mix, chosen with a probability proportional to mWeight.
struct Target
{
  std::string mCollection;
  // Empty selects the default class of the collection.
  std::string mClass;
  std::string mQuery = "load";
  std::int64_t mWeight = 1;
};

struct WorkloadSettings
{
  std::vector<SocketAddress> mEntryHosts;
  std::vector<Target> mTargets;
  // Queries per second.
  double mRate = 50;
  Duration mRunTime = std::chrono::seconds(5);
  Duration mTimeout = std::chrono::seconds(2);
  std::int64_t mSeed = 1;
  // Keep the list of entry hosts up to date by GET /v1/addresses, as callers do.
  bool mRefreshAddresses = true;
  bool mJson = false;
};

void
ReadTargets(SettingsReader& aReader, WorkloadSettings& aSettings)
{
  Target defaultTarget;
  aReader.Text("collection", Presence::Optional, 1, 64, defaultTarget.mCollection);
  aReader.Text("class", Presence::Optional, 1, 64, defaultTarget.mClass);
  if (!defaultTarget.mCollection.empty()) {
    aSettings.mTargets = { defaultTarget };
  }
  for (const std::string& name : aReader.Tables("target")) {
    Target target;
    const std::string prefix = "target." + name + ".";
    aReader.Text(prefix + "collection", Presence::Required, 1, 64, target.mCollection);
    aReader.Text(prefix + "class", Presence::Optional, 1, 64, target.mClass);
    aReader.Text(prefix + "query", Presence::Optional, 1, 1024, target.mQuery);
    aReader.Integer(prefix + "weight", Presence::Optional, 1, 1'000'000, target.mWeight);
    aSettings.mTargets.push_back(std::move(target));
  }
}

// Reads the settings from a file, or the overrides from the command line in the same TOML form.
void
ReadWorkloadSettings(SettingsReader& aReader, WorkloadSettings& aSettings)
{
  aReader.AddressList("entries", Presence::Optional, aSettings.mEntryHosts);
  ReadTargets(aReader, aSettings);
  aReader.Number("rate", Presence::Optional, 0.1, 100'000, aSettings.mRate);
  aReader.Time("time",
               Presence::Optional,
               std::chrono::milliseconds(1),
               std::chrono::hours(1),
               aSettings.mRunTime);
  aReader.Time("timeout",
               Presence::Optional,
               std::chrono::milliseconds(1),
               std::chrono::minutes(10),
               aSettings.mTimeout);
  aReader.Integer("seed", Presence::Optional, 0, INT64_MAX, aSettings.mSeed);
  aReader.Boolean("ask_addresses", Presence::Optional, aSettings.mRefreshAddresses);
  aReader.Boolean("json", Presence::Optional, aSettings.mJson);
}

struct LoadOptions
{
  std::string mSettingsFile;
  // The options that override the settings, as a TOML document.
  std::string mOverrides;
  bool mCheckOnly = false;
  bool mPrintSettings = false;
};

// Converts a comma-separated list to a TOML array of strings.
std::string
FormatTomlArray(const std::string& aText)
{
  std::string list;
  std::size_t position = 0;
  while (position <= aText.size()) {
    const std::size_t end = std::min(aText.find(',', position), aText.size());
    list += fmt::format("{}'{}'", list.empty() ? "" : ", ", aText.substr(position, end - position));
    position = end + 1;
  }
  return "[" + list + "]";
}

// Returns false if the program should exit immediately with aExitCode.
bool
ParseOptions(int aArgc, char** aArgv, LoadOptions& aOptions, int& aExitCode)
{
  struct TextOption
  {
    const char* mName;
    const char* mHelp;
    const char* mFormat;
    char* mValue = nullptr;
  };
  TextOption texts[] = {
    { "settings", "read settings from this file (TOML)", "" },
    { "entries", "entry hosts as IP:PORT, separated by commas", "" },
    { "collection", "query only this collection", "collection = '{}'\n" },
    { "class", "class of the queries of --collection", "class = '{}'\n" },
    { "rate", "queries per second", "rate = {}\n" },
    { "time", "duration of the load, such as 5s", "time = '{}'\n" },
    { "timeout", "timeout of a query, such as 2s", "timeout = '{}'\n" },
    { "seed", "seed of the send times and the query mix", "seed = {}\n" },
  };
  int json = 0;
  int check = 0;
  int print = 0;
  int version = 0;
  std::vector<poptOption> table;
  for (TextOption& text : texts) {
    table.push_back(
      { text.mName, 0, POPT_ARG_STRING, static_cast<void*>(&text.mValue), 0, text.mHelp, "VALUE" });
  }
  table.push_back({ "json", 0, POPT_ARG_NONE, &json, 0, "print the report as JSON", nullptr });
  table.push_back(
    { "check-settings", 0, POPT_ARG_NONE, &check, 0, "validate the settings and exit", nullptr });
  table.push_back(
    { "print-settings", 0, POPT_ARG_NONE, &print, 0, "print the settings file and exit", nullptr });
  table.push_back(
    { "version", 0, POPT_ARG_NONE, &version, 0, "print the version and exit", nullptr });
  const poptOption helpOptions[] = { POPT_AUTOHELP POPT_TABLEEND };
  table.insert(table.end(), std::begin(helpOptions), std::end(helpOptions));
  poptContext context =
    poptGetContext(nullptr, aArgc, const_cast<const char**>(aArgv), table.data(), 0);
  const bool valid = poptGetNextOpt(context) == -1 && poptPeekArg(context) == nullptr;
  poptFreeContext(context);
  for (TextOption& text : texts) {
    const std::string value = text.mValue == nullptr ? "" : text.mValue;
    free(text.mValue);
    if (value.empty()) {
      continue;
    }
    if (std::string_view(text.mName) == "settings") {
      aOptions.mSettingsFile = value;
    } else if (std::string_view(text.mName) == "entries") {
      aOptions.mOverrides += "entries = " + FormatTomlArray(value) + "\n";
    } else {
      aOptions.mOverrides += fmt::format(fmt::runtime(text.mFormat), value);
    }
  }
  aOptions.mOverrides += json != 0 ? "json = true\n" : "";
  aOptions.mCheckOnly = check != 0;
  aOptions.mPrintSettings = print != 0;
  aExitCode = valid ? kExitOk : kExitUsage;
  if (!valid) {
    fmt::print(stderr, "invalid options; see --help\n");
  } else if (version != 0) {
    fmt::print("{}\n", kVersion);
  }
  return valid && version == 0;
}

// Combines the settings file with the command line. Returns false if the program should exit
// immediately with aExitCode.
bool
ResolveSettings(const LoadOptions& aOptions, WorkloadSettings& aSettings, int& aExitCode)
{
  std::string text;
  if (!aOptions.mSettingsFile.empty()) {
    auto contents = ReadFile(aOptions.mSettingsFile, kMaxSettingsBytes);
    if (!contents) {
      fmt::print(stderr, "{}\n", contents.error().mMessage);
      aExitCode = kExitUsage;
      return false;
    }
    text = *std::move(contents);
  }
  SettingsReader fileReader(aOptions.mSettingsFile, text);
  ReadWorkloadSettings(fileReader, aSettings);
  SettingsReader overrideReader("command line", aOptions.mOverrides);
  ReadWorkloadSettings(overrideReader, aSettings);
  std::vector<SettingsProblem> problems = fileReader.Finish();
  const std::vector<SettingsProblem> overrideProblems = overrideReader.Finish();
  problems.insert(problems.end(), overrideProblems.begin(), overrideProblems.end());
  if (aSettings.mEntryHosts.empty()) {
    problems.push_back(
      { aOptions.mSettingsFile, 0, "entries", "at least one entry host is required" });
  }
  if (aSettings.mTargets.empty()) {
    problems.push_back({ aOptions.mSettingsFile,
                         0,
                         "collection",
                         "a collection or a table [target.NAME] is required" });
  }
  for (const SettingsProblem& problem : problems) {
    fmt::print(stderr, "{}\n", FormatProblem(problem));
  }
  aExitCode = problems.empty() ? kExitOk : kExitUsage;
  if (problems.empty() && aOptions.mPrintSettings) {
    fmt::print("{}", fileReader.Effective());
  }
  return problems.empty() && !aOptions.mCheckOnly && !aOptions.mPrintSettings;
}

struct Report
{
  std::vector<Duration> mLatencies;
  std::map<std::string, std::uint64_t> mResults;
  std::uint64_t mAnswered = 0;
  std::uint64_t mExpected = 0;
  std::uint64_t mAttempts = 0;
};

double
Quantile(const std::vector<Duration>& aSorted, double aProbability)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::size_t>(aProbability * static_cast<double>(aSorted.size()));
  return static_cast<double>(aSorted[std::min(rank, aSorted.size() - 1)].count()) / 1000.0;
}

void
RecordReply(Report& aReport, const ClientReply& aReply, Duration aLatency)
{
  aReport.mLatencies.push_back(aLatency);
  const Json body = Json::parse(aReply.mBody, nullptr, false);
  if (aReply.mEnd != TransferEnd::Complete || !body.is_object() || !body.contains("result") ||
      !body["result"].is_object()) {
    ++aReport.mResults["no_answer"];
    return;
  }
  const Json& result = body["result"];
  ++aReport.mResults[fmt::format("{} {}", result.value("code", 0), result.value("name", "?"))];
  if (body.contains("coverage") && body["coverage"].is_object()) {
    aReport.mExpected += body["coverage"].value("expected", 0U);
    aReport.mAnswered += body["coverage"].value("answered", 0U);
    aReport.mAttempts += body.value("attempts", 0U);
  }
}

double
Ratio(std::uint64_t aNumerator, std::uint64_t aDenominator)
{
  return aDenominator == 0 ? 0.0
                           : static_cast<double>(aNumerator) / static_cast<double>(aDenominator);
}

Json
Summarize(Report aReport)
{
  std::sort(aReport.mLatencies.begin(), aReport.mLatencies.end());
  return { { "queries", aReport.mLatencies.size() },
           { "p50_ms", Quantile(aReport.mLatencies, 0.5) },
           { "p99_ms", Quantile(aReport.mLatencies, 0.99) },
           { "p999_ms", Quantile(aReport.mLatencies, 0.999) },
           { "coverage", Ratio(aReport.mAnswered, aReport.mExpected) },
           { "subrequests", aReport.mAttempts },
           { "extra_load",
             aReport.mExpected == 0 ? 0.0 : Ratio(aReport.mAttempts, aReport.mExpected) - 1.0 },
           { "results", aReport.mResults } };
}

void
PrintReport(bool aJson, const std::map<std::string, Report>& aReports)
{
  Json summaries = Json::object();
  for (const auto& [name, report] : aReports) {
    summaries[name] = Summarize(report);
  }
  if (aJson) {
    fmt::print("{}\n", Json{ { "classes", summaries } }.dump());
    return;
  }
  fmt::print("{:<28} {:>8} {:>9} {:>9} {:>9} {:>9} {:>10}\n",
             "collection/class",
             "queries",
             "p50 ms",
             "p99 ms",
             "p99.9 ms",
             "coverage",
             "extra load");
  for (const auto& [name, summary] : summaries.items()) {
    fmt::print("{:<28} {:>8} {:>9.2f} {:>9.2f} {:>9.2f} {:>9.4f} {:>10.4f}\n",
               name,
               summary["queries"].get<std::uint64_t>(),
               summary["p50_ms"].get<double>(),
               summary["p99_ms"].get<double>(),
               summary["p999_ms"].get<double>(),
               summary["coverage"].get<double>(),
               summary["extra_load"].get<double>());
  }
  for (const auto& [name, summary] : summaries.items()) {
    for (const auto& [result, count] : summary["results"].items()) {
      fmt::print("{:<28} {:>8} {}\n", name, count.get<std::uint64_t>(), result);
    }
  }
}

class LoadGenerator
{
public:
  explicit LoadGenerator(const WorkloadSettings& aSettings)
    : mSettings(aSettings)
    , mClient(mLoop, "", 0)
    , mRng(static_cast<std::uint64_t>(aSettings.mSeed))
    , mAddresses(aSettings.mEntryHosts)
  {
  }

  std::map<std::string, Report> Run()
  {
    mNextSend = SteadyNow();
    mEndTime = mNextSend + mSettings.mRunTime;
    SendDueQueries();
    mLoop.Run();
    return std::move(mReports);
  }

private:
  // Open loop: the send times are drawn at random and do not depend on the answers. Latencies count
  // from them, so that a late send counts as latency.
  void SendDueQueries()
  {
    while (mNextSend <= SteadyNow() && mNextSend < mEndTime) {
      RefreshAddresses();
      SendQuery(mNextSend);
      // Inverse transform, because std::exponential_distribution differs between standard
      // libraries.
      const double uniform = (static_cast<double>(mRng() >> 11U) + 0.5) * 0x1.0p-53;
      mNextSend += Duration(static_cast<Duration::rep>(-std::log(uniform) / mSettings.mRate * 1e6));
    }
    if (mNextSend < mEndTime) {
      mLoop.AddTimer(mNextSend, [this] { SendDueQueries(); });
    } else {
      mAllSent = true;
      StopIfIdle();
    }
  }

  // Requests the addresses from the next configured entry host if the last list has expired. The
  // old list stays in use until the reply arrives.
  void RefreshAddresses()
  {
    if (!mSettings.mRefreshAddresses || mRefreshPending || SteadyNow() < mAddressesExpiry) {
      return;
    }
    mRefreshPending = true;
    ClientRequest request;
    request.mMethod = "GET";
    request.mAddress = mSettings.mEntryHosts[mRefreshCount++ % mSettings.mEntryHosts.size()];
    request.mPath = "/v1/addresses";
    request.mTimeout = kAddressesTimeout;
    mClient.Send(std::move(request), [this](const ClientReply& aReply) {
      mRefreshPending = false;
      HandleAddresses(aReply);
      StopIfIdle();
    });
  }

  void HandleAddresses(const ClientReply& aReply)
  {
    const Json body = Json::parse(aReply.mBody, nullptr, false);
    std::vector<SocketAddress> addresses;
    if (aReply.mStatus == 200 && body.is_object() && body.contains("addresses")) {
      for (const Json& entry : body["addresses"]) {
        const auto address =
          ParseSocketAddress(entry.is_object() ? entry.value("address", std::string()) : "");
        if (address) {
          addresses.push_back(*address);
        }
      }
    }
    if (addresses.empty()) {
      // Without a usable reply, use the configured hosts until another one replies.
      mAddresses = mSettings.mEntryHosts;
      return;
    }
    mAddresses = std::move(addresses);
    mAddressesExpiry = SteadyNow() + std::chrono::milliseconds(body.value("lifetime_ms", 0));
  }

  const Target& ChooseTarget()
  {
    std::uint64_t total = 0;
    for (const Target& target : mSettings.mTargets) {
      total += static_cast<std::uint64_t>(target.mWeight);
    }
    std::uint64_t draw = mRng() % total;
    for (const Target& target : mSettings.mTargets) {
      if (draw < static_cast<std::uint64_t>(target.mWeight)) {
        return target;
      }
      draw -= static_cast<std::uint64_t>(target.mWeight);
    }
    return mSettings.mTargets.back();
  }

  void SendQuery(TimePoint aSendTime)
  {
    const Target& target = ChooseTarget();
    Json body{ { "collection", target.mCollection },
               { "query", fmt::format("{} {}", target.mQuery, mSentCount++) } };
    if (!target.mClass.empty()) {
      body["class"] = target.mClass;
    }
    ClientRequest request;
    request.mAddress = mAddresses[mRng() % mAddresses.size()];
    request.mPath = "/v1/query";
    request.mTimeout = mSettings.mTimeout;
    request.mBody = body.dump();
    const std::string name =
      fmt::format("{}/{}", target.mCollection, target.mClass.empty() ? "default" : target.mClass);
    mClient.Send(std::move(request), [this, aSendTime, name](const ClientReply& aReply) {
      RecordReply(mReports[name], aReply, SteadyNow() - aSendTime);
      StopIfIdle();
    });
  }

  void StopIfIdle()
  {
    if (mAllSent && mClient.OpenTransfers() == 0) {
      mLoop.Stop();
    }
  }

  const WorkloadSettings& mSettings;
  Loop mLoop;
  HttpClient mClient;
  Rng mRng;
  std::map<std::string, Report> mReports;
  std::vector<SocketAddress> mAddresses;
  TimePoint mAddressesExpiry;
  TimePoint mNextSend;
  TimePoint mEndTime;
  std::uint64_t mSentCount = 0;
  std::uint64_t mRefreshCount = 0;
  bool mRefreshPending = false;
  bool mAllSent = false;
};

} // namespace

int
main(int argc, char** argv)
{
  LoadOptions options;
  WorkloadSettings settings;
  int exitCode = kExitOk;
  if (!ParseOptions(argc, argv, options, exitCode) ||
      !ResolveSettings(options, settings, exitCode)) {
    return exitCode;
  }
  LoadGenerator generator(settings);
  PrintReport(settings.mJson, generator.Run());
  return kExitOk;
}
