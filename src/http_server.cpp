#include "http_server.h"

#include "http_response.h"
#include "log.h"
#include "release.h"
#include "request_parser.h"
#include "settings.h"
#include "socket_address.h"

#include <array>
#include <cstring>
#include <ctime>
#include <list>
#include <set>
#include <utility>

#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace apricotyard {

namespace {

constexpr int kListenBacklog = 512;
// Connections accepted and reads from one connection before other events of the loop have their
// turn.
constexpr int kMaxAcceptsPerEvent = 64;
constexpr int kMaxReadsPerEvent = 4;
// Most requests fit into one read of this size.
constexpr std::size_t kReadBufferBytes = std::size_t{ 16 } * 1024;
// What a caller still sends after a rejection is read for this time and up to this many bytes: a
// close with unread bytes would reset the connection, and the caller would lose the response.
constexpr Duration kDiscardTime = std::chrono::seconds(2);
constexpr std::size_t kMaxDiscardedBytes = std::size_t{ 1024 } * 1024;
// Wait after the process ran out of file descriptors.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kNoDeadline = std::chrono::hours(1);
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

enum class Phase : std::uint8_t
{
  // Idle, or in the middle of a request.
  Reading,
  // A handler has the request.
  Handling,
  Writing,
  // The response to a rejected request is sent, and the rest of the request is discarded.
  Discarding,
  Closed,
};

struct Connection;
using ConnectionPtr = std::shared_ptr<Connection>;

struct Connection
{
  int mFd = -1;
  Phase mPhase = Phase::Reading;
  // Whether a request has begun on this connection.
  bool mCarriedRequest = false;
  // Whether this connection's request is part of State::mOpenRequests.
  bool mIsOpenRequest = false;
  // Whether the connection stays open after the current response.
  bool mKeepOpen = false;
  bool mHeadOnly = false;
  bool mRejected = false;
  // The caller has closed the connection, or its sending side, before the response.
  bool mCallerLeft = false;
  // Feed is running, and takes up the next request by itself.
  bool mIsFeeding = false;
  // What the loop watches the socket for.
  std::uint32_t mEvents = 0;
  int mStatus = 0;
  std::string mPeer;
  // Null between two requests.
  std::unique_ptr<RequestParser> mParser;
  // Bytes of later requests that arrived with the current one.
  std::string mRest;
  std::shared_ptr<HttpResponder::Exchange> mExchange;
  std::string mOutput;
  std::size_t mWritten = 0;
  std::size_t mDiscarded = 0;
  TimerId mDiscardTimer = 0;
  // The position in State::mByActivity, unless a handler has the request.
  TimePoint mActiveAt;
  std::list<ConnectionPtr>::iterator mPosition;
};

std::string
PeerText(const sockaddr* aAddress)
{
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (aAddress != nullptr && aAddress->sa_family == AF_INET) {
    const auto* const v4 = reinterpret_cast<const sockaddr_in*>(aAddress);
    inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
  } else if (aAddress != nullptr && aAddress->sa_family == AF_INET6) {
    const auto* const v6 = reinterpret_cast<const sockaddr_in6*>(aAddress);
    inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
  }
  return text.data();
}

// Binds a listening socket to exactly aAddress. Returns -1 with errno set on failure.
int
OpenListener(const SocketAddress& aAddress)
{
  const auto native = ToNative(aAddress);
  if (!native) {
    errno = EINVAL;
    return -1;
  }
  const int fd = socket(native->mStorage.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int enable = 1;
  if (fd >= 0) {
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
  }
  if (fd < 0 || bind(fd, native->Raw(), native->mLength) != 0 || listen(fd, kListenBacklog) != 0) {
    const int error = errno;
    if (fd >= 0) {
      close(fd);
    }
    errno = error;
    return -1;
  }
  return fd;
}

std::string
DateText(std::time_t aSeconds)
{
  return absl::FormatTime(
    "%a, %d %b %E4Y %H:%M:%S GMT", absl::FromTimeT(aSeconds), absl::UTCTimeZone());
}

} // namespace

struct HttpResponder::Exchange
{
  std::shared_ptr<HttpServer::State> mServer;
  // Null once the request is answered.
  ConnectionPtr mConnection;
  std::function<void()> mOnCallerDisconnected;
};

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State>
{
  State(Loop& aLoop, HttpHandler aHandler)
    : mLoop(aLoop)
    , mHandler(std::move(aHandler))
  {
  }

  void StartAccepting();
  void StopAccepting();
  void OnAcceptable();
  void Add(int aFd, const sockaddr_storage& aPeer);
  void OnSocketEvent(const ConnectionPtr& aConnection, std::uint32_t aEvents);
  void Read(const ConnectionPtr& aConnection);
  // Parses the rest of earlier bytes and aBytes, and dispatches the requests among them until one
  // is not answered at once.
  void Feed(const ConnectionPtr& aConnection, std::string_view aBytes);
  void Dispatch(const ConnectionPtr& aConnection);
  void Reject(const ConnectionPtr& aConnection, const RequestRejection& aRejection);
  void OnCallerLeft(const ConnectionPtr& aConnection);
  void Answer(HttpResponder::Exchange& aExchange, HttpResponse aResponse);
  void StartResponse(const ConnectionPtr& aConnection, HttpResponse aResponse);
  void Write(const ConnectionPtr& aConnection);
  void OnResponseSent(const ConnectionPtr& aConnection);
  void StartDiscarding(const ConnectionPtr& aConnection);
  void Discard(const ConnectionPtr& aConnection);
  void Close(const ConnectionPtr& aConnection);
  void Watch(Connection& aConnection, std::uint32_t aEvents) const;
  // Marks the connection as active now, so that it is the last to become idle.
  void Touch(const ConnectionPtr& aConnection);
  void RemoveFromActivity(Connection& aConnection);
  void CloseRequest(Connection& aConnection);
  // Serves requests that arrived early and closes idle connections. Returns the time until the next
  // connection becomes idle for too long.
  Duration Prepare();
  std::string_view Date();

  Loop& mLoop;
  HttpHandler mHandler;
  HttpLimits mLimits;
  unsigned mMaxConnections = 0;
  Duration mIdleTimeout{};
  bool mPreserveRawRequest = false;
  bool mStopped = false;
  int mListenFd = -1;
  bool mIsAccepting = false;
  // Requests whose head has arrived and whose response is not sent completely.
  std::size_t mOpenRequests = 0;
  std::set<ConnectionPtr> mConnections;
  // Connections that no handler is working for; the longest inactive one is at the front.
  std::list<ConnectionPtr> mByActivity;
  // Connections whose next request arrived before the response to the one before was sent.
  std::vector<ConnectionPtr> mEarlyRequests;
  std::time_t mDateSeconds = -1;
  std::string mDate;
};

void
HttpServer::State::StartAccepting()
{
  if (mListenFd >= 0 && !mIsAccepting && !mStopped) {
    mIsAccepting = true;
    mLoop.AddFd(
      mListenFd, EPOLLIN, [state = shared_from_this()](std::uint32_t) { state->OnAcceptable(); });
  }
}

void
HttpServer::State::StopAccepting()
{
  if (mIsAccepting) {
    mIsAccepting = false;
    mLoop.RemoveFd(mListenFd);
  }
}

void
HttpServer::State::OnAcceptable()
{
  for (int i = 0; i < kMaxAcceptsPerEvent; ++i) {
    if (mConnections.size() >= mMaxConnections) {
      StopAccepting();
      return;
    }
    sockaddr_storage peer{};
    socklen_t length = sizeof(peer);
    const int fd =
      accept4(mListenFd, reinterpret_cast<sockaddr*>(&peer), &length, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (fd >= 0) {
      Add(fd, peer);
      continue;
    }
    if (errno == EINTR || errno == ECONNABORTED) {
      continue;
    }
    if (errno == EAGAIN) {
      return;
    }
    LogEvent(Event::AcceptFailed,
             { { "connections", mConnections.size() }, { "reason", std::strerror(errno) } });
    StopAccepting();
    mLoop.AddTimer(SteadyNow() + kAcceptRetryDelay, [weak = weak_from_this()] {
      if (const auto state = weak.lock()) {
        state->StartAccepting();
      }
    });
    return;
  }
}

void
HttpServer::State::Add(int aFd, const sockaddr_storage& aPeer)
{
  const int enable = 1;
  setsockopt(aFd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
  auto connection = std::make_shared<Connection>();
  connection->mFd = aFd;
  connection->mPeer = PeerText(reinterpret_cast<const sockaddr*>(&aPeer));
  connection->mEvents = EPOLLIN | EPOLLRDHUP;
  connection->mPosition = mByActivity.end();
  mConnections.insert(connection);
  Touch(connection);
  mLoop.AddFd(aFd,
              connection->mEvents,
              [state = shared_from_this(),
               weak = std::weak_ptr<Connection>(connection)](std::uint32_t aEvents) {
                if (const auto open = weak.lock()) {
                  state->OnSocketEvent(open, aEvents);
                }
              });
}

void
HttpServer::State::OnSocketEvent(const ConnectionPtr& aConnection, std::uint32_t aEvents)
{
  constexpr std::uint32_t kGone = EPOLLRDHUP | EPOLLHUP | EPOLLERR;
  switch (aConnection->mPhase) {
    case Phase::Reading:
      Read(aConnection);
      break;
    case Phase::Handling:
      if ((aEvents & kGone) != 0) {
        OnCallerLeft(aConnection);
      } else {
        // The next request has arrived early; it is read after the response.
        Watch(*aConnection, EPOLLRDHUP);
      }
      break;
    case Phase::Writing:
      Write(aConnection);
      break;
    case Phase::Discarding:
      Discard(aConnection);
      break;
    case Phase::Closed:
      break;
  }
}

void
HttpServer::State::Read(const ConnectionPtr& aConnection)
{
  std::array<char, kReadBufferBytes> buffer;
  for (int i = 0; i < kMaxReadsPerEvent && aConnection->mPhase == Phase::Reading; ++i) {
    const ssize_t count = recv(aConnection->mFd, buffer.data(), buffer.size(), 0);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0 && errno == EAGAIN) {
      return;
    }
    if (count <= 0) {
      Close(aConnection);
      return;
    }
    Touch(aConnection);
    const auto bytes = static_cast<std::size_t>(count);
    Feed(aConnection, { buffer.data(), bytes });
    if (bytes < buffer.size()) {
      return;
    }
  }
}

void
HttpServer::State::Feed(const ConnectionPtr& aConnection, std::string_view aBytes)
{
  Connection& connection = *aConnection;
  connection.mIsFeeding = true;
  std::string rest = std::exchange(connection.mRest, {});
  std::string_view bytes = aBytes;
  if (!rest.empty()) {
    rest.append(aBytes);
    bytes = rest;
  }
  while (connection.mPhase == Phase::Reading && !bytes.empty()) {
    if (connection.mParser == nullptr) {
      connection.mParser = std::make_unique<RequestParser>(mLimits, mPreserveRawRequest);
    }
    RequestParser& parser = *connection.mParser;
    const RequestStep step = parser.Feed(bytes);
    bytes = {};
    if (parser.HasHead() && !connection.mIsOpenRequest) {
      connection.mIsOpenRequest = true;
      ++mOpenRequests;
    }
    if (step == RequestStep::Rejected) {
      Reject(aConnection, parser.Rejection());
    } else if (step == RequestStep::Complete) {
      rest = parser.TakeRest();
      bytes = rest;
      Dispatch(aConnection);
    } else if (parser.TakeExpectation() &&
               send(connection.mFd, kContinue.data(), kContinue.size(), MSG_NOSIGNAL) !=
                 static_cast<ssize_t>(kContinue.size())) {
      Close(aConnection);
    }
  }
  connection.mIsFeeding = false;
  if (connection.mPhase != Phase::Closed) {
    connection.mRest = std::string(bytes);
  }
}

void
HttpServer::State::Dispatch(const ConnectionPtr& aConnection)
{
  Connection& connection = *aConnection;
  HttpRequest request = std::move(connection.mParser->Request());
  request.mPeer = connection.mPeer;
  request.mHeadBytes = connection.mParser->HeadBytes();
  if (mPreserveRawRequest) {
    request.mFirstOnConnection = !connection.mCarriedRequest;
  }
  connection.mCarriedRequest = true;
  connection.mKeepOpen = connection.mParser->KeepsConnection();
  connection.mHeadOnly = request.mMethod == "HEAD";
  connection.mParser.reset();
  connection.mPhase = Phase::Handling;
  RemoveFromActivity(connection);
  const auto exchange = std::make_shared<HttpResponder::Exchange>();
  exchange->mServer = shared_from_this();
  exchange->mConnection = aConnection;
  connection.mExchange = exchange;
  mHandler(std::move(request), HttpResponder(exchange));
}

void
HttpServer::State::Reject(const ConnectionPtr& aConnection, const RequestRejection& aRejection)
{
  Connection& connection = *aConnection;
  LogEvent(Event::RequestRejected,
           { { "peer", connection.mPeer },
             { "path", connection.mParser->Request().mPath },
             { "head_bytes", connection.mParser->HeadBytes() },
             { "result", Describe(aRejection.mResult).mName },
             { "reason", aRejection.mMessage } });
  connection.mParser.reset();
  connection.mKeepOpen = false;
  connection.mHeadOnly = false;
  connection.mRejected = true;
  StartResponse(aConnection, ErrorResponse(aRejection.mResult, aRejection.mMessage));
}

// The caller no longer reads a response, unless it has closed only its sending side.
void
HttpServer::State::OnCallerLeft(const ConnectionPtr& aConnection)
{
  const std::shared_ptr<HttpResponder::Exchange> exchange = aConnection->mExchange;
  const auto handler = std::exchange(exchange->mOnCallerDisconnected, nullptr);
  aConnection->mCallerLeft = true;
  aConnection->mKeepOpen = false;
  Answer(*exchange, ErrorResponse(Result::Internal, "the caller has left"));
  if (handler) {
    handler();
  }
}

void
HttpServer::State::Answer(HttpResponder::Exchange& aExchange, HttpResponse aResponse)
{
  const ConnectionPtr connection = std::exchange(aExchange.mConnection, nullptr);
  if (connection == nullptr) {
    return;
  }
  aExchange.mOnCallerDisconnected = nullptr;
  // Keeps the exchange alive until this function returns.
  const std::shared_ptr<HttpResponder::Exchange> exchange = std::move(connection->mExchange);
  if (connection->mPhase == Phase::Handling) {
    StartResponse(connection, std::move(aResponse));
  }
}

void
HttpServer::State::StartResponse(const ConnectionPtr& aConnection, HttpResponse aResponse)
{
  Connection& connection = *aConnection;
  if (!IsFinalStatus(aResponse.mStatus)) {
    LogEvent(Event::InvalidResponse,
             { { "peer", connection.mPeer }, { "status", aResponse.mStatus } });
    aResponse = ErrorResponse(Result::Internal, "the response has no valid status");
  }
  connection.mKeepOpen = connection.mKeepOpen && !AsksForClose(aResponse);
  connection.mStatus = aResponse.mStatus;
  connection.mOutput =
    SerializeResponse(aResponse, { !connection.mKeepOpen, connection.mHeadOnly, Date() });
  connection.mWritten = 0;
  connection.mPhase = Phase::Writing;
  Touch(aConnection);
  Write(aConnection);
}

void
HttpServer::State::Write(const ConnectionPtr& aConnection)
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
      Touch(aConnection);
      Watch(connection, EPOLLOUT);
      return;
    } else if (errno != EINTR) {
      Close(aConnection);
      return;
    }
  }
  OnResponseSent(aConnection);
}

