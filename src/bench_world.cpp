#include "bench_world.h"

#include <algorithm>

#include <fmt/format.h>

namespace apricotyard {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// How long a transfer stays open after its attempt has timed out, as in query_path.cpp.
constexpr Duration kCancelGrace = milliseconds(200);
// Time of one gossip message between data centres. Used for every pair of entry hosts.
constexpr Duration kGossipDelay = milliseconds(5);
// Stands for no connection or no sub-request.
constexpr std::size_t kNoIndex = SIZE_MAX;
// One-way network delay within and between data centres, its jitter, and the packet loss between
// data centres.
constexpr Duration kLocalDelay = microseconds(150);
constexpr Duration kRemoteDelay = microseconds(4000);
constexpr std::uint64_t kDelayJitterPercent = 30;
constexpr std::uint64_t kRemotePacketsPerLoss = 5000;
// A lost packet is retransmitted after the minimum TCP retransmission timeout of Linux.
constexpr Duration kRetransmissionTimeout = milliseconds(200);
// An announcement reaches an entry host after the minimum delay plus a random part of the jitter.
constexpr Duration kMinAnnounceDelay = milliseconds(20);
constexpr std::uint64_t kAnnounceJitterMicros = 180'000;
constexpr Duration kLeaseTime = std::chrono::seconds(6);
// A draining replica accepts work for this long, so that every host can learn of the drain first.
constexpr Duration kDrainGrace = std::chrono::seconds(2);
constexpr std::size_t kQueueLimitPerSlot = 4;
// Factor on the service time at a cold start. It falls linearly to 1 during the warm-up.
constexpr std::uint64_t kColdSlowdown = 10;
constexpr Duration kRestartWarmUpTime = std::chrono::seconds(2);
constexpr Duration kCallerRetryDelay = milliseconds(100);
constexpr Duration kPeakWindow = milliseconds(100);
// Width of the counter in an attempt id. The bits above it hold the number of the host, so that ids
// are unique in the cluster.
constexpr unsigned kAttemptCounterBits = 40;

// A quantile of the service time of a healthy replica: probability in 1/65536, time in µs. The
// distribution is uniform between two quantiles. kMeanServiceTime is the resulting mean.
struct QuantilePoint
{
  std::uint64_t mProbability;
  std::uint64_t mMicros;
};
constexpr QuantilePoint kServiceTimeQuantiles[] = { { 0, 2000 },      { 32768, 5000 },
                                                    { 58982, 9000 },  { 64881, 20000 },
                                                    { 65470, 40000 }, { 65536, 60000 } };

constexpr std::uint64_t
MeanServiceTimeMicros()
{
  std::uint64_t sum = 0;
  for (std::size_t i = 1; i < std::size(kServiceTimeQuantiles); ++i) {
    const QuantilePoint& low = kServiceTimeQuantiles[i - 1];
    const QuantilePoint& high = kServiceTimeQuantiles[i];
    sum += (high.mProbability - low.mProbability) * (low.mMicros + high.mMicros) / 2;
  }
  return sum / 65536;
}
static_assert(MeanServiceTimeMicros() == static_cast<std::uint64_t>(kMeanServiceTime.count()));

bool
Failed(Result aResult)
{
  return aResult != Result::Ok && aResult != Result::PartialAnswer;
}

} // namespace

Duration
DrawExponential(Rng& aRng, Duration aMean)
{
  // Draws 32-bit uniform numbers as long as they decrease: x1 > x2 > ... If the length of this run
  // is odd, x1 is the fraction of the result. If it is even, the integer part grows by one and a
  // new run begins.
  constexpr unsigned kBits = 32;
  for (std::uint64_t integerPart = 0;; ++integerPart) {
    const std::uint64_t first = aRng() >> kBits;
    std::uint64_t previous = first;
    bool odd = true;
    for (std::uint64_t next = aRng() >> kBits; next < previous; next = aRng() >> kBits) {
      previous = next;
      odd = !odd;
    }
    if (odd) {
      const auto mean = static_cast<std::uint64_t>(aMean.count());
      return Duration(integerPart * mean + ((first * mean) >> kBits));
    }
  }
}

Duration
DrawServiceTime(Rng& aRng)
{
  const std::uint64_t draw = aRng() >> 48U;
  const QuantilePoint* high = std::begin(kServiceTimeQuantiles) + 1;
  while (draw >= high->mProbability) {
    ++high;
  }
  const QuantilePoint& low = *(high - 1);
  return Duration(low.mMicros + (draw - low.mProbability) * (high->mMicros - low.mMicros) /
                                  (high->mProbability - low.mProbability));
}

SimulatedCluster::SimulatedCluster(ClusterOptions aOptions, std::shared_ptr<const Config> aConfig)
  : mOptions(std::move(aOptions))
  , mConfig(std::move(aConfig))
  , mRng(mOptions.mSeed)
  , mHosts(mOptions.mHostDataCentres.size())
  , mPoisonQueryCrashes(mOptions.mHostDataCentres.size())
{
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    Host& host = mHosts[i];
    host.mDataCentre = mOptions.mHostDataCentres[i];
    host.mEngine.mDataCentre = host.mDataCentre;
    host.mEngine.mNextAttempt = (i + 1) << kAttemptCounterBits;
    host.mBaseline.mNextAttempt = (i + 1) << kAttemptCounterBits;
    host.mBaseline.mConfig = mConfig;
    host.mRng.seed(mOptions.mSeed * 1000 + i);
    SetConfig(host.mEngine, mConfig);
  }
}

