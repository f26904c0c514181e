#include "bench_world.h"

#include <algorithm>

#include <fmt/format.h>

namespace apricotyard {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// The transfer outlives the attempt by this time, as in the adapter.
constexpr Duration kCancelGrace = milliseconds(200);
constexpr Duration kGossipDelay = milliseconds(5);
constexpr std::size_t kNone = SIZE_MAX;
// Network: one-way delay within and between data centres, its variation and the loss of packets.
constexpr Duration kLocalDelay = microseconds(150);
constexpr Duration kRemoteDelay = microseconds(4000);
constexpr std::uint64_t kVariationPercent = 30;
constexpr std::uint64_t kRemoteLossOneIn = 5000;
// A lost packet is sent again after the smallest retransmission timeout of Linux.
constexpr Duration kRetransmission = milliseconds(200);
// How long an announcement takes to reach every entry host, at least and in addition at most.
constexpr Duration kAnnounceDelay = milliseconds(20);
constexpr std::uint64_t kAnnounceSpread = 180'000;
constexpr Duration kLease = std::chrono::seconds(6);
// A draining replica accepts work for as long as the hosts may need to learn of the drain.
constexpr Duration kDrainGrace = std::chrono::seconds(2);
constexpr std::size_t kQueuePerSlot = 4;
constexpr std::uint64_t kColdFactor = 10;
constexpr Duration kRestartColdTime = std::chrono::seconds(2);
constexpr Duration kResendDelay = milliseconds(100);
constexpr Duration kPeakWindow = milliseconds(100);
constexpr unsigned kAttemptBits = 40;

// Quantiles of the service time of a healthy replica: probability in 1/65536, time in µs. Between
// the points the distribution is uniform. kMeanServiceTime follows from them.
struct QuantilePoint
{
  std::uint64_t mProbability;
  std::uint64_t mMicros;
};
constexpr QuantilePoint kServiceTimes[] = { { 0, 2000 },      { 32768, 5000 },  { 58982, 9000 },
                                            { 64881, 20000 }, { 65470, 40000 }, { 65536, 60000 } };

constexpr std::uint64_t
MeanOfTable()
{
  std::uint64_t sum = 0;
  for (std::size_t i = 1; i < std::size(kServiceTimes); ++i) {
    const QuantilePoint& low = kServiceTimes[i - 1];
    const QuantilePoint& high = kServiceTimes[i];
    sum += (high.mProbability - low.mProbability) * (low.mMicros + high.mMicros) / 2;
  }
  return sum / 65536;
}
static_assert(MeanOfTable() == static_cast<std::uint64_t>(kMeanServiceTime.count()));

bool
Failed(Result aResult)
{
  return aResult != Result::Ok && aResult != Result::PartialAnswer;
}

} // namespace

Duration
DrawExponential(Rng& aRng, Duration aMean)
{
  // Counts the descending run x1 > x2 > ... of 32-bit uniform numbers. A run of odd length accepts
  // x1 as the fraction; a run of even length adds one to the whole part and tries again.
  constexpr unsigned kBits = 32;
  for (std::uint64_t whole = 0;; ++whole) {
    const std::uint64_t first = aRng() >> kBits;
    std::uint64_t previous = first;
    bool odd = true;
    for (std::uint64_t next = aRng() >> kBits; next < previous; next = aRng() >> kBits) {
      previous = next;
      odd = !odd;
    }
    if (odd) {
      const auto mean = static_cast<std::uint64_t>(aMean.count());
      return Duration(whole * mean + ((first * mean) >> kBits));
    }
  }
}

Duration
DrawServiceTime(Rng& aRng)
{
  const std::uint64_t draw = aRng() >> 48U;
  const QuantilePoint* high = std::begin(kServiceTimes) + 1;
  while (draw >= high->mProbability) {
    ++high;
  }
  const QuantilePoint& low = *(high - 1);
  return Duration(low.mMicros + (draw - low.mProbability) * (high->mMicros - low.mMicros) /
                                  (high->mProbability - low.mProbability));
}

World::World(WorldOptions aOptions, std::shared_ptr<const Config> aConfig)
  : mOptions(std::move(aOptions))
  , mConfig(std::move(aConfig))
  , mRng(mOptions.mSeed)
  , mHosts(mOptions.mHosts.size())
  , mMarkedCrashes(mOptions.mHosts.size())
{
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    Host& host = mHosts[i];
    host.mDataCentre = mOptions.mHosts[i];
    host.mEngine.mDataCentre = host.mDataCentre;
    host.mEngine.mNextAttempt = (i + 1) << kAttemptBits;
    host.mBaseline.mNextAttempt = (i + 1) << kAttemptBits;
    host.mBaseline.mConfig = mConfig;
    host.mRng.seed(mOptions.mSeed * 1000 + i);
    SetConfig(host.mEngine, mConfig);
  }
}