void
HttpServer::State::OnResponseSent(const ConnectionPtr& aConnection)
{
  Connection& connection = *aConnection;
  CloseRequest(connection);
  Release(connection.mOutput);
  if (connection.mRejected) {
    StartDiscarding(aConnection);
    return;
  }
  if (!connection.mKeepOpen) {
    Close(aConnection);
    return;
  }
  connection.mPhase = Phase::Reading;
  Touch(aConnection);
  Watch(connection, EPOLLIN | EPOLLRDHUP);
  if (!connection.mRest.empty() && !connection.mIsFeeding) {
    // Deferred, because this may run inside a handler.
    mEarlyRequests.push_back(aConnection);
  }
}

void
HttpServer::State::StartDiscarding(const ConnectionPtr& aConnection)
{
  aConnection->mPhase = Phase::Discarding;
  shutdown(aConnection->mFd, SHUT_WR);
  Watch(*aConnection, EPOLLIN);
  aConnection->mDiscardTimer =
    mLoop.AddTimer(SteadyNow() + kDiscardTime, [this, weak = std::weak_ptr(aConnection)] {
      if (const auto connection = weak.lock()) {
        connection->mDiscardTimer = 0;
        Close(connection);
      }
    });
}

void
HttpServer::State::Discard(const ConnectionPtr& aConnection)
{
  std::array<char, kReadBufferBytes> buffer;
  const ssize_t count = recv(aConnection->mFd, buffer.data(), buffer.size(), 0);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  aConnection->mDiscarded += count > 0 ? static_cast<std::size_t>(count) : 0;
  if (count <= 0 || aConnection->mDiscarded > kMaxDiscardedBytes) {
    Close(aConnection);
  }
}

