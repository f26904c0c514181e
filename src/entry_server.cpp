#include "entry_server.h"

#include "codec.h"
#include "control_client.h"
#include "directory.h"
#include "engine.h"
#include "http_client.h"
#include "http_server.h"
#include "log.h"
#include "loop.h"
#include "metrics.h"
#include "upstream_reply.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace apricotyard {

namespace {

// Time that handed-out address answers stay valid, and how long a stopping host serves on.
constexpr std::chrono::seconds kAddressLifetime{ 5 };
constexpr std::chrono::seconds kStopMargin{ 1 };
// A graceful stop ends after this time even if requests are still open.
constexpr std::chrono::seconds kStopLimit{ 30 };
constexpr Duration kLeaseCheckInterval = std::chrono::milliseconds(500);
constexpr std::size_t kMaxAnnouncement = std::size_t{ 16 } * 1024;

std::uint64_t
NewIncarnation()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch())
      .count());
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
  void HandleAddresses(const HttpResponder& aRespond);
  void HandleStatus(const HttpResponder& aRespond);
  void CarryOut(Actions aActions);
  void Send(const SendSub& aSend);
  void OnSubReply(AttemptId aAttempt, const ClientReply& aReply);
  void Answer(const Respond& aRespond);
  void ArmTimer();
  void CheckLeases();
  void AdoptConfig(const ConfigUpdate& aUpdate);
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
  Directory mDirectory;
  HttpClient mClient;
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
  mLoop.AddPeriodic(kLeaseCheckInterval, [this] { CheckLeases(); });
  {
    const ControlClient control(
      mLoop,
      { mSettings.mHost, mIncarnation, mSettings.mDataCentre, mSettings.mAddress },
      mSettings.mControl,
      [this](const ConfigUpdate& aUpdate) { AdoptConfig(aUpdate); });
    LogEvent(Event::ProcessStarted,
             { { "host", mSettings.mHost },
               { "address", FormatSocketAddress(mSettings.mAddress) },
               { "incarnation", mIncarnation } });
    mLoop.Run();
  }
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
    { "GET", "/v1/addresses", [&] { HandleAddresses(aRespond); } },
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
  auto request = DecodeQuery(aRequest.mBody);
  if (!request) {
    aRespond(ErrorResponse(request.error().mResult, request.error().mMessage));
    return;
  }
  request->mId = mNextQuery++;
  const std::string_view given = aRequest.Header("x-request-id");
  request->mRequestId = given.empty()
                          ? fmt::format("{}-{}-{}", mSettings.mHost, mIncarnation, request->mId)
                          : std::string(given.substr(0, 128));
  request->mCaller = aRequest.Header("x-caller");
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
  const AnnounceOutcome outcome = ApplyAnnouncement(mDirectory, *info, SteadyNow());
  if (outcome == AnnounceOutcome::Changed) {
    SetUpstreams(mEngine, ListUpstreams(mDirectory));
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
EntryServer::HandleAddresses(const HttpResponder& aRespond)
{
  const nlohmann::json body{
    { "addresses",
      nlohmann::json::array({ { { "host", mSettings.mHost },
                                { "address", FormatSocketAddress(mSettings.mAddress) },
                                { "data_centre", mSettings.mDataCentre } } }) },
    { "lifetime_ms", std::chrono::milliseconds(kAddressLifetime).count() }
  };
  aRespond({ 200, body.dump() });
}

void
EntryServer::HandleStatus(const HttpResponder& aRespond)
{
  nlohmann::json upstreams = nlohmann::json::array();
  for (const UpstreamInfo& info : ListUpstreams(mDirectory)) {
    upstreams.push_back({ { "id", info.mId },
                          { "service", info.mService },
                          { "shard", info.mShard },
                          { "map", info.mMap },
                          { "versions", info.mVersions },
                          { "state", UpstreamStateName(info.mState) } });
  }
  const nlohmann::json body{ { "host", mSettings.mHost },
                             { "incarnation", mIncarnation },
                             { "revision", mEngine.mConfig ? mEngine.mConfig->mRevision : 0 },
                             { "running", mPending.size() },
                             { "upstreams", upstreams } };
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
EntryServer::CheckLeases()
{
  const std::vector<UpstreamInfo> expired = ExpireLeases(mDirectory, SteadyNow());
  for (const UpstreamInfo& info : expired) {
    LogEvent(Event::UpstreamExpired, { { "upstream", info.mId }, { "service", info.mService } });
  }
  if (!expired.empty()) {
    SetUpstreams(mEngine, ListUpstreams(mDirectory));
  }
}

void
EntryServer::AdoptConfig(const ConfigUpdate& aUpdate)
{
  ConfigResult parsed =
    ParseConfig(fmt::format("revision {}", aUpdate.mRevision), aUpdate.mDocument);
  parsed.mConfig.mRevision = aUpdate.mRevision;
  SetConfig(mEngine, std::make_shared<const Config>(std::move(parsed.mConfig)));
  LogEvent(Event::ConfigurationAdopted, { { "revision", aUpdate.mRevision } });
}

void
EntryServer::BeginStop()
{
  if (mStopping) {
    return;
  }
  mStopping = true;
  LogEvent(Event::ProcessStopping, { { "running", mPending.size() } });
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
  EntryServer server(aSettings);
  return server.Run();
}

} // namespace apricotyard
