#include "standin.h"

#include "cmdline.h"
#include "codec.h"
#include "http_client.h"
#include "log.h"
#include "loop.h"

#include <algorithm>
#include <deque>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace apricotyard {

namespace {

using Json = nlohmann::json;

// Maximum interval between announcements. Each interval is up to 20% shorter at random, so that
// replicas that start together spread their announcements.
constexpr Duration kAnnounceInterval = std::chrono::seconds(2);
// Delay until an announcement that failed is sent to the next entry host.
constexpr Duration kAnnounceRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kAnnounceTimeout = std::chrono::seconds(1);
// Time in state "starting".
constexpr Duration kStartupTime = std::chrono::milliseconds(100);
// A draining replica accepts work for this time and does not exit earlier, so that every entry host
// can learn of the drain first.
constexpr Duration kDrainGrace = std::chrono::seconds(2);
constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(100);
// Time to send the last announcement before the process exits.
constexpr Duration kFinalAnnounceTime = std::chrono::milliseconds(200);
// Time limit of a sub-request without a deadline header.
constexpr Duration kDefaultDeadline = std::chrono::minutes(1);
// Factor on the service time at a cold start.
constexpr std::int64_t kColdSlowdown = 10;
// One byte more than the reply limit of an entry host.
constexpr std::size_t kOversizedItemBytes = std::size_t{ 4 } * 1024 * 1024 + 1;
// Further keys are not counted by GET /v1/runs.
constexpr std::size_t kMaxCountedKeys = 10'000;
constexpr std::size_t kMaxKeyBytes = 128;
constexpr const char* kHeaderDraining = "x-draining";

// Indexes of the chart events, in the order of charts/upstream.toml.
constexpr ChartEvent kWarm = 0;
constexpr ChartEvent kDrain = 1;
constexpr ChartEvent kUndrain = 2;
constexpr ChartEvent kFinished = 3;

// An accepted sub-request, waiting or running.
struct Job
{
  ConnectionId mConnection = 0;
  std::uint64_t mSubrequest = 0;
  IndexVersion mVersion = 0;
  // Under which GET /v1/runs counts the run: the idempotency key or, without one, the body.
  std::string mKey;
  std::string mBody;
  TimePoint mDeadline;
};

std::optional<std::uint64_t>
HeaderNumber(const HttpRequest& aRequest, std::string_view aName)
{
  const std::string text(aRequest.Header(aName));
  if (text.empty() || text.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  return std::strtoull(text.c_str(), nullptr, 10);
}

HttpResponse
NotRunResponse(Result aResult, std::string_view aMessage)
{
  HttpResponse response = ErrorResponse(aResult, aMessage);
  response.mHeaders.push_back({ kHeaderNotRun, "true" });
  if (aResult == Result::QueueFull) {
    // An upstream sheds load with 503. The status 429 of this result is for replies to callers.
    response.mStatus = 503;
  }
  if (aResult == Result::UpstreamDraining) {
    response.mHeaders.push_back({ kHeaderDraining, "true" });
  }
  return response;
}

// Reads the optional fields of POST /v1/faults. Keeps the first error.
class FaultReader
{
public:
  explicit FaultReader(const Json& aObject)
    : mObject(aObject)
  {
  }

  void Boolean(const char* aName, bool& aOut)
  {
    if (const Json* const value = Find(aName)) {
      if (value->is_boolean()) {
        aOut = value->get<bool>();
      } else {
        SetError(fmt::format("'{}' must be true or false", aName));
      }
    }
  }

  // Returns nothing if the field is absent or invalid.
  std::optional<std::uint64_t> Number(const char* aName, std::uint64_t aMin, std::uint64_t aMax)
  {
    const Json* const value = Find(aName);
    if (value == nullptr) {
      return std::nullopt;
    }
    if (!value->is_number_unsigned() || value->get<std::uint64_t>() < aMin ||
        value->get<std::uint64_t>() > aMax) {
      SetError(fmt::format("'{}' must be an integer from {} to {}", aName, aMin, aMax));
      return std::nullopt;
    }
    return value->get<std::uint64_t>();
  }

  void Text(const char* aName, std::string& aOut)
  {
    if (const Json* const value = Find(aName)) {
      if (value->is_string() && value->get_ref<const std::string&>().size() <= kMaxKeyBytes) {
        aOut = value->get<std::string>();
      } else {
        SetError(fmt::format("'{}' must be a text of at most {} bytes", aName, kMaxKeyBytes));
      }
    }
  }

  void Versions(const char* aName, std::optional<std::vector<IndexVersion>>& aOut)
  {
    const Json* const value = Find(aName);
    if (value == nullptr) {
      return;
    }
    constexpr std::size_t kMaxVersions = 64;
    const bool valid = value->is_array() && value->size() <= kMaxVersions &&
                       std::all_of(value->begin(), value->end(), [](const Json& aVersion) {
                         return aVersion.is_number_unsigned();
                       });
    if (valid) {
      aOut = value->get<std::vector<IndexVersion>>();
    } else {
      SetError(fmt::format("'{}' must be an array of at most {} integers", aName, kMaxVersions));
    }
  }

  void SetError(std::string aMessage)
  {
    if (mError.empty()) {
      mError = std::move(aMessage);
    }
  }

  Expected<void> Finish()
  {
    for (const auto& [key, value] : mObject.items()) {
      if (std::find(mKnownFields.begin(), mKnownFields.end(), key) == mKnownFields.end()) {
        SetError(fmt::format("unknown field '{}'", key));
      }
    }
    if (!mError.empty()) {
      return Fail(Result::BadRequest, mError);
    }
    return {};
  }

private:
  // Marks the field as known. Returns null if the request omits it.
  const Json* Find(const char* aName)
  {
    mKnownFields.emplace_back(aName);
    const auto found = mObject.find(aName);
    return found == mObject.end() ? nullptr : &*found;
  }

  const Json& mObject;
  std::vector<std::string> mKnownFields;
  std::string mError;
};

void
ReadFaultFlags(FaultReader& aReader, StandinFaults& aFaults)
{
  aReader.Boolean("drop_replies", aFaults.mDropReplies);
  aReader.Boolean("close_after_read", aFaults.mCloseAfterRead);
  aReader.Boolean("truncate_reply", aFaults.mTruncateReply);
  aReader.Boolean("crossed_reply", aFaults.mMismatchedReply);
  aReader.Boolean("oversized_reply", aFaults.mOversizedReply);
  aReader.Boolean("wrong_version", aFaults.mWrongVersion);
  aReader.Boolean("refuse_connections", aFaults.mRefuseConnections);
  aReader.Boolean("shed", aFaults.mShed);
  aReader.Boolean("misleading_health", aFaults.mMisleadingHealth);
  aReader.Boolean("misleading_load", aFaults.mMisleadingLoad);
  aReader.Text("crash_on", aFaults.mCrashText);
}

void
ReadFaultValues(FaultReader& aReader, FaultRequest& aRequest)
{
  constexpr std::uint64_t kMaxMillis = 600'000;
  if (const auto factor = aReader.Number("delay_factor", 1, 10'000)) {
    aRequest.mFaults.mDelayFactor = *factor;
  }
  if (const auto cost = aReader.Number("connect_cost_ms", 0, kMaxMillis)) {
    aRequest.mFaults.mConnectCost = std::chrono::milliseconds(*cost);
  }
  if (const auto cold = aReader.Number("cold_ms", 0, kMaxMillis)) {
    aRequest.mColdTime = std::chrono::milliseconds(*cold);
  }
  if (const auto map = aReader.Number("map", 1, UINT32_MAX)) {
    aRequest.mMap = static_cast<std::uint32_t>(*map);
  }
  if (const auto shard = aReader.Number("shard", 0, UINT32_MAX)) {
    aRequest.mShard = static_cast<std::uint32_t>(*shard);
  }
  const auto low = aReader.Number("range_low", 0, kKeySpace - 1);
  const auto high = aReader.Number("range_high", 1, kKeySpace);
  if (low.has_value() != high.has_value() || (low && *high <= *low)) {
    aReader.SetError("'range_low' and 'range_high' go together, and the latter must be larger");
  } else if (low) {
    aRequest.mRange = KeyRange{ *low, *high };
  }
  aReader.Boolean("silence_connections", aRequest.mSilenceConnections);
  aReader.Versions("versions", aRequest.mVersions);
}

std::string
EncodeFaults(const StandinFaults& aFaults)
{
  const auto cost = std::chrono::duration_cast<std::chrono::milliseconds>(aFaults.mConnectCost);
  return Json{
    { "delay_factor", aFaults.mDelayFactor },
    { "connect_cost_ms", cost.count() },
    { "drop_replies", aFaults.mDropReplies },
    { "close_after_read", aFaults.mCloseAfterRead },
    { "truncate_reply", aFaults.mTruncateReply },
    { "crossed_reply", aFaults.mMismatchedReply },
    { "oversized_reply", aFaults.mOversizedReply },
    { "wrong_version", aFaults.mWrongVersion },
    { "refuse_connections", aFaults.mRefuseConnections },
    { "shed", aFaults.mShed },
    { "misleading_health", aFaults.mMisleadingHealth },
    { "misleading_load", aFaults.mMisleadingLoad },
    { "crash_on", aFaults.mCrashText }
  }.dump();
}

} // namespace

Expected<FaultRequest>
DecodeFaults(std::string_view aBody, const StandinFaults& aCurrent)
{
  const Json body = Json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return Fail(Result::BadRequest, "the body is not a JSON object");
  }
  FaultRequest request;
  request.mFaults = aCurrent;
  FaultReader reader(body);
  ReadFaultFlags(reader, request.mFaults);
  ReadFaultValues(reader, request);
  if (body.contains("drain")) {
    bool drain = false;
    reader.Boolean("drain", drain);
    request.mDrain = drain;
  }
  if (const auto finished = reader.Finish(); !finished) {
    return tl::unexpected(finished.error());
  }
  return request;
}

struct Standin::State : std::enable_shared_from_this<Standin::State>
{
  State(Loop& aLoop, StandinSettings aSettings, Chart aChart, std::function<void()> aCrash);

