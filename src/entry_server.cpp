#include "entry_server.h"

#include "codec.h"
#include "control_client.h"
#include "directory.h"
#include "http_server.h"
#include "log.h"
#include "loop.h"
#include "metrics.h"
#include "query_path.h"

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
  void HandleRequest(HttpRequest aRequest, const HttpResponder& aRespond);
  // POST /v1/query and POST /v1/submit.
  void HandleQuery(const HttpRequest& aRequest, const HttpResponder& aRespond);
  void HandleAnnounce(const HttpRequest& aRequest, const HttpResponder& aRespond);
  void HandleAddresses(const HttpResponder& aRespond);
  void HandleStatus(const HttpResponder& aRespond);
  void CheckLeases();
  void AdoptConfig(const ConfigUpdate& aUpdate);
  void BeginStop();
  void FinishStop();

  const EntrySettings& mSettings;
  std::uint64_t mIncarnation;
  Loop mLoop;
  MetricsRegistry mMetrics;
  QueryPath mQueryPath;
  Engine& mEngine;
  Directory mDirectory;
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
    { "POST", "/v1/submit", [&] { HandleQuery(aRequest, aRespond); } },
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
  if (mStopping && mQueryPath.Running() > static_cast<std::size_t>(mSettings.mMaxConnections)) {
    aRespond(ErrorResponse(Result::Stopping, "the host is stopping"));
    return;
  }
  auto request = DecodeQuery(aRequest.mBody);
  if (!request) {
    aRespond(ErrorResponse(request.error().mResult, request.error().mMessage));
    return;
  }
  request->mRequestId = aRequest.Header("x-request-id").substr(0, 128);
  request->mCaller = aRequest.Header("x-caller");
  if (aRequest.mPath == "/v1/query") {
    mQueryPath.Query(*std::move(request), aRespond);
    return;
  }
  const std::string_view key = aRequest.Header("idempotency-key");
  if (!IsIdempotencyKey(key)) {
    aRespond(ErrorResponse(Result::BadRequest,
                           "Idempotency-Key must have the form EPOCH.RANDOM with 8 to 64 letters, "
                           "digits, '-' or '_' after the dot"));
    return;
  }
  mQueryPath.Submit(*std::move(request), std::string(key), aRespond);
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
    mQueryPath.Wake();
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
                             { "running", mQueryPath.Running() },
                             { "upstreams", upstreams } };
  aRespond({ 200, body.dump() });
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
    mQueryPath.Wake();
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
  LogEvent(Event::ProcessStopping, { { "running", mQueryPath.Running() } });
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
