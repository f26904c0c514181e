#include "standin_http.h"

#include <algorithm>
#include <cstring>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace apricotyard {

namespace {

constexpr std::size_t kMaxRequestBytes = std::size_t{ 1024 } * 1024;
constexpr int kBacklog = 256;

std::string
Serialize(const HttpResponse& aResponse)
{
  std::string text = fmt::format("HTTP/1.1 {} -\r\nContent-Type: {}\r\nContent-Length: {}\r\n",
                                 aResponse.mStatus,
                                 aResponse.mContentType,
                                 aResponse.mBody.size());
  for (const HttpHeader& header : aResponse.mHeaders) {
    text += header.mName + ": " + header.mValue + "\r\n";
  }
  return text + "\r\n" + aResponse.mBody;
}

std::string
LowerCase(std::string_view aText)
{
  std::string text(aText);
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return text;
}

// Parses a request line and header fields. aHead lacks the final blank line.
HttpRequest
ParseHead(std::string_view aHead)
{
  HttpRequest request;
  const std::size_t lineEnd = std::min(aHead.find("\r\n"), aHead.size());
  const std::string_view line = aHead.substr(0, lineEnd);
  const std::size_t firstSpace = line.find(' ');
  const std::size_t lastSpace = line.rfind(' ');
  if (firstSpace != std::string_view::npos && lastSpace > firstSpace) {
    request.mMethod = line.substr(0, firstSpace);
    request.mPath = line.substr(firstSpace + 1, lastSpace - firstSpace - 1);
  }
  std::size_t position = lineEnd + 2;
  while (position < aHead.size()) {
    const std::size_t end = std::min(aHead.find("\r\n", position), aHead.size());
    const std::string_view field = aHead.substr(position, end - position);
    const std::size_t colon = field.find(':');
    if (colon != std::string_view::npos) {
      std::string_view value = field.substr(colon + 1);
      value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
      request.mHeaders[LowerCase(field.substr(0, colon))] = value;
    }
    position = end + 2;
  }
  return request;
}

int
OpenListener(const SocketAddress& aAddress)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return -1;
  }
  const int enable = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.mPort);
  if (inet_pton(AF_INET, aAddress.mIp.c_str(), &address.sin_addr) != 1 ||
      bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, kBacklog) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

} // namespace

FaultInjectingServer::FaultInjectingServer(Loop& aLoop,
                                           SocketAddress aAddress,
                                           std::size_t aMaxConnections,
                                           Handler aHandler)
  : mLoop(aLoop)
  , mAddress(std::move(aAddress))
  , mMaxConnections(aMaxConnections)
  , mHandler(std::move(aHandler))
{
}

FaultInjectingServer::~FaultInjectingServer()
{
  StopListening();
  while (!mConnections.empty()) {
    Close(mConnections.begin()->first);
  }
}

Expected<void>
FaultInjectingServer::Listen()
{
  if (mListenFd >= 0) {
    return {};
  }
  mListenFd = OpenListener(mAddress);
  if (mListenFd < 0) {
    return Fail(
      Result::Internal,
      fmt::format(
        "cannot listen on {}:{}: {}", mAddress.mIp, mAddress.mPort, std::strerror(errno)));
  }
  mLoop.AddFd(mListenFd, EPOLLIN, [this](std::uint32_t) { Accept(); });
  return {};
}

void
FaultInjectingServer::StopListening()
{
  if (mListenFd >= 0) {
    mLoop.RemoveFd(mListenFd);
    close(mListenFd);
    mListenFd = -1;
  }
}

void
FaultInjectingServer::Accept()
{
  while (true) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    const int fd =
      accept4(mListenFd, reinterpret_cast<sockaddr*>(&peer), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    if (mConnections.size() >= mMaxConnections) {
      close(fd);
      continue;
    }
    const int enable = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
    char text[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &peer.sin_addr, text, sizeof(text));
    const ConnectionId id = mNextId++;
    Connection& connection = mConnections[id];
    connection.mFd = fd;
    connection.mPeer = text;
    mLoop.AddFd(fd, EPOLLIN, [this, id](std::uint32_t aEvents) { OnReady(id, aEvents); });
  }
}

