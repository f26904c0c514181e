// Guards against keys or forged workspaces that reach replicas, requests that run with an unknown
// or revoked key, and requests that are refused although every document allows them.
#include "caller_identity.h"
#include "crashing_server.h"
#include "process_protocol.h"
#include "reachability.h"
#include "relay.h"
#include "settings.h"
#include "simulated_suspension.h"
#include "test_address.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace apricotyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string kGatewayIp = TestIp(31);
const std::string kReplicaIp = TestIp(32);
constexpr std::uint16_t kGatewayPort = 7911;
constexpr std::uint16_t kFirstReplicaPort = 7920;
constexpr std::uint16_t kOtherGatewayPort = 7919;
constexpr Duration kLimit = seconds(5);
// So many gateways share a replica that each may have one request running there.
constexpr std::size_t kGatewaysForOneConnection = 50;

using RequestHandler = std::function<void(const HttpRequest&, const HttpResponder&)>;

Workspace
MakeWorkspace(const std::string& aName, const std::string& aKey)
{
  Workspace workspace;
  workspace.mName = aName;
  workspace.mKeys = { DigestKey(aKey) };
  return workspace;
}

// Routes to the services s and t: one replica of s, one of each, and one of s without a key.
RoutingDocument
MakeDocument(std::vector<Workspace> aWorkspaces)
{
  RoutingDocument document;
  document.mVersion = 1;
  document.mServices = { { "s", 100 }, { "t", 100 } };
  Route route;
  route.mName = "one";
  route.mHost = "h";
  route.mPathPrefix = "/one/";
  route.mTimeout = milliseconds(800);
  route.mObjective = milliseconds(100);
  route.mPriority = 1;
  route.mMaxAttempts = 2;
  route.mServices = { { "s", 1 } };
  document.mRoutes.push_back(route);
  route.mName = "all";
  route.mPathPrefix = "/all/";
  route.mTarget = RouteTarget::AllShards;
  route.mTopRecords = 3;
  route.mMinCoverage = 0.9;
  route.mServices = { { "s", 1 }, { "t", 1 } };
  document.mRoutes.push_back(route);
  route = document.mRoutes.front();
  route.mName = "public";
  route.mPathPrefix = "/public/";
  route.mPublic = true;
  document.mRoutes.push_back(route);
  document.mWorkspaces = std::move(aWorkspaces);
  return document;
}

std::shared_ptr<const RoutingTable>
MakeTable(std::vector<Workspace> aWorkspaces)
{
  return std::make_shared<RoutingTable>(MakeDocument(std::move(aWorkspaces)));
}

HttpResponse
Answer(const HttpRequest& aRequest)
{
  return { 200,
           "",
           "text/plain",
           { { "X-Id", std::string(aRequest.Header("x-id")) }, { "X-Signature", "s1" } } };
}

void
RespondAnswer(const HttpRequest& aRequest, const HttpResponder& aRespond)
{
  aRespond(Answer(aRequest));
}

// States that the request was not run.
void
RespondNotRun(const HttpRequest& /*aRequest*/, const HttpResponder& aRespond)
{
  aRespond({ 503, "", "text/plain", { { "X-Not-Run", "1" } } });
}

std::vector<std::string>
ValuesOf(const HttpRequest& aRequest, const std::string& aName)
{
  std::vector<std::string> values;
  for (const HttpHeader& header : aRequest.mRawHeaders) {
    if (strcasecmp(header.mName.c_str(), aName.c_str()) == 0) {
      values.push_back(header.mValue);
    }
  }
  return values;
}

// A relay with replicas and callers on one event loop.
class IdentityRig
{
public:
  IdentityRig()
    : mRelay(mLoop, mProtocol, Settings(), mMetrics)
  {
    mServer = Serve({ kGatewayIp, kGatewayPort }, [this](auto aRequest, auto aRespond) {
      mRelay.Handle(std::move(aRequest), std::move(aRespond));
    });
  }

  std::unique_ptr<HttpServer> Serve(const SocketAddress& aAddress, const HttpHandler& aHandler)
  {
    auto server =
      HttpServer::Builder(mLoop, aAddress).PreserveRawRequest().OnRequest(aHandler).Start();
    CPPUNIT_ASSERT_MESSAGE(server ? "" : server.error().mMessage, server.has_value());
    return *std::move(server);
  }

