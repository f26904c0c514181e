#include "http_server.h"

#include "log.h"
#include "settings.h"
#include "socket_address.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <set>
#include <utility>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace apricotyard {

namespace {

// Memory of one connection for the request line and headers. libmicrohttpd rejects larger headers.
constexpr std::size_t kConnectionMemoryBytes = std::size_t{ 32 } * 1024;
constexpr int kListenBacklog = 512;
// Bytes of a body beyond the limit that are read, so that the caller gets a response. After them
// the connection is closed.
constexpr std::size_t kMaxDiscardedBytes = std::size_t{ 1024 } * 1024;

std::string
ToLowerCase(std::string_view aText)
{
  std::string out(aText);
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char aC) {
    return static_cast<char>(std::tolower(aC));
  });
  return out;
}

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

} // namespace

struct HttpServer::State
{
  Loop& mLoop;
  HttpHandler mHandler;
  std::size_t mMaxBody;
  MHD_Daemon* mDaemon = nullptr;
  int mEpollFd = -1;
  int mListenFd = -1;
  // A connection was resumed; the daemon must run before the next wait.
  bool mResumed = false;
  // Requests whose exchange is not complete.
  std::size_t mOpenRequests = 0;
  bool mPreserveRawRequest = false;
  // Raw targets of requests whose headers are still being read.
  std::map<MHD_Connection*, std::string> mPendingTargets;
  // Connections that have not carried a request yet.
  std::set<MHD_Connection*> mConnectionsWithoutRequest;
  // Exchanges whose connection is suspended. They must be resumed before libmicrohttpd is stopped.
  std::set<std::shared_ptr<HttpResponder::Exchange>> mSuspended;
};

struct HttpResponder::Exchange
{
  std::shared_ptr<HttpServer::State> mServer;
  MHD_Connection* mConnection = nullptr;
  HttpRequest mRequest;
  HttpResponse mResponse;
  std::string mPeer;
  // Bytes of the body that were received, whether or not they were kept.
  std::size_t mUploadedBytes = 0;
  bool mBodyTooLarge = false;
  bool mDuplicateHeader = false;
  bool mDispatched = false;
  bool mAnswered = false;
  bool mSuspended = false;
  bool mClosed = false;
  // The caller's socket while the loop watches it for a close, otherwise -1. libmicrohttpd does not
  // watch a suspended connection.
  int mWatchedFd = -1;
  std::function<void()> mOnCallerDisconnected;
};

