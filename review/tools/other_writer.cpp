// ROUTE: a heartbeat from another writer, in which a field is missing, bears the id of a replica and names another service. It
// moves the replica, and requests of the other service run there.
#include "case.h"

using namespace review;

namespace {

constexpr const char* kStamp = "3e1b.07.5a2.600.0.c9f2a4d1";
constexpr int kRequests = 120;

std::mutex gMutex;
// Requests that ran, by id: the service of the replica.
std::map<std::string, std::string> gRun;
std::map<std::string, std::string> gServiceOf;

bool
Serve(Replica& aReplica, Stream& aStream, const Message& aHead)
{
  std::string body;
  if (!ReadBody(aStream, aHead, body, 10)) {
    return false;
  }
  const std::string id = aHead.Header("x-apricotyard-request-id");
  const std::string expected = aHead.Header("x-apricotyard-expect-instance");
  if (!expected.empty() && expected != aReplica.Id()) {
    return aStream.Send(MakeAnswer(
      "421 Misdirected", { { "X-Apricotyard-Request-Id", id }, { "X-Apricotyard-Not-Executed", "1" } }, ""));
  }
  {
    std::lock_guard lock(gMutex);
    gRun[id] = gServiceOf[aReplica.Id()];
    gRecord.Line("replica %s of %s: runs %s", aReplica.Id().c_str(), gRun[id].c_str(), id.c_str());
  }
  Sleep(0.01);
  return aStream.Send(MakeAnswer(
    "200 OK", { { "X-Apricotyard-Request-Id", id }, { "X-Apricotyard-Server-Stamp", kStamp } }, "answer"));
}

} // namespace

int
main(int argc, char** argv)
{
  const bool trouble = Begin(argc, argv);
  Fleet fleet(argv[2]);
  gFleet = &fleet;
  for (int i = 1; i <= 3; ++i) {
    fleet.Add("core-" + std::to_string(i), "bolu", true);
  }
  Host& gateway = fleet.Add("edge-1", "bolu", false);
  fleet.StartAll();
  std::vector<std::pair<std::string, int>> coordinators;
  for (const Host* host : fleet.Coordinators()) {
    coordinators.emplace_back(host->mIp, fleet.Control());
  }
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 1; i <= 4; ++i) {
    const std::string service = i <= 2 ? "uye" : "aidat";
    const std::string id = "i-" + MakeId();
    gServiceOf[id] = service;
    replicas.push_back(std::make_unique<Replica>(id, service, "bolu", fleet.Ip(100 + i), Serve));
    replicas.back()->Announce(coordinators);
  }
  const std::string config =
    R"({"version":7,"routes":[{"name":"logbook","host":"uye.example","path_prefix":"/defter/","route_type":"idempotent","timeout_ms":4000,"target_latency_ms":800,"priority":2,"service":"uye","max_attempts":2},{"name":"dues","host":"aidat.example","path_prefix":"/aidat/","route_type":"idempotent","timeout_ms":4000,"target_latency_ms":800,"priority":2,"service":"aidat","max_attempts":2}],"services":[{"name":"uye","health_path":"/health","max_connections":110,"protocol":"h1","tls":false},{"name":"aidat","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
  if (!fleet.PutConfig(config, 20) || !fleet.WaitReady(gateway, 20)) {
    CannotRun("the deployment does not come up");
  }
  Sleep(5);
  Replica& moved = *replicas[0];
  if (trouble) {
    // All fields are those of the page, and of their types, but two are missing: version and warmup_left_ms.
    const std::string body = "{\"service\":\"aidat\",\"address\":\"" + moved.Ip() + ":" + std::to_string(moved.Port()) +
                             "\",\"zone\":\"bolu\",\"slots\":5,\"state\":\"ready\",\"sequence\":" +
                             std::to_string(moved.Sequence() + 10) + ",\"born\":" + std::to_string(moved.Born()) + "}";
    const Message answer = Call(
      coordinators[0].first,
      coordinators[0].second,
      MakeRequest("PUT", "/instances/" + moved.Id(), "control", { { "Content-Type", "application/json" } }, body),
      1.0);
    gRecord.Line("other writer: %s answered %d", body.c_str(), answer.Status());
  }
  Sleep(2);
  int broken = 0;
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = MakeId();
    gRecord.Line("client: sends %s to the route of aidat", id.c_str());
    const Message answer = Call(gateway.mIp,
                                fleet.Front(),
                                MakeRequest("GET",
                                            "/aidat/view",
                                            "aidat.example",
                                            { { "X-Apricotyard-Request-Id", id }, { "X-Apricotyard-Deadline-Ms", "4000" } },
                                            ""),
                                4.0);
    gRecord.Line("client: %s answered %d", id.c_str(), answer.Status());
    served += answer.Status() == 200 ? 1 : 0;
    std::lock_guard lock(gMutex);
    if (gRun.count(id) != 0 && gRun[id] != "aidat") {
      ++broken;
      gRecord.Line("BROKEN: %s was run by the service %s, to which no configuration sends it", id.c_str(), gRun[id].c_str());
    }
    Sleep(0.05);
  }
  gRecord.Line("%d of %d requests were run by a service to which no configuration sends them, %d were served", broken, kRequests, served);
  if (fleet.AnyEnded()) {
    gRecord.Line("a process of the system ended");
  }
  if (served == 0) {
    CannotRun("no request is served");
  }
  Finish(broken > 0 ? 1 : 0);
}
