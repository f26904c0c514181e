// HTTP server by libmicrohttpd inside an event loop.
#ifndef APRICOTYARD_HTTP_SERVER_H
#define APRICOTYARD_HTTP_SERVER_H

#include "loop.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct MHD_Daemon;

namespace apricotyard {

struct HttpHeader
{
  std::string mName;
  std::string mValue;
};

struct HttpRequest
{
  std::string mMethod;
  std::string mPath;
  // Header names are in lower case.
  std::map<std::string, std::string, std::less<>> mHeaders;
  std::map<std::string, std::string, std::less<>> mArguments;
  std::string mBody;
  std::string mPeer;
  // Only with Builder::ForForwarding: the request target as it was received, and every header in
  // its order and spelling.
  std::string mTarget;
  std::vector<HttpHeader> mHeaderList;
  // Whether the connection carried no request before.
  bool mFirstOnConnection = false;

  // The value of a header, given in lower case, or an empty text.
  std::string_view Header(std::string_view aName) const;
  std::string_view Argument(std::string_view aName) const;
};

struct HttpResponse
{
  int mStatus = 200;
  std::string mBody;
  // Empty for a response without this header.
  std::string mContentType = "application/json";
  std::vector<HttpHeader> mHeaders;
};

// Answers one request. Copyable; only the first call has an effect. Must be called on the thread of
// the loop. If every copy is destroyed unused, the request is answered with Internal, so that no
// caller waits in vain.
class HttpResponder
{
public:
  struct Exchange;
  explicit HttpResponder(const std::shared_ptr<Exchange>& aExchange);
  void operator()(HttpResponse aResponse) const;
  // Calls aHandler once if the caller closes its connection before the response is given. The
  // responder must not be used after that; its further calls have no effect.
  void OnCallerGone(std::function<void()> aHandler) const;

private:
  std::shared_ptr<Exchange> mExchange;
};

using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

class HttpServer
{
public:
  class Builder;
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Closes the listening socket; open connections go on. New requests on them still reach the
  // handler. Only on the loop's thread.
  void StopListening();
  // Requests that have not been answered yet. Only on the loop's thread.
  std::size_t OpenRequests() const;

  struct State;

private:
  explicit HttpServer(std::shared_ptr<State> aState);
  std::shared_ptr<State> mState;
};

// Collects the parts of a server. All limits have defaults.
class HttpServer::Builder
{
public:
  Builder(Loop& aLoop, SocketAddress aAddress);
  Builder& OnRequest(HttpHandler aHandler);
  // Largest accepted body in bytes; larger ones are answered with BodyTooLarge.
  Builder& MaxBody(std::size_t aBytes);
  Builder& MaxConnections(unsigned aCount);
  // A connection without progress for this time is closed.
  Builder& IdleTimeout(std::chrono::seconds aTimeout);
  // Keeps what a proxy must pass on unchanged: the raw target and all headers, repeated ones
  // included. Without this call a repeated header is refused.
  Builder& ForForwarding();
  // Starts to listen. Fails with Internal if the address cannot be bound. The server must be
  // destroyed before the loop.
  Expected<std::unique_ptr<HttpServer>> Start();

private:
  Loop& mLoop;
  SocketAddress mAddress;
  HttpHandler mHandler;
  std::size_t mMaxBody = std::size_t{ 1024 } * 1024;
  unsigned mMaxConnections = 2000;
  std::chrono::seconds mIdleTimeout{ 60 };
  bool mForwarding = false;
};

// A JSON body {"result": {"code", "name", "message"}} with the status of aResult.
HttpResponse
ErrorResponse(Result aResult, std::string_view aMessage);

// Minimal escaping of a text as a JSON string, with quotes. Invalid UTF-8 is replaced.
std::string
JsonQuote(std::string_view aText);

} // namespace apricotyard

#endif