namespace {

using Exchange = HttpResponder::Exchange;

void
WatchCaller(const std::shared_ptr<Exchange>& aExchange);

MHD_Result
CollectHeader(void* aClosure, MHD_ValueKind, const char* aKey, const char* aValue)
{
  auto* const exchange = static_cast<Exchange*>(aClosure);
  if (exchange->mServer->mPreserveRawRequest) {
    exchange->mRequest.mRawHeaders.push_back({ aKey, aValue != nullptr ? aValue : "" });
  }
  const bool added =
    exchange->mRequest.mHeaders.emplace(ToLowerCase(aKey), aValue != nullptr ? aValue : "").second;
  exchange->mDuplicateHeader |= !added;
  return MHD_YES;
}

MHD_Result
CollectArgument(void* aClosure, MHD_ValueKind, const char* aKey, const char* aValue)
{
  auto* const exchange = static_cast<Exchange*>(aClosure);
  exchange->mRequest.mArguments.emplace(aKey, aValue != nullptr ? aValue : "");
  return MHD_YES;
}

MHD_Result
QueueResponse(MHD_Connection* aConnection, const HttpResponse& aResponse)
{
  MHD_Response* const response = MHD_create_response_from_buffer(
    aResponse.mBody.size(), const_cast<char*>(aResponse.mBody.data()), MHD_RESPMEM_MUST_COPY);
  if (!aResponse.mContentType.empty()) {
    MHD_add_response_header(response, "Content-Type", aResponse.mContentType.c_str());
  }
  for (const HttpHeader& header : aResponse.mHeaders) {
    MHD_add_response_header(response, header.mName.c_str(), header.mValue.c_str());
  }
  const MHD_Result result =
    MHD_queue_response(aConnection, static_cast<unsigned>(aResponse.mStatus), response);
  MHD_destroy_response(response);
  return result;
}

// Checks Content-Length, so that an oversized body is rejected before it is read.
bool
DeclaresOversizedBody(const HttpServer::State& aServer, const HttpRequest& aRequest)
{
  const std::string_view length = aRequest.Header("content-length");
  return !length.empty() &&
         std::strtoull(std::string(length).c_str(), nullptr, 10) > aServer.mMaxBody;
}

std::shared_ptr<Exchange>*
BeginExchange(HttpServer::State* aServer,
              const std::shared_ptr<HttpServer::State>& aShared,
              MHD_Connection* aConnection,
              const char* aUrl,
              const char* aMethod)
{
  auto* const exchange = new std::shared_ptr<Exchange>(std::make_shared<Exchange>());
  Exchange& added = **exchange;
  added.mServer = aShared;
  added.mConnection = aConnection;
  added.mRequest.mMethod = aMethod;
  added.mRequest.mPath = aUrl;
  if (const auto target = aServer->mPendingTargets.extract(aConnection); !target.empty()) {
    added.mRequest.mTarget = target.mapped();
  }
  added.mRequest.mFirstOnConnection = aServer->mConnectionsWithoutRequest.erase(aConnection) != 0;
  MHD_get_connection_values(aConnection, MHD_HEADER_KIND, CollectHeader, &added);
  MHD_get_connection_values(aConnection, MHD_GET_ARGUMENT_KIND, CollectArgument, &added);
  const MHD_ConnectionInfo* const info =
    MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  added.mPeer = PeerText(info != nullptr ? info->client_addr : nullptr);
  added.mRequest.mPeer = added.mPeer;
  ++aServer->mOpenRequests;
  return exchange;
}

void
RejectAndLog(Exchange& aExchange, Result aResult, std::string_view aMessage)
{
  LogEvent(Event::RequestRejected,
           { { "peer", aExchange.mRequest.mPeer },
             { "path", aExchange.mRequest.mPath },
             { "result", Describe(aResult).mName } });
  aExchange.mResponse = ErrorResponse(aResult, aMessage);
  aExchange.mAnswered = true;
}

void
Dispatch(const std::shared_ptr<Exchange>& aExchange)
{
  aExchange->mDispatched = true;
  if (aExchange->mBodyTooLarge) {
    RejectAndLog(*aExchange, Result::BodyTooLarge, "the body exceeds the limit");
  } else if (aExchange->mDuplicateHeader && !aExchange->mServer->mPreserveRawRequest) {
    RejectAndLog(*aExchange, Result::BadRequest, "a header is given twice");
  } else {
    aExchange->mServer->mHandler(std::move(aExchange->mRequest), HttpResponder(aExchange));
  }
}

void
StopWatching(Exchange& aExchange)
{
  if (aExchange.mWatchedFd >= 0) {
    aExchange.mServer->mLoop.RemoveFd(aExchange.mWatchedFd);
    aExchange.mWatchedFd = -1;
  }
}

void
Answer(Exchange& aExchange, HttpResponse aResponse)
{
  if (aExchange.mAnswered) {
    return;
  }
  aExchange.mAnswered = true;
  aExchange.mOnCallerDisconnected = nullptr;
  aExchange.mResponse = std::move(aResponse);
  if (aExchange.mSuspended && !aExchange.mClosed) {
    StopWatching(aExchange);
    aExchange.mSuspended = false;
    aExchange.mServer->mResumed = true;
    MHD_resume_connection(aExchange.mConnection);
    std::erase_if(aExchange.mServer->mSuspended,
                  [&aExchange](const auto& aSuspended) { return aSuspended.get() == &aExchange; });
  }
}

// The caller no longer receives this response; it only lets libmicrohttpd close the connection.
void
HandleCallerDisconnected(const std::shared_ptr<Exchange>& aExchange)
{
  const auto handler = std::exchange(aExchange->mOnCallerDisconnected, nullptr);
  Answer(*aExchange, ErrorResponse(Result::Internal, "the caller has left"));
  if (handler) {
    handler();
  }
}

void
WatchCaller(const std::shared_ptr<Exchange>& aExchange)
{
  const MHD_ConnectionInfo* const info =
    MHD_get_connection_info(aExchange->mConnection, MHD_CONNECTION_INFO_CONNECTION_FD);
  if (info == nullptr || !aExchange->mSuspended) {
    return;
  }
  aExchange->mWatchedFd = info->connect_fd;
  aExchange->mServer->mLoop.AddFd(
    aExchange->mWatchedFd, EPOLLRDHUP, [weak = std::weak_ptr<Exchange>(aExchange)](std::uint32_t) {
      if (const auto exchange = weak.lock()) {
        HandleCallerDisconnected(exchange);
      }
    });
}

MHD_Result
HandleAccess(void* aClosure,
             MHD_Connection* aConnection,
             const char* aUrl,
             const char* aMethod,
             const char* /*aVersion*/,
             const char* aUpload,
             std::size_t* aUploadSize,
             void** aExchange)
{
  const auto& server = *static_cast<std::shared_ptr<HttpServer::State>*>(aClosure);
  if (*aExchange == nullptr) {
    auto* const created = BeginExchange(server.get(), server, aConnection, aUrl, aMethod);
    *aExchange = created;
    if (DeclaresOversizedBody(*server, (*created)->mRequest)) {
      RejectAndLog(**created, Result::BodyTooLarge, "the body exceeds the limit");
      return QueueResponse(aConnection, (*created)->mResponse);
    }
    return MHD_YES;
  }
  const std::shared_ptr<Exchange> exchange = *static_cast<std::shared_ptr<Exchange>*>(*aExchange);
  if (*aUploadSize != 0) {
    std::string& body = exchange->mRequest.mBody;
    exchange->mBodyTooLarge |= body.size() + *aUploadSize > server->mMaxBody;
    exchange->mUploadedBytes += *aUploadSize;
    if (exchange->mUploadedBytes > server->mMaxBody + kMaxDiscardedBytes) {
      RejectAndLog(*exchange, Result::BodyTooLarge, "the body exceeds the limit");
      return MHD_NO;
    }
    if (!exchange->mBodyTooLarge) {
      body.append(aUpload, *aUploadSize);
    }
    *aUploadSize = 0;
    return MHD_YES;
  }
  if (!exchange->mDispatched) {
    Dispatch(exchange);
  }
  if (exchange->mAnswered) {
    return QueueResponse(aConnection, exchange->mResponse);
  }
  exchange->mSuspended = true;
  server->mSuspended.insert(exchange);
  MHD_suspend_connection(aConnection);
  WatchCaller(exchange);
  return MHD_YES;
}

void*
StoreRequestTarget(void* aClosure, const char* aTarget, MHD_Connection* aConnection)
{
  (*static_cast<std::shared_ptr<HttpServer::State>*>(aClosure))->mPendingTargets[aConnection] =
    aTarget;
  return nullptr;
}

void
HandleConnection(void* aClosure,
                 MHD_Connection* aConnection,
                 void** /*aSocket*/,
                 MHD_ConnectionNotificationCode aCode)
{
  HttpServer::State& server = **static_cast<std::shared_ptr<HttpServer::State>*>(aClosure);
  if (aCode == MHD_CONNECTION_NOTIFY_STARTED) {
    server.mConnectionsWithoutRequest.insert(aConnection);
  } else {
    server.mPendingTargets.erase(aConnection);
    server.mConnectionsWithoutRequest.erase(aConnection);
  }
}

// Leaves percent-encoding as it is, because a proxy forwards the target unchanged.
std::size_t
KeepPercentEncoding(void* /*aClosure*/, MHD_Connection* /*aConnection*/, char* aText)
{
  return std::strlen(aText);
}

void
HandleCompleted(void* aClosure,
                MHD_Connection* /*aConnection*/,
                void** aExchange,
                MHD_RequestTerminationCode aCode)
{
  auto* const exchange = static_cast<std::shared_ptr<Exchange>*>(*aExchange);
  if (exchange == nullptr) {
    return;
  }
  if ((*exchange)->mAnswered && aCode != MHD_REQUEST_TERMINATED_COMPLETED_OK) {
    LogEvent(Event::ResponseUndelivered,
             { { "peer", (*exchange)->mPeer },
               { "status", (*exchange)->mResponse.mStatus },
               { "reason", static_cast<int>(aCode) } });
  }
  (*exchange)->mClosed = true;
  --(*static_cast<std::shared_ptr<HttpServer::State>*>(aClosure))->mOpenRequests;
  delete exchange;
  *aExchange = nullptr;
}

} // namespace

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
    Answer(*owner, ErrorResponse(Result::Internal, "the request was abandoned"));
  })
{
}

