// HTTP server that runs in an event loop. Requests are parsed with Boost.Beast (request_parser.h).
//
// A connection holds memory only for the request that it carries: a head and a body within
// HttpLimits, and the response. The response has no share in these limits, so a request that was
// accepted can be answered. An idle connection holds no buffer.
#ifndef APRICOTYARD_HTTP_SERVER_H
#define APRICOTYARD_HTTP_SERVER_H

#include "loop.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace apricotyard {

struct HttpHeader
{
  std::string mName;
  std::string mValue;
};

// Requests beyond these limits are answered with HeadTooLarge, TargetTooLong or BodyTooLarge before
// they reach the handler.
struct HttpLimits
{
  // The request line, the headers and the empty line after them, in bytes.
  std::size_t mMaxHeadBytes = std::size_t{ 32 } * 1024;
  std::size_t mMaxBodyBytes = std::size_t{ 1024 } * 1024;
};

struct HttpRequest
{
  std::string mMethod;
  // Path of the request target, without the query arguments.
  std::string mPath;
  // Keyed by the header name in lower case.
  std::map<std::string, std::string, std::less<>> mHeaders;
  // Query arguments of the request target.
  std::map<std::string, std::string, std::less<>> mArguments;
  std::string mBody;
  // IP address of the peer, without the port.
  std::string mPeer;
  // The request target as received, and all headers in the order and spelling in which they were
  // received. Set only with Builder::PreserveRawRequest.
  std::string mTarget;
  std::vector<HttpHeader> mRawHeaders;
  // Size of the request line, the headers and the empty line after them.
  std::size_t mHeadBytes = 0;
  // Whether this is the first request on its connection. Set only with Builder::PreserveRawRequest.
  bool mFirstOnConnection = false;

  // Returns the value of a header, or an empty string if it is absent. aName must be in lower case.
  std::string_view Header(std::string_view aName) const;
  // Returns the value of a query argument, or an empty string if it is absent.
  std::string_view Argument(std::string_view aName) const;
};

struct HttpResponse
{
  int mStatus = 200;
  std::string mBody;
  // If empty, the response has no Content-Type header.
  std::string mContentType = "application/json";
  std::vector<HttpHeader> mHeaders;
};

// Answers one request. Copyable; only the first call has an effect. Must be called on the loop's
// thread. If all copies are destroyed without a call, the request is answered with Internal, so
// that the caller does not wait until its timeout.
class HttpResponder
{
public:
  struct Exchange;
  explicit HttpResponder(const std::shared_ptr<Exchange>& aExchange);
  void operator()(HttpResponse aResponse) const;
  // Calls aHandler once if the caller closes its connection before the request is answered. Later
  // calls of the responder have no effect.
  void OnCallerDisconnected(std::function<void()> aHandler) const;

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

  // Applies to requests whose first byte has not arrived yet. Must be called on the loop's thread.
  void SetLimits(const HttpLimits& aLimits);
  // Closes the listening socket. Open connections stay open, and new requests on them still reach
  // the handler. Must be called on the loop's thread.
  void StopListening();
  // The number of requests whose exchange is not complete. Must be called on the loop's thread.
  std::size_t OpenRequests() const;

  struct State;

private:
  explicit HttpServer(std::shared_ptr<State> aState);
  std::shared_ptr<State> mState;
};

// Configures and starts a server. All limits have defaults.
class HttpServer::Builder
{
public:
  Builder(Loop& aLoop, SocketAddress aAddress);
  // Sets the handler of all requests. Must be called before Start.
  Builder& OnRequest(HttpHandler aHandler);
  // Largest accepted head in bytes, see HttpLimits.
  Builder& MaxHead(std::size_t aBytes);
  // Largest accepted body in bytes. Larger bodies are answered with BodyTooLarge.
  Builder& MaxBody(std::size_t aBytes);
  // Further connections wait in the kernel until one is closed.
  Builder& MaxConnections(unsigned aCount);
  // Closes a connection after this time without activity.
  Builder& IdleTimeout(std::chrono::seconds aTimeout);
  // Preserves what a proxy must forward unchanged: the raw request target and all headers,
  // including repeated ones. Percent-encoding in mPath and mArguments is then not decoded. Without
  // this call, a request with a repeated header is rejected.
  Builder& PreserveRawRequest();
  // Starts listening. Fails with Internal if the address cannot be bound. The server must be
  // destroyed before the loop.
  Expected<std::unique_ptr<HttpServer>> Start();

private:
  Loop& mLoop;
  SocketAddress mAddress;
  HttpHandler mHandler;
  HttpLimits mLimits;
  unsigned mMaxConnections = 2000;
  std::chrono::seconds mIdleTimeout{ 60 };
  bool mPreserveRawRequest = false;
};

// Returns a JSON response {"result": {"code", "name", "message"}} with the HTTP status of aResult.
// Thread-safe.
HttpResponse
ErrorResponse(Result aResult, std::string_view aMessage);

// Returns aText as a quoted JSON string. Invalid UTF-8 is replaced. Thread-safe.
std::string
JsonQuote(std::string_view aText);

} // namespace apricotyard

#endif
