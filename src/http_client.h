// HTTP client by libcurl inside an event loop.
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
  // Set for requests that must not be repeated: libcurl repeats a request by itself when a reused
  // connection is closed before the first byte of the reply.
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
  // Header names are in lower case.
  std::map<std::string, std::string, std::less<>> mHeaders;
  // Every header in its order and spelling.
  std::vector<HttpHeader> mHeaderList;
  bool mReusedConnection = false;
  std::string mMessage;

  std::string_view Header(std::string_view aName) const;
};

using ClientHandler = std::function<void(ClientReply)>;

// All methods only on the loop's thread. A handler is never called from inside Send.
class HttpClient
{
public:
  // aSourceIp is the local address of all connections; empty lets the system choose.
  HttpClient(Loop& aLoop, std::string aSourceIp, long aMaxConnectionsPerServer);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a transfer; aHandler is called exactly once unless the transfer is cancelled.
  TransferId Send(ClientRequest aRequest, ClientHandler aHandler);
  // Ends a transfer without calling its handler. Its connection is closed unless the reply was
  // complete. Unknown identifiers are ignored.
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
