// Runs coordinators as processes of their own, so that a test can kill one of them.
#ifndef APRICOTYARD_COORDINATOR_PROCESS_H
#define APRICOTYARD_COORDINATOR_PROCESS_H

#include "child_process.h"
#include "types.h"

#include <memory>

namespace apricotyard {

// First argument of the test program when it is to run a coordinator.
inline constexpr const char* kRunCoordinatorArgument = "--run-coordinator";

// Runs a coordinator with the arguments that CoordinatorGroup passes, until it is stopped. Returns
// the exit code of the program. See MakeProcessProtocol for its interface.
int
RunCoordinatorProcess(int aCount, char** aArguments);

// A group of coordinators on loopback addresses. The destructor kills them and removes their files.
// Not thread-safe.
class CoordinatorGroup
{
public:
  // Starts aMembers coordinators that are to bear the loss of aToleratedLosses. aFirstHost numbers
  // the loopback address of the first one, see TestIp. Precondition: aMembers is at least 1.
  CoordinatorGroup(int aFirstHost,
                   int aMembers,
                   int aToleratedLosses,
                   const std::string& aProgram = kThisProgram);
  ~CoordinatorGroup();
  CoordinatorGroup(const CoordinatorGroup&) = delete;
  CoordinatorGroup& operator=(const CoordinatorGroup&) = delete;

  // The members are numbered from 0.
  std::string Ip(int aMember) const;
  SocketAddress ControlAddress(int aMember) const;
  SocketAddress RpcAddress(int aMember) const;
  // Starts a member that was killed, with the files that it had.
  void Start(int aMember, const std::string& aProgram = kThisProgram);
  // Ends a member at once and waits until it has ended.
  void Kill(int aMember);
  // Processor time that a running member has used.
  Duration ProcessorTime(int aMember) const;

private:
  void Spawn(int aMember, bool aFirstStart, const std::string& aProgram);

  const int mFirstHost;
  const int mToleratedLosses;
  const std::filesystem::path mFolder;
  std::vector<std::unique_ptr<ChildProcess>> mProcesses;
};

} // namespace apricotyard

#endif
