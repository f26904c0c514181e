// All replicas of a service crash while many clients ask the same, and at the same moment one
// coordinator loses its disk, right after a change was acknowledged. All are back after some
// seconds. Then counts which requests are served.
#include "rig.h"

#include <algorithm>

using namespace rig;

namespace {

constexpr int kReplicas = 3;
constexpr int kGateways = 2;
// Clients of two kinds of request to the service: all clients of the first kind ask the same.
constexpr int kSameClients = 36;
constexpr int kOtherClients = 4;
// Each client sends a request at this interval, or once the one before has ended.
constexpr double kInterval = 0.8;
constexpr double kWork = 0.6;
constexpr double kDeadline = 3.0;
// The sheet: the replicas of a shard are down for 4.5 s.
constexpr double kDownTime = 4.5;
constexpr double kCoordinatorDownTime = 1.0;
constexpr double kCalmTime = 5;
// Bound of the deployment, and the time that is judged after it.
constexpr double kRecovery = 12;
constexpr double kAfterTime = 30;
// Rule RECOVER: less than a quarter is served.
constexpr double kMinServed = 0.25;

const char* const kRoutes =
  "\"routes\":["
  "{\"name\":\"r-news\",\"host\":\"desk.example\",\"path_prefix\":\"/news/\",\"route_type\":"
  "\"idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":800,\"priority\":2,\"service\":"
  "\"desk\","
  "\"max_attempts\":2},"
  "{\"name\":\"r-logbook\",\"host\":\"desk.example\",\"path_prefix\":\"/logbook/\",\"route_type\":"
  "\"idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":800,\"priority\":2,\"service\":"
  "\"desk\","
  "\"max_attempts\":2}],\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\","
  "\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":"
  "16384,"
  "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

std::string
Configuration(int aVersion)
{
  return Text("{\"version\":%d,", aVersion) + kRoutes;
}

struct Counts
{
  int mSent = 0;
  int mServed = 0;
};

std::mutex gMutex;
enum Phase
{
  Before,
  During,
  // Later than recovery_s after all are back.
  After,
};

// By the kind of request and the phase in which it was sent.
std::map<std::pair<bool, int>, Counts> gCounts;
std::map<std::string, int> gRefusals;
std::atomic<int> gPhase{ Before };
std::atomic<bool> gStop{ false };

// One request with one retry, on new connections, as PROTOCOL.md tells.
bool
Ask(Deployment& aDeployment, int aClient, const std::string& aPath, const std::string& aId)
{
  const double until = Now() + kDeadline;
  for (int attempt = 0; attempt < 2 && Now() < until; ++attempt) {
    const int fd = Connect(aDeployment.GatewayIp((aClient + attempt) % kGateways), kFrontPort, 1);
    const std::string id = aId + Text(".%d", attempt);
    Message answer;
    if (fd >= 0 && SendAll(fd,
                           "GET " + aPath +
                             " HTTP/1.1\r\nHost: desk.example\r\nX-Apricotyard-Request-Id: " + id +
                             Text("\r\nX-Apricotyard-Deadline-Ms: %d\r\n\r\n",
                                  static_cast<int>((until - Now()) * 1000)))) {
      answer = Reader(fd).Read(until - Now());
    }
    close(fd);
    const std::string retryAfter = answer.Header("retry-after");
    Note(Text("%s %s: %d%s",
              id.c_str(),
              aPath.c_str(),
              answer.Status(),
              retryAfter.empty() ? "" : (", Retry-After " + retryAfter).c_str()));
    if (answer.Status() == 200 && !answer.Header("x-apricotyard-server-stamp").empty()) {
      return true;
    }
    if (gPhase == After) {
      const std::lock_guard lock(gMutex);
      const std::size_t name = answer.mBody.find("\"name\":\"");
      ++gRefusals[Text("%d %s",
                       answer.Status(),
                       name == std::string::npos ? "" : answer.mBody.substr(name, 40).c_str())];
    }
    Sleep(std::min(atof(retryAfter.c_str()), (until - Now()) / 3));
  }
  return false;
}

void
RunClient(Deployment& aDeployment, int aClient, bool aSame)
{
  Sleep(kInterval * aClient / (kSameClients + kOtherClients));
  double next = Now();
  for (int n = 0; !gStop; ++n) {
    const std::string id = Text("%c%02d-%05d", aSame ? 's' : 'o', aClient, n);
    const int phase = gPhase;
    const bool served = Ask(aDeployment, aClient, aSame ? "/news/today" : "/logbook/" + id, id);
    {
      const std::lock_guard lock(gMutex);
      Counts& counts = gCounts[{ aSame, phase }];
      ++counts.mSent;
      counts.mServed += served ? 1 : 0;
    }
    next = std::max(next + kInterval, Now());
    Sleep(next - Now());
  }
}

} // namespace

