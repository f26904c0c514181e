#include "entry_server.h"

#include "caller_access.h"
#include "codec.h"
#include "control_client.h"
#include "discovery_node.h"
#include "http_client.h"
#include "http_server.h"
#include "log.h"
#include "loop.h"
#include "metrics.h"
#include "query_path.h"
#include "suspension.h"

#include <deque>

#include <fmt/format.h>
#include <grpcpp/grpcpp.h>
#include <nlohmann/json.hpp>

namespace apricotyard {

namespace {

// How long a stopping host keeps serving after the last address answer that lists it has expired.
constexpr std::chrono::seconds kStopMargin{ 1 };
// A graceful stop is cut off after this time even if requests are still open.
constexpr std::chrono::seconds kStopTimeout{ 30 };
// Added to the deadline of a forwarded query before the home host counts as unreachable.
constexpr Duration kForwardMargin = std::chrono::milliseconds(250);
// How often the address answers are updated with whether this host may serve.
constexpr Duration kMayServeInterval = std::chrono::milliseconds(200);
// Timeouts for making a claim and for recording its outcome. Both leave time for control to elect a
// leader.
constexpr Duration kClaimTimeout = std::chrono::seconds(2);
constexpr Duration kRecordOutcomeTimeout = std::chrono::seconds(10);
constexpr std::size_t kMaxClaimIds = 100'000;
constexpr std::size_t kMaxAnnouncementBytes = std::size_t{ 16 } * 1024;

std::uint64_t
NewIncarnation()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch())
      .count());
}

RosterEpoch
ToRosterEpoch(const rpc::Roster& aRoster)
{
  RosterEpoch epoch;
  epoch.mEpoch = aRoster.epoch();
  for (const rpc::Host& host : aRoster.hosts()) {
    epoch.mHosts.push_back({ host.host(), host.data_centre() });
  }
  return epoch;
}

// The claim identifiers of recent submissions, by idempotency key. Control requires them to record
// an outcome, which may arrive after the submission was answered. The oldest are dropped beyond
// kMaxClaimIds.
struct ClaimIds
{
  absl::flat_hash_map<std::string, std::uint64_t> mIds;
  std::deque<std::string> mOrder;
};

void
AddClaimId(ClaimIds& aIds, const std::string& aKey, std::uint64_t aId)
{
  if (aIds.mIds.insert_or_assign(aKey, aId).second) {
    aIds.mOrder.push_back(aKey);
  }
  if (aIds.mOrder.size() > kMaxClaimIds) {
    aIds.mIds.erase(aIds.mOrder.front());
    aIds.mOrder.pop_front();
  }
}

std::optional<std::uint64_t>
FindClaimId(const ClaimIds& aIds, const std::string& aKey)
{
  const auto found = aIds.mIds.find(aKey);
  return found == aIds.mIds.end() ? std::nullopt : std::optional(found->second);
}

ClaimReply
ReadClaimReply(QueryId aQuery, const rpc::ClaimReply& aReply)
{
  switch (static_cast<Result>(aReply.result())) {
    case Result::Ok:
      return { aQuery, ClaimState::Granted, Result::Ok, {} };
    case Result::OutcomeRecorded:
      return { aQuery, ClaimState::Known, static_cast<Result>(aReply.outcome()), aReply.body() };
    case Result::ClaimHeld:
    case Result::ClaimOutcomeUnknown:
      return { aQuery, ClaimState::OutcomeUnknown, Result::OutcomeUnknown, {} };
    default:
      return { aQuery, ClaimState::Refused, static_cast<Result>(aReply.result()), {} };
  }
}

class EntryServer
{
public:
  explicit EntryServer(const EntrySettings& aSettings);
  int Run();

private:
  void HandleRequest(HttpRequest aRequest, const HttpResponder& aRespond);
  // Handles POST /v1/query and POST /v1/submit.
  void HandleQuery(const HttpRequest& aRequest, const HttpResponder& aRespond);
  void HandleAnnounce(const HttpRequest& aRequest, const HttpResponder& aRespond);
  void HandleAddresses(const HttpRequest& aRequest, const HttpResponder& aRespond);
  void HandleStatus(const HttpResponder& aRespond);
  bool Forward(const HttpRequest& aRequest,
               const QueryRequest& aQuery,
               const HttpResponder& aRespond);
  Duration ForwardTimeout(const QueryRequest& aQuery) const;
  DiscoveryHooks MakeDiscoveryHooks();
  QueryHooks MakeQueryHooks();
  void MakeClaim(const ClaimRequest& aClaim, const std::function<void(ClaimReply)>& aDone);
  void AdoptConfig(const ConfigUpdate& aUpdate);
  void AdoptView();
  void AdoptUpstreams();
  void BeginStop();
  void FinishStop();