std::size_t
SimulatedCluster::AddReplica(UpstreamInfo aInfo, Duration aConnectCost)
{
  const std::size_t index = mReplicas.size();
  aInfo.mIncarnation = std::max<std::uint64_t>(1, aInfo.mIncarnation);
  aInfo.mSequence = std::max<std::uint64_t>(1, aInfo.mSequence);
  mReplicaIndexes[aInfo.mId] = index;
  mPartitionMaps[{ aInfo.mService, aInfo.mMap }][aInfo.mShard] = aInfo.mRange;
  FakeReplica replica;
  replica.mInfo = std::move(aInfo);
  replica.mConnectCost = aConnectCost;
  mReplicas.push_back(std::move(replica));
  mPools.resize(mReplicas.size() * mHosts.size());
  if (mReplicas.back().mInfo.mState != UpstreamState::Starting) {
    for (std::size_t host = 0; host < mHosts.size(); ++host) {
      mHosts[host].mKnownUpstreams[mReplicas.back().mInfo.mId] = mReplicas.back().mInfo;
    }
  }
  return index;
}

std::vector<std::size_t>
SimulatedCluster::ReplicasOf(const std::string& aService) const
{
  std::vector<std::size_t> found;
  for (std::size_t i = 0; i < mReplicas.size(); ++i) {
    if (mReplicas[i].mInfo.mService == aService) {
      found.push_back(i);
    }
  }
  return found;
}

void
SimulatedCluster::Trace(std::string_view aText) const
{
  if (mOptions.mTrace) {
    fmt::print("{:>9} {}\n", (mNow - mStart).count(), aText);
  }
}

void
SimulatedCluster::ScheduleAt(TimePoint aWhen, std::function<void()> aTask)
{
  mEvents.push({ std::max(aWhen, mNow), mSequenceNumber++, std::move(aTask) });
}

void
SimulatedCluster::Schedule(Duration aAfter, std::function<void()> aTask)
{
  ScheduleAt(mStart + aAfter, std::move(aTask));
}

void
SimulatedCluster::Run()
{
  for (std::size_t host = 0; host < mHosts.size(); ++host) {
    UpdateUpstreams(host);
  }
  while (!mEvents.empty()) {
    mNow = mEvents.top().mWhen;
    const std::function<void()> task = mEvents.top().mTask;
    mEvents.pop();
    task();
  }
  CheckFinalState();
}

Duration
SimulatedCluster::DrawOneWayDelay(std::size_t aHost, std::size_t aReplica)
{
  const bool local = mHosts[aHost].mDataCentre == mReplicas[aReplica].mInfo.mDataCentre;
  const Duration base = local ? kLocalDelay : kRemoteDelay;
  const auto jitter = static_cast<std::uint64_t>(base.count()) * kDelayJitterPercent / 100;
  Duration delay = base + Duration(mRng() % (jitter + 1));
  if (!local && mRng() % kRemotePacketsPerLoss == 0) {
    delay += kRetransmissionTimeout;
  }
  return delay;
}

SimulatedCluster::Pool&
SimulatedCluster::PoolOf(std::size_t aHost, std::size_t aReplica)
{
  return mPools[aReplica * mHosts.size() + aHost];
}

std::uint32_t
SimulatedCluster::ConnectionLimit(std::size_t aReplica) const
{
  const auto hosts = static_cast<std::uint32_t>(mHosts.size());
  return std::max(1U, mReplicas[aReplica].mInfo.mConnections / hosts);
}

// ---- Engine side -------------------------------------------------------------------------------

void
SimulatedCluster::Submit(const QuerySpec& aSpec, std::size_t aHost)
{
  QueryRecord record;
  record.mSpec = aSpec;
  record.mHost = aHost;
  record.mArrived = mNow;
  mQueries.push_back(std::move(record));
  QueryRequest request;
  request.mId = mQueries.size();
  request.mRequestId = fmt::format("q{}", request.mId);
  request.mCaller = "bench";
  request.mCollection = aSpec.mCollection;
  request.mClass = aSpec.mClass;
  request.mQuery = aSpec.mText;
  Trace(
    fmt::format("submit q{} host={} class={} {}", request.mId, aHost, aSpec.mClass, aSpec.mText));
  Actions actions;
  Host& host = mHosts[aHost];
  if (mOptions.mPolicy == BenchPolicy::Current) {
    SubmitQuery(host.mEngine, std::move(request), mNow, host.mRng, actions);
  } else {
    SubmitQuery(host.mBaseline, std::move(request), mNow, actions);
  }
  ExecuteActions(aHost, actions);
}

void
SimulatedCluster::ExecuteActions(std::size_t aHost, const Actions& aActions)
{
  for (const Action& action : aActions) {
    if (const auto* const send = std::get_if<SendSubrequest>(&action)) {
      Send(aHost, *send);
    } else if (const auto* const cancel = std::get_if<CancelSubrequest>(&action)) {
      Cancel(aHost, cancel->mAttempt);
    } else if (const auto* const respond = std::get_if<Respond>(&action)) {
      CheckAnswer(respond->mAnswer);
    } else if (const auto* const share = std::get_if<ShareStrike>(&action)) {
      GossipStrike(aHost, share->mStrike);
    }
  }
  ArmTimer(aHost);
}

