// Interprets the reply of an upstream to one sub-request.
#ifndef APRICOTYARD_UPSTREAM_REPLY_H
#define APRICOTYARD_UPSTREAM_REPLY_H

#include "engine.h"
#include "http_client.h"

namespace apricotyard {

// Decodes a complete reply. Otherwise classifies the failure by whether the upstream may have
// started the sub-request (table in section 5 of docs/design.md). Pure.
std::variant<SubrequestReply, SubrequestFailure>
ReadUpstreamReply(AttemptId aAttempt, const ClientReply& aReply);

} // namespace apricotyard

#endif