  void HandleRequest(ConnectionId aConnection, const HttpRequest& aRequest);
  void HandleSearch(ConnectionId aConnection, const HttpRequest& aRequest);
  void HandleCancel(ConnectionId aConnection, const std::string& aSubrequest);
  void HandleFaults(ConnectionId aConnection, const HttpRequest& aRequest);
  void HandleLoad(ConnectionId aConnection);
  void HandleRunCounts(ConnectionId aConnection);
  void ApplyFaults(const FaultRequest& aRequest);
  void StartNext();
  // Sends an error response that carries the identifier of the sub-request.
  void ReplyWithError(const Job& aJob, HttpResponse aResponse);
  void Finish(const Job& aJob);
  void SendReply(const Job& aJob);
  HttpResponse MakeReply(const Job& aJob) const;
  // Service time with the current faults and warm-up.
  Duration CurrentServiceTime() const;
  // Announces to the current entry host. After a failure, tries the next one.
  void Announce();
  void AnnouncePeriodically();
  // Returns aInterval shortened by up to 20% at random.
  Duration AddJitter(Duration aInterval);
  void ApplyEvent(ChartEvent aEvent);
  // Polls until the drain is over, then announces that the replica has left and calls aDone.
  void WaitUntilIdle(const std::function<void()>& aDone);
  // True once the grace time of a drain is over.
  bool MustRefuseWork() const;
  // Runs aTask after aDelay, unless this object has been destroyed by then.
  void RunAfter(Duration aDelay, std::function<void()> aTask);