  // Adds a replica that appends its requests to Received().
  SocketAddress AddReplica(const std::string& aService, const RequestHandler& aHandler)
  {
    UpstreamInfo info;
    info.mId = "i-" + std::to_string(mUpstreams.size());
    info.mService = aService;
    info.mAddress = { kReplicaIp,
                      static_cast<std::uint16_t>(kFirstReplicaPort + mUpstreams.size()) };
    info.mDataCentre = "a";
    info.mSlots = 2;
    info.mState = UpstreamState::Ready;
    if (aHandler) {
      mReplicas.push_back(
        Serve(info.mAddress,
              [this, aHandler](const HttpRequest& aRequest, const HttpResponder& aRespond) {
                mReceived.push_back(aRequest);
                aHandler(aRequest, aRespond);
              }));
    }
    mUpstreams.push_back(info);
    mRelay.SetUpstreams(mUpstreams);
    return info.mAddress;
  }

  // Sends a request; aDone gets the reply.
  void Start(const std::string& aPath,
             std::vector<HttpHeader> aHeaders,
             std::function<void(const ClientReply&)> aDone)
  {
    ClientRequest request;
    request.mMethod = "GET";
    request.mPath = aPath;
    request.mAddress = { kGatewayIp, kGatewayPort };
    request.mForwarded = true;
    request.mTimeout = seconds(5);
    request.mHeaders = std::move(aHeaders);
    request.mHeaders.push_back({ "Host", "h" });
    request.mHeaders.push_back({ "X-Id", "id-1" });
    mClient.Send(std::move(request), std::move(aDone));
  }

  ClientReply Send(const std::string& aPath, std::vector<HttpHeader> aHeaders)
  {
    ClientReply result;
    Start(aPath, std::move(aHeaders), [&](const ClientReply& aReply) {
      result = aReply;
      mLoop.Stop();
    });
    mLoop.Run();
    return result;
  }

  int StatusOf(const std::string& aPath, const std::string& aKey)
  {
    return Send(aPath, { { "X-Key", aKey } }).mStatus;
  }

  void RunFor(Duration aTime)
  {
    mLoop.AddTimer(SteadyNow() + aTime, [this] { mLoop.Stop(); });
    mLoop.Run();
  }

  void After(Duration aTime, const Loop::Task& aTask)
  {
    mLoop.AddTimer(SteadyNow() + aTime, aTask);
  }

  void SetWorkspaces(std::vector<Workspace> aWorkspaces)
  {
    mRelay.SetRouting(MakeTable(std::move(aWorkspaces)));
  }

  Relay& TestedRelay() { return mRelay; }
  const std::vector<HttpRequest>& Received() const { return mReceived; }
  std::string Metrics() { return "\n" + mMetrics.Text(); }

private:
  static RelaySettings Settings()
  {
    RelaySettings settings;
    settings.mDataCentre = "a";
    settings.mSourceIp = kGatewayIp;
    return settings;
  }

  Loop mLoop;
  const PlatformProtocol mProtocol = MakeProcessProtocol();
  MetricsRegistry mMetrics;
  Relay mRelay;
  HttpClient mClient{ mLoop, kGatewayIp, 10 };
  std::unique_ptr<HttpServer> mServer;
  std::vector<UpstreamInfo> mUpstreams;
  std::vector<std::unique_ptr<HttpServer>> mReplicas;
  std::vector<HttpRequest> mReceived;
};

} // namespace

class CallerIdentityTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CallerIdentityTest);
  CPPUNIT_TEST(JudgesByRouteLeaseAndKey);
  CPPUNIT_TEST(RevocationFollowsTheTableInForce);
  CPPUNIT_TEST(WorkspaceHeaderReplacesWhatTheCallerSent);
  CPPUNIT_TEST(PriorityOfWorkspaceGoesFirst);
  CPPUNIT_TEST(NamesThatBreakHeadersAreInvalid);
  CPPUNIT_TEST(ReplicaSeesTheWorkspaceAndNoKey);
  CPPUNIT_TEST(RepeatedSendsCarryTheWorkspaceAndNoKey);
  CPPUNIT_TEST(PublicRouteNamesKnownWorkspacesOnly);
  CPPUNIT_TEST(WithoutWorkspacesHeadersPassUnchanged);
  CPPUNIT_TEST(UnknownKeyDoesNotRun);
  CPPUNIT_TEST(WithoutLeaseKeyedRequestsAreRefusedAtOnce);
  CPPUNIT_TEST(LeaseEndsDuringSuspension);
  CPPUNIT_TEST(QueuedRequestIsNotSentAfterRevocation);
  CPPUNIT_TEST(RetryIsNotSentAfterRevocation);
  CPPUNIT_TEST(RevokedRequestThatMayHaveRunIsNotDenied);
  CPPUNIT_TEST(HedgeIsNotSentAfterRevocation);
  CPPUNIT_TEST(RevokedKeyIsNotDeniedWithoutLease);
  CPPUNIT_TEST(RequestWithoutKeyIsNotRetriedOnceKeysAreNeeded);
  CPPUNIT_TEST(KeyThatMovesNamesItsNewWorkspace);
  CPPUNIT_TEST(UrgentWorkspaceLeavesTheQueueFirst);
  CPPUNIT_TEST(PassedOnRequestKeepsItsKey);
  CPPUNIT_TEST_SUITE_END();

