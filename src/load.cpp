// apricot-load: open-loop load on a fixed seed, with a report by class.
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
constexpr Duration kAddressTimeout = std::chrono::seconds(1);

// One kind of query in the mix.
struct Target
{
  std::string mCollection;
  // Empty selects the default class of the collection.
  std::string mClass;
  std::string mQuery = "load";
  std::int64_t mWeight = 1;
};

struct LoadPlan
{
  std::vector<SocketAddress> mEntries;
  std::vector<Target> mTargets;
  double mRate = 50;
  Duration mTime = std::chrono::seconds(5);
  Duration mTimeout = std::chrono::seconds(2);
  std::int64_t mSeed = 1;
  // Follow the address answers of the entry hosts, as callers do.
  bool mAskAddresses = true;
  bool mJson = false;
};

void
ReadTargets(SettingsReader& aReader, LoadPlan& aPlan)
{
  Target single;
  aReader.Text("collection", Presence::Optional, 1, 64, single.mCollection);
  aReader.Text("class", Presence::Optional, 1, 64, single.mClass);
  if (!single.mCollection.empty()) {
    aPlan.mTargets = { single };
  }
  for (const std::string& name : aReader.Tables("target")) {
    Target target;
    const std::string prefix = "target." + name + ".";
    aReader.Text(prefix + "collection", Presence::Required, 1, 64, target.mCollection);
    aReader.Text(prefix + "class", Presence::Optional, 1, 64, target.mClass);
    aReader.Text(prefix + "query", Presence::Optional, 1, 1024, target.mQuery);
    aReader.Integer(prefix + "weight", Presence::Optional, 1, 1'000'000, target.mWeight);
    aPlan.mTargets.push_back(std::move(target));
  }
}

// Reads a settings file, or the options of the command line in the same form over it.
void
ReadLoadPlan(SettingsReader& aReader, LoadPlan& aPlan)
{
  aReader.AddressList("entries", Presence::Optional, aPlan.mEntries);
  ReadTargets(aReader, aPlan);
  aReader.Number("rate", Presence::Optional, 0.1, 100'000, aPlan.mRate);
  aReader.Time(
    "time", Presence::Optional, std::chrono::milliseconds(1), std::chrono::hours(1), aPlan.mTime);
  aReader.Time("timeout",
               Presence::Optional,
               std::chrono::milliseconds(1),
               std::chrono::minutes(10),
               aPlan.mTimeout);
  aReader.Integer("seed", Presence::Optional, 0, INT64_MAX, aPlan.mSeed);
  aReader.Boolean("ask_addresses", Presence::Optional, aPlan.mAskAddresses);
  aReader.Boolean("json", Presence::Optional, aPlan.mJson);
}

struct LoadOptions
{
  std::string mSettingsFile;
  // The options that override the settings, as a TOML document.
  std::string mOverrides;
  bool mCheck = false;
  bool mPrint = false;
};

std::string
ListOf(const std::string& aText)
{
  std::string list;
  std::size_t at = 0;
  while (at <= aText.size()) {
    const std::size_t end = std::min(aText.find(',', at), aText.size());
    list += fmt::format("{}'{}'", list.empty() ? "" : ", ", aText.substr(at, end - at));
    at = end + 1;
  }
  return "[" + list + "]";
}

// Returns false if the program should end at once with aExitCode.
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
    { "time", "length of the load, such as 5s", "time = '{}'\n" },
    { "timeout", "longest wait for an answer, such as 2s", "timeout = '{}'\n" },
    { "seed", "seed of the arrivals and choices", "seed = {}\n" },
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
  const poptOption last[] = { POPT_AUTOHELP POPT_TABLEEND };
  table.insert(table.end(), std::begin(last), std::end(last));
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
      aOptions.mOverrides += "entries = " + ListOf(value) + "\n";
    } else {
      aOptions.mOverrides += fmt::format(fmt::runtime(text.mFormat), value);
    }
  }
  aOptions.mOverrides += json != 0 ? "json = true\n" : "";
  aOptions.mCheck = check != 0;
  aOptions.mPrint = print != 0;
  aExitCode = valid ? kExitOk : kExitUsage;
  if (!valid) {
    fmt::print(stderr, "invalid options; see --help\n");
  } else if (version != 0) {
    fmt::print("{}\n", kVersion);
  }
  return valid && version == 0;
}