void
HttpServer::State::Close(const ConnectionPtr& aConnection)
{
  Connection& connection = *aConnection;
  if (connection.mPhase == Phase::Closed) {
    return;
  }
  // Keeps the connection alive while it is removed from the containers below.
  const auto owner = mConnections.extract(aConnection);
  if (connection.mPhase == Phase::Writing && connection.mWritten < connection.mOutput.size() &&
      !connection.mCallerLeft) {
    LogEvent(Event::ResponseUndelivered,
             { { "peer", connection.mPeer },
               { "status", connection.mStatus },
               { "sent", connection.mWritten },
               { "bytes", connection.mOutput.size() } });
  }
  CloseRequest(connection);
  RemoveFromActivity(connection);
  mLoop.CancelTimer(connection.mDiscardTimer);
  mLoop.RemoveFd(connection.mFd);
  close(connection.mFd);
  connection.mPhase = Phase::Closed;
  connection.mParser.reset();
  Release(connection.mOutput);
  Release(connection.mRest);
  StartAccepting();
}

void
HttpServer::State::Watch(Connection& aConnection, std::uint32_t aEvents) const
{
  if (aConnection.mEvents != aEvents) {
    aConnection.mEvents = aEvents;
    mLoop.ModifyFd(aConnection.mFd, aEvents);
  }
}

