// apricot-schedules: runs randomized schedules of the control group and reports what they break.
#include "cmdline.h"
#include "log.h"
#include "raft.h"
#include "raft_schedule.h"

#include <atomic>
#include <cstdlib>
#include <thread>

#include <absl/synchronization/mutex.h>
#include <fmt/format.h>
#include <popt.h>

using namespace apricotyard;

namespace {

// Failures printed before a run gives up.
constexpr std::uint64_t kMaxFailures = 20;

struct Totals
{
  absl::Mutex mMutex;
  ScheduleResult mSum;
  std::uint64_t mFailures = 0;
};

void
Add(Totals& aTotals, const ScheduleResult& aResult)
{
  absl::MutexLock lock(&aTotals.mMutex);
  aTotals.mSum.mEvents += aResult.mEvents;
  aTotals.mSum.mAcknowledged += aResult.mAcknowledged;
  aTotals.mSum.mReads += aResult.mReads;
  aTotals.mSum.mCrashes += aResult.mCrashes;
  aTotals.mSum.mDisksLost += aResult.mDisksLost;
  aTotals.mSum.mElections += aResult.mElections;
  aTotals.mSum.mMemberChanges += aResult.mMemberChanges;
  aTotals.mSum.mSnapshotsInstalled += aResult.mSnapshotsInstalled;
  if (!aResult.mFailure.empty()) {
    ++aTotals.mFailures;
    fmt::print("FAILED {}\n", aResult.mFailure);
    std::fflush(stdout);
  }
}

bool
GaveUp(Totals& aTotals)
{
  absl::MutexLock lock(&aTotals.mMutex);
  return aTotals.mFailures >= kMaxFailures;
}

int
RunMany(const Chart& aChart, std::uint64_t aFirst, std::uint64_t aCount, int aJobs)
{
  Totals totals;
  std::atomic<std::uint64_t> next{ aFirst };
  const auto start = std::chrono::steady_clock::now();
  std::vector<std::thread> threads;
  for (int i = 0; i < aJobs; ++i) {
    threads.emplace_back([&] {
      for (std::uint64_t seed = next++; seed < aFirst + aCount && !GaveUp(totals); seed = next++) {
        Add(totals, RunSchedule(aChart, seed, false));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
  const ScheduleResult& sum = totals.mSum;
  fmt::print("seeds {} to {}: {} failed, {:.1f} s\n"
             "events {}, acknowledged {}, reads {}, elections {}, crashes {}, disks lost {}, "
             "membership changes {}, snapshots restored {}\n",
             aFirst,
             aFirst + aCount - 1,
             totals.mFailures,
             took.count(),
             sum.mEvents,
             sum.mAcknowledged,
             sum.mReads,
             sum.mElections,
             sum.mCrashes,
             sum.mDisksLost,
             sum.mMemberChanges,
             sum.mSnapshotsInstalled);
  return totals.mFailures == 0 ? kExitOk : kExitFailure;
}

int
RunOne(const Chart& aChart, std::uint64_t aSeed)
{
  const ScheduleResult result = RunSchedule(aChart, aSeed, true);
  for (const std::string& line : result.mTrace) {
    fmt::print("{}\n", line);
  }
  fmt::print("{}\n", result.mFailure.empty() ? "every check held" : result.mFailure);
  return result.mFailure.empty() ? kExitOk : kExitFailure;
}

} // namespace

int
main(int argc, char** argv)
{
  char* chartFile = nullptr;
  char* first = nullptr;
  char* seed = nullptr;
  int jobs = 3;
  const poptOption options[] = {
    { "seeds", 0, POPT_ARG_STRING, &first, 0, "run COUNT seeds from FIRST on", "FIRST COUNT" },
    { "seed", 0, POPT_ARG_STRING, &seed, 0, "run one seed and print its trace", "N" },
    { "jobs", 0, POPT_ARG_INT, &jobs, 0, "threads (default 3)", "N" },
    { "chart", 0, POPT_ARG_STRING, &chartFile, 0, "chart of the member roles", "FILE" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context =
    poptGetContext("apricot-schedules", argc, const_cast<const char**>(argv), options, 0);
  const int parsed = poptGetNextOpt(context);
  const char* const count = poptGetArg(context);
  const bool good = parsed == -1 && (seed != nullptr || (first != nullptr && count != nullptr)) &&
                    jobs >= 1 && jobs <= 64;
  if (!good) {
    poptPrintUsage(context, stderr, 0);
    return kExitUsage;
  }
  SetLogLevel(LogLevel::Error);
  const auto chart = LoadChart(chartFile != nullptr ? chartFile : "charts/control_member.toml");
  if (!chart || !CheckRaftChart(*chart)) {
    fmt::print(stderr, "{}\n", chart ? "the chart has other states" : chart.error().mMessage);
    return kExitFailure;
  }
  const int result =
    seed != nullptr
      ? RunOne(*chart, std::strtoull(seed, nullptr, 10))
      : RunMany(*chart, std::strtoull(first, nullptr, 10), std::strtoull(count, nullptr, 10), jobs);
  poptFreeContext(context);
  return result;
}
