// Starts a small deployment on loopback addresses with the commands and settings templates of deploy/, and
// provides stand-ins for replicas, clients, the operator and the platform. Used by the cases of review/11
// and later. Plain sockets and threads; no library besides the system's.
#ifndef APRICOTYARD_REVIEW_TOOLS_3_RIG_H
#define APRICOTYARD_REVIEW_TOOLS_3_RIG_H

#include <algorithm>
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
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline long
NowMs()
{
  static const auto sStart = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - sStart)
    .count();
}

inline long
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void
SleepMs(long aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

// Writes record.txt. Thread-safe.
class Record
{
public:
  static void Open(const std::string& aPath)
  {
    std::lock_guard lock(Mutex());
    File() = std::fopen(aPath.c_str(), "w");
  }

  static void Line(const char* aFormat, ...) __attribute__((format(printf, 1, 2)))
  {
    std::lock_guard lock(Mutex());
    va_list arguments;
    va_start(arguments, aFormat);
    char text[1024];
    std::vsnprintf(text, sizeof(text), aFormat, arguments);
    va_end(arguments);
    if (File() != nullptr) {
      std::fprintf(File(), "%8.3f %s\n", NowMs() / 1000.0, text);
      std::fflush(File());
    }
    std::printf("%8.3f %s\n", NowMs() / 1000.0, text);
    std::fflush(stdout);
  }

private:
  static std::mutex& Mutex()
  {
    static std::mutex sMutex;
    return sMutex;
  }
  static FILE*& File()
  {
    static FILE* sFile = nullptr;
    return sFile;
  }
};

struct Address
{
  std::string mIp;
  int mPort = 0;
  std::string Text() const { return mIp + ":" + std::to_string(mPort); }
};

inline sockaddr_in
Native(const Address& aAddress)
{
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(static_cast<uint16_t>(aAddress.mPort));
  inet_pton(AF_INET, aAddress.mIp.c_str(), &native.sin_addr);
  return native;
}

inline int
Listen(const Address& aAddress)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const sockaddr_in native = Native(aAddress);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&native), sizeof(native)) != 0 || listen(fd, 256) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline int
Connect(const Address& aAddress, long aTimeoutMs)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  const sockaddr_in native = Native(aAddress);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&native), sizeof(native)) != 0) {
    pollfd item{ fd, POLLOUT, 0 };
    int error = 0;
    socklen_t length = sizeof(error);
    if (errno != EINPROGRESS || poll(&item, 1, static_cast<int>(aTimeoutMs)) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
      close(fd);
      return -1;
    }
  }
  return fd;
}

inline std::string
Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aC) { return std::tolower(aC); });
  return aText;
}

// A request or a response with a Content-Length, or a request without a body.
struct Message
{
  std::string mFirstLine;
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
  int Status() const { return mFirstLine.size() >= 12 ? std::atoi(mFirstLine.c_str() + 9) : 0; }
  std::string Method() const { return mFirstLine.substr(0, mFirstLine.find(' ')); }
  std::string Target() const
  {
    const size_t first = mFirstLine.find(' ');
    return mFirstLine.substr(first + 1, mFirstLine.rfind(' ') - first - 1);
  }
  std::string Header(const std::string& aName) const
  {
    const auto found = mHeaders.find(Lower(aName));
    return found == mHeaders.end() ? "" : found->second;
  }
};

// Reads messages from a socket.
class Reader
{
public:
  explicit Reader(int aFd)
    : mFd(aFd)
  {
  }