  Loop& mLoop;
  StandinSettings mSettings;
  Chart mChart;
  std::function<void()> mCrash;
  HttpClient mClient;
  FaultInjectingServer mServer;
  StandinFaults mFaults;
  std::deque<Job> mQueue;
  std::map<std::uint64_t, Job> mRunning;
  std::map<std::string, std::uint64_t> mRunCounts;
  std::uint64_t mNextRunId = 1;
  TimePoint mColdSince;
  Duration mWarmUpTime{};
  TimePoint mDrainEnd;
  Rng mRng;
  // Index of the current entry host, modulo the number of entry hosts.
  std::size_t mEntryIndex = 0;
};

Standin::State::State(Loop& aLoop,
                      StandinSettings aSettings,
                      Chart aChart,
                      std::function<void()> aCrash)
  : mLoop(aLoop)
  , mSettings(std::move(aSettings))
  , mChart(std::move(aChart))
  , mCrash(std::move(aCrash))
  , mClient(aLoop, mSettings.mInfo.mAddress.mIp, 1)
  , mServer(aLoop,
            mSettings.mInfo.mAddress,
            mSettings.mInfo.mConnections,
            [this](ConnectionId aConnection, const HttpRequest& aRequest) {
              HandleRequest(aConnection, aRequest);
            })
{
  mSettings.mInfo.mIncarnation = static_cast<std::uint64_t>(
    std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch())
      .count());
  mSettings.mInfo.mState = static_cast<UpstreamState>(mChart.mInitial);
  mRng.seed(mSettings.mInfo.mIncarnation ^ std::hash<std::string>{}(mSettings.mInfo.mId));
  mEntryIndex = mRng() % std::max<std::size_t>(1, mSettings.mEntryHosts.size());
}

