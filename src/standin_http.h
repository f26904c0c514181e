// A small HTTP/1.1 server for the stand-in replica. Unlike http_server.h it can break its
// connections on purpose: close them after reading, cut replies, fall silent or refuse new ones.
#ifndef APRICOTYARD_STANDIN_HTTP_H
#define APRICOTYARD_STANDIN_HTTP_H

#include "http_server.h"
#include "loop.h"

namespace apricotyard {

using ConnectionId = std::uint64_t;

// One request at a time per connection, with Content-Length only; libcurl sends nothing else. All
// methods only on the loop's thread; the server must be destroyed before the loop.
class FaultyServer
{
public:
  using Handler = std::function<void(ConnectionId, HttpRequest)>;

  FaultyServer(Loop& aLoop, SocketAddress aAddress, std::size_t aMaxConnections, Handler aHandler);
  ~FaultyServer();
  FaultyServer(const FaultyServer&) = delete;
  FaultyServer& operator=(const FaultyServer&) = delete;

  // Starts to accept connections. Fails with Internal if the address cannot be bound.
  Expected<void> Listen();
  // New connections are refused; open ones go on.
  void StopListening();
  // Answers the pending request of a connection. Unknown or silent connections are ignored.
  void Reply(ConnectionId aConnection, const HttpResponse& aResponse);
  // Sends only the first half of the answer and closes the connection.
  void ReplyTruncated(ConnectionId aConnection, const HttpResponse& aResponse);
  void Close(ConnectionId aConnection);
  // Every open connection stops delivering without an error, for good.
  void Silence();
  // Requests received on this connection so far.
  std::uint64_t Requests(ConnectionId aConnection) const;
  std::size_t Connections() const { return mConnections.size(); }

private:
  struct Connection
  {
    int mFd = -1;
    bool mSilent = false;
    bool mPending = false;
    bool mCloseAfterWrite = false;
    std::uint64_t mRequests = 0;
    std::string mPeer;
    std::string mIn;
    std::string mOut;
  };

  void Accept();
  void OnReady(ConnectionId aConnection, std::uint32_t aEvents);
  bool ReadAll(Connection& aConnection) const;
  void TakeRequest(ConnectionId aConnection);
  void Write(ConnectionId aConnection);

  Loop& mLoop;
  SocketAddress mAddress;
  std::size_t mMaxConnections;
  Handler mHandler;
  int mListener = -1;
  ConnectionId mNext = 1;
  std::map<ConnectionId, Connection> mConnections;
};

} // namespace apricotyard

#endif
