// Runs gateways as processes of their own, so that a test can kill one of them.
#ifndef APRICOTYARD_GATEWAY_PROCESS_H
#define APRICOTYARD_GATEWAY_PROCESS_H

#include "child_process.h"
#include "types.h"

#include <optional>

namespace apricotyard {

// First argument of the test program when it is to run a gateway.
inline constexpr const char* kRunGatewayArgument = "--run-gateway";

// Runs a gateway with the arguments that GatewayArguments returns, until it is stopped. Returns the
// exit code of the program. Callers connect to kCallerPort, readiness checks to kReadyPort.
int
RunGatewayProcess(int aCount, char** aArguments);

// Arguments for a gateway at the address aIp that knows the coordinators at aSeeds.
// aRevocationLimit is empty if it needs no lease to judge keys.
std::vector<std::string>
GatewayArguments(const std::string& aIp,
                 const std::vector<std::string>& aSeeds,
                 std::optional<Duration> aRevocationLimit = std::nullopt);

} // namespace apricotyard

#endif
