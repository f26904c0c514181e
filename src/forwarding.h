// What HTTP asks of a program that passes messages on. Pure.
#ifndef APRICOTYARD_FORWARDING_H
#define APRICOTYARD_FORWARDING_H

#include "http_server.h"

#include <optional>
#include <string_view>

namespace apricotyard {

// The headers that concern both ends: without those that belong to one connection, among them the
// ones that the Connection header, in aConnection, names.
std::vector<HttpHeader>
EndToEndHeaders(const std::vector<HttpHeader>& aHeaders, std::string_view aConnection);

// The timeout parameter of a Keep-Alive header.
std::optional<std::chrono::seconds>
KeepAliveTimeout(std::string_view aHeader);

} // namespace apricotyard

#endif
