// Guards against gathers that fail because a gateway's own part of the extra sends is used up while
// most of the fleet-wide limit is not, and against a pool that exceeds this limit.
#include "extra_send_pool.h"
#include "http_server.h"
#include "process_protocol.h"
#include "relay.h"
#include "test_address.h"

#include <deque>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint16_t kPort = 7831;

ExtraBudgetLimits
Limits()
{
  ExtraBudgetLimits limits;
  limits.mRatio = 0.2;
  limits.mWindow = seconds(10);
  limits.mFixed = 256;
  return limits;
}

// Two replicas, of which the first rejects all requests, behind a relay whose own part of the extra
// sends is empty.
class PoolFixture
{
public:
  PoolFixture(bool aPooled, std::size_t aGateways, bool aGranted)
    : mRelay(mLoop, mProtocol, Settings(aPooled), mMetrics)
  {
    mServer = *HttpServer::Builder(mLoop, { TestIp(41), kPort })
                 .PreserveRawRequest()
                 .OnRequest([this](HttpRequest aRequest, HttpResponder aRespond) {
                   mRelay.Handle(std::move(aRequest), std::move(aRespond));
                 })
                 .Start();
    for (const int host : { 42, 43 }) {
      mReplicas.push_back(
        *HttpServer::Builder(mLoop, { TestIp(host), kPort })
           .PreserveRawRequest()
           .OnRequest([host](const HttpRequest& aRequest, const HttpResponder& aRespond) {
             const HttpHeader id{ "X-Id", std::string(aRequest.Header("x-id")) };
             aRespond(host == 42 ? HttpResponse{ 503, "", "text/plain", { { "X-Not-Run", "1" } } }
                                 : HttpResponse{
                                     200, "answer", "text/plain", { id, { "X-Signature", "s" } } });
           })
           .Start());
    }
    mRelay.SetGatewayCount(aGateways);
    mRelay.SetQuotaCaller(1, [this, aGranted](const QuotaCall& aCall) {
      QuotaReply reply;
      reply.mTerm = 1;
      for (const QuotaDemand& demand : aCall.mDemands) {
        mAsked.push_back(demand.mWorkspace);
        reply.mGrants.push_back({ demand.mWorkspace, aGranted ? demand.mWanted : 0, {}, 0, 0, {} });
      }
      mLoop.AddTimer(SteadyNow() + milliseconds(1),
                     [this, number = aCall.mNumber, reply] { mRelay.OnQuotaReply(number, reply); });
    });
    Publish();
  }

  int Get()
  {
    int status = 0;
    ClientRequest request;
    request.mMethod = "GET";
    request.mPath = "/q";
    request.mAddress = { TestIp(41), kPort };
    request.mForwarded = true;
    request.mTimeout = seconds(5);
    request.mHeaders = { { "Host", "h" }, { "X-Id", "id-1" } };
    mClient.Send(std::move(request), [&](const ClientReply& aReply) {
      status = aReply.mStatus;
      mLoop.Stop();
    });
    mLoop.Run();
    return status;
  }

  std::vector<std::string> mAsked;

private:
  static RelaySettings Settings(bool aPooled)
  {
    RelaySettings settings;
    settings.mDataCentre = "a";
    settings.mSourceIp = TestIp(41);
    settings.mExtraSends.mRatio = 0;
    settings.mExtraSends.mFixed = 0;
    settings.mPooledExtraSends = aPooled;
    return settings;
  }

  void Publish()
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
    route.mServices = { { "s", 1 } };
    document.mRoutes = { route };
    std::vector<UpstreamInfo> upstreams;
    for (const int host : { 42, 43 }) {
      UpstreamInfo upstream;
      upstream.mId = "i-" + std::to_string(host);
      upstream.mService = "s";
      upstream.mAddress = { TestIp(host), kPort };
      upstream.mDataCentre = "a";
      upstream.mSlots = 2;
      upstream.mState = UpstreamState::Ready;
      upstreams.push_back(upstream);
    }
    mRelay.SetUpstreams(upstreams);
    mRelay.SetRouting(std::make_shared<RoutingTable>(document));
  }

  Loop mLoop;
  HttpClient mClient{ mLoop, TestIp(41), 10 };
  PlatformProtocol mProtocol{ TestHeaderNames(), {}, {}, {}, {} };
  MetricsRegistry mMetrics;
  Relay mRelay;
  std::unique_ptr<HttpServer> mServer;
  std::vector<std::unique_ptr<HttpServer>> mReplicas;
};

// Plays requests until the rejecting replica was tried. Returns the statuses.
std::set<int>
StatusesOf(PoolFixture& aFixture)
{
  std::set<int> statuses;
  for (int i = 0; i < 12; ++i) {
    statuses.insert(aFixture.Get());
  }
  return statuses;
}

} // namespace

class ExtraSendPoolTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ExtraSendPoolTest);
  CPPUNIT_TEST(NamesDifferFromWorkspaces);
  CPPUNIT_TEST(GatewaysAndPoolStayWithinTheLimit);
  CPPUNIT_TEST(UnknownServiceHasNoPool);
  CPPUNIT_TEST(RejectedRequestIsRetriedByTheToken);
  CPPUNIT_TEST(RequestWithoutTokenFails);
  CPPUNIT_TEST(FewGatewaysUseTheirOwnPart);
  CPPUNIT_TEST_SUITE_END();

public:
  void NamesDifferFromWorkspaces()
  {
    CPPUNIT_ASSERT(IsExtraSendPool(ExtraSendPool("s")));
    CPPUNIT_ASSERT(!IsExtraSendPool("s"));
    CPPUNIT_ASSERT(!IsExtraSendPool(""));
    CPPUNIT_ASSERT(ExtraSendPool("s") != ExtraSendPool("t"));
  }

  // Load: every gateway asks for more than the pool has, all the time.
  void GatewaysAndPoolStayWithinTheLimit()
  {
    // The burst and what accrues in a window, which the load below reaches only in part.
    const QuotaLimit limit = ExtraSendPoolLimit(Limits());
    const double window = std::chrono::duration<double>(Limits().mWindow).count();
    CPPUNIT_ASSERT(limit.mBurst + limit.mRate * window <=
                   kPooledFixedPart * Limits().mFixed + 1e-9);
    const std::string pool = ExtraSendPool("s");
    QuotaLedger ledger = StartQuotaLedger(1, TimePoint(seconds(100)));
    SetQuotaLimits(ledger, { { pool, ExtraSendPoolLimit(Limits()) } }, TimePoint(seconds(100)));
    std::deque<std::pair<TimePoint, std::uint32_t>> granted;
    std::uint64_t number = 0;
    double most = 0;
    for (int step = 0; step < 6000; ++step) {
      const TimePoint now = TimePoint(seconds(110)) + milliseconds(10) * step;
      QuotaCall call;
      call.mGateway = "10.0.0." + std::to_string(step % 30);
      call.mIncarnation = 1;
      call.mNumber = ++number;
      call.mTerm = 1;
      call.mDemands = { { pool, 3, 0, 0, 0 } };
      const auto reply = AcquireQuota(ledger, call, now);
      CPPUNIT_ASSERT(reply.has_value());
      granted.emplace_back(now, reply->mGrants.front().mGranted);
      while (granted.front().first + Limits().mWindow < now) {
        granted.pop_front();
      }
      double sum = 0;
      for (const auto& [at, count] : granted) {
        sum += count;
      }
      most = std::max(most, sum);
    }
    const double own = kBudgetSafetyFactor * OwnExtraSendLimits(Limits(), true).mFixed;
    CPPUNIT_ASSERT(most + own <= Limits().mFixed);
    CPPUNIT_ASSERT(most >= 0.5 * kPooledFixedPart * Limits().mFixed);
  }

  void UnknownServiceHasNoPool()
  {
    QuotaLedger ledger = StartQuotaLedger(1, TimePoint(seconds(100)));
    QuotaCall call;
    call.mGateway = "10.0.0.1";
    call.mIncarnation = 1;
    call.mNumber = 1;
    call.mDemands = { { ExtraSendPool("s"), 1, 0, 0, 0 } };
    const auto reply = AcquireQuota(ledger, call, TimePoint(seconds(110)));
    CPPUNIT_ASSERT(reply.has_value());
    CPPUNIT_ASSERT_EQUAL(0U, reply->mGrants.front().mGranted);
  }

  void RejectedRequestIsRetriedByTheToken()
  {
    PoolFixture fixture(true, kMinGatewaysForPool, true);
    CPPUNIT_ASSERT(StatusesOf(fixture) == std::set<int>{ 200 });
    CPPUNIT_ASSERT(!fixture.mAsked.empty());
    CPPUNIT_ASSERT_EQUAL(ExtraSendPool("s"), fixture.mAsked.front());
  }

  void RequestWithoutTokenFails()
  {
    PoolFixture fixture(true, kMinGatewaysForPool, false);
    const std::set<int> statuses = StatusesOf(fixture);
    CPPUNIT_ASSERT(statuses.contains(503));
    CPPUNIT_ASSERT(!fixture.mAsked.empty());
  }

  void FewGatewaysUseTheirOwnPart()
  {
    for (const auto& [pooled, gateways] :
         { std::pair(true, kMinGatewaysForPool - 1), std::pair(false, kMinGatewaysForPool) }) {
      PoolFixture fixture(pooled, gateways, true);
      CPPUNIT_ASSERT(StatusesOf(fixture).contains(503));
      CPPUNIT_ASSERT(fixture.mAsked.empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExtraSendPoolTest);