void
HttpServer::State::Touch(const ConnectionPtr& aConnection)
{
  aConnection->mActiveAt = SteadyNow();
  if (aConnection->mPosition == mByActivity.end()) {
    aConnection->mPosition = mByActivity.insert(mByActivity.end(), aConnection);
  } else {
    mByActivity.splice(mByActivity.end(), mByActivity, aConnection->mPosition);
  }
}

void
HttpServer::State::RemoveFromActivity(Connection& aConnection)
{
  if (aConnection.mPosition != mByActivity.end()) {
    mByActivity.erase(aConnection.mPosition);
    aConnection.mPosition = mByActivity.end();
  }
}

void
HttpServer::State::CloseRequest(Connection& aConnection)
{
  if (std::exchange(aConnection.mIsOpenRequest, false)) {
    --mOpenRequests;
  }
}

Duration
HttpServer::State::Prepare()
{
  const std::vector<ConnectionPtr> early = std::exchange(mEarlyRequests, {});
  for (const ConnectionPtr& connection : early) {
    if (connection->mPhase == Phase::Reading) {
      Feed(connection, {});
    }
  }
  if (mByActivity.empty()) {
    return mEarlyRequests.empty() ? kNoDeadline : Duration::zero();
  }
  const TimePoint now = SteadyNow();
  while (!mByActivity.empty() && mByActivity.front()->mActiveAt + mIdleTimeout <= now) {
    Close(mByActivity.front());
  }
  if (!mEarlyRequests.empty()) {
    return Duration::zero();
  }
  return mByActivity.empty() ? kNoDeadline : mByActivity.front()->mActiveAt + mIdleTimeout - now;
}

