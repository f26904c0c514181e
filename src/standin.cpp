#include "standin.h"

#include "chart.h"
#include "cmdline.h"
#include "codec.h"
#include "http_client.h"
#include "http_server.h"
#include "log.h"
#include "loop.h"

#include <deque>

#include <fmt/format.h>

namespace apricotyard {

namespace {

// Longest time between announcements. Each interval is up to 20% shorter at random, so that
// replicas that start together do not announce together.
constexpr Duration kRenewInterval = std::chrono::seconds(2);
// Before it announces to the next entry host after a failure.
constexpr Duration kMoveDelay = std::chrono::milliseconds(100);
constexpr Duration kAnnounceTimeout = std::chrono::seconds(1);
constexpr Duration kWarmUp = std::chrono::milliseconds(100);
// How long a drained replica waits for entry hosts to learn of the drain before it exits.
constexpr Duration kDrainTime = std::chrono::seconds(2);

// The numbers of the chart's events, in the order of charts/upstream.toml.
constexpr ChartEvent kWarm = 0;
constexpr ChartEvent kDrain = 1;
constexpr ChartEvent kFinished = 2;

struct Job
{
  HttpRequest mRequest;
  HttpResponder mRespond;
  TimePoint mDeadline;
};

std::uint64_t
HeaderNumber(const HttpRequest& aRequest, std::string_view aName)
{
  return std::strtoull(std::string(aRequest.Header(aName)).c_str(), nullptr, 10);
}

HttpResponse
NotRun(int aStatus, Result aResult, std::string_view aMessage)
{
  HttpResponse response = ErrorResponse(aResult, aMessage);
  response.mStatus = aStatus;
  response.mHeaders.push_back({ kHeaderNotRun, "true" });
  return response;
}

class Standin
{
public:
  Standin(const StandinSettings& aSettings, Chart aChart);
  int Run();

private:
  void HandleRequest(HttpRequest aRequest, const HttpResponder& aRespond);
  void HandleSearch(HttpRequest aRequest, const HttpResponder& aRespond);
  void StartNext();
  void Finish(const Job& aJob);
  // Announces to one entry host and moves to the next one when that fails.
  void Announce();
  void Renew();
  Duration Varied(Duration aInterval);
  void Apply(ChartEvent aEvent);
  void CheckDrained();

