// apricot-bench: runs the production query engine against simulated upstreams in virtual time.
// Prints the results and one signature over all of them, so that two builds can be compared.
#include "bench_scenarios.h"
#include "cmdline.h"
#include "control_measure.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <thread>

#include <fmt/format.h>
#include <popt.h>
#include <xxhash.h>

using namespace apricotyard;

namespace {

constexpr int kMaxThreads = 16;
constexpr std::size_t kMaxShownViolations = 5;

struct BenchOptions
{
  int mCheckThresholds = 0;
  int mSchedules = 0;
  int mTrace = 0;
  int mControl = 0;
  int mJobs = 3;
  long long mSeed = 1;
  char* mScenario = nullptr;
  // Arguments of --schedules: the first seed and the number of schedules.
  std::uint64_t mFirstSeed = 0;
  std::uint64_t mScheduleCount = 0;
};

bool
ParseNumber(const char* aText, std::uint64_t& aOut)
{
  if (aText == nullptr || *aText < '0' || *aText > '9') {
    return false;
  }
  char* end = nullptr;
  aOut = std::strtoull(aText, &end, 10);
  return *end == '\0';
}

// Returns false if the program should exit immediately with aExitCode.
bool
ParseOptions(int aArgc, char** aArgv, BenchOptions& aOptions, int& aExitCode)
{
  int version = 0;
  const poptOption table[] = {
    { "check-bars",
      0,
      POPT_ARG_NONE,
      &aOptions.mCheckThresholds,
      0,
      "print each acceptance threshold with its bound and the measured value; exit with 1 if one "
      "is missed",
      nullptr },
    { "schedules",
      0,
      POPT_ARG_NONE,
      &aOptions.mSchedules,
      0,
      "run COUNT randomized schedules, starting with seed FIRST: --schedules FIRST COUNT",
      nullptr },
    { "control",
      0,
      POPT_ARG_NONE,
      &aOptions.mControl,
      0,
      "measure the control-plane cost of one node at several cluster sizes",
      nullptr },
    { "trace",
      0,
      POPT_ARG_NONE,
      &aOptions.mTrace,
      0,
      "print every event of the schedule whose seed is given by --seed",
      nullptr },
    { "seed",
      0,
      POPT_ARG_LONGLONG,
      &aOptions.mSeed,
      0,
      "seed of the scenarios, or of the schedule to trace",
      "N" },
    { "scenario",
      0,
      POPT_ARG_STRING,
      static_cast<void*>(&aOptions.mScenario),
      0,
      "run only this scenario",
      "NAME" },
    { "jobs",
      0,
      POPT_ARG_INT,
      &aOptions.mJobs,
      0,
      "number of threads, from 1 to 16; default 3",
      "N" },
    { "version", 0, POPT_ARG_NONE, &version, 0, "print the version and exit", nullptr },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext(nullptr, aArgc, const_cast<const char**>(aArgv), table, 0);
  const int rc = poptGetNextOpt(context);
  bool valid =
    rc == -1 && aOptions.mJobs >= 1 && aOptions.mJobs <= kMaxThreads && aOptions.mSeed >= 0;
  if (valid && aOptions.mSchedules != 0) {
    valid = ParseNumber(poptGetArg(context), aOptions.mFirstSeed) &&
            ParseNumber(poptGetArg(context), aOptions.mScheduleCount) &&
            aOptions.mScheduleCount > 0;
  }
  valid = valid && poptPeekArg(context) == nullptr;
  if (valid && aOptions.mScenario != nullptr) {
    const auto& names = ScenarioNames();
    valid = std::find(names.begin(), names.end(), aOptions.mScenario) != names.end();
  }
  poptFreeContext(context);
  aExitCode = valid ? kExitOk : kExitUsage;
  if (!valid) {
    fmt::print(stderr, "invalid options; see --help and docs/bench.md\n");
    return false;
  }
  if (version != 0) {
    fmt::print("{}\n", kVersion);
    return false;
  }
  return true;
}

// Calls aRunTask(i) for each i below aCount on aJobs threads. Threads take the next index as they
// become free, so each call must depend on its index alone.
template<typename Task>
void
RunParallel(std::size_t aCount, int aJobs, Task aRunTask)
{
  std::atomic<std::size_t> next{ 0 };
  std::vector<std::thread> threads;
  for (int i = 0; i < aJobs; ++i) {
    threads.emplace_back([&] {
      for (std::size_t task = next++; task < aCount; task = next++) {
        aRunTask(task);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

std::string
FormatMillis(Duration aTime)
{
  return fmt::format("{}.{:03}", aTime.count() / 1000, aTime.count() % 1000);
}

std::string
FormatPpm(std::uint64_t aPpm)
{
  return fmt::format("{}.{:06}", aPpm / 1'000'000, aPpm % 1'000'000);
}

void
PrintViolations(const std::string& aWhere, const std::vector<Violation>& aViolations)
{
  for (std::size_t i = 0; i < std::min(kMaxShownViolations, aViolations.size()); ++i) {
    fmt::print(stderr,
               "{}: {} q{}: {}\n",
               aWhere,
               aViolations[i].mInvariant,
               aViolations[i].mQuery,
               aViolations[i].mMessage);
  }
}

void
PrintResult(const ScenarioResult& aResult)
{
  const std::string name =
    fmt::format("{}/{}", DeploymentName(aResult.mDeployment), aResult.mScenario);
  fmt::print("scenario={} policy={} p50_ms={} p99_ms={} p999_ms={} coverage={} extra_load={} "
             "violations={}\n",
             name,
             aResult.mPolicy == BenchPolicy::Current ? "current" : "baseline",
             FormatMillis(aResult.mP50),
             FormatMillis(aResult.mP99),
             FormatMillis(aResult.mP999),
             FormatPpm(aResult.mCoveragePpm),
             FormatPpm(aResult.mExtraLoadPpm),
             aResult.mViolations.size());
  PrintViolations(name, aResult.mViolations);
}

std::uint64_t
CombineHashes(std::uint64_t aSignature, std::uint64_t aValue)
{
  // Hashes the hexadecimal text, so that the result does not depend on the byte order.
  const std::string text = fmt::format("{:016x}", aValue);
  return XXH64(text.data(), text.size(), aSignature);
}

int
RunScenarios(const BenchOptions& aOptions)
{
  std::vector<ScenarioResult> results;
  for (const std::string& name : ScenarioNames()) {
    for (const Deployment deployment : { Deployment::Kestane, Deployment::Kaarnapuu }) {
      for (const BenchPolicy policy : { BenchPolicy::Current, BenchPolicy::Baseline }) {
        if (aOptions.mScenario == nullptr || name == aOptions.mScenario) {
          ScenarioResult& result = results.emplace_back();
          result.mScenario = name;
          result.mDeployment = deployment;
          result.mPolicy = policy;
        }
      }
    }
  }
  RunParallel(results.size(), aOptions.mJobs, [&](std::size_t aTaskIndex) {
    ScenarioResult& result = results[aTaskIndex];
    result = RunScenario(result.mScenario,
                         result.mDeployment,
                         result.mPolicy,
                         static_cast<std::uint64_t>(aOptions.mSeed));
  });
  std::uint64_t signature = 0;
  for (const ScenarioResult& result : results) {
    PrintResult(result);
    signature = CombineHashes(signature, result.mSignature);
  }
  fmt::print("signature={:016x}\n", signature);
  if (aOptions.mCheckThresholds == 0) {
    return kExitOk;
  }
  if (aOptions.mScenario != nullptr) {
    fmt::print(stderr, "--check-bars cannot be combined with --scenario\n");
    return kExitUsage;
  }
  bool allMet = true;
  for (const Threshold& threshold : CheckThresholds(results)) {
    fmt::print("bar={} bound=\"{}\" figure={} {}\n",
               threshold.mName,
               threshold.mBound,
               threshold.mMeasured,
               threshold.mMet ? "met" : "MISSED");
    allMet = allMet && threshold.mMet;
  }
  return allMet ? kExitOk : kExitFailure;
}

int
RunSchedules(const BenchOptions& aOptions)
{
  std::vector<FaultScheduleResult> results(aOptions.mScheduleCount);
  RunParallel(results.size(), aOptions.mJobs, [&](std::size_t aTaskIndex) {
    results[aTaskIndex] = RunFaultSchedule(aOptions.mFirstSeed + aTaskIndex, false);
  });
  std::uint64_t signature = 0;
  std::uint64_t queries = 0;
  std::uint64_t violations = 0;
  std::uint64_t failing = 0;
  for (std::size_t i = 0; i < results.size(); ++i) {
    signature = CombineHashes(signature, results[i].mSignature);
    queries += results[i].mQueries;
    violations += results[i].mViolations.size();
    if (!results[i].mViolations.empty() && ++failing <= kMaxShownViolations) {
      PrintViolations(fmt::format("seed {}", aOptions.mFirstSeed + i), results[i].mViolations);
    }
  }
  fmt::print("schedules={} queries={} violations={} failing_seeds={} signature={:016x}\n",
             results.size(),
             queries,
             violations,
             failing,
             signature);
  return aOptions.mCheckThresholds != 0 && violations > 0 ? kExitFailure : kExitOk;
}

int
TraceSchedule(const BenchOptions& aOptions)
{
  const FaultScheduleResult result =
    RunFaultSchedule(static_cast<std::uint64_t>(aOptions.mSeed), true);
  fmt::print("seed={} queries={} violations={} signature={:016x}\n",
             aOptions.mSeed,
             result.mQueries,
             result.mViolations.size(),
             result.mSignature);
  return kExitOk;
}

} // namespace

int
main(int argc, char** argv)
{
  BenchOptions options;
  int exitCode = kExitOk;
  if (!ParseOptions(argc, argv, options, exitCode)) {
    return exitCode;
  }
  if (options.mControl != 0) {
    fmt::print("{}", MeasureControl());
    return kExitOk;
  }
  exitCode = options.mTrace != 0       ? TraceSchedule(options)
             : options.mSchedules != 0 ? RunSchedules(options)
                                       : RunScenarios(options);
  free(options.mScenario);
  return exitCode;
}