public:
  void JudgesByRouteLeaseAndKey()
  {
    const auto table = MakeTable({ MakeWorkspace("w", "k") });
    const Route& keyed = table->Document().mRoutes[0];
    const Route& open = table->Document().mRoutes[2];
    const auto judge = [&](const Route& aRoute, const char* aKey, bool aLease) {
      const auto key = *aKey != '\0' ? std::optional(DigestKey(aKey)) : std::nullopt;
      return IdentifyCaller(*table, aRoute, key, aLease);
    };
    CPPUNIT_ASSERT(judge(keyed, "k", true).mVerdict == CallerVerdict::Allowed);
    CPPUNIT_ASSERT_EQUAL(std::string("w"), judge(keyed, "k", true).mWorkspace->mName);
    for (const char* const unknown : { "", "other", "K", "k " }) {
      CPPUNIT_ASSERT(judge(keyed, unknown, true).mVerdict == CallerVerdict::UnknownKey);
      CPPUNIT_ASSERT(judge(open, unknown, true).mVerdict == CallerVerdict::Allowed);
      CPPUNIT_ASSERT(judge(open, unknown, true).mWorkspace == nullptr);
    }
    for (const char* const any : { "", "k", "other" }) {
      CPPUNIT_ASSERT(judge(keyed, any, false).mVerdict == CallerVerdict::NoLease);
      CPPUNIT_ASSERT(judge(open, any, false).mVerdict == CallerVerdict::Allowed);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("w"), judge(open, "k", false).mWorkspace->mName);
    const auto without = MakeTable({});
    for (const bool lease : { true, false }) {
      const CallerIdentity identity =
        IdentifyCaller(*without, without->Document().mRoutes[0], std::nullopt, lease);
      CPPUNIT_ASSERT(identity.mVerdict == CallerVerdict::Allowed && identity.mWorkspace == nullptr);
    }
  }

  void RevocationFollowsTheTableInForce()
  {
    const auto table = MakeTable({ MakeWorkspace("w", "k") });
    const Route* const keyed = table->Document().mRoutes.data();
    const Route* const open = &table->Document().mRoutes[2];
    CPPUNIT_ASSERT(!IsKeyRevoked(*table, keyed, DigestKey("k")));
    CPPUNIT_ASSERT(IsKeyRevoked(*table, keyed, DigestKey("old")));
    CPPUNIT_ASSERT(IsKeyRevoked(*table, keyed, std::nullopt));
    // The route of the request does not exist any more, so nothing makes it public.
    CPPUNIT_ASSERT(IsKeyRevoked(*table, nullptr, DigestKey("old")));
    CPPUNIT_ASSERT(!IsKeyRevoked(*table, open, DigestKey("old")));
    CPPUNIT_ASSERT(!IsKeyRevoked(*MakeTable({}), nullptr, DigestKey("old")));
  }

  void WorkspaceHeaderReplacesWhatTheCallerSent()
  {
    std::vector<HttpHeader> headers = {
      { "X-KEY", "k" }, { "A", "1" }, { "x-Workspace", "forged" }, { "x-key", "k" }, { "B", "2" },
    };
    ReplaceIdentityHeaders(headers, TestHeaderNames(), "w");
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), headers.size());
    CPPUNIT_ASSERT_EQUAL(std::string("A"), headers[0].mName);
    CPPUNIT_ASSERT_EQUAL(std::string("B"), headers[1].mName);
    CPPUNIT_ASSERT_EQUAL(std::string("w"), headers[2].mValue);
    ReplaceIdentityHeaders(headers, TestHeaderNames(), "");
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), headers.size());
  }

  void PriorityOfWorkspaceGoesFirst()
  {
    Route route;
    route.mPriority = 3;
    Workspace workspace;
    CPPUNIT_ASSERT_EQUAL(3U, PriorityOf(nullptr, route));
    CPPUNIT_ASSERT_EQUAL(3U, PriorityOf(&workspace, route));
    workspace.mPriority = 0;
    CPPUNIT_ASSERT_EQUAL(0U, PriorityOf(&workspace, route));
    workspace.mPriority = 5;
    CPPUNIT_ASSERT_EQUAL(5U, PriorityOf(&workspace, route));
  }

  // The name is sent in a header.
  void NamesThatBreakHeadersAreInvalid()
  {
    CPPUNIT_ASSERT(CheckRouting(MakeDocument({ MakeWorkspace("team a", "k") })).has_value());
    for (const char* const name : { "a\r\nX-Other: 1", "a\nb", "a\tb", "\x7f", " a", "a ", "" }) {
      CPPUNIT_ASSERT_MESSAGE(name,
                             !CheckRouting(MakeDocument({ MakeWorkspace(name, "k") })).has_value());
    }
  }

  void ReplicaSeesTheWorkspaceAndNoKey()
  {
    IdentityRig rig;
    rig.AddReplica("s", RespondAnswer);
    rig.AddReplica("t", RespondAnswer);
    rig.SetWorkspaces({ MakeWorkspace("w", "k"), MakeWorkspace("v", "l") });
    for (const char* const path : { "/one/", "/all/" }) {
      const ClientReply reply = rig.Send(path,
                                         { { "X-Key", "k" },
                                           { "x-KEY", "l" },
                                           { "X-Workspace", "v" },
                                           { "x-workspace", "forged" } });
      CPPUNIT_ASSERT_EQUAL(200, reply.mStatus);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), rig.Received().size());
    for (const HttpRequest& request : rig.Received()) {
      CPPUNIT_ASSERT(ValuesOf(request, "x-key").empty());
      CPPUNIT_ASSERT(ValuesOf(request, "x-workspace") == std::vector<std::string>{ "w" });
    }
  }

  void RepeatedSendsCarryTheWorkspaceAndNoKey()
  {
    for (const bool hedged : { false, true }) {
      std::vector<HttpResponder> pending;
      IdentityRig rig;
      const RequestHandler handler = [&](const HttpRequest& aRequest,
                                         const HttpResponder& aRespond) {
        if (rig.Received().size() > 1) {
          RespondAnswer(aRequest, aRespond);
        } else if (hedged) {
          pending.push_back(aRespond);
        } else {
          RespondNotRun(aRequest, aRespond);
        }
      };
      rig.AddReplica("s", handler);
      rig.AddReplica("s", handler);
      rig.SetWorkspaces({ MakeWorkspace("w", "k") });
      CPPUNIT_ASSERT_EQUAL(200, rig.StatusOf("/one/", "k"));
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), rig.Received().size());
      for (const HttpRequest& request : rig.Received()) {
        CPPUNIT_ASSERT(ValuesOf(request, "x-key").empty());
        CPPUNIT_ASSERT(ValuesOf(request, "x-workspace") == std::vector<std::string>{ "w" });
      }
    }
  }

  void PublicRouteNamesKnownWorkspacesOnly()
  {
    IdentityRig rig;
    rig.AddReplica("s", RespondAnswer);
    rig.SetWorkspaces({ MakeWorkspace("w", "k") });
    CPPUNIT_ASSERT_EQUAL(
      200, rig.Send("/public/", { { "X-Key", "k" }, { "X-Workspace", "forged" } }).mStatus);
    CPPUNIT_ASSERT_EQUAL(
      200, rig.Send("/public/", { { "X-Key", "unknown" }, { "X-Workspace", "w" } }).mStatus);
    CPPUNIT_ASSERT_EQUAL(200, rig.Send("/public/", { { "X-Workspace", "w" } }).mStatus);
    const std::vector<HttpRequest>& received = rig.Received();
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), received.size());
    CPPUNIT_ASSERT(ValuesOf(received[0], "x-workspace") == std::vector<std::string>{ "w" });
    CPPUNIT_ASSERT(ValuesOf(received[1], "x-workspace").empty());
    CPPUNIT_ASSERT(ValuesOf(received[2], "x-workspace").empty());
    for (const HttpRequest& request : received) {
      CPPUNIT_ASSERT(ValuesOf(request, "x-key").empty());
    }
  }

  void WithoutWorkspacesHeadersPassUnchanged()
  {
    IdentityRig rig;
    rig.AddReplica("s", RespondAnswer);
    rig.SetWorkspaces({});
    // Without workspaces no lease is needed either.
    rig.TestedRelay().SetDocumentLease({ kLimit, std::nullopt });
    CPPUNIT_ASSERT_EQUAL(200,
                         rig.Send("/one/", { { "X-Key", "k" }, { "X-Workspace", "v" } }).mStatus);
    CPPUNIT_ASSERT(ValuesOf(rig.Received().at(0), "x-key") == std::vector<std::string>{ "k" });
    CPPUNIT_ASSERT(ValuesOf(rig.Received()[0], "x-workspace") == std::vector<std::string>{ "v" });
  }

  void UnknownKeyDoesNotRun()
  {
    IdentityRig rig;
    rig.AddReplica("s", RespondAnswer);
    rig.AddReplica("t", RespondAnswer);
    rig.SetWorkspaces({ MakeWorkspace("w", "k") });
    for (const char* const path : { "/one/", "/all/" }) {
      const ClientReply reply = rig.Send(path, { { "X-Key", "secret" } });
      CPPUNIT_ASSERT_EQUAL(401, reply.mStatus);
      CPPUNIT_ASSERT(reply.mBody.find("\"code\":6") != std::string::npos);
      CPPUNIT_ASSERT(reply.mBody.find("secret") == std::string::npos);
      CPPUNIT_ASSERT_EQUAL(401, rig.Send(path, {}).mStatus);
      // The header with which gateways forward requests admits nothing.
      CPPUNIT_ASSERT_EQUAL(401, rig.Send(path, { { "apricot-passed-on", "1" } }).mStatus);
      CPPUNIT_ASSERT_EQUAL(401, rig.Send(path, { { "X-Workspace", "w" } }).mStatus);
    }
    CPPUNIT_ASSERT(rig.Received().empty());
    CPPUNIT_ASSERT(rig.Metrics().find("\napricot_keys_rejected_total 8\n") != std::string::npos);
  }

  void WithoutLeaseKeyedRequestsAreRefusedAtOnce()
  {
    IdentityRig rig;
    rig.AddReplica("s", RespondAnswer);
    rig.AddReplica("t", RespondAnswer);
    rig.SetWorkspaces({ MakeWorkspace("w", "k") });
    Relay& relay = rig.TestedRelay();
    relay.SetDocumentLease({ kLimit, std::nullopt });
    for (const char* const key : { "k", "unknown", "" }) {
      const TimePoint start = SteadyNow();
      const ClientReply reply = rig.Send("/one/", { { "X-Key", key } });
      CPPUNIT_ASSERT_EQUAL(503, reply.mStatus);
      CPPUNIT_ASSERT(reply.mBody.find("\"code\":122") != std::string::npos);
      const double retryAfter = std::stod(std::string(reply.Header("retry-after")));
      CPPUNIT_ASSERT(retryAfter > 0 && retryAfter < 1);
      CPPUNIT_ASSERT(SteadyNow() - start < milliseconds(100));
    }
    CPPUNIT_ASSERT(rig.Received().empty());
    CPPUNIT_ASSERT_EQUAL(200, rig.StatusOf("/public/", "k"));
    CPPUNIT_ASSERT_EQUAL(200, rig.StatusOf("/public/", "unknown"));
    relay.SetDocumentLease({ kLimit, SteadyNow() });
    CPPUNIT_ASSERT_EQUAL(200, rig.StatusOf("/one/", "k"));
    CPPUNIT_ASSERT_EQUAL(401, rig.StatusOf("/one/", "unknown"));
    CPPUNIT_ASSERT(rig.Metrics().find("\napricot_requests_without_lease_total 3\n") !=
                   std::string::npos);
  }

  void LeaseEndsDuringSuspension()
  {
    IdentityRig rig;
    rig.AddReplica("s", RespondAnswer);
    rig.SetWorkspaces({ MakeWorkspace("w", "k") });
    rig.TestedRelay().SetDocumentLease({ kLimit, SteadyNow() });
    CPPUNIT_ASSERT_EQUAL(200, rig.StatusOf("/one/", "k"));
    SimulateSuspension(kLimit - kLeaseMargin);
    CPPUNIT_ASSERT_EQUAL(503, rig.StatusOf("/one/", "k"));
    CPPUNIT_ASSERT_EQUAL(200, rig.StatusOf("/public/", "k"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), rig.Received().size());
  }

  void QueuedRequestIsNotSentAfterRevocation()
  {
    std::vector<std::pair<HttpRequest, HttpResponder>> pending;
    IdentityRig rig;
    rig.AddReplica("s", [&](const HttpRequest& aRequest, const HttpResponder& aRespond) {
      pending.emplace_back(aRequest, aRespond);
    });
    rig.SetWorkspaces({ MakeWorkspace("w", "k"), MakeWorkspace("v", "l") });
    rig.TestedRelay().SetGatewayCount(kGatewaysForOneConnection);
    std::map<std::string, int> statuses;
    for (const char* const key : { "l", "k" }) {
      rig.Start("/one/", { { "X-Key", key } }, [&statuses, key](const ClientReply& aReply) {
        statuses[key] = aReply.mStatus;
      });
      rig.RunFor(milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), pending.size());
    rig.SetWorkspaces({ MakeWorkspace("v", "l") });
    pending[0].second(Answer(pending[0].first));
    rig.RunFor(milliseconds(40));
    CPPUNIT_ASSERT_EQUAL(200, statuses["l"]);
    CPPUNIT_ASSERT_EQUAL(401, statuses["k"]);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), rig.Received().size());
  }

  // Sends a request whose key is revoked when it reaches the first of two replicas, which responds
  // with aHandler. Returns the reply and requires that no other replica gets the request.
  static ClientReply RevokeAtReplica(const RequestHandler& aHandler,
                                     const DocumentLease& aLease = {},
                                     const std::string& aPath = "/one/")
  {
    IdentityRig rig;
    for (int i = 0; i < 2; ++i) {
      rig.AddReplica("s", [&](const HttpRequest& aRequest, const HttpResponder& aRespond) {
        rig.SetWorkspaces({ MakeWorkspace("v", "l") });
        rig.TestedRelay().SetDocumentLease(aLease);
        aHandler(aRequest, aRespond);
      });
    }
    rig.SetWorkspaces({ MakeWorkspace("w", "k") });
    ClientReply reply = rig.Send(aPath, { { "X-Key", "k" } });
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), rig.Received().size());
    return reply;
  }

  void RetryIsNotSentAfterRevocation()
  {
    // Nothing ran, so the request is denied.
    CPPUNIT_ASSERT_EQUAL(401, RevokeAtReplica(RespondNotRun).mStatus);
  }

  // A response of 401 promises that nothing was run.
  void RevokedRequestThatMayHaveRunIsNotDenied()
  {
    const ClientReply reply =
      RevokeAtReplica([](const HttpRequest&, const HttpResponder& aRespond) {
        // The reply is unsigned, so it may not come from the replica.
        aRespond({ 500, "", "text/plain", {} });
      });
    CPPUNIT_ASSERT_EQUAL(502, reply.mStatus);
  }

  void HedgeIsNotSentAfterRevocation()
  {
    std::vector<HttpResponder> pending;
    const ClientReply reply =
      RevokeAtReplica([&pending](const HttpRequest&, const HttpResponder& aRespond) {
        pending.push_back(aRespond);
      });
    CPPUNIT_ASSERT_EQUAL(504, reply.mStatus);
  }

  void RevokedKeyIsNotDeniedWithoutLease()
  {
    CPPUNIT_ASSERT_EQUAL(503, RevokeAtReplica(RespondNotRun, { kLimit, std::nullopt }).mStatus);
  }

  void RequestWithoutKeyIsNotRetriedOnceKeysAreNeeded()
  {
    IdentityRig rig;
    for (int i = 0; i < 2; ++i) {
      rig.AddReplica("s", [&](const HttpRequest& aRequest, const HttpResponder& aRespond) {
        rig.SetWorkspaces({ MakeWorkspace("w", "k") });
        RespondNotRun(aRequest, aRespond);
      });
    }
    rig.SetWorkspaces({});
    CPPUNIT_ASSERT_EQUAL(401, rig.Send("/one/", {}).mStatus);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), rig.Received().size());
    // With a key that the new document knows, the retry is sent, without the key.
    rig.SetWorkspaces({});
    CPPUNIT_ASSERT_EQUAL(503, rig.StatusOf("/one/", "k"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), rig.Received().size());
    CPPUNIT_ASSERT(ValuesOf(rig.Received()[2], "x-key").empty());
    CPPUNIT_ASSERT(ValuesOf(rig.Received()[2], "x-workspace") == std::vector<std::string>{ "w" });
  }

  void KeyThatMovesNamesItsNewWorkspace()
  {
    IdentityRig rig;
    for (int i = 0; i < 2; ++i) {
      rig.AddReplica("s", [&](const HttpRequest& aRequest, const HttpResponder& aRespond) {
        rig.SetWorkspaces({ MakeWorkspace("v", "k") });
        (rig.Received().size() == 1 ? RespondNotRun : RespondAnswer)(aRequest, aRespond);
      });
    }
    rig.SetWorkspaces({ MakeWorkspace("w", "k") });
    CPPUNIT_ASSERT_EQUAL(200, rig.StatusOf("/one/", "k"));
    CPPUNIT_ASSERT(ValuesOf(rig.Received().at(0), "x-workspace") ==
                   std::vector<std::string>{ "w" });
    CPPUNIT_ASSERT(ValuesOf(rig.Received().at(1), "x-workspace") ==
                   std::vector<std::string>{ "v" });
  }

  void UrgentWorkspaceLeavesTheQueueFirst()
  {
    std::vector<std::pair<HttpRequest, HttpResponder>> pending;
    IdentityRig rig;
    rig.AddReplica("s", [&](const HttpRequest& aRequest, const HttpResponder& aRespond) {
      pending.emplace_back(aRequest, aRespond);
    });
    Workspace slow = MakeWorkspace("slow", "k");
    slow.mPriority = 2;
    Workspace urgent = MakeWorkspace("urgent", "l");
    urgent.mPriority = 0;
    rig.SetWorkspaces({ slow, urgent });
    rig.TestedRelay().SetGatewayCount(kGatewaysForOneConnection);
    for (const char* const key : { "k", "k", "l" }) {
      rig.Start("/one/", { { "X-Key", key } }, [](const ClientReply&) {});
      rig.RunFor(milliseconds(5));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), pending.size());
    pending[0].second(Answer(pending[0].first));
    rig.RunFor(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), pending.size());
    CPPUNIT_ASSERT_EQUAL(std::string_view("urgent"), pending[1].first.Header("x-workspace"));
  }

  // The other gateway identifies the caller itself.
  void PassedOnRequestKeepsItsKey()
  {
    IdentityRig rig;
    const SilentAddress silent(rig.AddReplica("s", {}), false);
    std::vector<HttpRequest> passedOn;
    const auto peer =
      rig.Serve({ kReplicaIp, kOtherGatewayPort }, [&](auto aRequest, auto aRespond) {
        passedOn.push_back(aRequest);
        aRespond(Answer(aRequest));
      });
    Relay& relay = rig.TestedRelay();
    relay.SetReachabilityHandler([&relay] {
      relay.SetPeers({ { kReplicaIp, kOtherGatewayPort } });
    });
    RoutingDocument document = MakeDocument({ MakeWorkspace("w", "k") });
    document.mRoutes[0].mTimeout = seconds(3);
    relay.SetRouting(std::make_shared<RoutingTable>(document));
    CPPUNIT_ASSERT_EQUAL(200, rig.StatusOf("/one/", "k"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), passedOn.size());
    CPPUNIT_ASSERT(ValuesOf(passedOn[0], "x-key") == std::vector<std::string>{ "k" });
    CPPUNIT_ASSERT_EQUAL(401, rig.StatusOf("/one/", "unknown"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), passedOn.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerIdentityTest);
