// Conversions between the types of the Fleet service and its protobuf messages. Pure functions.
#ifndef APRICOTYARD_FLEET_MESSAGES_H
#define APRICOTYARD_FLEET_MESSAGES_H

#include "document_choice.h"
#include "evacuation.h"
#include "fleet.pb.h"
#include "fleet_registry.h"
#include "quarantine.h"

namespace apricotyard {

rpc::FleetHost
ToMessage(const FleetHost& aHost);
// Fails with BadRequest if the IP address is empty or the public address is invalid.
Expected<FleetHost>
FromMessage(const rpc::FleetHost& aMessage);

void
ToMessage(const Strike& aStrike, rpc::UpstreamCrash& aOut);
// Fails with BadRequest if the host or the upstream is missing or too long.
Expected<Strike>
FromMessage(const rpc::UpstreamCrash& aMessage);

// Adds a crash to the field of a FleetSyncRequest or FleetSyncReply that holds crashes of its
// state.
template<typename Message>
void
AddCrash(const Strike& aStrike, Message& aOut)
{
  const bool confirmed = aStrike.mState == CrashState::Confirmed;
  ToMessage(aStrike, confirmed ? *aOut.add_crashes() : *aOut.add_unconfirmed_crashes());
}

// What the sender says about evacuations.
EvacuationReport
EvacuationsOf(const rpc::FleetSyncReply& aReply);

// The document that the sender holds.
DocumentIdentity
DocumentOf(const rpc::FleetSyncRequest& aRequest);
DocumentIdentity
DocumentOf(const rpc::FleetSyncReply& aReply);

} // namespace apricotyard

#endif
