// Settings of apricot-entry.
#ifndef APRICOTYARD_ENTRY_SETTINGS_H
#define APRICOTYARD_ENTRY_SETTINGS_H

#include "events.h"
#include "peer_service.h"
#include "settings.h"

namespace apricotyard {

struct EntrySettings
{
  std::string mHost;
  std::string mDataCentre;
  // Where callers and upstreams connect.
  SocketAddress mAddress;
  std::vector<SocketAddress> mControl;
  // Where the other entry hosts connect; absent, the host has no peers.
  SocketAddress mPeerAddress;
  // The other entry hosts, until control sends the roster.
  std::vector<PeerInfo> mPeers;
  // Folder of the state charts.
  std::string mCharts = "charts";
  std::int64_t mMaxConnections = 2000;
  LogLevel mLogLevel = LogLevel::Info;
};

void
ReadEntrySettings(SettingsReader& aReader, EntrySettings& aSettings);

} // namespace apricotyard

#endif
