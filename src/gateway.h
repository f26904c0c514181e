// The gateway process: accepts callers' connections and forwards their requests to replicas.
#ifndef APRICOTYARD_GATEWAY_H
#define APRICOTYARD_GATEWAY_H

#include "events.h"
#include "extra_send_settings.h"
#include "platform_protocol.h"
#include "rpc_credentials.h"
#include "settings.h"

#include <functional>
#include <optional>

namespace apricotyard {

struct GatewaySettings
{
  std::string mHost;
  std::string mDataCentre;
  // Listening address for callers.
  SocketAddress mCallerAddress;
  // Listening address for readiness checks.
  SocketAddress mReadyAddress;
  // Listening address for metrics; port 0 disables them.
  SocketAddress mMetricsAddress;
  // Port of the Fleet service on every coordinator.
  std::int64_t mRpcPort = 0;
  // Addresses of some coordinators. Only the IP addresses are used; the port is mRpcPort.
  std::vector<SocketAddress> mSeeds;
  ExtraSendSettings mExtraSends;
  // Price of a GB to another data centre; 0 if it costs nothing.
  double mPricePerGb = 0;
  // Whether gateways limit the share of sends that leaves an overloaded data centre; see
  // locality.h.
  bool mLimitLeaving = false;
  // Cores that this host may use; a fraction on small hosts.
  double mProcessorShare = 1;
  // Time from the stop signal until the process must have exited.
  Duration mStopGrace = std::chrono::seconds(6);
  std::int64_t mMaxConnections = 2000;
  // Time after which no request runs with a key that was revoked; see document_lease.h. Empty if
  // keys are judged by the document in force, however old it is.
  std::optional<Duration> mRevocationLimit;
  RpcSecurity mSecurity;
  LogLevel mLogLevel = LogLevel::Info;
};

void
ReadGatewaySettings(SettingsReader& aReader, GatewaySettings& aSettings);

// Runs the gateway until SIGTERM or SIGINT and returns the exit code of the process.
//
// On SIGHUP, aReloadSettings is called and its seeds and log level are applied; other settings need
// a restart. aReloadSettings returns nothing if the settings file is invalid.
int
RunGateway(const GatewaySettings& aSettings,
           const PlatformProtocol& aProtocol,
           const std::function<std::optional<GatewaySettings>()>& aReloadSettings);

} // namespace apricotyard

#endif
