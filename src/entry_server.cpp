#include "entry_server.h"

#include "caller_access.h"
#include "codec.h"
#include "control_client.h"
#include "discovery_node.h"
#include "engine.h"
#include "http_client.h"
#include "http_server.h"
#include "log.h"
#include "loop.h"
#include "metrics.h"
#include "upstream_reply.h"

#include <fmt/format.h>
#include <grpcpp/grpcpp.h>
#include <nlohmann/json.hpp>

namespace apricotyard {

namespace {

// How long a stopping host serves on after the last address answer that named it has ended.
constexpr std::chrono::seconds kStopMargin{ 1 };
// A graceful stop ends after this time even if requests are still open.
constexpr std::chrono::seconds kStopLimit{ 30 };
// Time that a forwarded query may take beyond its deadline before the home host counts as lost.
constexpr Duration kForwardMargin = std::chrono::milliseconds(250);
// How soon a lost or regained right to serve shows in the address answers.
constexpr Duration kMayServeInterval = std::chrono::milliseconds(200);
constexpr std::size_t kMaxAnnouncement = std::size_t{ 16 } * 1024;

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

class EntryServer
{
public:
  explicit EntryServer(const EntrySettings& aSettings);
  int Run();

private:
  struct PendingQuery
  {
    std::string mRequestId;
    HttpResponder mRespond;
  };

  void HandleRequest(HttpRequest aRequest, const HttpResponder& aRespond);
  void HandleQuery(const HttpRequest& aRequest, const HttpResponder& aRespond);
  void HandleAnnounce(const HttpRequest& aRequest, const HttpResponder& aRespond);
  void HandleAddresses(const HttpRequest& aRequest, const HttpResponder& aRespond);
  void HandleStatus(const HttpResponder& aRespond);
  void CarryOut(Actions aActions);
  void Send(const SendSub& aSend);
  void OnSubReply(AttemptId aAttempt, const ClientReply& aReply);
  void Answer(const Respond& aRespond);
  void ArmTimer();
  bool Forward(const HttpRequest& aRequest,
               const QueryRequest& aQuery,
               const HttpResponder& aRespond);
  Duration ForwardTimeout(const QueryRequest& aQuery) const;
  DiscoveryHooks MakeDiscoveryHooks();
  void AdoptConfig(const ConfigUpdate& aUpdate);
  void AdoptView();
  void BeginStop();
  void FinishStop();

