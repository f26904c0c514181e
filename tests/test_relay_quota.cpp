// Guards against requests that run without a token of their workspace, tokens that are lost with
// requests that did not run, and waiting requests that are never answered.
#include "caller_identity.h"
#include "crashing_server.h"
#include "process_protocol.h"
#include "quota_share.h"
#include "relay.h"
#include "test_address.h"

#include <deque>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string kGatewayIp = TestIp(11);
const std::string kReplicaIp = TestIp(12);
constexpr std::uint16_t kGatewayPort = 7911;
constexpr std::uint16_t kReplicaPort = 7920;
constexpr std::uint16_t kOtherGatewayPort = 7921;
constexpr double kRate = 10;

// How the owner answers a call.
using Owner = std::function<std::optional<QuotaReply>(const QuotaCall&)>;

QuotaReply
Reply(const QuotaCall& aCall, std::uint32_t aGranted, Duration aWait)
{
  QuotaReply reply;
  reply.mTerm = 1;
  for (const QuotaDemand& demand : aCall.mDemands) {
    reply.mGrants.push_back({ demand.mWorkspace, aGranted, aWait, 0, 0 });
  }
  return reply;
}

// Grants what is asked for.
std::optional<QuotaReply>
GrantAll(const QuotaCall& aCall)
{
  return Reply(aCall, aCall.mDemands.front().mWanted, {});
}

// A relay behind an HTTP server, one replica, and an owner of the quotas that answers after 1 ms.
class QuotaFixture
{
public:
  explicit QuotaFixture(double aRate = kRate, bool aPublicRoute = false)
    : mRelay(mLoop, mProtocol, Settings(), mMetrics)
  {
    mProtocol.mDecodeKey = [](const HttpRequest& aRequest) { return aRequest.Header("x-key"); };
    mServer = *HttpServer::Builder(mLoop, { kGatewayIp, kGatewayPort })
                 .PreserveRawRequest()
                 .OnRequest([this](HttpRequest aRequest, HttpResponder aRespond) {
                   mRelay.Handle(std::move(aRequest), std::move(aRespond));
                 })
                 .Start();
    mReplica = *HttpServer::Builder(mLoop, { kReplicaIp, kReplicaPort })
                  .PreserveRawRequest()
                  .OnRequest([this](const HttpRequest& aRequest, const HttpResponder& aRespond) {
                    ++mRuns;
                    aRespond(MakeReplicaResponse(aRequest));
                  })
                  .Start();
    mRelay.SetQuotaCaller(7, [this](const QuotaCall& aCall) {
      mCalls.push_back(aCall);
      if (!mOwner) {
        return;
      }
      mLoop.AddTimer(SteadyNow() + milliseconds(1), [this, aCall, reply = mOwner(aCall)] {
        mRelay.OnQuotaReply(aCall.mNumber, reply);
      });
    });
    Publish(aRate, aPublicRoute);
  }

  ClientReply Get(const std::vector<HttpHeader>& aHeaders = {})
  {
    ClientReply result;
    Send(
      [&](ClientReply aReply) {
        result = std::move(aReply);
        mLoop.Stop();
      },
      aHeaders);
    mLoop.Run();
    return result;
  }

  TransferId Send(std::function<void(ClientReply)> aHandler,
                  const std::vector<HttpHeader>& aHeaders = {})
  {
    ClientRequest request;
    request.mMethod = "GET";
    request.mPath = "/q";
    request.mAddress = { kGatewayIp, kGatewayPort };
    request.mForwarded = true;
    request.mTimeout = seconds(5);
    request.mHeaders = { { "Host", "h" }, { "X-Id", "id-1" }, { "X-Key", "secret" } };
    request.mHeaders.insert(request.mHeaders.end(), aHeaders.begin(), aHeaders.end());
    return mClient.Send(std::move(request), std::move(aHandler));
  }

  // Puts an address that accepts no connection in the place of the replica, and names another
  // gateway, which counts in mRuns, once the relay notices.
  std::unique_ptr<SilentAddress> CutOffReplica()
  {
    mReplica = *HttpServer::Builder(mLoop, { kReplicaIp, kOtherGatewayPort })
                  .PreserveRawRequest()
                  .OnRequest([this](const HttpRequest& aRequest, const HttpResponder& aRespond) {
                    ++mRuns;
                    aRespond(MakeReplicaResponse(aRequest));
                  })
                  .Start();
    mRelay.SetReachabilityHandler([this] {
      mRelay.SetPeers({ { kReplicaIp, kOtherGatewayPort } });
    });
    return std::make_unique<SilentAddress>(SocketAddress{ kReplicaIp, kReplicaPort }, false);
  }

