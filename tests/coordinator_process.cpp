#include "coordinator_process.h"

#include "coordinator.h"
#include "test_address.h"

#include <csignal>
#include <cstdlib>

#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace apricotyard {

namespace {

constexpr std::uint16_t kControlPort = 7981;
constexpr std::uint16_t kDirectoryPort = 7982;
constexpr std::uint16_t kRpcPort = 7983;
constexpr std::uint16_t kPeerPort = 7984;

Expected<FleetCall>
DecodeTestCall(const HttpRequest& aRequest)
{
  const std::string prefix = "/upstreams/";
  FleetCall call;
  if (aRequest.mPath == "/document") {
    call.mKind =
      aRequest.mMethod == "PUT" ? FleetCallKind::OfferDocument : FleetCallKind::ReadDocument;
  } else if (aRequest.mPath.starts_with(prefix)) {
    UpstreamInfo& info = call.mUpstream;
    call.mKind = aRequest.mMethod == "PUT" ? FleetCallKind::Announce : FleetCallKind::Leave;
    info.mId = aRequest.mPath.substr(prefix.size());
    info.mIncarnation = 1;
    info.mSequence = std::strtoull(std::string(aRequest.Argument("sequence")).c_str(), nullptr, 10);
    info.mService = "s";
    info.mAddress = { "127.0.0.1", 1 };
    info.mRange = { 0, kKeySpace };
    info.mSlots = 1;
    info.mState =
      aRequest.Argument("state") == "draining" ? UpstreamState::Draining : UpstreamState::Ready;
  }
  return call;
}

PlatformProtocol
MakeTestProtocol()
{
  PlatformProtocol protocol;
  protocol.mDecodeCall = DecodeTestCall;
  protocol.mDecodeDocument = [](std::string_view aText) -> Expected<RoutingDocument> {
    RoutingDocument document;
    document.mVersion = std::strtoull(std::string(aText).c_str(), nullptr, 10);
    return document;
  };
  protocol.mEncodeGateways = [](const std::vector<SocketAddress>&, std::chrono::milliseconds) {
    return HttpResponse();
  };
  protocol.mEncodeAcknowledged = [] { return HttpResponse(); };
  return protocol;
}

} // namespace

int
RunCoordinatorProcess(int aCount, char** aArguments)
{
  enum Argument
  {
    Self = 2,
    Folder,
    FirstStart,
    ToleratedLosses,
    FirstSeed,
  };
  if (aCount <= FirstSeed) {
    return EXIT_FAILURE;
  }
  CoordinatorSettings settings;
  const std::string ip = aArguments[Self];
  settings.mHost = "host-" + ip;
  settings.mDataCentre = "a";
  settings.mControlAddress = { ip, kControlPort };
  settings.mDirectoryAddress = { ip, kDirectoryPort };
  settings.mRpcPort = kRpcPort;
  settings.mPeerPort = kPeerPort;
  settings.mDataFolder = aArguments[Folder];
  settings.mFirstStart = std::string(aArguments[FirstStart]) == "1";
  settings.mToleratedLosses = std::atoi(aArguments[ToleratedLosses]);
  settings.mCharts = SOURCE_FOLDER "/charts";
  settings.mSecurity.mPlaintext = true;
  for (int i = FirstSeed; i < aCount; ++i) {
    settings.mSeeds.push_back({ aArguments[i], kControlPort });
  }
  return RunCoordinator(settings, MakeTestProtocol(), [] { return std::nullopt; });
}

CoordinatorGroup::CoordinatorGroup(int aFirstHost, int aMembers, int aToleratedLosses)
  : mFirstHost(aFirstHost)
  , mToleratedLosses(aToleratedLosses)
  , mFolder(std::filesystem::temp_directory_path() / ("apricot-coordinators-" + TestIp(aFirstHost)))
  , mProcesses(static_cast<std::size_t>(aMembers), 0)
{
  std::filesystem::remove_all(mFolder);
  for (int member = 0; member < aMembers; ++member) {
    std::filesystem::create_directories(mFolder / Ip(member));
    Spawn(member, true);
  }
}

CoordinatorGroup::~CoordinatorGroup()
{
  for (int member = 0; member < static_cast<int>(mProcesses.size()); ++member) {
    Kill(member);
  }
  std::filesystem::remove_all(mFolder);
}

std::string
CoordinatorGroup::Ip(int aMember) const
{
  return TestIp(mFirstHost + aMember);
}

SocketAddress
CoordinatorGroup::ControlAddress(int aMember) const
{
  return { Ip(aMember), kControlPort };
}

SocketAddress
CoordinatorGroup::RpcAddress(int aMember) const
{
  return { Ip(aMember), kRpcPort };
}

void
CoordinatorGroup::Start(int aMember)
{
  Spawn(aMember, false);
}

void
CoordinatorGroup::Kill(int aMember)
{
  pid_t& process = mProcesses[static_cast<std::size_t>(aMember)];
  if (process > 0) {
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
    process = 0;
  }
}

void
CoordinatorGroup::Spawn(int aMember, bool aFirstStart)
{
  const std::string folder = (mFolder / Ip(aMember)).string();
  const std::string log = folder + ".log";
  std::vector<std::string> words{
    "/proc/self/exe", kRunCoordinatorArgument, Ip(aMember),
    folder,           aFirstStart ? "1" : "0", std::to_string(mToleratedLosses)
  };
  for (int member = 0; member < static_cast<int>(mProcesses.size()); ++member) {
    words.push_back(Ip(member));
  }
  std::vector<char*> arguments;
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t& process = mProcesses[static_cast<std::size_t>(aMember)];
  const int error =
    posix_spawn(&process, words.front().c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  CPPUNIT_ASSERT_EQUAL(0, error);
}

} // namespace apricotyard