void
Standin::State::RunAfter(Duration aDelay, std::function<void()> aTask)
{
  mLoop.AddTimer(SteadyNow() + aDelay, [self = weak_from_this(), task = std::move(aTask)] {
    if (const auto state = self.lock()) {
      task();
    }
  });
}

void
Standin::State::ApplyEvent(ChartEvent aEvent)
{
  const auto state = static_cast<ChartState>(mSettings.mInfo.mState);
  const ChartState next = Step(mChart, state, aEvent);
  if (next == kNoTransition || next == state) {
    return;
  }
  mSettings.mInfo.mState = static_cast<UpstreamState>(next);
  if (mSettings.mInfo.mState == UpstreamState::Draining) {
    mDrainEnd = SteadyNow() + kDrainGrace;
  }
  Announce();
}

void
Standin::State::Announce()
{
  if (mSettings.mEntryHosts.empty()) {
    return;
  }
  // Each message has a new sequence. Otherwise a host that receives an earlier attempt late could
  // count as the newer registrar.
  ++mSettings.mInfo.mSequence;
  ClientRequest request;
  request.mAddress = mSettings.mEntryHosts[mEntryIndex % mSettings.mEntryHosts.size()];
  request.mPath = "/v1/announce";
  request.mBody = EncodeAnnouncement(mSettings.mInfo);
  request.mTimeout = kAnnounceTimeout;
  const std::uint64_t sequence = mSettings.mInfo.mSequence;
  mClient.Send(std::move(request), [this, sequence](const ClientReply& aReply) {
    const bool accepted = aReply.mEnd == TransferEnd::Complete && aReply.mStatus == 200;
    if (accepted || sequence != mSettings.mInfo.mSequence) {
      return;
    }
    ++mEntryIndex;
    RunAfter(AddJitter(kAnnounceRetryDelay), [this, sequence] {
      if (sequence == mSettings.mInfo.mSequence) {
        Announce();
      }
    });
  });
}

void
Standin::State::AnnouncePeriodically()
{
  Announce();
  RunAfter(AddJitter(kAnnounceInterval), [this] { AnnouncePeriodically(); });
}

Duration
Standin::State::AddJitter(Duration aInterval)
{
  return aInterval * static_cast<std::int64_t>(800 + mRng() % 201) / 1000;
}

void
Standin::State::HandleRequest(ConnectionId aConnection, const HttpRequest& aRequest)
{
  constexpr std::string_view kCancelPath = "/v1/search/";
  const std::string& path = aRequest.mPath;
  const bool post = aRequest.mMethod == "POST";
  const bool get = aRequest.mMethod == "GET";
  if (post && path == "/v1/search") {
    HandleSearch(aConnection, aRequest);
  } else if (aRequest.mMethod == "DELETE" && path.starts_with(kCancelPath)) {
    HandleCancel(aConnection, path.substr(kCancelPath.size()));
  } else if (post && path == "/v1/faults") {
    HandleFaults(aConnection, aRequest);
  } else if (get && path == "/v1/faults") {
    mServer.Reply(aConnection, { 200, EncodeFaults(mFaults) });
  } else if (post && (path == "/v1/drain" || path == "/v1/undrain")) {
    ApplyEvent(path == "/v1/drain" ? kDrain : kUndrain);
    mServer.Reply(aConnection, { 200, "{}" });
  } else if (get && path == "/v1/runs") {
    HandleRunCounts(aConnection);
  } else if (get && path == "/v1/load") {
    HandleLoad(aConnection);
  } else if (get && path == "/v1/health") {
    const bool healthy =
      mFaults.mMisleadingHealth || mSettings.mInfo.mState == UpstreamState::Ready;
    mServer.Reply(aConnection, { healthy ? 200 : 503, Json{ { "healthy", healthy } }.dump() });
  } else {
    mServer.Reply(aConnection, ErrorResponse(Result::NotFound, "no such path"));
  }
}

