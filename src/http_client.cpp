#include "http_client.h"

#include "settings.h"

#include <algorithm>
#include <array>

#include <curl/curl.h>
#include <fmt/format.h>
#include <strings.h>
#include <sys/epoll.h>

namespace apricotyard {

namespace {

// Idle connections kept over all servers.
constexpr long kIdleConnections = 4096;
constexpr std::size_t kMaxPooledHandles = 1024;
// The part of a transfer's time that may be spent on a new connection.
constexpr int kConnectTimeShare = 2;
// Longest time for a new connection; a handshake takes tens of milliseconds at most.
constexpr long kMaxConnectMillis = 1000;

struct Transfer
{
  TransferId mId = 0;
  CURL* mEasy = nullptr;
  curl_slist* mHeaderList = nullptr;
  ClientRequest mRequest;
  ClientReply mReply;
  ClientHandler mHandler;
  bool mExpectedSeen = false;
  bool mTooLarge = false;
  bool mCrossed = false;
  // The request was handed to a connection; from then on the server may have seen it.
  bool mStarted = false;
  std::array<char, CURL_ERROR_SIZE> mError{};
};

} // namespace

struct HttpClient::State
{
  Loop& mLoop;
  std::string mSourceIp;
  CURLM* mMulti = nullptr;
  TimerId mTimer = 0;
  TransferId mNextId = 1;
  std::unordered_map<TransferId, std::unique_ptr<Transfer>> mTransfers;
  std::vector<CURL*> mPool;
  std::uint64_t mConnectionsOpened = 0;

  void Finish(CURL* aEasy, CURLcode aCode);
  void ReadFinished();
  void Release(Transfer& aTransfer);
};

namespace {

std::string
Trim(std::string_view aText)
{
  while (!aText.empty() && (aText.front() == ' ' || aText.front() == '\t')) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && (aText.back() == '\r' || aText.back() == '\n' || aText.back() == ' ')) {
    aText.remove_suffix(1);
  }
  return std::string(aText);
}

std::size_t
OnBody(char* aData, std::size_t aSize, std::size_t aCount, void* aClosure)
{
  auto* const transfer = static_cast<Transfer*>(aClosure);
  const std::size_t bytes = aSize * aCount;
  if (!transfer->mRequest.mExpectedHeader.mName.empty() && !transfer->mExpectedSeen &&
      !transfer->mRequest.mExpectedOptional) {
    transfer->mCrossed = true;
    return 0;
  }
  if (transfer->mReply.mBody.size() + bytes > transfer->mRequest.mMaxReply) {
    transfer->mTooLarge = true;
    return 0;
  }
  transfer->mReply.mBody.append(aData, bytes);
  return bytes;
}

std::size_t
OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aClosure)
{
  auto* const transfer = static_cast<Transfer*>(aClosure);
  const std::string_view line(aData, aSize * aCount);
  // An interim response came before the final one; its headers do not count.
  if (line.starts_with("HTTP/")) {
    transfer->mReply.mHeaders.clear();
    transfer->mReply.mHeaderList.clear();
    return line.size();
  }
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return line.size();
  }
  std::string name(line.substr(0, colon));
  const std::string spelling = name;
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char aC) {
    return static_cast<char>(std::tolower(aC));
  });
  std::string value = Trim(line.substr(colon + 1));
  const HttpHeader& expected = transfer->mRequest.mExpectedHeader;
  if (name == expected.mName) {
    if (value != expected.mValue) {
      transfer->mCrossed = true;
      return 0;
    }
    transfer->mExpectedSeen = true;
  }
  transfer->mReply.mHeaderList.push_back({ spelling, value });
  transfer->mReply.mHeaders[std::move(name)] = std::move(value);
  return line.size();
}

void
RunSocketAction(HttpClient::State& aState, curl_socket_t aSocket, int aEvents)
{
  int running = 0;
  curl_multi_socket_action(aState.mMulti, aSocket, aEvents, &running);
  aState.ReadFinished();
}

