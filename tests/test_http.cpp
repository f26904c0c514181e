// Checks that invalid requests and replies are answered with a result code and do not end the
// process, and that the client's connection pool keeps its limits.
#include "codec.h"
#include "http_client.h"
#include "http_server.h"
#include "test_address.h"

#include <arpa/inet.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace apricotyard;

namespace {

const std::string kIp = TestIp(1);
constexpr std::uint16_t kPort = 7900;
constexpr std::size_t kMaxBody = 1000;

// A server that echoes the request body and a client, in one event loop. The handler drops requests
// for /abandon without a response.
struct EchoFixture
{
  Loop mLoop;
  HttpClient mClient{ mLoop, "", 2 };
  std::unique_ptr<HttpServer> mServer;

  EchoFixture()
  {
    auto server = HttpServer::Builder(mLoop, { kIp, kPort })
                    .MaxBody(kMaxBody)
                    .OnRequest([](const HttpRequest& aRequest, const HttpResponder& aRespond) {
                      if (aRequest.mPath != "/abandon") {
                        aRespond({ 200, aRequest.mBody, "text/plain", { { "x-echo", "yes" } } });
                      }
                    })
                    .Start();
    CPPUNIT_ASSERT_MESSAGE(server ? "" : server.error().mMessage, server.has_value());
    mServer = *std::move(server);
  }

  void RunFor(Duration aTime)
  {
    mLoop.AddTimer(SteadyNow() + aTime, [this] { mLoop.Stop(); });
    mLoop.Run();
  }

  ClientReply SendAndWait(ClientRequest aRequest)
  {
    Loop& loop = mLoop;
    ClientReply result;
    aRequest.mAddress = { kIp, kPort };
    mClient.Send(std::move(aRequest), [&](ClientReply aReply) {
      result = std::move(aReply);
      loop.Stop();
    });
    loop.Run();
    return result;
  }
};

// Sends aBytes on a new connection and returns the first line of the reply.
std::string
SendBytes(Loop& aLoop, const std::string& aBytes)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(kPort);
  inet_pton(AF_INET, kIp.c_str(), &address.sin_addr);
  // The socket is non-blocking, so the result is always EINPROGRESS.
  (void)connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  std::string reply;
  bool sent = false;
  aLoop.AddFd(fd, 0x001 | 0x004, [&](std::uint32_t) {
    if (!sent) {
      sent = true;
      CPPUNIT_ASSERT(write(fd, aBytes.data(), aBytes.size()) > 0);
      aLoop.ModifyFd(fd, 0x001);
      return;
    }
    char buffer[512];
    const ssize_t count = read(fd, buffer, sizeof(buffer));
    if (count > 0) {
      reply.append(buffer, static_cast<std::size_t>(count));
    }
    aLoop.Stop();
  });
  aLoop.Run();
  aLoop.RemoveFd(fd);
  close(fd);
  return reply.substr(0, reply.find("\r\n"));
}

} // namespace

class HttpTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpTest);
  CPPUNIT_TEST(EchoesBody);
  CPPUNIT_TEST(RefusesOversizedBody);
  CPPUNIT_TEST(AnswersAbandonedRequest);
  CPPUNIT_TEST(RejectsReplyToAnotherRequest);
  CPPUNIT_TEST(ReportsRefusedConnection);
  CPPUNIT_TEST(MarksFirstRequestOfConnection);
  CPPUNIT_TEST(FirstRequestUsesPreparedConnection);
  CPPUNIT_TEST(ConnectionOfCancelledRequestIsUsedNext);
  CPPUNIT_TEST(RequestsBeyondConnectionLimitWait);
  CPPUNIT_TEST(ClosedIdleConnectionIsNotReused);
  CPPUNIT_TEST(IdleConnectionsAreLimited);
  CPPUNIT_TEST(RefusesDuplicateHeader);
  CPPUNIT_TEST(RefusesMalformedMessages);
  CPPUNIT_TEST_SUITE_END();