std::string_view
HttpServer::State::Date()
{
  const std::time_t now = std::time(nullptr);
  if (now != mDateSeconds) {
    mDateSeconds = now;
    mDate = DateText(now);
  }
  return mDate;
}

std::string_view
HttpRequest::Header(std::string_view aName) const
{
  const auto found = mHeaders.find(aName);
  return found == mHeaders.end() ? std::string_view() : std::string_view(found->second);
}

std::string_view
HttpRequest::Argument(std::string_view aName) const
{
  const auto found = mArguments.find(aName);
  return found == mArguments.end() ? std::string_view() : std::string_view(found->second);
}

HttpResponder::HttpResponder(const std::shared_ptr<Exchange>& aExchange)
  : mExchange(aExchange.get(), [owner = aExchange](Exchange*) {
    owner->mServer->Answer(*owner, ErrorResponse(Result::Internal, "the request was abandoned"));
  })
{
}

void
HttpResponder::operator()(HttpResponse aResponse) const
{
  mExchange->mServer->Answer(*mExchange, std::move(aResponse));
}

void
HttpResponder::OnCallerDisconnected(std::function<void()> aHandler) const
{
  if (mExchange->mConnection != nullptr) {
    mExchange->mOnCallerDisconnected = std::move(aHandler);
  }
}