  const EntrySettings& mSettings;
  std::uint64_t mIncarnation;
  Loop mLoop;
  MetricsRegistry mMetrics;
  QueryPath mQueryPath;
  Engine& mEngine;
  // Forwards queries to home hosts.
  HttpClient mClient;
  ControlClient mControl;
  // Registered with mDiscovery; declared before it in order to outlive it.
  std::unique_ptr<grpc::Service> mWitnessService;
  DiscoveryNode mDiscovery;
  ClaimIds mClaimIds;
  // As announced; drains by operators are not applied.
  std::vector<UpstreamInfo> mUpstreams;
  std::unique_ptr<HttpServer> mServer;
  bool mStopping = false;
  TimePoint mStopAt;
  TimePoint mStopLimit;
};

EntryServer::EntryServer(const EntrySettings& aSettings)
  : mSettings(aSettings)
  , mIncarnation(NewIncarnation())
  , mQueryPath(mLoop,
               mMetrics,
               aSettings.mHost,
               aSettings.mDataCentre,
               aSettings.mAddress.mIp,
               mIncarnation)
  , mEngine(mQueryPath.State())
  , mClient(mLoop, aSettings.mAddress.mIp, 0)
  , mControl(mLoop,
             { aSettings.mHost,
               mIncarnation,
               aSettings.mDataCentre,
               aSettings.mAddress,
               aSettings.mPeerAddress,
               aSettings.mSecurity },
             aSettings.mControl,
             [this](const ConfigUpdate& aUpdate) { AdoptConfig(aUpdate); })
  , mWitnessService(mControl.MakeWitnessService())
  , mDiscovery(mLoop,
               { aSettings.mHost,
                 mIncarnation,
                 aSettings.mDataCentre,
                 aSettings.mAddress,
                 aSettings.mPeerAddress,
                 aSettings.mCharts,
                 aSettings.mSecurity },
               MakeDiscoveryHooks(),
               mMetrics)
{
}

int
EntryServer::Run()
{
  HandleStopSignals(mLoop, [this] { BeginStop(); });
  StartLogger("apricot-entry", mSettings.mLogLevel);
  auto server = HttpServer::Builder(mLoop, mSettings.mAddress)
                  .MaxConnections(static_cast<unsigned>(mSettings.mMaxConnections))
                  .OnRequest([this](HttpRequest aRequest, const HttpResponder& aRespond) {
                    HandleRequest(std::move(aRequest), aRespond);
                  })
                  .Start();
  if (!server) {
    LogEvent(Event::StartFailed, { { "reason", server.error().mMessage } });
    StopLogger();
    return 1;
  }
  mServer = *std::move(server);
  if (const auto started = mDiscovery.Start(); !started) {
    LogEvent(Event::StartFailed, { { "reason", started.error().mMessage } });
    mServer.reset();
    StopLogger();
    return 1;
  }
  mControl.OnViewChanged([this] { AdoptView(); });
  mQueryPath.SetHooks(MakeQueryHooks());
  mLoop.AddPeriodic(kMayServeInterval, [this] { mDiscovery.SetMayServe(mControl.MayServe()); });
  ReportSuspensions(mLoop);
  LogEvent(Event::ProcessStarted,
           { { "host", mSettings.mHost },
             { "address", FormatSocketAddress(mSettings.mAddress) },
             { "incarnation", mIncarnation } });
  mLoop.Run();
  mServer.reset();
  LogEvent(Event::ProcessStopped, { { "host", mSettings.mHost } });
  StopLogger();
  return 0;
}

void
EntryServer::HandleRequest(HttpRequest aRequest, const HttpResponder& aRespond)
{
  struct Route
  {
    std::string_view mMethod;
    std::string_view mPath;
    std::function<void()> mHandle;
  };
  const Route routes[] = {
    { "POST", "/v1/query", [&] { HandleQuery(aRequest, aRespond); } },
    { "POST", "/v1/submit", [&] { HandleQuery(aRequest, aRespond); } },
    { "POST", "/v1/announce", [&] { HandleAnnounce(aRequest, aRespond); } },
    { "GET", "/v1/addresses", [&] { HandleAddresses(aRequest, aRespond); } },
    { "GET", "/v1/status", [&] { HandleStatus(aRespond); } },
    { "GET",
      "/metrics",
      [&] {
        aRespond({ 200, mMetrics.Text(), "text/plain; version=0.0.4", {} });
      } },
  };
  Result refusal = Result::NotFound;
  for (const Route& route : routes) {
    if (aRequest.mPath == route.mPath && aRequest.mMethod == route.mMethod) {
      route.mHandle();
      return;
    }
    if (aRequest.mPath == route.mPath) {
      refusal = Result::MethodNotAllowed;
    }
  }
  aRespond(ErrorResponse(refusal, "see docs/interfaces.md for the paths of this interface"));
}