int
main(int argc, char** argv)
{
  Record record(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
  gRecord = &record;
  Deployment deployment(kGateways);
  deployment.StartAll();
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 0; i < kReplicas; ++i) {
    replicas.push_back(
      std::make_unique<Replica>(deployment, i, "desk", Text("i-%04x", 0x7f3a + i), kWork));
  }
  if (!deployment.Configure(Configuration(7), 20) || !deployment.WaitReady(20)) {
    End(deployment, kNotRun, "the deployment did not start");
  }
  Sleep(3);
  for (int i = 0; i < kSameClients + kOtherClients; ++i) {
    std::thread([&deployment, i] { RunClient(deployment, i, i < kSameClients); }).detach();
  }
  Sleep(kCalmTime);
  if (!deployment.Configure(Configuration(8), 10)) {
    End(deployment, kNotRun, "a change was not acknowledged");
  }
  gPhase = During;
  if (Trouble()) {
    Replica::CrashAll(replicas);
    deployment.Signal("core-3", SIGKILL);
    const std::string remove = "rm -rf " + deployment.Folder() + "/core-3";
    [[maybe_unused]] const int removed = system(remove.c_str());
    Say("all replicas of the service have crashed, and core-3 has lost its disk");
    Sleep(kCoordinatorDownTime);
    deployment.StartCoordinator(2, false);
    Sleep(kDownTime - kCoordinatorDownTime);
    for (int i = 0; i < kReplicas; ++i) {
      replicas.push_back(
        std::make_unique<Replica>(deployment, i, "desk", Text("i-%04x", 0x8f3a + i), kWork));
    }
    Say("all are back");
  } else {
    Sleep(kDownTime);
  }
  Sleep(kRecovery);
  gPhase = After;
  Sleep(kAfterTime);
  gStop = true;
  Sleep(kDeadline + 0.5);
  const std::lock_guard lock(gMutex);
  double shares[2] = {};
  for (const int phase : { Before, After }) {
    const Counts& same = gCounts[{ true, phase }];
    const Counts& other = gCounts[{ false, phase }];
    for (const Counts* const counts : { &same, &other }) {
      Say(Text("%s, %s: %d of %d served",
               phase == After ? "later than recovery_s after the return" : "before",
               counts == &same ? "the same request of many clients" : "other requests",
               counts->mServed,
               counts->mSent));
    }
    shares[phase == After ? 1 : 0] =
      static_cast<double>(same.mServed + other.mServed) / std::max(1, same.mSent + other.mSent);
  }
  for (const auto& [refusal, count] : gRefusals) {
    Say(Text("answered after the return: %d times %s", count, refusal.c_str()));
  }
  if (!deployment.Ended().empty() || gCounts[{ false, After }].mServed == 0 ||
      shares[0] < kMinServed) {
    End(deployment, kNotRun, "a process ended, or too little was served");
  }
  End(deployment,
      shares[1] < kMinServed ? kBroken : kHeld,
      Text("%.3f of the requests were served before, %.3f after recovery_s", shares[0], shares[1]));
}