void
Standin::State::HandleLoad(ConnectionId aConnection)
{
  const bool misleading = mFaults.mMisleadingLoad;
  const Json body{ { "slots", mSettings.mInfo.mSlots },
                   { "running", misleading ? 0 : mRunning.size() },
                   { "queued", misleading ? 0 : mQueue.size() } };
  mServer.Reply(aConnection, { 200, body.dump() });
}

void
Standin::State::HandleRunCounts(ConnectionId aConnection)
{
  mServer.Reply(aConnection, { 200, Json{ { "runs", mRunCounts } }.dump() });
}

bool
Standin::State::MustRefuseWork() const
{
  return mSettings.mInfo.mState == UpstreamState::Draining && SteadyNow() >= mDrainEnd;
}

void
Standin::State::HandleSearch(ConnectionId aConnection, const HttpRequest& aRequest)
{
  const auto subrequest = HeaderNumber(aRequest, kHeaderSubrequest);
  const auto version = HeaderNumber(aRequest, kHeaderVersion);
  const auto map = HeaderNumber(aRequest, kHeaderMap);
  if (!subrequest || !version || !map) {
    HttpResponse refusal = NotRunResponse(
      Result::BadRequest, "the headers of identity, version and map are required numbers");
    mServer.Reply(aConnection, refusal);
    return;
  }
  const auto& versions = mSettings.mInfo.mVersions;
  const bool offered = std::find(versions.begin(), versions.end(), *version) != versions.end();
  std::optional<HttpResponse> refusal;
  if (MustRefuseWork()) {
    refusal = NotRunResponse(Result::UpstreamDraining, "draining");
  } else if (!offered || *map != mSettings.mInfo.mMap) {
    refusal = NotRunResponse(Result::SnapshotNotServed, "the snapshot is not served here");
  } else if (mFaults.mShed || mQueue.size() >= static_cast<std::size_t>(mSettings.mQueueLimit)) {
    refusal = NotRunResponse(Result::QueueFull, "overloaded");
  }
  if (refusal) {
    refusal->mHeaders.push_back({ kHeaderSubrequest, fmt::to_string(*subrequest) });
    mServer.Reply(aConnection, *refusal);
    return;
  }
  const auto deadline = HeaderNumber(aRequest, kHeaderDeadline);
  const Duration budget =
    deadline ? Duration(std::chrono::milliseconds(*deadline)) : kDefaultDeadline;
  const std::string_view key = aRequest.Header("idempotency-key");
  mQueue.push_back({ aConnection,
                     *subrequest,
                     *version,
                     std::string(key.empty() ? aRequest.mBody : key).substr(0, kMaxKeyBytes),
                     aRequest.mBody,
                     SteadyNow() + budget });
  StartNext();
}

void
Standin::State::HandleCancel(ConnectionId aConnection, const std::string& aSubrequest)
{
  std::string outcome = "unknown";
  const auto matches = [&aSubrequest](const Job& aJob) {
    return fmt::to_string(aJob.mSubrequest) == aSubrequest;
  };
  const auto queued = std::find_if(mQueue.begin(), mQueue.end(), matches);
  const auto running = std::find_if(
    mRunning.begin(), mRunning.end(), [&](const auto& aEntry) { return matches(aEntry.second); });
  if (queued != mQueue.end()) {
    const Job job = *queued;
    mQueue.erase(queued);
    ReplyWithError(job, NotRunResponse(Result::SubrequestCancelled, "cancelled in the queue"));
    outcome = "not_run";
  } else if (running != mRunning.end()) {
    const Job job = running->second;
    mRunning.erase(running);
    ReplyWithError(job, ErrorResponse(Result::SubrequestStopped, "cancelled"));
    outcome = "stopped";
    StartNext();
  }
  mServer.Reply(aConnection, { 200, Json{ { "outcome", outcome } }.dump() });
}

