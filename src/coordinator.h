// The running coordinator: a member of the control group that keeps the routing document, takes the
// announcements of upstreams and tells callers which gateways to use.
#ifndef APRICOTYARD_COORDINATOR_H
#define APRICOTYARD_COORDINATOR_H

#include "dialect.h"
#include "events.h"
#include "rpc_credentials.h"
#include "settings.h"

#include <functional>
#include <optional>

namespace apricotyard {

struct CoordinatorSettings
{
  std::string mHost;
  std::string mDataCentre;
  // Where upstreams and operators call.
  SocketAddress mControlAddress;
  // Where callers ask for gateways.
  SocketAddress mDirectoryAddress;
  // Where metrics are served; port 0 for none.
  SocketAddress mMetricsAddress;
  // The same on every coordinator: the port of the Fleet service and of the consensus.
  std::int64_t mRpcPort = 0;
  std::int64_t mPeerPort = 0;
  std::string mDataFolder;
  // Control addresses of some coordinators.
  std::vector<SocketAddress> mSeeds;
  // True only when the whole system starts for the first time; the seeds then form the group.
  bool mFirstStart = false;
  // How long callers may keep the list of gateways.
  Duration mAddressLifetime = std::chrono::seconds(4);
  std::string mCharts = "charts";
  RpcSecurity mSecurity;
  LogLevel mLogLevel = LogLevel::Info;
};

void
ReadCoordinatorSettings(SettingsReader& aReader, CoordinatorSettings& aSettings);

// Serves until SIGTERM or SIGINT. Returns the exit code of the program.
//
// On SIGHUP the seeds and the log level of aReadAgain take effect; it returns nothing if the file
// is invalid. Everything else needs a restart.
int
RunCoordinator(const CoordinatorSettings& aSettings,
               const Dialect& aDialect,
               const std::function<std::optional<CoordinatorSettings>()>& aReadAgain);

} // namespace apricotyard

#endif
