// Settings of apricot-entry.
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
  // Where callers and upstreams connect.
  SocketAddress mAddress;
  // Where other entry hosts connect.
  SocketAddress mPeerAddress;
  std::vector<SocketAddress> mControl;
  // Folder of the state charts.
  std::string mCharts = "charts";
  RpcSecurity mSecurity;
  std::int64_t mMaxConnections = 2000;
  LogLevel mLogLevel = LogLevel::Info;
};

void
ReadEntrySettings(SettingsReader& aReader, EntrySettings& aSettings);

} // namespace apricotyard

#endif
