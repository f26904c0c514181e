// Guards against changed requests and answers, merged answers that lie about their coverage,
// requests that run twice, refusals that are not true, and work for callers that have left.
#include "log.h"
#include "relay.h"
#include "socket_address.h"
#include "test_address.h"

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

const std::string kGatewayIp = TestIp(11);
const std::string kReplicaIp = TestIp(12);
constexpr std::uint16_t kGatewayPort = 7911;
constexpr std::uint16_t kFirstReplicaPort = 7920;

HeaderNames
TestNames()
{
  return { "x-id", "x-left", "x-expect", "x-signature", "x-parts", "x-missing", "x-not-run" };
}

using Behaviour = std::function<void(const HttpRequest&, const HttpResponder&)>;

// A signed answer that echoes the identity of the request.
HttpResponse
Signed(const HttpRequest& aRequest, int aStatus, std::string aBody, const std::string& aSignature)
{
  return { aStatus,
           std::move(aBody),
           "text/plain",
           { { "X-Id", std::string(aRequest.Header("x-id")) }, { "X-Signature", aSignature } } };
}

// One replica: an HTTP server that remembers what it got.
struct FakeReplica
{
  UpstreamInfo mInfo;
  Behaviour mBehaviour;
  std::vector<HttpRequest> mGot;
  std::unique_ptr<HttpServer> mServer;
};

// A gateway's relay in front of fake replicas, in one loop.
class RelayFixture
{
public:
  RelayFixture()
    : mRelay(mLoop, mDialect, Settings(), mMetrics)
  {
    auto server = HttpServer::Builder(mLoop, { kGatewayIp, kGatewayPort })
                    .ForForwarding()
                    .OnRequest([this](HttpRequest aRequest, HttpResponder aRespond) {
                      mRelay.Handle(std::move(aRequest), std::move(aRespond));
                    })
                    .Start();
    CPPUNIT_ASSERT_MESSAGE(server ? "" : server.error().mMessage, server.has_value());
    mServer = *std::move(server);
  }

  // Adds a replica of aService with this behaviour.
  FakeReplica& Add(const std::string& aService, Behaviour aBehaviour)
  {
    auto replica = std::make_unique<FakeReplica>();
    FakeReplica& added = *replica;
    added.mBehaviour = std::move(aBehaviour);
    added.mInfo.mId = "i-" + std::to_string(mReplicas.size());
    added.mInfo.mService = aService;
    added.mInfo.mAddress = { kReplicaIp,
                             static_cast<std::uint16_t>(kFirstReplicaPort + mReplicas.size()) };
    added.mInfo.mDataCentre = "a";
    added.mInfo.mSlots = 2;
    added.mInfo.mState = UpstreamState::Ready;
    auto server = HttpServer::Builder(mLoop, added.mInfo.mAddress)
                    .ForForwarding()
                    .OnRequest([&added](const HttpRequest& aRequest, const HttpResponder& aAnswer) {
                      added.mGot.push_back(aRequest);
                      added.mBehaviour(aRequest, aAnswer);
                    })
                    .Start();
    CPPUNIT_ASSERT_MESSAGE(server ? "" : server.error().mMessage, server.has_value());
    added.mServer = *std::move(server);
    mReplicas.push_back(std::move(replica));
    return added;
  }

  // Publishes the replicas and one route with the prefix "/".
  void Begin(Route aRoute)
  {
    RoutingDocument document;
    document.mVersion = 1;
    std::set<std::string> services;
    std::vector<UpstreamInfo> upstreams;
    for (const auto& replica : mReplicas) {
      upstreams.push_back(replica->mInfo);
      if (services.insert(replica->mInfo.mService).second) {
        document.mServices.push_back({ replica->mInfo.mService, 100 });
      }
    }
    aRoute.mHost = "h";
    aRoute.mPathPrefix = "/";
    document.mRoutes = { std::move(aRoute) };
    mRelay.SetUpstreams(upstreams);
    mRelay.SetRouting(std::make_shared<RoutingTable>(document));
  }

