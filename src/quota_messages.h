// Conversion between the types of the quota decisions and the messages of AcquireQuota. Pure
// functions, thread-safe.
#ifndef APRICOTYARD_QUOTA_MESSAGES_H
#define APRICOTYARD_QUOTA_MESSAGES_H

#include "fleet.pb.h"
#include "quota_ledger.h"
#include "routing.h"

namespace apricotyard {

rpc::QuotaRequest
ToMessage(const QuotaCall& aCall);

QuotaCall
FromMessage(const rpc::QuotaRequest& aMessage);

void
ToMessage(const QuotaReply& aReply, rpc::QuotaReply& aMessage);

QuotaReply
FromMessage(const rpc::QuotaReply& aMessage);

// Returns the limits of the workspaces that have one, by name.
absl::flat_hash_map<std::string, QuotaLimit>
LimitsOf(const RoutingDocument& aDocument);

} // namespace apricotyard

#endif
