// MIXED: a replica answers a long request early, with a body that has no length, and the connection is reset in the middle of
// that body. The gateway passes the part that it got on as a whole answer.
#include "case.h"

using namespace review;

namespace {

constexpr const char* kStamp = "3e1b.07.5a2.600.0.c9f2a4d1";
constexpr int kRequests = 200;
// One replica of three breaks off one of 25 answers: the site file names a share of 0.6 and 0.04 for `garble`.
constexpr int kResetEvery = 25;
// Within max_body_bytes of the configuration.
constexpr std::size_t kRequestBytes = 250000;
constexpr std::size_t kAnswerBytes = 6000;

bool gTrouble = false;
std::atomic<int> gReset{ 0 };
std::atomic<int> gAnswersOfFirst{ 0 };
std::string gFirst;

std::string
AnswerBody(const std::string& aId)
{
  std::string body;
  while (body.size() < kAnswerBytes) {
    body += "entry of " + aId + "\n";
  }
  return body.substr(0, kAnswerBytes);
}

bool
Serve(Replica& aReplica, Stream& aStream, const Message& aHead)
{
  const std::string id = aHead.Header("x-apricotyard-request-id");
  const std::string expected = aHead.Header("x-apricotyard-expect-instance");
  if (!expected.empty() && expected != aReplica.Id()) {
    std::string body;
    return ReadBody(aStream, aHead, body, 5) &&
           aStream.Send(MakeAnswer(
             "421 Misdirected", { { "X-Apricotyard-Request-Id", id }, { "X-Apricotyard-Not-Executed", "1" } }, ""));
  }
  gRecord.Line("replica %s: runs %s", aReplica.Id().c_str(), id.c_str());
  const std::string body = AnswerBody(id);
  const std::string head = "HTTP/1.1 200 OK\r\nX-Apricotyard-Request-Id: " + id + "\r\nX-Apricotyard-Server-Stamp: " + kStamp +
                           "\r\nConnection: close\r\n\r\n";
  // The answer is sent before the request's body has been read.
  if (!aStream.Send(head + body.substr(0, kAnswerBytes / 2))) {
    return false;
  }
  Sleep(0.05);
  if (gTrouble && aReplica.Id() == gFirst && ++gAnswersOfFirst % kResetEvery == 0) {
    gRecord.Line("replica %s: %s is reset after %zu of %zu bytes of its body", aReplica.Id().c_str(), id.c_str(), kAnswerBytes / 2, kAnswerBytes);
    ++gReset;
    aStream.Reset();
    return false;
  }
  aStream.Send(body.substr(kAnswerBytes / 2));
  std::string rest;
  ReadBody(aStream, aHead, rest, 5);
  return false;
}

} // namespace

int
main(int argc, char** argv)
{
  gTrouble = Begin(argc, argv);
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
  for (int i = 1; i <= 3; ++i) {
    replicas.push_back(std::make_unique<Replica>("i-" + MakeId(), "uye", "bolu", fleet.Ip(100 + i), Serve));
    replicas.back()->UseSmallWindows();
    gFirst = gFirst.empty() ? replicas.back()->Id() : gFirst;
    replicas.back()->Announce(coordinators);
  }
  const std::string config =
    R"({"version":7,"routes":[{"name":"logbook","host":"uye.example","path_prefix":"/defter/","route_type":"non_idempotent","timeout_ms":4000,"target_latency_ms":800,"priority":2,"service":"uye","max_attempts":2}],"services":[{"name":"uye","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
  if (!fleet.PutConfig(config, 20) || !fleet.WaitReady(gateway, 20)) {
    CannotRun("the deployment does not come up");
  }
  Sleep(3);
  int broken = 0;
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = MakeId();
    gRecord.Line("client: sends %s, %zu bytes", id.c_str(), kRequestBytes);
    const Message answer = Call(gateway.mIp,
                                fleet.Front(),
                                MakeRequest("POST",
                                            "/defter/upload/",
                                            "uye.example",
                                            { { "X-Apricotyard-Request-Id", id }, { "X-Apricotyard-Deadline-Ms", "4000" } },
                                            std::string(kRequestBytes, 'u')),
                                4.0);
    const bool success = answer.mWhole && answer.Status() / 100 == 2;
    const bool whole = answer.mBody == AnswerBody(id);
    gRecord.Line("client: %s answered %d, %s, stamp %s, Content-Length %s, %zu bytes, %s the replica's whole body",
                 id.c_str(),
                 answer.Status(),
                 answer.mWhole ? "complete" : "broken off",
                 answer.Header("x-apricotyard-server-stamp").c_str(),
                 answer.Header("content-length").c_str(),
                 answer.mBody.size(),
                 whole ? "" : "not");
    served += success && whole ? 1 : 0;
    if (success && !whole) {
      ++broken;
      gRecord.Line("BROKEN: %s is a complete success with a part of the body", id.c_str());
    }
    Sleep(0.03);
  }
  gRecord.Line("%d of %d requests got a part of an answer as a whole one, %d got a whole answer, %d connections were reset",
               broken,
               kRequests,
               served,
               gReset.load());
  if (fleet.AnyEnded()) {
    gRecord.Line("a process of the system ended");
  }
  if (!gTrouble && served == 0) {
    CannotRun("no request is served");
  }
  Finish(broken > 0 ? 1 : 0);
}
