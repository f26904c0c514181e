// The running gateway: callers connect to it, and it passes their requests on to replicas.
#ifndef APRICOTYARD_GATEWAY_H
#define APRICOTYARD_GATEWAY_H

#include "dialect.h"
#include "events.h"
#include "extra_budget.h"
#include "rpc_credentials.h"
#include "settings.h"

#include <functional>
#include <optional>

namespace apricotyard {

struct GatewaySettings
{
  std::string mHost;
  std::string mDataCentre;
  // Where callers connect.
  SocketAddress mCallerAddress;
  // Where the readiness of this host is asked.
  SocketAddress mReadyAddress;
  // Where metrics are served; port 0 for none.
  SocketAddress mMetricsAddress;
  // The port of the Fleet service on every coordinator.
  std::int64_t mRpcPort = 0;
  // Control addresses of some coordinators.
  std::vector<SocketAddress> mSeeds;
  ExtraBudgetLimits mExtraSends;
  // From the signal to stop until the process must have ended.
  Duration mStopGrace = std::chrono::seconds(6);
  std::int64_t mMaxConnections = 2000;
  RpcSecurity mSecurity;
  LogLevel mLogLevel = LogLevel::Info;
};

void
ReadGatewaySettings(SettingsReader& aReader, GatewaySettings& aSettings);

// Serves until SIGTERM or SIGINT. Returns the exit code of the program.
//
// On SIGHUP the seeds and the log level of aReadAgain take effect; it returns nothing if the file
// is invalid. Everything else needs a restart.
int
RunGateway(const GatewaySettings& aSettings,
           const Dialect& aDialect,
           const std::function<std::optional<GatewaySettings>()>& aReadAgain);

} // namespace apricotyard

#endif
