// Support for the cases of this review: starts the project's programs with the commands and templates of
// deploy/system.toml on loopback addresses, and offers small stand-ins for replicas, clients and the operator that follow the
// users' pages. Blocking sockets and threads; everything ends with the process.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <strings.h>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point gStart = Clock::now();

inline double
Now()
{
  return std::chrono::duration<double>(Clock::now() - gStart).count();
}

inline void
Sleep(double aSeconds)
{
  if (aSeconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
  }
}

// Writes record.txt: one line for each thing that was sent, answered or run.
class Record
{
public:
  void Open(const std::string& aPath) { mFile = std::fopen(aPath.c_str(), "w"); }

  void Line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    std::lock_guard lock(mMutex);
    va_list arguments;
    va_start(arguments, aFormat);
    if (mFile != nullptr) {
      std::fprintf(mFile, "%9.4f ", Now());
      std::vfprintf(mFile, aFormat, arguments);
      std::fputc('\n', mFile);
      std::fflush(mFile);
    }
    va_end(arguments);
  }

private:
  std::mutex mMutex;
  std::FILE* mFile = nullptr;
};

inline Record gRecord;

[[noreturn]] void
Finish(int aCode);

[[noreturn]] inline void
CannotRun(const std::string& aWhy)
{
  gRecord.Line("cannot run: %s", aWhy.c_str());
  std::fprintf(stderr, "cannot run: %s\n", aWhy.c_str());
  Finish(2);
}

struct Message
{
  // The request line, or the status line.
  std::string mFirstLine;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;
  // The message came in full: its head, and its body as its head says.
  bool mWhole = false;
  // The head came in full.
  bool mHead = false;

