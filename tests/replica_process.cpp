#include "replica_process.h"

#include "http_client.h"
#include "process_protocol.h"
#include "settings.h"

#include <cstdlib>
#include <fstream>
#include <thread>

#include <fmt/format.h>
#include <unistd.h>

namespace apricotyard {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAnnouncePause{ 400 };
constexpr milliseconds kWorkTime{ 10 };

enum Argument
{
  Address = 2,
  Service,
  Kind,
  Away,
  CrashLog,
  Incarnation,
  FirstCoordinator,
};

// Value of a header of a request, or an empty string.
std::string
HeaderOf(const std::string& aHead, const std::string& aName)
{
  const std::size_t start = aHead.find("\r\n" + aName + ": ");
  if (start == std::string::npos) {
    return "";
  }
  const std::size_t value = start + aName.size() + 4;
  return aHead.substr(value, aHead.find("\r\n", value) - value);
}

class Replica
{
public:
  Replica(int aCount, char** aArguments)
    : mAddress(*ParseSocketAddress(aArguments[Address]))
    , mIncarnation(std::strtoull(aArguments[Incarnation], nullptr, 10))
    , mId(fmt::format("i-{}-{}", mAddress.mPort, mIncarnation))
    , mService(aArguments[Service])
    , mCoordinators(aArguments + FirstCoordinator, aArguments + aCount)
  {
    CrashingServerSettings settings;
    settings.mAddress = mAddress;
    settings.mCrashes = [](const std::string& aRequest) { return aRequest == "GET /crash"; };
    settings.mReply = [this](const std::string& aHead) { return Reply(aHead); };
    settings.mWorkTime = kWorkTime;
    settings.mKind = static_cast<CrashKind>(std::atoi(aArguments[Kind]));
    settings.mOnCrash = [this, log = std::string(aArguments[CrashLog])] {
      std::ofstream(log, std::ios::app) << SteadyNow().time_since_epoch().count() << std::endl;
      mLoop.Stop();
    };
    mServer.emplace(mLoop, std::move(settings));
  }

  // Returns after a crash.
  void Run()
  {
    Announce();
    mLoop.AddPeriodic(kAnnouncePause, [this] { Announce(); });
    mLoop.Run();
  }

private:
  std::string Reply(const std::string& aHead) const
  {
    const std::string expected = HeaderOf(aHead, "x-expect");
    if (!expected.empty() && expected != mId) {
      return "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
    }
    return fmt::format(
      "HTTP/1.1 200 OK\r\nX-Id: {}\r\nX-Signature: {}\r\nContent-Length: 0\r\n\r\n",
      HeaderOf(aHead, "X-Id"),
      mId);
  }

  void Announce()
  {
    ClientRequest request;
    request.mMethod = "PUT";
    request.mAddress = { mCoordinators[mNextCoordinator % mCoordinators.size()], kControlPort };
    request.mPath = fmt::format("/upstreams/{}?incarnation={}&sequence={}&service={}&address={}",
                                mId,
                                mIncarnation,
                                ++mSequence,
                                mService,
                                FormatSocketAddress(mAddress));
    request.mTimeout = kAnnouncePause;
    mClient.Send(std::move(request), [this](const ClientReply& aReply) {
      mNextCoordinator += aReply.mStatus == 200 ? 0 : 1;
    });
  }

  const SocketAddress mAddress;
  const std::uint64_t mIncarnation;
  const std::string mId;
  const std::string mService;
  const std::vector<std::string> mCoordinators;
  Loop mLoop;
  HttpClient mClient{ mLoop, "", 0 };
  std::optional<CrashingServer> mServer;
  std::size_t mNextCoordinator = 0;
  std::uint64_t mSequence = 0;
};

} // namespace

int
RunReplicaProcess(int aCount, char** aArguments)
{
  if (aCount <= FirstCoordinator) {
    return EXIT_FAILURE;
  }
  {
    Replica replica(aCount, aArguments);
    replica.Run();
    // What stays silent does so until the process is replaced.
    std::this_thread::sleep_for(milliseconds(std::atoi(aArguments[Away])));
  }
  std::string incarnation = std::to_string(std::strtoull(aArguments[Incarnation], nullptr, 10) + 1);
  aArguments[Incarnation] = incarnation.data();
  execv("/proc/self/exe", aArguments);
  return EXIT_FAILURE;
}

std::vector<std::string>
ReplicaArguments(const ReplicaProcessSettings& aSettings)
{
  std::vector<std::string> arguments{
    kRunReplicaArgument,
    FormatSocketAddress(aSettings.mAddress),
    aSettings.mService,
    std::to_string(static_cast<int>(aSettings.mKind)),
    std::to_string(aSettings.mAway.count()),
    aSettings.mCrashLog.string(),
    "1",
  };
  arguments.insert(arguments.end(), aSettings.mCoordinators.begin(), aSettings.mCoordinators.end());
  return arguments;
}

} // namespace apricotyard