  // False at the end of the stream, on an error or after the deadline (NowMs).
  bool Read(Message& aOut, long aDeadline)
  {
    size_t end = 0;
    while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(aDeadline)) {
        return false;
      }
    }
    aOut = {};
    std::istringstream head(mBuffer.substr(0, end));
    std::getline(head, aOut.mFirstLine);
    if (!aOut.mFirstLine.empty() && aOut.mFirstLine.back() == '\r') {
      aOut.mFirstLine.pop_back();
    }
    for (std::string line; std::getline(head, line);) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      const size_t colon = line.find(':');
      if (colon != std::string::npos) {
        size_t begin = colon + 1;
        while (begin < line.size() && line[begin] == ' ') {
          ++begin;
        }
        aOut.mHeaders[Lower(line.substr(0, colon))] = line.substr(begin);
      }
    }
    mBuffer.erase(0, end + 4);
    const size_t length = static_cast<size_t>(std::atol(aOut.Header("content-length").c_str()));
    while (mBuffer.size() < length) {
      if (!Fill(aDeadline)) {
        return false;
      }
    }
    aOut.mBody = mBuffer.substr(0, length);
    mBuffer.erase(0, length);
    return true;
  }

private:
  bool Fill(long aDeadline)
  {
    const long left = aDeadline - NowMs();
    pollfd item{ mFd, POLLIN, 0 };
    if (left <= 0 || poll(&item, 1, static_cast<int>(left)) != 1) {
      return false;
    }
    char buffer[65536];
    const ssize_t count = recv(mFd, buffer, sizeof(buffer), 0);
    if (count <= 0) {
      return false;
    }
    mBuffer.append(buffer, static_cast<size_t>(count));
    return true;
  }

  int mFd;
  std::string mBuffer;
};

inline bool
SendAll(int aFd, const std::string& aText)
{
  size_t done = 0;
  while (done < aText.size()) {
    const ssize_t count = send(aFd, aText.data() + done, aText.size() - done, MSG_NOSIGNAL);
    if (count < 0 && errno == EAGAIN) {
      pollfd item{ aFd, POLLOUT, 0 };
      if (poll(&item, 1, 5000) != 1) {
        return false;
      }
      continue;
    }
    if (count <= 0) {
      return false;
    }
    done += static_cast<size_t>(count);
  }
  return true;
}

struct Answer
{
  // 0 if there was no whole response.
  int mStatus = 0;
  Message mMessage;
};

// Makes one call on a new connection.
inline Answer
Call(const Address& aAddress,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::vector<std::pair<std::string, std::string>>& aHeaders,
     const std::string& aBody,
     long aTimeoutMs)
{
  Answer answer;
  const long deadline = NowMs() + aTimeoutMs;
  const int fd = Connect(aAddress, std::min(aTimeoutMs, 1000L));
  if (fd < 0) {
    return answer;
  }
  std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\n";
  bool host = false;
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
    host |= Lower(name) == "host";
  }
  if (!host) {
    text += "Host: " + aAddress.Text() + "\r\n";
  }
  if (!aBody.empty()) {
    text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  text += "\r\n" + aBody;
  Reader reader(fd);
  if (SendAll(fd, text) && reader.Read(answer.mMessage, deadline)) {
    answer.mStatus = answer.mMessage.Status();
  }
  close(fd);
  return answer;
}

// A process of the project.
struct Process
{
  std::string mName;
  std::string mProgram;
  std::string mSettings;
  std::string mLog;
  pid_t mPid = -1;

  bool Start()
  {
    mPid = fork();
    if (mPid == 0) {
      // The process ends with the case, however the case ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open(mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(log, 1);
      dup2(log, 2);
      execl(mProgram.c_str(), mProgram.c_str(), "--settings", mSettings.c_str(), nullptr);
      _exit(127);
    }
    return mPid > 0;
  }

  bool Running() const { return mPid > 0 && waitpid(mPid, nullptr, WNOHANG) == 0; }

  void Signal(int aSignal) const
  {
    if (mPid > 0) {
      kill(mPid, aSignal);
    }
  }

  void Kill()
  {
    if (mPid > 0) {
      kill(mPid, SIGKILL);
      waitpid(mPid, nullptr, 0);
      mPid = -1;
    }
  }
};

