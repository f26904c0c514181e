// The running control host: durable configuration, the administration API and the control service.
#ifndef APRICOTYARD_CONTROL_SERVER_H
#define APRICOTYARD_CONTROL_SERVER_H

#include "events.h"
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
  LogLevel mLogLevel = LogLevel::Info;
};

void
ReadControlSettings(SettingsReader& aReader, ControlSettings& aSettings);

// Serves until SIGTERM or SIGINT. Returns the exit code of the program.
int
RunControl(const ControlSettings& aSettings);

} // namespace apricotyard

#endif