public:
  void EchoesBody()
  {
    EchoFixture fixture;
    ClientRequest request;
    request.mBody = "hello";
    request.mExpectedHeader = { "x-echo", "yes" };
    const ClientReply reply = fixture.SendAndWait(request);
    CPPUNIT_ASSERT(reply.mEnd == TransferEnd::Complete);
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), reply.mBody);
  }

  void RefusesOversizedBody()
  {
    EchoFixture fixture;
    ClientRequest request;
    request.mBody = std::string(kMaxBody + 1, 'x');
    const ClientReply reply = fixture.SendAndWait(request);
    CPPUNIT_ASSERT_EQUAL(413, reply.mStatus);
    CPPUNIT_ASSERT(reply.mBody.find("BodyTooLarge") != std::string::npos);
  }

  void AnswersAbandonedRequest()
  {
    EchoFixture fixture;
    ClientRequest request;
    request.mPath = "/abandon";
    CPPUNIT_ASSERT_EQUAL(500, fixture.SendAndWait(request).mStatus);
  }

  void RejectsReplyToAnotherRequest()
  {
    EchoFixture fixture;
    ClientRequest request;
    request.mExpectedHeader = { "x-echo", "no" };
    CPPUNIT_ASSERT(fixture.SendAndWait(request).mEnd == TransferEnd::Mismatched);
  }

  void ReportsRefusedConnection()
  {
    EchoFixture fixture;
    fixture.mServer.reset();
    CPPUNIT_ASSERT(fixture.SendAndWait({}).mEnd == TransferEnd::NotConnected);
  }

  void MarksFirstRequestOfConnection()
  {
    Loop loop;
    HttpClient client(loop, "", 1);
    std::vector<bool> first;
    auto server = HttpServer::Builder(loop, { kIp, kPort })
                    .PreserveRawRequest()
                    .OnRequest([&](const HttpRequest& aRequest, const HttpResponder& aRespond) {
                      first.push_back(aRequest.mFirstOnConnection);
                      aRespond({ 200, "", "text/plain" });
                    })
                    .Start();
    CPPUNIT_ASSERT(server.has_value());
    for (const bool fresh : { true, false, true }) {
      ClientRequest request;
      request.mAddress = { kIp, kPort };
      request.mFreshConnection = fresh;
      client.Send(std::move(request), [&loop](const ClientReply&) { loop.Stop(); });
      loop.Run();
    }
    CPPUNIT_ASSERT(first == std::vector<bool>({ true, false, true }));
  }

  void FirstRequestUsesPreparedConnection()
  {
    EchoFixture fixture;
    CPPUNIT_ASSERT(!fixture.mClient.HasConnection({ kIp, kPort }));
    fixture.mClient.Preconnect({ kIp, kPort });
    CPPUNIT_ASSERT(fixture.mClient.HasConnection({ kIp, kPort }));
    fixture.RunFor(std::chrono::milliseconds(50));
    CPPUNIT_ASSERT(fixture.SendAndWait({}).mReusedConnection);
    fixture.mClient.Preconnect({ kIp, kPort });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, fixture.mClient.ConnectionsOpened());
  }

  void ConnectionOfCancelledRequestIsUsedNext()
  {
    EchoFixture fixture;
    ClientRequest request;
    request.mAddress = { kIp, kPort };
    const TransferId cancelled = fixture.mClient.Send(request, [](const ClientReply&) {
      CPPUNIT_FAIL("the handler of a cancelled transfer was called");
    });
    fixture.mClient.Cancel(cancelled);
    CPPUNIT_ASSERT(fixture.SendAndWait(request).mEnd == TransferEnd::Complete);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, fixture.mClient.ConnectionsOpened());
  }

  void RequestsBeyondConnectionLimitWait()
  {
    EchoFixture fixture;
    int answered = 0;
    for (int i = 0; i < 5; ++i) {
      ClientRequest request;
      request.mAddress = { kIp, kPort };
      fixture.mClient.Send(std::move(request), [&](const ClientReply& aReply) {
        answered += aReply.mEnd == TransferEnd::Complete ? 1 : 0;
      });
    }
    fixture.RunFor(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(5, answered);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, fixture.mClient.ConnectionsOpened());
  }

  void IdleConnectionsAreLimited()
  {
    EchoFixture fixture;
    const auto sendTwo = [&fixture] {
      for (int i = 0; i < 2; ++i) {
        ClientRequest request;
        request.mAddress = { kIp, kPort };
        fixture.mClient.Send(std::move(request), [](const ClientReply&) {});
      }
      fixture.RunFor(std::chrono::milliseconds(50));
    };
    sendTwo();
    fixture.mClient.SetMaxIdleConnections(1);
    sendTwo();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, fixture.mClient.ConnectionsOpened());
    sendTwo();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, fixture.mClient.ConnectionsOpened());
  }

  void ClosedIdleConnectionIsNotReused()
  {
    EchoFixture fixture;
    CPPUNIT_ASSERT(fixture.SendAndWait({}).mEnd == TransferEnd::Complete);
    CPPUNIT_ASSERT(fixture.mClient.HasConnection({ kIp, kPort }));
    fixture.mServer.reset();
    fixture.RunFor(std::chrono::milliseconds(50));
    CPPUNIT_ASSERT(!fixture.mClient.HasConnection({ kIp, kPort }));
  }

  void RefusesDuplicateHeader()
  {
    EchoFixture fixture;
    const std::string line =
      SendBytes(fixture.mLoop, "GET / HTTP/1.1\r\nHost: a\r\nX-A: 1\r\nX-A: 2\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 400 Bad Request"), line);
  }

  void RefusesMalformedMessages()
  {
    for (const char* const body :
         { "", "[]", "{", "{\"collection\":1}", "{\"collection\":\"a\"}" }) {
      CPPUNIT_ASSERT_MESSAGE(body, !DecodeQuery(body).has_value());
    }
    const auto unknown = DecodeQuery(R"({"collection":"a","query":"q","colour":1})");
    CPPUNIT_ASSERT_EQUAL(std::string("unknown field 'colour'"), unknown.error().mMessage);
    const auto wrongCount = DecodeSubrequestReply(
      R"({"subrequest":1,"service":"a","map":1,"shard":0,"version":1,"count":2,"items":[1]})");
    CPPUNIT_ASSERT(!wrongCount.has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);
