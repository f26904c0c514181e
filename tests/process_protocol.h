// The HTTP interface that coordinators, gateways and replicas of a test speak as processes.
#ifndef APRICOTYARD_PROCESS_PROTOCOL_H
#define APRICOTYARD_PROCESS_PROTOCOL_H

#include "platform_protocol.h"

namespace apricotyard {

inline constexpr std::uint16_t kControlPort = 7981;
inline constexpr std::uint16_t kDirectoryPort = 7982;
inline constexpr std::uint16_t kRpcPort = 7983;
inline constexpr std::uint16_t kPeerPort = 7984;
inline constexpr std::uint16_t kCallerPort = 7985;
inline constexpr std::uint16_t kReadyPort = 7986;

HeaderNames
TestHeaderNames();

// Calls are PUT and DELETE /upstreams/ID with the arguments sequence, state, service, address,
// incarnation, data_centre, warmup (milliseconds), all optional; PUT and GET /document; POST and
// DELETE /evacuated/DATA-CENTRE; GET /ready. A document is its version, "one" or
// "all", and the services of its only route, which has the host "h" and the prefix "/". The version
// alone is a document without a route. A service may end with a colon and the rate during warm-ups.
// A word workspace=NAME:KEY:RATE:BURST among the services adds a workspace; without RATE and BURST
// it has no limit. Requests carry the key in the header "x-key".
PlatformProtocol
MakeProcessProtocol();

} // namespace apricotyard

#endif