  const EntrySettings& mSettings;
  std::uint64_t mIncarnation;
  Loop mLoop;
  MetricsRegistry mMetrics;
  Counter& mQueries;
  Counter& mSubrequests;
  Distribution& mLatency;
  Rng mRng;
  Engine mEngine;
  HttpClient mClient;
  ControlClient mControl;
  // Served by the node below, so it is destroyed after it.
  std::unique_ptr<grpc::Service> mWitness;
  DiscoveryNode mDiscovery;
  std::unique_ptr<HttpServer> mServer;
  absl::flat_hash_map<QueryId, PendingQuery> mPending;
  absl::flat_hash_map<AttemptId, TransferId> mTransfers;
  QueryId mNextQuery = 1;
  TimerId mTimer = 0;
  std::optional<TimePoint> mTimerAt;
  bool mStopping = false;
  TimePoint mStopAt;
  TimePoint mStopLimit;
};

EntryServer::EntryServer(const EntrySettings& aSettings)
  : mSettings(aSettings)
  , mIncarnation(NewIncarnation())
  , mQueries(mMetrics.AddCounter("apricot_queries_total", "Queries received."))
  , mSubrequests(mMetrics.AddCounter("apricot_subrequests_total", "Sub-requests sent."))
  , mLatency(mMetrics.AddDistribution("apricot_query_seconds", "Time from arrival to answer."))
  , mRng(mIncarnation)
  , mClient(mLoop, aSettings.mAddress.mIp, 0)
  , mControl(mLoop,
             { aSettings.mHost,
               mIncarnation,
               aSettings.mDataCentre,
               aSettings.mAddress,
               aSettings.mPeerAddress },
             aSettings.mControl,
             [this](const ConfigUpdate& aUpdate) { AdoptConfig(aUpdate); })
  , mWitness(mControl.MakeWitnessService())
  , mDiscovery(mLoop,
               { aSettings.mHost,
                 mIncarnation,
                 aSettings.mDataCentre,
                 aSettings.mAddress,
                 aSettings.mPeerAddress,
                 aSettings.mCharts },
               MakeDiscoveryHooks(),
               mMetrics)
{
  mEngine.mDataCentre = aSettings.mDataCentre;
  // Attempt identifiers of an earlier incarnation are never used again.
  mEngine.mNextAttempt = mIncarnation << 12U;
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
  mControl.OnView([this] { AdoptView(); });
  mLoop.AddPeriodic(kMayServeInterval, [this] { mDiscovery.SetMayServe(mControl.MayServe()); });
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
  mQueries.Add();
  if (mStopping && mPending.size() > static_cast<std::size_t>(mSettings.mMaxConnections)) {
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
  if (Forward(aRequest, *request, aRespond)) {
    return;
  }
  request->mId = mNextQuery++;
  const std::string_view given = aRequest.Header("x-request-id");
  request->mRequestId = given.empty()
                          ? fmt::format("{}-{}-{}", mSettings.mHost, mIncarnation, request->mId)
                          : std::string(given.substr(0, 128));
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
  mPending.emplace(request->mId, PendingQuery{ request->mRequestId, aRespond });
  Actions actions;
  SubmitQuery(mEngine, *std::move(request), SteadyNow(), mRng, actions);
  CarryOut(std::move(actions));
}

void
EntryServer::HandleAnnounce(const HttpRequest& aRequest, const HttpResponder& aRespond)
{
  if (aRequest.mBody.size() > kMaxAnnouncement) {
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
    aRespond({ 200, *answer });
  } else {
    aRespond(ErrorResponse(answer.error().mResult, answer.error().mMessage));
  }
}

DiscoveryHooks
EntryServer::MakeDiscoveryHooks()
{
  DiscoveryHooks hooks;
  hooks.mSetUpstreams = [this](const std::vector<UpstreamInfo>& aUpstreams) {
    SetUpstreams(mEngine, aUpstreams);
  };
  hooks.mSetShares = [this](const std::map<std::string, ReplicaShare>& aShares) {
    std::map<std::string, std::uint32_t> slots;
    for (const auto& [upstream, share] : aShares) {
      slots[upstream] = share.mSlots;
    }
    SetShares(mEngine, std::move(slots));
  };
  hooks.mLoad = [this] { return mPending.size(); };
  return hooks;
}

Duration
EntryServer::ForwardTimeout(const QueryRequest& aQuery) const
{
  // The longest deadline that applies; the home host itself keeps the exact one.
  Duration timeout = aQuery.mDeadline.value_or(Duration(0));
  if (mEngine.mConfig != nullptr) {
    for (const auto& [name, policy] : mEngine.mConfig->mClasses) {
      timeout = std::max(timeout, policy.mDeadline);
    }
  }
  return timeout + kForwardMargin;
}

// Passes a query to a home host if this host holds no slots for it. One hop at most: a query that
// was forwarded once is run or refused here.
bool
EntryServer::Forward(const HttpRequest& aRequest,
                     const QueryRequest& aQuery,
                     const HttpResponder& aRespond)
{
  if (!aRequest.Header(kHeaderForwarded).empty()) {
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
  request.mHeaders = { { kHeaderForwarded, mSettings.mHost } };
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
  body["running"] = mPending.size();
  aRespond({ 200, body.dump() });
}

void
EntryServer::CarryOut(Actions aActions)
{
  for (Action& action : aActions) {
    if (const auto* const send = std::get_if<SendSub>(&action)) {
      Send(*send);
    } else if (const auto* const cancel = std::get_if<CancelSub>(&action)) {
      const auto transfer = mTransfers.find(cancel->mAttempt);
      if (transfer != mTransfers.end()) {
        mClient.Cancel(transfer->second);
        mTransfers.erase(transfer);
      }
    } else if (const auto* const respond = std::get_if<Respond>(&action)) {
      Answer(*respond);
    } else if (const auto* const decision = std::get_if<LogDecision>(&action)) {
      LogEvent(decision->mEvent, decision->mFields);
    }
  }
  ArmTimer();
}

void
EntryServer::Send(const SendSub& aSend)
{
  mSubrequests.Add();
  ClientRequest request;
  request.mAddress = aSend.mAddress;
  request.mPath = "/v1/search";
  request.mBody = *aSend.mBody;
  request.mTimeout = aSend.mTimeout;
  request.mExpectedHeader = { kHeaderSubrequest, fmt::to_string(aSend.mAttempt) };
  request.mHeaders = {
    { kHeaderSubrequest, fmt::to_string(aSend.mAttempt) },
    { kHeaderDeadline,
      fmt::to_string(std::chrono::floor<std::chrono::milliseconds>(aSend.mTimeout).count()) },
    { kHeaderVersion, fmt::to_string(aSend.mVersion) },
    { kHeaderMap, fmt::to_string(aSend.mShard.mMap) },
  };
  const AttemptId attempt = aSend.mAttempt;
  mTransfers[attempt] =
    mClient.Send(std::move(request),
                 [this, attempt](const ClientReply& aReply) { OnSubReply(attempt, aReply); });
}

void
EntryServer::OnSubReply(AttemptId aAttempt, const ClientReply& aReply)
{
  mTransfers.erase(aAttempt);
  Actions actions;
  const TimePoint now = SteadyNow();
  auto outcome = ReadUpstreamReply(aAttempt, aReply);
  if (auto* const reply = std::get_if<SubReply>(&outcome)) {
    OnReply(mEngine, std::move(*reply), now, mRng, actions);
  } else {
    const SubFailure& failure = std::get<SubFailure>(outcome);
    if (failure.mKind == FailureKind::BadReply) {
      LogEvent(Event::ReplyDiscarded, { { "attempt", aAttempt }, { "message", failure.mMessage } });
    }
    OnFailure(mEngine, failure, now, mRng, actions);
  }
  CarryOut(std::move(actions));
}

void
EntryServer::Answer(const Respond& aRespond)
{
  const auto node = mPending.extract(aRespond.mAnswer.mQuery);
  if (node.empty()) {
    return;
  }
  mLatency.Record(aRespond.mAnswer.mElapsed);
  HttpResponse response;
  response.mStatus = Describe(aRespond.mAnswer.mResult).mHttpStatus;
  response.mBody = EncodeAnswer(node.mapped().mRequestId, aRespond.mAnswer);
  node.mapped().mRespond(std::move(response));
}

void
EntryServer::ArmTimer()
{
  const std::optional<TimePoint> next = NextTimer(mEngine);
  if (next == mTimerAt) {
    return;
  }
  mLoop.CancelTimer(mTimer);
  mTimerAt = next;
  if (next) {
    mTimer = mLoop.AddTimer(*next, [this] {
      mTimerAt.reset();
      Actions actions;
      OnTimer(mEngine, SteadyNow(), mRng, actions);
      CarryOut(std::move(actions));
    });
  }
}

void
EntryServer::AdoptConfig(const ConfigUpdate& aUpdate)
{
  SetConfig(mEngine, std::make_shared<const Config>(aUpdate.mConfig));
  mDiscovery.SetConfig(mEngine.mConfig);
  mDiscovery.SetMayServe(mControl.MayServe());
  LogEvent(Event::ConfigurationAdopted, { { "revision", aUpdate.mRevision } });
}

// Hands the roster of control to discovery: the peers, and the epochs that divide the slots.
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
}

void
EntryServer::BeginStop()
{
  if (mStopping) {
    return;
  }
  mStopping = true;
  LogEvent(Event::ProcessStopping, { { "running", mPending.size() } });
  mDiscovery.BeginLeaving();
  const TimePoint now = SteadyNow();
  mStopAt = now + kAddressLifetime + kStopMargin;
  mStopLimit = now + kStopLimit;
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
