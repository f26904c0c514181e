#include "http_response.h"

#include <algorithm>
#include <iterator>

#include <boost/beast/http/status.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <strings.h>

namespace apricotyard {

namespace {

namespace http = boost::beast::http;

constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

bool
HasName(const HttpHeader& aHeader, const char* aName)
{
  return strcasecmp(aHeader.mName.c_str(), aName) == 0;
}

bool
FramesBody(const HttpHeader& aHeader)
{
  return HasName(aHeader, "content-length") || HasName(aHeader, "transfer-encoding");
}

} // namespace

bool
IsFinalStatus(int aStatus)
{
  return aStatus >= kFirstFinalStatus && aStatus <= kLastStatus;
}

bool
AsksForClose(const HttpResponse& aResponse)
{
  return std::any_of(
    aResponse.mHeaders.begin(), aResponse.mHeaders.end(), [](const HttpHeader& aHeader) {
      return HasName(aHeader, "connection") && strcasecmp(aHeader.mValue.c_str(), "close") == 0;
    });
}

std::string
SerializeResponse(const HttpResponse& aResponse, const ResponseFraming& aFraming)
{
  std::string text;
  text.reserve(512 + aResponse.mBody.size());
  const auto out = std::back_inserter(text);
  const auto reason =
    http::obsolete_reason(http::int_to_status(static_cast<unsigned>(aResponse.mStatus)));
  fmt::format_to(
    out, "HTTP/1.1 {} {}\r\n", aResponse.mStatus, std::string_view(reason.data(), reason.size()));
  bool hasDate = false;
  for (const HttpHeader& header : aResponse.mHeaders) {
    hasDate |= HasName(header, "date");
    if (!FramesBody(header)) {
      text.append(header.mName).append(": ").append(header.mValue).append("\r\n");
    }
  }
  if (!hasDate) {
    text.append("Date: ").append(aFraming.mDate).append("\r\n");
  }
  if (!aResponse.mContentType.empty()) {
    text.append("Content-Type: ").append(aResponse.mContentType).append("\r\n");
  }
  if (aFraming.mClose && !AsksForClose(aResponse)) {
    text.append("Connection: close\r\n");
  }
  const bool hasBody = aResponse.mStatus != kNoContent && aResponse.mStatus != kNotModified;
  if (hasBody) {
    fmt::format_to(out, "Content-Length: {}\r\n", aResponse.mBody.size());
  }
  text.append("\r\n");
  if (hasBody && !aFraming.mHeadOnly) {
    text.append(aResponse.mBody);
  }
  return text;
}

HttpResponse
ErrorResponse(Result aResult, std::string_view aMessage)
{
  const ResultInfo& info = Describe(aResult);
  HttpResponse response;
  response.mStatus = info.mHttpStatus;
  response.mBody = fmt::format(R"({{"result":{{"code":{},"name":"{}","message":{}}}}})",
                               info.mNumber,
                               info.mName,
                               JsonQuote(aMessage));
  return response;
}

std::string
JsonQuote(std::string_view aText)
{
  return nlohmann::json(aText).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace apricotyard