void
SimulatedCluster::GossipStrike(std::size_t aHost, const Strike& aStrike)
{
  for (std::size_t host = 0; host < mHosts.size(); ++host) {
    if (host != aHost) {
      ScheduleAt(mNow + kGossipDelay, [this, host, aStrike] {
        OnSharedStrike(mHosts[host].mEngine, aStrike, mNow);
        ArmTimer(host);
      });
    }
  }
}

void
SimulatedCluster::ArmTimer(std::size_t aHost)
{
  Host& host = mHosts[aHost];
  const bool current = mOptions.mPolicy == BenchPolicy::Current;
  const auto next = current ? NextTimer(host.mEngine) : NextTimer(host.mBaseline);
  if (!next || next == host.mTimerDue) {
    return;
  }
  host.mTimerDue = next;
  ScheduleAt(*next, [this, aHost, when = *next] {
    Host& timerHost = mHosts[aHost];
    if (timerHost.mTimerDue != when) {
      return;
    }
    timerHost.mTimerDue.reset();
    Actions actions;
    if (mOptions.mPolicy == BenchPolicy::Current) {
      OnTimer(timerHost.mEngine, mNow, timerHost.mRng, actions);
    } else {
      OnTimer(timerHost.mBaseline, mNow, actions);
    }
    ExecuteActions(aHost, actions);
  });
}

void
SimulatedCluster::UpdateUpstreams(std::size_t aHost)
{
  Host& host = mHosts[aHost];
  std::vector<UpstreamInfo> upstreams;
  for (const auto& [id, info] : host.mKnownUpstreams) {
    if (info.mState == UpstreamState::Left) {
      continue;
    }
    // Divides the slots of the replica among the hosts, as described in docs/design.md,
    // section 6.
    UpstreamInfo shared = info;
    const auto hosts = static_cast<std::uint32_t>(mHosts.size());
    const auto rotation = static_cast<std::uint32_t>((mReplicaIndexes.at(id) + aHost) % hosts);
    shared.mSlots = std::max(1U, (info.mSlots + rotation) / hosts);
    upstreams.push_back(std::move(shared));
  }
  if (mOptions.mPolicy == BenchPolicy::Current) {
    SetUpstreams(host.mEngine, upstreams);
  } else {
    SetUpstreams(host.mBaseline, upstreams);
  }
  ArmTimer(aHost);
}

void
SimulatedCluster::HandleAnnouncement(std::size_t aHost, const UpstreamInfo& aInfo)
{
  UpstreamInfo& known = mHosts[aHost].mKnownUpstreams[aInfo.mId];
  if (std::pair(aInfo.mIncarnation, aInfo.mSequence) <=
      std::pair(known.mIncarnation, known.mSequence)) {
    return;
  }
  known = aInfo;
  UpdateUpstreams(aHost);
}

// ---- Connections -------------------------------------------------------------------------------

void
SimulatedCluster::Send(std::size_t aHost, const SendSubrequest& aSend)
{
  const std::size_t subrequest = mSubrequests.size();
  Subrequest& record = mSubrequests.emplace_back();
  record.mSend = aSend;
  record.mHost = aHost;
  record.mReplica = mReplicaIndexes.at(aSend.mUpstream);
  record.mConnection = kNoIndex;
  mLiveAttempts[{ aHost, aSend.mAttempt }] = subrequest;
  QueryRecord& query = mQueries.at(aSend.mQuery - 1);
  ++query.mAttemptsSent;
  ++(query.mShardsSent.insert(aSend.mShard).second ? mFirstSubrequests : mExtraSubrequests);
  Trace(fmt::format("send q{} attempt={} {}/{}/{} v{} to {}",
                    aSend.mQuery,
                    aSend.mAttempt,
                    aSend.mShard.mService,
                    aSend.mShard.mMap,
                    aSend.mShard.mShard,
                    aSend.mVersion,
                    aSend.mUpstream));
  const bool current = mOptions.mPolicy == BenchPolicy::Current;
  ScheduleAt(mNow + aSend.mTimeout + (current ? kCancelGrace : Duration::zero()),
             [this, subrequest] { HandleTimeout(subrequest); });
  if (aSend.mSilence > Duration::zero()) {
    ScheduleAt(mNow + aSend.mSilence, [this, subrequest] { CheckSilence(subrequest); });
  }
  AssignConnection(subrequest);
}

// Reports the failure Silent if no reply has arrived on a connection that delivered one before.
void
SimulatedCluster::CheckSilence(std::size_t aSubrequest)
{
  const Subrequest& subrequest = mSubrequests[aSubrequest];
  if (!subrequest.mFinished && subrequest.mConnection != kNoIndex &&
      mConnections[subrequest.mConnection].mUsedBefore) {
    ReportFailure(aSubrequest, FailureKind::Silent);
  }
}

void
SimulatedCluster::AssignConnection(std::size_t aSubrequest)
{
  Subrequest& subrequest = mSubrequests[aSubrequest];
  Pool& pool = PoolOf(subrequest.mHost, subrequest.mReplica);
  if (!pool.mIdleConnections.empty() && !subrequest.mSend.mFreshConnection) {
    subrequest.mConnection = pool.mIdleConnections.back();
    pool.mIdleConnections.pop_back();
    mConnections[subrequest.mConnection].mSubrequest = aSubrequest;
    ScheduleAt(mNow + DrawOneWayDelay(subrequest.mHost, subrequest.mReplica),
               [this, aSubrequest] { HandleArrival(aSubrequest); });
  } else if (pool.mOpen < ConnectionLimit(subrequest.mReplica)) {
    Connect(aSubrequest);
  } else {
    pool.mWaitingSubrequests.push_back(aSubrequest);
  }
}

