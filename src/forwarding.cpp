#include "forwarding.h"

#include <charconv>

#include <strings.h>

namespace apricotyard {

namespace {

// Content-Length and Expect are included, because the HTTP server and client handle them on each
// connection.
bool
IsHopByHop(const std::string& aName)
{
  for (const char* const name : { "connection",
                                  "keep-alive",
                                  "proxy-connection",
                                  "te",
                                  "trailer",
                                  "transfer-encoding",
                                  "upgrade",
                                  "content-length",
                                  "expect" }) {
    if (strcasecmp(aName.c_str(), name) == 0) {
      return true;
    }
  }
  return false;
}

// True if aConnection, the value of the Connection header, lists aName, which makes it a hop-by-hop
// header.
bool
IsListedInConnectionHeader(std::string_view aConnection, const std::string& aName)
{
  while (!aConnection.empty()) {
    const std::size_t comma = aConnection.find(',');
    std::string_view token = aConnection.substr(0, comma);
    while (!token.empty() && token.front() == ' ') {
      token.remove_prefix(1);
    }
    while (!token.empty() && token.back() == ' ') {
      token.remove_suffix(1);
    }
    if (token.size() == aName.size() &&
        strncasecmp(token.data(), aName.c_str(), token.size()) == 0) {
      return true;
    }
    aConnection = comma == std::string_view::npos ? "" : aConnection.substr(comma + 1);
  }
  return false;
}

} // namespace

std::vector<HttpHeader>
EndToEndHeaders(const std::vector<HttpHeader>& aHeaders, std::string_view aConnection)
{
  std::vector<HttpHeader> kept;
  for (const HttpHeader& header : aHeaders) {
    if (!IsHopByHop(header.mName) && !IsListedInConnectionHeader(aConnection, header.mName)) {
      kept.push_back(header);
    }
  }
  return kept;
}

std::optional<std::chrono::seconds>
KeepAliveTimeout(std::string_view aHeader)
{
  constexpr std::string_view kTimeoutParameter = "timeout=";
  const std::size_t position = aHeader.find(kTimeoutParameter);
  if (position == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = aHeader.substr(position + kTimeoutParameter.size());
  long seconds = 0;
  if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc()) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

} // namespace apricotyard
