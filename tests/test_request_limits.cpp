// Requests within the configured limits are answered, whatever the form of their bytes; larger ones
// are rejected before a handler gets them.
#include "http_server.h"
#include "test_address.h"

#include <array>
#include <cerrno>
#include <fstream>

#include <arpa/inet.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string kIp = TestIp(1);
constexpr std::uint16_t kPort = 7940;
constexpr std::size_t kMaxHead = 16384;
constexpr std::size_t kMaxBody = 1000;

// How a request spends the bytes of its head.
enum class Filling : std::uint8_t
{
  LongPath,
  LongHeader,
  Headers40,
  Headers20,
  Headers7,
  Headers4,
  Cookies,
  ShortArguments,
  LongArguments,
};

constexpr std::array<Filling, 9> kFillings = { Filling::LongPath,     Filling::LongHeader,
                                               Filling::Headers40,    Filling::Headers20,
                                               Filling::Headers7,     Filling::Headers4,
                                               Filling::Cookies,      Filling::ShortArguments,
                                               Filling::LongArguments };

std::string
Repeat(std::string_view aUnit, std::size_t aBytes)
{
  std::string text;
  while (text.size() + aUnit.size() <= aBytes) {
    text += aUnit;
  }
  return text;
}

// A request whose head has exactly aBytes. A plain header takes what aFilling leaves.
std::string
Head(Filling aFilling, std::size_t aBytes)
{
  constexpr std::size_t kOtherBytes = 120;
  const std::size_t room = aBytes - kOtherBytes;
  std::string path = "/";
  std::string headers;
  switch (aFilling) {
    case Filling::LongPath:
      path += std::string(room, 'p');
      break;
    case Filling::LongHeader:
      headers = "X-Long: " + std::string(room, 'v') + "\r\n";
      break;
    case Filling::Headers40:
      headers = Repeat("X-Trace-0001: " + std::string(24, 'v') + "\r\n", room);
      break;
    case Filling::Headers20:
      headers = Repeat("X-Trace: vvvvvvvvv\r\n", room);
      break;
    case Filling::Headers7:
      headers = Repeat("a: bc\r\n", room);
      break;
    case Filling::Headers4:
      headers = Repeat("a:\r\n", room);
      break;
    case Filling::Cookies:
      headers = "Cookie: " + Repeat("abc=defghi; ", room) + "\r\n";
      break;
    case Filling::ShortArguments:
      path += "?" + Repeat("a=12&", room);
      break;
    case Filling::LongArguments:
      path += "?" + Repeat("identifier=12345678&", room);
      break;
  }
  std::string head = "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + headers;
  constexpr std::string_view kRest = "R: ";
  constexpr std::string_view kEnd = "\r\n\r\n";
  return head + std::string(kRest) +
         std::string(aBytes - head.size() - kRest.size() - kEnd.size(), 'r') + std::string(kEnd);
}

// A caller that sends bytes over one connection and reads what comes back.
class RawCaller
{
public:
  RawCaller(Loop& aLoop, std::uint16_t aPort)
    : mLoop(aLoop)
    , mFd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    inet_pton(AF_INET, kIp.c_str(), &address.sin_addr);
    // The socket is non-blocking, so the result is always EINPROGRESS.
    (void)connect(mFd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    mLoop.AddFd(mFd, EPOLLIN | EPOLLOUT, [this](std::uint32_t) { Transfer(); });
  }

  ~RawCaller()
  {
    mLoop.RemoveFd(mFd);
    close(mFd);
  }

  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  void Send(const std::string& aBytes)
  {
    mOutput += aBytes;
    if (!mClosed) {
      mLoop.ModifyFd(mFd, EPOLLIN | EPOLLOUT);
    }
  }

  // Runs the loop until aCount responses have arrived, the connection is closed or 2 s have passed.
  void WaitFor(std::size_t aCount)
  {
    mWanted = aCount;
    const TimerId timer = mLoop.AddTimer(SteadyNow() + seconds(2), [this] { mLoop.Stop(); });
    if (Statuses().size() < mWanted && !mClosed) {
      mLoop.Run();
    }
    mLoop.CancelTimer(timer);
  }