void
SimulatedCluster::Connect(std::size_t aSubrequest)
{
  Subrequest& subrequest = mSubrequests[aSubrequest];
  const FakeReplica& replica = mReplicas[subrequest.mReplica];
  subrequest.mConnection = mConnections.size();
  mConnections.push_back(
    { subrequest.mHost, subrequest.mReplica, true, false, false, aSubrequest });
  ++PoolOf(subrequest.mHost, subrequest.mReplica).mOpen;
  const Duration roundTrip = DrawOneWayDelay(subrequest.mHost, subrequest.mReplica) +
                             DrawOneWayDelay(subrequest.mHost, subrequest.mReplica);
  if (replica.mFaults.mIsolated) {
    // The connect timeout is half of the timeout of the sub-request, as in http_client.cpp. The
    // upper limit there of 1 s is not modelled.
    ScheduleFailure(aSubrequest, FailureKind::NotConnected, subrequest.mSend.mTimeout / 2);
  } else if (!replica.mAlive || replica.mFaults.mRefuseConnections) {
    ScheduleFailure(aSubrequest, FailureKind::NotConnected, roundTrip);
  } else {
    ScheduleAt(mNow + roundTrip + replica.mConnectCost +
                 DrawOneWayDelay(subrequest.mHost, subrequest.mReplica),
               [this, aSubrequest] { HandleArrival(aSubrequest); });
  }
}

void
SimulatedCluster::CloseConnection(std::size_t aConnection)
{
  if (aConnection == kNoIndex || !mConnections[aConnection].mOpen) {
    return;
  }
  Connection& connection = mConnections[aConnection];
  connection.mOpen = false;
  Pool& pool = PoolOf(connection.mHost, connection.mReplica);
  --pool.mOpen;
  std::erase(pool.mIdleConnections, aConnection);
  StartNextWaiting(connection.mHost, connection.mReplica);
}

void
SimulatedCluster::ReleaseConnection(std::size_t aConnection)
{
  Connection& connection = mConnections[aConnection];
  if (!connection.mOpen) {
    return;
  }
  connection.mUsedBefore = true;
  connection.mSubrequest = kNoIndex;
  PoolOf(connection.mHost, connection.mReplica).mIdleConnections.push_back(aConnection);
  StartNextWaiting(connection.mHost, connection.mReplica);
}

void
SimulatedCluster::StartNextWaiting(std::size_t aHost, std::size_t aReplica)
{
  Pool& pool = PoolOf(aHost, aReplica);
  while (!pool.mWaitingSubrequests.empty()) {
    const std::size_t subrequest = pool.mWaitingSubrequests.front();
    pool.mWaitingSubrequests.pop_front();
    if (!mSubrequests[subrequest].mFinished) {
      AssignConnection(subrequest);
      return;
    }
  }
}

void
SimulatedCluster::Cancel(std::size_t aHost, AttemptId aAttempt)
{
  const auto live = mLiveAttempts.find({ aHost, aAttempt });
  if (live == mLiveAttempts.end()) {
    return;
  }
  const std::size_t subrequest = live->second;
  Trace(fmt::format("cancel attempt={}", aAttempt));
  if (mOptions.mPolicy == BenchPolicy::Current) {
    // Production sends the cancellation as a request of its own and keeps the connection. The
    // replica answers the cancelled search when it has stopped.
    if (!mReplicas[mSubrequests[subrequest].mReplica].mFaults.mIsolated) {
      ScheduleAt(mNow + DrawOneWayDelay(aHost, mSubrequests[subrequest].mReplica),
                 [this, subrequest] { ReplyToCancelled(subrequest); });
    }
    return;
  }
  mLiveAttempts.erase(live);
  mSubrequests[subrequest].mFinished = true;
  CloseConnection(mSubrequests[subrequest].mConnection);
  if (!mReplicas[mSubrequests[subrequest].mReplica].mFaults.mIsolated) {
    ScheduleAt(mNow + DrawOneWayDelay(aHost, mSubrequests[subrequest].mReplica),
               [this, subrequest] { AbortRun(subrequest); });
  }
}

void
SimulatedCluster::ReplyToCancelled(std::size_t aSubrequest)
{
  Subrequest& subrequest = mSubrequests[aSubrequest];
  const FakeReplica& replica = mReplicas[subrequest.mReplica];
  if (subrequest.mFinished || replica.mFaults.mIsolated || replica.mFaults.mDropReplies) {
    return;
  }
  const Duration returnDelay = DrawOneWayDelay(subrequest.mHost, subrequest.mReplica);
  if (subrequest.mQueued) {
    AbortRun(aSubrequest);
    ScheduleFailure(aSubrequest, FailureKind::Shed, returnDelay);
  } else if (subrequest.mRunning) {
    AbortRun(aSubrequest);
    ScheduleFailure(aSubrequest, FailureKind::ErrorStatus, returnDelay);
  }
}

