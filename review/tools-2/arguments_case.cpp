// Requests whose query has many arguments, within max_header_bytes. Counts those that have no
// answer half a second after the timeout of their route.
#include "rig.h"

using namespace rig;

namespace {

constexpr int kRequests = 20;
constexpr int kArguments = 600;
constexpr int kFewArguments = 10;
constexpr double kTimeout = 1.0;
// Rule CONFIG: eight or more, and over a quarter, have no final answer so long after the timeout.
constexpr double kSlack = 0.5;
constexpr int kMinUnanswered = 8;

const char* const kConfiguration =
  "{\"version\":7,\"routes\":[{\"name\":\"r-logbook\",\"host\":\"logbook.example\",\"path_prefix\":"
  "\"/logbook/\",\"route_type\":\"idempotent\",\"timeout_ms\":1000,\"target_latency_ms\":800,"
  "\"priority\":2,\"service\":\"logbook\",\"max_attempts\":2}],\"services\":[{\"name\":\"logbook\","
  "\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],"
  "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
  "\"idle_timeout_ms\":15000}}";

std::string
Request(const std::string& aId, int aArguments)
{
  std::string target = "/logbook/entries?";
  for (int i = 0; i < aArguments; ++i) {
    target += Text("%sid=%d", i == 0 ? "" : "&", 10000 + i);
  }
  return "GET " + target +
         " HTTP/1.1\r\nHost: logbook.example\r\nX-Apricotyard-Request-Id: " + aId +
         "\r\nX-Apricotyard-Deadline-Ms: 15000\r\n\r\n";
}

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
  if (!deployment.Configure(kConfiguration, 20) || !deployment.WaitReady(20)) {
    End(deployment, kNotRun, "the deployment did not start");
  }
  Sleep(3);
  int unanswered = 0;
  int plain = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = Text("c%07d", i);
    const std::string request = Request(id, Trouble() ? kArguments : kFewArguments);
    const int fd = Connect(deployment.GatewayIp(0), kFrontPort, 1);
    Reader reader(fd);
    // The connection works: it has carried a plain request.
    plain += fd >= 0 && SendAll(fd, Request(Text("p%07d", i), 1)) && reader.Read(3).Status() == 200
               ? 1
               : 0;
    const double sentAt = Now();
    const Message answer = SendAll(fd, request) ? reader.Read(kTimeout + kSlack) : Message{};
    unanswered += answer.mComplete ? 0 : 1;
    Say(Text("request %s, %zu bytes of headers: %s after %.2f s",
             id.c_str(),
             request.size(),
             answer.mComplete   ? answer.mFirstLine.c_str()
             : answer.mTimedOut ? "no answer"
                                : "closed without an answer",
             Now() - sentAt));
    close(fd);
  }
  std::map<std::string, int> runs;
  for (const auto& replica : replicas) {
    replica->CountRuns(runs);
  }
  Say(Text("%d of %d plain requests on the same connections were answered; %zu requests ran",
           plain,
           kRequests,
           runs.size()));
  if (!deployment.Ended().empty() || plain < kRequests) {
    End(deployment, kNotRun, "a process ended, or plain requests were not answered");
  }
  End(deployment,
      unanswered >= kMinUnanswered && 4 * unanswered > kRequests ? kBroken : kHeld,
      Text("%d of %d requests had no answer %.1f s after their route's timeout",
           unanswered,
           kRequests,
           kSlack));
}