// Three coordinators and some gateways, each on an address of its own.
class Deployment
{
public:
  // aPrograms is the folder of the programs; the working directory is the repository's root.
  Deployment(std::string aPrograms, int aCoordinators, int aGateways)
    : mPrograms(std::move(aPrograms))
  {
    // run.sh names a temporary folder and removes it.
    const char* const folder = std::getenv("CASE_FOLDER");
    char path[] = "/tmp/apricot-review-XXXXXX";
    mFolder = folder != nullptr ? folder : mkdtemp(path);
    FindFreePorts();
    for (int i = 1; i <= aCoordinators; ++i) {
      mCoordinatorIps.push_back("127." + std::to_string(mNet) + ".1." + std::to_string(i));
    }
    for (int i = 1; i <= aGateways; ++i) {
      mGatewayIps.push_back("127." + std::to_string(mNet) + ".2." + std::to_string(i));
    }
  }

  ~Deployment() { Stop(); }

  Address Control(size_t aIndex) const { return { mCoordinatorIps[aIndex], mPort }; }
  Address Directory(size_t aIndex) const { return { mCoordinatorIps[aIndex], mPort + 1 }; }
  Address Front(size_t aIndex) const { return { mGatewayIps[aIndex], mPort + 2 }; }
  Address Ready(size_t aIndex) const { return { mGatewayIps[aIndex], mPort + 3 }; }
  Address Replica(int aNumber) const
  {
    return { "127." + std::to_string(mNet) + ".3." + std::to_string(aNumber), mPort + 4 };
  }
  const std::string& Folder() const { return mFolder; }
  std::vector<Process>& Coordinators() { return mCoordinators; }
  std::vector<Process>& Gateways() { return mGateways; }
  const std::string& Zone(size_t aIndex) const { return mZones[aIndex % mZones.size()]; }

  void Start()
  {
    std::string seeds;
    for (size_t i = 0; i < mCoordinatorIps.size() && i < 3; ++i) {
      seeds += (seeds.empty() ? "\"" : ", \"") + Control(i).Text() + "\"";
    }
    for (size_t i = 0; i < mCoordinatorIps.size(); ++i) {
      const std::string name = "core-" + std::to_string(i + 1);
      const std::string data = mFolder + "/" + name + ".data";
      mkdir(data.c_str(), 0700);
      std::ofstream(mFolder + "/" + name + ".toml")
        << "host = \"" << name << "\"\ndata_centre = \"" << Zone(i) << "\"\nmetrics_address = \""
        << mCoordinatorIps[i] << ":" << mPort + 5 << "\"\ncontrol_address = \"" << Control(i).Text()
        << "\"\ndirectory_address = \"" << Directory(i).Text() << "\"\nrpc_port = " << mPort + 6
        << "\npeer_port = " << mPort + 7 << "\ndata_folder = \"" << data << "\"\nseeds = [" << seeds
        << "]\nfirst_start = true\ntolerated_losses = 1\n\n[extra_sends]\nwindow = \"10s\"\nfixed = 52.0\n"
        << "pooled = true\n\n[tls]\nplaintext = true\n";
      mCoordinators.push_back({ name, mPrograms + "/apricot-coordinator", mFolder + "/" + name + ".toml",
                                mFolder + "/" + name + ".log", -1 });
    }
    for (size_t i = 0; i < mGatewayIps.size(); ++i) {
      const std::string name = "edge-" + std::to_string(i + 1);
      std::ofstream(mFolder + "/" + name + ".toml")
        << "host = \"" << name << "\"\ndata_centre = \"" << Zone(i) << "\"\nmetrics_address = \""
        << mGatewayIps[i] << ":" << mPort + 5 << "\"\ncaller_address = \"" << Front(i).Text()
        << "\"\nready_address = \"" << Ready(i).Text() << "\"\nrpc_port = " << mPort + 6 << "\nseeds = ["
        << seeds << "]\nprocessor_share = 0.25\nstop_grace = \"6s\"\n\n[extra_sends]\nratio = 0.2\n"
        << "window = \"10s\"\nfixed = 52.0\npooled = true\n\n[tls]\nplaintext = true\n";
      mGateways.push_back({ name, mPrograms + "/apricot-gateway", mFolder + "/" + name + ".toml",
                            mFolder + "/" + name + ".log", -1 });
    }
    for (Process& process : mCoordinators) {
      process.Start();
    }
    for (Process& process : mGateways) {
      process.Start();
    }
  }