int
OnSocket(CURL* /*aEasy*/, curl_socket_t aSocket, int aWhat, void* aClosure, void* aKnown)
{
  auto* const state = static_cast<HttpClient::State*>(aClosure);
  if (aWhat == CURL_POLL_REMOVE) {
    state->mLoop.RemoveFd(aSocket);
    return 0;
  }
  std::uint32_t events = 0;
  if ((aWhat & CURL_POLL_IN) != 0) {
    events |= EPOLLIN;
  }
  if ((aWhat & CURL_POLL_OUT) != 0) {
    events |= EPOLLOUT;
  }
  if (aKnown != nullptr) {
    state->mLoop.ModifyFd(aSocket, events);
    return 0;
  }
  curl_multi_assign(state->mMulti, aSocket, state);
  state->mLoop.AddFd(aSocket, events, [state, aSocket](std::uint32_t aReady) {
    int action = 0;
    if ((aReady & EPOLLIN) != 0) {
      action |= CURL_CSELECT_IN;
    }
    if ((aReady & EPOLLOUT) != 0) {
      action |= CURL_CSELECT_OUT;
    }
    if ((aReady & (EPOLLERR | EPOLLHUP)) != 0) {
      action |= CURL_CSELECT_ERR;
    }
    RunSocketAction(*state, aSocket, action);
  });
  return 0;
}

int
OnTimer(CURLM* /*aMulti*/, long aMillis, void* aClosure)
{
  auto* const state = static_cast<HttpClient::State*>(aClosure);
  state->mLoop.CancelTimer(state->mTimer);
  state->mTimer = 0;
  if (aMillis >= 0) {
    state->mTimer =
      state->mLoop.AddTimer(SteadyNow() + std::chrono::milliseconds(aMillis), [state] {
        state->mTimer = 0;
        RunSocketAction(*state, CURL_SOCKET_TIMEOUT, 0);
      });
  }
  return 0;
}

// Runs before the request is written to a connection. libcurl writes a request again by itself when
// a reused connection closes before the first byte of the reply; that would run it twice.
int
OnRequest(void* aClosure,
          char* /*aServerIp*/,
          char* /*aLocalIp*/,
          int /*aServerPort*/,
          int /*aLocalPort*/)
{
  auto* const transfer = static_cast<Transfer*>(aClosure);
  if (transfer->mStarted) {
    return CURL_PREREQFUNC_ABORT;
  }
  transfer->mStarted = true;
  return CURL_PREREQFUNC_OK;
}

TransferEnd
Classify(const Transfer& aTransfer, CURLcode aCode)
{
  if (aTransfer.mCrossed) {
    return TransferEnd::Crossed;
  }
  if (aTransfer.mTooLarge) {
    return TransferEnd::TooLarge;
  }
  if (aCode == CURLE_OK) {
    const bool expected =
      !aTransfer.mRequest.mExpectedHeader.mName.empty() && !aTransfer.mRequest.mExpectedOptional;
    return expected && !aTransfer.mExpectedSeen ? TransferEnd::Crossed : TransferEnd::Complete;
  }
  // A second connection, refused or not, does not undo what the first one may have carried.
  if (aTransfer.mStarted) {
    return aCode == CURLE_OPERATION_TIMEDOUT ? TransferEnd::TimedOut : TransferEnd::Lost;
  }
  return aCode == CURLE_SEND_ERROR ? TransferEnd::NotSent : TransferEnd::NotConnected;
}

