#include "coordinator_process.h"

#include "coordinator.h"
#include "process_protocol.h"
#include "test_address.h"

#include <cstdlib>

namespace apricotyard {

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
  return RunCoordinator(settings, MakeProcessProtocol(), [] { return std::nullopt; });
}

CoordinatorGroup::CoordinatorGroup(int aFirstHost,
                                   int aMembers,
                                   int aToleratedLosses,
                                   const std::string& aProgram)
  : mFirstHost(aFirstHost)
  , mToleratedLosses(aToleratedLosses)
  , mFolder(std::filesystem::temp_directory_path() / ("apricot-coordinators-" + TestIp(aFirstHost)))
  , mProcesses(static_cast<std::size_t>(aMembers))
{
  std::filesystem::remove_all(mFolder);
  for (int member = 0; member < aMembers; ++member) {
    std::filesystem::create_directories(mFolder / Ip(member));
    Spawn(member, true, aProgram);
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
CoordinatorGroup::Start(int aMember, const std::string& aProgram)
{
  Spawn(aMember, false, aProgram);
}

void
CoordinatorGroup::Kill(int aMember)
{
  mProcesses[static_cast<std::size_t>(aMember)].reset();
}

Duration
CoordinatorGroup::ProcessorTime(int aMember) const
{
  return mProcesses[static_cast<std::size_t>(aMember)]->ProcessorTime();
}

void
CoordinatorGroup::Spawn(int aMember, bool aFirstStart, const std::string& aProgram)
{
  const std::string folder = (mFolder / Ip(aMember)).string();
  std::vector<std::string> words{ kRunCoordinatorArgument,
                                  Ip(aMember),
                                  folder,
                                  aFirstStart ? "1" : "0",
                                  std::to_string(mToleratedLosses) };
  for (int member = 0; member < static_cast<int>(mProcesses.size()); ++member) {
    words.push_back(Ip(member));
  }
  mProcesses[static_cast<std::size_t>(aMember)] =
    std::make_unique<ChildProcess>(std::move(words), folder + ".log", aProgram);
}

} // namespace apricotyard
