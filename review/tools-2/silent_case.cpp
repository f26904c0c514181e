// Connections between coordinators go silent for good, again and again, while new ones work. Then
// the operator reads the configuration that was acknowledged.
#include "rig.h"

#include <algorithm>

using namespace rig;

namespace {

// Port at which the coordinators behind a proxy listen.
constexpr int kProxiedPort = 7765;
constexpr int kEvents = 38;
// The next event comes when both proxies have carried a new connection for a while.
constexpr double kMaxPause = 3.5;
constexpr double kLiveTime = 0.15;
constexpr double kLastEventAt = 90;
// Bounds of the deployment: recovery_s and stability_window_ms.
constexpr double kRecovery = 12;
constexpr double kStabilityWindow = 4;

// Forwards connections to a coordinator's peer port.
class Proxy
{
public:
  explicit Proxy(const std::string& aIp)
    : mIp(aIp)
    , mListener(Listen(aIp, kPeerPort))
  {
    std::thread([this] { Accept(); }).detach();
  }
  // The open connections carry nothing from now on, in either direction, and no end.
  int Silence()
  {
    const std::lock_guard lock(mMutex);
    int count = 0;
    for (const auto& link : mLinks) {
      if (!link->mSilent && !link->mEnded) {
        link->mSilent = true;
        ++count;
      }
    }
    return count;
  }

  // The number of open connections that are not silent.
  int CountLive()
  {
    const std::lock_guard lock(mMutex);
    return static_cast<int>(std::count_if(mLinks.begin(), mLinks.end(), [](const auto& aLink) {
      return !aLink->mSilent && !aLink->mEnded;
    }));
  }

private:
  struct Link
  {
    int mClient = -1;
    int mServer = -1;
    std::atomic<bool> mSilent{ false };
    std::atomic<bool> mEnded{ false };
  };
  void Accept()
  {
    for (;;) {
      const int fd = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      const int server = Connect(mIp, kProxiedPort, 1);
      if (server < 0) {
        close(fd);
        continue;
      }
      const int enable = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
      const auto link = std::make_shared<Link>();
      link->mClient = fd;
      link->mServer = server;
      {
        const std::lock_guard lock(mMutex);
        mLinks.push_back(link);
      }
      std::thread([link] { Pump(*link, link->mClient, link->mServer); }).detach();
      std::thread([link] { Pump(*link, link->mServer, link->mClient); }).detach();
    }
  }
  static void Pump(Link& aLink, int aFrom, int aTo)
  {
    char buffer[65536];
    for (;;) {
      const ssize_t count = recv(aFrom, buffer, sizeof(buffer), 0);
      if (aLink.mSilent) {
        // What is sent is lost, also the end of the connection.
        if (count <= 0) {
          return;
        }
        continue;
      }
      if (count <= 0 || !SendAll(aTo, std::string(buffer, static_cast<std::size_t>(count)))) {
        aLink.mEnded = true;
        shutdown(aLink.mClient, SHUT_RDWR);
        shutdown(aLink.mServer, SHUT_RDWR);
        return;
      }
    }
  }
  const std::string mIp;
  const int mListener;
  std::mutex mMutex;
  std::vector<std::shared_ptr<Link>> mLinks;
};

std::string
Configuration(int aVersion)
{
  return Text(
    "{\"version\":%d,\"routes\":[],\"services\":[{\"name\":\"s%d\",\"health_path\":"
    "\"/health\",\"max_connections\":41,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{}}",
    aVersion,
    aVersion);
}

int
Threads(pid_t aPid)
{
  FILE* const status = fopen(Text("/proc/%d/status", aPid).c_str(), "r");
  char line[256];
  int threads = 0;
  while (status != nullptr && fgets(line, sizeof(line), status) != nullptr) {
    sscanf(line, "Threads: %d", &threads);
  }
  if (status != nullptr) {
    fclose(status);
  }
  return threads;
}

// The number of coordinators that answer a read with the version, or a newer one.
int
CountReads(Deployment& aDeployment, int aVersion)
{
  int good = 0;
  for (int i = 0; i < Deployment::kCoordinators; ++i) {
    const Message answer = Call({ aDeployment.CoordinatorIp(i), kControlPort }, "GET", "/config");
    int version = 0;
    sscanf(answer.mBody.c_str(), "{\"version\":%d", &version);
    Note(Text("GET /config at core-%d: %d, version %d",
              i + 1,
              answer.Status(),
              answer.Status() == 200 ? version : 0));
    good += answer.Status() == 200 && version >= aVersion ? 1 : 0;
  }
  return good;
}

} // namespace

int
main(int argc, char** argv)
{
  Record record(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
  gRecord = &record;
  Deployment deployment(0);
  deployment.mPeerPorts = { { 1, kProxiedPort }, { 2, kProxiedPort } };
  Proxy second(deployment.CoordinatorIp(1));
  Proxy third(deployment.CoordinatorIp(2));
  deployment.StartAll();
  if (!deployment.Configure(Configuration(1), 20)) {
    End(deployment, kNotRun, "the deployment did not start");
  }
  int acknowledged = 1;
  Sleep(2);
  int failedEvents = 0;
  for (int event = 1; event <= kEvents && failedEvents < 4 && Now() < kLastEventAt; ++event) {
    const int silenced = Trouble() ? second.Silence() + third.Silence() : 0;
    for (const double until = Now() + kMaxPause; Now() < until;) {
      Sleep(0.02);
      // Without the disruption the connections stay, and the pause is the usual one.
      if (Trouble() ? second.CountLive() > 0 && third.CountLive() > 0
                    : Now() > until - kMaxPause + 2.2) {
        break;
      }
    }
    Sleep(kLiveTime);
    const bool accepted = deployment.Configure(Configuration(acknowledged + 1), 1);
    acknowledged += accepted ? 1 : 0;
    failedEvents = accepted ? 0 : failedEvents + 1;
    Say(
      Text("event %d: %d connections went silent; change %s; threads of the coordinators: %d %d %d",
           event,
           silenced,
           accepted ? "acknowledged" : "not acknowledged",
           Threads(deployment.Pid("core-1")),
           Threads(deployment.Pid("core-2")),
           Threads(deployment.Pid("core-3"))));
  }
  Say(Text("no more disruption; version %d was acknowledged last", acknowledged));
  Sleep(kRecovery);
  int reads = 0;
  for (const double until = Now() + 1.5 * kStabilityWindow; Now() < until;) {
    reads += CountReads(deployment, acknowledged);
    Sleep(0.5);
  }
  const bool accepted = deployment.Configure(Configuration(acknowledged + 1), 2);
  Say(Text("%d reads were answered with the configuration, a further change was %s",
           reads,
           accepted ? "acknowledged" : "not acknowledged"));
  if (!deployment.Ended().empty()) {
    End(deployment, kNotRun, "a process ended");
  }
  End(deployment,
      reads == 0 ? kBroken : kHeld,
      Text("from %.0f s after the last disruption on, over %.0f s, the acknowledged "
           "configuration %s",
           kRecovery,
           1.5 * kStabilityWindow,
           reads == 0 ? "does not come" : "comes"));
}
