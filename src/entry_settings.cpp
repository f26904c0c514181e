#include "entry_settings.h"

#include "cmdline.h"

namespace apricotyard {

void
ReadEntrySettings(SettingsReader& aReader, EntrySettings& aSettings)
{
  aReader.Text("host", Presence::Required, 1, 64, aSettings.mHost);
  aReader.Text("data_centre", Presence::Required, 1, 64, aSettings.mDataCentre);
  aReader.Address("address", Presence::Required, aSettings.mAddress);
  aReader.Address("peer_address", Presence::Required, aSettings.mPeerAddress);
  aReader.AddressList("control", Presence::Required, aSettings.mControl);
  if (aReader.Has("control") && aSettings.mControl.empty()) {
    aReader.Problem("control", "at least one control host is needed");
  }
  aReader.Text("charts", Presence::Optional, 1, 4096, aSettings.mCharts);
  aReader.Integer("max_connections", Presence::Optional, 10, 20'000, aSettings.mMaxConnections);
  ReadRpcSecurity(aReader, aSettings.mSecurity);
  ReadLogSettings(aReader, aSettings.mLogLevel);
}

} // namespace apricotyard
