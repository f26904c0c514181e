// Runs replicas as processes of their own that crash under some requests and come back.
#ifndef APRICOTYARD_REPLICA_PROCESS_H
#define APRICOTYARD_REPLICA_PROCESS_H

#include "child_process.h"
#include "crashing_server.h"

#include <filesystem>

namespace apricotyard {

// First argument of the test program when it is to run a replica.
inline constexpr const char* kRunReplicaArgument = "--run-replica";

struct ReplicaProcessSettings
{
  SocketAddress mAddress;
  std::string mService;
  CrashKind mKind = CrashKind::Close;
  // Time from a crash until the replica comes back at its address, with a new identifier.
  std::chrono::milliseconds mAway{};
  // Each crash adds a line with the time of the boot clock in microseconds.
  std::filesystem::path mCrashLog;
  std::vector<std::string> mCoordinators;
};

// Runs a replica with the arguments that ReplicaArguments returns, until it is killed. It announces
// itself to coordinators and answers GET requests; those for /crash crash it.
int
RunReplicaProcess(int aCount, char** aArguments);

std::vector<std::string>
ReplicaArguments(const ReplicaProcessSettings& aSettings);

} // namespace apricotyard

#endif
