#include "http_client.h"

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

#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace apricotyard {

namespace {

// Idle connections kept over all servers at first; half of the descriptors of the smallest host.
constexpr std::size_t kMaxIdleConnections = 2048;
// The part of a transfer's time that may be spent on a new connection.
constexpr int kConnectTimeShare = 2;
// Longest time for a new connection; a handshake takes tens of milliseconds at most.
constexpr Duration kMaxConnect = std::chrono::seconds(1);
// Read at a time; most replies are smaller.
constexpr std::size_t kReadBytes = std::size_t{ 16 } * 1024;

struct Connection;
using ConnectionPtr = std::shared_ptr<Connection>;

// What one server has of connections, and the transfers that wait for one.
struct Server
{
  SocketAddress mAddress;
  std::size_t mOpen = 0;
  // The one that was used last is at the back.
  std::vector<ConnectionPtr> mIdle;
  // Connections that are being opened and are not wanted by a transfer yet.
  std::vector<ConnectionPtr> mUnclaimed;
  std::deque<TransferId> mWaiting;
};

enum class Phase : std::uint8_t
{
  Opening,
  Idle,
  Busy,
  Closed,
};

struct Connection
{
  int mFd = -1;
  Server* mServer = nullptr;
  Phase mPhase = Phase::Opening;
  // 0 without a transfer.
  TransferId mTransfer = 0;
  TimerId mConnectTimer = 0;
  bool mReused = false;
  std::optional<ReplyParser> mParser;
  std::string mOutput;
  std::size_t mWritten = 0;
  // The socket is watched for room to write.
  bool mWatchesRoom = false;
  TimePoint mIdleSince;
  std::list<ConnectionPtr>::iterator mIdlePlace;
};

struct Transfer
{
  ClientRequest mRequest;
  ClientHandler mHandler;
  ConnectionPtr mConnection;
  TimerId mTimer = 0;
};

bool
SameName(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         strncasecmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

bool
HasHeader(const ClientRequest& aRequest, std::string_view aName)
{
  return std::any_of(aRequest.mHeaders.begin(),
                     aRequest.mHeaders.end(),
                     [aName](const HttpHeader& aHeader) { return SameName(aHeader.mName, aName); });
}

// The bytes of a request.
std::string
Serialize(const ClientRequest& aRequest)
{
  std::string text;
  text.reserve(512 + aRequest.mBody.size());
  const std::string_view target = aRequest.mPath.empty() ? std::string_view("/") : aRequest.mPath;
  text.append(aRequest.mMethod).append(" ").append(target).append(" HTTP/1.1\r\n");
  if (!HasHeader(aRequest, "host")) {
    text.append("Host: ").append(FormatSocketAddress(aRequest.mAddress)).append("\r\n");
  }
  for (const HttpHeader& header : aRequest.mHeaders) {
    text.append(header.mName).append(": ").append(header.mValue).append("\r\n");
  }
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
EndOf(ParseStep aStep)
{
  switch (aStep) {
    case ParseStep::Complete:
      return TransferEnd::Complete;
    case ParseStep::TooLarge:
      return TransferEnd::TooLarge;
    case ParseStep::Crossed:
      return TransferEnd::Crossed;
    case ParseStep::NeedsMore:
    case ParseStep::Malformed:
      break;
  }
  return TransferEnd::Lost;
}

} // namespace

struct HttpClient::State
{
  void Assign(TransferId aId, Transfer& aTransfer);
  ConnectionPtr TakeIdle(Server& aServer, Duration aMaxIdle);
  // Null with errno set if no connection can be begun.
  ConnectionPtr Open(Server& aServer, Duration aConnectTimeout);
  void OnReady(const ConnectionPtr& aConnection, std::uint32_t aEvents);
  void OnConnected(const ConnectionPtr& aConnection);
  void Start(const ConnectionPtr& aConnection, TransferId aId, Transfer& aTransfer);
  void Write(const ConnectionPtr& aConnection);
  void Read(const ConnectionPtr& aConnection);
  void OnEndOfReply(const ConnectionPtr& aConnection, ParseStep aStep, std::string aMessage);
  void MakeIdle(const ConnectionPtr& aConnection);
  void LeaveIdle(const ConnectionPtr& aConnection);
  void Close(const ConnectionPtr& aConnection);
  // Gives a free place to the transfer that has waited longest.
  void ServeWaiting(Server& aServer);
  // Takes the transfer off its connection or its queue.
  void Detach(TransferId aId, Transfer& aTransfer);
  void OnTimeout(TransferId aId);
  void Finish(TransferId aId, TransferEnd aEnd, std::string aMessage);
  // The same from a later round of the loop.
  void FinishSoon(TransferId aId, TransferEnd aEnd, std::string aMessage);
  Server& ServerOf(const SocketAddress& aAddress);

  Loop& mLoop;
  std::string mSourceIp;
  std::size_t mMaxPerServer = 0;
  TransferId mNextId = 1;
  std::unordered_map<TransferId, std::unique_ptr<Transfer>> mTransfers;
  std::map<std::pair<std::string, std::uint16_t>, std::unique_ptr<Server>> mServers;
  // Idle connections of all servers; the one that has been idle longest is at the front.
  std::list<ConnectionPtr> mIdle;
  std::size_t mMaxIdle = kMaxIdleConnections;
  std::set<ConnectionPtr> mConnections;
  std::uint64_t mConnectionsOpened = 0;
};

Server&
HttpClient::State::ServerOf(const SocketAddress& aAddress)
{
  const std::pair key(aAddress.mIp, aAddress.mPort);
  if (const auto known = mServers.find(key); known != mServers.end()) {
    return *known->second;
  }
  // Addresses change over time; those that are out of use are forgotten here.
  std::erase_if(mServers, [](const auto& aEntry) {
    return aEntry.second->mOpen == 0 && aEntry.second->mWaiting.empty();
  });
  std::unique_ptr<Server>& server = mServers[key];
  server = std::make_unique<Server>();
  server->mAddress = aAddress;
  return *server;
}

void
HttpClient::State::Assign(TransferId aId, Transfer& aTransfer)
{
  const ClientRequest& request = aTransfer.mRequest;
  Server& server = ServerOf(request.mAddress);
  if (!request.mFreshConnection) {
    if (const ConnectionPtr idle = TakeIdle(server, request.mMaxIdle)) {
      Start(idle, aId, aTransfer);
      return;
    }
    if (!server.mUnclaimed.empty()) {
      aTransfer.mConnection = server.mUnclaimed.back();
      aTransfer.mConnection->mTransfer = aId;
      server.mUnclaimed.pop_back();
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
    Open(server, std::min<Duration>(request.mTimeout / kConnectTimeShare, kMaxConnect));
  if (aTransfer.mConnection == nullptr) {
    FinishSoon(aId, TransferEnd::NotConnected, std::strerror(errno));
    return;
  }
  aTransfer.mConnection->mTransfer = aId;
}

ConnectionPtr
HttpClient::State::TakeIdle(Server& aServer, Duration aMaxIdle)
{
  if (aServer.mIdle.empty()) {
    return nullptr;
  }
  ConnectionPtr connection = aServer.mIdle.back();
  if (connection->mIdleSince + aMaxIdle >= SteadyNow()) {
    LeaveIdle(connection);
    return connection;
  }
  // All others have been idle for longer.
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
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
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
  mLoop.AddFd(
    fd, EPOLLOUT, [this, connection](std::uint32_t aEvents) { OnReady(connection, aEvents); });
  connection->mConnectTimer = mLoop.AddTimer(SteadyNow() + aConnectTimeout, [this, connection] {
    const TransferId transfer = connection->mTransfer;
    connection->mConnectTimer = 0;
    Close(connection);
    Finish(transfer, TransferEnd::NotConnected, "no connection in time");
  });
  return connection;
}

void
HttpClient::State::OnReady(const ConnectionPtr& aConnection, std::uint32_t aEvents)
{
  switch (aConnection->mPhase) {
    case Phase::Opening:
      OnConnected(aConnection);
      break;
    case Phase::Idle:
      // A close, or bytes that belong to no request.
      Close(aConnection);
      break;
    case Phase::Busy:
      if ((aEvents & EPOLLOUT) != 0) {
        Write(aConnection);
      }
      if (aConnection->mPhase == Phase::Busy && (aEvents & ~std::uint32_t{ EPOLLOUT }) != 0) {
        Read(aConnection);
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
    Finish(id, TransferEnd::NotConnected, std::strerror(error));
    return;
  }
  mLoop.ModifyFd(aConnection->mFd, EPOLLIN | EPOLLRDHUP);
  const auto transfer = mTransfers.find(id);
  if (transfer == mTransfers.end()) {
    std::erase(aConnection->mServer->mUnclaimed, aConnection);
    MakeIdle(aConnection);
  } else {
    Start(aConnection, id, *transfer->second);
  }
}

void
HttpClient::State::Start(const ConnectionPtr& aConnection, TransferId aId, Transfer& aTransfer)
{
  aConnection->mPhase = Phase::Busy;
  aConnection->mTransfer = aId;
  aConnection->mParser.emplace(aTransfer.mRequest);
  aConnection->mOutput = Serialize(aTransfer.mRequest);
  aConnection->mWritten = 0;
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
      connection.mWatchesRoom = true;
      mLoop.ModifyFd(connection.mFd, EPOLLIN | EPOLLRDHUP | EPOLLOUT);
      return;
    } else if (errno != EINTR) {
      // What the server sent before it closed is still to be read.
      if (connection.mWritten == 0) {
        FinishSoon(connection.mTransfer, TransferEnd::NotSent, std::strerror(errno));
      }
      break;
    }
  }
  if (connection.mWatchesRoom) {
    connection.mWatchesRoom = false;
    mLoop.ModifyFd(connection.mFd, EPOLLIN | EPOLLRDHUP);
  }
}

void
HttpClient::State::Read(const ConnectionPtr& aConnection)
{
  std::array<char, kReadBytes> buffer;
  while (aConnection->mPhase == Phase::Busy) {
    const ssize_t count = recv(aConnection->mFd, buffer.data(), buffer.size(), 0);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0 && errno == EAGAIN) {
      return;
    }
    if (count < 0) {
      OnEndOfReply(aConnection, ParseStep::Malformed, std::strerror(errno));
      return;
    }
    if (count == 0) {
      OnEndOfReply(aConnection, aConnection->mParser->End(), "the server closed the connection");
      return;
    }
    const auto bytes = static_cast<std::size_t>(count);
    const ParseStep step = aConnection->mParser->Feed({ buffer.data(), bytes });
    if (step != ParseStep::NeedsMore) {
      OnEndOfReply(aConnection, step, "the reply is not valid");
      return;
    }
    if (bytes < buffer.size()) {
      return;
    }
  }
}

void
HttpClient::State::OnEndOfReply(const ConnectionPtr& aConnection,
                                ParseStep aStep,
                                std::string aMessage)
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
  reply.mEnd = EndOf(aStep);
  reply.mReusedConnection = aConnection->mReused;
  const bool complete = aStep == ParseStep::Complete;
  if (!complete) {
    reply.mMessage = std::move(aMessage);
  }
  const bool sent = aConnection->mWritten == aConnection->mOutput.size();
  if (complete && sent && aConnection->mParser->KeepsConnection()) {
    MakeIdle(aConnection);
  } else {
    Close(aConnection);
  }
  transfer.mHandler(std::move(reply));
}

void
HttpClient::State::MakeIdle(const ConnectionPtr& aConnection)
{
  while (!mIdle.empty() && mIdle.size() >= mMaxIdle) {
    Close(mIdle.front());
  }
  aConnection->mPhase = Phase::Idle;
  aConnection->mTransfer = 0;
  aConnection->mParser.reset();
  aConnection->mIdleSince = SteadyNow();
  aConnection->mServer->mIdle.push_back(aConnection);
  aConnection->mIdlePlace = mIdle.insert(mIdle.end(), aConnection);
  ServeWaiting(*aConnection->mServer);
}

void
HttpClient::State::LeaveIdle(const ConnectionPtr& aConnection)
{
  std::erase(aConnection->mServer->mIdle, aConnection);
  mIdle.erase(aConnection->mIdlePlace);
  aConnection->mReused = true;
}

void
HttpClient::State::Close(const ConnectionPtr& aConnection)
{
  if (aConnection->mPhase == Phase::Closed) {
    return;
  }
  // Owns the connection while the containers below give it up.
  const auto owner = mConnections.extract(aConnection);
  const ConnectionPtr& connection = owner.value();
  if (connection->mPhase == Phase::Idle) {
    LeaveIdle(connection);
  }
  Server& server = *connection->mServer;
  std::erase(server.mUnclaimed, connection);
  connection->mPhase = Phase::Closed;
  connection->mTransfer = 0;
  mLoop.CancelTimer(connection->mConnectTimer);
  mLoop.RemoveFd(connection->mFd);
  close(connection->mFd);
  --server.mOpen;
  ServeWaiting(server);
}

void
HttpClient::State::ServeWaiting(Server& aServer)
{
  if (aServer.mWaiting.empty()) {
    return;
  }
  const TransferId id = aServer.mWaiting.front();
  aServer.mWaiting.pop_front();
  if (const auto transfer = mTransfers.find(id); transfer != mTransfers.end()) {
    Assign(id, *transfer->second);
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
  } else if (connection->mPhase == Phase::Opening) {
    // The next request uses it.
    connection->mTransfer = 0;
    connection->mServer->mUnclaimed.push_back(connection);
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
HttpClient::State::Finish(TransferId aId, TransferEnd aEnd, std::string aMessage)
{
  const auto node = mTransfers.extract(aId);
  if (node.empty()) {
    return;
  }
  Transfer& transfer = *node.mapped();
  ClientReply reply;
  reply.mEnd = aEnd;
  reply.mReusedConnection = transfer.mConnection != nullptr && transfer.mConnection->mReused;
  reply.mMessage = std::move(aMessage);
  Detach(aId, transfer);
  transfer.mHandler(std::move(reply));
}

void
HttpClient::State::FinishSoon(TransferId aId, TransferEnd aEnd, std::string aMessage)
{
  const auto transfer = mTransfers.find(aId);
  if (transfer == mTransfers.end()) {
    return;
  }
  mLoop.CancelTimer(transfer->second->mTimer);
  transfer->second->mTimer = mLoop.AddTimer(
    SteadyNow(), [this, aId, aEnd, message = std::move(aMessage)] { Finish(aId, aEnd, message); });
}

std::string_view
ClientReply::Header(std::string_view aName) const
{
  const auto found =
    std::find_if(mHeaderList.rbegin(), mHeaderList.rend(), [aName](const HttpHeader& aHeader) {
      return SameName(aHeader.mName, aName);
    });
  return found == mHeaderList.rend() ? std::string_view() : std::string_view(found->mValue);
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
  mState->Assign(id, transfer);
  return id;
}

void
HttpClient::Prepare(const SocketAddress& aAddress)
{
  Server& server = mState->ServerOf(aAddress);
  if (server.mOpen > 0) {
    return;
  }
  if (const ConnectionPtr connection = mState->Open(server, kMaxConnect)) {
    server.mUnclaimed.push_back(connection);
  }
}

void
HttpClient::SetMaxIdle(std::size_t aCount)
{
  mState->mMaxIdle = std::min(aCount, kMaxIdleConnections);
  while (mState->mIdle.size() > mState->mMaxIdle) {
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
         (!server->second->mIdle.empty() || !server->second->mUnclaimed.empty());
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
HttpClient::IsSilent(TransferId aTransfer) const
{
  const auto found = mState->mTransfers.find(aTransfer);
  if (found == mState->mTransfers.end() || found->second->mConnection == nullptr) {
    return false;
  }
  const Connection& connection = *found->second->mConnection;
  return connection.mReused && connection.mPhase == Phase::Busy && connection.mWritten > 0 &&
         !connection.mParser->Begun();
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