bool
FaultInjectingServer::ReadAll(Connection& aConnection) const
{
  char buffer[16384];
  while (true) {
    const ssize_t bytes = read(aConnection.mFd, buffer, sizeof(buffer));
    if (bytes < 0) {
      return errno == EAGAIN || errno == EINTR;
    }
    if (bytes == 0 || aConnection.mReadBuffer.size() > kMaxRequestBytes) {
      return false;
    }
    if (!aConnection.mSilent) {
      aConnection.mReadBuffer.append(buffer, static_cast<std::size_t>(bytes));
    }
  }
}

void
FaultInjectingServer::OnReady(ConnectionId aConnection, std::uint32_t aEvents)
{
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end()) {
    return;
  }
  if ((aEvents & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0 && !ReadAll(found->second)) {
    Close(aConnection);
    return;
  }
  if ((aEvents & EPOLLOUT) != 0) {
    Write(aConnection);
  }
  HandleBufferedRequest(aConnection);
}

void
FaultInjectingServer::HandleBufferedRequest(ConnectionId aConnection)
{
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end() || found->second.mRequestPending) {
    return;
  }
  Connection& connection = found->second;
  const std::size_t headEnd = connection.mReadBuffer.find("\r\n\r\n");
  if (headEnd == std::string::npos) {
    return;
  }
  HttpRequest request = ParseHead(std::string_view(connection.mReadBuffer).substr(0, headEnd));
  const std::size_t length =
    std::strtoull(std::string(request.Header("content-length")).c_str(), nullptr, 10);
  if (length > kMaxRequestBytes) {
    Close(aConnection);
    return;
  }
  const std::size_t bodyStart = headEnd + 4;
  if (connection.mReadBuffer.size() < bodyStart + length) {
    return;
  }
  request.mBody = connection.mReadBuffer.substr(bodyStart, length);
  request.mPeer = connection.mPeer;
  connection.mReadBuffer.erase(0, bodyStart + length);
  connection.mRequestPending = true;
  ++connection.mRequestCount;
  mHandler(aConnection, std::move(request));
}

void
FaultInjectingServer::Reply(ConnectionId aConnection, const HttpResponse& aResponse)
{
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end() || found->second.mSilent || !found->second.mRequestPending) {
    return;
  }
  found->second.mRequestPending = false;
  found->second.mWriteBuffer += Serialize(aResponse);
  Write(aConnection);
  HandleBufferedRequest(aConnection);
}

void
FaultInjectingServer::ReplyTruncated(ConnectionId aConnection, const HttpResponse& aResponse)
{
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end() || found->second.mSilent || !found->second.mRequestPending) {
    return;
  }
  const std::string serialized = Serialize(aResponse);
  found->second.mWriteBuffer +=
    serialized.substr(0, serialized.size() - (aResponse.mBody.size() + 1) / 2);
  found->second.mCloseAfterWrite = true;
  Write(aConnection);
}

void
FaultInjectingServer::Write(ConnectionId aConnection)
{
  Connection& connection = mConnections.at(aConnection);
  while (!connection.mWriteBuffer.empty()) {
    const ssize_t bytes = send(
      connection.mFd, connection.mWriteBuffer.data(), connection.mWriteBuffer.size(), MSG_NOSIGNAL);
    if (bytes < 0 && errno == EAGAIN) {
      mLoop.ModifyFd(connection.mFd, EPOLLIN | EPOLLOUT);
      return;
    }
    if (bytes < 0) {
      Close(aConnection);
      return;
    }
    connection.mWriteBuffer.erase(0, static_cast<std::size_t>(bytes));
  }
  if (connection.mCloseAfterWrite) {
    Close(aConnection);
    return;
  }
  mLoop.ModifyFd(connection.mFd, EPOLLIN);
}

void
FaultInjectingServer::Close(ConnectionId aConnection)
{
  const auto node = mConnections.extract(aConnection);
  if (!node.empty()) {
    mLoop.RemoveFd(node.mapped().mFd);
    close(node.mapped().mFd);
  }
}

void
FaultInjectingServer::SilenceConnections()
{
  for (auto& [id, connection] : mConnections) {
    connection.mSilent = true;
    connection.mReadBuffer.clear();
  }
}

std::uint64_t
FaultInjectingServer::RequestCount(ConnectionId aConnection) const
{
  const auto found = mConnections.find(aConnection);
  return found == mConnections.end() ? 0 : found->second.mRequestCount;
}

} // namespace apricotyard
