#include "http_client.h"

#include "release.h"
#include "reply_parser.h"
#include "settings.h"
#include "socket_address.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <deque>
#include <list>
#include <optional>
#include <set>
#include <utility>

#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace apricotyard {

namespace {

// Default and upper limit of idle connections over all servers: half of the file descriptors of the
// smallest host.
constexpr std::size_t kMaxIdleConnections = 2048;
// A new connection may take up to the transfer's timeout divided by this number.
constexpr int kConnectTimeoutDivisor = 2;
// Upper limit for connecting. A handshake takes tens of milliseconds at most.
constexpr Duration kMaxConnectTime = std::chrono::seconds(1);
// Most replies fit into one read of this size.
constexpr std::size_t kReadBufferBytes = std::size_t{ 16 } * 1024;
// Reads from one connection before other events of the loop have their turn.
constexpr int kMaxReadsPerEvent = 4;
// Limit for the incomplete replies of all connections together. Whole replies have a few kilobytes,
// so this is reached only if servers send without end.
constexpr std::size_t kMaxBufferedBytes = std::size_t{ 16 } * 1024 * 1024;

struct Connection;
using ConnectionPtr = std::shared_ptr<Connection>;

// The connections to one server, and the transfers that wait for a connection.
struct Server
{
  SocketAddress mAddress;
  // Connections in any phase but Closed.
  std::size_t mOpen = 0;
  // The most recently used connection is at the back.
  std::vector<ConnectionPtr> mIdle;
  // Connections that are being opened and are not assigned to a transfer.
  std::vector<ConnectionPtr> mUnassigned;
  std::deque<TransferId> mWaiting;
};

enum class Phase : std::uint8_t
{
  Connecting,
  Idle,
  Busy,
  Closed,
};

struct Connection
{
  int mFd = -1;
  Server* mServer = nullptr;
  Phase mPhase = Phase::Connecting;
  // 0 if no transfer is assigned.
  TransferId mTransfer = 0;
  TimerId mConnectTimer = 0;
  bool mReused = false;
  // Called when it is known whether the server accepts the connection. May be empty.
  std::function<void(ConnectOutcome)> mOnOutcome;
  std::optional<ReplyParser> mParser;
  // The parser's part of State::mBufferedBytes.
  std::size_t mBufferedBytes = 0;
  // The request until it is sent completely.
  std::string mOutput;
  bool mIsSent = false;
  std::size_t mWritten = 0;
  std::size_t mReceived = 0;
  // The error number of a failed send, or 0. The socket reports an error only once, so that the
  // next read finds an ordinary end of the stream.
  int mSendError = 0;
  // Whether the loop watches the socket for EPOLLOUT while a request is being sent.
  bool mWatchesWritable = false;
  TimePoint mIdleSince;
  std::list<ConnectionPtr>::iterator mIdlePosition;
};

struct Transfer
{
  ClientRequest mRequest;
  ClientHandler mHandler;
  ConnectionPtr mConnection;
  TimerId mTimer = 0;
};

bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         strncasecmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

bool
HasHost(const std::vector<HttpHeader>& aHeaders)
{
  return std::any_of(aHeaders.begin(), aHeaders.end(), [](const HttpHeader& aHeader) {
    return EqualsIgnoreCase(aHeader.mName, "host");
  });
}

void
AppendHeaders(std::string& aText, const std::vector<HttpHeader>& aHeaders)
{
  for (const HttpHeader& header : aHeaders) {
    aText.append(header.mName).append(": ").append(header.mValue).append("\r\n");
  }
}

// Returns the request line, headers and body as sent on the wire.
std::string
Serialize(const ClientRequest& aRequest)
{
  std::string text;
  const SharedHeaders* const shared = aRequest.mSharedHeaders.get();
  constexpr std::size_t kOwnHeaderBytes = 512;
  text.reserve(kOwnHeaderBytes + aRequest.mPath.size() +
               (shared != nullptr ? shared->mLines.size() : 0) + aRequest.mBody.size());
  const std::string_view target = aRequest.mPath.empty() ? std::string_view("/") : aRequest.mPath;
  text.append(aRequest.mMethod).append(" ").append(target).append(" HTTP/1.1\r\n");
  if (!(shared != nullptr && shared->mHasHost) && !HasHost(aRequest.mHeaders)) {
    text.append("Host: ").append(FormatSocketAddress(aRequest.mAddress)).append("\r\n");
  }
  if (shared != nullptr) {
    text.append(shared->mLines);
  }
  AppendHeaders(text, aRequest.mHeaders);
  if (!aRequest.mForwarded) {
    text.append("Content-Type: application/json\r\n");
  }
  if (!aRequest.mBody.empty() || (aRequest.mMethod != "GET" && aRequest.mMethod != "HEAD")) {
    fmt::format_to(std::back_inserter(text), "Content-Length: {}\r\n", aRequest.mBody.size());
  }
  text.append("\r\n").append(aRequest.mBody);
  return text;
}

TransferEnd
ToTransferEnd(ParseStep aStep)
{
  switch (aStep) {
    case ParseStep::Complete:
      return TransferEnd::Complete;
    case ParseStep::TooLarge:
      return TransferEnd::TooLarge;
    case ParseStep::Mismatched:
      return TransferEnd::Mismatched;
    case ParseStep::NeedsMore:
    case ParseStep::Malformed:
      break;
  }
  return TransferEnd::Lost;
}

} // namespace