void
SimulatedCluster::HandleTimeout(std::size_t aSubrequest)
{
  if (!mSubrequests[aSubrequest].mFinished) {
    // A sub-request that still waited for a connection was never sent.
    const bool sent = mSubrequests[aSubrequest].mConnection != kNoIndex;
    ReportFailure(aSubrequest, sent ? FailureKind::TimedOut : FailureKind::NotSent);
  }
}

void
SimulatedCluster::ScheduleFailure(std::size_t aSubrequest, FailureKind aKind, Duration aDelay)
{
  ScheduleAt(mNow + aDelay, [this, aSubrequest, aKind] { ReportFailure(aSubrequest, aKind); });
}

void
SimulatedCluster::ReportFailure(std::size_t aSubrequest, FailureKind aKind)
{
  Subrequest& subrequest = mSubrequests[aSubrequest];
  if (subrequest.mFinished) {
    return;
  }
  subrequest.mFinished = true;
  mLiveAttempts.erase({ subrequest.mHost, subrequest.mSend.mAttempt });
  Trace(fmt::format("fail attempt={} {}", subrequest.mSend.mAttempt, FailureName(aKind)));
  const bool answered = aKind == FailureKind::Shed || aKind == FailureKind::VersionGone ||
                        aKind == FailureKind::Draining || aKind == FailureKind::ErrorStatus;
  const std::size_t connection = subrequest.mConnection;
  Host& host = mHosts[subrequest.mHost];
  Actions actions;
  const SubrequestFailure failure{ subrequest.mSend.mAttempt, aKind, {} };
  if (mOptions.mPolicy == BenchPolicy::Current) {
    OnFailure(host.mEngine, failure, mNow, host.mRng, actions);
  } else {
    OnFailure(host.mBaseline, failure, mNow, actions);
  }
  if (answered) {
    ReleaseConnection(connection);
  } else {
    CloseConnection(connection);
  }
  ExecuteActions(subrequest.mHost, actions);
}

void
SimulatedCluster::ReportReply(std::size_t aSubrequest, SubrequestReply aReply)
{
  Subrequest& subrequest = mSubrequests[aSubrequest];
  Host& host = mHosts[subrequest.mHost];
  Trace(fmt::format("reply attempt={} {}/{} v{}",
                    aReply.mAttempt,
                    aReply.mShard.mService,
                    aReply.mShard.mShard,
                    aReply.mVersion));
  const bool matchesRequest = aReply.mAttempt == subrequest.mSend.mAttempt &&
                              aReply.mShard == subrequest.mSend.mShard &&
                              aReply.mVersion == subrequest.mSend.mVersion;
  if (matchesRequest) {
    mQueries[subrequest.mSend.mQuery - 1].mShardsReplied.insert(subrequest.mShard);
  }
  Actions actions;
  if (mOptions.mPolicy == BenchPolicy::Current) {
    OnReply(host.mEngine, std::move(aReply), mNow, host.mRng, actions);
  } else {
    OnReply(host.mBaseline, std::move(aReply), mNow, actions);
  }
  ExecuteActions(subrequest.mHost, actions);
}

// ---- Replica side ------------------------------------------------------------------------------

void
SimulatedCluster::HandleArrival(std::size_t aSubrequest)
{
  Subrequest& subrequest = mSubrequests[aSubrequest];
  FakeReplica& replica = mReplicas[subrequest.mReplica];
  if (subrequest.mFinished || mConnections[subrequest.mConnection].mSilent ||
      replica.mFaults.mIsolated) {
    return;
  }
  const Duration returnDelay = DrawOneWayDelay(subrequest.mHost, subrequest.mReplica);
  const auto& versions = replica.mInfo.mVersions;
  if (!replica.mAlive || !mConnections[subrequest.mConnection].mOpen) {
    ScheduleFailure(aSubrequest, FailureKind::Lost, returnDelay);
    return;
  }
  mArrivalTimes[replica.mInfo.mService].push_back(mNow);
  const ShardKey servedShard{ replica.mInfo.mService, replica.mInfo.mMap, replica.mInfo.mShard };
  const bool offered =
    std::find(versions.begin(), versions.end(), subrequest.mSend.mVersion) != versions.end();
  if (replica.mInfo.mState == UpstreamState::Draining &&
      mNow > replica.mDrainingSince + kDrainGrace) {
    ScheduleFailure(aSubrequest, FailureKind::Draining, returnDelay);
  } else if (servedShard != subrequest.mSend.mShard || !offered) {
    ScheduleFailure(aSubrequest, FailureKind::VersionGone, returnDelay);
  } else if (replica.mFaults.mShed ||
             replica.mQueue.size() >= kQueueLimitPerSlot * replica.mInfo.mSlots) {
    ScheduleFailure(aSubrequest, FailureKind::Shed, returnDelay);
  } else {
    subrequest.mQueued = true;
    subrequest.mIncarnation = replica.mInfo.mIncarnation;
    replica.mQueue.push_back(aSubrequest);
    StartNext(subrequest.mReplica);
  }
}

