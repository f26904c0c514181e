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

constexpr std::size_t kMaxRequest = std::size_t{ 1024 } * 1024;
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
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char aC) {
    return static_cast<char>(std::tolower(aC));
  });
  return text;
}

// Reads the lines of a request head without the final blank line.
HttpRequest
ParseHead(std::string_view aHead)
{
  HttpRequest request;
  const std::size_t lineEnd = std::min(aHead.find("\r\n"), aHead.size());
  const std::string_view line = aHead.substr(0, lineEnd);
  const std::size_t first = line.find(' ');
  const std::size_t last = line.rfind(' ');
  if (first != std::string_view::npos && last > first) {
    request.mMethod = line.substr(0, first);
    request.mPath = line.substr(first + 1, last - first - 1);
  }
  std::size_t at = lineEnd + 2;
  while (at < aHead.size()) {
    const std::size_t end = std::min(aHead.find("\r\n", at), aHead.size());
    const std::string_view field = aHead.substr(at, end - at);
    const std::size_t colon = field.find(':');
    if (colon != std::string_view::npos) {
      std::string_view value = field.substr(colon + 1);
      value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
      request.mHeaders[LowerCase(field.substr(0, colon))] = value;
    }
    at = end + 2;
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
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
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

FaultyServer::FaultyServer(Loop& aLoop,
                           SocketAddress aAddress,
                           std::size_t aMaxConnections,
                           Handler aHandler)
  : mLoop(aLoop)
  , mAddress(std::move(aAddress))
  , mMaxConnections(aMaxConnections)
  , mHandler(std::move(aHandler))
{
}

FaultyServer::~FaultyServer()
{
  StopListening();
  while (!mConnections.empty()) {
    Close(mConnections.begin()->first);
  }
}

Expected<void>
FaultyServer::Listen()
{
  if (mListener >= 0) {
    return {};
  }
  mListener = OpenListener(mAddress);
  if (mListener < 0) {
    return Fail(
      Result::Internal,
      fmt::format(
        "cannot listen on {}:{}: {}", mAddress.mIp, mAddress.mPort, std::strerror(errno)));
  }
  mLoop.AddFd(mListener, EPOLLIN, [this](std::uint32_t) { Accept(); });
  return {};
}

void
FaultyServer::StopListening()
{
  if (mListener >= 0) {
    mLoop.RemoveFd(mListener);
    close(mListener);
    mListener = -1;
  }
}

void
FaultyServer::Accept()
{
  while (true) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    const int fd =
      accept4(mListener, reinterpret_cast<sockaddr*>(&peer), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    if (mConnections.size() >= mMaxConnections) {
      close(fd);
      continue;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    char text[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &peer.sin_addr, text, sizeof(text));
    const ConnectionId id = mNext++;
    Connection& connection = mConnections[id];
    connection.mFd = fd;
    connection.mPeer = text;
    mLoop.AddFd(fd, EPOLLIN, [this, id](std::uint32_t aEvents) { OnReady(id, aEvents); });
  }
}

bool
FaultyServer::ReadAll(Connection& aConnection) const
{
  char buffer[16384];
  while (true) {
    const ssize_t count = read(aConnection.mFd, buffer, sizeof(buffer));
    if (count < 0) {
      return errno == EAGAIN || errno == EINTR;
    }
    if (count == 0 || aConnection.mIn.size() > kMaxRequest) {
      return false;
    }
    if (!aConnection.mSilent) {
      aConnection.mIn.append(buffer, static_cast<std::size_t>(count));
    }
  }
}

void
FaultyServer::OnReady(ConnectionId aConnection, std::uint32_t aEvents)
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
  TakeRequest(aConnection);
}

void
FaultyServer::TakeRequest(ConnectionId aConnection)
{
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end() || found->second.mPending) {
    return;
  }
  Connection& connection = found->second;
  const std::size_t headEnd = connection.mIn.find("\r\n\r\n");
  if (headEnd == std::string::npos) {
    return;
  }
  HttpRequest request = ParseHead(std::string_view(connection.mIn).substr(0, headEnd));
  const std::size_t length =
    std::strtoull(std::string(request.Header("content-length")).c_str(), nullptr, 10);
  if (length > kMaxRequest) {
    Close(aConnection);
    return;
  }
  const std::size_t bodyAt = headEnd + 4;
  if (connection.mIn.size() < bodyAt + length) {
    return;
  }
  request.mBody = connection.mIn.substr(bodyAt, length);
  request.mPeer = connection.mPeer;
  connection.mIn.erase(0, bodyAt + length);
  connection.mPending = true;
  ++connection.mRequests;
  mHandler(aConnection, std::move(request));
}

void
FaultyServer::Reply(ConnectionId aConnection, const HttpResponse& aResponse)
{
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end() || found->second.mSilent || !found->second.mPending) {
    return;
  }
  found->second.mPending = false;
  found->second.mOut += Serialize(aResponse);
  Write(aConnection);
  TakeRequest(aConnection);
}

void
FaultyServer::ReplyTruncated(ConnectionId aConnection, const HttpResponse& aResponse)
{
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end() || found->second.mSilent || !found->second.mPending) {
    return;
  }
  const std::string whole = Serialize(aResponse);
  found->second.mOut += whole.substr(0, whole.size() - (aResponse.mBody.size() + 1) / 2);
  found->second.mCloseAfterWrite = true;
  Write(aConnection);
}

void
FaultyServer::Write(ConnectionId aConnection)
{
  Connection& connection = mConnections.at(aConnection);
  while (!connection.mOut.empty()) {
    const ssize_t count =
      send(connection.mFd, connection.mOut.data(), connection.mOut.size(), MSG_NOSIGNAL);
    if (count < 0 && errno == EAGAIN) {
      mLoop.ModifyFd(connection.mFd, EPOLLIN | EPOLLOUT);
      return;
    }
    if (count < 0) {
      Close(aConnection);
      return;
    }
    connection.mOut.erase(0, static_cast<std::size_t>(count));
  }
  if (connection.mCloseAfterWrite) {
    Close(aConnection);
    return;
  }
  mLoop.ModifyFd(connection.mFd, EPOLLIN);
}

void
FaultyServer::Close(ConnectionId aConnection)
{
  const auto node = mConnections.extract(aConnection);
  if (!node.empty()) {
    mLoop.RemoveFd(node.mapped().mFd);
    close(node.mapped().mFd);
  }
}

void
FaultyServer::Silence()
{
  for (auto& [id, connection] : mConnections) {
    connection.mSilent = true;
    connection.mIn.clear();
  }
}

std::uint64_t
FaultyServer::Requests(ConnectionId aConnection) const
{
  const auto found = mConnections.find(aConnection);
  return found == mConnections.end() ? 0 : found->second.mRequests;
}

} // namespace apricotyard