struct HttpClient::State
{
  void AssignConnection(TransferId aId, Transfer& aTransfer);
  ConnectionPtr TakeIdle(Server& aServer, Duration aMaxIdleTime);
  // Returns null and sets errno if the connection attempt cannot be started.
  ConnectionPtr Open(Server& aServer, Duration aConnectTimeout);
  void OnSocketEvent(const ConnectionPtr& aConnection, std::uint32_t aEvents);
  void OnConnected(const ConnectionPtr& aConnection);
  static void ReportOutcome(Connection& aConnection, ConnectOutcome aOutcome);
  void Start(const ConnectionPtr& aConnection, TransferId aId, Transfer& aTransfer);
  void Write(const ConnectionPtr& aConnection);
  void Read(const ConnectionPtr& aConnection);
  void OnStreamEnd(const ConnectionPtr& aConnection);
  void SetBufferedBytes(Connection& aConnection, std::size_t aBytes);
  // Whether all replies together are too large and this one takes more than its share of them.
  bool ExceedsBufferShare(const Connection& aConnection) const;
  void OnReplyEnd(const ConnectionPtr& aConnection,
                  ParseStep aStep,
                  std::string aMessage,
                  bool aConnectionEnded = false);
  void MakeIdle(const ConnectionPtr& aConnection);
  void RemoveFromIdle(const ConnectionPtr& aConnection);
  void Close(const ConnectionPtr& aConnection);
  // Assigns a connection to the transfer that has waited longest, if any.
  void AssignNextWaiting(Server& aServer);
  // Releases the transfer's connection, or removes the transfer from its server's wait queue.
  void Detach(TransferId aId, Transfer& aTransfer);
  void OnTimeout(TransferId aId);
  // aError is the error number of a failed system call, or 0.
  void Finish(TransferId aId, TransferEnd aEnd, std::string aMessage, int aError = 0);
  // Calls Finish from a later iteration of the loop, so that a handler never runs inside Send.
  void DeferFinish(TransferId aId, TransferEnd aEnd, int aError);
  Server& FindOrAddServer(const SocketAddress& aAddress);

  Loop& mLoop;
  std::string mSourceIp;
  std::size_t mMaxPerServer = 0;
  TransferId mNextId = 1;
  std::unordered_map<TransferId, std::unique_ptr<Transfer>> mTransfers;
  std::map<std::pair<std::string, std::uint16_t>, std::unique_ptr<Server>> mServers;
  // Idle connections of all servers; the longest idle one is at the front.
  std::list<ConnectionPtr> mIdle;
  std::size_t mMaxIdleConnections = kMaxIdleConnections;
  // Sum over all connections.
  std::size_t mBufferedBytes = 0;
  std::set<ConnectionPtr> mConnections;
  std::uint64_t mConnectionsOpened = 0;
};

