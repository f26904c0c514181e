// REFUSED: a gateway that reaches no replica passes a request that may run once on to another gateway, where it runs. When the
// route's timeout ends first, the gateway answers 503, which promises that it has not run.
#include "case.h"

using namespace review;

namespace {

constexpr const char* kStamp = "3e1b.07.5a2.600.0.c9f2a4d1";
// One way between two zones of the small deployment.
constexpr double kLinkDelay = 0.0044;
// The news pages cut gateways off for 12 s.
constexpr double kLongestCut = 12;
constexpr int kRequests = 32;
constexpr double kPause = 0.25;
// Within max_body_bytes of the configuration.
constexpr std::size_t kBodyBytes = 200000;

std::mutex gMutex;
std::set<std::string> gRun;

// A sound replica: works for the time that the path names, stops at the deadline that it receives.
bool
Serve(Replica& aReplica, Stream& aStream, const Message& aHead)
{
  std::string body;
  if (!ReadBody(aStream, aHead, body, 10)) {
    return false;
  }
  const std::string id = aHead.Header("x-apricotyard-request-id");
  const std::vector<std::pair<std::string, std::string>> plain = { { "X-Apricotyard-Request-Id", id } };
  Sleep(kLinkDelay);
  if (aHead.Target() == "/health") {
    return aStream.Send(MakeAnswer("200 OK", { { "X-Apricotyard-Instance-Id", aReplica.Id() } }, ""));
  }
  const std::string expected = aHead.Header("x-apricotyard-expect-instance");
  if (!expected.empty() && expected != aReplica.Id()) {
    return aStream.Send(MakeAnswer("421 Misdirected", { plain[0], { "X-Apricotyard-Not-Executed", "1" } }, ""));
  }
  const double allowed = std::atof(aHead.Header("x-apricotyard-deadline-ms").c_str()) / 1000;
  const double work = aHead.Target().find("/long/") != std::string::npos ? 1.3 : 0.02;
  {
    std::lock_guard lock(gMutex);
    gRun.insert(id);
  }
  gRecord.Line("replica %s: runs %s, deadline %.0f ms", aReplica.Id().c_str(), id.c_str(), allowed * 1000);
  const bool inTime = work < allowed;
  Sleep(inTime ? work : allowed);
  gRecord.Line("replica %s: %s %s", aReplica.Id().c_str(), inTime ? "has run" : "stops at the deadline of", id.c_str());
  Sleep(kLinkDelay);
  return aStream.Send(MakeAnswer(inTime ? "200 OK" : "504 Gateway Timeout",
                                 { plain[0], { "X-Apricotyard-Server-Stamp", kStamp } },
                                 inTime ? "logbook" : ""));
}

int
Post(Fleet& aFleet, const Host& aGateway, const std::string& aPath, std::string& aId)
{
  aId = MakeId();
  gRecord.Line("client: sends %s to %s, path %s", aId.c_str(), aGateway.mName.c_str(), aPath.c_str());
  const Message answer = Call(aGateway.mIp,
                              aFleet.Front(),
                              MakeRequest("POST",
                                          aPath,
                                          "uye.example",
                                          { { "X-Apricotyard-Request-Id", aId }, { "X-Apricotyard-Deadline-Ms", "4000" } },
                                          std::string(kBodyBytes, 'h')),
                              4.0);
  gRecord.Line("client: %s answered %d, Retry-After %s, body %s",
               aId.c_str(),
               answer.Status(),
               answer.Header("retry-after").c_str(),
               answer.mBody.c_str());
  return answer.Status();
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
  Host& first = fleet.Add("edge-1", "bolu", false);
  Host& second = fleet.Add("edge-2", "bolu", false);
  fleet.StartAll();
  std::vector<std::pair<std::string, int>> coordinators;
  for (const Host* host : fleet.Coordinators()) {
    coordinators.emplace_back(host->mIp, fleet.Control());
  }
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 1; i <= 6; ++i) {
    replicas.push_back(std::make_unique<Replica>("i-" + MakeId(), "uye", "bolu", fleet.Ip(100 + i), Serve));
    replicas.back()->Announce(coordinators);
  }
  const std::string config =
    R"({"version":7,"routes":[{"name":"logbook","host":"uye.example","path_prefix":"/defter/","route_type":"non_idempotent","timeout_ms":1000,"target_latency_ms":800,"priority":2,"service":"uye","max_attempts":2}],"services":[{"name":"uye","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
  if (!fleet.PutConfig(config, 20) || !fleet.WaitReady(first, 20) || !fleet.WaitReady(second, 20)) {
    CannotRun("the deployment does not come up");
  }
  std::string id;
  for (const Host* host : { &first, &second }) {
    const double until = Now() + 20;
    while (Post(fleet, *host, "/defter/short/", id) != 200) {
      if (Now() > until) {
        CannotRun("no request is served");
      }
      Sleep(0.3);
    }
  }
  Sleep(3);
  if (trouble) {
    gRecord.Line("edge-1 is partitioned from all replicas");
    for (const auto& replica : replicas) {
      if (!replica->CutOff(first.mIp)) {
        CannotRun("the cut cannot be made");
      }
    }
  }
  const double cutAt = Now();
  // Two callers whose requests meet the cut.
  std::thread early1([&] {
    std::string own;
    Post(fleet, first, "/defter/short/", own);
  });
  std::thread early2([&] {
    std::string own;
    Post(fleet, first, "/defter/short/", own);
  });
  Sleep(2);
  // The judged requests: they take longer than the route's timeout.
  std::vector<std::thread> callers;
  std::mutex mutex;
  std::map<std::string, int> answers;
  for (int i = 0; i < kRequests; ++i) {
    callers.emplace_back([&] {
      std::string own;
      const int status = Post(fleet, first, "/defter/long/", own);
      std::lock_guard lock(mutex);
      answers[own] = status;
    });
    Sleep(kPause);
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  early1.join();
  early2.join();
  if (trouble) {
    for (const auto& replica : replicas) {
      replica->Heal();
    }
    const double cut = Now() - cutAt;
    gRecord.Line("the cut lasted %.1f s", cut);
    if (cut > kLongestCut) {
      CannotRun("the cut lasted longer than the pages allow");
    }
  }
  Sleep(1);
  int broken = 0;
  for (const auto& [own, status] : answers) {
    const bool promised = status == 503 || status == 429 || status == 408 || status == 421;
    std::lock_guard lock(gMutex);
    if (promised && gRun.count(own) != 0) {
      ++broken;
      gRecord.Line("BROKEN: %s was answered %d and has run", own.c_str(), status);
    }
  }
  if (fleet.AnyEnded()) {
    gRecord.Line("a process of the system ended");
  }
  gRecord.Line("%d of %d requests that may run once were answered with a promise and have run", broken, kRequests);
  Finish(broken > 0 ? 1 : 0);
}