// Options that are the same for every transfer; handles keep them while they are pooled.
void
ConfigureHandle(const HttpClient::State& aState, CURL* aEasy)
{
  curl_easy_setopt(aEasy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(aEasy, CURLOPT_PROXY, "");
  curl_easy_setopt(aEasy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(aEasy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(aEasy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(aEasy, CURLOPT_PREREQFUNCTION, &OnRequest);
  curl_easy_setopt(aEasy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(aEasy, CURLOPT_HEADERFUNCTION, &OnHeader);
  if (!aState.mSourceIp.empty()) {
    curl_easy_setopt(aEasy, CURLOPT_INTERFACE, ("host!" + aState.mSourceIp).c_str());
  }
}

void
ConfigureMethod(CURL* aEasy, const ClientRequest& aRequest)
{
  if (aRequest.mMethod == "HEAD") {
    curl_easy_setopt(aEasy, CURLOPT_NOBODY, 1L);
  } else if (aRequest.mMethod != "GET" || !aRequest.mBody.empty()) {
    curl_easy_setopt(aEasy, CURLOPT_CUSTOMREQUEST, aRequest.mMethod.c_str());
    curl_easy_setopt(aEasy, CURLOPT_POSTFIELDSIZE, static_cast<long>(aRequest.mBody.size()));
    curl_easy_setopt(aEasy, CURLOPT_POSTFIELDS, aRequest.mBody.data());
  }
}

// Whether the handle differs from a fresh one in more than what ConfigureTransfer always sets.
bool
NeedsReset(const ClientRequest& aRequest)
{
  return aRequest.mMethod != "GET" || !aRequest.mBody.empty();
}

void
ConfigureHeaders(Transfer& aTransfer)
{
  const ClientRequest& request = aTransfer.mRequest;
  curl_slist* list = nullptr;
  for (const HttpHeader& header : request.mHeaders) {
    // libcurl takes a name with a colon and no value as an order to leave the header out.
    std::string line = header.mName;
    line.append(header.mValue.empty() ? ";" : ": ").append(header.mValue);
    list = curl_slist_append(list, line.c_str());
  }
  // Without this header libcurl waits for a "100 Continue" before a large body.
  if (!request.mBody.empty()) {
    list = curl_slist_append(list, "Expect:");
  }
  if (!request.mForwarded) {
    list = curl_slist_append(list, "Content-Type: application/json");
  } else {
    list = curl_slist_append(list, "Accept:");
    // libcurl adds this header to a body by itself; a caller's own one stands in mHeaders.
    const bool hasType =
      std::any_of(request.mHeaders.begin(), request.mHeaders.end(), [](const HttpHeader& aHeader) {
        return strcasecmp(aHeader.mName.c_str(), "content-type") == 0;
      });
    if (!hasType && (!request.mBody.empty() || request.mMethod != "GET")) {
      list = curl_slist_append(list, "Content-Type:");
    }
  }
  aTransfer.mHeaderList = list;
  curl_easy_setopt(aTransfer.mEasy, CURLOPT_HTTPHEADER, list);
}

void
ConfigureTransfer(Transfer& aTransfer)
{
  CURL* const easy = aTransfer.mEasy;
  const ClientRequest& request = aTransfer.mRequest;
  const long millis =
    std::max<long>(1, std::chrono::ceil<std::chrono::milliseconds>(request.mTimeout).count());
  std::string url = "http://" + FormatSocketAddress(request.mAddress);
  url.append(request.mForwarded ? "/" : request.mPath);
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(
    easy, CURLOPT_REQUEST_TARGET, request.mForwarded ? request.mPath.c_str() : nullptr);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &aTransfer);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, millis);
  curl_easy_setopt(easy,
                   CURLOPT_CONNECTTIMEOUT_MS,
                   std::clamp<long>(millis / kConnectTimeShare, 1, kMaxConnectMillis));
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, request.mFreshConnection ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, static_cast<long>(request.mMaxIdle.count()));
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &aTransfer);
  curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, aTransfer.mError.data());
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &aTransfer);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &aTransfer);
  ConfigureMethod(easy, request);
  ConfigureHeaders(aTransfer);
}

} // namespace

void
HttpClient::State::Release(Transfer& aTransfer)
{
  curl_multi_remove_handle(mMulti, aTransfer.mEasy);
  curl_slist_free_all(aTransfer.mHeaderList);
  if (mPool.size() < kMaxPooledHandles && !NeedsReset(aTransfer.mRequest)) {
    mPool.push_back(aTransfer.mEasy);
  } else {
    curl_easy_cleanup(aTransfer.mEasy);
  }
}

