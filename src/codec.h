// JSON encoding of the messages between callers, entry hosts and upstreams. All functions are
// thread-safe.
#ifndef APRICOTYARD_CODEC_H
#define APRICOTYARD_CODEC_H

#include "engine.h"
#include "types.h"

#include <string>
#include <string_view>

namespace apricotyard {

// Header names of sub-requests and their replies, in lower case.
inline constexpr const char* kHeaderSubrequest = "x-subrequest-id";
inline constexpr const char* kHeaderDeadline = "x-deadline-ms";
inline constexpr const char* kHeaderVersion = "x-index-version";
inline constexpr const char* kHeaderMap = "x-partition-map";
// "true" in an error reply if the upstream did not run the sub-request.
inline constexpr const char* kHeaderNotRun = "x-not-run";

std::string_view
UpstreamStateName(UpstreamState aState);

std::string
EncodeAnnouncement(const UpstreamInfo& aInfo);
// Fails with BadRequest and a message that names the invalid field. Unknown fields are rejected.
Expected<UpstreamInfo>
DecodeAnnouncement(std::string_view aBody);

std::string
EncodeSubrequestReply(const SubrequestReply& aReply);
// Fails with BadRequest if the reply is malformed or its item count is wrong.
Expected<SubrequestReply>
DecodeSubrequestReply(std::string_view aBody);

// Decodes the body of POST /v1/query. The request identifier and the caller are not part of the
// body. Fails with BadRequest.
Expected<QueryRequest>
DecodeQuery(std::string_view aBody);
// Encodes the response body for a query.
std::string
EncodeAnswer(const std::string& aRequestId, const Answer& aAnswer);

} // namespace apricotyard

#endif