  void RunFor(Duration aTime)
  {
    mLoop.AddTimer(SteadyNow() + aTime, [this] { mLoop.Stop(); });
    mLoop.Run();
  }

  std::string Metrics() { return mMetrics.Text(); }

  // Set by tests.
  Owner mOwner = GrantAll;
  bool mReplicaRefuses = false;
  // Seen by tests.
  std::vector<QuotaCall> mCalls;
  std::size_t mRuns = 0;

  Loop mLoop;
  HttpClient mClient{ mLoop, kGatewayIp, 10 };

private:
  static RelaySettings Settings()
  {
    RelaySettings settings;
    settings.mDataCentre = "a";
    settings.mSourceIp = kGatewayIp;
    return settings;
  }

  HttpResponse MakeReplicaResponse(const HttpRequest& aRequest) const
  {
    if (mReplicaRefuses) {
      return { 503, "", "text/plain", { { "X-Not-Run", "1" } } };
    }
    return { 200,
             "answer",
             "text/plain",
             { { "X-Id", std::string(aRequest.Header("x-id")) }, { "X-Signature", "s" } } };
  }

  void Publish(double aRate, bool aPublicRoute)
  {
    RoutingDocument document;
    document.mVersion = 1;
    document.mServices.push_back({ "s", 100 });
    Route route;
    route.mName = "one";
    route.mHost = "h";
    route.mPathPrefix = "/";
    route.mTimeout = seconds(3);
    route.mObjective = milliseconds(100);
    route.mMaxAttempts = 2;
    route.mPublic = aPublicRoute;
    route.mServices = { { "s", 1 } };
    document.mRoutes = { route };
    if (aRate >= 0) {
      Workspace workspace;
      workspace.mName = "w";
      workspace.mKeys = { DigestKey("secret") };
      workspace.mRate = aRate;
      workspace.mBurst = kRate;
      document.mWorkspaces = { workspace };
    }
    UpstreamInfo upstream;
    upstream.mId = "i-0";
    upstream.mService = "s";
    upstream.mAddress = { kReplicaIp, kReplicaPort };
    upstream.mDataCentre = "a";
    upstream.mSlots = 2;
    upstream.mState = UpstreamState::Ready;
    mRelay.SetUpstreams({ upstream });
    mRelay.SetRouting(std::make_shared<RoutingTable>(document));
  }

  PlatformProtocol mProtocol{ TestHeaderNames(), {}, {}, {}, {} };
  MetricsRegistry mMetrics;

public:
  Relay mRelay;

private:
  std::unique_ptr<HttpServer> mServer;
  std::unique_ptr<HttpServer> mReplica;
};

double
RetryAfter(const ClientReply& aReply)
{
  const std::string text(aReply.Header("retry-after"));
  return text.empty() ? -1 : std::stod(text);
}

} // namespace

class RelayQuotaTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RelayQuotaTest);
  CPPUNIT_TEST(RequestsWithoutLimitTakeNoStep);
  CPPUNIT_TEST(GrantedRequestRuns);
  CPPUNIT_TEST(ExtraTokenServesTheNextRequestAtOnce);
  CPPUNIT_TEST(RequestOverTheQuotaIsRefused);
  CPPUNIT_TEST(ShortWaitIsWaitedFor);
  CPPUNIT_TEST(RequestWithoutOwnerIsRefused);
  CPPUNIT_TEST(RequestWithoutOwnerPassesByTheReserve);
  CPPUNIT_TEST(TokenOfARequestThatDidNotRunIsReturned);
  CPPUNIT_TEST(TokenOfACallerThatLeftServesAnother);
  CPPUNIT_TEST(AbortAnswersWaitingRequests);
  CPPUNIT_TEST(RequestsThatArriveDuringACallShareTheNext);
  CPPUNIT_TEST(DeadlineEndsTheWait);
  CPPUNIT_TEST(RequestThatIsPassedOnReturnsItsToken);
  CPPUNIT_TEST(RequestThatWasPassedOnTakesItsTokenHere);
  CPPUNIT_TEST_SUITE_END();

