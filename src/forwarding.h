// Header rules for HTTP intermediaries. Pure functions.
#ifndef APRICOTYARD_FORWARDING_H
#define APRICOTYARD_FORWARDING_H

#include "http_server.h"

#include <optional>
#include <string_view>

namespace apricotyard {

// Returns the end-to-end headers, without the hop-by-hop ones and those listed in aConnection, the
// value of the Connection header.
std::vector<HttpHeader>
EndToEndHeaders(const std::vector<HttpHeader>& aHeaders, std::string_view aConnection);

// Returns the timeout parameter of a Keep-Alive header; empty if it is missing or malformed.
std::optional<std::chrono::seconds>
KeepAliveTimeout(std::string_view aHeader);

} // namespace apricotyard

#endif
