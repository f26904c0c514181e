// The control host server: consensus with the other control hosts, the administration API for
// operators and the control service for entry hosts.
#ifndef APRICOTYARD_CONTROL_SERVER_H
#define APRICOTYARD_CONTROL_SERVER_H

#include "events.h"
#include "replicated_log.h"
#include "rpc_credentials.h"
#include "settings.h"

namespace apricotyard {

struct ControlSettings
{
  std::string mHost;
  std::string mDataFolder;
  // Listening address of the administration API.
  SocketAddress mAdminAddress;
  // Listening address of the control service, which entry hosts call.
  SocketAddress mRpcAddress;
  // Listening address for the consensus protocol between control hosts.
  SocketAddress mPeerAddress;
  // The initial voters, including this host. Empty for a host that joins an existing group.
  std::vector<LogMember> mInitialMembers;
  // Folder that contains the state charts.
  std::string mCharts = "charts";
  RpcSecurity mSecurity;
  LogLevel mLogLevel = LogLevel::Info;
};

void
ReadControlSettings(SettingsReader& aReader, ControlSettings& aSettings);

// Runs the control host until SIGTERM or SIGINT and returns the exit code of the program.
int
RunControl(const ControlSettings& aSettings);

} // namespace apricotyard

#endif