void
Standin::State::HandleFaults(ConnectionId aConnection, const HttpRequest& aRequest)
{
  const auto request = DecodeFaults(aRequest.mBody, mFaults);
  if (!request) {
    LogEvent(Event::FaultsRefused,
             { { "upstream", mSettings.mInfo.mId }, { "message", request.error().mMessage } });
    mServer.Reply(aConnection, ErrorResponse(Result::BadRequest, request.error().mMessage));
    return;
  }
  // Reply first: silenced connections deliver nothing.
  mServer.Reply(aConnection, { 200, EncodeFaults(request->mFaults) });
  ApplyFaults(*request);
  LogEvent(Event::FaultsSwitched,
           { { "upstream", mSettings.mInfo.mId }, { "request", aRequest.mBody } });
}

void
Standin::State::ApplyFaults(const FaultRequest& aRequest)
{
  mFaults = aRequest.mFaults;
  if (mFaults.mRefuseConnections) {
    mServer.StopListening();
  } else if (const auto listening = mServer.Listen(); !listening) {
    LogEvent(Event::StartFailed, { { "reason", listening.error().mMessage } });
  }
  if (aRequest.mSilenceConnections) {
    mServer.SilenceConnections();
  }
  if (aRequest.mColdTime) {
    mColdSince = SteadyNow();
    mWarmUpTime = *aRequest.mColdTime;
  }
  UpstreamInfo& info = mSettings.mInfo;
  const UpstreamInfo previous = info;
  info.mVersions = aRequest.mVersions.value_or(info.mVersions);
  info.mMap = aRequest.mMap.value_or(info.mMap);
  info.mShard = aRequest.mShard.value_or(info.mShard);
  info.mRange = aRequest.mRange.value_or(info.mRange);
  if (info != previous) {
    Announce();
  }
  if (aRequest.mDrain) {
    ApplyEvent(*aRequest.mDrain ? kDrain : kUndrain);
  }
}

Duration
Standin::State::CurrentServiceTime() const
{
  Duration time = mSettings.mServiceTime * mFaults.mDelayFactor;
  const Duration elapsed = SteadyNow() - mColdSince;
  if (elapsed < mWarmUpTime) {
    // The additional time falls linearly to zero during the warm-up.
    time += time * (kColdSlowdown - 1) * (mWarmUpTime - elapsed).count() / mWarmUpTime.count();
  }
  return time;
}

void
Standin::State::StartNext()
{
  while (mRunning.size() < mSettings.mInfo.mSlots && !mQueue.empty()) {
    const Job job = std::move(mQueue.front());
    mQueue.pop_front();
    const Duration remaining = job.mDeadline - SteadyNow();
    if (remaining <= Duration::zero()) {
      ReplyWithError(job, NotRunResponse(Result::ExpiredInQueue, "expired in the queue"));
      continue;
    }
    if (mRunCounts.size() < kMaxCountedKeys || mRunCounts.contains(job.mKey)) {
      ++mRunCounts[job.mKey];
    }
    if (!mFaults.mCrashText.empty() && job.mBody.find(mFaults.mCrashText) != std::string::npos) {
      LogEvent(Event::CrashRequested, { { "upstream", mSettings.mInfo.mId } });
      mCrash();
      return;
    }
    const std::uint64_t runId = mNextRunId++;
    mRunning.emplace(runId, job);
    const Duration time = CurrentServiceTime();
    RunAfter(std::min(time, remaining), [this, runId, deadlinePassed = time > remaining] {
      const auto node = mRunning.extract(runId);
      if (node.empty()) {
        return;
      }
      if (deadlinePassed) {
        ReplyWithError(node.mapped(),
                       ErrorResponse(Result::SubrequestStopped, "the deadline passed"));
      } else {
        Finish(node.mapped());
      }
      StartNext();
    });
  }
}

void
Standin::State::ReplyWithError(const Job& aJob, HttpResponse aResponse)
{
  aResponse.mHeaders.push_back({ kHeaderSubrequest, fmt::to_string(aJob.mSubrequest) });
  mServer.Reply(aJob.mConnection, aResponse);
}

