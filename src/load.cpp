// apricot-load: open-loop load on a fixed seed, with a report.
#include "cmdline.h"
#include "http_client.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

using namespace apricotyard;

namespace {

struct LoadPlan
{
  std::vector<SocketAddress> mEntries;
  std::string mCollection;
  double mRate = 50;
  Duration mTime = std::chrono::seconds(5);
  Duration mTimeout = std::chrono::seconds(2);
  std::int64_t mSeed = 1;
  bool mJson = false;
};

void
ReadLoadPlan(SettingsReader& aReader, LoadPlan& aSettings)
{
  aReader.AddressList("entries", Presence::Required, aSettings.mEntries);
  aReader.Text("collection", Presence::Required, 1, 64, aSettings.mCollection);
  aReader.Number("rate", Presence::Optional, 0.1, 100'000, aSettings.mRate);
  aReader.Time("time",
               Presence::Optional,
               std::chrono::milliseconds(1),
               std::chrono::hours(1),
               aSettings.mTime);
  aReader.Time("timeout",
               Presence::Optional,
               std::chrono::milliseconds(1),
               std::chrono::minutes(10),
               aSettings.mTimeout);
  aReader.Integer("seed", Presence::Optional, 0, INT64_MAX, aSettings.mSeed);
  aReader.Boolean("json", Presence::Optional, aSettings.mJson);
  if (aReader.Has("entries") && aSettings.mEntries.empty()) {
    aReader.Problem("entries", "at least one entry host is needed");
  }
}

struct Report
{
  std::vector<Duration> mLatencies;
  std::map<std::string, std::uint64_t> mResults;
  double mCoverageSum = 0;
  std::uint64_t mAttempts = 0;
  std::uint64_t mExpected = 0;
};

Duration
Quantile(const std::vector<Duration>& aSorted, double aProbability)
{
  if (aSorted.empty()) {
    return Duration::zero();
  }
  const auto rank = static_cast<std::size_t>(aProbability * static_cast<double>(aSorted.size()));
  return aSorted[std::min(rank, aSorted.size() - 1)];
}

void
RecordReply(Report& aReport, const ClientReply& aReply, Duration aLatency)
{
  aReport.mLatencies.push_back(aLatency);
  const nlohmann::json body = nlohmann::json::parse(aReply.mBody, nullptr, false);
  if (aReply.mEnd != TransferEnd::Complete || !body.is_object() || !body.contains("result")) {
    ++aReport.mResults["no_answer"];
    return;
  }
  ++aReport.mResults[body["result"].value("name", "unnamed")];
  if (body.contains("coverage")) {
    aReport.mCoverageSum += body["coverage"].value("fraction", 0.0);
    aReport.mExpected += body["coverage"].value("expected", 0U);
    aReport.mAttempts += body.value("attempts", 0U);
  }
}

void
PrintReport(const LoadPlan& aSettings, Report aReport)
{
  std::sort(aReport.mLatencies.begin(), aReport.mLatencies.end());
  const auto count = static_cast<double>(std::max<std::size_t>(1, aReport.mLatencies.size()));
  const double extra =
    aReport.mExpected == 0
      ? 0.0
      : static_cast<double>(aReport.mAttempts) / static_cast<double>(aReport.mExpected) - 1.0;
  const auto millis = [&aReport](double aProbability) {
    return static_cast<double>(Quantile(aReport.mLatencies, aProbability).count()) / 1000.0;
  };
  if (aSettings.mJson) {
    const nlohmann::json body{ { "queries", aReport.mLatencies.size() },
                               { "p50_ms", millis(0.5) },
                               { "p99_ms", millis(0.99) },
                               { "p999_ms", millis(0.999) },
                               { "coverage", aReport.mCoverageSum / count },
                               { "extra_load", extra },
                               { "results", aReport.mResults } };
    fmt::print("{}\n", body.dump());
    return;
  }
  fmt::print("queries     {}\np50         {:.2f} ms\np99         {:.2f} ms\np99.9       {:.2f} ms\n"
             "coverage    {:.4f}\nextra load  {:.4f}\n",
             aReport.mLatencies.size(),
             millis(0.5),
             millis(0.99),
             millis(0.999),
             aReport.mCoverageSum / count,
             extra);
  for (const auto& [name, number] : aReport.mResults) {
    fmt::print("result      {} {}\n", name, number);
  }
}

class LoadRun
{
public:
  explicit LoadRun(const LoadPlan& aSettings)
    : mSettings(aSettings)
    , mClient(mLoop, "", 0)
    , mRng(static_cast<std::uint64_t>(aSettings.mSeed))
  {
  }

  Report Run()
  {
    mNext = SteadyNow();
    mEnd = mNext + mSettings.mTime;
    SendDue();
    mLoop.Run();
    return std::move(mReport);
  }

private:
  // Open loop: the times of departure are drawn beforehand and do not wait for answers.
  void SendDue()
  {
    while (mNext <= SteadyNow() && mNext < mEnd) {
      SendOne(mNext);
      // Inverse transform by hand, as std::exponential_distribution differs between libraries.
      const double uniform = (static_cast<double>(mRng() >> 11U) + 0.5) * 0x1.0p-53;
      mNext += Duration(static_cast<Duration::rep>(-std::log(uniform) / mSettings.mRate * 1e6));
    }
    if (mNext < mEnd) {
      mLoop.AddTimer(mNext, [this] { SendDue(); });
    } else {
      mDone = true;
      StopIfIdle();
    }
  }

  void SendOne(TimePoint aDue)
  {
    ClientRequest request;
    request.mAddress = mSettings.mEntries[mRng() % mSettings.mEntries.size()];
    request.mPath = "/v1/query";
    request.mTimeout = mSettings.mTimeout;
    request.mBody =
      fmt::format(R"({{"collection":"{}","query":"load {}"}})", mSettings.mCollection, mSent++);
    mClient.Send(std::move(request), [this, aDue](const ClientReply& aReply) {
      RecordReply(mReport, aReply, SteadyNow() - aDue);
      StopIfIdle();
    });
  }

  void StopIfIdle()
  {
    if (mDone && mClient.OpenTransfers() == 0) {
      mLoop.Stop();
    }
  }

  const LoadPlan& mSettings;
  Loop mLoop;
  HttpClient mClient;
  Rng mRng;
  Report mReport;
  TimePoint mNext;
  TimePoint mEnd;
  std::uint64_t mSent = 0;
  bool mDone = false;
};

} // namespace

int
main(int argc, char** argv)
{
  CommonOptions options;
  int exitCode = kExitOk;
  if (!ParseCommonOptions(argc, argv, "Open-loop load with a fixed seed.", options, exitCode)) {
    return exitCode;
  }
  LoadPlan settings;
  const auto read = [&settings](SettingsReader& aReader) { ReadLoadPlan(aReader, settings); };
  if (!LoadSettings(options, read, exitCode)) {
    return exitCode;
  }
  LoadRun run(settings);
  PrintReport(settings, run.Run());
  return kExitOk;
}
