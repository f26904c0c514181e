// apricot-schedules: runs randomized schedules of a Raft group and reports violated checks. It also
// measures restart time and commit latency.
#include "cmdline.h"
#include "log.h"
#include "raft_node.h"
#include "raft_schedule.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <thread>

#include <absl/synchronization/mutex.h>
#include <fmt/format.h>
#include <popt.h>

using namespace apricotyard;

namespace {

// A run stops after this many failed seeds.
constexpr std::uint64_t kMaxFailures = 20;

struct RunTotals
{
  absl::Mutex mMutex;
  RaftScheduleResult mSum;
  std::uint64_t mFailures = 0;
};

void
AddResult(RunTotals& aTotals, const RaftScheduleResult& aResult)
{
  absl::MutexLock lock(&aTotals.mMutex);
  aTotals.mSum.mEvents += aResult.mEvents;
  aTotals.mSum.mAcknowledged += aResult.mAcknowledged;
  aTotals.mSum.mReads += aResult.mReads;
  aTotals.mSum.mCrashes += aResult.mCrashes;
  aTotals.mSum.mDisksLost += aResult.mDisksLost;
  aTotals.mSum.mElections += aResult.mElections;
  aTotals.mSum.mGroupRestarts += aResult.mGroupRestarts;
  aTotals.mSum.mWaitsEnded += aResult.mWaitsEnded;
  aTotals.mSum.mMemberChanges += aResult.mMemberChanges;
  aTotals.mSum.mSnapshotsInstalled += aResult.mSnapshotsInstalled;
  if (!aResult.mFailure.empty()) {
    ++aTotals.mFailures;
    fmt::print("FAILED {}\n", aResult.mFailure);
    std::fflush(stdout);
  }
}

bool
TooManyFailures(RunTotals& aTotals)
{
  absl::MutexLock lock(&aTotals.mMutex);
  return aTotals.mFailures >= kMaxFailures;
}

int
RunSeeds(const Chart& aChart, std::uint64_t aFirst, std::uint64_t aCount, int aJobs)
{
  RunTotals totals;
  std::atomic<std::uint64_t> next{ aFirst };
  const auto start = std::chrono::steady_clock::now();
  std::vector<std::thread> threads;
  for (int i = 0; i < aJobs; ++i) {
    threads.emplace_back([&] {
      for (std::uint64_t seed = next++; seed < aFirst + aCount && !TooManyFailures(totals);
           seed = next++) {
        AddResult(totals, RunRaftSchedule(aChart, seed, false));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
  const RaftScheduleResult& sum = totals.mSum;
  fmt::print(
    "seeds {} to {}: {} failed, {:.1f} s\n"
    "events {}, acknowledged {}, reads {}, elections {}, crashes {}, disks lost {}, "
    "membership changes {}, snapshots restored {}, group restarts {}, waits ended early {}\n",
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
    sum.mSnapshotsInstalled,
    sum.mGroupRestarts,
    sum.mWaitsEnded);
  return totals.mFailures == 0 ? kExitOk : kExitFailure;
}

int
TraceSeed(const Chart& aChart, std::uint64_t aSeed)
{
  const RaftScheduleResult result = RunRaftSchedule(aChart, aSeed, true);
  for (const std::string& line : result.mTrace) {
    fmt::print("{}\n", line);
  }
  fmt::print("{}\n", result.mFailure.empty() ? "every check held" : result.mFailure);
  return result.mFailure.empty() ? kExitOk : kExitFailure;
}

using Clock = std::chrono::steady_clock;

double
SecondsSince(Clock::time_point aStart)
{
  return std::chrono::duration<double>(Clock::now() - aStart).count();
}

// A state machine that counts the applied commands.
StateMachine
CountingMachine(std::uint64_t& aCount)
{
  return { [&aCount](std::uint64_t, std::string_view) {
            ++aCount;
            return std::string();
          },
           [&aCount] { return std::to_string(aCount); },
           [&aCount](std::string_view aData) -> Expected<void> {
             aCount = std::strtoull(std::string(aData).c_str(), nullptr, 10);
             return {};
           } };
}

// Measures the time to open a log of aRecords entries without a snapshot, the longest log that a
// restart can encounter.
Expected<void>
MeasureRestart(const Chart& aChart, const std::string& aFolder, std::uint64_t aRecords)
{
  constexpr std::uint64_t kBatchEntries = 100;
  {
    auto storage = Storage::Open(SystemFileOps(), aFolder, "measure", 1);
    if (!storage) {
      return tl::unexpected(storage.error());
    }
    for (std::uint64_t index = 1; index <= aRecords; index += kBatchEntries) {
      std::vector<LogEntry> entries;
      for (std::uint64_t i = 0; i < kBatchEntries; ++i) {
        entries.push_back({ index + i, 1, EntryKind::Command, std::string(200, 'x') });
      }
      if (auto done = (*storage)->Append(entries); !done) {
        return done;
      }
    }
  }
  const auto start = Clock::now();
  auto storage = Storage::Open(SystemFileOps(), aFolder, "measure", 1);
  if (!storage) {
    return tl::unexpected(storage.error());
  }
  std::uint64_t count = 0;
  const auto member = RaftMember::Open(
    {},
    aChart,
    std::move(*storage),
    CountingMachine(count),
    [](const RaftMessage&) {},
    SteadyNow());
  if (!member) {
    return tl::unexpected(member.error());
  }
  fmt::print("restart with {} records of 200 bytes: {:.3f} s\n",
             RaftLastIndex((*member)->Core()),
             SecondsSince(start));
  return {};
}

// One of three members, each with its own loop and thread, connected by gRPC over loopback and
// syncing to a real disk.
struct MeasuredMember
{
  Loop mLoop;
  std::uint64_t mCount = 0;
  std::unique_ptr<RaftNode> mNode;
  std::thread mThread;
};

// Sends a new proposal for each one that succeeds, until mEnd. Propose must run on the loop of the
// leader.
struct Proposer
{
  RaftNode& mNode;
  Clock::time_point mEnd;
  std::vector<double> mLatencies;
  std::uint64_t mFailed = 0;
  std::atomic<int> mInFlight{ 0 };

  void Propose()
  {
    const auto start = Clock::now();
    ++mInFlight;
    mNode.Propose(std::string(200, 'x'), [this, start](const Expected<std::string>& aOutcome) {
      mFailed += aOutcome ? 0U : 1U;
      mLatencies.push_back(SecondsSince(start));
      if (Clock::now() < mEnd && aOutcome) {
        Propose();
      }
      --mInFlight;
    });
  }
};

void
MeasureCommitLatency(MeasuredMember& aLeader, int aInFlight)
{
  constexpr std::chrono::seconds kDuration{ 5 };
  Proposer proposer{ *aLeader.mNode, Clock::now() + kDuration, {}, 0, {} };
  const auto start = Clock::now();
  aLeader.mLoop.Post([&] {
    for (int i = 0; i < aInFlight; ++i) {
      proposer.Propose();
    }
  });
  std::this_thread::sleep_for(kDuration);
  while (proposer.mInFlight > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  const double took = SecondsSince(start);
  std::vector<double>& latencies = proposer.mLatencies;
  std::sort(latencies.begin(), latencies.end());
  fmt::print("{} open proposals: {:.0f} per second, p50 {:.2f} ms, p99 {:.2f} ms, {} failed\n",
             aInFlight,
             static_cast<double>(latencies.size()) / took,
             latencies[latencies.size() / 2] * 1000,
             latencies[latencies.size() * 99 / 100] * 1000,
             proposer.mFailed);
}

Expected<void>
MeasureGroup(const std::string& aChart, const std::string& aFolder)
{
  constexpr std::uint16_t kFirstPort = 7480;
  std::vector<LogMember> initial;
  for (std::uint16_t i = 0; i < 3; ++i) {
    initial.push_back(
      { fmt::format("m{}", i), { "127.0.0.1", static_cast<std::uint16_t>(kFirstPort + i) } });
  }
  std::vector<std::unique_ptr<MeasuredMember>> members;
  for (const LogMember& item : initial) {
    auto member = std::make_unique<MeasuredMember>();
    auto node = RaftNode::Builder(member->mLoop)
                  .Name(item.mId)
                  .Folder(aFolder + "/" + item.mId)
                  .Address(item.mAddress)
                  .InitialMembers(initial)
                  .Machine(CountingMachine(member->mCount))
                  .ChartFile(aChart)
                  .Start();
    if (!node) {
      return tl::unexpected(node.error());
    }
    member->mNode = std::move(*node);
    members.push_back(std::move(member));
  }
  std::atomic<MeasuredMember*> leader{ nullptr };
  for (const auto& member : members) {
    MeasuredMember* const raw = member.get();
    raw->mLoop.AddPeriodic(std::chrono::milliseconds(20), [raw, &leader] {
      if (raw->mNode && raw->mNode->Status().mLeading) {
        leader = raw;
      }
    });
    raw->mThread = std::thread([raw] { raw->mLoop.Run(); });
  }
  while (leader == nullptr) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  for (const int inFlight : { 1, 16, 64, 256 }) {
    MeasureCommitLatency(*leader, inFlight);
  }
  for (const auto& member : members) {
    member->mLoop.Stop();
    member->mThread.join();
    member->mNode.reset();
  }
  return {};
}

int
Measure(const Chart& aChart, const std::string& aChartFile, const std::string& aFolder)
{
  std::error_code error;
  if (!std::filesystem::create_directories(aFolder, error)) {
    fmt::print(stderr, "{} exists already or cannot be created\n", aFolder);
    return kExitFailure;
  }
  auto done = MeasureRestart(aChart, aFolder + "/restart", 100'000);
  if (done) {
    done = MeasureGroup(aChartFile, aFolder);
  }
  std::filesystem::remove_all(aFolder, error);
  if (!done) {
    fmt::print(stderr, "{}\n", done.error().mMessage);
  }
  return done ? kExitOk : kExitFailure;
}

} // namespace

int
main(int argc, char** argv)
{
  char* chartFile = nullptr;
  char* first = nullptr;
  char* seed = nullptr;
  char* measureFolder = nullptr;
  int jobs = 3;
  const poptOption options[] = {
    { "seeds", 0, POPT_ARG_STRING, &first, 0, "run COUNT seeds, starting at FIRST", "FIRST COUNT" },
    { "seed", 0, POPT_ARG_STRING, &seed, 0, "run one seed and print its trace", "N" },
    { "measure",
      0,
      POPT_ARG_STRING,
      &measureFolder,
      0,
      "measure restart time and commit latency in a new folder",
      "FOLDER" },
    { "jobs", 0, POPT_ARG_INT, &jobs, 0, "threads (default 3)", "N" },
    { "chart", 0, POPT_ARG_STRING, &chartFile, 0, "chart of the member roles", "FILE" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context =
    poptGetContext("apricot-schedules", argc, const_cast<const char**>(argv), options, 0);
  const int parsed = poptGetNextOpt(context);
  const char* const count = poptGetArg(context);
  const bool validArguments =
    parsed == -1 &&
    (seed != nullptr || measureFolder != nullptr || (first != nullptr && count != nullptr)) &&
    jobs >= 1 && jobs <= 64;
  if (!validArguments) {
    poptPrintUsage(context, stderr, 0);
    return kExitUsage;
  }
  SetLogLevel(LogLevel::Error);
  const std::string file = chartFile != nullptr ? chartFile : "charts/control_member.toml";
  const auto chart = LoadChart(file);
  if (!chart || !CheckRaftChart(*chart)) {
    fmt::print(stderr,
               "{}\n",
               chart ? "the states or events of the chart differ from the code"
                     : chart.error().mMessage);
    return kExitFailure;
  }
  int result = kExitOk;
  if (measureFolder != nullptr) {
    result = Measure(*chart, file, measureFolder);
  } else if (seed != nullptr) {
    result = TraceSeed(*chart, std::strtoull(seed, nullptr, 10));
  } else {
    result =
      RunSeeds(*chart, std::strtoull(first, nullptr, 10), std::strtoull(count, nullptr, 10), jobs);
  }
  poptFreeContext(context);
  return result;
}
