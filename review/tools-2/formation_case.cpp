// One of three coordinators loses its disk while the system starts for the first time, and returns
// with an empty one. Then the operator sends the first configuration and clients send requests.
#include "rig.h"

using namespace rig;

namespace {

// The loss, in seconds after the start of the machines, and the time until the machine is back.
constexpr double kLossAt = 0.3;
constexpr double kDownTime = 1.0;
// Time for the operator's order after the machine is back. Bounds of the deployment: ack_ms 5,000,
// catchup_s 4, recovery_s 12.
constexpr double kOrderTime = 45;
constexpr double kRequestTime = 10;

const char* const kConfiguration =
  "{\"version\":7,\"routes\":[{\"name\":\"r-logbook\",\"host\":\"logbook.example\",\"path_prefix\":"
  "\"/logbook/\",\"route_type\":\"idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":800,"
  "\"priority\":2,\"service\":\"logbook\",\"max_attempts\":2}],\"services\":[{\"name\":\"logbook\","
  "\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],"
  "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
  "\"idle_timeout_ms\":15000}}";

} // namespace

int
main(int argc, char** argv)
{
  Record record(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
  gRecord = &record;
  Deployment deployment(1);
  deployment.StartAll();
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 0; i < 3; ++i) {
    replicas.push_back(
      std::make_unique<Replica>(deployment, i, "logbook", Text("i-%04x", 0x7f3a + i), 0.02));
  }
  Sleep(kLossAt);
  if (Trouble()) {
    deployment.Signal("core-1", SIGKILL);
    const std::string remove = "rm -rf " + deployment.Folder() + "/core-1";
    [[maybe_unused]] const int removed = system(remove.c_str());
    Say("core-1 was killed and its disk is empty");
    Sleep(kDownTime);
    // DEPLOY.md: a machine that lost its disk restarts with bootstrap set to false.
    deployment.StartCoordinator(0, false);
  } else {
    Sleep(kDownTime);
  }
  const double backAt = Now();
  const bool acknowledged = deployment.Configure(kConfiguration, kOrderTime);
  Say(Text("all machines run since %.1f s; the first configuration was %s",
           Now() - backAt,
           acknowledged ? "acknowledged" : "not acknowledged"));
  int sent = 0;
  int served = 0;
  std::map<int, int> statuses;
  for (const double until = Now() + kRequestTime; Now() < until; ++sent) {
    const int fd = Connect(deployment.GatewayIp(0), kFrontPort, 1);
    const std::string id = Text("c%07d", sent);
    Message answer;
    if (fd >= 0 &&
        SendAll(fd,
                "GET /logbook/2f HTTP/1.1\r\nHost: logbook.example\r\nX-Apricotyard-Request-Id: " +
                  id + "\r\nX-Apricotyard-Deadline-Ms: 3000\r\n\r\n")) {
      answer = Reader(fd).Read(4);
    }
    close(fd);
    Note(Text("request %s: %d", id.c_str(), answer.Status()));
    ++statuses[answer.Status()];
    served +=
      answer.Status() == 200 && !answer.Header("x-apricotyard-server-stamp").empty() ? 1 : 0;
    Sleep(0.1);
  }
  for (const auto& [status, count] : statuses) {
    Say(Text("%d of %d requests: status %d", count, sent, status));
  }
  if (!deployment.Ended().empty()) {
    End(deployment, kNotRun, "a process ended");
  }
  End(deployment,
      !acknowledged && served == 0 ? kBroken : kHeld,
      Text("%d of %d requests were served", served, sent));
}