  // Sends the configuration until it is acknowledged, as an operator does: the next machine after a
  // failure, and redirections are followed.
  bool PutConfig(const std::string& aConfig, long aTimeoutMs) const
  {
    const long deadline = NowMs() + aTimeoutMs;
    for (size_t i = 0; NowMs() < deadline; ++i) {
      Address target = Control(i % mCoordinatorIps.size());
      for (int hop = 0; hop < 3; ++hop) {
        const Answer answer = Call(target, "PUT", "/config", {}, aConfig, 1000);
        if (answer.mStatus == 200) {
          return true;
        }
        if (answer.mStatus != 307) {
          break;
        }
        const std::string location = answer.mMessage.Header("location");
        const size_t begin = location.find("//") + 2;
        const size_t colon = location.find(':', begin);
        target = { location.substr(begin, colon - begin), std::atoi(location.c_str() + colon + 1) };
      }
      SleepMs(100);
    }
    return false;
  }

  // Waits until every gateway says that it is ready.
  bool WaitReady(long aTimeoutMs) const
  {
    const long deadline = NowMs() + aTimeoutMs;
    for (size_t i = 0; i < mGatewayIps.size();) {
      if (Call(Ready(i), "GET", "/ready", {}, "", 1000).mStatus == 200) {
        ++i;
      } else if (NowMs() >= deadline) {
        return false;
      } else {
        SleepMs(100);
      }
    }
    return true;
  }

  // Ends all processes and removes the folder. KEEP=1 keeps it.
  void Stop()
  {
    for (std::vector<Process>* const list : { &mGateways, &mCoordinators }) {
      for (Process& process : *list) {
        process.Kill();
      }
      list->clear();
    }
    if (std::getenv("KEEP") == nullptr && std::getenv("CASE_FOLDER") == nullptr) {
      const std::string command = "rm -rf '" + mFolder + "'";
      [[maybe_unused]] const int result = std::system(command.c_str());
    }
  }

private:
  // Chooses a net of loopback addresses and ports that nobody listens on.
  void FindFreePorts()
  {
    for (int attempt = 0; attempt < 100; ++attempt) {
      mNet = 64 + static_cast<int>((getpid() + attempt) % 128);
      mPort = 20000 + static_cast<int>((getpid() * 13 + attempt * 101) % 8000);
      bool free = true;
      for (int port = mPort; port < mPort + 8 && free; ++port) {
        const int fd = Listen({ "127." + std::to_string(mNet) + ".1.1", port });
        free = fd >= 0;
        if (free) {
          close(fd);
        }
      }
      if (free) {
        return;
      }
    }
  }

  std::string mPrograms;
  std::string mFolder;
  int mNet = 0;
  int mPort = 0;
  std::vector<std::string> mZones{ "tartu-a", "tartu-b", "viljandi" };
  std::vector<std::string> mCoordinatorIps;
  std::vector<std::string> mGatewayIps;
  std::vector<Process> mCoordinators;
  std::vector<Process> mGateways;
};

// A configuration with one service for each name, and one route PREFIX for each: /NAME/.
struct RouteText
{
  std::string mService;
  bool mIdempotent = true;
  int mTimeoutMs = 4000;
  int mMaxAttempts = 2;
};

inline std::string
MakeConfig(int aVersion, const std::vector<RouteText>& aRoutes)
{
  std::string routes;
  std::string services;
  for (const RouteText& route : aRoutes) {
    routes += std::string(routes.empty() ? "" : ",") + "{\"name\":\"r-" + route.mService +
              "\",\"host\":\"hufi27.example\",\"path_prefix\":\"/" + route.mService +
              "/\",\"route_type\":\"" + (route.mIdempotent ? "idempotent" : "non_idempotent") +
              "\",\"timeout_ms\":" + std::to_string(route.mTimeoutMs) +
              ",\"target_latency_ms\":250,\"priority\":2,\"service\":\"" + route.mService +
              "\",\"max_attempts\":" + std::to_string(route.mMaxAttempts) + "}";
    services += std::string(services.empty() ? "" : ",") + "{\"name\":\"" + route.mService +
                "\",\"health_path\":\"/health\",\"max_connections\":42,\"protocol\":\"h1\",\"tls\":false}";
  }
  return "{\"version\":" + std::to_string(aVersion) + ",\"routes\":[" + routes + "],\"services\":[" +
         services +
         "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
         "\"idle_timeout_ms\":15000}}";
}

