// The running control host: durable configuration, the administration API and the control service.
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
  // Administration API.
  SocketAddress mAdminAddress;
  // Control service for entry hosts.
  SocketAddress mRpcAddress;
  // Consensus between control hosts.
  SocketAddress mPeerAddress;
  // The first voters, this host included; empty for a host that joins later.
  std::vector<LogMember> mInitialMembers;
  // Folder of the state charts.
  std::string mCharts = "charts";
  RpcSecurity mSecurity;
  LogLevel mLogLevel = LogLevel::Info;
};

void
ReadControlSettings(SettingsReader& aReader, ControlSettings& aSettings);

// Serves until SIGTERM or SIGINT. Returns the exit code of the program.
int
RunControl(const ControlSettings& aSettings);

} // namespace apricotyard

#endif