  ClientReply Call(ClientRequest aRequest)
  {
    ClientReply result;
    aRequest.mAddress = { kGatewayIp, kGatewayPort };
    aRequest.mForwarded = true;
    aRequest.mTimeout = seconds(5);
    aRequest.mHeaders.push_back({ "Host", "h" });
    aRequest.mHeaders.push_back({ "X-Id", "id-1" });
    mClient.Send(std::move(aRequest), [&](ClientReply aReply) {
      result = std::move(aReply);
      mLoop.Stop();
    });
    mLoop.Run();
    return result;
  }

  ClientReply Get(const std::string& aTarget)
  {
    ClientRequest request;
    request.mMethod = "GET";
    request.mPath = aTarget;
    return Call(std::move(request));
  }

  Loop& EventLoop() { return mLoop; }
  Relay& Tier() { return mRelay; }
  // True if the page of metrics has this line.
  bool Shows(const std::string& aLine)
  {
    mRelay.UpdateGauges();
    return ("\n" + mMetrics.Text()).find("\n" + aLine + "\n") != std::string::npos;
  }

private:
  static RelaySettings Settings()
  {
    RelaySettings settings;
    settings.mDataCentre = "a";
    settings.mSourceIp = kGatewayIp;
    return settings;
  }

  Loop mLoop;
  Dialect mDialect{ TestNames(), {}, {}, {}, {} };
  MetricsRegistry mMetrics;
  Relay mRelay;
  HttpClient mClient{ mLoop, kGatewayIp, 10 };
  std::unique_ptr<HttpServer> mServer;
  std::vector<std::unique_ptr<FakeReplica>> mReplicas;
};

Route
OneService(bool aRepeatable)
{
  Route route;
  route.mName = "one";
  route.mRepeatable = aRepeatable;
  route.mTimeout = milliseconds(800);
  route.mObjective = milliseconds(100);
  route.mMaxAttempts = 2;
  route.mServices = { { "s", 1 } };
  return route;
}

Route
Gather(std::size_t aShards, double aMinCoverage)
{
  Route route = OneService(true);
  route.mName = "all";
  route.mTarget = RouteTarget::AllShards;
  route.mTopRecords = 3;
  route.mMinCoverage = aMinCoverage;
  route.mServices.clear();
  for (std::size_t i = 0; i < aShards; ++i) {
    route.mServices.push_back({ "s" + std::to_string(i), 1 });
  }
  return route;
}

Behaviour
Answers(int aStatus, const std::string& aBody, const std::string& aSignature)
{
  return [=](const HttpRequest& aRequest, const HttpResponder& aRespond) {
    aRespond(Signed(aRequest, aStatus, aBody, aSignature));
  };
}

// Keeps the responder, so that no answer comes.
Behaviour
Hangs(std::vector<HttpResponder>& aKept)
{
  return [&aKept](const HttpRequest&, const HttpResponder& aRespond) { aKept.push_back(aRespond); };
}

Behaviour
Sheds()
{
  return [](const HttpRequest&, const HttpResponder& aRespond) {
    aRespond({ 503, "", "text/plain", { { "X-Not-Run", "1" } } });
  };
}

// A listening socket that does not block.
int
ListenOn(const SocketAddress& aAddress)
{
  const auto native = ToNative(aAddress);
  CPPUNIT_ASSERT(native.has_value());
  const int fd = socket(native->mStorage.ss_family, SOCK_STREAM | SOCK_NONBLOCK, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  CPPUNIT_ASSERT_EQUAL(0, bind(fd, native->Raw(), native->mLength));
  CPPUNIT_ASSERT_EQUAL(0, listen(fd, 8));
  return fd;
}

} // namespace

class RelayTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RelayTest);
  CPPUNIT_TEST(RequestAndAnswerPassUnchanged);
  CPPUNIT_TEST(BodyPassesUnchanged);
  CPPUNIT_TEST(MergesEveryShard);
  CPPUNIT_TEST(LeavesOutAShardInTime);
  CPPUNIT_TEST(FailureOfAShardIsNoPart);
  CPPUNIT_TEST(TooFewShardsAreRefusedUnrun);
  CPPUNIT_TEST(ShedRequestGoesElsewhere);
  CPPUNIT_TEST(LostAnswerIsNotRepeatedIfUnsafe);
  CPPUNIT_TEST(RefusalOfAllReplicasIsTrue);
  CPPUNIT_TEST(SlowReplicaGetsASecondSend);
  CPPUNIT_TEST(CrossedAnswerIsNotPassedOn);
  CPPUNIT_TEST(WeightsAreKept);
  CPPUNIT_TEST(UnknownPathsAreNotFound);
  CPPUNIT_TEST(CallerThatLeavesIsWorkedForNoLonger);
  CPPUNIT_TEST(OpenRequestsAreAnsweredTrulyAtTheEnd);
  CPPUNIT_TEST(StoppingGatewayAsksToClose);
  CPPUNIT_TEST(ConnectionsAreOpenBeforeTheFirstRequest);
  CPPUNIT_TEST_SUITE_END();