  std::vector<std::string> Statuses() const
  {
    constexpr std::string_view kVersion = "HTTP/1.1 ";
    constexpr std::size_t kDigits = 3;
    std::vector<std::string> statuses;
    for (std::size_t at = mInput.find(kVersion); at != std::string::npos;
         at = mInput.find(kVersion, at + 1)) {
      statuses.push_back(mInput.substr(at + kVersion.size(), kDigits));
    }
    return statuses;
  }

  const std::string& Input() const { return mInput; }
  bool IsClosed() const { return mClosed; }

private:
  void Transfer()
  {
    if (!mOutput.empty()) {
      const ssize_t sent = send(mFd, mOutput.data(), mOutput.size(), MSG_NOSIGNAL);
      mOutput.erase(0, sent > 0 ? static_cast<std::size_t>(sent) : 0);
    }
    if (mOutput.empty()) {
      std::string().swap(mOutput);
      mLoop.ModifyFd(mFd, EPOLLIN);
    }
    std::array<char, 16384> buffer{};
    const ssize_t count = recv(mFd, buffer.data(), buffer.size(), 0);
    if (count > 0) {
      mInput.append(buffer.data(), static_cast<std::size_t>(count));
    } else if (count == 0 || errno != EAGAIN) {
      mClosed = true;
      mLoop.ModifyFd(mFd, 0);
    }
    if (mClosed || Statuses().size() >= mWanted) {
      mLoop.Stop();
    }
  }

  Loop& mLoop;
  int mFd;
  std::string mOutput;
  std::string mInput;
  std::size_t mWanted = 1;
  bool mClosed = false;
};

struct ServerFixture
{
  Loop mLoop;
  std::vector<HttpRequest> mHandled;
  HttpResponse mResponse{ 200, "ok", "text/plain" };
  std::unique_ptr<HttpServer> mServer;

  explicit ServerFixture(bool aRaw = true)
  {
    HttpServer::Builder builder(mLoop, { kIp, kPort });
    builder.MaxHead(kMaxHead).MaxBody(kMaxBody).OnRequest(
      [this](HttpRequest aRequest, const HttpResponder& aRespond) {
        mHandled.push_back(std::move(aRequest));
        aRespond(mResponse);
      });
    if (aRaw) {
      builder.PreserveRawRequest();
    }
    auto server = builder.Start();
    CPPUNIT_ASSERT(server.has_value());
    mServer = *std::move(server);
  }
};

std::string
FirstStatus(const RawCaller& aCaller)
{
  const auto statuses = aCaller.Statuses();
  return statuses.empty() ? "none" : statuses.front();
}

std::size_t
ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace

class RequestLimitsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestLimitsTest);
  CPPUNIT_TEST(AnswersEveryRequestWithinLimits);
  CPPUNIT_TEST(AnswersArgumentsWithoutRawRequest);
  CPPUNIT_TEST(RejectsRequestsBeyondLimits);
  CPPUNIT_TEST(LongResponseFitsBesideLargeRequest);
  CPPUNIT_TEST(RejectsOversizedBodies);
  CPPUNIT_TEST(RejectsAmbiguousFraming);
  CPPUNIT_TEST(AnswersPipelinedRequestsInOrder);
  CPPUNIT_TEST(LimitsChangeWhileConnectionsAreOpen);
  CPPUNIT_TEST(IdleConnectionsHoldNoBuffers);
  CPPUNIT_TEST_SUITE_END();

