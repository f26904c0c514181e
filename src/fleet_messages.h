// Conversions between the fleet's plain structs and their messages. Pure.
#ifndef APRICOTYARD_FLEET_MESSAGES_H
#define APRICOTYARD_FLEET_MESSAGES_H

#include "fleet.pb.h"
#include "fleet_registry.h"

namespace apricotyard {

rpc::FleetHost
ToMessage(const FleetHost& aHost);
// Fails with BadRequest if a required field is missing.
Expected<FleetHost>
FromMessage(const rpc::FleetHost& aMessage);

} // namespace apricotyard

#endif
