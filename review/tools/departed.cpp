// DRAIN: a coordinator acknowledges that a replica leaves and is lost right after it. The departure is lost with it, and gateways
// go on sending requests to the replica.
#include "case.h"

using namespace review;

namespace {

constexpr const char* kStamp = "3e1b.07.5a2.600.0.c9f2a4d1";
// Bounds of the small deployment, in seconds.
constexpr double kStability = 4.0;
constexpr double kDrain = 3.0;
// How long the machine is down: as long as the site file names for after_ack_kill.
constexpr double kDown = 3.0;
// Length of the judged time, which begins when all machines are in touch again.
constexpr double kJudged = 0.7;
// Distance kept from the ends of the judged time.
constexpr double kMargin = 0.05;
constexpr int kGateways = 4;

std::mutex gMutex;
// Requests by id: when a replica got them, and which.
std::map<std::string, std::pair<double, std::string>> gArrived;

bool
Serve(Replica& aReplica, Stream& aStream, const Message& aHead)
{
  std::string body;
  if (!ReadBody(aStream, aHead, body, 10)) {
    return false;
  }
  const std::string id = aHead.Header("x-apricotyard-request-id");
  if (aHead.Target() == "/health") {
    return aStream.Send(MakeAnswer("200 OK", { { "X-Apricotyard-Instance-Id", aReplica.Id() } }, ""));
  }
  const std::string expected = aHead.Header("x-apricotyard-expect-instance");
  if (!expected.empty() && expected != aReplica.Id()) {
    return aStream.Send(MakeAnswer(
      "421 Misdirected", { { "X-Apricotyard-Request-Id", id }, { "X-Apricotyard-Not-Executed", "1" } }, ""));
  }
  {
    std::lock_guard lock(gMutex);
    gArrived[id] = { Now(), aReplica.Id() };
  }
  gRecord.Line("replica %s: runs %s", aReplica.Id().c_str(), id.c_str());
  Sleep(0.02);
  std::vector<std::pair<std::string, std::string>> headers = { { "X-Apricotyard-Request-Id", id },
                                                               { "X-Apricotyard-Server-Stamp", kStamp } };
  if (aReplica.Leaving()) {
    headers.emplace_back("Server-Leaving", "1");
    headers.emplace_back("Connection", "close");
  }
  return aStream.Send(MakeAnswer("200 OK", headers, "logbook")) && !aReplica.Leaving();
}

} // namespace

