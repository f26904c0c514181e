// A small HTTP/1.1 server for the stand-in replica. Unlike http_server.h it can inject faults:
// close connections after reading a request, truncate replies, stop delivering data, or refuse
// connections.
#ifndef APRICOTYARD_STANDIN_HTTP_H
#define APRICOTYARD_STANDIN_HTTP_H

#include "http_server.h"
#include "loop.h"

namespace apricotyard {

using ConnectionId = std::uint64_t;

// Handles one request at a time per connection. Request bodies need a Content-Length, as HttpClient
// sends it; chunked ones are not supported. Call all methods on the loop's thread, and destroy the
// server before the loop.
class FaultInjectingServer
{
public:
  using Handler = std::function<void(ConnectionId, HttpRequest)>;

  FaultInjectingServer(Loop& aLoop,
                       SocketAddress aAddress,
                       std::size_t aMaxConnections,
                       Handler aHandler);
  ~FaultInjectingServer();
  FaultInjectingServer(const FaultInjectingServer&) = delete;
  FaultInjectingServer& operator=(const FaultInjectingServer&) = delete;

  // Starts to accept connections, unless it does so already. Fails with Internal if the address
  // cannot be bound.
  Expected<void> Listen();
  // Refuses new connections. Open connections stay usable.
  void StopListening();
  // Replies to the pending request of a connection. Does nothing if the connection is unknown or
  // silenced, or has no pending request.
  void Reply(ConnectionId aConnection, const HttpResponse& aResponse);
  // Like Reply, but sends only the first half of the body and closes the connection.
  void ReplyTruncated(ConnectionId aConnection, const HttpResponse& aResponse);
  void Close(ConnectionId aConnection);
  // The open connections never deliver data again, without reporting an error.
  void SilenceConnections();
  // Returns the number of requests received on this connection, or 0 if it is unknown.
  std::uint64_t RequestCount(ConnectionId aConnection) const;
  std::size_t ConnectionCount() const { return mConnections.size(); }

private:
  struct Connection
  {
    int mFd = -1;
    bool mSilent = false;
    bool mRequestPending = false;
    bool mCloseAfterWrite = false;
    std::uint64_t mRequestCount = 0;
    std::string mPeer;
    std::string mReadBuffer;
    std::string mWriteBuffer;
  };

  void Accept();
  void OnReady(ConnectionId aConnection, std::uint32_t aEvents);
  bool ReadAll(Connection& aConnection) const;
  void HandleBufferedRequest(ConnectionId aConnection);
  void Write(ConnectionId aConnection);

  Loop& mLoop;
  SocketAddress mAddress;
  std::size_t mMaxConnections;
  Handler mHandler;
  int mListenFd = -1;
  ConnectionId mNextId = 1;
  std::map<ConnectionId, Connection> mConnections;
};

} // namespace apricotyard

#endif