void
SimulatedCluster::StartNext(std::size_t aReplica)
{
  FakeReplica& replica = mReplicas[aReplica];
  while (replica.mAlive && replica.mRunning < replica.mInfo.mSlots && !replica.mQueue.empty()) {
    const std::size_t index = replica.mQueue.front();
    replica.mQueue.pop_front();
    Subrequest& subrequest = mSubrequests[index];
    subrequest.mQueued = false;
    subrequest.mRunning = true;
    subrequest.mShard = { replica.mInfo.mService, replica.mInfo.mMap, replica.mInfo.mShard };
    subrequest.mVersion = subrequest.mSend.mVersion;
    subrequest.mRange = replica.mInfo.mRange;
    ++replica.mRunning;
    ++replica.mRunCount;
    ++mQueries[subrequest.mSend.mQuery - 1].mRunsByShard[subrequest.mShard];
    if (replica.mFaults.mCrashOnPoisonQuery && *subrequest.mSend.mBody == kPoisonQuery) {
      ++mPoisonQueryCrashes[subrequest.mHost];
      Crash(aReplica, std::chrono::seconds(1));
      return;
    }
    // The service time depends only on the seed, the replica and its run count, so that both
    // policies are measured against the same service times.
    Rng draw(mOptions.mSeed ^ (aReplica * 0x9E3779B97F4A7C15U) ^ (replica.mRunCount << 20U));
    Duration time = DrawServiceTime(draw) * replica.mFaults.mSlowFactor;
    const Duration elapsed = mNow - replica.mColdSince;
    if (replica.mWarmUpTime > Duration::zero() && elapsed < replica.mWarmUpTime) {
      time += time * (kColdSlowdown - 1) * (replica.mWarmUpTime - elapsed).count() /
              replica.mWarmUpTime.count();
    }
    ScheduleAt(mNow + time, [this, index] { FinishRun(index); });
  }
}

void
SimulatedCluster::FinishRun(std::size_t aSubrequest)
{
  Subrequest& subrequest = mSubrequests[aSubrequest];
  FakeReplica& replica = mReplicas[subrequest.mReplica];
  if (!subrequest.mRunning || subrequest.mIncarnation != replica.mInfo.mIncarnation) {
    return;
  }
  subrequest.mRunning = false;
  --replica.mRunning;
  SendReply(aSubrequest);
  StartNext(subrequest.mReplica);
}

void
SimulatedCluster::SendReply(std::size_t aSubrequest)
{
  Subrequest& subrequest = mSubrequests[aSubrequest];
  const FakeFaults& faults = mReplicas[subrequest.mReplica].mFaults;
  const Duration returnDelay = DrawOneWayDelay(subrequest.mHost, subrequest.mReplica);
  if (faults.mDropReplies || faults.mIsolated || mConnections[subrequest.mConnection].mSilent) {
    return;
  }
  if (faults.mCloseAfterRead) {
    ScheduleFailure(aSubrequest, FailureKind::Lost, returnDelay);
    return;
  }
  if (faults.mTruncateReply) {
    ScheduleFailure(aSubrequest, FailureKind::BadReply, returnDelay);
    return;
  }
  SubrequestReply reply{ subrequest.mSend.mAttempt,
                         subrequest.mShard,
                         subrequest.mVersion,
                         { fmt::to_string(aSubrequest) } };
  if (faults.mWrongVersion) {
    ++reply.mVersion;
  }
  if (faults.mMismatchedReply && mRng() % 2 == 0) {
    ++reply.mShard.mShard;
  } else if (faults.mMismatchedReply) {
    --reply.mAttempt;
  }
  // Records the identity that the reply states. CheckItems finds a violation if the engine merges a
  // reply of another version or shard.
  subrequest.mVersion = reply.mVersion;
  subrequest.mShard = reply.mShard;
  const bool duplicate = faults.mDuplicateReply;
  ScheduleAt(mNow + returnDelay, [this, aSubrequest, reply, duplicate] {
    Subrequest& pending = mSubrequests[aSubrequest];
    if (pending.mFinished) {
      return;
    }
    if (reply.mAttempt != pending.mSend.mAttempt) {
      // The HTTP client closes a connection on which the reply to another request arrived. The
      // engine is given that reply too, to check that it does not merge it.
      ReportReply(aSubrequest, reply);
      ReportFailure(aSubrequest, FailureKind::BadReply);
      return;
    }
    pending.mFinished = true;
    mLiveAttempts.erase({ pending.mHost, pending.mSend.mAttempt });
    ReleaseConnection(pending.mConnection);
    ReportReply(aSubrequest, reply);
    if (duplicate) {
      ScheduleAt(mNow + milliseconds(1),
                 [this, aSubrequest, reply] { ReportReply(aSubrequest, reply); });
    }
  });
}

void
SimulatedCluster::AbortRun(std::size_t aSubrequest)
{
  Subrequest& subrequest = mSubrequests[aSubrequest];
  FakeReplica& replica = mReplicas[subrequest.mReplica];
  if (subrequest.mQueued) {
    std::erase(replica.mQueue, aSubrequest);
    subrequest.mQueued = false;
  } else if (subrequest.mRunning && subrequest.mIncarnation == replica.mInfo.mIncarnation) {
    subrequest.mRunning = false;
    --replica.mRunning;
    StartNext(subrequest.mReplica);
  }
}