// Returns false if the program should end at once with aExitCode.
bool
LoadPlanFrom(const LoadOptions& aOptions, LoadPlan& aPlan, int& aExitCode)
{
  std::string text;
  if (!aOptions.mSettingsFile.empty()) {
    auto file = ReadFile(aOptions.mSettingsFile, kMaxSettingsBytes);
    if (!file) {
      fmt::print(stderr, "{}\n", file.error().mMessage);
      aExitCode = kExitUsage;
      return false;
    }
    text = *std::move(file);
  }
  SettingsReader file(aOptions.mSettingsFile, text);
  ReadLoadPlan(file, aPlan);
  SettingsReader overrides("command line", aOptions.mOverrides);
  ReadLoadPlan(overrides, aPlan);
  std::vector<SettingsProblem> problems = file.Finish();
  const std::vector<SettingsProblem> others = overrides.Finish();
  problems.insert(problems.end(), others.begin(), others.end());
  if (aPlan.mEntries.empty()) {
    problems.push_back({ aOptions.mSettingsFile, 0, "entries", "an entry host is needed" });
  }
  if (aPlan.mTargets.empty()) {
    problems.push_back(
      { aOptions.mSettingsFile, 0, "collection", "a collection or a [target.NAME] is needed" });
  }
  for (const SettingsProblem& problem : problems) {
    fmt::print(stderr, "{}\n", FormatProblem(problem));
  }
  aExitCode = problems.empty() ? kExitOk : kExitUsage;
  if (problems.empty() && aOptions.mPrint) {
    fmt::print("{}", file.Effective());
  }
  return problems.empty() && !aOptions.mCheck && !aOptions.mPrint;
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
Share(std::uint64_t aPart, std::uint64_t aWhole)
{
  return aWhole == 0 ? 0.0 : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

Json
Summarize(Report aReport)
{
  std::sort(aReport.mLatencies.begin(), aReport.mLatencies.end());
  return { { "queries", aReport.mLatencies.size() },
           { "p50_ms", Quantile(aReport.mLatencies, 0.5) },
           { "p99_ms", Quantile(aReport.mLatencies, 0.99) },
           { "p999_ms", Quantile(aReport.mLatencies, 0.999) },
           { "coverage", Share(aReport.mAnswered, aReport.mExpected) },
           { "subrequests", aReport.mAttempts },
           { "extra_load",
             aReport.mExpected == 0 ? 0.0 : Share(aReport.mAttempts, aReport.mExpected) - 1.0 },
           { "results", aReport.mResults } };
}

void
PrintReport(bool aJson, const std::map<std::string, Report>& aReports)
{
  Json all = Json::object();
  for (const auto& [name, report] : aReports) {
    all[name] = Summarize(report);
  }
  if (aJson) {
    fmt::print("{}\n", Json{ { "classes", all } }.dump());
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
  for (const auto& [name, figures] : all.items()) {
    fmt::print("{:<28} {:>8} {:>9.2f} {:>9.2f} {:>9.2f} {:>9.4f} {:>10.4f}\n",
               name,
               figures["queries"].get<std::uint64_t>(),
               figures["p50_ms"].get<double>(),
               figures["p99_ms"].get<double>(),
               figures["p999_ms"].get<double>(),
               figures["coverage"].get<double>(),
               figures["extra_load"].get<double>());
  }
  for (const auto& [name, figures] : all.items()) {
    for (const auto& [result, count] : figures["results"].items()) {
      fmt::print("{:<28} {:>8} {}\n", name, count.get<std::uint64_t>(), result);
    }
  }
}

class LoadRun
{
public:
  explicit LoadRun(const LoadPlan& aPlan)
    : mPlan(aPlan)
    , mClient(mLoop, "", 0)
    , mRng(static_cast<std::uint64_t>(aPlan.mSeed))
    , mAddresses(aPlan.mEntries)
  {
  }

  std::map<std::string, Report> Run()
  {
    mNext = SteadyNow();
    mEnd = mNext + mPlan.mTime;
    SendDue();
    mLoop.Run();
    return std::move(mReports);
  }

private:
  // Open loop: the times of departure are drawn beforehand and do not wait for answers.
  void SendDue()
  {
    while (mNext <= SteadyNow() && mNext < mEnd) {
      AskAddresses();
      SendOne(mNext);
      // Inverse transform by hand, as std::exponential_distribution differs between libraries.
      const double uniform = (static_cast<double>(mRng() >> 11U) + 0.5) * 0x1.0p-53;
      mNext += Duration(static_cast<Duration::rep>(-std::log(uniform) / mPlan.mRate * 1e6));
    }
    if (mNext < mEnd) {
      mLoop.AddTimer(mNext, [this] { SendDue(); });
    } else {
      mDone = true;
      StopIfIdle();
    }
  }

  // Asks any configured entry host again when the last answer has expired. Until the new answer
  // arrives the old addresses stay in use.
  void AskAddresses()
  {
    if (!mPlan.mAskAddresses || mAsking || SteadyNow() < mAddressesUntil) {
      return;
    }
    mAsking = true;
    ClientRequest request;
    request.mMethod = "GET";
    request.mAddress = mPlan.mEntries[mAsked++ % mPlan.mEntries.size()];
    request.mPath = "/v1/addresses";
    request.mTimeout = kAddressTimeout;
    mClient.Send(std::move(request), [this](const ClientReply& aReply) {
      mAsking = false;
      TakeAddresses(aReply);
      StopIfIdle();
    });
  }

  void TakeAddresses(const ClientReply& aReply)
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
      // The host is gone or refuses; the configured hosts serve until another one answers.
      mAddresses = mPlan.mEntries;
      return;
    }
    mAddresses = std::move(addresses);
    mAddressesUntil = SteadyNow() + std::chrono::milliseconds(body.value("lifetime_ms", 0));
  }

  const Target& ChooseTarget()
  {
    std::uint64_t total = 0;
    for (const Target& target : mPlan.mTargets) {
      total += static_cast<std::uint64_t>(target.mWeight);
    }
    std::uint64_t draw = mRng() % total;
    for (const Target& target : mPlan.mTargets) {
      if (draw < static_cast<std::uint64_t>(target.mWeight)) {
        return target;
      }
      draw -= static_cast<std::uint64_t>(target.mWeight);
    }
    return mPlan.mTargets.back();
  }

  void SendOne(TimePoint aDue)
  {
    const Target& target = ChooseTarget();
    Json body{ { "collection", target.mCollection },
               { "query", fmt::format("{} {}", target.mQuery, mSent++) } };
    if (!target.mClass.empty()) {
      body["class"] = target.mClass;
    }
    ClientRequest request;
    request.mAddress = mAddresses[mRng() % mAddresses.size()];
    request.mPath = "/v1/query";
    request.mTimeout = mPlan.mTimeout;
    request.mBody = body.dump();
    const std::string name =
      fmt::format("{}/{}", target.mCollection, target.mClass.empty() ? "default" : target.mClass);
    mClient.Send(std::move(request), [this, aDue, name](const ClientReply& aReply) {
      RecordReply(mReports[name], aReply, SteadyNow() - aDue);
      StopIfIdle();
    });
  }

  void StopIfIdle()
  {
    if (mDone && mClient.OpenTransfers() == 0) {
      mLoop.Stop();
    }
  }

  const LoadPlan& mPlan;
  Loop mLoop;
  HttpClient mClient;
  Rng mRng;
  std::map<std::string, Report> mReports;
  std::vector<SocketAddress> mAddresses;
  TimePoint mAddressesUntil;
  TimePoint mNext;
  TimePoint mEnd;
  std::uint64_t mSent = 0;
  std::uint64_t mAsked = 0;
  bool mAsking = false;
  bool mDone = false;
};

} // namespace

int
main(int argc, char** argv)
{
  LoadOptions options;
  LoadPlan plan;
  int exitCode = kExitOk;
  if (!ParseOptions(argc, argv, options, exitCode) || !LoadPlanFrom(options, plan, exitCode)) {
    return exitCode;
  }
  LoadRun run(plan);
  PrintReport(plan.mJson, run.Run());
  return kExitOk;
}