public:
  void RequestAndAnswerPassUnchanged()
  {
    RelayFixture fixture;
    FakeReplica& replica = fixture.Add("s", Answers(201, "answer", "sig"));
    fixture.Begin(OneService(true));
    ClientRequest request;
    request.mMethod = "GET";
    request.mPath = "/a/../b%2Fc//d?x=%20&y";
    request.mHeaders = { { "X-Twice", "1" },
                         { "X-Twice", "2" },
                         { "Connection", "x-private" },
                         { "X-Private", "gone" },
                         { "X-Left", "300" } };
    const ClientReply reply = fixture.Call(request);
    CPPUNIT_ASSERT_EQUAL(201, reply.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("answer"), reply.mBody);
    CPPUNIT_ASSERT_EQUAL(std::string("sig"), std::string(reply.Header("x-signature")));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), replica.mGot.size());
    const HttpRequest& got = replica.mGot.front();
    CPPUNIT_ASSERT_EQUAL(std::string("/a/../b%2Fc//d?x=%20&y"), got.mTarget);
    CPPUNIT_ASSERT_EQUAL(std::string("h"), std::string(got.Header("host")));
    CPPUNIT_ASSERT_EQUAL(std::string("id-1"), std::string(got.Header("x-id")));
    CPPUNIT_ASSERT_EQUAL(std::string("i-0"), std::string(got.Header("x-expect")));
    CPPUNIT_ASSERT(got.Header("x-private").empty());
    const int left = std::stoi(std::string(got.Header("x-left")));
    CPPUNIT_ASSERT(left > 100 && left <= 300);
    const auto twice =
      std::count_if(got.mHeaderList.begin(), got.mHeaderList.end(), [](const HttpHeader& aHeader) {
        return aHeader.mName == "X-Twice";
      });
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(2), twice);
  }

  void BodyPassesUnchanged()
  {
    RelayFixture fixture;
    FakeReplica& replica = fixture.Add("s", Answers(200, "", "sig"));
    fixture.Begin(OneService(false));
    ClientRequest request;
    request.mMethod = "POST";
    request.mPath = "/p";
    request.mBody = std::string(50'000, 'x') + '\0' + "end";
    const ClientReply reply = fixture.Call(request);
    CPPUNIT_ASSERT_EQUAL(200, reply.mStatus);
    CPPUNIT_ASSERT(replica.mGot.at(0).mBody == request.mBody);
    CPPUNIT_ASSERT(replica.mGot.at(0).Header("content-type").empty());
  }

  void MergesEveryShard()
  {
    RelayFixture fixture;
    fixture.Add("s0", Answers(200, std::string(16, 'a') + std::string(16, 'd'), "p0"));
    fixture.Add("s1", Answers(200, std::string(16, 'c') + std::string(16, 'b') + "rest", "p1"));
    fixture.Begin(Gather(2, 0.5));
    const ClientReply reply = fixture.Get("/q");
    CPPUNIT_ASSERT_EQUAL(200, reply.mStatus);
    CPPUNIT_ASSERT(reply.mBody ==
                   std::string(16, 'd') + std::string(16, 'c') + std::string(16, 'b'));
    CPPUNIT_ASSERT_EQUAL(std::string("p0, p1"), std::string(reply.Header("x-parts")));
    CPPUNIT_ASSERT_EQUAL(std::string("0"), std::string(reply.Header("x-missing")));
  }

  void LeavesOutAShardInTime()
  {
    std::vector<HttpResponder> kept;
    RelayFixture fixture;
    fixture.Add("s0", Answers(200, std::string(16, 'a'), "p0"));
    fixture.Add("s1", Hangs(kept));
    fixture.Begin(Gather(2, 0.5));
    // The log must tell which shard is missing and where it was asked for.
    std::string logged;
    SetLogSink([&logged](std::string_view aLine) { logged.append(aLine); });
    StartLogger("test", LogLevel::Info);
    const TimePoint began = SteadyNow();
    const ClientReply reply = fixture.Get("/q");
    StopLogger();
    SetLogSink(nullptr);
    CPPUNIT_ASSERT_EQUAL(200, reply.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("p0"), std::string(reply.Header("x-parts")));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), std::string(reply.Header("x-missing")));
    CPPUNIT_ASSERT(
      fixture.Shows(R"(apricot_relay_answers_total{route="all",outcome="partial"} 1)"));
    CPPUNIT_ASSERT(fixture.Shows("apricot_relay_open_requests 0"));
    CPPUNIT_ASSERT(logged.find("answered=1") != std::string::npos);
    CPPUNIT_ASSERT(logged.find("missing=\"s1=i-1\"") != std::string::npos);
    CPPUNIT_ASSERT(logged.find("objective_over=true") != std::string::npos);
    // Well before the deadline of 800 ms.
    CPPUNIT_ASSERT(SteadyNow() - began < milliseconds(400));
  }

  void FailureOfAShardIsNoPart()
  {
    RelayFixture fixture;
    fixture.Add("s0", Answers(200, std::string(16, 'a'), "p0"));
    fixture.Add("s1", Answers(500, std::string(16, 'z'), "bad"));
    fixture.Begin(Gather(2, 0.5));
    const ClientReply partial = fixture.Get("/q");
    CPPUNIT_ASSERT_EQUAL(200, partial.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("p0"), std::string(partial.Header("x-parts")));
    CPPUNIT_ASSERT(partial.mBody == std::string(16, 'a'));
    fixture.Begin(Gather(2, 1.0));
    // A shard has run the request, so this is no refusal.
    CPPUNIT_ASSERT_EQUAL(502, fixture.Get("/q").mStatus);
  }

  void TooFewShardsAreRefusedUnrun()
  {
    RelayFixture fixture;
    FakeReplica& replica = fixture.Add("s0", Answers(200, std::string(16, 'a'), "p0"));
    fixture.Begin(Gather(2, 1.0));
    const ClientReply reply = fixture.Get("/q");
    CPPUNIT_ASSERT_EQUAL(503, reply.mStatus);
    CPPUNIT_ASSERT(std::stod(std::string(reply.Header("retry-after"))) > 0);
    CPPUNIT_ASSERT(replica.mGot.empty());
    CPPUNIT_ASSERT(
      fixture.Shows(R"(apricot_relay_answers_total{route="all",outcome="refused"} 1)"));
  }

  void ShedRequestGoesElsewhere()
  {
    for (const bool repeatable : { true, false }) {
      RelayFixture fixture;
      fixture.Add("s", Sheds());
      fixture.Add("s", Answers(200, "answer", "sig"));
      fixture.Begin(OneService(repeatable));
      for (int i = 0; i < 5; ++i) {
        CPPUNIT_ASSERT_EQUAL(200, fixture.Get("/q").mStatus);
      }
    }
  }

  // The replica breaks the connection off after it has read the request.
  void LostAnswerIsNotRepeatedIfUnsafe()
  {
    for (const bool repeatable : { true, false }) {
      RelayFixture fixture;
      std::size_t runs = 0;
      const auto breaksOff = [&runs](const HttpRequest& aRequest, const HttpResponder& aRespond) {
        ++runs;
        // The length promises more than comes, so the client sees a broken answer.
        HttpResponse response = Signed(aRequest, 200, "half", "sig");
        response.mHeaders.push_back({ "X-Id", "another" });
        aRespond(std::move(response));
      };
      fixture.Add("s", breaksOff);
      fixture.Add("s", breaksOff);
      fixture.Begin(OneService(repeatable));
      CPPUNIT_ASSERT_EQUAL(502, fixture.Get("/q").mStatus);
      CPPUNIT_ASSERT_EQUAL(std::size_t(repeatable ? 2 : 1), runs);
    }
  }

  void RefusalOfAllReplicasIsTrue()
  {
    {
      RelayFixture fixture;
      fixture.Add("s", Sheds());
      fixture.Add("s", Sheds());
      fixture.Begin(OneService(false));
      const ClientReply refused = fixture.Get("/q");
      CPPUNIT_ASSERT_EQUAL(503, refused.mStatus);
      CPPUNIT_ASSERT(!refused.Header("retry-after").empty());
    }
    RelayFixture failing;
    failing.Add("s", Answers(500, "broken", "sig"));
    failing.Begin(OneService(false));
    // The replica's own failure is passed on as it is.
    const ClientReply failed = failing.Get("/q");
    CPPUNIT_ASSERT_EQUAL(500, failed.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("broken"), failed.mBody);
  }

  void SlowReplicaGetsASecondSend()
  {
    std::vector<HttpResponder> kept;
    RelayFixture fixture;
    FakeReplica& slow = fixture.Add("s", Hangs(kept));
    FakeReplica& fast = fixture.Add("s", Answers(200, "answer", "sig"));
    fixture.Begin(OneService(true));
    for (int i = 0; i < 6; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, fixture.Get("/q").mStatus);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), fast.mGot.size());
    // A replica that owes an answer gets nothing more.
    CPPUNIT_ASSERT(slow.mGot.size() <= 2);
  }

  void CrossedAnswerIsNotPassedOn()
  {
    RelayFixture fixture;
    fixture.Add("s", [](const HttpRequest&, const HttpResponder& aRespond) {
      aRespond({ 200, "not yours", "text/plain", { { "X-Id", "other" }, { "X-Signature", "q" } } });
    });
    fixture.Begin(OneService(true));
    const ClientReply reply = fixture.Get("/q");
    CPPUNIT_ASSERT_EQUAL(502, reply.mStatus);
    CPPUNIT_ASSERT(reply.mBody.find("not yours") == std::string::npos);
  }

  void WeightsAreKept()
  {
    RelayFixture fixture;
    FakeReplica& three = fixture.Add("s", Answers(200, "", "sig"));
    FakeReplica& one = fixture.Add("t", Answers(200, "", "sig"));
    Route route = OneService(true);
    route.mServices = { { "s", 3 }, { "t", 1 } };
    fixture.Begin(route);
    for (int i = 0; i < 400; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, fixture.Get("/q").mStatus);
    }
    // The share of the first one lies within 0.1 of three quarters.
    CPPUNIT_ASSERT(three.mGot.size() > 260 && three.mGot.size() < 340);
    CPPUNIT_ASSERT_EQUAL(std::size_t(400), three.mGot.size() + one.mGot.size());
  }

  void UnknownPathsAreNotFound()
  {
    RelayFixture fixture;
    // Before the first document nothing is known, so nothing is denied.
    CPPUNIT_ASSERT_EQUAL(503, fixture.Get("/q").mStatus);
    fixture.Add("s", Answers(200, "answer", "sig"));
    Route route = OneService(true);
    fixture.Begin(route);
    CPPUNIT_ASSERT_EQUAL(200, fixture.Get("/q").mStatus);
    RoutingDocument empty;
    empty.mVersion = 2;
    fixture.Tier().SetRouting(std::make_shared<RoutingTable>(empty));
    CPPUNIT_ASSERT_EQUAL(404, fixture.Get("/q").mStatus);
  }

  void CallerThatLeavesIsWorkedForNoLonger()
  {
    std::vector<HttpResponder> kept;
    bool cancelled = false;
    RelayFixture fixture;
    fixture.Add("s", [&](const HttpRequest&, const HttpResponder& aRespond) {
      kept.push_back(aRespond);
      kept.back().OnCallerGone([&] {
        cancelled = true;
        fixture.EventLoop().Stop();
      });
    });
    fixture.Begin(OneService(true));
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kGatewayPort);
    inet_pton(AF_INET, kGatewayIp.c_str(), &address.sin_addr);
    CPPUNIT_ASSERT_EQUAL(0, connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
    const std::string request = "GET /q HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\n\r\n";
    CPPUNIT_ASSERT(write(fd, request.data(), request.size()) > 0);
    const TimePoint began = SteadyNow();
    fixture.EventLoop().AddTimer(began + milliseconds(100), [fd] { close(fd); });
    // Without the cancellation the test ends here.
    fixture.EventLoop().AddTimer(began + milliseconds(700), [&] { fixture.EventLoop().Stop(); });
    fixture.EventLoop().Run();
    CPPUNIT_ASSERT(cancelled);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.Tier().OpenRequests());
  }

  void OpenRequestsAreAnsweredTrulyAtTheEnd()
  {
    std::vector<HttpResponder> kept;
    RelayFixture fixture;
    fixture.Add("s", Hangs(kept));
    fixture.Begin(OneService(false));
    fixture.EventLoop().AddTimer(SteadyNow() + milliseconds(100),
                                 [&fixture] { fixture.Tier().Abandon(); });
    // The replica has run it, so it is no refusal.
    CPPUNIT_ASSERT_EQUAL(502, fixture.Get("/q").mStatus);
  }

  void StoppingGatewayAsksToClose()
  {
    RelayFixture fixture;
    fixture.Add("s", Answers(200, "answer", "sig"));
    fixture.Begin(OneService(true));
    CPPUNIT_ASSERT(fixture.Get("/q").Header("connection") != "close");
    fixture.Tier().BeginStop();
    CPPUNIT_ASSERT_EQUAL(std::string("close"), std::string(fixture.Get("/q").Header("connection")));
  }

  void ConnectionsAreOpenBeforeTheFirstRequest()
  {
    RelayFixture fixture;
    FakeReplica& replica = fixture.Add("s", Answers(200, "", "s1"));
    // A bare socket takes the server's place, so that its connections can be counted.
    replica.mServer.reset();
    const int listener = ListenOn(replica.mInfo.mAddress);
    fixture.Begin(OneService(true));
    fixture.EventLoop().AddTimer(SteadyNow() + milliseconds(300),
                                 [&fixture] { fixture.EventLoop().Stop(); });
    fixture.EventLoop().Run();
    const int first = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
    const int second = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
    CPPUNIT_ASSERT(first >= 0);
    CPPUNIT_ASSERT(second < 0);
    close(first);
    close(listener);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);