void
SimulatedCluster::Announce(std::size_t aReplica)
{
  FakeReplica& replica = mReplicas[aReplica];
  ++replica.mInfo.mSequence;
  mPartitionMaps[{ replica.mInfo.mService, replica.mInfo.mMap }][replica.mInfo.mShard] =
    replica.mInfo.mRange;
  Trace(fmt::format("announce {} map={} shard={} state={} newest=v{}",
                    replica.mInfo.mId,
                    replica.mInfo.mMap,
                    replica.mInfo.mShard,
                    static_cast<int>(replica.mInfo.mState),
                    replica.mInfo.mVersions.empty() ? 0 : replica.mInfo.mVersions.back()));
  for (std::size_t host = 0; host < mHosts.size(); ++host) {
    ScheduleAt(mNow + kMinAnnounceDelay + Duration(mRng() % kAnnounceJitterMicros),
               [this, host, info = replica.mInfo] { HandleAnnouncement(host, info); });
  }
}

void
SimulatedCluster::Drain(std::size_t aReplica)
{
  mReplicas[aReplica].mInfo.mState = UpstreamState::Draining;
  mReplicas[aReplica].mDrainingSince = mNow;
  Announce(aReplica);
}

void
SimulatedCluster::Crash(std::size_t aReplica, Duration aRestart)
{
  FakeReplica& replica = mReplicas[aReplica];
  if (!replica.mAlive) {
    return;
  }
  Trace(fmt::format("crash {}", replica.mInfo.mId));
  replica.mAlive = false;
  // All running and queued sub-requests end with the process.
  replica.mQueue.clear();
  replica.mRunning = 0;
  ++replica.mInfo.mIncarnation;
  replica.mInfo.mSequence = 0;
  for (std::size_t i = 0; i < mConnections.size(); ++i) {
    const Connection& connection = mConnections[i];
    if (connection.mReplica != aReplica || !connection.mOpen) {
      continue;
    }
    const Duration returnDelay = DrawOneWayDelay(connection.mHost, aReplica);
    if (connection.mSubrequest != kNoIndex) {
      mSubrequests[connection.mSubrequest].mQueued = false;
      mSubrequests[connection.mSubrequest].mRunning = false;
      if (!connection.mSilent && !replica.mFaults.mIsolated) {
        ScheduleFailure(connection.mSubrequest, FailureKind::Lost, returnDelay);
      }
    } else if (!connection.mSilent) {
      ScheduleAt(mNow + returnDelay, [this, i] {
        if (mConnections[i].mSubrequest == kNoIndex) {
          CloseConnection(i);
        }
      });
    }
  }
  if (aRestart == Duration::zero()) {
    ScheduleLeaseExpiry(aReplica);
    return;
  }
  ScheduleAt(mNow + aRestart, [this, aReplica] {
    FakeReplica& restarted = mReplicas[aReplica];
    restarted.mAlive = true;
    restarted.mColdSince = mNow;
    restarted.mWarmUpTime = kRestartWarmUpTime;
    Announce(aReplica);
  });
}

void
SimulatedCluster::ScheduleLeaseExpiry(std::size_t aReplica)
{
  const std::uint64_t incarnation = mReplicas[aReplica].mInfo.mIncarnation;
  ScheduleAt(mNow + kLeaseTime, [this, aReplica, incarnation] {
    const FakeReplica& replica = mReplicas[aReplica];
    if (replica.mInfo.mIncarnation != incarnation ||
        (replica.mAlive && !replica.mFaults.mIsolated)) {
      return;
    }
    for (std::size_t host = 0; host < mHosts.size(); ++host) {
      mHosts[host].mKnownUpstreams.erase(replica.mInfo.mId);
      UpdateUpstreams(host);
    }
  });
}

void
SimulatedCluster::SilenceConnections(std::size_t aHost)
{
  Trace(fmt::format("connections of host {} go silent", aHost));
  for (Connection& connection : mConnections) {
    connection.mSilent = connection.mSilent || (connection.mOpen && connection.mHost == aHost);
  }
}

std::uint64_t
SimulatedCluster::PeakArrivals(const std::string& aService, TimePoint aSince) const
{
  const auto found = mArrivalTimes.find(aService);
  if (found == mArrivalTimes.end()) {
    return 0;
  }
  const std::vector<TimePoint>& times = found->second;
  std::size_t first = 0;
  std::size_t peak = 0;
  for (std::size_t last = 0; last < times.size(); ++last) {
    while (times[first] < aSince || times[first] + kPeakWindow <= times[last]) {
      if (first == last) {
        break;
      }
      ++first;
    }
    if (times[first] >= aSince) {
      peak = std::max(peak, last - first + 1);
    }
  }
  return peak;
}

// ---- Checks ------------------------------------------------------------------------------------

void
SimulatedCluster::AddViolation(std::string_view aInvariant, QueryId aQuery, std::string aMessage)
{
  Trace(fmt::format("VIOLATION {} q{}: {}", aInvariant, aQuery, aMessage));
  mViolations.push_back({ aInvariant, aQuery, std::move(aMessage) });
}

void
SimulatedCluster::CheckAnswer(const Answer& aAnswer)
{
  QueryRecord& record = mQueries.at(aAnswer.mQuery - 1);
  Trace(fmt::format("answer q{} {} {}/{}",
                    aAnswer.mQuery,
                    Describe(aAnswer.mResult).mName,
                    aAnswer.mAnswered,
                    aAnswer.mExpected));
  if (++record.mAnswerCount > 1) {
    AddViolation("I3", aAnswer.mQuery, "the query was answered twice");
    return;
  }
  record.mResult = aAnswer.mResult;
  record.mLatency = mNow - record.mArrived;
  record.mExpected = aAnswer.mExpected;
  record.mAnswered = aAnswer.mAnswered;
  if (aAnswer.mExpected > 0) {
    CheckItems(aAnswer, record);
    CheckCoverage(aAnswer, record);
  }
  if (Failed(aAnswer.mResult) && record.mSpec.mCallerRetries > 0) {
    QuerySpec retry = record.mSpec;
    --retry.mCallerRetries;
    const std::size_t host = (record.mHost + 1) % mHosts.size();
    ScheduleAt(mNow + kCallerRetryDelay, [this, retry, host] { Submit(retry, host); });
  }
}