  StandinSettings mSettings;
  Chart mChart;
  Loop mLoop;
  HttpClient mClient;
  std::unique_ptr<HttpServer> mServer;
  std::deque<Job> mQueue;
  std::uint32_t mBusy = 0;
  Rng mRng;
  // Index of the entry host that gets the announcements, modulo their number.
  std::size_t mEntry = 0;
  TimePoint mDrainEnd;
};

Standin::Standin(const StandinSettings& aSettings, Chart aChart)
  : mSettings(aSettings)
  , mChart(std::move(aChart))
  , mClient(mLoop, aSettings.mInfo.mAddress.mIp, 1)
{
  mSettings.mInfo.mIncarnation = static_cast<std::uint64_t>(
    std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch())
      .count());
  mSettings.mInfo.mState = static_cast<UpstreamState>(mChart.mInitial);
  mRng.seed(mSettings.mInfo.mIncarnation ^ std::hash<std::string>{}(mSettings.mInfo.mId));
  mEntry = mRng() % mSettings.mEntries.size();
}

void
Standin::Apply(ChartEvent aEvent)
{
  const auto state = static_cast<ChartState>(mSettings.mInfo.mState);
  const ChartState next = Step(mChart, state, aEvent);
  if (next == kNoTransition || next == state) {
    return;
  }
  mSettings.mInfo.mState = static_cast<UpstreamState>(next);
  Announce();
}

void
Standin::Announce()
{
  // Each message has its own sequence, so that a host that received an earlier attempt late never
  // counts as the newer registrar.
  ++mSettings.mInfo.mSequence;
  ClientRequest request;
  request.mAddress = mSettings.mEntries[mEntry % mSettings.mEntries.size()];
  request.mPath = "/v1/announce";
  request.mBody = EncodeAnnouncement(mSettings.mInfo);
  request.mTimeout = kAnnounceTimeout;
  const std::uint64_t sequence = mSettings.mInfo.mSequence;
  mClient.Send(std::move(request), [this, sequence](const ClientReply& aReply) {
    const bool taken = aReply.mEnd == TransferEnd::Complete && aReply.mStatus == 200;
    if (taken || sequence != mSettings.mInfo.mSequence) {
      return;
    }
    ++mEntry;
    mLoop.AddTimer(SteadyNow() + Varied(kMoveDelay), [this, sequence] {
      if (sequence == mSettings.mInfo.mSequence) {
        Announce();
      }
    });
  });
}

void
Standin::Renew()
{
  Announce();
  mLoop.AddTimer(SteadyNow() + Varied(kRenewInterval), [this] { Renew(); });
}

Duration
Standin::Varied(Duration aInterval)
{
  return aInterval * static_cast<std::int64_t>(800 + mRng() % 201) / 1000;
}

void
Standin::HandleRequest(HttpRequest aRequest, const HttpResponder& aRespond)
{
  if (aRequest.mMethod == "POST" && aRequest.mPath == "/v1/search") {
    HandleSearch(std::move(aRequest), aRespond);
  } else if (aRequest.mMethod == "POST" && aRequest.mPath == "/v1/drain") {
    Apply(kDrain);
    aRespond({ 200, "{}" });
  } else {
    aRespond(ErrorResponse(Result::NotFound, "no such path"));
  }
}

void
Standin::HandleSearch(HttpRequest aRequest, const HttpResponder& aRespond)
{
  const std::uint64_t version = HeaderNumber(aRequest, kHeaderVersion);
  const auto& versions = mSettings.mInfo.mVersions;
  if (std::find(versions.begin(), versions.end(), version) == versions.end() ||
      HeaderNumber(aRequest, kHeaderMap) != mSettings.mInfo.mMap) {
    aRespond(NotRun(409, Result::NotFound, "the snapshot is not served here"));
    return;
  }
  if (mQueue.size() >= static_cast<std::size_t>(mSettings.mQueueLimit)) {
    aRespond(NotRun(503, Result::QueueFull, "overloaded"));
    return;
  }
  const auto budget = std::chrono::milliseconds(HeaderNumber(aRequest, kHeaderDeadline));
  mQueue.push_back({ std::move(aRequest), aRespond, SteadyNow() + budget });
  StartNext();
}

void
Standin::StartNext()
{
  while (mBusy < mSettings.mInfo.mSlots && !mQueue.empty()) {
    const Job job = std::move(mQueue.front());
    mQueue.pop_front();
    if (SteadyNow() > job.mDeadline) {
      job.mRespond(NotRun(503, Result::ExpiredInQueue, "the deadline passed in the queue"));
      continue;
    }
    ++mBusy;
    mLoop.AddTimer(SteadyNow() + mSettings.mServiceTime, [this, job] {
      --mBusy;
      Finish(job);
      StartNext();
    });
  }
}

void
Standin::Finish(const Job& aJob)
{
  const UpstreamInfo& info = mSettings.mInfo;
  SubReply reply;
  reply.mAttempt = HeaderNumber(aJob.mRequest, kHeaderSubrequest);
  reply.mShard = { info.mService, info.mMap, info.mShard };
  reply.mVersion = HeaderNumber(aJob.mRequest, kHeaderVersion);
  for (std::int64_t i = 0; i < mSettings.mItems; ++i) {
    reply.mItems.push_back(
      fmt::format(R"({{"document":"{}-{}-{}"}})", info.mService, info.mShard, i));
  }
  HttpResponse response;
  response.mBody = EncodeSubReply(reply);
  response.mHeaders.push_back({ kHeaderSubrequest, fmt::to_string(reply.mAttempt) });
  aJob.mRespond(std::move(response));
}

void
Standin::CheckDrained()
{
  if (mSettings.mInfo.mState == UpstreamState::Draining && SteadyNow() >= mDrainEnd &&
      mServer->OpenRequests() == 0) {
    Apply(kFinished);
    mLoop.AddTimer(SteadyNow() + std::chrono::milliseconds(200), [this] { mLoop.Stop(); });
  }
}

int
Standin::Run()
{
  HandleStopSignals(mLoop, [this] {
    LogEvent(Event::ProcessStopping, { { "upstream", mSettings.mInfo.mId } });
    mDrainEnd = SteadyNow() + kDrainTime;
    Apply(kDrain);
    mLoop.AddPeriodic(std::chrono::milliseconds(100), [this] { CheckDrained(); });
  });
  StartLogger("apricot-upstream", mSettings.mLogLevel);
  auto server = HttpServer::Builder(mLoop, mSettings.mInfo.mAddress)
                  .MaxConnections(mSettings.mInfo.mConnections)
                  .OnRequest([this](HttpRequest aRequest, const HttpResponder& aRespond) {
                    HandleRequest(std::move(aRequest), aRespond);
                  })
                  .Start();
  if (!server) {
    LogEvent(Event::StartFailed, { { "reason", server.error().mMessage } });
    StopLogger();
    return kExitFailure;
  }
  mServer = *std::move(server);
  LogEvent(Event::ProcessStarted, { { "upstream", mSettings.mInfo.mId } });
  Renew();
  mLoop.AddTimer(SteadyNow() + kWarmUp, [this] { Apply(kWarm); });
  mLoop.Run();
  mServer.reset();
  LogEvent(Event::ProcessStopped, { { "upstream", mSettings.mInfo.mId } });
  StopLogger();
  return kExitOk;
}

} // namespace