Server&
HttpClient::State::FindOrAddServer(const SocketAddress& aAddress)
{
  const std::pair key(aAddress.mIp, aAddress.mPort);
  if (const auto known = mServers.find(key); known != mServers.end()) {
    return *known->second;
  }
  // Server addresses change over time. Removes unused entries, so that the map does not grow.
  std::erase_if(mServers, [](const auto& aEntry) {
    return aEntry.second->mOpen == 0 && aEntry.second->mWaiting.empty();
  });
  std::unique_ptr<Server>& server = mServers[key];
  server = std::make_unique<Server>();
  server->mAddress = aAddress;
  return *server;
}

void
HttpClient::State::AssignConnection(TransferId aId, Transfer& aTransfer)
{
  const ClientRequest& request = aTransfer.mRequest;
  Server& server = FindOrAddServer(request.mAddress);
  if (!request.mFreshConnection) {
    if (const ConnectionPtr idle = TakeIdle(server, request.mMaxIdleTime)) {
      Start(idle, aId, aTransfer);
      return;
    }
    if (!server.mUnassigned.empty()) {
      aTransfer.mConnection = server.mUnassigned.back();
      aTransfer.mConnection->mTransfer = aId;
      server.mUnassigned.pop_back();
      return;
    }
  }
  if (mMaxPerServer != 0 && server.mOpen >= mMaxPerServer) {
    if (server.mIdle.empty()) {
      server.mWaiting.push_back(aId);
      return;
    }
    Close(server.mIdle.front());
  }
  aTransfer.mConnection =
    Open(server, std::min<Duration>(request.mTimeout / kConnectTimeoutDivisor, kMaxConnectTime));
  if (aTransfer.mConnection == nullptr) {
    DeferFinish(aId, TransferEnd::NotConnected, errno);
    return;
  }
  aTransfer.mConnection->mTransfer = aId;
}

ConnectionPtr
HttpClient::State::TakeIdle(Server& aServer, Duration aMaxIdleTime)
{
  if (aServer.mIdle.empty()) {
    return nullptr;
  }
  ConnectionPtr connection = aServer.mIdle.back();
  if (connection->mIdleSince + aMaxIdleTime >= SteadyNow()) {
    RemoveFromIdle(connection);
    return connection;
  }
  // The connection at the back was used last, so all others have expired too.
  while (!aServer.mIdle.empty()) {
    Close(aServer.mIdle.back());
  }
  return nullptr;
}

ConnectionPtr
HttpClient::State::Open(Server& aServer, Duration aConnectTimeout)
{
  const auto target = ToNative(aServer.mAddress);
  if (!target) {
    errno = EINVAL;
    return nullptr;
  }
  const int fd = socket(target->mStorage.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) {
    return nullptr;
  }
  const int enable = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
  const auto source = ToNative({ mSourceIp, 0 });
  if ((source && bind(fd, source->Raw(), source->mLength) != 0) ||
      (connect(fd, target->Raw(), target->mLength) != 0 && errno != EINPROGRESS)) {
    const int error = errno;
    close(fd);
    errno = error;
    return nullptr;
  }
  auto connection = std::make_shared<Connection>();
  connection->mFd = fd;
  connection->mServer = &aServer;
  ++aServer.mOpen;
  ++mConnectionsOpened;
  mConnections.insert(connection);
  mLoop.AddFd(fd, EPOLLOUT, [this, connection](std::uint32_t aEvents) {
    OnSocketEvent(connection, aEvents);
  });
  connection->mConnectTimer = mLoop.AddTimer(SteadyNow() + aConnectTimeout, [this, connection] {
    const TransferId transfer = connection->mTransfer;
    connection->mConnectTimer = 0;
    Close(connection);
    Finish(transfer, TransferEnd::NotConnected, "no connection in time");
    ReportOutcome(*connection, ConnectOutcome::Failed);
  });
  return connection;
}

void
HttpClient::State::OnSocketEvent(const ConnectionPtr& aConnection, std::uint32_t aEvents)
{
  switch (aConnection->mPhase) {
    case Phase::Connecting:
      OnConnected(aConnection);
      break;
    case Phase::Idle:
      // The server closed the connection or sent bytes without a request.
      Close(aConnection);
      break;
    case Phase::Busy:
      // Reads first: a server may reply before it has read the request, and only a read tells
      // whether its stream has ended or was reset.
      if ((aEvents & ~std::uint32_t{ EPOLLOUT }) != 0) {
        Read(aConnection);
      }
      if (aConnection->mPhase == Phase::Busy && (aEvents & EPOLLOUT) != 0) {
        Write(aConnection);
      }
      break;
    case Phase::Closed:
      break;
  }
}