// Checks the merged replies. Each item is the index of the sub-request that produced it.
void
SimulatedCluster::CheckItems(const Answer& aAnswer, const QueryRecord& aRecord)
{
  std::map<std::string, std::vector<KeyRange>> merged;
  for (const std::string& item : aAnswer.mItems) {
    const Subrequest& subrequest = mSubrequests.at(std::stoull(item));
    if (subrequest.mSend.mQuery != aAnswer.mQuery) {
      AddViolation("I3", aAnswer.mQuery, "merged the reply to another query");
    }
    if (subrequest.mVersion != aAnswer.mSnapshot.mVersion) {
      AddViolation("I1", aAnswer.mQuery, "merged a reply at another index version");
    }
    const auto map = aAnswer.mSnapshot.mMaps.find(subrequest.mShard.mService);
    if (map == aAnswer.mSnapshot.mMaps.end() || map->second != subrequest.mShard.mMap) {
      AddViolation("I1", aAnswer.mQuery, "merged a reply of another partition map");
    }
    for (const KeyRange& range : merged[subrequest.mShard.mService]) {
      if (subrequest.mRange.mLow < range.mHigh && range.mLow < subrequest.mRange.mHigh) {
        AddViolation("I1", aAnswer.mQuery, "a key range was counted twice");
      }
    }
    merged[subrequest.mShard.mService].push_back(subrequest.mRange);
  }
  if (!Failed(aAnswer.mResult) && aAnswer.mItems.size() != aAnswer.mAnswered) {
    AddViolation("I2", aAnswer.mQuery, "the merged replies do not match the shards answered");
  }
  if (aAnswer.mAnswered > aRecord.mShardsReplied.size()) {
    AddViolation("I2", aAnswer.mQuery, "more shards reported than replied");
  }
}

void
SimulatedCluster::CheckCoverage(const Answer& aAnswer, const QueryRecord& aRecord)
{
  std::set<ShardKey> expected;
  for (const std::string& service : mConfig->mCollections.at(aRecord.mSpec.mCollection).mServices) {
    const auto map = aAnswer.mSnapshot.mMaps.find(service);
    if (map == aAnswer.mSnapshot.mMaps.end()) {
      expected.insert({ service, 0, 0 });
      continue;
    }
    for (const auto& [shard, range] : mPartitionMaps[{ service, map->second }]) {
      expected.insert({ service, map->second, shard });
    }
  }
  std::set<ShardKey> reported;
  for (const MissingShard& missing : aAnswer.mMissing) {
    reported.insert(missing.mShard);
    expected.insert(missing.mShard);
  }
  for (const std::string& item : aAnswer.mItems) {
    reported.insert(mSubrequests.at(std::stoull(item)).mShard);
  }
  if (expected.size() != aAnswer.mExpected ||
      aAnswer.mAnswered + aAnswer.mMissing.size() != aAnswer.mExpected) {
    AddViolation("I2",
                 aAnswer.mQuery,
                 fmt::format("{} shards are expected, the answer states {} = {} + {}",
                             expected.size(),
                             aAnswer.mExpected,
                             aAnswer.mAnswered,
                             aAnswer.mMissing.size()));
  }
  if (!Failed(aAnswer.mResult) && reported != expected) {
    AddViolation("I2", aAnswer.mQuery, "a key range is neither merged nor reported missing");
  }
  const bool complete = aAnswer.mAnswered == aAnswer.mExpected;
  const double minimum = mConfig->mClasses.at(aRecord.mSpec.mClass).mMinCoverage;
  const bool sufficient = aAnswer.mAnswered >= minimum * aAnswer.mExpected;
  if ((aAnswer.mResult == Result::Ok && !complete) ||
      (aAnswer.mResult == Result::PartialAnswer && (complete || !sufficient))) {
    AddViolation("I2", aAnswer.mQuery, "the result code does not match the coverage");
  }
}

void
SimulatedCluster::CheckFinalState()
{
  for (std::size_t i = 0; i < mQueries.size(); ++i) {
    const QueryRecord& record = mQueries[i];
    if (record.mAnswerCount == 0) {
      AddViolation("I3", i + 1, "the query was never answered");
    }
    if (!Describe(record.mResult).mMayHaveRun && record.mAnswerCount > 0 &&
        !record.mRunsByShard.empty()) {
      AddViolation("I4", i + 1, "answered 'not run' although a replica ran it");
    }
    if (mConfig->mClasses.at(record.mSpec.mClass).mRepeatable) {
      continue;
    }
    for (const auto& [shard, runs] : record.mRunsByShard) {
      if (runs > 1) {
        AddViolation("I5", i + 1, fmt::format("the unrepeatable request ran {} times", runs));
      }
    }
  }
}

} // namespace apricotyard