void
ReadStandinSettings(SettingsReader& aReader, StandinSettings& aSettings)
{
  UpstreamInfo& info = aSettings.mInfo;
  std::int64_t shard = 0;
  std::int64_t map = 1;
  std::int64_t slots = 2;
  std::int64_t connections = 40;
  std::int64_t version = 1;
  std::int64_t low = 0;
  std::int64_t high = kKeySpace;
  aReader.Text("id", Presence::Required, 1, 64, info.mId);
  aReader.Text("service", Presence::Required, 1, 64, info.mService);
  aReader.Text("data_centre", Presence::Required, 1, 64, info.mDataCentre);
  aReader.Address("address", Presence::Required, info.mAddress);
  aReader.AddressList("entries", Presence::Required, aSettings.mEntries);
  if (aReader.Has("entries") && aSettings.mEntries.empty()) {
    aReader.Problem("entries", "at least one entry host is needed");
  }
  aReader.Integer("shard", Presence::Optional, 0, 100'000, shard);
  aReader.Integer("map", Presence::Optional, 1, 1'000'000, map);
  aReader.Integer("range_low", Presence::Optional, 0, kKeySpace - 1, low);
  aReader.Integer("range_high", Presence::Optional, 1, kKeySpace, high);
  aReader.Integer("slots", Presence::Optional, 1, 1000, slots);
  aReader.Integer("connections", Presence::Optional, 1, 10'000, connections);
  aReader.Integer("index_version", Presence::Optional, 1, INT64_MAX, version);
  aReader.Integer("queue_limit", Presence::Optional, 1, 10'000, aSettings.mQueueLimit);
  aReader.Integer("items", Presence::Optional, 0, 10'000, aSettings.mItems);
  aReader.Time("service_time",
               Presence::Optional,
               Duration(0),
               std::chrono::minutes(1),
               aSettings.mServiceTime);
  aReader.Text("chart", Presence::Optional, 1, 4096, aSettings.mChart);
  ReadLogSettings(aReader, aSettings.mLogLevel);
  if (high <= low) {
    aReader.Problem("range_high", "must exceed range_low");
  }
  info.mShard = static_cast<std::uint32_t>(shard);
  info.mMap = static_cast<std::uint32_t>(map);
  info.mRange = { static_cast<std::uint64_t>(low), static_cast<std::uint64_t>(high) };
  info.mSlots = static_cast<std::uint32_t>(slots);
  info.mConnections = static_cast<std::uint32_t>(connections);
  info.mVersions = { static_cast<IndexVersion>(version) };
}

int
RunStandin(const StandinSettings& aSettings)
{
  auto chart = LoadChart(aSettings.mChart);
  if (chart) {
    const auto names = CheckNames(
      *chart, { "starting", "ready", "draining", "left" }, { "warm", "drain", "finished" });
    if (!names) {
      chart = tl::unexpected(names.error());
    }
  }
  if (!chart) {
    fmt::print(stderr, "{}\n", chart.error().mMessage);
    return kExitFailure;
  }
  Standin standin(aSettings, *std::move(chart));
  return standin.Run();
}

} // namespace apricotyard
