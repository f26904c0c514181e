// HTTP client inside an event loop, with a pool of connections to each server. Replies are read by
// Boost.Beast's parser (reply_parser.h).
//
// libcurl is not used: it took more than half of the processor time of a sub-request, because each
// transfer parses a URL, runs a state machine of its own and registers its socket anew.
#ifndef APRICOTYARD_HTTP_CLIENT_H
#define APRICOTYARD_HTTP_CLIENT_H

#include "http_server.h"

#include <memory>
#include <unordered_map>

namespace apricotyard {

using TransferId = std::uint64_t;

struct ClientRequest
{
  std::string mMethod = "POST";
  SocketAddress mAddress;
  std::string mPath;
  std::vector<HttpHeader> mHeaders;
  std::string mBody;
  Duration mTimeout = std::chrono::seconds(1);
  // Whether the request needs a connection of its own that carried nothing before.
  bool mFreshConnection = false;
  // A connection that was idle for longer is not reused; the server may be closing it.
  std::chrono::seconds mMaxIdle{ 100 };
  // If set, the reply must carry this header with this value; otherwise the reply belongs to
  // another request and its connection is closed.
  HttpHeader mExpectedHeader;
  // A reply without the expected header is accepted; only another value makes it a crossed one.
  bool mExpectedOptional = false;
  // The request is passed on for a caller: the target goes out as it is in mPath and nothing is
  // added to mHeaders.
  bool mForwarded = false;
  std::size_t mMaxReply = std::size_t{ 4 } * 1024 * 1024;
};

// How a transfer ended, seen from the transport.
enum class TransferEnd : std::uint8_t
{
  Complete,     // a whole reply arrived
  NotConnected, // no connection; the server saw nothing
  NotSent,      // the connection was lost before the first byte was sent
  Lost,         // the connection was lost after sending
  TimedOut,     // no whole reply in time
  TooLarge,     // the reply exceeded the limit
  Crossed,      // the reply belongs to another request
};

struct ClientReply
{
  TransferEnd mEnd = TransferEnd::NotConnected;
  int mStatus = 0;
  std::string mBody;
  // Every header in its order and spelling.
  std::vector<HttpHeader> mHeaderList;
  bool mReusedConnection = false;
  std::string mMessage;

  // The last value of a header, whose name may be in any case, or an empty text.
  std::string_view Header(std::string_view aName) const;
};

using ClientHandler = std::function<void(ClientReply)>;

// All methods only on the loop's thread. A handler is never called from inside Send.
class HttpClient
{
public:
  // aSourceIp is the local address of all connections; empty lets the system choose. Requests
  // beyond aMaxConnectionsPerServer wait for a connection; 0 sets no limit.
  HttpClient(Loop& aLoop, std::string aSourceIp, std::size_t aMaxConnectionsPerServer);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a transfer; aHandler is called exactly once unless the transfer is cancelled.
  TransferId Send(ClientRequest aRequest, ClientHandler aHandler);
  // Opens a connection ahead of the first request, unless one is open. Failures are ignored: the
  // request that needs the connection meets them as well.
  void Prepare(const SocketAddress& aAddress);
  // Closes the connections that have been idle longest, now and later, so that at most aCount are.
  void SetMaxIdle(std::size_t aCount);
  std::size_t IdleConnections() const;
  // True if a request would find an idle connection, or one that is being opened.
  bool HasConnection(const SocketAddress& aAddress) const;
  // Ends a transfer without calling its handler. Its connection is closed if the request was sent.
  // Unknown identifiers are ignored.
  void Cancel(TransferId aTransfer);
  // True if the transfer was sent on a reused connection and no byte of the reply has arrived.
  bool IsSilent(TransferId aTransfer) const;
  std::size_t OpenTransfers() const;
  // Connections opened so far.
  std::uint64_t ConnectionsOpened() const;

  struct State;

private:
  std::unique_ptr<State> mState;
};

} // namespace apricotyard

#endif
