// Another writer sends heartbeats that cannot be read. The platform ends a process that takes more than
// memory_mb, and starts it again. Fault: coordinators end by themselves three times, on half of the core.
#include "rig.h"

using namespace rig;

namespace {

// memory_mb of a core machine in the site files.
constexpr long kMemoryMb = 256;
constexpr long kRestartDelayMs = 500;
constexpr long kHeartbeatMs = 1200;
constexpr long kTroubleMs = 30'000;
// Smaller than what a coordinator refuses by its length.
constexpr size_t kHeartbeatBytes = 4'000'000;

long
ResidentMb(pid_t aPid)
{
  std::ifstream status("/proc/" + std::to_string(aPid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmRSS:", 0) == 0) {
      return std::atol(line.c_str() + 6) / 1024;
    }
  }
  return 0;
}

} // namespace

int
main(int, char** aArguments)
{
  Record::Open(aArguments[1]);
  const bool trouble = WithTrouble();
  Deployment deployment(aArguments[2], 3, 1);
  deployment.Start();
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 1; i <= 2; ++i) {
    Replica::Settings settings;
    settings.mId = "i-" + std::to_string(i);
    settings.mService = "billing";
    settings.mZone = deployment.Zone(0);
    settings.mAddress = deployment.Replica(i);
    replicas.push_back(std::make_unique<Replica>(deployment, settings));
    if (!replicas.back()->Start()) {
      return kCouldNotRun;
    }
  }
  if (!deployment.PutConfig(MakeConfig(1, { { "billing", true, 4000, 2 } }), 20'000) ||
      !deployment.WaitReady(20'000)) {
    Record::Line("the deployment did not start");
    return kCouldNotRun;
  }
  Record::Line("the configuration is acknowledged, the gateway is ready");
  // The platform.
  std::atomic<bool> running{ true };
  std::vector<int> ends(deployment.Coordinators().size(), 0);
  std::vector<long> largest(ends.size(), 0);
  std::thread platform([&] {
    while (running) {
      for (size_t i = 0; i < ends.size(); ++i) {
        Process& process = deployment.Coordinators()[i];
        const long size = ResidentMb(process.mPid);
        largest[i] = std::max(largest[i], size);
        const bool ended = !process.Running();
        if (ended || size > kMemoryMb) {
          ++ends[i];
          Record::Line("%s %s with %ld MB in memory", process.mName.c_str(),
                       ended ? "has ended" : "is ended by the platform", size);
          if (!ended) {
            process.Kill();
          }
          SleepMs(kRestartDelayMs);
          // Only the first start of the whole system has first_start.
          std::ifstream settings(process.mSettings);
          std::stringstream text;
          text << settings.rdbuf();
          std::string content = text.str();
          const size_t flag = content.find("first_start = true");
          if (flag != std::string::npos) {
            content.replace(flag, 18, "first_start = false");
            std::ofstream(process.mSettings) << content;
          }
          process.Start();
        }
      }
      SleepMs(10);
    }
  });
  std::atomic<int> answered{ 0 };
  std::atomic<int> failed{ 0 };
  std::thread client([&] {
    while (running) {
      const Answer answer = Call(deployment.Front(0), "GET", "/billing/1",
                                 { { "Host", "hufi27.example" },
                                   { "X-Apricotyard-Request-Id", NewRequestId() },
                                   { "X-Apricotyard-Deadline-Ms", "4000" } },
                                 "", 4000);
      ++(answer.mStatus == 200 ? answered : failed);
      SleepMs(50);
    }
  });
  SleepMs(5000);
  // The other writer. Like every caller it moves on to the next machine after a failure.
  const std::string unreadable(kHeartbeatBytes, '[');
  const long until = NowMs() + kTroubleMs;
  for (size_t target = 0; trouble && NowMs() < until;) {
    const long sentAt = NowMs();
    const Answer answer =
      Call(deployment.Control(target % 3), "PUT", "/instances/w-1", {}, unreadable, 1000);
    Record::Line("a heartbeat of %zu bytes that cannot be read to %s: %s%d", unreadable.size(),
                 deployment.Control(target % 3).Text().c_str(),
                 answer.mStatus == 0 ? "no answer, " : "status ", answer.mStatus);
    ++target;
    SleepMs(std::max(0L, sentAt + kHeartbeatMs - NowMs()));
  }
  if (!trouble) {
    SleepMs(10'000);
  }
  const bool changed =
    deployment.PutConfig(MakeConfig(2, { { "billing", true, 3000, 2 } }), 5000);
  Record::Line("a change of the configuration after it: %s", changed ? "acknowledged" : "not acknowledged");
  running = false;
  platform.join();
  client.join();
  for (const auto& replica : replicas) {
    replica->End();
  }
  size_t broken = 0;
  for (size_t i = 0; i < ends.size(); ++i) {
    Record::Line("core-%zu ended by itself %d times; at most %ld MB in memory", i + 1, ends[i], largest[i]);
    broken += ends[i] >= 3 ? 1 : 0;
  }
  Record::Line("%d requests answered with 200, %d otherwise", answered.load(), failed.load());
  if (answered == 0) {
    return kCouldNotRun;
  }
  const bool fault = 2 * broken >= ends.size();
  Record::Line(fault ? "Fault: on half of the core, processes ended three times" : "no fault");
  return fault ? kBroken : kHeld;
}