void
HttpClient::State::Finish(CURL* aEasy, CURLcode aCode)
{
  char* closure = nullptr;
  curl_easy_getinfo(aEasy, CURLINFO_PRIVATE, &closure);
  const TransferId id = reinterpret_cast<Transfer*>(closure)->mId;
  const auto node = mTransfers.extract(id);
  Transfer& transfer = *node.mapped();
  long status = 0;
  long connects = 0;
  curl_easy_getinfo(aEasy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo(aEasy, CURLINFO_NUM_CONNECTS, &connects);
  mConnectionsOpened += static_cast<std::uint64_t>(connects);
  transfer.mReply.mEnd = Classify(transfer, aCode);
  transfer.mReply.mStatus = static_cast<int>(status);
  transfer.mReply.mReusedConnection = connects == 0;
  transfer.mReply.mMessage = transfer.mError.data();
  Release(transfer);
  transfer.mHandler(std::move(transfer.mReply));
}

void
HttpClient::State::ReadFinished()
{
  int left = 0;
  while (const CURLMsg* const message = curl_multi_info_read(mMulti, &left)) {
    if (message->msg == CURLMSG_DONE) {
      Finish(message->easy_handle, message->data.result);
    }
  }
}

std::string_view
ClientReply::Header(std::string_view aName) const
{
  const auto found = mHeaders.find(aName);
  return found == mHeaders.end() ? std::string_view() : std::string_view(found->second);
}

HttpClient::HttpClient(Loop& aLoop, std::string aSourceIp, long aMaxConnectionsPerServer)
  : mState(new State{ aLoop, std::move(aSourceIp) })
{
  curl_global_init(CURL_GLOBAL_DEFAULT);
  mState->mMulti = curl_multi_init();
  curl_multi_setopt(mState->mMulti, CURLMOPT_SOCKETFUNCTION, &OnSocket);
  curl_multi_setopt(mState->mMulti, CURLMOPT_SOCKETDATA, mState.get());
  curl_multi_setopt(mState->mMulti, CURLMOPT_TIMERFUNCTION, &OnTimer);
  curl_multi_setopt(mState->mMulti, CURLMOPT_TIMERDATA, mState.get());
  curl_multi_setopt(mState->mMulti, CURLMOPT_MAXCONNECTS, kIdleConnections);
  curl_multi_setopt(mState->mMulti, CURLMOPT_MAX_HOST_CONNECTIONS, aMaxConnectionsPerServer);
}

HttpClient::~HttpClient()
{
  for (auto& [id, transfer] : mState->mTransfers) {
    mState->Release(*transfer);
  }
  for (CURL* const easy : mState->mPool) {
    curl_easy_cleanup(easy);
  }
  curl_multi_cleanup(mState->mMulti);
  mState->mLoop.CancelTimer(mState->mTimer);
}

TransferId
HttpClient::Send(ClientRequest aRequest, ClientHandler aHandler)
{
  auto transfer = std::make_unique<Transfer>();
  const TransferId id = mState->mNextId++;
  transfer->mId = id;
  transfer->mRequest = std::move(aRequest);
  transfer->mHandler = std::move(aHandler);
  if (mState->mPool.empty()) {
    transfer->mEasy = curl_easy_init();
    ConfigureHandle(*mState, transfer->mEasy);
  } else {
    transfer->mEasy = mState->mPool.back();
    mState->mPool.pop_back();
  }
  ConfigureTransfer(*transfer);
  CURL* const easy = transfer->mEasy;
  mState->mTransfers.emplace(id, std::move(transfer));
  curl_multi_add_handle(mState->mMulti, easy);
  return id;
}

void
HttpClient::Cancel(TransferId aTransfer)
{
  const auto node = mState->mTransfers.extract(aTransfer);
  if (!node.empty()) {
    mState->Release(*node.mapped());
  }
}

bool
HttpClient::IsSilent(TransferId aTransfer) const
{
  const auto found = mState->mTransfers.find(aTransfer);
  if (found == mState->mTransfers.end()) {
    return false;
  }
  long connects = 0;
  curl_off_t sentAt = 0;
  curl_off_t firstByteAt = 0;
  curl_easy_getinfo(found->second->mEasy, CURLINFO_NUM_CONNECTS, &connects);
  curl_easy_getinfo(found->second->mEasy, CURLINFO_PRETRANSFER_TIME_T, &sentAt);
  curl_easy_getinfo(found->second->mEasy, CURLINFO_STARTTRANSFER_TIME_T, &firstByteAt);
  return connects == 0 && sentAt > 0 && firstByteAt == 0;
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
