#include "quota_messages.h"

namespace apricotyard {

rpc::QuotaRequest
ToMessage(const QuotaCall& aCall)
{
  rpc::QuotaRequest message;
  message.set_gateway(aCall.mGateway);
  message.set_incarnation(aCall.mIncarnation);
  message.set_number(aCall.mNumber);
  message.set_term(aCall.mTerm);
  for (const QuotaDemand& demand : aCall.mDemands) {
    rpc::QuotaDemand& added = *message.add_demands();
    added.set_workspace(demand.mWorkspace);
    added.set_wanted(demand.mWanted);
    added.set_returned(demand.mReturned);
    added.set_used_alone(demand.mUsedAlone);
    added.set_share(demand.mShare);
  }
  return message;
}

QuotaCall
FromMessage(const rpc::QuotaRequest& aMessage)
{
  QuotaCall call;
  call.mGateway = aMessage.gateway();
  call.mIncarnation = aMessage.incarnation();
  call.mNumber = aMessage.number();
  call.mTerm = aMessage.term();
  call.mDemands.reserve(static_cast<std::size_t>(aMessage.demands_size()));
  for (const rpc::QuotaDemand& demand : aMessage.demands()) {
    call.mDemands.push_back({ demand.workspace(),
                              demand.wanted(),
                              demand.returned(),
                              demand.used_alone(),
                              demand.share() });
  }
  return call;
}

void
ToMessage(const QuotaReply& aReply, rpc::QuotaReply& aMessage)
{
  aMessage.set_term(aReply.mTerm);
  for (const QuotaGrant& grant : aReply.mGrants) {
    rpc::QuotaGrant& added = *aMessage.add_grants();
    added.set_workspace(grant.mWorkspace);
    added.set_granted(grant.mGranted);
    added.set_wait_ms(static_cast<std::uint32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(grant.mWait).count()));
    added.set_share(grant.mShare);
    added.set_reserve(grant.mReserve);
    added.set_free_ms(static_cast<std::uint32_t>(grant.mFreeTime / std::chrono::milliseconds(1)));
  }
}

QuotaReply
FromMessage(const rpc::QuotaReply& aMessage)
{
  QuotaReply reply;
  reply.mTerm = aMessage.term();
  reply.mGrants.reserve(static_cast<std::size_t>(aMessage.grants_size()));
  for (const rpc::QuotaGrant& grant : aMessage.grants()) {
    reply.mGrants.push_back({ grant.workspace(),
                              grant.granted(),
                              std::chrono::milliseconds(grant.wait_ms()),
                              grant.share(),
                              grant.reserve(),
                              std::chrono::milliseconds(grant.free_ms()) });
  }
  return reply;
}

absl::flat_hash_map<std::string, QuotaLimit>
LimitsOf(const RoutingDocument& aDocument)
{
  absl::flat_hash_map<std::string, QuotaLimit> limits;
  for (const Workspace& workspace : aDocument.mWorkspaces) {
    if (workspace.mRate > 0) {
      limits[workspace.mName] = { workspace.mRate, workspace.mBurst };
    }
  }
  return limits;
}

} // namespace apricotyard