void
HttpClient::State::OnConnected(const ConnectionPtr& aConnection)
{
  int error = 0;
  socklen_t length = sizeof(error);
  getsockopt(aConnection->mFd, SOL_SOCKET, SO_ERROR, &error, &length);
  mLoop.CancelTimer(aConnection->mConnectTimer);
  aConnection->mConnectTimer = 0;
  const TransferId id = aConnection->mTransfer;
  if (error != 0) {
    Close(aConnection);
    Finish(id, TransferEnd::NotConnected, std::strerror(error), error);
    ReportOutcome(*aConnection,
                  error == ECONNREFUSED ? ConnectOutcome::Refused : ConnectOutcome::Failed);
    return;
  }
  mLoop.ModifyFd(aConnection->mFd, EPOLLIN | EPOLLRDHUP);
  const auto transfer = mTransfers.find(id);
  if (transfer == mTransfers.end()) {
    std::erase(aConnection->mServer->mUnassigned, aConnection);
    MakeIdle(aConnection);
  } else {
    Start(aConnection, id, *transfer->second);
  }
  ReportOutcome(*aConnection, ConnectOutcome::Accepted);
}

void
HttpClient::State::ReportOutcome(Connection& aConnection, ConnectOutcome aOutcome)
{
  if (const auto handler = std::exchange(aConnection.mOnOutcome, {})) {
    handler(aOutcome);
  }
}

void
HttpClient::State::Start(const ConnectionPtr& aConnection, TransferId aId, Transfer& aTransfer)
{
  aConnection->mPhase = Phase::Busy;
  aConnection->mTransfer = aId;
  aConnection->mParser.emplace(aTransfer.mRequest);
  aConnection->mOutput = Serialize(aTransfer.mRequest);
  // The rest of the request is still used to judge the reply.
  aTransfer.mRequest.mSharedHeaders = nullptr;
  Release(aTransfer.mRequest.mPath);
  Release(aTransfer.mRequest.mHeaders);
  Release(aTransfer.mRequest.mBody);
  aConnection->mIsSent = false;
  aConnection->mWritten = 0;
  aConnection->mReceived = 0;
  aTransfer.mConnection = aConnection;
  Write(aConnection);
}

void
HttpClient::State::Write(const ConnectionPtr& aConnection)
{
  Connection& connection = *aConnection;
  while (connection.mWritten < connection.mOutput.size()) {
    const ssize_t count = send(connection.mFd,
                               connection.mOutput.data() + connection.mWritten,
                               connection.mOutput.size() - connection.mWritten,
                               MSG_NOSIGNAL);
    if (count > 0) {
      connection.mWritten += static_cast<std::size_t>(count);
    } else if (errno == EAGAIN) {
      connection.mWatchesWritable = true;
      mLoop.ModifyFd(connection.mFd, EPOLLIN | EPOLLRDHUP | EPOLLOUT);
      return;
    } else if (errno != EINTR) {
      // If part of the request was sent, the server may have replied before it closed the
      // connection. Read still collects that reply.
      connection.mSendError = errno;
      if (connection.mWritten == 0) {
        DeferFinish(connection.mTransfer, TransferEnd::NotSent, connection.mSendError);
      }
      break;
    }
  }
  if (connection.mWritten == connection.mOutput.size()) {
    connection.mIsSent = true;
    Release(connection.mOutput);
  }
  if (connection.mWatchesWritable) {
    connection.mWatchesWritable = false;
    mLoop.ModifyFd(connection.mFd, EPOLLIN | EPOLLRDHUP);
  }
}

