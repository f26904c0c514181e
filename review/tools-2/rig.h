// Stand-ins of the second review: starts coordinators and gateways of the deploy file as processes
// on loopback addresses and plays the operator, replicas and clients of PROTOCOL.md.
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

inline double
Now()
{
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

inline void
Sleep(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

inline std::string
Text(const char* aFormat, ...)
{
  char buffer[4096];
  va_list arguments;
  va_start(arguments, aFormat);
  vsnprintf(buffer, sizeof(buffer), aFormat, arguments);
  va_end(arguments);
  return buffer;
}

// The record of the case: what was sent, answered and run, with the seconds since the start.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(fopen(aPath.c_str(), "w"))
  {
  }
  void Line(const std::string& aText)
  {
    const std::lock_guard lock(mMutex);
    if (mFile != nullptr) {
      fprintf(mFile, "%8.3f %s\n", Now(), aText.c_str());
      fflush(mFile);
    }
  }

private:
  std::mutex mMutex;
  FILE* mFile;
};

inline Record* gRecord = nullptr;

inline void
Say(const std::string& aText)
{
  if (gRecord != nullptr) {
    gRecord->Line(aText);
  }
  printf("%8.3f %s\n", Now(), aText.c_str());
  fflush(stdout);
}

inline void
Note(const std::string& aText)
{
  if (gRecord != nullptr) {
    gRecord->Line(aText);
  }
}

inline int
Connect(const std::string& aIp, int aPort, double aTimeout)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  const int enable = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    pollfd wait{ fd, POLLOUT, 0 };
    int error = errno;
    socklen_t length = sizeof(error);
    if (error != EINPROGRESS || poll(&wait, 1, static_cast<int>(aTimeout * 1000)) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
      close(fd);
      return -1;
    }
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  return fd;
}

inline int
Listen(const std::string& aIp, int aPort)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  const int enable = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline bool
SendAll(int aFd, const std::string& aData)
{
  std::size_t done = 0;
  while (done < aData.size()) {
    const ssize_t count = send(aFd, aData.data() + done, aData.size() - done, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    done += static_cast<std::size_t>(count);
  }
  return true;
}

inline std::string
Lower(std::string aText)
{
  for (char& c : aText) {
    c = static_cast<char>(tolower(static_cast<unsigned char>(c)));
  }
  return aText;
}

struct Message
{
  // False if the connection ended, or the time was over, before the message was complete.
  bool mComplete = false;
  bool mTimedOut = false;
  std::string mFirstLine;
  // By name in lower case.
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
  int Status() const { return mFirstLine.size() > 12 ? atoi(mFirstLine.c_str() + 9) : 0; }
  std::string Header(const std::string& aName) const
  {
    const auto found = mHeaders.find(aName);
    return found == mHeaders.end() ? "" : found->second;
  }
};

// Reads messages with a Content-Length from one connection.
class Reader
{
public:
  explicit Reader(int aFd)
    : mFd(aFd)
  {
  }
  Message Read(double aTimeout)
  {
    Message message;
    const double until = Now() + aTimeout;
    std::size_t end = 0;
    while ((end = mData.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until, message)) {
        return message;
      }
    }
    const std::string head = mData.substr(0, end + 2);
    mData.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    message.mFirstLine = head.substr(0, at);
    for (at += 2; at < head.size();) {
      const std::size_t next = head.find("\r\n", at);
      const std::string line = head.substr(at, next - at);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.mHeaders[Lower(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
      }
      at = next + 2;
    }
    const std::size_t length = strtoul(message.Header("content-length").c_str(), nullptr, 10);
    while (mData.size() < length) {
      if (!Fill(until, message)) {
        return message;
      }
    }
    message.mBody = mData.substr(0, length);
    mData.erase(0, length);
    message.mComplete = true;
    return message;
  }

private:
  bool Fill(double aUntil, Message& aMessage)
  {
    pollfd wait{ mFd, POLLIN, 0 };
    const double left = aUntil - Now();
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left * 1000) + 1) != 1) {
      aMessage.mTimedOut = true;
      return false;
    }
    char buffer[65536];
    const ssize_t count = recv(mFd, buffer, sizeof(buffer), 0);
    if (count <= 0) {
      return false;
    }
    mData.append(buffer, static_cast<std::size_t>(count));
    return true;
  }
  int mFd;
  std::string mData;
};

struct Address
{
  std::string mIp;
  int mPort = 0;
};