public:
  // A shared memory limit of the connection used to count each header, cookie and argument as more
  // than its bytes: requests within the limit ran and got no answer, or got none without running.
  void AnswersEveryRequestWithinLimits()
  {
    constexpr std::size_t kStep = 397;
    ServerFixture fixture;
    for (const Filling filling : kFillings) {
      for (std::size_t bytes = kMaxHead; bytes > kStep; bytes -= kStep) {
        const std::string head = Head(filling, bytes);
        CPPUNIT_ASSERT_EQUAL(bytes, head.size());
        RawCaller caller(fixture.mLoop, kPort);
        caller.Send(head);
        caller.WaitFor(1);
        const std::string label =
          std::to_string(static_cast<int>(filling)) + " " + std::to_string(bytes);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(label, std::string("200"), FirstStatus(caller));
        CPPUNIT_ASSERT_EQUAL(bytes, fixture.mHandled.back().mHeadBytes);
        fixture.mHandled.clear();
      }
    }
  }

  void AnswersArgumentsWithoutRawRequest()
  {
    ServerFixture fixture(false);
    RawCaller caller(fixture.mLoop, kPort);
    std::string query = "/a%20b?first=1%2B+2&flag&";
    for (int i = 0; i < 1500; ++i) {
      query += "n" + std::to_string(i) + "=1&";
    }
    caller.Send("GET " + query + " HTTP/1.1\r\nHost: h\r\n\r\n");
    caller.WaitFor(1);
    CPPUNIT_ASSERT_EQUAL(std::string("200"), FirstStatus(caller));
    const HttpRequest& request = fixture.mHandled.back();
    CPPUNIT_ASSERT_EQUAL(std::string("/a b"), request.mPath);
    CPPUNIT_ASSERT_EQUAL(std::string("1+ 2"), std::string(request.Argument("first")));
    CPPUNIT_ASSERT(request.mArguments.contains("flag"));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), std::string(request.Argument("n1499")));
  }

  void RejectsRequestsBeyondLimits()
  {
    ServerFixture fixture;
    for (const Filling filling : kFillings) {
      for (const std::size_t beyond : { std::size_t{ 1 }, kMaxHead }) {
        const bool longLine = filling == Filling::LongPath || filling == Filling::ShortArguments ||
                              filling == Filling::LongArguments;
        RawCaller caller(fixture.mLoop, kPort);
        caller.Send(Head(filling, kMaxHead + beyond));
        caller.WaitFor(1);
        CPPUNIT_ASSERT_EQUAL(std::string(longLine && beyond == kMaxHead ? "414" : "431"),
                             FirstStatus(caller));
        // The connection ends after the response.
        caller.WaitFor(2);
        CPPUNIT_ASSERT(caller.IsClosed());
      }
    }
    CPPUNIT_ASSERT(fixture.mHandled.empty());
  }

  // The bytes of a response have no share in the limit of the request.
  void LongResponseFitsBesideLargeRequest()
  {
    ServerFixture fixture;
    for (int i = 0; i < 300; ++i) {
      fixture.mResponse.mHeaders.push_back(
        { "X-Replica-" + std::to_string(i), std::string(100, 'v') });
    }
    fixture.mResponse.mBody = std::string(500'000, 'b');
    for (const Filling filling : kFillings) {
      RawCaller caller(fixture.mLoop, kPort);
      caller.Send(Head(filling, kMaxHead));
      while (!caller.Input().ends_with(std::string(100, 'b'))) {
        const std::size_t before = caller.Input().size();
        caller.WaitFor(2);
        CPPUNIT_ASSERT(caller.Input().size() > before);
      }
      CPPUNIT_ASSERT_EQUAL(std::string("200"), FirstStatus(caller));
      CPPUNIT_ASSERT(caller.Input().size() >
                     fixture.mResponse.mBody.size() + std::size_t{ 300 } * 100);
    }
  }

  void RejectsOversizedBodies()
  {
    const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
    const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string body(kMaxBody, 'x');
    const std::string more(kMaxBody + 1, 'x');
    ServerFixture fixture;
    for (const auto& [bytes, status] : std::vector<std::pair<std::string, std::string>>{
           { start + "Content-Length: 1000\r\n\r\n" + body, "200" },
           { chunked + "3e8\r\n" + body + "\r\n0\r\n\r\n", "200" },
           { start + "Content-Length: 1001\r\n\r\n" + more, "413" },
           { start + "Content-Length: 99999999999999\r\n\r\n", "413" },
           { chunked + "3e9\r\n" + more + "\r\n0\r\n\r\n", "413" },
           { chunked + "3e8\r\n" + body + "\r\n1\r\nx\r\n0\r\n\r\n", "413" } }) {
      RawCaller caller(fixture.mLoop, kPort);
      caller.Send(bytes);
      caller.WaitFor(1);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes.substr(0, 80), status, FirstStatus(caller));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.mHandled.size());
    CPPUNIT_ASSERT(fixture.mHandled[0].mBody == body && fixture.mHandled[1].mBody == body);
  }

  // Bytes of a body must not run as another request.
  void RejectsAmbiguousFraming()
  {
    const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
    const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n";
    ServerFixture fixture;
    for (const std::string& headers :
         { std::string("Content-Length: 0\r\nContent-Length: 5\r\n"),
           std::string("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"),
           std::string("Content-Length : 5\r\n"),
           std::string("Content-Length: +5\r\n"),
           std::string("Content-Length: 5 5\r\n") }) {
      RawCaller caller(fixture.mLoop, kPort);
      caller.Send(start + headers + "\r\n" + smuggled);
      caller.WaitFor(1);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(headers, std::string("400"), FirstStatus(caller));
      caller.WaitFor(2);
      CPPUNIT_ASSERT_MESSAGE(headers, caller.IsClosed());
    }
    CPPUNIT_ASSERT(fixture.mHandled.empty());
  }

  void AnswersPipelinedRequestsInOrder()
  {
    Loop loop;
    std::vector<std::string> paths;
    auto server = HttpServer::Builder(loop, { kIp, kPort })
                    .OnRequest([&](const HttpRequest& aRequest, const HttpResponder& aRespond) {
                      paths.push_back(aRequest.mPath);
                      // Every other response comes later.
                      if (paths.size() % 2 == 0) {
                        loop.AddTimer(SteadyNow() + milliseconds(10), [aRespond] {
                          aRespond({ 200, "late", "" });
                        });
                      } else {
                        aRespond({ 201, "soon", "" });
                      }
                    })
                    .Start();
    CPPUNIT_ASSERT(server.has_value());
    RawCaller caller(loop, kPort);
    std::string bytes;
    for (const char* const path : { "/a", "/b", "/c", "/d", "/e" }) {
      bytes += std::string("GET ") + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }
    caller.Send(bytes);
    caller.WaitFor(5);
    CPPUNIT_ASSERT(paths == std::vector<std::string>({ "/a", "/b", "/c", "/d", "/e" }));
    CPPUNIT_ASSERT(caller.Statuses() ==
                   std::vector<std::string>({ "201", "200", "201", "200", "201" }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, (*server)->OpenRequests());
  }

  void LimitsChangeWhileConnectionsAreOpen()
  {
    ServerFixture fixture;
    RawCaller caller(fixture.mLoop, kPort);
    caller.Send(Head(Filling::Headers20, kMaxHead));
    caller.WaitFor(1);
    fixture.mServer->SetLimits({ kMaxHead / 2, kMaxBody });
    caller.Send(Head(Filling::Headers20, kMaxHead / 2));
    caller.WaitFor(2);
    caller.Send(Head(Filling::Headers20, kMaxHead));
    caller.WaitFor(3);
    CPPUNIT_ASSERT(caller.Statuses() == std::vector<std::string>({ "200", "200", "431" }));
  }

  // 500 connections that have carried the largest request and response hold less than 4 KiB each.
  void IdleConnectionsHoldNoBuffers()
  {
    constexpr std::size_t kConnections = 500;
    constexpr std::size_t kMaxBytesEach = 4096;
    ServerFixture fixture;
    std::vector<std::unique_ptr<RawCaller>> callers;
    std::size_t before = 0;
    for (std::size_t i = 0; i < kConnections; ++i) {
      callers.push_back(std::make_unique<RawCaller>(fixture.mLoop, kPort));
      callers.back()->Send(Head(Filling::Headers4, kMaxHead));
      callers.back()->WaitFor(1);
      CPPUNIT_ASSERT_EQUAL(std::string("200"), FirstStatus(*callers.back()));
      fixture.mHandled.clear();
      if (i == 0) {
        before = ResidentBytes();
      }
    }
    const std::size_t after = ResidentBytes();
    CPPUNIT_ASSERT_MESSAGE("memory grew by " + std::to_string((after - before) / 1024) + " KiB",
                           after < before + kConnections * kMaxBytesEach);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestLimitsTest);
