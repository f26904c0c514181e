// Requests whose headers stay within max_header_bytes, on kept connections. Counts those that a
// sound replica ran and whose connection the gateway closed without an answer.
#include "rig.h"

#include <set>

using namespace rig;

namespace {

constexpr int kShards = 10;
constexpr int kMaxHeaderBytes = 16384;
// Bytes of each further header, its line end included, and the step between two sizes of requests.
constexpr int kLineBytes = 40;
constexpr int kStepBytes = 10;
// Rule LOST: more than three times.
constexpr int kAllowedLosses = 3;

std::string
Configuration()
{
  std::string shards;
  std::string services;
  for (int i = 0; i < kShards; ++i) {
    shards += Text("%s\"shard%d\"", i == 0 ? "" : ",", i);
    services += Text("%s{\"name\":\"shard%d\",\"health_path\":\"/health\",\"max_connections\":41,"
                     "\"protocol\":\"h1\",\"tls\":false}",
                     i == 0 ? "" : ",",
                     i);
  }
  return Text("{\"version\":7,\"routes\":[{\"name\":\"r-cards\",\"host\":\"cards.example\","
              "\"path_prefix\":\"/cards/\",\"route_type\":\"idempotent\",\"timeout_ms\":3000,"
              "\"target_latency_ms\":500,\"priority\":1,\"gather\":[%s],\"max_attempts\":2,"
              "\"top_k\":5,\"min_coverage\":0.75}],\"services\":[%s],\"limits\":"
              "{\"max_header_bytes\":%d,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
              "\"idle_timeout_ms\":15000}}",
              shards.c_str(),
              services.c_str(),
              kMaxHeaderBytes);
}

std::string
Request(const std::string& aId, int aExtraBytes)
{
  const int lines = aExtraBytes / kLineBytes;
  const int rest = aExtraBytes % kLineBytes;
  std::string text =
    "GET /cards/2f HTTP/1.1\r\nHost: cards.example\r\nX-Apricotyard-Request-Id: " + aId +
    "\r\nX-Apricotyard-Deadline-Ms: 2500\r\n";
  for (int i = 0; i < lines; ++i) {
    std::string line = Text("X-Trace-%04d: ", i);
    // The last one is longer by the rest.
    line.append(kLineBytes - 2 - line.size() + (i + 1 == lines ? rest : 0), 'v');
    text += line + "\r\n";
  }
  return text + "\r\n";
}

} // namespace

int
main(int argc, char** argv)
{
  Record record(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
  gRecord = &record;
  // Without the disruption the headers have 2,000 bytes at most.
  const int maxBytes = Trouble() ? kMaxHeaderBytes : 2000;
  Deployment deployment(1);
  deployment.StartAll();
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 0; i < kShards; ++i) {
    replicas.push_back(std::make_unique<Replica>(
      deployment, i, Text("shard%d", i), Text("i-%04x", 0x7f3a + i), 0.005));
    // Noted once for each request, below.
    replicas.back()->mNotesRuns = false;
  }
  if (!deployment.Configure(Configuration(), 20) || !deployment.WaitReady(20)) {
    End(deployment, kNotRun, "the deployment did not start");
  }
  Sleep(3);
  int sent = 0;
  int lost = 0;
  std::map<std::string, int> results;
  std::map<std::string, int> bytesOf;
  std::vector<std::string> closed;
  int fd = -1;
  std::unique_ptr<Reader> reader;
  for (int extra = 0; Now() < 90; extra += kStepBytes) {
    const std::string id = Text("c%07d", extra);
    const std::string request = Request(id, extra);
    if (static_cast<int>(request.size()) > maxBytes) {
      break;
    }
    // The connection is kept: it has carried a request before.
    if (fd < 0) {
      fd = Connect(deployment.GatewayIp(0), kFrontPort, 1);
      reader = std::make_unique<Reader>(fd);
      if (fd < 0 || !SendAll(fd, Request(Text("k%07d", extra), 0)) ||
          reader->Read(3).Status() != 200) {
        End(deployment, kNotRun, "a plain request was not answered");
      }
    }
    ++sent;
    bytesOf[id] = static_cast<int>(request.size());
    const bool written = SendAll(fd, request);
    const Message answer = written ? reader->Read(4) : Message{};
    const std::string result = answer.mComplete   ? answer.mFirstLine
                               : answer.mTimedOut ? "no answer in 4 s"
                                                  : "closed without an answer";
    ++results[result];
    Note(Text("request %s, %zu bytes of headers: %s", id.c_str(), request.size(), result.c_str()));
    if (!answer.mComplete) {
      closed.push_back(id);
    }
    if (!answer.mComplete || Lower(answer.Header("connection")) == "close") {
      close(fd);
      fd = -1;
    }
  }
  std::map<std::string, int> runs;
  for (const auto& replica : replicas) {
    replica->CountRuns(runs);
  }
  for (const auto& [id, bytes] : bytesOf) {
    Note(Text("request %s ran on %d replicas", id.c_str(), runs[id]));
  }
  for (const std::string& id : closed) {
    if (runs[id] > 0) {
      ++lost;
      Say(Text("request %s, %d bytes of headers, ran on %d replicas and its connection was closed "
               "without an answer",
               id.c_str(),
               bytesOf[id],
               runs[id]));
    }
  }
  for (const auto& [result, count] : results) {
    Say(Text("%d of %d requests: %s", count, sent, result.c_str()));
  }
  if (!deployment.Ended().empty() || sent < 20) {
    End(deployment, kNotRun, "a process ended, or too few requests were sent");
  }
  End(deployment,
      lost > kAllowedLosses ? kBroken : kHeld,
      Text("%d requests were passed on and closed without an answer; %d are allowed",
           lost,
           kAllowedLosses));
}