// One call on a new connection, as replicas and the operator make them. Follows a 307 twice.
inline Message
Call(Address aTo,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aBody = "",
     double aTimeout = 1.0)
{
  Message message;
  for (int hop = 0; hop < 3; ++hop) {
    message = {};
    const int fd = Connect(aTo.mIp, aTo.mPort, aTimeout);
    if (fd < 0) {
      return message;
    }
    const std::string body = aMethod == "GET" ? "" : aBody;
    if (SendAll(fd,
                aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + aTo.mIp +
                  "\r\nContent-Type: application/json\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body)) {
      message = Reader(fd).Read(aTimeout);
    }
    close(fd);
    if (message.Status() != 307) {
      break;
    }
    const std::string location = message.Header("location");
    const std::size_t colon = location.rfind(':');
    aTo = { location.substr(7, colon - 7), atoi(location.c_str() + colon + 1) };
  }
  return message;
}

constexpr int kFrontPort = 8226;
constexpr int kReadyPort = 8227;
constexpr int kControlPort = 8224;
constexpr int kDirectoryPort = 8225;
constexpr int kRpcPort = 7740;
constexpr int kPeerPort = 7755;
constexpr int kMetricsPort = 9464;

// Three coordinators and some gateways, with settings filled in from the templates of the deploy
// file and the bounds of a small deployment.
class Deployment
{
public:
  explicit Deployment(int aGateways)
    : mGateways(aGateways)
  {
    char folder[] = "/tmp/review-2-XXXXXX";
    mFolder = mkdtemp(folder);
    for (int net = 20 + getpid() % 200;; net = net == 254 ? 20 : net + 1) {
      mNet = net;
      const int probe = Listen(CoordinatorIp(0), kControlPort);
      if (probe >= 0) {
        close(probe);
        break;
      }
    }
  }
  // Ends all processes and removes their folder, which stays if the variable KEEP is set.
  void StopAll()
  {
    for (auto& [name, pid] : mPids) {
      kill(pid, SIGCONT);
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
    mPids.clear();
    if (getenv("KEEP") == nullptr) {
      const std::string command = "rm -rf " + mFolder;
      [[maybe_unused]] const int removed = system(command.c_str());
    }
  }

  static constexpr int kCoordinators = 3;
  std::string CoordinatorIp(int aIndex) const { return Text("127.%d.1.%d", mNet, aIndex + 1); }
  std::string GatewayIp(int aIndex) const { return Text("127.%d.2.%d", mNet, aIndex + 1); }
  std::string ReplicaIp(int aIndex) const { return Text("127.%d.3.%d", mNet, aIndex + 1); }
  int Gateways() const { return mGateways; }
  const std::string& Folder() const { return mFolder; }
  // The peer port in the settings of a coordinator. All have the same one, unless a proxy stands
  // before a coordinator.
  std::map<int, int> mPeerPorts;

  void StartCoordinator(int aIndex, bool aFirstStart)
  {
    const std::string name = Text("core-%d", aIndex + 1);
    const std::string ip = CoordinatorIp(aIndex);
    const std::string data = mFolder + "/" + name;
    const std::string make = "mkdir -p " + data;
    [[maybe_unused]] const int made = system(make.c_str());
    const int peerPort = mPeerPorts.contains(aIndex) ? mPeerPorts[aIndex] : kPeerPort;
    Start(name,
          "target/apricot-coordinator",
          Text("host = \"%s\"\ndata_centre = \"zone-%d\"\nmetrics_address = \"%s:%d\"\n"
               "control_address = \"%s:%d\"\ndirectory_address = \"%s:%d\"\nrpc_port = %d\n"
               "peer_port = %d\ndata_folder = \"%s\"\nseeds = %s\nfirst_start = %s\n"
               "tolerated_losses = 1\n\n[extra_sends]\nwindow = \"10s\"\nfixed = 58.0\n"
               "pooled = true\n\n[tls]\nplaintext = true\n",
               name.c_str(),
               aIndex + 1,
               ip.c_str(),
               kMetricsPort,
               ip.c_str(),
               kControlPort,
               ip.c_str(),
               kDirectoryPort,
               kRpcPort,
               peerPort,
               data.c_str(),
               Seeds().c_str(),
               aFirstStart ? "true" : "false"));
  }
  void StartGateway(int aIndex)
  {
    const std::string name = Text("edge-%d", aIndex + 1);
    const std::string ip = GatewayIp(aIndex);
    Start(name,
          "target/apricot-gateway",
          Text("host = \"%s\"\ndata_centre = \"zone-%d\"\nmetrics_address = \"%s:%d\"\n"
               "caller_address = \"%s:%d\"\nready_address = \"%s:%d\"\nrpc_port = %d\nseeds = %s\n"
               "processor_share = 0.25\nstop_grace = \"6s\"\n\n[extra_sends]\nratio = 0.2\n"
               "window = \"10s\"\nfixed = 58.0\npooled = true\n\n[tls]\nplaintext = true\n",
               name.c_str(),
               aIndex % kCoordinators + 1,
               ip.c_str(),
               kMetricsPort,
               ip.c_str(),
               kFrontPort,
               ip.c_str(),
               kReadyPort,
               kRpcPort,
               Seeds().c_str()));
  }
  void StartAll()
  {
    for (int i = 0; i < kCoordinators; ++i) {
      StartCoordinator(i, true);
    }
    for (int i = 0; i < mGateways; ++i) {
      StartGateway(i);
    }
  }
  void Signal(const std::string& aName, int aSignal)
  {
    Note(Text("signal %d to %s", aSignal, aName.c_str()));
    kill(mPids.at(aName), aSignal);
    if (aSignal == SIGKILL) {
      waitpid(mPids.at(aName), nullptr, 0);
      mPids.erase(aName);
    }
  }
  // Names of processes that ended by themselves.
  std::vector<std::string> Ended()
  {
    std::vector<std::string> ended;
    for (const auto& [name, pid] : mPids) {
      if (waitpid(pid, nullptr, WNOHANG) != 0) {
        ended.push_back(name);
      }
    }
    return ended;
  }
  pid_t Pid(const std::string& aName) const { return mPids.at(aName); }

  // Sends the configuration to the coordinators in turn until one acknowledges it.
  bool Configure(const std::string& aConfiguration, double aTimeout)
  {
    const double until = Now() + aTimeout;
    for (int i = 0; Now() < until; ++i) {
      const int to = i % kCoordinators;
      const Message answer =
        Call({ CoordinatorIp(to), kControlPort }, "PUT", "/config", aConfiguration);
      Note(Text(
        "PUT /config (%zu bytes) to core-%d: %d", aConfiguration.size(), to + 1, answer.Status()));
      if (answer.Status() == 200) {
        return true;
      }
      Sleep(0.2);
    }
    return false;
  }
  bool WaitReady(double aTimeout)
  {
    const double until = Now() + aTimeout;
    for (int i = 0; i < mGateways;) {
      if (Call({ GatewayIp(i), kReadyPort }, "GET", "/ready").Status() == 200) {
        ++i;
      } else if (Now() > until) {
        return false;
      } else {
        Sleep(0.1);
      }
    }
    return true;
  }

private:
  std::string Seeds() const
  {
    std::string seeds;
    for (int i = 0; i < kCoordinators; ++i) {
      seeds += Text("%s\"%s:%d\"", i == 0 ? "[" : ", ", CoordinatorIp(i).c_str(), kControlPort);
    }
    return seeds + "]";
  }
  void Start(const std::string& aName, const char* aProgram, const std::string& aSettings)
  {
    const std::string path = mFolder + "/" + aName + ".toml";
    FILE* const file = fopen(path.c_str(), "w");
    fputs(aSettings.c_str(), file);
    fclose(file);
    const std::string log = mFolder + "/" + aName + ".log";
    const pid_t pid = fork();
    if (pid == 0) {
      // The processes end with the case, also if it is stopped.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, 1);
      dup2(out, 2);
      execl(aProgram, aProgram, "--settings", path.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    Note("start " + aName + ": " + aProgram + " --settings " + path);
    mPids[aName] = pid;
  }

  int mGateways;
  int mNet = 0;
  std::string mFolder;
  std::map<std::string, pid_t> mPids;
};

// A request as a replica got it.
struct Run
{
  double mAt = 0;
  std::string mId;
  std::string mMethod;
  std::string mPath;
  std::size_t mBody = 0;
};

// A sound replica: it beats, checks X-Apricotyard-Expect-Instance, runs requests for mWork and
// answers them with its signature.
class Replica
{
public:
  Replica(Deployment& aDeployment,
          int aIndex,
          const std::string& aService,
          const std::string& aId,
          double aWork)
    : mDeployment(aDeployment)
    , mIp(aDeployment.ReplicaIp(aIndex))
    , mService(aService)
    , mId(aId)
    , mZone(Text("zone-%d", aIndex % 3 + 1))
    , mWork(aWork)
    , mBorn(static_cast<long long>(time(nullptr)) * 1000)
    , mListener(Listen(mIp, kPort))
  {
    std::thread([this, listener = mListener.load()] { Accept(listener); }).detach();
    std::thread([this] {
      for (int i = 0; mBeats; ++i) {
        Beat(i);
        Sleep(1.2);
      }
    }).detach();
  }
  // The processes end at once: nothing listens at their addresses, their connections end, and they
  // beat no more.
  static void CrashAll(const std::vector<std::unique_ptr<Replica>>& aReplicas)
  {
    for (const auto& replica : aReplicas) {
      replica->mBeats = false;
      shutdown(replica->mListener, SHUT_RDWR);
      close(replica->mListener.exchange(-1));
    }
    for (const auto& replica : aReplicas) {
      const std::lock_guard lock(replica->mMutex);
      for (const int fd : replica->mConnections) {
        shutdown(fd, SHUT_RDWR);
      }
    }
    for (const auto& replica : aReplicas) {
      Note("crash of " + replica->mId);
    }
  }
  static constexpr int kPort = 9000;
  std::vector<Run> Runs()
  {
    const std::lock_guard lock(mMutex);
    return mRuns;
  }
  // The number of runs by request.
  void CountRuns(std::map<std::string, int>& aCounts)
  {
    for (const Run& run : Runs()) {
      ++aCounts[run.mId];
    }
  }
  Deployment& mDeployment;
  const std::string mIp;
  const std::string mService;
  const std::string mId;
  const std::string mZone;
  const double mWork;
  const long long mBorn;
  std::atomic<long long> mSequence{ 0 };
  std::atomic<bool> mBeats{ true };
  std::atomic<bool> mNotesRuns{ true };

private:
  void Beat(int aAttempt)
  {
    const std::string body = Text(
      "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":5,"
      "\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":%lld,\"born\":%lld}",
      mService.c_str(),
      mIp.c_str(),
      kPort,
      mZone.c_str(),
      static_cast<long long>(++mSequence),
      mBorn);
    for (int i = 0; i < Deployment::kCoordinators; ++i) {
      const int to = (aAttempt + i) % Deployment::kCoordinators;
      if (Call({ mDeployment.CoordinatorIp(to), kControlPort }, "PUT", "/instances/" + mId, body)
            .Status() == 200) {
        return;
      }
    }
  }
  void Accept(int aListener)
  {
    for (;;) {
      const int fd = accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      {
        const std::lock_guard lock(mMutex);
        mConnections.insert(fd);
      }
      std::thread([this, fd] {
        Serve(fd);
        const std::lock_guard lock(mMutex);
        mConnections.erase(fd);
        close(fd);
      }).detach();
    }
  }
  void Serve(int aFd)
  {
    Reader reader(aFd);
    for (;;) {
      const Message request = reader.Read(3600);
      if (!request.mComplete) {
        return;
      }
      const std::string id = request.Header("x-apricotyard-request-id");
      const std::size_t space = request.mFirstLine.find(' ');
      const std::string method = request.mFirstLine.substr(0, space);
      const std::string path =
        request.mFirstLine.substr(space + 1, request.mFirstLine.rfind(' ') - space - 1);
      const std::string expected = request.Header("x-apricotyard-expect-instance");
      std::string answer;
      if (path == "/health") {
        answer =
          "HTTP/1.1 200 OK\r\nX-Apricotyard-Instance-Id: " + mId + "\r\nContent-Length: 0\r\n\r\n";
      } else if (!expected.empty() && expected != mId) {
        answer = "HTTP/1.1 421 Misdirected Request\r\nX-Apricotyard-Not-Executed: 1\r\n"
                 "X-Apricotyard-Request-Id: " +
                 id + "\r\nContent-Length: 0\r\n\r\n";
      } else {
        if (mNotesRuns) {
          Note("run " + mId + " " + id + " " + method + " " + path.substr(0, 40));
        }
        {
          const std::lock_guard lock(mMutex);
          mRuns.push_back({ Now(), id, method, path, request.mBody.size() });
        }
        Sleep(mWork);
        answer = "HTTP/1.1 200 OK\r\nX-Apricotyard-Request-Id: " + id +
                 "\r\nX-Apricotyard-Server-Stamp: " + mId + "." + id +
                 "\r\nContent-Length: 32\r\n\r\n0123456789abcdeffedcba9876543210";
      }
      if (!SendAll(aFd, answer)) {
        return;
      }
    }
  }
  std::atomic<int> mListener;
  std::mutex mMutex;
  std::set<int> mConnections;
  std::vector<Run> mRuns;
};

inline bool
Trouble()
{
  const char* const value = getenv("TROUBLE");
  return value == nullptr || strcmp(value, "0") != 0;
}

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

// Ends the case with aCode.
[[noreturn]] inline void
End(Deployment& aDeployment, int aCode, const std::string& aWhy)
{
  aDeployment.StopAll();
  Say(Text("%s: ",
           aCode == kHeld     ? "the rule held"
           : aCode == kBroken ? "THE RULE WAS BROKEN"
                              : "could not run") +
      aWhy);
  // The threads of the stand-ins still run.
  _exit(aCode);
}

} // namespace rig

#endif
