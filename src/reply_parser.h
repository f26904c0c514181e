// Incremental parser for HTTP replies, built on Boost.Beast. Does no I/O. Not thread-safe.
#ifndef APRICOTYARD_REPLY_PARSER_H
#define APRICOTYARD_REPLY_PARSER_H

#include "http_client.h"

#include <memory>
#include <string_view>

namespace apricotyard {

enum class ParseStep : std::uint8_t
{
  NeedsMore,
  Complete,
  // The bytes are not a valid HTTP reply, or the reply is incomplete.
  Malformed,
  // The body exceeds ClientRequest::mMaxReply.
  TooLarge,
  // The reply belongs to another request, according to ClientRequest::mExpectedHeader.
  Mismatched,
};

// Parses one final reply with a status of 200 to 599. Interim (1xx) replies before it are skipped;
// they must not have a body or switch the protocol.
class ReplyParser
{
public:
  // Precondition: aRequest outlives the parser.
  explicit ReplyParser(const ClientRequest& aRequest);
  ~ReplyParser();
  ReplyParser(const ReplyParser&) = delete;
  ReplyParser& operator=(const ReplyParser&) = delete;

  // Consumes all of aBytes. Precondition: no earlier call returned anything but NeedsMore.
  ParseStep Feed(std::string_view aBytes);
  // Tells the parser that the server closed the connection. Returns Complete if the close ends the
  // reply, otherwise Malformed.
  ParseStep End();

  // The status, headers and body parsed so far.
  ClientReply& Reply();
  // Memory that the reply takes: its headers, its body and what is not parsed yet.
  std::size_t BufferedBytes() const;
  // Returns true if any byte was fed.
  bool HasInput() const;
  // Returns true if the connection may carry another request: the server keeps it open and sent no
  // bytes after the reply. Precondition: the last step was Complete.
  bool IsConnectionReusable() const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace apricotyard

#endif
