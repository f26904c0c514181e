// Settings of the apricot-entry program.
#ifndef APRICOTYARD_ENTRY_SETTINGS_H
#define APRICOTYARD_ENTRY_SETTINGS_H

#include "events.h"
#include "rpc_credentials.h"
#include "settings.h"

namespace apricotyard {

struct EntrySettings
{
  std::string mHost;
  std::string mDataCentre;
  // Listening address for callers and upstreams.
  SocketAddress mAddress;
  // Listening address for other entry hosts.
  SocketAddress mPeerAddress;
  // Addresses of the control service on all control hosts.
  std::vector<SocketAddress> mControl;
  // Folder that contains the state charts.
  std::string mCharts = "charts";
  RpcSecurity mSecurity;
  std::int64_t mMaxConnections = 2000;
  LogLevel mLogLevel = LogLevel::Info;
};

// Reads the settings. Invalid values are reported to aReader.
void
ReadEntrySettings(SettingsReader& aReader, EntrySettings& aSettings);

} // namespace apricotyard

#endif