void
HttpClient::State::Read(const ConnectionPtr& aConnection)
{
  std::array<char, kReadBufferBytes> buffer;
  for (int i = 0; i < kMaxReadsPerEvent && aConnection->mPhase == Phase::Busy; ++i) {
    const ssize_t count = recv(aConnection->mFd, buffer.data(), buffer.size(), 0);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0 && errno == EAGAIN) {
      return;
    }
    if (count < 0) {
      OnReplyEnd(aConnection, ParseStep::Malformed, std::strerror(errno), true);
      return;
    }
    if (count == 0) {
      OnStreamEnd(aConnection);
      return;
    }
    const auto bytes = static_cast<std::size_t>(count);
    aConnection->mReceived += bytes;
    const ParseStep step = aConnection->mParser->Feed({ buffer.data(), bytes });
    if (step != ParseStep::NeedsMore) {
      OnReplyEnd(aConnection, step, "the reply is not valid");
      return;
    }
    SetBufferedBytes(*aConnection, aConnection->mParser->BufferedBytes());
    if (ExceedsBufferShare(*aConnection)) {
      OnReplyEnd(aConnection, ParseStep::TooLarge, "incomplete replies take too much memory");
      return;
    }
    if (bytes < buffer.size()) {
      return;
    }
  }
}

// The end of the stream ends a reply without a length, unless the connection was reset before.
void
HttpClient::State::OnStreamEnd(const ConnectionPtr& aConnection)
{
  const int error = aConnection->mSendError;
  if (error == 0) {
    OnReplyEnd(aConnection, aConnection->mParser->End(), "the server closed the connection", true);
  } else {
    OnReplyEnd(aConnection, ParseStep::Malformed, std::strerror(error), true);
  }
}

void
HttpClient::State::SetBufferedBytes(Connection& aConnection, std::size_t aBytes)
{
  mBufferedBytes = mBufferedBytes - aConnection.mBufferedBytes + aBytes;
  aConnection.mBufferedBytes = aBytes;
}

bool
HttpClient::State::ExceedsBufferShare(const Connection& aConnection) const
{
  return mBufferedBytes > kMaxBufferedBytes &&
         aConnection.mBufferedBytes > kMaxBufferedBytes / mConnections.size();
}

void
HttpClient::State::OnReplyEnd(const ConnectionPtr& aConnection,
                              ParseStep aStep,
                              std::string aMessage,
                              bool aConnectionEnded)
{
  const TransferId id = aConnection->mTransfer;
  const auto node = mTransfers.extract(id);
  if (node.empty()) {
    Close(aConnection);
    return;
  }
  Transfer& transfer = *node.mapped();
  mLoop.CancelTimer(transfer.mTimer);
  ClientReply reply = std::move(aConnection->mParser->Reply());
  reply.mEnd = ToTransferEnd(aStep);
  reply.mReusedConnection = aConnection->mReused;
  reply.mBytesSent = aConnection->mWritten;
  reply.mBytesReceived = aConnection->mReceived;
  const bool complete = aStep == ParseStep::Complete;
  if (!complete) {
    reply.mConnectionEnded = aConnectionEnded;
    reply.mMessage = std::move(aMessage);
  }
  if (complete && aConnection->mIsSent && aConnection->mParser->IsConnectionReusable()) {
    MakeIdle(aConnection);
  } else {
    Close(aConnection);
  }
  transfer.mHandler(std::move(reply));
}

void
HttpClient::State::MakeIdle(const ConnectionPtr& aConnection)
{
  while (!mIdle.empty() && mIdle.size() >= mMaxIdleConnections) {
    Close(mIdle.front());
  }
  aConnection->mPhase = Phase::Idle;
  aConnection->mTransfer = 0;
  aConnection->mParser.reset();
  SetBufferedBytes(*aConnection, 0);
  aConnection->mIdleSince = SteadyNow();
  aConnection->mServer->mIdle.push_back(aConnection);
  aConnection->mIdlePosition = mIdle.insert(mIdle.end(), aConnection);
  AssignNextWaiting(*aConnection->mServer);
}

void
HttpClient::State::RemoveFromIdle(const ConnectionPtr& aConnection)
{
  std::erase(aConnection->mServer->mIdle, aConnection);
  mIdle.erase(aConnection->mIdlePosition);
  aConnection->mReused = true;
}