  std::string Header(const std::string& aName) const
  {
    for (const auto& [name, value] : mHeaders) {
      if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }

  int Status() const { return mFirstLine.size() > 12 ? std::atoi(mFirstLine.c_str() + 9) : 0; }
  std::string Method() const { return mFirstLine.substr(0, mFirstLine.find(' ')); }
  std::string Target() const
  {
    const std::size_t first = mFirstLine.find(' ');
    return mFirstLine.substr(first + 1, mFirstLine.rfind(' ') - first - 1);
  }
};

inline sockaddr_in
Address(const std::string& aIp, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

// A connection with a buffer of bytes that were received and not used yet.
class Stream
{
public:
  explicit Stream(int aFd)
    : mFd(aFd)
  {
    const int on = 1;
    setsockopt(mFd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Stream() { Close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  static std::unique_ptr<Stream> Connect(const std::string& aIp, int aPort, double aTimeout)
  {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = Address(aIp, aPort);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
      pollfd waiting{ fd, POLLOUT, 0 };
      int error = errno == EINPROGRESS ? 0 : errno;
      if (error == 0 && poll(&waiting, 1, static_cast<int>(aTimeout * 1000)) != 1) {
        error = ETIMEDOUT;
      }
      socklen_t size = sizeof(error);
      if (error == 0) {
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
      }
      if (error != 0) {
        close(fd);
        return nullptr;
      }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<Stream>(fd);
  }

  bool Send(const std::string& aBytes)
  {
    std::size_t done = 0;
    while (done < aBytes.size()) {
      const ssize_t count = send(mFd, aBytes.data() + done, aBytes.size() - done, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      done += static_cast<std::size_t>(count);
    }
    return true;
  }

  // Receives more bytes. Returns what recv returns, or -2 if none came in time.
  ssize_t Receive(double aUntil)
  {
    pollfd waiting{ mFd, POLLIN, 0 };
    const double left = aUntil - Now();
    if (left <= 0 || poll(&waiting, 1, static_cast<int>(left * 1000) + 1) <= 0) {
      return -2;
    }
    char chunk[16384];
    const ssize_t count = recv(mFd, chunk, sizeof(chunk), 0);
    if (count > 0) {
      mBuffer.append(chunk, static_cast<std::size_t>(count));
    }
    return count;
  }

  bool ReadHead(Message& aOut, double aUntil)
  {
    std::size_t end = 0;
    while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      if (Receive(aUntil) <= 0) {
        return false;
      }
    }
    std::istringstream lines(mBuffer.substr(0, end));
    mBuffer.erase(0, end + 4);
    std::string line;
    std::getline(lines, line);
    aOut.mFirstLine = line.substr(0, line.find('\r'));
    while (std::getline(lines, line)) {
      line = line.substr(0, line.find('\r'));
      const std::size_t colon = line.find(':');
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      aOut.mHeaders.emplace_back(line.substr(0, colon),
                                 value == std::string::npos ? "" : line.substr(value));
    }
    aOut.mHead = true;
    return true;
  }

  // Reads a whole message. aAnswer: its body may end with the connection.
  Message Read(double aUntil, bool aAnswer)
  {
    Message message;
    if (!ReadHead(message, aUntil)) {
      return message;
    }
    const std::string length = message.Header("content-length");
    if (strcasecmp(message.Header("transfer-encoding").c_str(), "chunked") == 0) {
      for (;;) {
        std::size_t end = 0;
        while ((end = mBuffer.find("\r\n")) == std::string::npos) {
          if (Receive(aUntil) <= 0) {
            return message;
          }
        }
        const std::size_t size = std::strtoull(mBuffer.c_str(), nullptr, 16);
        while (mBuffer.size() < end + 2 + size + 2) {
          if (Receive(aUntil) <= 0) {
            return message;
          }
        }
        message.mBody += mBuffer.substr(end + 2, size);
        mBuffer.erase(0, end + 2 + size + 2);
        if (size == 0) {
          message.mWhole = true;
          return message;
        }
      }
    }
    if (!length.empty() || !aAnswer) {
      const std::size_t size = std::strtoull(length.c_str(), nullptr, 10);
      while (mBuffer.size() < size) {
        if (Receive(aUntil) <= 0) {
          message.mBody = mBuffer;
          return message;
        }
      }
      message.mBody = mBuffer.substr(0, size);
      mBuffer.erase(0, size);
      message.mWhole = true;
      return message;
    }
    for (;;) {
      const ssize_t count = Receive(aUntil);
      if (count <= 0) {
        message.mBody = mBuffer;
        mBuffer.clear();
        message.mWhole = count == 0;
        return message;
      }
    }
  }

  // Ends the connection with a reset.
  void Reset()
  {
    const linger hard{ 1, 0 };
    setsockopt(mFd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    Close();
  }

  void Close()
  {
    if (mFd >= 0) {
      close(mFd);
      mFd = -1;
    }
  }

  int Fd() const { return mFd; }
  std::string& Buffer() { return mBuffer; }

private:
  int mFd;
  std::string mBuffer;
};

inline std::string
MakeRequest(const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aHost,
            const std::vector<std::pair<std::string, std::string>>& aHeaders,
            const std::string& aBody)
{
  std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\nHost: " + aHost + "\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  if (!aBody.empty() || aMethod != "GET") {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

// One call on a connection of its own.
inline Message
Call(const std::string& aIp, int aPort, const std::string& aRequest, double aTimeout)
{
  const double until = Now() + aTimeout;
  const auto stream = Stream::Connect(aIp, aPort, std::min(aTimeout, 1.0));
  if (stream == nullptr || !stream->Send(aRequest)) {
    return {};
  }
  return stream->Read(until, true);
}

struct Host
{
  std::string mName;
  std::string mZone;
  std::string mIp;
  bool mCoordinator = false;
  pid_t mPid = -1;
};

// The project's processes. Ports are the same on all hosts; each host has its own loopback address.
class Fleet
{
public:
  explicit Fleet(const std::string& aFolder)
    : mFolder(aFolder)
  {
    std::random_device entropy;
    for (int attempt = 0; attempt < 50; ++attempt) {
      mNet = 20 + static_cast<int>(entropy() % 200);
      mPort = 21000 + static_cast<int>(entropy() % 8000);
      bool free = true;
      for (int port = mPort; port < mPort + 8; ++port) {
        free = free && PortIsFree(Ip(1), port);
      }
      // The port of the metrics in the templates.
      for (int host = 1; host <= 8; ++host) {
        free = free && PortIsFree(Ip(host), 9464);
      }
      if (free) {
        return;
      }
    }
    CannotRun("no free ports");
  }

  std::string Ip(int aHost) const { return "127." + std::to_string(mNet) + ".1." + std::to_string(aHost); }
  int Front() const { return mPort; }
  int Ready() const { return mPort + 1; }
  int Control() const { return mPort + 2; }
  int Directory() const { return mPort + 3; }

  Host& Add(const std::string& aName, const std::string& aZone, bool aCoordinator)
  {
    mHosts.push_back(std::make_unique<Host>());
    Host& host = *mHosts.back();
    host.mName = aName;
    host.mZone = aZone;
    host.mCoordinator = aCoordinator;
    host.mIp = Ip(static_cast<int>(mHosts.size()));
    return host;
  }

  // Fills the template of the deploy file and starts the command of the role.
  void Start(Host& aHost, bool aFirst)
  {
    const std::string settings = mFolder + "/" + aHost.mName + ".toml";
    std::ifstream in(aHost.mCoordinator ? "deploy/coordinator.toml" : "deploy/gateway.toml");
    std::stringstream text;
    text << in.rdbuf();
    std::string filled = text.str();
    if (filled.empty()) {
      CannotRun("no template; run in the repository's root");
    }
    std::string seeds;
    for (const auto& host : mHosts) {
      if (host->mCoordinator) {
        seeds += std::string(seeds.empty() ? "" : ", ") + Quote(host->mIp, Control());
      }
    }
    const std::string data = mFolder + "/data-" + aHost.mName;
    if (aHost.mCoordinator) {
      mkdir(data.c_str(), 0700);
    }
    const std::vector<std::pair<std::string, std::string>> values = {
      { "node|json", "\"" + aHost.mName + "\"" },
      { "zone|json", "\"" + aHost.mZone + "\"" },
      { "ip", aHost.mIp },
      { "listen_addrs.front|json", Quote(aHost.mIp, Front()) },
      { "listen_addrs.ready|json", Quote(aHost.mIp, Ready()) },
      { "listen_addrs.control|json", Quote(aHost.mIp, Control()) },
      { "listen_addrs.directory|json", Quote(aHost.mIp, Directory()) },
      { "internal_ports.0", std::to_string(mPort + 4) },
      { "internal_ports.1", std::to_string(mPort + 5) },
      { "seeds|json", "[" + seeds + "]" },
      { "limits.cpu_share", "0.25" },
      { "data_dir|json", "\"" + data + "\"" },
      { "bootstrap", aFirst ? "true" : "false" },
      { "fault_tolerance.machines", "1" },
      { "bounds.grace_s", "6" },
      { "bounds.retry_budget_ratio", "0.2" },
      { "bounds.budget_window_s", "10" },
      { "bounds.budget_slack", "58" },
    };
    for (const auto& [name, value] : values) {
      const std::string place = "{{" + name + "}}";
      for (std::size_t at = 0; (at = filled.find(place)) != std::string::npos;) {
        filled.replace(at, place.size(), value);
      }
    }
    if (filled.find("{{") != std::string::npos) {
      CannotRun("a placeholder of the template is not known: " + filled.substr(filled.find("{{"), 40));
    }
    std::ofstream(settings) << filled;
    const std::string program = aHost.mCoordinator ? "target/apricot-coordinator" : "target/apricot-gateway";
    if (access(program.c_str(), X_OK) != 0) {
      CannotRun(program + " is missing");
    }
    const std::string log = mFolder + "/" + aHost.mName + ".log";
    const pid_t pid = fork();
    if (pid == 0) {
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, 1);
      dup2(out, 2);
      execl(program.c_str(), program.c_str(), "--settings", settings.c_str(), nullptr);
      _exit(127);
    }
    aHost.mPid = pid;
    gRecord.Line("start %s at %s, process %d", aHost.mName.c_str(), aHost.mIp.c_str(), pid);
  }

  void StartAll()
  {
    for (const auto& host : mHosts) {
      Start(*host, true);
    }
  }

  void Signal(Host& aHost, int aSignal)
  {
    gRecord.Line("signal %d to %s", aSignal, aHost.mName.c_str());
    kill(aHost.mPid, aSignal);
    if (aSignal == SIGKILL) {
      waitpid(aHost.mPid, nullptr, 0);
      aHost.mPid = -1;
    }
  }

  void KillAll()
  {
    for (const auto& host : mHosts) {
      if (host->mPid > 0) {
        kill(host->mPid, SIGKILL);
        waitpid(host->mPid, nullptr, 0);
        host->mPid = -1;
      }
    }
  }

  // Whether a process ended by itself.
  bool AnyEnded()
  {
    bool ended = false;
    for (const auto& host : mHosts) {
      int status = 0;
      if (host->mPid > 0 && waitpid(host->mPid, &status, WNOHANG) == host->mPid) {
        gRecord.Line("%s ended by itself, status %d", host->mName.c_str(), status);
        host->mPid = -1;
        ended = true;
      }
    }
    return ended;
  }

  std::vector<Host*> Coordinators()
  {
    std::vector<Host*> found;
    for (const auto& host : mHosts) {
      if (host->mCoordinator) {
        found.push_back(host.get());
      }
    }
    return found;
  }

  const std::string& Folder() const { return mFolder; }

  // The operator sends a configuration until it is acknowledged. False after aTimeout seconds.
  bool PutConfig(const std::string& aBody, double aTimeout)
  {
    const double until = Now() + aTimeout;
    std::size_t next = 0;
    const auto hosts = Coordinators();
    while (Now() < until) {
      std::string ip = hosts[next++ % hosts.size()]->mIp;
      int port = Control();
      for (int hop = 0; hop < 3; ++hop) {
        const Message answer = Call(ip,
                                    port,
                                    MakeRequest("PUT",
                                                "/config",
                                                ip + ":" + std::to_string(port),
                                                { { "Content-Type", "application/json" } },
                                                aBody),
                                    1.0);
        if (answer.mWhole && answer.Status() == 200) {
          gRecord.Line("operator: configuration acknowledged by %s", ip.c_str());
          return true;
        }
        const std::string location = answer.Header("location");
        if (answer.Status() != 307 || location.rfind("http://", 0) != 0) {
          break;
        }
        const std::string rest = location.substr(7);
        ip = rest.substr(0, rest.find(':'));
        port = std::atoi(rest.c_str() + rest.find(':') + 1);
      }
      Sleep(0.2);
    }
    return false;
  }

  bool WaitReady(const Host& aGateway, double aTimeout)
  {
    const double until = Now() + aTimeout;
    while (Now() < until) {
      if (Call(aGateway.mIp, Ready(), MakeRequest("GET", "/ready", "ready", {}, ""), 1.0).Status() == 200) {
        gRecord.Line("%s is ready", aGateway.mName.c_str());
        return true;
      }
      Sleep(0.1);
    }
    return false;
  }

private:
  static std::string Quote(const std::string& aIp, int aPort)
  {
    return "\"" + aIp + ":" + std::to_string(aPort) + "\"";
  }

  static bool PortIsFree(const std::string& aIp, int aPort)
  {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Address(aIp, aPort);
    const bool free = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    return free;
  }

  std::string mFolder;
  int mNet = 0;
  int mPort = 0;
  std::vector<std::unique_ptr<Host>> mHosts;
};

// A replica: accepts connections, serves one request at a time on each, and announces itself.
class Replica
{
public:
  // Serves one request on the stream. Returns whether the connection goes on.
  using Handler = std::function<bool(Replica&, Stream&, const Message&)>;

  Replica(std::string aId, std::string aService, std::string aZone, std::string aIp, Handler aHandler)
    : mId(std::move(aId))
    , mService(std::move(aService))
    , mZone(std::move(aZone))
    , mIp(std::move(aIp))
    , mHandler(std::move(aHandler))
    , mBorn(std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1))
  {
    mListener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Address(mIp, 0);
    socklen_t size = sizeof(address);
    if (bind(mListener, reinterpret_cast<const sockaddr*>(&address), size) != 0 || listen(mListener, 128) != 0) {
      CannotRun("a replica cannot listen");
    }
    getsockname(mListener, reinterpret_cast<sockaddr*>(&address), &size);
    mPort = ntohs(address.sin_port);
    std::thread([this] { Accept(); }).detach();
  }

  // Heartbeats go to the control address of one coordinator, and to the next one after a failure.
  void Announce(std::vector<std::pair<std::string, int>> aCoordinators)
  {
    mCoordinators = std::move(aCoordinators);
    std::thread([this] {
      while (!mSilent) {
        Beat();
        Sleep(1.2);
      }
    }).detach();
  }

  // Stops the heartbeats and tells the coordinator that acknowledged the last one that the replica leaves. Returns the
  // address of the one that acknowledged it, or nothing.
  std::string Leave()
  {
    mSilent = true;
    std::lock_guard lock(mBeatMutex);
    const auto& [ip, port] = mCoordinators[mCurrent % mCoordinators.size()];
    const Message answer = Call(
      ip,
      port,
      MakeRequest("DELETE", "/instances/" + mId, ip, { { "Content-Type", "application/json" } }, "{\"born\":" + std::to_string(mBorn) + "}"),
      1.0);
    return answer.mWhole && answer.Status() / 100 == 2 ? ip : "";
  }

  // From now on packets from this address do not reach the replica, as if the link were cut.
  bool CutOff(const std::string& aIp)
  {
    std::lock_guard lock(mMutex);
    mCutIp = aIp;
    bool done = Drop(mListener, aIp);
    for (const auto& [fd, peer] : mOpen) {
      if (peer == aIp) {
        done = Drop(fd, aIp) && done;
      }
    }
    return done;
  }

  // The cut heals.
  void Heal()
  {
    std::lock_guard lock(mMutex);
    mCutIp.clear();
    const int unused = 0;
    setsockopt(mListener, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused));
    for (const auto& [fd, peer] : mOpen) {
      setsockopt(fd, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused));
    }
  }

  const std::string& Id() const { return mId; }
  const std::string& Ip() const { return mIp; }
  int Port() const { return mPort; }
  std::int64_t Born() const { return mBorn; }
  std::uint64_t Sequence()
  {
    std::lock_guard lock(mBeatMutex);
    return mSequence;
  }
  // It has begun to leave. It says so in its answers.
  bool Leaving() const { return mSilent; }
  int Beats() const { return mBeats; }

  // From now on, connections have small segments and a small receive buffer, as the platform's links have "small windows, so a
  // peer that does not read blocks the writer". Loopback's segments of 64 KB would let the sender's buffer hold megabytes.
  void UseSmallWindows()
  {
    const int segment = 536;
    const int buffer = 4096;
    setsockopt(mListener, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
    setsockopt(mListener, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
  }

private:
  // A packet filter on the stand-in's own socket drops what comes from the address.
  static bool Drop(int aFd, const std::string& aIp)
  {
    sock_filter code[] = {
      BPF_STMT(BPF_LD | BPF_W | BPF_ABS, static_cast<std::uint32_t>(SKF_NET_OFF + 12)),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, ntohl(inet_addr(aIp.c_str())), 0, 1),
      BPF_STMT(BPF_RET | BPF_K, 0),
      BPF_STMT(BPF_RET | BPF_K, 0xffffffff),
    };
    const sock_fprog program{ 4, code };
    return setsockopt(aFd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) == 0;
  }

  void Beat()
  {
    std::lock_guard lock(mBeatMutex);
    ++mSequence;
    for (std::size_t i = 0; i < mCoordinators.size(); ++i) {
      const auto& [ip, port] = mCoordinators[mCurrent % mCoordinators.size()];
      const std::string body = "{\"service\":\"" + mService + "\",\"address\":\"" + mIp + ":" + std::to_string(mPort) +
                               "\",\"zone\":\"" + mZone + "\",\"version\":\"v1\",\"slots\":5,\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":" +
                               std::to_string(mSequence) + ",\"born\":" + std::to_string(mBorn) + "}";
      const Message answer =
        Call(ip, port, MakeRequest("PUT", "/instances/" + mId, ip, { { "Content-Type", "application/json" } }, body), 1.0);
      if (answer.mWhole && answer.Status() / 100 == 2) {
        ++mBeats;
        return;
      }
      ++mCurrent;
    }
  }

  void Accept()
  {
    for (;;) {
      sockaddr_in peer{};
      socklen_t size = sizeof(peer);
      const int fd = accept4(mListener, reinterpret_cast<sockaddr*>(&peer), &size, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      char text[INET_ADDRSTRLEN];
      inet_ntop(AF_INET, &peer.sin_addr, text, sizeof(text));
      {
        std::lock_guard lock(mMutex);
        mOpen[fd] = text;
        if (!mCutIp.empty() && mCutIp == text) {
          Drop(fd, mCutIp);
        }
      }
      std::thread([this, fd] {
        Stream stream(fd);
        for (;;) {
          Message head;
          if (!stream.ReadHead(head, Now() + 300)) {
            break;
          }
          if (!mHandler(*this, stream, head)) {
            break;
          }
        }
        std::lock_guard lock(mMutex);
        mOpen.erase(fd);
        stream.Close();
      }).detach();
    }
  }

  const std::string mId;
  const std::string mService;
  const std::string mZone;
  const std::string mIp;
  const Handler mHandler;
  const std::int64_t mBorn;
  int mListener = -1;
  int mPort = 0;
  std::mutex mMutex;
  std::map<int, std::string> mOpen;
  std::string mCutIp;
  std::mutex mBeatMutex;
  std::vector<std::pair<std::string, int>> mCoordinators;
  std::size_t mCurrent = 0;
  std::uint64_t mSequence = 0;
  std::atomic<int> mBeats{ 0 };
  std::atomic<bool> mSilent{ false };
};

// Reads the rest of a request's body whose head was read.
inline bool
ReadBody(Stream& aStream, const Message& aHead, std::string& aBody, double aTimeout)
{
  const std::size_t size = std::strtoull(aHead.Header("content-length").c_str(), nullptr, 10);
  const double until = Now() + aTimeout;
  while (aStream.Buffer().size() < size) {
    if (aStream.Receive(until) <= 0) {
      return false;
    }
  }
  aBody = aStream.Buffer().substr(0, size);
  aStream.Buffer().erase(0, size);
  return true;
}

inline std::string
MakeAnswer(const std::string& aStatus,
           const std::vector<std::pair<std::string, std::string>>& aHeaders,
           const std::string& aBody)
{
  std::string text = "HTTP/1.1 " + aStatus + "\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

inline std::string
MakeId()
{
  static std::mutex mutex;
  static std::mt19937_64 engine{ std::random_device()() };
  std::lock_guard lock(mutex);
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(engine()));
  return text;
}

inline Fleet* gFleet = nullptr;

[[noreturn]] inline void
Finish(int aCode)
{
  if (gFleet != nullptr) {
    gFleet->KillAll();
  }
  gRecord.Line("exit %d", aCode);
  std::fflush(nullptr);
  _exit(aCode);
}

// Arguments: the folder for record.txt and a temporary folder. TROUBLE=0 leaves the disruption out.
inline bool
Begin(int aCount, char** aArguments)
{
  signal(SIGPIPE, SIG_IGN);
  if (aCount != 3) {
    std::fprintf(stderr, "usage: %s RECORD_FOLDER TEMPORARY_FOLDER\n", aArguments[0]);
    std::exit(2);
  }
  gRecord.Open(std::string(aArguments[1]) + "/record.txt");
  // Ends the processes also if a wait never ends.
  std::thread([] {
    Sleep(110);
    CannotRun("the case took too long");
  }).detach();
  const char* const trouble = std::getenv("TROUBLE");
  const bool on = trouble == nullptr || std::string(trouble) != "0";
  gRecord.Line("trouble: %s", on ? "yes" : "no");
  return on;
}

} // namespace review