void
EntryServer::HandleQuery(const HttpRequest& aRequest, const HttpResponder& aRespond)
{
  if (mStopping && mQueryPath.Running() > static_cast<std::size_t>(mSettings.mMaxConnections)) {
    aRespond(ErrorResponse(Result::Stopping, "the host is stopping"));
    return;
  }
  if (mEngine.mConfig != nullptr && !mControl.MayServe()) {
    aRespond(ErrorResponse(Result::NotCurrent, "the control lease and the witness lease ended"));
    return;
  }
  auto request = DecodeQuery(aRequest.mBody);
  if (!request) {
    aRespond(ErrorResponse(request.error().mResult, request.error().mMessage));
    return;
  }
  request->mRequestId = aRequest.Header("x-request-id").substr(0, 128);
  if (mEngine.mConfig != nullptr) {
    const auto caller =
      IdentifyCaller(*mEngine.mConfig, BearerKey(aRequest.Header("authorization")));
    const auto access = caller.and_then([&](const CallerPolicy* aCaller) {
      return CheckAccess(*mEngine.mConfig, *aCaller, request->mCollection, request->mClass);
    });
    if (!access) {
      aRespond(ErrorResponse(access.error().mResult, access.error().mMessage));
      return;
    }
    request->mCaller = (*caller)->mName;
  }
  const std::string_view key = aRequest.Header("idempotency-key");
  const bool submission = aRequest.mPath == "/v1/submit";
  if (submission && !IsIdempotencyKey(key)) {
    aRespond(ErrorResponse(Result::BadRequest,
                           "Idempotency-Key must have the form EPOCH.RANDOM with 8 to 64 letters, "
                           "digits, '-' or '_' after the dot"));
    return;
  }
  if (Forward(aRequest, *request, aRespond)) {
    return;
  }
  if (submission) {
    mQueryPath.Submit(*std::move(request), std::string(key), aRespond);
  } else {
    mQueryPath.Query(*std::move(request), aRespond);
  }
}

void
EntryServer::HandleAnnounce(const HttpRequest& aRequest, const HttpResponder& aRespond)
{
  if (aRequest.mBody.size() > kMaxAnnouncementBytes) {
    aRespond(ErrorResponse(Result::BodyTooLarge, "an announcement has at most 16 KiB"));
    return;
  }
  const auto info = DecodeAnnouncement(aRequest.mBody);
  if (!info) {
    LogEvent(Event::AnnouncementRejected,
             { { "peer", aRequest.mPeer }, { "message", info.error().mMessage } });
    aRespond(ErrorResponse(info.error().mResult, info.error().mMessage));
    return;
  }
  if (mDiscovery.State() == EntryHostState::Leaving) {
    aRespond(ErrorResponse(Result::Stopping, "announce to another entry host"));
    return;
  }
  const AnnounceOutcome outcome = mDiscovery.Announce(*info);
  if (outcome == AnnounceOutcome::Full) {
    aRespond(ErrorResponse(Result::Internal, "the table of upstreams is full"));
    return;
  }
  if (outcome == AnnounceOutcome::Changed) {
    LogEvent(Event::UpstreamAnnounced,
             { { "upstream", info->mId },
               { "service", info->mService },
               { "shard", info->mShard },
               { "map", info->mMap },
               { "state", UpstreamStateName(info->mState) },
               { "address", FormatSocketAddress(info->mAddress) } });
  }
  aRespond({ 200, fmt::format(R"({{"lease_ms":{}}})", kUpstreamLease.count() / 1000) });
}

void
EntryServer::HandleAddresses(const HttpRequest& aRequest, const HttpResponder& aRespond)
{
  const auto answer = mDiscovery.AddressAnswer(std::string(aRequest.Argument("collection")),
                                               std::string(aRequest.Argument("data_centre")));
  if (answer) {
    nlohmann::json body = nlohmann::json::parse(*answer);
    body["claim_epoch"] = mControl.View().mClaimEpoch;
    aRespond({ 200, body.dump() });
  } else {
    aRespond(ErrorResponse(answer.error().mResult, answer.error().mMessage));
  }
}