// A replica that answers requests and reports to the coordinators. Hooks change what it does.
class Replica
{
public:
  struct Settings
  {
    std::string mId;
    std::string mService;
    std::string mZone;
    Address mAddress;
    int mSlots = 4;
    long mWorkMs = 5;
    // Number of the first heartbeat, and what each later one adds.
    unsigned long mFirstSequence = 1;
    // The sequence is the time of the call in Unix microseconds.
    bool mClockSequence = false;
  };

  using Responder = std::function<std::string(Replica&, const Message&)>;

  Replica(const Deployment& aDeployment, Settings aSettings)
    : mDeployment(aDeployment)
    , mSettings(std::move(aSettings))
    , mSequence(mSettings.mFirstSequence)
    , mBorn(UnixMs())
  {
  }

  ~Replica() { End(); }

  // Called for each request that reached the replica, before it is answered. Set before Start.
  std::function<void(Replica&, const Message&)> mOnRequest;
  // Returns the whole response; an empty one closes the connection. Set before Start.
  Responder mRespond;
  // The same with the number of the connection, which is used once.
  std::function<std::string(Replica&, const Message&, int)> mRespondOn;

  const Settings& Config() const { return mSettings; }
  std::string Stamp(const Message& aRequest) const
  {
    return mSettings.mId + "." + aRequest.Header("x-apricotyard-request-id");
  }

  bool Start()
  {
    mListener = Listen(mSettings.mAddress);
    if (mListener < 0) {
      return false;
    }
    mAcceptor = std::thread([this] { Accept(); });
    mBeater = std::thread([this] { Beat(); });
    return true;
  }

  // Stops the heartbeats, without a last word.
  void StopBeats()
  {
    mBeating = false;
    if (mBeater.joinable()) {
      mBeater.join();
    }
  }

  // Sends a heartbeat, to the next machine after a failure. Returns whether it was acknowledged.
  bool SendBeat(const std::string& aState)
  {
    for (int i = 0; i < 3; ++i) {
      const std::string body =
        "{\"service\":\"" + mSettings.mService + "\",\"address\":\"" + mSettings.mAddress.Text() +
        "\",\"zone\":\"" + mSettings.mZone + "\",\"version\":\"v1\",\"slots\":" +
        std::to_string(mSettings.mSlots) + ",\"state\":\"" + aState +
        "\",\"warmup_left_ms\":0,\"sequence\":" + std::to_string(NextSequence()) +
        ",\"born\":" + std::to_string(mBorn) + "}";
      if (Call(mDeployment.Control(mTarget % 3), "PUT", "/instances/" + mSettings.mId, {}, body, 1000)
            .mStatus == 200) {
        return true;
      }
      ++mTarget;
    }
    return false;
  }

  // Says that it is gone, to the next machine after a failure. Returns whether it was acknowledged.
  bool SendLeave()
  {
    for (int i = 0; i < 6; ++i) {
      if (Call(mDeployment.Control(mTarget % 3), "DELETE", "/instances/" + mSettings.mId, {},
               "{\"born\":" + std::to_string(mBorn) + "}", 1000)
            .mStatus == 200) {
        return true;
      }
      ++mTarget;
    }
    return false;
  }

  // Ends the process that this stands for: closes all connections.
  void End()
  {
    StopBeats();
    if (mListener >= 0) {
      mRunning = false;
      shutdown(mListener, SHUT_RDWR);
      close(mListener);
      mListener = -1;
      mAcceptor.join();
      {
        std::lock_guard lock(mMutex);
        for (const int fd : mOpen) {
          shutdown(fd, SHUT_RDWR);
        }
      }
      while (mThreads.load() > 0) {
        SleepMs(5);
      }
    }
  }

private:
  unsigned long NextSequence()
  {
    if (mSettings.mClockSequence) {
      mSequence = std::max(mSequence + 1,
                           static_cast<unsigned long>(
                             std::chrono::duration_cast<std::chrono::microseconds>(
                               std::chrono::system_clock::now().time_since_epoch())
                               .count()));
      return mSequence;
    }
    return mSequence++;
  }

