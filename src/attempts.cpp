#include "attempts.h"

#include "snapshot.h"
#include "upstreams.h"

#include <algorithm>

#include <fmt/format.h>

namespace apricotyard {

namespace {

// One level of urgency in the queue of a shard is worth this much waiting time.
constexpr Duration kUrgencyStep = std::chrono::milliseconds(50);
// A cancelled attempt gives back its slot after this time, even if the upstream never answers.
constexpr Duration kMaxCancelHold = std::chrono::seconds(1);
// How often a parked sub-request of each shard is tried without any other cause.
constexpr Duration kProbeInterval = std::chrono::milliseconds(25);
// Waiting sub-requests that one freed slot may pass over because they exclude its replica.
constexpr int kMaxSkipped = 16;
constexpr std::uint32_t kMaxRestarts = 2;
constexpr Duration kMinSilence = std::chrono::milliseconds(50);
constexpr int kSilenceFactor = 3;
// An attempt that ran this many times the 95th percentile without a reply counts as a failure.
constexpr int kOverdueFactor = 3;
constexpr Duration kReserveTime = std::chrono::milliseconds(200);
constexpr double kFastQuantile = 0.1;
constexpr double kSlowQuantile = 0.95;
constexpr double kSlowestQuantile = 0.99;

enum class Purpose : std::uint8_t
{
  First,
  Retry,
  Repeat, // after a silent connection
  Hedge,
};

enum class Obstacle : std::uint8_t
{
  None,
  NoSlot,      // a usable replica has no free slot
  NoBudget,    // the retry budget of every usable replica is spent
  Exhausted,   // every usable replica was tried
  VersionGone, // ready replicas exist, but none offers the pinned version
  NoReplica,   // no replica is ready
};

struct Selection
{
  Obstacle mObstacle = Obstacle::NoReplica;
  Replica* mReplica = nullptr;
};

using Candidates = absl::InlinedVector<Candidate, 8>;

ShardRun&
RunOf(RunningQuery& aQuery, std::uint32_t aIndex)
{
  return aQuery.mShards[aIndex];
}

Purpose
PurposeOf(const ShardRun& aRun)
{
  return aRun.mFresh ? Purpose::Repeat : aRun.mWasSent ? Purpose::Retry : Purpose::First;
}

WaitKey
WaitKeyOf(const RunningQuery& aQuery, std::uint32_t aIndex)
{
  const auto delay = static_cast<std::int64_t>(aQuery.mClass.mUrgency) * kUrgencyStep;
  return { aQuery.mDispatched + delay, aQuery.mRequest.mId, aIndex };
}

bool
IsTried(const ShardRun& aRun, const Replica& aReplica)
{
  return std::find(aRun.mTried.begin(), aRun.mTried.end(), aReplica.mSerial) != aRun.mTried.end();
}

bool
RunsOn(const Engine& aEngine, const ShardRun& aRun, const Replica& aReplica)
{
  return std::any_of(aRun.mAttempts.begin(), aRun.mAttempts.end(), [&](AttemptId aAttempt) {
    return aEngine.mAttempts.at(aAttempt).mReplica == &aReplica;
  });
}

// Slots that the replica may use now. A slow start limits them, unless all replicas of the shard
// are in one: then nobody else could serve.
std::uint32_t
AllowedSlots(const Replica& aReplica, bool aAllWarming, TimePoint aNow)
{
  if (aAllWarming || aReplica.mShare == 0) {
    return aReplica.mShare;
  }
  const double share = WarmShare(aReplica.mHealth, aNow) * aReplica.mShare;
  return std::max(1U, static_cast<std::uint32_t>(share));
}

bool
AllWarming(ShardState& aShard, TimePoint aNow)
{
  bool all = true;
  for (Replica* const replica : aShard.mReplicas) {
    RefreshHealth(replica->mHealth, aNow);
    all = all && (replica->mHealth.mWarming || replica->mInfo.mState != UpstreamState::Ready);
  }
  return all;
}

// The replicas of a shard by what keeps them from taking a sub-request.
struct Survey
{
  bool mReady = false;
  bool mOffered = false;
  bool mUntried = false;
  bool mNoBudget = false;
  bool mNoSlot = false;
  bool mHealthy = false;
  Candidates mUsable;
  Candidates mEjected;
  Replica* mLeastBusy = nullptr;
};

void
SurveyReplica(Turn& aTurn,
              const RunningQuery& aQuery,
              const ShardRun& aRun,
              std::size_t aIndex,
              Purpose aPurpose,
              bool aAlone,
              bool aAllWarming,
              Survey& aSurvey)
{
  Replica& replica = *aRun.mShard->mReplicas[aIndex];
  aSurvey.mReady = aSurvey.mReady || replica.mInfo.mState == UpstreamState::Ready;
  if (!Offers(replica, aQuery.mSnapshot.mVersion)) {
    return;
  }
  aSurvey.mOffered = true;
  if (IsTried(aRun, replica) || RunsOn(aTurn.mEngine, aRun, replica)) {
    return;
  }
  aSurvey.mUntried = true;
  const bool ejected = replica.mHealth.mEjected;
  aSurvey.mHealthy = aSurvey.mHealthy || !ejected;
  if (aPurpose == Purpose::Retry && aTurn.mEngine.mTuning.mRetryBudget &&
      !CanSpend(replica.mRetries)) {
    aSurvey.mNoBudget = true;
    return;
  }
  const bool reserved = !aAlone && replica.mReservedUntil > aTurn.mNow;
  if (replica.mExclusive || reserved || (aAlone && replica.mInFlight > 0) ||
      replica.mInFlight >= AllowedSlots(replica, aAllWarming, aTurn.mNow)) {
    aSurvey.mNoSlot = true;
    if (aSurvey.mLeastBusy == nullptr || replica.mInFlight < aSurvey.mLeastBusy->mInFlight) {
      aSurvey.mLeastBusy = &replica;
    }
    return;
  }
  const Candidate candidate{ aIndex,
                             replica.mInFlight,
                             ExpectedLatencyUs(
                               replica.mLatency, LatencyMeanUs(aRun.mShard->mLatency), aTurn.mNow),
                             replica.mInfo.mDataCentre == aTurn.mEngine.mDataCentre,
                             replica.mHealth.mErrorRate,
                             aAllWarming ? 1.0 : WarmShare(replica.mHealth, aTurn.mNow) };
  (ejected ? aSurvey.mEjected : aSurvey.mUsable).push_back(candidate);
}

// Chooses a replica for the next attempt, or says what prevents one. Ejected replicas are used
// only if no other replica is left.
Selection
SelectReplica(Turn& aTurn,
              const RunningQuery& aQuery,
              const ShardRun& aRun,
              Purpose aPurpose,
              bool aAlone)
{
  ShardState& shard = *aRun.mShard;
  const bool allWarming = AllWarming(shard, aTurn.mNow);
  Survey survey;
  for (std::size_t i = 0; i < shard.mReplicas.size(); ++i) {
    SurveyReplica(aTurn, aQuery, aRun, i, aPurpose, aAlone, allWarming, survey);
  }
  const Candidates& candidates = survey.mHealthy ? survey.mUsable : survey.mEjected;
  if (!candidates.empty()) {
    const Tuning& tuning = aTurn.mEngine.mTuning;
    const std::size_t chosen =
      ChooseCandidate(candidates, tuning.mChoice, tuning.mRemoteLink, shard.mTurn, aTurn.mRng);
    return { Obstacle::None, shard.mReplicas[candidates[chosen].mIndex] };
  }
  if (survey.mNoSlot) {
    if (aAlone && survey.mLeastBusy != nullptr) {
      survey.mLeastBusy->mReservedUntil = aTurn.mNow + kReserveTime;
    }
    return { Obstacle::NoSlot, nullptr };
  }
  return { survey.mNoBudget  ? Obstacle::NoBudget
           : survey.mUntried ? Obstacle::NoSlot
           : survey.mOffered ? Obstacle::Exhausted
           : survey.mReady   ? Obstacle::VersionGone
                             : Obstacle::NoReplica,
           nullptr };
}

void
ReleaseSlot(Turn& aTurn, const Attempt& aAttempt)
{
  Replica& replica = *aAttempt.mReplica;
  --replica.mInFlight;
  if (aAttempt.mAlone) {
    replica.mExclusive = false;
    replica.mReservedUntil = {};
    EndSuspectRun(aTurn.mEngine.mQuarantine, aAttempt.mFingerprint);
    aTurn.mEngine.mToResume.push_back(aAttempt.mQuery);
  }
  if (replica.mShard != nullptr) {
    --replica.mShard->mInFlight;
    UpdateFull(aTurn.mEngine, *replica.mShard);
    if (!replica.mShard->mWaiting.empty()) {
      QueuePump(aTurn.mEngine, *replica.mShard);
    }
  }
}

void
LogSent(Turn& aTurn, const RunningQuery& aQuery, AttemptId aId, const Attempt& aAttempt)
{
  if (!WantsLog(Event::SubrequestSent)) {
    return;
  }
  LogTo(aTurn,
        Event::SubrequestSent,
        { { "request", aQuery.mRequest.mRequestId },
          { "attempt", aId },
          { "service", aAttempt.mShard.mService },
          { "shard", aAttempt.mShard.mShard },
          { "upstream", aAttempt.mReplica->mInfo.mId },
          { "in_flight", aAttempt.mReplica->mInFlight },
          { "mean_us", static_cast<std::int64_t>(aAttempt.mReplica->mLatency.mMeanUs) },
          { "first", aAttempt.mIsFirst } });
}

// Arms the hedge timer of an attempt. Unrepeatable and suspect requests are never hedged.
void
ArmHedge(Turn& aTurn, const RunningQuery& aQuery, AttemptId aId, Attempt& aAttempt)
{
  if (!aTurn.mEngine.mTuning.mHedging || !aQuery.mKey.empty() || aAttempt.mAlone) {
    return;
  }
  const ShardState& shard = *aAttempt.mReplica->mShard;
  if (const auto delay = HedgeDelay(shard.mLatency, aQuery.mDeadline - aTurn.mNow)) {
    aAttempt.mHedgeAt = aTurn.mNow + *delay;
    aTurn.mEngine.mTimers.insert({ *aAttempt.mHedgeAt, TimerKind::Hedge, aId });
  }
}

// The time without a byte after which a reused connection counts as silent.
Duration
SilenceTime(const ShardState& aShard, const SendSub& aSend)
{
  const std::optional<Duration> slowest = LatencyQuantile(aShard.mLatency, kSlowestQuantile);
  if (!slowest || aSend.mFreshConnection) {
    return Duration::zero();
  }
  const Duration silence = std::max(kMinSilence, *slowest * kSilenceFactor);
  return silence < aSend.mTimeout ? silence : Duration::zero();
}

void
CountAttempt(Engine& aEngine, const RunningQuery& aQuery, Replica& aReplica, Purpose aPurpose)
{
  switch (aPurpose) {
    case Purpose::First:
      ++aEngine.mCounts.mFirstAttempts;
      Earn(aEngine.mHedges, aEngine.mTuning.mHedgeShare);
      break;
    case Purpose::Retry:
      ++aEngine.mCounts.mRetries;
      if (aEngine.mTuning.mRetryBudget) {
        Spend(aEngine.mClassRetries.at(aQuery.mClass.mName));
        Spend(aReplica.mRetries);
      }
      break;
    case Purpose::Repeat:
      ++aEngine.mCounts.mRetries;
      break;
    case Purpose::Hedge:
      ++aEngine.mCounts.mHedges;
      Spend(aEngine.mHedges);
      break;
  }
}

void
SendAttempt(Turn& aTurn,
            RunningQuery& aQuery,
            std::uint32_t aIndex,
            Replica& aReplica,
            Purpose aPurpose,
            bool aAlone)
{
  Engine& engine = aTurn.mEngine;
  ShardRun& run = RunOf(aQuery, aIndex);
  const AttemptId id = engine.mNextAttempt++;
  const Duration left = aQuery.mDeadline - aTurn.mNow;
  CountAttempt(engine, aQuery, aReplica, aPurpose);
  ++aReplica.mInFlight;
  ++aReplica.mShard->mInFlight;
  Attempt attempt;
  attempt.mQuery = aQuery.mRequest.mId;
  attempt.mIndex = aIndex;
  attempt.mShard = run.mShard->mKey;
  attempt.mReplica = &aReplica;
  attempt.mIncarnation = aReplica.mInfo.mIncarnation;
  attempt.mVersion = aQuery.mSnapshot.mVersion;
  attempt.mSentAt = aTurn.mNow;
  attempt.mEndsBy = aQuery.mDeadline;
  attempt.mFingerprint = aQuery.mFingerprint;
  attempt.mIsFirst = aPurpose == Purpose::First;
  attempt.mAlone = aAlone;
  attempt.mKey = aQuery.mKey;
  if (aAlone) {
    aReplica.mExclusive = true;
    BeginSuspectRun(engine.mQuarantine, aQuery.mFingerprint);
  }
  if (aPurpose != Purpose::Hedge) {
    ArmHedge(aTurn, aQuery, id, attempt);
  }
  SendSub send{ id,
                aQuery.mRequest.mId,
                aReplica.mInfo.mId,
                aReplica.mInfo.mAddress,
                run.mShard->mKey,
                aQuery.mSnapshot.mVersion,
                aQuery.mBody,
                left };
  send.mFreshConnection = aPurpose == Purpose::Repeat || !aQuery.mKey.empty();
  send.mSilence = SilenceTime(*run.mShard, send);
  LogSent(aTurn, aQuery, id, attempt);
  engine.mAttempts.emplace(id, std::move(attempt));
  run.mAttempts.push_back(id);
  run.mProgress = ShardProgress::Running;
  run.mWasSent = true;
  run.mFresh = false;
  ++aQuery.mAttempts;
  aTurn.mActions.emplace_back(std::move(send));
  UpdateFull(engine, *run.mShard);
}

bool
HasFreeSlot(const ShardState& aShard)
{
  return std::any_of(aShard.mReplicas.begin(), aShard.mReplicas.end(), [](const Replica* aReplica) {
    return aReplica->mInfo.mState == UpstreamState::Ready && aReplica->mInFlight < aReplica->mShare;
  });
}

// Takes the sub-request out of the queue of its shard.
void
StopWaiting(Turn& aTurn, const RunningQuery& aQuery, std::uint32_t aIndex)
{
  ShardState& shard = *aQuery.mShards[aIndex].mShard;
  shard.mWaiting.erase(WaitKeyOf(aQuery, aIndex));
  UpdateFull(aTurn.mEngine, shard);
}

void
ArmProbe(Turn& aTurn, ShardState& aShard)
{
  if (!aShard.mProbeArmed) {
    aShard.mProbeArmed = true;
    aTurn.mEngine.mTimers.insert({ aTurn.mNow + kProbeInterval, TimerKind::Probe, aShard.mNumber });
  }
}

void
Park(Turn& aTurn, RunningQuery& aQuery, std::uint32_t aIndex, MissingReason aReason)
{
  ShardRun& run = RunOf(aQuery, aIndex);
  run.mProgress = ShardProgress::Parked;
  run.mReason = aReason;
  run.mShard->mParked.emplace_back(aQuery.mRequest.mId, aIndex);
  ArmProbe(aTurn, *run.mShard);
}

void
MarkMissing(RunningQuery& aQuery, ShardRun& aRun, MissingReason aReason)
{
  aRun.mProgress = ShardProgress::Missing;
  aRun.mReason = aReason;
  --aQuery.mOpenShards;
}

// Restarts the query on the snapshot that new queries get. False if that is the pinned one or lacks
// a service, the restarts are used up, or an attempt of an unrepeatable request may have run.
bool
Restart(Turn& aTurn, RunningQuery& aQuery)
{
  const auto plan = PlanFor(aTurn.mEngine, *aQuery.mCollection);
  const bool same = plan->mSnapshot.mVersion == aQuery.mSnapshot.mVersion &&
                    plan->mSnapshot.mMaps == aQuery.mSnapshot.mMaps;
  const bool worse = plan->mNotAnnounced.size() > aQuery.mNotAnnounced.size();
  if (same || worse || aQuery.mRestarts >= kMaxRestarts || aQuery.mMayHaveRun) {
    return false;
  }
  if (WantsLog(Event::QueryRestarted)) {
    LogTo(aTurn,
          Event::QueryRestarted,
          { { "request", aQuery.mRequest.mRequestId },
            { "from", aQuery.mSnapshot.mVersion },
            { "to", plan->mSnapshot.mVersion } });
  }
  for (std::uint32_t index = 0; index < aQuery.mShards.size(); ++index) {
    ReleaseShard(aTurn, aQuery, index);
  }
  ++aQuery.mRestarts;
  ++aTurn.mEngine.mCounts.mRestarts;
  StartQuery(aTurn, aQuery, *plan);
  return true;
}

bool
RetryAllowed(const Turn& aTurn, const RunningQuery& aQuery)
{
  return !aTurn.mEngine.mTuning.mRetryBudget ||
         CanSpend(aTurn.mEngine.mClassRetries.at(aQuery.mClass.mName));
}

// What stands in the way of the next attempt before a replica is chosen.
enum class Gate : std::uint8_t
{
  Open,
  TooLate,
  NoBudget,
  Busy,
  Stopped,
};

Gate
CheckGate(Turn& aTurn, const RunningQuery& aQuery, const ShardRun& aRun, Permission aPermission)
{
  if (aPermission == Permission::Stopped) {
    return Gate::Stopped;
  }
  if (aPermission == Permission::Busy) {
    return Gate::Busy;
  }
  const Duration left = aQuery.mDeadline - aTurn.mNow;
  const bool again = aRun.mWasSent;
  if (left <= Duration::zero() ||
      (again && !RetryFits(left, LatencyQuantile(aRun.mShard->mLatency, kFastQuantile)))) {
    return Gate::TooLate;
  }
  if (PurposeOf(aRun) == Purpose::Retry && !RetryAllowed(aTurn, aQuery)) {
    return Gate::NoBudget;
  }
  return Gate::Open;
}

void
Wait(Turn& aTurn, RunningQuery& aQuery, std::uint32_t aIndex)
{
  ShardRun& run = RunOf(aQuery, aIndex);
  run.mProgress = ShardProgress::Waiting;
  run.mShard->mWaiting.insert(WaitKeyOf(aQuery, aIndex));
  UpdateFull(aTurn.mEngine, *run.mShard);
}

// Handles a sub-request for which SelectReplica found no replica.
bool
HandleObstacle(Turn& aTurn, RunningQuery& aQuery, std::uint32_t aIndex, Obstacle aObstacle)
{
  switch (aObstacle) {
    case Obstacle::NoSlot:
      Wait(aTurn, aQuery, aIndex);
      return true;
    case Obstacle::VersionGone:
    case Obstacle::NoReplica:
      if (Restart(aTurn, aQuery)) {
        return false;
      }
      Park(aTurn,
           aQuery,
           aIndex,
           aObstacle == Obstacle::NoReplica ? MissingReason::NoReplica
                                            : MissingReason::VersionGone);
      return true;
    case Obstacle::Exhausted:
    case Obstacle::NoBudget:
    case Obstacle::None:
      break;
  }
  Park(aTurn, aQuery, aIndex, MissingReason::Failed);
  return true;
}

} // namespace

bool
WantsLog(Event aEvent)
{
  return LogEnabled(Describe(aEvent).mLevel);
}

void
LogTo(Turn& aTurn, Event aEvent, std::vector<LogField> aFields)
{
  aTurn.mActions.emplace_back(LogDecision{ aEvent, std::move(aFields) });
}

void
JudgeReplica(Turn& aTurn, Replica& aReplica, bool aSucceeded)
{
  RecordHealth(aReplica.mHealth, aSucceeded);
  ShardState* const shard = aReplica.mShard;
  if (shard == nullptr) {
    return;
  }
  const bool wasDead = shard->mFailuresInARow >= kFailuresOfDeadShard;
  shard->mFailuresInARow = aSucceeded ? 0 : shard->mFailuresInARow + 1;
  if (wasDead != (shard->mFailuresInARow >= kFailuresOfDeadShard)) {
    UpdateFull(aTurn.mEngine, *shard);
  }
  if (!aTurn.mEngine.mTuning.mEjection || aReplica.mHealth.mEjected) {
    return;
  }
  absl::InlinedVector<HealthView, 8> views;
  std::size_t self = 0;
  for (const Replica* const replica : shard->mReplicas) {
    if (replica == &aReplica) {
      self = views.size();
    }
    views.push_back({ &replica->mHealth, replica->mLatency.mMeanUs, replica->mLatency.mSamples });
  }
  if (!ShouldEject(views, self)) {
    return;
  }
  Eject(aReplica.mHealth, aTurn.mNow);
  ++aTurn.mEngine.mCounts.mEjections;
  if (WantsLog(Event::ReplicaEjected)) {
    LogTo(aTurn,
          Event::ReplicaEjected,
          { { "upstream", aReplica.mInfo.mId },
            { "error_rate", aReplica.mHealth.mErrorRate },
            { "mean_us", static_cast<std::int64_t>(aReplica.mLatency.mMeanUs) } });
  }
}

void
EndAttempt(Turn& aTurn, AttemptId aId, const Attempt& aAttempt)
{
  if (aAttempt.mHedgeAt) {
    aTurn.mEngine.mTimers.erase({ *aAttempt.mHedgeAt, TimerKind::Hedge, aId });
  }
  auto& attempts = aTurn.mEngine.mQueries.at(aAttempt.mQuery).mShards[aAttempt.mIndex].mAttempts;
  attempts.erase(std::find(attempts.begin(), attempts.end(), aId));
  ReleaseSlot(aTurn, aAttempt);
}

void
CancelAttempt(Turn& aTurn, AttemptId aAttempt)
{
  Engine& engine = aTurn.mEngine;
  const auto node = engine.mAttempts.extract(aAttempt);
  Attempt attempt = node.mapped();
  if (attempt.mHedgeAt) {
    engine.mTimers.erase({ *attempt.mHedgeAt, TimerKind::Hedge, aAttempt });
  }
  auto& attempts = engine.mQueries.at(attempt.mQuery).mShards[attempt.mIndex].mAttempts;
  attempts.erase(std::find(attempts.begin(), attempts.end(), aAttempt));
  Replica& replica = *attempt.mReplica;
  // The true latency is unknown but at least this long. Without this sample the quantile would
  // shrink with every hedge, and a straggler would look fast.
  const Duration ran = aTurn.mNow - attempt.mSentAt;
  if (replica.mShard != nullptr && replica.mShard->mKey == attempt.mShard) {
    const std::optional<Duration> slow = LatencyQuantile(replica.mShard->mLatency, kSlowQuantile);
    if (static_cast<double>(ran.count()) > replica.mLatency.mMeanUs) {
      RecordCancelledAttempt(replica.mLatency, ran, aTurn.mNow);
      RecordLatency(replica.mShard->mLatency, ran, aTurn.mNow);
    }
    if (slow && ran > *slow * kOverdueFactor) {
      JudgeReplica(aTurn, replica, false);
    }
  }
  // A request that must run at most once is left to finish, so that its outcome becomes known.
  if (attempt.mKey.empty()) {
    aTurn.mActions.emplace_back(CancelSub{ aAttempt, replica.mInfo.mAddress });
  }
  const TimePoint release =
    std::max(aTurn.mNow, std::min(attempt.mEndsBy, aTurn.mNow + kMaxCancelHold)) + kProbeInterval;
  attempt.mHedgeAt.reset();
  attempt.mEndsBy = release;
  engine.mTimers.insert({ release, TimerKind::ReleaseSlot, aAttempt });
  engine.mCancelled.emplace(aAttempt, std::move(attempt));
}

void
ReleaseCancelled(Turn& aTurn, AttemptId aAttempt)
{
  const auto node = aTurn.mEngine.mCancelled.extract(aAttempt);
  if (!node.empty()) {
    aTurn.mEngine.mTimers.erase({ node.mapped().mEndsBy, TimerKind::ReleaseSlot, aAttempt });
    ReleaseSlot(aTurn, node.mapped());
  }
}

void
ReleaseShard(Turn& aTurn, RunningQuery& aQuery, std::uint32_t aIndex)
{
  ShardRun& run = RunOf(aQuery, aIndex);
  const auto attempts = run.mAttempts;
  for (const AttemptId attempt : attempts) {
    CancelAttempt(aTurn, attempt);
  }
  if (run.mProgress == ShardProgress::Waiting) {
    StopWaiting(aTurn, aQuery, aIndex);
  }
  --run.mShard->mUsers;
}

bool
StartShard(Turn& aTurn, RunningQuery& aQuery, std::uint32_t aIndex)
{
  ShardRun& run = RunOf(aQuery, aIndex);
  if (run.mProgress == ShardProgress::Waiting) {
    StopWaiting(aTurn, aQuery, aIndex);
  }
  const Quarantine& quarantine = aTurn.mEngine.mQuarantine;
  const Permission permission =
    Permit(quarantine, aQuery.mFingerprint, aTurn.mEngine.mHost, aTurn.mNow);
  const Purpose purpose = PurposeOf(run);
  switch (CheckGate(aTurn, aQuery, run, permission)) {
    case Gate::Open:
      break;
    case Gate::TooLate:
      MarkMissing(aQuery, run, MissingReason::TimedOut);
      return true;
    case Gate::NoBudget:
      Park(aTurn, aQuery, aIndex, MissingReason::Failed);
      return true;
    case Gate::Busy:
      Park(aTurn, aQuery, aIndex, MissingReason::Quarantined);
      return true;
    case Gate::Stopped:
      run.mReason = MissingReason::Quarantined;
      FinishQuery(
        aTurn, aQuery, aQuery.mAttempts > 0 ? Result::StoppedByQuarantine : Result::Quarantined);
      return false;
  }
  const bool alone = permission == Permission::Alone;
  // A later round may ask every replica again, but new replicas come first.
  const bool newRound = run.mProgress == ShardProgress::Parked || purpose == Purpose::Repeat;
  Selection selection = SelectReplica(aTurn, aQuery, run, purpose, alone);
  if (selection.mObstacle == Obstacle::Exhausted && newRound) {
    run.mTried.clear();
    selection = SelectReplica(aTurn, aQuery, run, purpose, alone);
  }
  if (selection.mReplica == nullptr) {
    return HandleObstacle(aTurn, aQuery, aIndex, selection.mObstacle);
  }
  SendAttempt(aTurn, aQuery, aIndex, *selection.mReplica, purpose, alone);
  return true;
}

void
HedgeAttempt(Turn& aTurn, AttemptId aAttempt)
{
  Engine& engine = aTurn.mEngine;
  const auto found = engine.mAttempts.find(aAttempt);
  if (found == engine.mAttempts.end()) {
    return;
  }
  found->second.mHedgeAt.reset();
  const std::uint32_t index = found->second.mIndex;
  RunningQuery& query = engine.mQueries.at(found->second.mQuery);
  const ShardRun& run = RunOf(query, index);
  if (run.mAttempts.size() != 1 || !CanSpend(engine.mHedges) ||
      Permit(engine.mQuarantine, query.mFingerprint, engine.mHost, aTurn.mNow) !=
        Permission::Free) {
    return;
  }
  const Selection selection = SelectReplica(aTurn, query, run, Purpose::Hedge, false);
  if (selection.mReplica == nullptr) {
    return;
  }
  if (WantsLog(Event::SubrequestHedged)) {
    LogTo(aTurn,
          Event::SubrequestHedged,
          { { "request", query.mRequest.mRequestId },
            { "attempt", aAttempt },
            { "upstream", selection.mReplica->mInfo.mId },
            { "budget", engine.mHedges.mTokens } });
  }
  SendAttempt(aTurn, query, index, *selection.mReplica, Purpose::Hedge, false);
}

void
PumpShard(Turn& aTurn, ShardState& aShard)
{
  auto& waiting = aShard.mWaiting;
  int skipped = 0;
  for (auto next = waiting.begin(); next != waiting.end() && skipped < kMaxSkipped;) {
    const WaitKey key = *next;
    RunningQuery& query = aTurn.mEngine.mQueries.at(key.mQuery);
    if (StartShard(aTurn, query, key.mIndex)) {
      const bool waits = RunOf(query, key.mIndex).mProgress == ShardProgress::Waiting;
      if (waits && !HasFreeSlot(aShard)) {
        return;
      }
      skipped += waits ? 1 : 0;
      AnswerIfDone(aTurn, query);
    }
    next = waiting.upper_bound(key);
  }
}

void
Unpark(Turn& aTurn, ShardState& aShard, std::size_t aLimit)
{
  // Sub-requests that are parked again while this runs get their turn another time.
  for (std::size_t left = aShard.mParked.size(); left > 0 && aLimit > 0; --left) {
    const auto [id, index] = aShard.mParked.front();
    aShard.mParked.pop_front();
    const auto query = aTurn.mEngine.mQueries.find(id);
    if (query == aTurn.mEngine.mQueries.end() || index >= query->second.mShards.size()) {
      continue;
    }
    const ShardRun& run = query->second.mShards[index];
    if (run.mShard != &aShard || run.mProgress != ShardProgress::Parked) {
      continue;
    }
    --aLimit;
    if (StartShard(aTurn, query->second, index)) {
      AnswerIfDone(aTurn, query->second);
    }
  }
  if (!aShard.mParked.empty()) {
    ArmProbe(aTurn, aShard);
  }
}

void
StartQuery(Turn& aTurn, RunningQuery& aQuery, const SnapshotPlan& aPlan)
{
  aQuery.mSnapshot = aPlan.mSnapshot;
  aQuery.mNotAnnounced = aPlan.mNotAnnounced;
  aQuery.mItems.clear();
  aQuery.mAnswered = 0;
  aQuery.mShards.assign(aPlan.mShards.size(), {});
  aQuery.mOpenShards = static_cast<std::uint32_t>(aPlan.mShards.size());
  for (std::size_t i = 0; i < aPlan.mShards.size(); ++i) {
    aQuery.mShards[i].mShard = aPlan.mShards[i];
    ++aPlan.mShards[i]->mUsers;
  }
  for (std::uint32_t index = 0; index < aQuery.mShards.size(); ++index) {
    if (!StartShard(aTurn, aQuery, index)) {
      return;
    }
  }
  AnswerIfDone(aTurn, aQuery);
}

} // namespace apricotyard