std::size_t
World::AddReplica(UpstreamInfo aInfo, Duration aConnectCost)
{
  const std::size_t index = mReplicas.size();
  aInfo.mIncarnation = std::max<std::uint64_t>(1, aInfo.mIncarnation);
  aInfo.mSequence = std::max<std::uint64_t>(1, aInfo.mSequence);
  mReplicaIds[aInfo.mId] = index;
  mLayouts[{ aInfo.mService, aInfo.mMap }][aInfo.mShard] = aInfo.mRange;
  FakeReplica replica;
  replica.mInfo = std::move(aInfo);
  replica.mConnectCost = aConnectCost;
  mReplicas.push_back(std::move(replica));
  mPools.resize(mReplicas.size() * mHosts.size());
  if (mReplicas.back().mInfo.mState != UpstreamState::Starting) {
    for (std::size_t host = 0; host < mHosts.size(); ++host) {
      mHosts[host].mKnown[mReplicas.back().mInfo.mId] = mReplicas.back().mInfo;
    }
  }
  return index;
}

std::vector<std::size_t>
World::ReplicasOf(const std::string& aService) const
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
World::Trace(std::string_view aText) const
{
  if (mOptions.mTrace) {
    fmt::print("{:>9} {}\n", (mNow - mStart).count(), aText);
  }
}

void
World::Post(TimePoint aWhen, std::function<void()> aTask)
{
  mEvents.push({ std::max(aWhen, mNow), mOrder++, std::move(aTask) });
}

void
World::Schedule(Duration aAfter, std::function<void()> aTask)
{
  Post(mStart + aAfter, std::move(aTask));
}

void
World::Run()
{
  for (std::size_t host = 0; host < mHosts.size(); ++host) {
    Refresh(host);
  }
  while (!mEvents.empty()) {
    mNow = mEvents.top().mWhen;
    const std::function<void()> task = mEvents.top().mTask;
    mEvents.pop();
    task();
  }
  CheckEnd();
}

Duration
World::OneWay(std::size_t aHost, std::size_t aReplica)
{
  const bool local = mHosts[aHost].mDataCentre == mReplicas[aReplica].mInfo.mDataCentre;
  const Duration base = local ? kLocalDelay : kRemoteDelay;
  const auto spread = static_cast<std::uint64_t>(base.count()) * kVariationPercent / 100;
  Duration delay = base + Duration(mRng() % (spread + 1));
  if (!local && mRng() % kRemoteLossOneIn == 0) {
    delay += kRetransmission;
  }
  return delay;
}

World::Pool&
World::PoolOf(std::size_t aHost, std::size_t aReplica)
{
  return mPools[aReplica * mHosts.size() + aHost];
}

std::uint32_t
World::ConnectionLimit(std::size_t aReplica) const
{
  const auto hosts = static_cast<std::uint32_t>(mHosts.size());
  return std::max(1U, mReplicas[aReplica].mInfo.mConnections / hosts);
}

// ---- Engine side -------------------------------------------------------------------------------

void
World::Submit(const QueryPlan& aPlan, std::size_t aHost)
{
  QueryRecord record;
  record.mPlan = aPlan;
  record.mHost = aHost;
  record.mArrived = mNow;
  mQueries.push_back(std::move(record));
  QueryRequest request;
  request.mId = mQueries.size();
  request.mRequestId = fmt::format("q{}", request.mId);
  request.mCaller = "bench";
  request.mCollection = aPlan.mCollection;
  request.mClass = aPlan.mClass;
  request.mQuery = aPlan.mText;
  Trace(
    fmt::format("submit q{} host={} class={} {}", request.mId, aHost, aPlan.mClass, aPlan.mText));
  Actions actions;
  Host& host = mHosts[aHost];
  if (mOptions.mPolicy == BenchPolicy::Current) {
    SubmitQuery(host.mEngine, std::move(request), mNow, host.mRng, actions);
  } else {
    SubmitQuery(host.mBaseline, std::move(request), mNow, actions);
  }
  CarryOut(aHost, actions);
}