void
HttpClient::State::Close(const ConnectionPtr& aConnection)
{
  if (aConnection->mPhase == Phase::Closed) {
    return;
  }
  // Keeps the connection alive while it is removed from the containers below.
  const auto owner = mConnections.extract(aConnection);
  const ConnectionPtr& connection = owner.value();
  if (connection->mPhase == Phase::Idle) {
    RemoveFromIdle(connection);
  }
  Server& server = *connection->mServer;
  std::erase(server.mUnassigned, connection);
  connection->mPhase = Phase::Closed;
  connection->mTransfer = 0;
  SetBufferedBytes(*connection, 0);
  mLoop.CancelTimer(connection->mConnectTimer);
  mLoop.RemoveFd(connection->mFd);
  close(connection->mFd);
  --server.mOpen;
  AssignNextWaiting(server);
}

void
HttpClient::State::AssignNextWaiting(Server& aServer)
{
  if (aServer.mWaiting.empty()) {
    return;
  }
  const TransferId id = aServer.mWaiting.front();
  aServer.mWaiting.pop_front();
  if (const auto transfer = mTransfers.find(id); transfer != mTransfers.end()) {
    AssignConnection(id, *transfer->second);
  }
}

void
HttpClient::State::Detach(TransferId aId, Transfer& aTransfer)
{
  mLoop.CancelTimer(aTransfer.mTimer);
  const ConnectionPtr connection = aTransfer.mConnection;
  if (connection == nullptr) {
    if (const auto server =
          mServers.find({ aTransfer.mRequest.mAddress.mIp, aTransfer.mRequest.mAddress.mPort });
        server != mServers.end()) {
      std::erase(server->second->mWaiting, aId);
    }
  } else if (connection->mPhase == Phase::Connecting) {
    // Keeps the connection for the next request.
    connection->mTransfer = 0;
    connection->mServer->mUnassigned.push_back(connection);
  } else if (connection->mTransfer == aId) {
    Close(connection);
  }
}

void
HttpClient::State::OnTimeout(TransferId aId)
{
  const auto transfer = mTransfers.find(aId);
  if (transfer == mTransfers.end()) {
    return;
  }
  transfer->second->mTimer = 0;
  const ConnectionPtr& connection = transfer->second->mConnection;
  const bool sent = connection != nullptr && connection->mPhase == Phase::Busy;
  Finish(aId, sent ? TransferEnd::TimedOut : TransferEnd::NotConnected, "no whole reply in time");
}

void
HttpClient::State::Finish(TransferId aId, TransferEnd aEnd, std::string aMessage, int aError)
{
  const auto node = mTransfers.extract(aId);
  if (node.empty()) {
    return;
  }
  Transfer& transfer = *node.mapped();
  ClientReply reply;
  reply.mEnd = aEnd;
  reply.mRefused = aEnd == TransferEnd::NotConnected && aError == ECONNREFUSED;
  if (transfer.mConnection != nullptr) {
    reply.mReusedConnection = transfer.mConnection->mReused;
    reply.mBytesSent = transfer.mConnection->mWritten;
    reply.mBytesReceived = transfer.mConnection->mReceived;
  }
  reply.mMessage = std::move(aMessage);
  Detach(aId, transfer);
  transfer.mHandler(std::move(reply));
}

void
HttpClient::State::DeferFinish(TransferId aId, TransferEnd aEnd, int aError)
{
  const auto transfer = mTransfers.find(aId);
  if (transfer == mTransfers.end()) {
    return;
  }
  mLoop.CancelTimer(transfer->second->mTimer);
  transfer->second->mTimer = mLoop.AddTimer(
    SteadyNow(), [this, aId, aEnd, aError] { Finish(aId, aEnd, std::strerror(aError), aError); });
}

std::shared_ptr<const SharedHeaders>
MakeSharedHeaders(const std::vector<HttpHeader>& aHeaders)
{
  auto shared = std::make_shared<SharedHeaders>();
  AppendHeaders(shared->mLines, aHeaders);
  shared->mHasHost = HasHost(aHeaders);
  return shared;
}

std::string_view
ClientReply::Header(std::string_view aName) const
{
  const auto found =
    std::find_if(mRawHeaders.rbegin(), mRawHeaders.rend(), [aName](const HttpHeader& aHeader) {
      return EqualsIgnoreCase(aHeader.mName, aName);
    });
  return found == mRawHeaders.rend() ? std::string_view() : std::string_view(found->mValue);
}

