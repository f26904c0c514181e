// Reads the bytes of HTTP replies by Boost.Beast's parser. No sockets; not thread-safe.
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
  // The bytes are no reply.
  Malformed,
  // The body exceeds ClientRequest::mMaxReply.
  TooLarge,
  // The reply belongs to another request.
  Crossed,
};

// Reads one reply, interim replies before it included.
class ReplyParser
{
public:
  // Precondition: aRequest outlives this object.
  explicit ReplyParser(const ClientRequest& aRequest);
  ~ReplyParser();
  ReplyParser(const ReplyParser&) = delete;
  ReplyParser& operator=(const ReplyParser&) = delete;

  // Takes all of aBytes. Precondition: the last step was NeedsMore.
  ParseStep Feed(std::string_view aBytes);
  // The server closed the connection in an orderly way. Complete if that ends the reply.
  ParseStep End();

  // Status and headers as far as they were read, and the body.
  ClientReply& Reply();
  // True if any byte was taken.
  bool Begun() const;
  // Whether the connection may carry another request. False if bytes came after the reply.
  // Precondition: the last step was Complete.
  bool KeepsConnection() const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace apricotyard

#endif
