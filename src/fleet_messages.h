// Conversions between FleetHost and its protobuf message. Pure functions.
#ifndef APRICOTYARD_FLEET_MESSAGES_H
#define APRICOTYARD_FLEET_MESSAGES_H

#include "fleet.pb.h"
#include "fleet_registry.h"

namespace apricotyard {

rpc::FleetHost
ToMessage(const FleetHost& aHost);
// Fails with BadRequest if the IP address is empty or the public address is invalid.
Expected<FleetHost>
FromMessage(const rpc::FleetHost& aMessage);

} // namespace apricotyard

#endif
