// Settings of apricot-entry.
#ifndef APRICOTYARD_ENTRY_SETTINGS_H
#define APRICOTYARD_ENTRY_SETTINGS_H

#include "events.h"
#include "settings.h"

namespace apricotyard {

struct EntrySettings
{
  std::string mHost;
  std::string mDataCentre;
  // Where callers and upstreams connect.
  SocketAddress mAddress;
  std::vector<SocketAddress> mControl;
  std::int64_t mMaxConnections = 2000;
  LogLevel mLogLevel = LogLevel::Info;
};

void
ReadEntrySettings(SettingsReader& aReader, EntrySettings& aSettings);

} // namespace apricotyard

#endif
