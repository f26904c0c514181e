// JSON forms of the messages between callers, entry hosts and upstreams.
#ifndef APRICOTYARD_CODEC_H
#define APRICOTYARD_CODEC_H

#include "engine.h"
#include "types.h"

#include <string>
#include <string_view>

namespace apricotyard {

// Names of the headers of a sub-request and its reply, in lower case.
inline constexpr const char* kHeaderSubrequest = "x-subrequest-id";
inline constexpr const char* kHeaderDeadline = "x-deadline-ms";
inline constexpr const char* kHeaderVersion = "x-index-version";
inline constexpr const char* kHeaderMap = "x-partition-map";
inline constexpr const char* kHeaderNotRun = "x-not-run";

std::string_view
UpstreamStateName(UpstreamState aState);

std::string
EncodeAnnouncement(const UpstreamInfo& aInfo);
// Fails with BadRequest and a message that names the field. Unknown fields are refused.
Expected<UpstreamInfo>
DecodeAnnouncement(std::string_view aBody);

std::string
EncodeSubReply(const SubReply& aReply);
// Fails with BadRequest if the reply is malformed or its item count does not match.
Expected<SubReply>
DecodeSubReply(std::string_view aBody);

// Decodes the body of POST /v1/query. The identifier and the caller are left to the adapter.
Expected<QueryRequest>
DecodeQuery(std::string_view aBody);
// The body that a caller receives for an answer.
std::string
EncodeAnswer(const std::string& aRequestId, const Answer& aAnswer);

} // namespace apricotyard

#endif
