// Asynchronous HTTP client that runs in an event loop and keeps a connection pool for each server.
// Replies are parsed with Boost.Beast (reply_parser.h).
//
// libcurl is not used because it took more than half of the processor time of a sub-request: for
// each transfer it parses a URL, runs its own state machine and registers the socket again.
#ifndef APRICOTYARD_HTTP_CLIENT_H
#define APRICOTYARD_HTTP_CLIENT_H

#include "http_server.h"

#include <memory>
#include <unordered_map>

namespace apricotyard {

using TransferId = std::uint64_t;

// Header lines as sent on the wire, which many requests can share.
struct SharedHeaders
{
  std::string mLines;
  bool mHasHost = false;
};

// Thread-safe.
std::shared_ptr<const SharedHeaders>
MakeSharedHeaders(const std::vector<HttpHeader>& aHeaders);

struct ClientRequest
{
  std::string mMethod = "POST";
  SocketAddress mAddress;
  std::string mPath;
  // Sent before mHeaders. May be null.
  std::shared_ptr<const SharedHeaders> mSharedHeaders;
  std::vector<HttpHeader> mHeaders;
  std::string mBody;
  Duration mTimeout = std::chrono::seconds(1);
  // Opens a new connection for this request instead of reusing one.
  bool mFreshConnection = false;
  // A connection that has been idle for longer is not reused, because the server may be closing it.
  std::chrono::seconds mMaxIdleTime{ 100 };
  // If set, the reply must carry this header with this value. Any other reply is taken to belong to
  // another request, and its connection is closed.
  HttpHeader mExpectedHeader;
  // Accepts a reply that lacks the expected header. A different value is still rejected.
  bool mExpectedHeaderOptional = false;
  // The request is forwarded for a caller: mPath is its request target, and no Content-Type header
  // is added to mHeaders.
  bool mForwarded = false;
  // Largest accepted reply body in bytes.
  std::size_t mMaxReply = std::size_t{ 4 } * 1024 * 1024;
};

// How a transfer ended at the transport level. The HTTP status is separate.
enum class TransferEnd : std::uint8_t
{
  Complete,     // a complete reply arrived
  NotConnected, // no connection was established; the server received nothing
  NotSent,      // the connection was lost before the first byte was sent
  Lost,         // the connection was lost after sending, or the reply was malformed
  TimedOut,     // no complete reply within ClientRequest::mTimeout
  TooLarge,     // the body exceeded ClientRequest::mMaxReply
  Mismatched,   // the reply belongs to another request
};

struct ClientReply
{
  TransferEnd mEnd = TransferEnd::NotConnected;
  int mStatus = 0;
  std::string mBody;
  // All headers in the order and spelling in which they were received.
  std::vector<HttpHeader> mRawHeaders;
  bool mReusedConnection = false;
  // NotConnected: the server's host answered that nothing listens at the address.
  bool mRefused = false;
  // Lost: the connection ended before the reply was complete, as it does when the server crashes.
  bool mConnectionEnded = false;
  // Bytes of the request that were sent and of the reply that were received, heads included.
  std::size_t mBytesSent = 0;
  std::size_t mBytesReceived = 0;
  // Describes the failure; empty if the transfer is complete.
  std::string mMessage;

  // Returns the last value of the header aName, or an empty string if it is absent.
  // Case-insensitive.
  std::string_view Header(std::string_view aName) const;
};

// How an attempt to open a connection ended.
enum class ConnectOutcome : std::uint8_t
{
  Accepted,
  // The server's host answered that nothing listens at the address.
  Refused,
  // No answer in time, or another error.
  Failed,
};

using ClientHandler = std::function<void(ClientReply)>;

// All methods must be called on the loop's thread. Handlers are never called from inside Send. The
// destructor drops open transfers without calling their handlers.
class HttpClient
{
public:
  // aSourceIp is the local address of all connections; if it is empty, the system chooses one. Each
  // server gets at most aMaxConnectionsPerServer connections, and further requests wait for one. 0
  // means no limit.
  HttpClient(Loop& aLoop, std::string aSourceIp, std::size_t aMaxConnectionsPerServer);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a transfer; aHandler is called exactly once unless the transfer is cancelled.
  TransferId Send(ClientRequest aRequest, ClientHandler aHandler);
  // Opens a connection before the first request needs it, unless the server already has one.
  // Failures are ignored, because the request will report them.
  void Preconnect(const SocketAddress& aAddress);
  // Opens another connection to find out whether the server can be reached. aHandler is called
  // once, unless the client is destroyed first. A connection that is accepted is kept for later
  // requests.
  void CheckConnection(const SocketAddress& aAddress,
                       Duration aTimeout,
                       std::function<void(ConnectOutcome)> aHandler);
  // Limits the number of idle connections over all servers to aCount, at most 2048. Connections
  // beyond the limit are closed, the longest idle first.
  void SetMaxIdleConnections(std::size_t aCount);
  std::size_t IdleConnections() const;
  // Returns true if the server has an idle connection, or one being opened that no transfer uses.
  bool HasConnection(const SocketAddress& aAddress) const;
  // Ends a transfer without calling its handler. Its connection is closed if the request was sent,
  // and kept for the next request if it is still being opened. Unknown identifiers are ignored.
  void Cancel(TransferId aTransfer);
  // Returns true if part of the request may have reached the server. False for unknown identifiers.
  bool IsSent(TransferId aTransfer) const;
  // Returns true if the transfer was sent on a reused connection and no byte of the reply has
  // arrived.
  bool IsSilent(TransferId aTransfer) const;
  std::size_t OpenTransfers() const;
  // The number of connections opened since construction.
  std::uint64_t ConnectionsOpened() const;

  struct State;

private:
  std::unique_ptr<State> mState;
};

} // namespace apricotyard

#endif
