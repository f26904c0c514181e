// Replicas that are full turn requests away. A faulty one sends some answers twice, and the second copy arrives
// with its next answer. TWICE: no request that isn't idempotent may run more than once. REFUSED: none that was
// answered 503 or 429 may have run.
#include "rig.h"

#include <random>

using namespace rig;

namespace {

constexpr int kClients = 12;
constexpr long kWorkMs = 20;
constexpr int kSlots = 2;
// The largest dose of `garble` in the site file: share 0.6 of the replicas, x 0.03 of their answers, 5 s.
constexpr long kSpellMs = 5000;
constexpr long kPauseMs = 4000;
constexpr int kSpells = 9;
constexpr int kReplicas = 5;
constexpr int kFaulty = 3;
constexpr double kSpoilt = 0.03;
// As `fleetbench wire` prints it ("a server sheds").
constexpr const char* kFull =
  "HTTP/1.1 503 Service Unavailable\r\nX-Apricotyard-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

} // namespace

int
main(int, char** aArguments)
{
  Record::Open(aArguments[1]);
  const bool trouble = WithTrouble();
  Spells spells(kSpells, kSpellMs, kPauseMs);
  Deployment deployment(aArguments[2], 3, 2);
  std::mutex mutex;
  std::map<std::string, std::vector<std::string>> runs;
  std::map<std::string, std::string> remains;
  std::map<std::string, int> busy;
  int spoilt = 0;
  int turnedAway = 0;
  std::mt19937 random(std::random_device{}());
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 1; i <= kReplicas; ++i) {
    Replica::Settings settings;
    settings.mId = "i-" + std::to_string(i);
    settings.mService = "billing";
    settings.mZone = deployment.Zone(static_cast<size_t>(i));
    settings.mAddress = deployment.Replica(i);
    settings.mSlots = kSlots;
    replicas.push_back(std::make_unique<Replica>(deployment, settings));
    const bool faulty = trouble && i <= kFaulty;
    replicas.back()->mRespondOn = [&, faulty](Replica& aReplica, const Message& aRequest, int aConnection) {
      const std::string& name = aReplica.Config().mId;
      const std::string id = aRequest.Header("x-apricotyard-request-id");
      const std::string connection = name + "/" + std::to_string(aConnection);
      std::string answer;
      {
        std::lock_guard lock(mutex);
        if (busy[name] >= kSlots) {
          ++turnedAway;
          answer = kFull;
        } else {
          ++busy[name];
          runs[id].push_back(name);
        }
      }
      if (answer.empty()) {
        SleepMs(kWorkMs);
        answer = aReplica.Success(aRequest, "booked " + id);
      }
      std::lock_guard lock(mutex);
      busy[name] -= answer == kFull ? 0 : 1;
      const std::string late = std::exchange(remains[connection], "");
      if (faulty && spells.Active() && std::uniform_real_distribution<double>(0, 1)(random) < kSpoilt) {
        ++spoilt;
        remains[connection] = answer;
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
  if (!deployment.PutConfig(MakeConfig(1, { { "billing", false, 4000, 3 } }), 20'000) ||
      !deployment.WaitReady(20'000)) {
    Record::Line("the deployment did not start");
    return kCouldNotRun;
  }
  Record::Line("the configuration is acknowledged, the gateway is ready; the route is non_idempotent");
  SleepMs(2000);
  std::atomic<bool> running{ true };
  std::atomic<int> successes{ 0 };
  std::atomic<int> failures{ 0 };
  std::map<std::string, int> answered;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      while (running) {
        const std::string id = NewRequestId();
        const Answer answer = Call(deployment.Front(static_cast<size_t>(i % 2)), "POST", "/billing/" + std::to_string(i),
                                   { { "Host", "hufi27.example" },
                                     { "X-Apricotyard-Request-Id", id },
                                     { "X-Apricotyard-Deadline-Ms", "4000" } },
                                   "{\"hours\":8}", 4500);
        ++(answer.mStatus == 200 ? successes : failures);
        {
          std::lock_guard lock(mutex);
          answered[id] = answer.mStatus;
        }
        SleepMs(10);
      }
    });
  }
  SleepMs(1000);
  spells.Begin();
  Record::Line("some answers are sent twice for %ld s, %d times", kSpellMs / 1000, kSpells);
  SleepMs(spells.TotalMs());
  running = false;
  for (std::thread& client : clients) {
    client.join();
  }
  for (const auto& replica : replicas) {
    replica->End();
  }
  int twice = 0;
  int refused = 0;
  for (const auto& [id, names] : runs) {
    const int status = answered.contains(id) ? answered[id] : 0;
    std::string list;
    for (const std::string& name : names) {
      list += (list.empty() ? "" : ", ") + name;
    }
    if (names.size() > 1) {
      ++twice;
      Record::Line("request %s ran at %s; its client got %d", id.c_str(), list.c_str(), status);
    }
    if (status == 503 || status == 429) {
      ++refused;
      Record::Line("request %s was answered %d and ran at %s", id.c_str(), status, list.c_str());
    }
  }
  Record::Line("%d requests answered with 200, %d otherwise; replicas turned %d away; %d answers were sent twice",
               successes.load(), failures.load(), turnedAway, spoilt);
  Record::Line("requests that ran more than once: %d; refused though they had run: %d", twice, refused);
  if (successes == 0 || (trouble && spoilt == 0)) {
    return kCouldNotRun;
  }
  Record::Line(twice > 0 ? "TWICE is broken" : refused > 0 ? "REFUSED is broken" : "TWICE and REFUSED hold");
  return twice > 0 || refused > 0 ? kBroken : kHeld;
}
