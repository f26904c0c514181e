// The coordinator server. Coordinators form a control group, that is, a Raft group that stores the
// routing document. Each of them registers the upstreams that announce themselves and tells callers
// which gateways to use.
#ifndef APRICOTYARD_COORDINATOR_H
#define APRICOTYARD_COORDINATOR_H

#include "events.h"
#include "extra_send_settings.h"
#include "platform_protocol.h"
#include "rpc_credentials.h"
#include "settings.h"

#include <functional>
#include <optional>

namespace apricotyard {

struct CoordinatorSettings
{
  std::string mHost;
  std::string mDataCentre;
  // Listening address for upstreams and operators.
  SocketAddress mControlAddress;
  // Listening address for callers that look up gateways.
  SocketAddress mDirectoryAddress;
  // Listening address for metrics; port 0 disables them.
  SocketAddress mMetricsAddress;
  // Ports of the Fleet service and of the consensus protocol. They must be the same on all
  // coordinators.
  std::int64_t mRpcPort = 0;
  std::int64_t mPeerPort = 0;
  std::string mDataFolder;
  // Addresses of coordinators to contact at start. Only the IP addresses are used.
  std::vector<SocketAddress> mSeeds;
  // Set only for the very first start of the whole system. The seeds then form the initial
  // control group.
  bool mFirstStart = false;
  // Coordinators that may fail at once, their disks included, while the routing document stays
  // safe.
  std::int64_t mToleratedLosses = 2;
  ExtraSendSettings mExtraSends;
  // How long callers may cache the list of gateways.
  Duration mAddressLifetime = std::chrono::seconds(4);
  std::string mCharts = "charts";
  RpcSecurity mSecurity;
  LogLevel mLogLevel = LogLevel::Info;
};

void
ReadCoordinatorSettings(SettingsReader& aReader, CoordinatorSettings& aSettings);

// Runs the coordinator until SIGTERM or SIGINT and returns the exit code of the program.
//
// On SIGHUP calls aReloadSettings, which returns nullopt if the settings are invalid, and applies
// the seeds and the log level. Other settings take effect only after a restart.
int
RunCoordinator(const CoordinatorSettings& aSettings,
               const PlatformProtocol& aProtocol,
               const std::function<std::optional<CoordinatorSettings>()>& aReloadSettings);

} // namespace apricotyard

#endif
