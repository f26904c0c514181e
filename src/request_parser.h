// Incremental parser for HTTP requests, built on Boost.Beast. Does no I/O. Not thread-safe.
//
// A head is the request line, the headers and the empty line that ends them. Only the number of its
// bytes is limited, not the number of headers, cookies or arguments.
#ifndef APRICOTYARD_REQUEST_PARSER_H
#define APRICOTYARD_REQUEST_PARSER_H

#include "http_server.h"

#include <memory>
#include <optional>
#include <string_view>

namespace apricotyard {

enum class RequestStep : std::uint8_t
{
  NeedsMore,
  Complete,
  // The request cannot be accepted; see RequestParser::Rejection.
  Rejected,
};

// Why a request cannot be accepted. The rest of the connection cannot be read.
struct RequestRejection
{
  Result mResult = Result::BadRequest;
  std::string_view mMessage;
};

// Parses one request. Bytes after it belong to the next request on the connection.
class RequestParser
{
public:
  // With aPreserveRaw, the request target and all headers are kept as received, and header names
  // may be repeated. Otherwise the path and the arguments are decoded.
  RequestParser(const HttpLimits& aLimits, bool aPreserveRaw);
  ~RequestParser();
  RequestParser(const RequestParser&) = delete;
  RequestParser& operator=(const RequestParser&) = delete;

  // Consumes all of aBytes. Precondition: no earlier call returned anything but NeedsMore.
  RequestStep Feed(std::string_view aBytes);
  // Precondition: the last step was Rejected.
  RequestRejection Rejection() const;

  // Returns true once the head is parsed.
  bool HasHead() const;
  // Returns true once if the client waits for an interim response before it sends the body.
  bool TakeExpectation();
  // The request. mPeer and mFirstOnConnection are left to the caller. Precondition: HasHead().
  HttpRequest& Request();
  // Returns true if the client keeps the connection open after the response. Precondition:
  // HasHead().
  bool KeepsConnection() const;
  // Removes and returns the bytes after the request. Precondition: the last step was Complete.
  std::string TakeRest();
  // Bytes of the head so far.
  std::size_t HeadBytes() const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

// Decodes percent-encoding; invalid sequences are left as they are. Thread-safe.
std::string
PercentDecode(std::string_view aText);

} // namespace apricotyard

#endif