DiscoveryHooks
EntryServer::MakeDiscoveryHooks()
{
  DiscoveryHooks hooks;
  hooks.mServices = { mWitnessService.get() };
  hooks.mSetUpstreams = [this](const std::vector<UpstreamInfo>& aUpstreams) {
    mUpstreams = aUpstreams;
    AdoptUpstreams();
  };
  hooks.mSetShares = [this](const std::map<std::string, ReplicaShare>& aShares) {
    std::map<std::string, std::uint32_t> slots;
    for (const auto& [upstream, share] : aShares) {
      slots[upstream] = share.mSlots;
    }
    SetShares(mEngine, std::move(slots));
    mQueryPath.ProcessChanges();
  };
  hooks.mSuspect = [this](const rpc::SuspectRequest& aRequest) {
    Strike strike;
    strike.mFingerprint = std::strtoull(aRequest.fingerprint().c_str(), nullptr, 16);
    strike.mHost = aRequest.sender().host();
    strike.mUpstream = aRequest.upstream();
    strike.mIncarnation = aRequest.upstream_incarnation();
    strike.mAlone = aRequest.alone();
    OnSharedStrike(mEngine, strike, SteadyNow());
    mQueryPath.ProcessChanges();
  };
  hooks.mLoad = [this] { return mQueryPath.Running(); };
  return hooks;
}

// Passes the announced upstreams to the engine. An upstream that an operator drains gets no new
// work, whatever state it announces.
void
EntryServer::AdoptUpstreams()
{
  std::vector<UpstreamInfo> upstreams = mUpstreams;
  const std::vector<std::string>& drains = mControl.View().mDrains;
  for (UpstreamInfo& info : upstreams) {
    const bool drained = std::find(drains.begin(), drains.end(), info.mId) != drains.end();
    if (drained && info.mState == UpstreamState::Ready) {
      info.mState = UpstreamState::Draining;
    }
  }
  SetUpstreams(mEngine, upstreams);
  mQueryPath.ProcessChanges();
}

QueryHooks
EntryServer::MakeQueryHooks()
{
  QueryHooks hooks;
  hooks.mClaim = [this](const ClaimRequest& aClaim, const std::function<void(ClaimReply)>& aDone) {
    MakeClaim(aClaim, aDone);
  };
  hooks.mRecordOutcome = [this](const RecordOutcome& aOutcome) {
    if (const auto id = FindClaimId(mClaimIds, aOutcome.mKey)) {
      mControl.RecordOutcome(aOutcome.mKey,
                             *id,
                             aOutcome.mResult,
                             aOutcome.mBody,
                             SteadyNow() + kRecordOutcomeTimeout,
                             [](const rpc::ClaimReply&) {});
    }
  };
  hooks.mShareStrike = [this](const Strike& aStrike) {
    rpc::SuspectRequest request;
    request.set_fingerprint(fmt::format("{:x}", aStrike.mFingerprint));
    request.set_upstream(aStrike.mUpstream);
    request.set_upstream_incarnation(aStrike.mIncarnation);
    request.set_alone(aStrike.mAlone);
    mDiscovery.SendSuspect(request);
  };
  return hooks;
}

void
EntryServer::MakeClaim(const ClaimRequest& aClaim, const std::function<void(ClaimReply)>& aDone)
{
  const std::uint64_t id = aClaim.mQuery;
  AddClaimId(mClaimIds, aClaim.mKey, id);
  mControl.Claim(aClaim.mKey,
                 aClaim.mFingerprint,
                 id,
                 SteadyNow() + kClaimTimeout,
                 [query = aClaim.mQuery, aDone](const rpc::ClaimReply& aReply) {
                   aDone(ReadClaimReply(query, aReply));
                 });
}

Duration
EntryServer::ForwardTimeout(const QueryRequest& aQuery) const
{
  // An upper bound; the home host enforces the exact deadline.
  Duration timeout = aQuery.mDeadline.value_or(Duration(0));
  if (mEngine.mConfig != nullptr) {
    for (const auto& [name, policy] : mEngine.mConfig->mClasses) {
      timeout = std::max(timeout, policy.mDeadline);
    }
  }
  return timeout + kForwardMargin;
}

