// A faulty replica sends additional bytes after some complete answers. They arrive with its next answer. MIXED:
// no client may get another answer than the replica gave to its request.
//   cut      the bytes are a second answer that is broken off
//   unnamed  the bytes are a second answer without the request's ID
#include "rig.h"

#include <random>

using namespace rig;

namespace {

constexpr int kClients = 21;
// The largest dose of `garble` in the site file: share 0.6 of the replicas, x 0.03 of their answers, 5 s.
constexpr long kSpellMs = 5000;
constexpr long kPauseMs = 4000;
constexpr int kSpellsWhenCut = 9;
constexpr int kReplicas = 5;
constexpr int kFaulty = 3;
constexpr double kSpoilt = 0.03;
// Requests for records that do not exist, which a sound replica answers with 404.
constexpr int kUnknownOneIn = 2;

struct Given
{
  std::string mRequest;
  int mStatus = 0;
  std::string mBody;
};

} // namespace

int
main(int, char** aArguments)
{
  Record::Open(aArguments[1]);
  const bool cut = std::string(aArguments[3]) == "cut";
  const bool trouble = WithTrouble();
  Spells spells(cut ? kSpellsWhenCut : 1, kSpellMs, kPauseMs);
  Deployment deployment(aArguments[2], 3, 1);
  std::mutex mutex;
  std::map<std::string, Given> given;
  std::map<std::string, std::string> remains;
  std::atomic<long> nextStamp{ 1 };
  std::atomic<int> spoilt{ 0 };
  std::mt19937 random(std::random_device{}());
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 1; i <= kReplicas; ++i) {
    Replica::Settings settings;
    settings.mId = "i-" + std::to_string(i);
    settings.mService = "billing";
    settings.mZone = deployment.Zone(0);
    settings.mAddress = deployment.Replica(i);
    replicas.push_back(std::make_unique<Replica>(deployment, settings));
    const bool faulty = trouble && i <= kFaulty;
    replicas.back()->mRespondOn = [&, faulty](Replica& aReplica, const Message& aRequest, int aConnection) {
      SleepMs(5);
      const std::string stamp = aReplica.Config().mId + "." + std::to_string(nextStamp++);
      const std::string id = aRequest.Header("x-apricotyard-request-id");
      const std::string target = aRequest.Target();
      const int number = std::atoi(target.c_str() + target.rfind('/') + 1);
      const bool found = number % kUnknownOneIn != 0;
      const std::string body = found ? "invoice " + std::to_string(number) : "no such invoice";
      const std::string begin = std::string("HTTP/1.1 ") + (found ? "200 OK" : "404 Not Found") +
                                "\r\nDate: Mon, 07 Dec 2026 20:00:00 GMT\r\nContent-Type: text/plain\r\n";
      const std::string end = "X-Apricotyard-Server-Stamp: " + stamp + "\r\nContent-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body;
      const std::string answer = begin + "X-Apricotyard-Request-Id: " + id + "\r\n" + end;
      std::lock_guard lock(mutex);
      given[stamp] = { id, found ? 200 : 404, body };
      const std::string connection = aReplica.Config().mId + "/" + std::to_string(aConnection);
      const std::string late = std::exchange(remains[connection], "");
      if (faulty && spells.Active() && std::uniform_real_distribution<double>(0, 1)(random) < kSpoilt) {
        ++spoilt;
        const size_t length = std::uniform_int_distribution<size_t>(1, answer.size() - 1)(random);
        remains[connection] = cut ? answer.substr(0, length) : begin + end;
      }
      return late + answer;
    };
  }
  deployment.Start();
  for (const auto& replica : replicas) {
    if (!replica->Start()) {
      return kCouldNotRun;
    }
  }
  if (!deployment.PutConfig(MakeConfig(1, { { "billing", true, 4000, 2 } }), 20'000) ||
      !deployment.WaitReady(20'000)) {
    Record::Line("the deployment did not start");
    return kCouldNotRun;
  }
  Record::Line("the configuration is acknowledged, the gateway is ready");
  SleepMs(2000);
  std::atomic<bool> running{ true };
  std::atomic<int> successes{ 0 };
  std::atomic<int> failures{ 0 };
  std::atomic<int> wrong{ 0 };
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      for (int number = i; running; number += kClients) {
        const std::string id = NewRequestId();
        const Answer answer = Call(deployment.Front(0), "GET", "/billing/" + std::to_string(number),
                                   { { "Host", "hufi27.example" },
                                     { "X-Apricotyard-Request-Id", id },
                                     { "X-Apricotyard-Deadline-Ms", "4000" } },
                                   "", 4000);
        ++(answer.mStatus == 200 ? successes : failures);
        if (answer.mStatus / 100 == 2) {
          std::lock_guard lock(mutex);
          const std::string stamp = answer.mMessage.Header("x-apricotyard-server-stamp");
          const Given& said = given[stamp];
          if (said.mStatus / 100 != 2 || said.mRequest != id || said.mBody != answer.mMessage.mBody) {
            ++wrong;
            Record::Line("request %s for invoice %d: the client gets %d '%s' with stamp %s, which the replica "
                         "gave to request %s with %d '%s'",
                         id.c_str(), number, answer.mStatus, answer.mMessage.mBody.c_str(), stamp.c_str(),
                         said.mRequest.c_str(), said.mStatus, said.mBody.c_str());
          }
        }
        SleepMs(15);
      }
    });
  }
  SleepMs(2000);
  spells.Begin();
  Record::Line("additional bytes for %ld s, %d times", kSpellMs / 1000, cut ? kSpellsWhenCut : 1);
  SleepMs(spells.TotalMs());
  running = false;
  for (std::thread& client : clients) {
    client.join();
  }
  for (const auto& replica : replicas) {
    replica->End();
  }
  Record::Line("%d successes, %d failures; %d answers were followed by additional bytes",
               successes.load(), failures.load(), spoilt.load());
  Record::Line("successes that are not the replica's answer to the request: %d", wrong.load());
  if (successes == 0 || (trouble && spoilt == 0)) {
    return kCouldNotRun;
  }
  Record::Line(wrong > 0 ? "MIXED is broken" : "MIXED holds");
  return wrong > 0 ? kBroken : kHeld;
}
