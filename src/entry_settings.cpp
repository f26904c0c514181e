#include "entry_settings.h"

#include "cmdline.h"

#include <sstream>

#include <fmt/format.h>

namespace apricotyard {

namespace {

// Reads "HOST DATA_CENTRE PEER_ADDRESS CALLER_ADDRESS".
Expected<PeerInfo>
ParsePeer(const std::string& aText)
{
  std::istringstream stream(aText);
  PeerInfo peer;
  std::string peerAddress;
  std::string callerAddress;
  std::string more;
  stream >> peer.mHost >> peer.mDataCentre >> peerAddress >> callerAddress;
  const auto first = ParseSocketAddress(peerAddress);
  const auto second = ParseSocketAddress(callerAddress);
  if (!first || !second || (stream >> more)) {
    return Fail(
      Result::InvalidSettings,
      fmt::format("'{}' is not of the form HOST DATA_CENTRE PEER_IP:PORT CALLER_IP:PORT", aText));
  }
  peer.mPeerAddress = *first;
  peer.mCallerAddress = *second;
  return peer;
}

void
ReadPeers(SettingsReader& aReader, EntrySettings& aSettings)
{
  if (aReader.Has("peer_address")) {
    aReader.Address("peer_address", Presence::Optional, aSettings.mPeerAddress);
  }
  std::vector<std::string> peers;
  aReader.TextList("peers", Presence::Optional, peers);
  for (const std::string& text : peers) {
    if (auto peer = ParsePeer(text)) {
      aSettings.mPeers.push_back(*std::move(peer));
    } else {
      aReader.Problem("peers", peer.error().mMessage);
    }
  }
  if (!peers.empty() && !aReader.Has("peer_address")) {
    aReader.Problem("peers", "needs peer_address");
  }
}

} // namespace

void
ReadEntrySettings(SettingsReader& aReader, EntrySettings& aSettings)
{
  aReader.Text("host", Presence::Required, 1, 64, aSettings.mHost);
  aReader.Text("data_centre", Presence::Required, 1, 64, aSettings.mDataCentre);
  aReader.Address("address", Presence::Required, aSettings.mAddress);
  aReader.AddressList("control", Presence::Required, aSettings.mControl);
  if (aReader.Has("control") && aSettings.mControl.empty()) {
    aReader.Problem("control", "at least one control host is needed");
  }
  ReadPeers(aReader, aSettings);
  aReader.Text("charts", Presence::Optional, 1, 4096, aSettings.mCharts);
  aReader.Integer("max_connections", Presence::Optional, 10, 20'000, aSettings.mMaxConnections);
  ReadLogSettings(aReader, aSettings.mLogLevel);
}

} // namespace apricotyard