// Forwards the query to a home host if this host has no slots for the collection. Returns false if
// the query must be handled here. A query that was already forwarded is never forwarded again.
bool
EntryServer::Forward(const HttpRequest& aRequest,
                     const QueryRequest& aQuery,
                     const HttpResponder& aRespond)
{
  if (!aRequest.Header(kForwardedHeader).empty()) {
    return false;
  }
  const auto target = mDiscovery.ForwardTarget(aQuery.mCollection);
  if (!target) {
    return false;
  }
  ClientRequest request;
  request.mAddress = target->mAddress;
  request.mPath = aRequest.mPath;
  request.mBody = aRequest.mBody;
  request.mTimeout = ForwardTimeout(aQuery);
  request.mHeaders = { { kForwardedHeader, mSettings.mHost } };
  for (const auto& [name, value] : aRequest.mHeaders) {
    if (name.starts_with("x-") || name == "authorization" || name == "content-type") {
      request.mHeaders.push_back({ name, value });
    }
  }
  LogEvent(Event::QueryForwarded,
           { { "collection", aQuery.mCollection }, { "home", target->mName } });
  mClient.Send(std::move(request), [aRespond](const ClientReply& aReply) {
    if (aReply.mEnd == TransferEnd::Complete) {
      HttpResponse response{ aReply.mStatus, aReply.mBody };
      if (const auto wait = aReply.Header("retry-after"); !wait.empty()) {
        response.mHeaders.push_back({ "Retry-After", std::string(wait) });
      }
      aRespond(std::move(response));
      return;
    }
    const bool notRun =
      aReply.mEnd == TransferEnd::NotConnected || aReply.mEnd == TransferEnd::NotSent;
    aRespond(ErrorResponse(notRun ? Result::NoServingHost : Result::ForwardFailed,
                           "the home host did not answer: " + aReply.mMessage));
  });
  return true;
}

void
EntryServer::HandleStatus(const HttpResponder& aRespond)
{
  nlohmann::json body = nlohmann::json::parse(mDiscovery.StatusJson());
  body["host"] = mSettings.mHost;
  body["incarnation"] = mIncarnation;
  body["revision"] = mEngine.mConfig ? mEngine.mConfig->mRevision : 0;
  body["running"] = mQueryPath.Running();
  aRespond({ 200, body.dump() });
}

void
EntryServer::AdoptConfig(const ConfigUpdate& aUpdate)
{
  SetConfig(mEngine, std::make_shared<const Config>(aUpdate.mConfig));
  mDiscovery.SetConfig(mEngine.mConfig);
  mDiscovery.SetMayServe(mControl.MayServe());
  LogEvent(Event::ConfigurationAdopted, { { "revision", aUpdate.mRevision } });
}

// Passes the roster from control to discovery: the peers, and the epochs that determine the
// division of slots. Also applies the drains, which may have changed.
void
EntryServer::AdoptView()
{
  const ControlView& view = mControl.View();
  const bool pending = view.mPending.epoch() != 0;
  const rpc::Roster& newest = pending ? view.mPending : view.mSettled;
  std::vector<PeerInfo> peers;
  for (const rpc::Host& host : newest.hosts()) {
    const auto caller = ParseSocketAddress(host.caller_address());
    const auto peer = ParseSocketAddress(host.peer_address());
    if (caller && peer) {
      peers.push_back({ host.host(), host.data_centre(), *peer, *caller });
    }
  }
  mDiscovery.SetPeers(peers);
  mDiscovery.SetRoster(ToRosterEpoch(newest),
                       pending ? std::optional(ToRosterEpoch(view.mSettled)) : std::nullopt);
  AdoptUpstreams();
}

void
EntryServer::BeginStop()
{
  if (mStopping) {
    return;
  }
  mStopping = true;
  LogEvent(Event::ProcessStopping, { { "running", mQueryPath.Running() } });
  mDiscovery.BeginLeaving();
  const TimePoint now = SteadyNow();
  mStopAt = now + kAddressLifetime + kStopMargin;
  mStopLimit = now + kStopTimeout;
  mLoop.AddPeriodic(std::chrono::milliseconds(100), [this] { FinishStop(); });
}

void
EntryServer::FinishStop()
{
  const TimePoint now = SteadyNow();
  if ((now >= mStopAt && mServer->OpenRequests() == 0) || now >= mStopLimit) {
    mLoop.Stop();
  }
}

} // namespace

int
RunEntry(const EntrySettings& aSettings)
{
  BlockStopSignals();
  EntryServer server(aSettings);
  return server.Run();
}

} // namespace apricotyard