int
main(int argc, char** argv)
{
  const bool trouble = Begin(argc, argv);
  Fleet fleet(argv[2]);
  gFleet = &fleet;
  Host& first = fleet.Add("core-1", "bolu", true);
  fleet.Add("core-2", "duzce", true);
  fleet.Add("core-3", "sakarya", true);
  std::vector<Host*> gateways;
  for (int i = 1; i <= kGateways; ++i) {
    gateways.push_back(&fleet.Add("edge-" + std::to_string(i), "bolu", false));
  }
  fleet.StartAll();
  const auto coordinators = fleet.Coordinators();
  std::vector<std::unique_ptr<Replica>> replicas;
  const char* const zones[] = { "bolu", "duzce", "sakarya" };
  for (int i = 0; i < 3; ++i) {
    replicas.push_back(
      std::make_unique<Replica>("i-" + MakeId(), "uye", zones[i], fleet.Ip(101 + i), Serve));
    // Each replica begins with the coordinator of its zone.
    std::vector<std::pair<std::string, int>> order;
    for (std::size_t k = 0; k < coordinators.size(); ++k) {
      order.emplace_back(coordinators[(static_cast<std::size_t>(i) + k) % coordinators.size()]->mIp, fleet.Control());
    }
    replicas.back()->Announce(order);
  }
  Replica& leaving = *replicas[0];
  const std::string config =
    R"({"version":7,"routes":[{"name":"logbook","host":"uye.example","path_prefix":"/defter/","route_type":"idempotent","timeout_ms":4000,"target_latency_ms":800,"priority":2,"service":"uye","max_attempts":2}],"services":[{"name":"uye","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
  if (!fleet.PutConfig(config, 20)) {
    CannotRun("the deployment does not come up");
  }
  for (const Host* const gateway : gateways) {
    if (!fleet.WaitReady(*gateway, 20)) {
      CannotRun("a gateway does not come up");
    }
  }
  // Calm for longer than stability_window_ms, so that all machines are in touch.
  Sleep(8);
  struct Sent
  {
    double mAt;
    int mStatus;
  };
  std::mutex mutex;
  std::map<std::string, Sent> sent;
  // One request, on a connection of its own.
  const auto ask = [&](const Host& aGateway) {
    const std::string id = MakeId();
    const double at = Now();
    gRecord.Line("client: sends %s to %s", id.c_str(), aGateway.mName.c_str());
    const Message answer = Call(aGateway.mIp,
                                fleet.Front(),
                                MakeRequest("GET",
                                            "/defter/view",
                                            "uye.example",
                                            { { "X-Apricotyard-Request-Id", id }, { "X-Apricotyard-Deadline-Ms", "4000" } },
                                            ""),
                                4.0);
    gRecord.Line("client: %s answered %d", id.c_str(), answer.Status());
    std::lock_guard lock(mutex);
    sent[id] = { at, answer.Status() };
  };
  for (int i = 0; i < 10; ++i) {
    for (const Host* const gateway : gateways) {
      ask(*gateway);
    }
  }
  Sleep(1);
  std::string acknowledgedBy = leaving.Leave();
  const double acknowledgedAt = Now();
  if (trouble && acknowledgedBy == first.mIp) {
    fleet.Signal(first, SIGKILL);
  }
  gRecord.Line("replica %s: its departure was acknowledged by %s at %.4f", leaving.Id().c_str(), acknowledgedBy.c_str(), acknowledgedAt);
  if (acknowledgedBy != first.mIp) {
    CannotRun("the departure was not acknowledged by core-1");
  }
  Sleep(acknowledgedAt + kDown - Now());
  if (trouble) {
    fleet.Start(first, false);
  }
  const double lastEvent = Now();
  // The service has little traffic: the next requests come while all machines are in touch again.
  Sleep(lastEvent + kStability + 2 * kMargin - Now());
  for (int i = 0; i < 5; ++i) {
    for (const Host* const gateway : gateways) {
      ask(*gateway);
    }
  }
  Sleep(1);
  // Judged: requests that the client sent while all machines were in touch again, later than drain_ms after the
  // acknowledgement.
  const double from = std::max(lastEvent + kStability, acknowledgedAt + kDrain) + kMargin;
  const double to = lastEvent + kStability + kJudged;
  int broken = 0;
  int judged = 0;
  int atLeaving = 0;
  int failed = 0;
  for (const auto& [id, one] : sent) {
    std::lock_guard lock(gMutex);
    const auto arrived = gArrived.find(id);
    failed += one.mStatus != 200 ? 1 : 0;
    if (arrived != gArrived.end() && arrived->second.second == leaving.Id()) {
      ++atLeaving;
    }
    if (one.mAt < from || one.mAt > to) {
      continue;
    }
    ++judged;
    if (arrived != gArrived.end() && arrived->second.second == leaving.Id()) {
      ++broken;
      gRecord.Line("BROKEN: %s reached the replica %.3f s after its departure was acknowledged",
                   id.c_str(),
                   arrived->second.first - acknowledgedAt);
    }
  }
  if (fleet.AnyEnded()) {
    gRecord.Line("a process of the system ended");
  }
  gRecord.Line("%d of %d judged requests reached the replica that had left; in all %zu were sent, %d of them reached it, %d failed",
               broken,
               judged,
               sent.size(),
               atLeaving,
               failed);
  Finish(broken > 0 ? 1 : 0);
}