HttpResponse
Standin::State::MakeReply(const Job& aJob) const
{
  const UpstreamInfo& info = mSettings.mInfo;
  SubrequestReply reply;
  reply.mAttempt = aJob.mSubrequest + (mFaults.mMismatchedReply ? 1 : 0);
  reply.mShard = { info.mService, info.mMap, info.mShard };
  reply.mVersion = aJob.mVersion + (mFaults.mWrongVersion ? 1 : 0);
  for (std::int64_t i = 0; i < mSettings.mItems; ++i) {
    reply.mItems.push_back(
      fmt::format(R"({{"document":"{}-{}-{}"}})", info.mService, info.mShard, i));
  }
  if (mFaults.mOversizedReply) {
    reply.mItems.push_back("\"" + std::string(kOversizedItemBytes, 'x') + "\"");
  }
  HttpResponse response;
  response.mBody = EncodeSubrequestReply(reply);
  response.mHeaders.push_back({ kHeaderSubrequest, fmt::to_string(reply.mAttempt) });
  return response;
}

void
Standin::State::Finish(const Job& aJob)
{
  if (mFaults.mConnectCost > Duration::zero() && mServer.RequestCount(aJob.mConnection) == 1) {
    RunAfter(mFaults.mConnectCost, [this, aJob] { SendReply(aJob); });
  } else {
    SendReply(aJob);
  }
}

void
Standin::State::SendReply(const Job& aJob)
{
  if (mFaults.mCloseAfterRead) {
    mServer.Close(aJob.mConnection);
  } else if (mFaults.mTruncateReply) {
    mServer.ReplyTruncated(aJob.mConnection, MakeReply(aJob));
  } else if (!mFaults.mDropReplies) {
    mServer.Reply(aJob.mConnection, MakeReply(aJob));
  }
}

void
Standin::State::WaitUntilIdle(const std::function<void()>& aDone)
{
  if (SteadyNow() >= mDrainEnd && mQueue.empty() && mRunning.empty()) {
    ApplyEvent(kFinished);
    RunAfter(kFinalAnnounceTime, aDone);
    return;
  }
  RunAfter(kDrainCheckInterval, [this, aDone] { WaitUntilIdle(aDone); });
}

Standin::Standin(Loop& aLoop, StandinSettings aSettings, Chart aChart, std::function<void()> aCrash)
  : mState(
      std::make_shared<State>(aLoop, std::move(aSettings), std::move(aChart), std::move(aCrash)))
{
}

Standin::~Standin() = default;

Expected<void>
Standin::Start()
{
  auto started = mState->mServer.Listen();
  if (!started) {
    return started;
  }
  mState->AnnouncePeriodically();
  mState->RunAfter(kStartupTime, [state = mState.get()] { state->ApplyEvent(kWarm); });
  return {};
}

void
Standin::BeginStop(const std::function<void()>& aDone)
{
  mState->ApplyEvent(kDrain);
  mState->WaitUntilIdle(aDone);
}

Expected<Chart>
LoadStandinChart(const std::string& aPath)
{
  auto chart = LoadChart(aPath);
  if (chart) {
    const auto names = CheckChartNames(*chart,
                                       { "starting", "ready", "draining", "left" },
                                       { "warm", "drain", "undrain", "finished" });
    if (!names) {
      return tl::unexpected(names.error());
    }
  }
  return chart;
}

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
  aReader.AddressList("entries", Presence::Required, aSettings.mEntryHosts);
  if (aReader.Has("entries") && aSettings.mEntryHosts.empty()) {
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
  auto chart = LoadStandinChart(aSettings.mChart);
  if (!chart) {
    fmt::print(stderr, "{}\n", chart.error().mMessage);
    return kExitFailure;
  }
  Loop loop;
  std::function<void()> stop;
  HandleStopSignals(loop, [&stop] { stop(); });
  StartLogger("apricot-upstream", aSettings.mLogLevel);
  // Ends the process without a drain or a last announcement, like a real crash.
  Standin standin(loop, aSettings, *std::move(chart), [] { std::_Exit(kExitFailure); });
  stop = [&] {
    LogEvent(Event::ProcessStopping, { { "upstream", aSettings.mInfo.mId } });
    standin.BeginStop([&loop] { loop.Stop(); });
  };
  if (const auto started = standin.Start(); !started) {
    LogEvent(Event::StartFailed, { { "reason", started.error().mMessage } });
    StopLogger();
    return kExitFailure;
  }
  LogEvent(Event::ProcessStarted, { { "upstream", aSettings.mInfo.mId } });
  loop.Run();
  LogEvent(Event::ProcessStopped, { { "upstream", aSettings.mInfo.mId } });
  StopLogger();
  return kExitOk;
}

} // namespace apricotyard