public:
  void RequestsWithoutLimitTakeNoStep()
  {
    for (const double rate : { -1.0, 0.0 }) {
      QuotaFixture fixture(rate);
      CPPUNIT_ASSERT_EQUAL(200, fixture.Get().mStatus);
      CPPUNIT_ASSERT(fixture.mCalls.empty());
    }
    QuotaFixture publicRoute(kRate, true);
    CPPUNIT_ASSERT_EQUAL(200, publicRoute.Get().mStatus);
    CPPUNIT_ASSERT(publicRoute.mCalls.empty());
  }

  void GrantedRequestRuns()
  {
    QuotaFixture fixture;
    CPPUNIT_ASSERT_EQUAL(200, fixture.Get().mStatus);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mCalls.size());
    const QuotaCall& call = fixture.mCalls.front();
    CPPUNIT_ASSERT_EQUAL(kGatewayIp, call.mGateway);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 7 }, call.mIncarnation);
    CPPUNIT_ASSERT_EQUAL(std::string("w"), call.mDemands.front().mWorkspace);
    CPPUNIT_ASSERT_EQUAL(1U, call.mDemands.front().mWanted);
    CPPUNIT_ASSERT(fixture.Metrics().find("apricot_quota_requests_total{decision=\"granted\"} 1") !=
                   std::string::npos);
  }

  void ExtraTokenServesTheNextRequestAtOnce()
  {
    QuotaFixture fixture;
    fixture.mOwner = [](const QuotaCall& aCall) { return Reply(aCall, 2, {}); };
    CPPUNIT_ASSERT_EQUAL(200, fixture.Get().mStatus);
    CPPUNIT_ASSERT_EQUAL(200, fixture.Get().mStatus);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mCalls.size());
    // Without a request the token goes back.
    CPPUNIT_ASSERT_EQUAL(200, fixture.Get().mStatus);
    fixture.RunFor(kTokenLifetime + kQuotaRenewal + milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, fixture.mCalls.size());
    CPPUNIT_ASSERT_EQUAL(1U, fixture.mCalls.back().mDemands.front().mReturned);
    CPPUNIT_ASSERT_EQUAL(0U, fixture.mCalls.back().mDemands.front().mWanted);
  }

  void RequestOverTheQuotaIsRefused()
  {
    QuotaFixture fixture;
    fixture.mOwner = [](const QuotaCall& aCall) { return Reply(aCall, 0, milliseconds(400)); };
    const ClientReply reply = fixture.Get();
    CPPUNIT_ASSERT_EQUAL(429, reply.mStatus);
    CPPUNIT_ASSERT(RetryAfter(reply) >= 0.4 && RetryAfter(reply) <= 0.61);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.mRuns);
  }

  void ShortWaitIsWaitedFor()
  {
    QuotaFixture fixture;
    fixture.mOwner = [&](const QuotaCall& aCall) {
      return Reply(aCall, fixture.mCalls.size() > 1 ? 1 : 0, milliseconds(20));
    };
    CPPUNIT_ASSERT_EQUAL(200, fixture.Get().mStatus);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.mCalls.size());
    // Only once, and only if the wait is short.
    fixture.mOwner = [](const QuotaCall& aCall) { return Reply(aCall, 0, milliseconds(20)); };
    CPPUNIT_ASSERT_EQUAL(429, fixture.Get().mStatus);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, fixture.mCalls.size());
  }

  void RequestWithoutOwnerIsRefused()
  {
    QuotaFixture fixture;
    fixture.mOwner = nullptr;
    const TimePoint start = SteadyNow();
    const ClientReply reply = fixture.Get();
    CPPUNIT_ASSERT_EQUAL(503, reply.mStatus);
    CPPUNIT_ASSERT(RetryAfter(reply) > 0);
    CPPUNIT_ASSERT(SteadyNow() - start < kQuotaCallTimeout + milliseconds(200));
    // The next one does not wait for a call.
    const TimePoint later = SteadyNow();
    CPPUNIT_ASSERT_EQUAL(503, fixture.Get().mStatus);
    CPPUNIT_ASSERT(SteadyNow() - later < milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.mRuns);
  }

  void RequestWithoutOwnerPassesByTheReserve()
  {
    QuotaFixture fixture;
    fixture.mOwner = [](const QuotaCall& aCall) {
      QuotaReply reply = Reply(aCall, 1, {});
      reply.mGrants.front().mReserve = 1;
      return reply;
    };
    CPPUNIT_ASSERT_EQUAL(200, fixture.Get().mStatus);
    fixture.mOwner = [](const QuotaCall&) { return std::nullopt; };
    CPPUNIT_ASSERT_EQUAL(200, fixture.Get().mStatus);
    CPPUNIT_ASSERT_EQUAL(503, fixture.Get().mStatus);
    fixture.mOwner = GrantAll;
    fixture.RunFor(kOwnerRetry + milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(1U, fixture.mCalls.back().mDemands.front().mUsedAlone);
    CPPUNIT_ASSERT_EQUAL(200, fixture.Get().mStatus);
  }

  void TokenOfARequestThatDidNotRunIsReturned()
  {
    QuotaFixture fixture;
    fixture.mReplicaRefuses = true;
    CPPUNIT_ASSERT_EQUAL(503, fixture.Get().mStatus);
    CPPUNIT_ASSERT(fixture.mRuns > 0);
    fixture.RunFor(kQuotaRenewal + milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.mCalls.size());
    CPPUNIT_ASSERT_EQUAL(1U, fixture.mCalls.back().mDemands.front().mReturned);
  }

  void TokenOfACallerThatLeftServesAnother()
  {
    QuotaFixture fixture;
    fixture.mOwner = nullptr;
    const TransferId transfer = fixture.Send([](const ClientReply&) {});
    fixture.RunFor(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mCalls.size());
    fixture.mClient.Cancel(transfer);
    fixture.RunFor(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.mRelay.OpenRequests());
    fixture.mRelay.OnQuotaReply(1, GrantAll(fixture.mCalls.front()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.mRuns);
    CPPUNIT_ASSERT_EQUAL(200, fixture.Get().mStatus);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mCalls.size());
  }

  void AbortAnswersWaitingRequests()
  {
    QuotaFixture fixture;
    fixture.mOwner = nullptr;
    fixture.mLoop.AddTimer(SteadyNow() + milliseconds(50),
                           [&fixture] { fixture.mRelay.AbortOpenRequests(); });
    const TimePoint start = SteadyNow();
    CPPUNIT_ASSERT_EQUAL(503, fixture.Get().mStatus);
    CPPUNIT_ASSERT(SteadyNow() - start < kQuotaCallTimeout);
    // A late reply must not run it.
    fixture.mRelay.OnQuotaReply(1, GrantAll(fixture.mCalls.front()));
    fixture.RunFor(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.mRuns);
  }

  void RequestsThatArriveDuringACallShareTheNext()
  {
    QuotaFixture fixture;
    fixture.mOwner = nullptr;
    int answered = 0;
    for (int i = 0; i < 4; ++i) {
      fixture.Send(
        [&answered](const ClientReply& aReply) { answered += aReply.mStatus == 200 ? 1 : 0; });
      fixture.RunFor(milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mCalls.size());
    fixture.mOwner = GrantAll;
    fixture.mRelay.OnQuotaReply(1, GrantAll(fixture.mCalls.front()));
    fixture.RunFor(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.mCalls.size());
    CPPUNIT_ASSERT_EQUAL(3U, fixture.mCalls.back().mDemands.front().mWanted);
    CPPUNIT_ASSERT_EQUAL(4, answered);
  }

  void DeadlineEndsTheWait()
  {
    QuotaFixture fixture;
    fixture.mOwner = nullptr;
    const TimePoint start = SteadyNow();
    const ClientReply reply = fixture.Get({ { "X-Left", "100" } });
    CPPUNIT_ASSERT_EQUAL(503, reply.mStatus);
    CPPUNIT_ASSERT(RetryAfter(reply) > 0);
    CPPUNIT_ASSERT(SteadyNow() - start < kQuotaCallTimeout);
    fixture.mRelay.OnQuotaReply(1, GrantAll(fixture.mCalls.front()));
    fixture.RunFor(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.mRuns);
  }

  void RequestThatIsPassedOnReturnsItsToken()
  {
    QuotaFixture fixture;
    const auto silent = fixture.CutOffReplica();
    CPPUNIT_ASSERT_EQUAL(200, fixture.Get().mStatus);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mRuns);
    CPPUNIT_ASSERT_EQUAL(1U, fixture.mCalls.front().mDemands.front().mWanted);
    fixture.RunFor(kQuotaRenewal + milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.mCalls.size());
    CPPUNIT_ASSERT_EQUAL(1U, fixture.mCalls.back().mDemands.front().mReturned);
    // The next one is passed on at once and takes no token here.
    CPPUNIT_ASSERT_EQUAL(200, fixture.Get().mStatus);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.mCalls.size());
  }

  void RequestThatWasPassedOnTakesItsTokenHere()
  {
    QuotaFixture fixture;
    fixture.mOwner = [](const QuotaCall& aCall) { return Reply(aCall, 0, milliseconds(400)); };
    CPPUNIT_ASSERT_EQUAL(429, fixture.Get({ { "apricot-passed-on", "1" } }).mStatus);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mCalls.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.mRuns);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayQuotaTest);