void
World::CarryOut(std::size_t aHost, const Actions& aActions)
{
  for (const Action& action : aActions) {
    if (const auto* const send = std::get_if<SendSub>(&action)) {
      Send(aHost, *send);
    } else if (const auto* const cancel = std::get_if<CancelSub>(&action)) {
      Cancel(aHost, cancel->mAttempt);
    } else if (const auto* const respond = std::get_if<Respond>(&action)) {
      CheckAnswer(respond->mAnswer);
    } else if (const auto* const share = std::get_if<ShareStrike>(&action)) {
      Share(aHost, share->mStrike);
    }
  }
  ArmTimer(aHost);
}

// Gossip between the entry hosts; the delay stands for one message between data centres.
void
World::Share(std::size_t aHost, const Strike& aStrike)
{
  for (std::size_t host = 0; host < mHosts.size(); ++host) {
    if (host != aHost) {
      Post(mNow + kGossipDelay, [this, host, aStrike] {
        OnSharedStrike(mHosts[host].mEngine, aStrike, mNow);
        ArmTimer(host);
      });
    }
  }
}

void
World::ArmTimer(std::size_t aHost)
{
  Host& host = mHosts[aHost];
  const bool current = mOptions.mPolicy == BenchPolicy::Current;
  const auto next = current ? NextTimer(host.mEngine) : NextTimer(host.mBaseline);
  if (!next || next == host.mTimerAt) {
    return;
  }
  host.mTimerAt = next;
  Post(*next, [this, aHost, when = *next] {
    Host& due = mHosts[aHost];
    if (due.mTimerAt != when) {
      return;
    }
    due.mTimerAt.reset();
    Actions actions;
    if (mOptions.mPolicy == BenchPolicy::Current) {
      OnTimer(due.mEngine, mNow, due.mRng, actions);
    } else {
      OnTimer(due.mBaseline, mNow, actions);
    }
    CarryOut(aHost, actions);
  });
}