HttpClient::HttpClient(Loop& aLoop, std::string aSourceIp, std::size_t aMaxConnectionsPerServer)
  : mState(new State{ aLoop, std::move(aSourceIp), aMaxConnectionsPerServer })
{
}

HttpClient::~HttpClient()
{
  for (auto& [id, transfer] : mState->mTransfers) {
    mState->mLoop.CancelTimer(transfer->mTimer);
  }
  mState->mTransfers.clear();
  const std::set<ConnectionPtr> connections = mState->mConnections;
  for (const ConnectionPtr& connection : connections) {
    mState->Close(connection);
  }
}

TransferId
HttpClient::Send(ClientRequest aRequest, ClientHandler aHandler)
{
  const TransferId id = mState->mNextId++;
  auto owned = std::make_unique<Transfer>();
  Transfer& transfer = *owned;
  transfer.mRequest = std::move(aRequest);
  transfer.mHandler = std::move(aHandler);
  transfer.mTimer = mState->mLoop.AddTimer(SteadyNow() + transfer.mRequest.mTimeout,
                                           [state = mState.get(), id] { state->OnTimeout(id); });
  mState->mTransfers.emplace(id, std::move(owned));
  mState->AssignConnection(id, transfer);
  return id;
}

void
HttpClient::Preconnect(const SocketAddress& aAddress)
{
  Server& server = mState->FindOrAddServer(aAddress);
  if (server.mOpen > 0) {
    return;
  }
  if (const ConnectionPtr connection = mState->Open(server, kMaxConnectTime)) {
    server.mUnassigned.push_back(connection);
  }
}

void
HttpClient::CheckConnection(const SocketAddress& aAddress,
                            Duration aTimeout,
                            std::function<void(ConnectOutcome)> aHandler)
{
  Server& server = mState->FindOrAddServer(aAddress);
  if (const ConnectionPtr connection = mState->Open(server, aTimeout)) {
    connection->mOnOutcome = std::move(aHandler);
    server.mUnassigned.push_back(connection);
    return;
  }
  const auto outcome = errno == ECONNREFUSED ? ConnectOutcome::Refused : ConnectOutcome::Failed;
  mState->mLoop.AddTimer(SteadyNow(),
                         [handler = std::move(aHandler), outcome] { handler(outcome); });
}

void
HttpClient::SetMaxIdleConnections(std::size_t aCount)
{
  mState->mMaxIdleConnections = std::min(aCount, kMaxIdleConnections);
  while (mState->mIdle.size() > mState->mMaxIdleConnections) {
    mState->Close(mState->mIdle.front());
  }
}

std::size_t
HttpClient::IdleConnections() const
{
  return mState->mIdle.size();
}

bool
HttpClient::HasConnection(const SocketAddress& aAddress) const
{
  const auto server = mState->mServers.find({ aAddress.mIp, aAddress.mPort });
  return server != mState->mServers.end() &&
         (!server->second->mIdle.empty() || !server->second->mUnassigned.empty());
}

void
HttpClient::Cancel(TransferId aTransfer)
{
  const auto node = mState->mTransfers.extract(aTransfer);
  if (!node.empty()) {
    mState->Detach(aTransfer, *node.mapped());
  }
}

bool
HttpClient::IsSent(TransferId aTransfer) const
{
  const auto found = mState->mTransfers.find(aTransfer);
  return found != mState->mTransfers.end() && found->second->mConnection != nullptr &&
         found->second->mConnection->mWritten > 0;
}

bool
HttpClient::IsSilent(TransferId aTransfer) const
{
  const auto found = mState->mTransfers.find(aTransfer);
  if (found == mState->mTransfers.end() || found->second->mConnection == nullptr) {
    return false;
  }
  const Connection& connection = *found->second->mConnection;
  return connection.mReused && connection.mPhase == Phase::Busy && connection.mWritten > 0 &&
         !connection.mParser->HasInput();
}

std::size_t
HttpClient::OpenTransfers() const
{
  return mState->mTransfers.size();
}

std::uint64_t
HttpClient::ConnectionsOpened() const
{
  return mState->mConnectionsOpened;
}

} // namespace apricotyard