HttpServer::HttpServer(std::shared_ptr<State> aState)
  : mState(std::move(aState))
{
}

HttpServer::~HttpServer()
{
  StopListening();
  mState->mStopped = true;
  const std::set<ConnectionPtr> connections = mState->mConnections;
  for (const ConnectionPtr& connection : connections) {
    if (const auto exchange = connection->mExchange) {
      mState->Answer(*exchange,
                     ErrorResponse(Result::Internal, "the process stopped before an answer came"));
    }
    mState->Close(connection);
  }
}

void
HttpServer::SetLimits(const HttpLimits& aLimits)
{
  mState->mLimits = aLimits;
}

void
HttpServer::StopListening()
{
  mState->StopAccepting();
  if (mState->mListenFd >= 0) {
    close(std::exchange(mState->mListenFd, -1));
  }
}

std::size_t
HttpServer::OpenRequests() const
{
  return mState->mOpenRequests;
}

HttpServer::Builder::Builder(Loop& aLoop, SocketAddress aAddress)
  : mLoop(aLoop)
  , mAddress(std::move(aAddress))
{
}

HttpServer::Builder&
HttpServer::Builder::OnRequest(HttpHandler aHandler)
{
  mHandler = std::move(aHandler);
  return *this;
}

HttpServer::Builder&
HttpServer::Builder::MaxHead(std::size_t aBytes)
{
  mLimits.mMaxHeadBytes = aBytes;
  return *this;
}

HttpServer::Builder&
HttpServer::Builder::MaxBody(std::size_t aBytes)
{
  mLimits.mMaxBodyBytes = aBytes;
  return *this;
}

HttpServer::Builder&
HttpServer::Builder::MaxConnections(unsigned aCount)
{
  mMaxConnections = aCount;
  return *this;
}

HttpServer::Builder&
HttpServer::Builder::IdleTimeout(std::chrono::seconds aTimeout)
{
  mIdleTimeout = aTimeout;
  return *this;
}

HttpServer::Builder&
HttpServer::Builder::PreserveRawRequest()
{
  mPreserveRawRequest = true;
  return *this;
}

Expected<std::unique_ptr<HttpServer>>
HttpServer::Builder::Start()
{
  const int listener = OpenListener(mAddress);
  if (listener < 0) {
    return Fail(
      Result::Internal,
      fmt::format("cannot listen on {}: {}", FormatSocketAddress(mAddress), std::strerror(errno)));
  }
  auto state = std::make_shared<State>(mLoop, std::move(mHandler));
  state->mListenFd = listener;
  state->mLimits = mLimits;
  state->mMaxConnections = mMaxConnections;
  state->mIdleTimeout = mIdleTimeout;
  state->mPreserveRawRequest = mPreserveRawRequest;
  state->StartAccepting();
  // The loop cannot remove the handler.
  mLoop.AddPrepare([weak = std::weak_ptr<State>(state)]() -> Duration {
    const auto open = weak.lock();
    return open && !open->mStopped ? open->Prepare() : kNoDeadline;
  });
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

} // namespace apricotyard