void
World::Refresh(std::size_t aHost)
{
  Host& host = mHosts[aHost];
  std::vector<UpstreamInfo> upstreams;
  for (const auto& [id, info] : host.mKnown) {
    if (info.mState == UpstreamState::Left) {
      continue;
    }
    // Each host gets its share of the slots, as the division of section 6 would give it.
    UpstreamInfo shared = info;
    const auto hosts = static_cast<std::uint32_t>(mHosts.size());
    const auto turn = static_cast<std::uint32_t>((mReplicaIds.at(id) + aHost) % hosts);
    shared.mSlots = std::max(1U, (info.mSlots + turn) / hosts);
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
World::Learn(std::size_t aHost, const UpstreamInfo& aInfo)
{
  UpstreamInfo& known = mHosts[aHost].mKnown[aInfo.mId];
  if (std::pair(aInfo.mIncarnation, aInfo.mSequence) <=
      std::pair(known.mIncarnation, known.mSequence)) {
    return;
  }
  known = aInfo;
  Refresh(aHost);
}

// ---- Connections -------------------------------------------------------------------------------

void
World::Send(std::size_t aHost, const SendSub& aSend)
{
  const std::size_t sub = mSubs.size();
  Sub& record = mSubs.emplace_back();
  record.mSend = aSend;
  record.mHost = aHost;
  record.mReplica = mReplicaIds.at(aSend.mUpstream);
  record.mConnection = kNone;
  mLive[{ aHost, aSend.mAttempt }] = sub;
  QueryRecord& query = mQueries.at(aSend.mQuery - 1);
  ++query.mSent;
  ++(query.mSentTo.insert(aSend.mShard).second ? mFirstSubs : mExtraSubs);
  Trace(fmt::format("send q{} attempt={} {}/{}/{} v{} to {}",
                    aSend.mQuery,
                    aSend.mAttempt,
                    aSend.mShard.mService,
                    aSend.mShard.mMap,
                    aSend.mShard.mShard,
                    aSend.mVersion,
                    aSend.mUpstream));
  const bool current = mOptions.mPolicy == BenchPolicy::Current;
  Post(mNow + aSend.mTimeout + (current ? kCancelGrace : Duration::zero()),
       [this, sub] { Expire(sub); });
  if (aSend.mSilence > Duration::zero()) {
    Post(mNow + aSend.mSilence, [this, sub] { CheckSilence(sub); });
  }
  UseConnection(sub);
}

// No byte arrived in time on a connection that worked before.
void
World::CheckSilence(std::size_t aSub)
{
  const Sub& sub = mSubs[aSub];
  if (!sub.mClosed && sub.mConnection != kNone && mConnections[sub.mConnection].mUsed) {
    ReportFailure(aSub, FailureKind::Silent);
  }
}

void
World::UseConnection(std::size_t aSub)
{
  Sub& sub = mSubs[aSub];
  Pool& pool = PoolOf(sub.mHost, sub.mReplica);
  if (!pool.mIdle.empty() && !sub.mSend.mFreshConnection) {
    sub.mConnection = pool.mIdle.back();
    pool.mIdle.pop_back();
    mConnections[sub.mConnection].mSub = aSub;
    Post(mNow + OneWay(sub.mHost, sub.mReplica), [this, aSub] { Deliver(aSub); });
  } else if (pool.mOpen < ConnectionLimit(sub.mReplica)) {
    Connect(aSub);
  } else {
    pool.mWaiting.push_back(aSub);
  }
}

void
World::Connect(std::size_t aSub)
{
  Sub& sub = mSubs[aSub];
  const FakeReplica& replica = mReplicas[sub.mReplica];
  sub.mConnection = mConnections.size();
  mConnections.push_back({ sub.mHost, sub.mReplica, true, false, false, aSub });
  ++PoolOf(sub.mHost, sub.mReplica).mOpen;
  const Duration roundTrip = OneWay(sub.mHost, sub.mReplica) + OneWay(sub.mHost, sub.mReplica);
  if (replica.mFaults.mIsolated) {
    // The adapter gives a connection half of the time of the sub-request.
    FailLater(aSub, FailureKind::NotConnected, sub.mSend.mTimeout / 2);
  } else if (!replica.mAlive || replica.mFaults.mRefuse) {
    FailLater(aSub, FailureKind::NotConnected, roundTrip);
  } else {
    Post(mNow + roundTrip + replica.mConnectCost + OneWay(sub.mHost, sub.mReplica),
         [this, aSub] { Deliver(aSub); });
  }
}

void
World::CloseConnection(std::size_t aConnection)
{
  if (aConnection == kNone || !mConnections[aConnection].mOpen) {
    return;
  }
  Connection& connection = mConnections[aConnection];
  connection.mOpen = false;
  Pool& pool = PoolOf(connection.mHost, connection.mReplica);
  --pool.mOpen;
  std::erase(pool.mIdle, aConnection);
  StartWaiting(connection.mHost, connection.mReplica);
}

void
World::ReleaseConnection(std::size_t aConnection)
{
  Connection& connection = mConnections[aConnection];
  if (!connection.mOpen) {
    return;
  }
  connection.mUsed = true;
  connection.mSub = kNone;
  PoolOf(connection.mHost, connection.mReplica).mIdle.push_back(aConnection);
  StartWaiting(connection.mHost, connection.mReplica);
}

void
World::StartWaiting(std::size_t aHost, std::size_t aReplica)
{
  Pool& pool = PoolOf(aHost, aReplica);
  while (!pool.mWaiting.empty()) {
    const std::size_t sub = pool.mWaiting.front();
    pool.mWaiting.pop_front();
    if (!mSubs[sub].mClosed) {
      UseConnection(sub);
      return;
    }
  }
}

void
World::Cancel(std::size_t aHost, AttemptId aAttempt)
{
  const auto live = mLive.find({ aHost, aAttempt });
  if (live == mLive.end()) {
    return;
  }
  const std::size_t sub = live->second;
  Trace(fmt::format("cancel attempt={}", aAttempt));
  if (mOptions.mPolicy == BenchPolicy::Current) {
    // The adapter cancels by a request of its own and keeps the connection; the replica answers the
    // search itself when it has stopped.
    if (!mReplicas[mSubs[sub].mReplica].mFaults.mIsolated) {
      Post(mNow + OneWay(aHost, mSubs[sub].mReplica), [this, sub] { AnswerCancelled(sub); });
    }
    return;
  }
  mLive.erase(live);
  mSubs[sub].mClosed = true;
  CloseConnection(mSubs[sub].mConnection);
  if (!mReplicas[mSubs[sub].mReplica].mFaults.mIsolated) {
    Post(mNow + OneWay(aHost, mSubs[sub].mReplica), [this, sub] { AbortRun(sub); });
  }
}

void
World::AnswerCancelled(std::size_t aSub)
{
  Sub& sub = mSubs[aSub];
  const FakeReplica& replica = mReplicas[sub.mReplica];
  if (sub.mClosed || replica.mFaults.mIsolated || replica.mFaults.mDropReplies) {
    return;
  }
  const Duration back = OneWay(sub.mHost, sub.mReplica);
  if (sub.mQueued) {
    AbortRun(aSub);
    FailLater(aSub, FailureKind::Shed, back);
  } else if (sub.mRunning) {
    AbortRun(aSub);
    FailLater(aSub, FailureKind::ErrorStatus, back);
  }
}

void
World::Expire(std::size_t aSub)
{
  if (!mSubs[aSub].mClosed) {
    // Nothing left the host if the sub-request still waited for a connection.
    const bool sent = mSubs[aSub].mConnection != kNone;
    ReportFailure(aSub, sent ? FailureKind::TimedOut : FailureKind::NotSent);
  }
}

void
World::FailLater(std::size_t aSub, FailureKind aKind, Duration aDelay)
{
  Post(mNow + aDelay, [this, aSub, aKind] { ReportFailure(aSub, aKind); });
}

void
World::ReportFailure(std::size_t aSub, FailureKind aKind)
{
  Sub& sub = mSubs[aSub];
  if (sub.mClosed) {
    return;
  }
  sub.mClosed = true;
  mLive.erase({ sub.mHost, sub.mSend.mAttempt });
  Trace(fmt::format("fail attempt={} {}", sub.mSend.mAttempt, FailureName(aKind)));
  const bool answered = aKind == FailureKind::Shed || aKind == FailureKind::VersionGone ||
                        aKind == FailureKind::Draining || aKind == FailureKind::ErrorStatus;
  const std::size_t connection = sub.mConnection;
  Host& host = mHosts[sub.mHost];
  Actions actions;
  const SubFailure failure{ sub.mSend.mAttempt, aKind, {} };
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
  CarryOut(sub.mHost, actions);
}

void
World::ReportReply(std::size_t aSub, SubReply aReply)
{
  Sub& sub = mSubs[aSub];
  Host& host = mHosts[sub.mHost];
  Trace(fmt::format("reply attempt={} {}/{} v{}",
                    aReply.mAttempt,
                    aReply.mShard.mService,
                    aReply.mShard.mShard,
                    aReply.mVersion));
  const bool genuine = aReply.mAttempt == sub.mSend.mAttempt && aReply.mShard == sub.mSend.mShard &&
                       aReply.mVersion == sub.mSend.mVersion;
  if (genuine) {
    mQueries[sub.mSend.mQuery - 1].mReplied.insert(sub.mShard);
  }
  Actions actions;
  if (mOptions.mPolicy == BenchPolicy::Current) {
    OnReply(host.mEngine, std::move(aReply), mNow, host.mRng, actions);
  } else {
    OnReply(host.mBaseline, std::move(aReply), mNow, actions);
  }
  CarryOut(sub.mHost, actions);
}

// ---- Replica side ------------------------------------------------------------------------------

void
World::Deliver(std::size_t aSub)
{
  Sub& sub = mSubs[aSub];
  FakeReplica& replica = mReplicas[sub.mReplica];
  if (sub.mClosed || mConnections[sub.mConnection].mSilent || replica.mFaults.mIsolated) {
    return;
  }
  const Duration back = OneWay(sub.mHost, sub.mReplica);
  const auto& versions = replica.mInfo.mVersions;
  if (!replica.mAlive || !mConnections[sub.mConnection].mOpen) {
    FailLater(aSub, FailureKind::Lost, back);
    return;
  }
  mArrivals[replica.mInfo.mService].push_back(mNow);
  const ShardKey own{ replica.mInfo.mService, replica.mInfo.mMap, replica.mInfo.mShard };
  const bool offered =
    std::find(versions.begin(), versions.end(), sub.mSend.mVersion) != versions.end();
  if (replica.mInfo.mState == UpstreamState::Draining && mNow > replica.mDrainStart + kDrainGrace) {
    FailLater(aSub, FailureKind::Draining, back);
  } else if (own != sub.mSend.mShard || !offered) {
    FailLater(aSub, FailureKind::VersionGone, back);
  } else if (replica.mFaults.mShed ||
             replica.mQueue.size() >= kQueuePerSlot * replica.mInfo.mSlots) {
    FailLater(aSub, FailureKind::Shed, back);
  } else {
    sub.mQueued = true;
    sub.mIncarnation = replica.mInfo.mIncarnation;
    replica.mQueue.push_back(aSub);
    StartNext(sub.mReplica);
  }
}

void
World::StartNext(std::size_t aReplica)
{
  FakeReplica& replica = mReplicas[aReplica];
  while (replica.mAlive && replica.mRunning < replica.mInfo.mSlots && !replica.mQueue.empty()) {
    const std::size_t index = replica.mQueue.front();
    replica.mQueue.pop_front();
    Sub& sub = mSubs[index];
    sub.mQueued = false;
    sub.mRunning = true;
    sub.mShard = { replica.mInfo.mService, replica.mInfo.mMap, replica.mInfo.mShard };
    sub.mVersion = sub.mSend.mVersion;
    sub.mRange = replica.mInfo.mRange;
    ++replica.mRunning;
    ++replica.mRuns;
    ++mQueries[sub.mSend.mQuery - 1].mRuns[sub.mShard];
    if (replica.mFaults.mCrashOnMarked && *sub.mSend.mBody == kMarkedQuery) {
      ++mMarkedCrashes[sub.mHost];
      Crash(aReplica, std::chrono::seconds(1));
      return;
    }
    // The time depends on the seed, the replica and its number of runs only, so that both policies
    // meet the same replicas.
    Rng draw(mOptions.mSeed ^ (aReplica * 0x9E3779B97F4A7C15U) ^ (replica.mRuns << 20U));
    Duration time = DrawServiceTime(draw) * replica.mFaults.mSlowFactor;
    const Duration warm = mNow - replica.mColdStart;
    if (replica.mColdTime > Duration::zero() && warm < replica.mColdTime) {
      time +=
        time * (kColdFactor - 1) * (replica.mColdTime - warm).count() / replica.mColdTime.count();
    }
    Post(mNow + time, [this, index] { FinishRun(index); });
  }
}

void
World::FinishRun(std::size_t aSub)
{
  Sub& sub = mSubs[aSub];
  FakeReplica& replica = mReplicas[sub.mReplica];
  if (!sub.mRunning || sub.mIncarnation != replica.mInfo.mIncarnation) {
    return;
  }
  sub.mRunning = false;
  --replica.mRunning;
  SendReply(aSub);
  StartNext(sub.mReplica);
}

void
World::SendReply(std::size_t aSub)
{
  Sub& sub = mSubs[aSub];
  const FakeFaults& faults = mReplicas[sub.mReplica].mFaults;
  const Duration back = OneWay(sub.mHost, sub.mReplica);
  if (faults.mDropReplies || faults.mIsolated || mConnections[sub.mConnection].mSilent) {
    return;
  }
  if (faults.mCloseAfterRead) {
    FailLater(aSub, FailureKind::Lost, back);
    return;
  }
  if (faults.mTruncate) {
    FailLater(aSub, FailureKind::BadReply, back);
    return;
  }
  SubReply reply{ sub.mSend.mAttempt, sub.mShard, sub.mVersion, { fmt::to_string(aSub) } };
  if (faults.mWrongVersion) {
    ++reply.mVersion;
  }
  if (faults.mCrossed && mRng() % 2 == 0) {
    ++reply.mShard.mShard;
  } else if (faults.mCrossed) {
    --reply.mAttempt;
  }
  // A reply states honestly what was searched; merging it in spite of that is a violation.
  sub.mVersion = reply.mVersion;
  sub.mShard = reply.mShard;
  const bool duplicate = faults.mDuplicate;
  Post(mNow + back, [this, aSub, reply, duplicate] {
    Sub& done = mSubs[aSub];
    if (done.mClosed) {
      return;
    }
    if (reply.mAttempt != done.mSend.mAttempt) {
      // The transport closes a connection that delivered the reply of another request. The engine
      // gets the stray reply as well, to check that it is not merged.
      ReportReply(aSub, reply);
      ReportFailure(aSub, FailureKind::BadReply);
      return;
    }
    done.mClosed = true;
    mLive.erase({ done.mHost, done.mSend.mAttempt });
    ReleaseConnection(done.mConnection);
    ReportReply(aSub, reply);
    if (duplicate) {
      Post(mNow + milliseconds(1), [this, aSub, reply] { ReportReply(aSub, reply); });
    }
  });
}

void
World::AbortRun(std::size_t aSub)
{
  Sub& sub = mSubs[aSub];
  FakeReplica& replica = mReplicas[sub.mReplica];
  if (sub.mQueued) {
    std::erase(replica.mQueue, aSub);
    sub.mQueued = false;
  } else if (sub.mRunning && sub.mIncarnation == replica.mInfo.mIncarnation) {
    sub.mRunning = false;
    --replica.mRunning;
    StartNext(sub.mReplica);
  }
}

void
World::Announce(std::size_t aReplica)
{
  FakeReplica& replica = mReplicas[aReplica];
  ++replica.mInfo.mSequence;
  mLayouts[{ replica.mInfo.mService, replica.mInfo.mMap }][replica.mInfo.mShard] =
    replica.mInfo.mRange;
  Trace(fmt::format("announce {} map={} shard={} state={} newest=v{}",
                    replica.mInfo.mId,
                    replica.mInfo.mMap,
                    replica.mInfo.mShard,
                    static_cast<int>(replica.mInfo.mState),
                    replica.mInfo.mVersions.empty() ? 0 : replica.mInfo.mVersions.back()));
  for (std::size_t host = 0; host < mHosts.size(); ++host) {
    Post(mNow + kAnnounceDelay + Duration(mRng() % kAnnounceSpread),
         [this, host, info = replica.mInfo] { Learn(host, info); });
  }
}

void
World::Drain(std::size_t aReplica)
{
  mReplicas[aReplica].mInfo.mState = UpstreamState::Draining;
  mReplicas[aReplica].mDrainStart = mNow;
  Announce(aReplica);
}

void
World::Crash(std::size_t aReplica, Duration aRestart)
{
  FakeReplica& replica = mReplicas[aReplica];
  if (!replica.mAlive) {
    return;
  }
  Trace(fmt::format("crash {}", replica.mInfo.mId));
  replica.mAlive = false;
  // Every running or queued sub-request ends with the process.
  replica.mQueue.clear();
  replica.mRunning = 0;
  ++replica.mInfo.mIncarnation;
  replica.mInfo.mSequence = 0;
  for (std::size_t i = 0; i < mConnections.size(); ++i) {
    const Connection& connection = mConnections[i];
    if (connection.mReplica != aReplica || !connection.mOpen) {
      continue;
    }
    const Duration back = OneWay(connection.mHost, aReplica);
    if (connection.mSub != kNone) {
      mSubs[connection.mSub].mQueued = false;
      mSubs[connection.mSub].mRunning = false;
      if (!connection.mSilent && !replica.mFaults.mIsolated) {
        FailLater(connection.mSub, FailureKind::Lost, back);
      }
    } else if (!connection.mSilent) {
      Post(mNow + back, [this, i] {
        if (mConnections[i].mSub == kNone) {
          CloseConnection(i);
        }
      });
    }
  }
  if (aRestart == Duration::zero()) {
    ExpireLater(aReplica);
    return;
  }
  Post(mNow + aRestart, [this, aReplica] {
    FakeReplica& back = mReplicas[aReplica];
    back.mAlive = true;
    back.mColdStart = mNow;
    back.mColdTime = kRestartColdTime;
    Announce(aReplica);
  });
}

void
World::ExpireLater(std::size_t aReplica)
{
  const std::uint64_t incarnation = mReplicas[aReplica].mInfo.mIncarnation;
  Post(mNow + kLease, [this, aReplica, incarnation] {
    const FakeReplica& replica = mReplicas[aReplica];
    if (replica.mInfo.mIncarnation != incarnation ||
        (replica.mAlive && !replica.mFaults.mIsolated)) {
      return;
    }
    for (std::size_t host = 0; host < mHosts.size(); ++host) {
      mHosts[host].mKnown.erase(replica.mInfo.mId);
      Refresh(host);
    }
  });
}

void
World::SilenceConnections(std::size_t aHost)
{
  Trace(fmt::format("connections of host {} go silent", aHost));
  for (Connection& connection : mConnections) {
    connection.mSilent = connection.mSilent || (connection.mOpen && connection.mHost == aHost);
  }
}

std::uint64_t
World::PeakArrivals(const std::string& aService, TimePoint aSince) const
{
  const auto found = mArrivals.find(aService);
  if (found == mArrivals.end()) {
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
World::Violate(std::string_view aInvariant, QueryId aQuery, std::string aWhat)
{
  Trace(fmt::format("VIOLATION {} q{}: {}", aInvariant, aQuery, aWhat));
  mViolations.push_back({ aInvariant, aQuery, std::move(aWhat) });
}

void
World::CheckAnswer(const Answer& aAnswer)
{
  QueryRecord& record = mQueries.at(aAnswer.mQuery - 1);
  Trace(fmt::format("answer q{} {} {}/{}",
                    aAnswer.mQuery,
                    Describe(aAnswer.mResult).mName,
                    aAnswer.mAnswered,
                    aAnswer.mExpected));
  if (++record.mAnswers > 1) {
    Violate("I3", aAnswer.mQuery, "the query was answered twice");
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
  if (Failed(aAnswer.mResult) && record.mPlan.mResends > 0) {
    QueryPlan again = record.mPlan;
    --again.mResends;
    const std::size_t host = (record.mHost + 1) % mHosts.size();
    Post(mNow + kResendDelay, [this, again, host] { Submit(again, host); });
  }
}

// Each item carries the number of the sub-request that produced it.
void
World::CheckItems(const Answer& aAnswer, const QueryRecord& aRecord)
{
  std::map<std::string, std::vector<KeyRange>> merged;
  for (const std::string& item : aAnswer.mItems) {
    const Sub& sub = mSubs.at(std::stoull(item));
    if (sub.mSend.mQuery != aAnswer.mQuery) {
      Violate("I3", aAnswer.mQuery, "merged the reply to another query");
    }
    if (sub.mVersion != aAnswer.mSnapshot.mVersion) {
      Violate("I1", aAnswer.mQuery, "merged a reply at another index version");
    }
    const auto map = aAnswer.mSnapshot.mMaps.find(sub.mShard.mService);
    if (map == aAnswer.mSnapshot.mMaps.end() || map->second != sub.mShard.mMap) {
      Violate("I1", aAnswer.mQuery, "merged a reply of another partition map");
    }
    for (const KeyRange& range : merged[sub.mShard.mService]) {
      if (sub.mRange.mLow < range.mHigh && range.mLow < sub.mRange.mHigh) {
        Violate("I1", aAnswer.mQuery, "a key range was counted twice");
      }
    }
    merged[sub.mShard.mService].push_back(sub.mRange);
  }
  if (!Failed(aAnswer.mResult) && aAnswer.mItems.size() != aAnswer.mAnswered) {
    Violate("I2", aAnswer.mQuery, "the merged replies do not match the shards answered");
  }
  if (aAnswer.mAnswered > aRecord.mReplied.size()) {
    Violate("I2", aAnswer.mQuery, "more shards reported than replied");
  }
}

void
World::CheckCoverage(const Answer& aAnswer, const QueryRecord& aRecord)
{
  std::set<ShardKey> expected;
  for (const std::string& service : mConfig->mCollections.at(aRecord.mPlan.mCollection).mServices) {
    const auto map = aAnswer.mSnapshot.mMaps.find(service);
    if (map == aAnswer.mSnapshot.mMaps.end()) {
      expected.insert({ service, 0, 0 });
      continue;
    }
    for (const auto& [shard, range] : mLayouts[{ service, map->second }]) {
      expected.insert({ service, map->second, shard });
    }
  }
  std::set<ShardKey> reported;
  for (const MissingShard& missing : aAnswer.mMissing) {
    reported.insert(missing.mShard);
    expected.insert(missing.mShard);
  }
  for (const std::string& item : aAnswer.mItems) {
    reported.insert(mSubs.at(std::stoull(item)).mShard);
  }
  if (expected.size() != aAnswer.mExpected ||
      aAnswer.mAnswered + aAnswer.mMissing.size() != aAnswer.mExpected) {
    Violate("I2",
            aAnswer.mQuery,
            fmt::format("{} shards are expected, the answer states {} = {} + {}",
                        expected.size(),
                        aAnswer.mExpected,
                        aAnswer.mAnswered,
                        aAnswer.mMissing.size()));
  }
  if (!Failed(aAnswer.mResult) && reported != expected) {
    Violate("I2", aAnswer.mQuery, "a key range is neither merged nor reported missing");
  }
  const bool whole = aAnswer.mAnswered == aAnswer.mExpected;
  const double minimum = mConfig->mClasses.at(aRecord.mPlan.mClass).mMinCoverage;
  const bool enough = aAnswer.mAnswered >= minimum * aAnswer.mExpected;
  if ((aAnswer.mResult == Result::Ok && !whole) ||
      (aAnswer.mResult == Result::PartialAnswer && (whole || !enough))) {
    Violate("I2", aAnswer.mQuery, "the result code does not match the coverage");
  }
}

void
World::CheckEnd()
{
  for (std::size_t i = 0; i < mQueries.size(); ++i) {
    const QueryRecord& record = mQueries[i];
    if (record.mAnswers == 0) {
      Violate("I3", i + 1, "the query was never answered");
    }
    if (!Describe(record.mResult).mMayHaveRun && record.mAnswers > 0 && !record.mRuns.empty()) {
      Violate("I4", i + 1, "answered 'not run' although a replica ran it");
    }
    if (mConfig->mClasses.at(record.mPlan.mClass).mRepeatable) {
      continue;
    }
    for (const auto& [shard, runs] : record.mRuns) {
      if (runs > 1) {
        Violate("I5", i + 1, fmt::format("the unrepeatable request ran {} times", runs));
      }
    }
  }
}

} // namespace apricotyard