void
HttpResponder::operator()(HttpResponse aResponse) const
{
  Answer(*mExchange, std::move(aResponse));
}

void
HttpResponder::OnCallerDisconnected(std::function<void()> aHandler) const
{
  if (!mExchange->mAnswered) {
    mExchange->mOnCallerDisconnected = std::move(aHandler);
  }
}

HttpServer::HttpServer(std::shared_ptr<State> aState)
  : mState(std::move(aState))
{
}

HttpServer::~HttpServer()
{
  mState->mLoop.RemoveFd(mState->mEpollFd);
  const auto suspended = mState->mSuspended;
  for (const auto& exchange : suspended) {
    Answer(*exchange, ErrorResponse(Result::Internal, "the process stopped before an answer came"));
  }
  MHD_run(mState->mDaemon);
  MHD_stop_daemon(mState->mDaemon);
  if (mState->mListenFd >= 0) {
    close(mState->mListenFd);
  }
  mState->mDaemon = nullptr;
}

void
HttpServer::StopListening()
{
  const MHD_socket fd = MHD_quiesce_daemon(mState->mDaemon);
  if (fd != MHD_INVALID_SOCKET) {
    close(fd);
    mState->mListenFd = -1;
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
HttpServer::Builder::MaxBody(std::size_t aBytes)
{
  mMaxBody = aBytes;
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
  auto state = std::make_shared<State>(State{ mLoop, std::move(mHandler), mMaxBody });
  state->mListenFd = listener;
  state->mPreserveRawRequest = mPreserveRawRequest;
  // libmicrohttpd keeps a pointer to this shared pointer. The prepare handler below owns it and
  // lives as long as the loop.
  auto closure = std::make_shared<std::shared_ptr<State>>(state);
  const unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
  const unsigned timeout = static_cast<unsigned>(mIdleTimeout.count());
  std::vector<MHD_OptionItem> options;
  if (mPreserveRawRequest) {
    options.push_back({ MHD_OPTION_UNESCAPE_CALLBACK,
                        reinterpret_cast<std::intptr_t>(&KeepPercentEncoding),
                        closure.get() });
    options.push_back({ MHD_OPTION_URI_LOG_CALLBACK,
                        reinterpret_cast<std::intptr_t>(&StoreRequestTarget),
                        closure.get() });
    options.push_back({ MHD_OPTION_NOTIFY_CONNECTION,
                        reinterpret_cast<std::intptr_t>(&HandleConnection),
                        closure.get() });
  }
  options.push_back({ MHD_OPTION_END, 0, nullptr });
  state->mDaemon = MHD_start_daemon(flags,
                                    0,
                                    nullptr,
                                    nullptr,
                                    &HandleAccess,
                                    closure.get(),
                                    MHD_OPTION_LISTEN_SOCKET,
                                    listener,
                                    MHD_OPTION_NOTIFY_COMPLETED,
                                    &HandleCompleted,
                                    closure.get(),
                                    MHD_OPTION_CONNECTION_LIMIT,
                                    mMaxConnections,
                                    MHD_OPTION_CONNECTION_TIMEOUT,
                                    timeout,
                                    MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                    kConnectionMemoryBytes,
                                    MHD_OPTION_ARRAY,
                                    options.data(),
                                    MHD_OPTION_END);
  if (state->mDaemon == nullptr) {
    close(listener);
    return Fail(Result::Internal, "the HTTP server cannot start");
  }
  state->mEpollFd = MHD_get_daemon_info(state->mDaemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  mLoop.AddFd(state->mEpollFd, EPOLLIN, [state](std::uint32_t) { MHD_run(state->mDaemon); });
  mLoop.AddPrepare([state, closure]() -> Duration {
    if (state->mDaemon == nullptr) {
      return std::chrono::hours(1);
    }
    if (state->mResumed) {
      state->mResumed = false;
      MHD_run(state->mDaemon);
    }
    MHD_UNSIGNED_LONG_LONG millis = 0;
    if (MHD_get_timeout(state->mDaemon, &millis) != MHD_YES) {
      return std::chrono::hours(1);
    }
    if (millis == 0) {
      MHD_run(state->mDaemon);
    }
    return std::chrono::milliseconds(millis);
  });
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

HttpResponse
ErrorResponse(Result aResult, std::string_view aMessage)
{
  const ResultInfo& info = Describe(aResult);
  HttpResponse response;
  response.mStatus = info.mHttpStatus;
  response.mBody = fmt::format(R"({{"result":{{"code":{},"name":"{}","message":{}}}}})",
                               info.mNumber,
                               info.mName,
                               JsonQuote(aMessage));
  return response;
}

std::string
JsonQuote(std::string_view aText)
{
  return nlohmann::json(aText).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace apricotyard