  void Beat()
  {
    while (mBeating) {
      SendBeat("ready");
      for (int i = 0; i < 60 && mBeating; ++i) {
        SleepMs(20);
      }
    }
  }

  void Accept()
  {
    while (mRunning) {
      const int fd = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (!mRunning) {
          return;
        }
        SleepMs(5);
        continue;
      }
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      {
        std::lock_guard lock(mMutex);
        mOpen.push_back(fd);
      }
      ++mThreads;
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  void Serve(int aFd)
  {
    static std::atomic<int> sNextConnection{ 1 };
    const int connection = sNextConnection++;
    Reader reader(aFd);
    Message request;
    while (mRunning && reader.Read(request, NowMs() + 600'000)) {
      if (mOnRequest) {
        mOnRequest(*this, request);
      }
      std::string response;
      if (mRespondOn) {
        response = mRespondOn(*this, request, connection);
      } else if (mRespond) {
        response = mRespond(*this, request);
      } else {
        SleepMs(mSettings.mWorkMs);
        response = Success(request, "ok " + mSettings.mId);
      }
      if (response.empty() || !SendAll(aFd, response)) {
        break;
      }
    }
    {
      std::lock_guard lock(mMutex);
      std::erase(mOpen, aFd);
    }
    close(aFd);
    --mThreads;
  }

public:
  std::string Success(const Message& aRequest, const std::string& aBody, const std::string& aHeaders = "") const
  {
    return "HTTP/1.1 200 OK\r\nX-Apricotyard-Request-Id: " + aRequest.Header("x-apricotyard-request-id") +
           "\r\nX-Apricotyard-Server-Stamp: " + Stamp(aRequest) + "\r\n" + aHeaders +
           "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }

  std::string Refusal(const Message& aRequest, const std::string& aHeaders) const
  {
    return "HTTP/1.1 503 Service Unavailable\r\nX-Apricotyard-Request-Id: " +
           aRequest.Header("x-apricotyard-request-id") + "\r\nX-Apricotyard-Not-Executed: 1\r\n" + aHeaders +
           "Content-Length: 0\r\n\r\n";
  }

private:
  const Deployment& mDeployment;
  const Settings mSettings;
  unsigned long mSequence;
  const long mBorn;
  size_t mTarget = 0;
  int mListener = -1;
  std::atomic<bool> mRunning{ true };
  std::atomic<bool> mBeating{ true };
  std::atomic<int> mThreads{ 0 };
  std::mutex mMutex;
  std::vector<int> mOpen;
  std::thread mAcceptor;
  std::thread mBeater;
};

// Times in which a disruption lasts: aCount times aLengthMs, with pauses. Thread-safe.
class Spells
{
public:
  Spells(int aCount, long aLengthMs, long aPauseMs)
    : mCount(aCount)
    , mLengthMs(aLengthMs)
    , mPauseMs(aPauseMs)
  {
  }

  void Begin() { mBeganAt = NowMs(); }
  long TotalMs() const { return mCount * (mLengthMs + mPauseMs); }
  bool Active() const
  {
    const long began = mBeganAt.load();
    const long since = NowMs() - began;
    return began >= 0 && since < TotalMs() && since % (mLengthMs + mPauseMs) < mLengthMs;
  }

private:
  const long mCount;
  const long mLengthMs;
  const long mPauseMs;
  std::atomic<long> mBeganAt{ -1 };
};

inline bool
WithTrouble()
{
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

inline std::string
NewRequestId()
{
  static std::atomic<unsigned> sNext{ 1 };
  char text[32];
  std::snprintf(text, sizeof(text), "%08lx%08x", static_cast<unsigned long>(getpid()), sNext++);
  return text;
}

} // namespace rig

#endif
