#include "attempts.h"

#include "snapshot.h"
#include "upstreams.h"

#include <algorithm>

#include <fmt/format.h>

namespace apricotyard {

namespace {

// Waiting sub-requests are ordered by dispatch time plus this time per urgency level; level 0 is
// the most urgent.
constexpr Duration kUrgencyStep = std::chrono::milliseconds(50);
// A cancelled attempt frees its slot after at most this time, even if the upstream never answers.
constexpr Duration kMaxCancelTime = std::chrono::seconds(1);
// Interval at which deferred sub-requests of a shard are retried if nothing else triggers a retry.
constexpr Duration kProbeInterval = std::chrono::milliseconds(25);
// Waiting sub-requests that a freed slot may skip because they cannot use its replica.
constexpr int kMaxSkipped = 16;
constexpr std::uint32_t kMaxRestarts = 2;
constexpr Duration kMinSilence = std::chrono::milliseconds(50);
constexpr int kSilenceFactor = 3;
// A cancelled attempt counts as a failure of its replica if it ran longer than this multiple of the
// 95th percentile.
constexpr int kSlowCancelFactor = 3;
constexpr Duration kReservationTime = std::chrono::milliseconds(200);
constexpr double kFastQuantile = 0.1;
constexpr double kSlowQuantile = 0.95;
constexpr double kSlowestQuantile = 0.99;

enum class AttemptKind : std::uint8_t
{
  First,
  Retry,
  Reconnect, // new connection after a silent one
  Hedge,
};

enum class SelectionStatus : std::uint8_t
{
  Selected,
  NoSlot,      // a usable replica exists but has no free slot
  NoBudget,    // the retry budget of every usable replica is spent
  Exhausted,   // every usable replica was already tried
  VersionGone, // replicas are ready, but none serves the pinned version
  NoReplica,   // no replica is ready
};

struct Selection
{
  SelectionStatus mStatus = SelectionStatus::NoReplica;
  Replica* mReplica = nullptr;
};

using Candidates = absl::InlinedVector<Candidate, 8>;

Subrequest&
SubrequestOf(RunningQuery& aQuery, std::uint32_t aIndex)
{
  return aQuery.mSubrequests[aIndex];
}

AttemptKind
NextAttemptKind(const Subrequest& aSubrequest)
{
  return aSubrequest.mReconnect ? AttemptKind::Reconnect
         : aSubrequest.mWasSent ? AttemptKind::Retry
                                : AttemptKind::First;
}

WaitKey
WaitKeyOf(const RunningQuery& aQuery, std::uint32_t aIndex)
{
  const auto delay = static_cast<std::int64_t>(aQuery.mClass.mUrgency) * kUrgencyStep;
  return { aQuery.mDispatched + delay, aQuery.mRequest.mId, aIndex };
}

bool
IsTried(const Subrequest& aSubrequest, const Replica& aReplica)
{
  return std::find(aSubrequest.mTriedReplicas.begin(),
                   aSubrequest.mTriedReplicas.end(),
                   aReplica.mSerial) != aSubrequest.mTriedReplicas.end();
}

bool
HasAttemptOn(const Engine& aEngine, const Subrequest& aSubrequest, const Replica& aReplica)
{
  return std::any_of(
    aSubrequest.mAttempts.begin(), aSubrequest.mAttempts.end(), [&](AttemptId aAttempt) {
      return aEngine.mAttempts.at(aAttempt).mReplica == &aReplica;
    });
}

// Returns how many attempts the replica may run now. A slow start reduces the number, unless all
// ready replicas of the shard are in a slow start and no other replica could serve.
std::uint32_t
AllowedSlots(const Replica& aReplica, bool aAllInSlowStart, TimePoint aNow)
{
  if (aAllInSlowStart || aReplica.mMaxInFlight == 0) {
    return aReplica.mMaxInFlight;
  }
  const double share = SlowStartShare(aReplica.mHealth, aNow) * aReplica.mMaxInFlight;
  return std::max(1U, static_cast<std::uint32_t>(share));
}

bool
AllInSlowStart(ShardState& aShard, TimePoint aNow)
{
  bool all = true;
  for (Replica* const replica : aShard.mReplicas) {
    RefreshHealth(replica->mHealth, aNow);
    all = all && (replica->mHealth.mSlowStart || replica->mInfo.mState != UpstreamState::Ready);
  }
  return all;
}

// Result of examining all replicas of a shard for one sub-request.
struct ReplicaScan
{
  bool mReady = false;
  bool mServesVersion = false;
  bool mUntried = false;
  bool mNoBudget = false;
  bool mNoSlot = false;
  bool mHealthy = false;
  Candidates mUsable;
  Candidates mEjected;
  Replica* mLeastLoaded = nullptr;
};

void
ScanReplica(CallContext& aContext,
            const RunningQuery& aQuery,
            const Subrequest& aSubrequest,
            std::size_t aIndex,
            AttemptKind aKind,
            bool aAlone,
            bool aAllInSlowStart,
            ReplicaScan& aScan)
{
  Replica& replica = *aSubrequest.mShard->mReplicas[aIndex];
  aScan.mReady = aScan.mReady || replica.mInfo.mState == UpstreamState::Ready;
  if (!ServesVersion(replica, aQuery.mSnapshot.mVersion)) {
    return;
  }
  aScan.mServesVersion = true;
  if (IsTried(aSubrequest, replica) || HasAttemptOn(aContext.mEngine, aSubrequest, replica)) {
    return;
  }
  aScan.mUntried = true;
  const bool ejected = replica.mHealth.mEjected;
  aScan.mHealthy = aScan.mHealthy || !ejected;
  if (aKind == AttemptKind::Retry && aContext.mEngine.mTuning.mRetryBudget &&
      !CanSpend(replica.mRetries)) {
    aScan.mNoBudget = true;
    return;
  }
  const bool reserved = !aAlone && replica.mReservedUntil > aContext.mNow;
  if (replica.mExclusive || reserved || (aAlone && replica.mInFlight > 0) ||
      replica.mInFlight >= AllowedSlots(replica, aAllInSlowStart, aContext.mNow)) {
    aScan.mNoSlot = true;
    if (aScan.mLeastLoaded == nullptr || replica.mInFlight < aScan.mLeastLoaded->mInFlight) {
      aScan.mLeastLoaded = &replica;
    }
    return;
  }
  const Candidate candidate{
    aIndex,
    replica.mInFlight,
    ExpectedLatencyUs(replica.mLatency, LatencyMeanUs(aSubrequest.mShard->mLatency), aContext.mNow),
    replica.mInfo.mDataCentre == aContext.mEngine.mDataCentre,
    replica.mHealth.mFailureRate,
    aAllInSlowStart ? 1.0 : SlowStartShare(replica.mHealth, aContext.mNow)
  };
  (ejected ? aScan.mEjected : aScan.mUsable).push_back(candidate);
}

// Chooses a replica for the next attempt, or reports why none can be used. Ejected replicas are
// chosen only if all untried replicas are ejected.
Selection
SelectReplica(CallContext& aContext,
              const RunningQuery& aQuery,
              const Subrequest& aSubrequest,
              AttemptKind aKind,
              bool aAlone)
{
  ShardState& shard = *aSubrequest.mShard;
  const bool allInSlowStart = AllInSlowStart(shard, aContext.mNow);
  ReplicaScan scan;
  for (std::size_t i = 0; i < shard.mReplicas.size(); ++i) {
    ScanReplica(aContext, aQuery, aSubrequest, i, aKind, aAlone, allInSlowStart, scan);
  }
  const Candidates& candidates = scan.mHealthy ? scan.mUsable : scan.mEjected;
  if (!candidates.empty()) {
    const Tuning& tuning = aContext.mEngine.mTuning;
    const std::size_t chosen = ChooseCandidate(
      candidates, tuning.mChoice, tuning.mRemoteLink, shard.mRoundRobinCounter, aContext.mRng);
    return { SelectionStatus::Selected, shard.mReplicas[candidates[chosen].mIndex] };
  }
  if (scan.mNoSlot) {
    if (aAlone && scan.mLeastLoaded != nullptr) {
      scan.mLeastLoaded->mReservedUntil = aContext.mNow + kReservationTime;
    }
    return { SelectionStatus::NoSlot, nullptr };
  }
  return { scan.mNoBudget        ? SelectionStatus::NoBudget
           : scan.mUntried       ? SelectionStatus::NoSlot
           : scan.mServesVersion ? SelectionStatus::Exhausted
           : scan.mReady         ? SelectionStatus::VersionGone
                                 : SelectionStatus::NoReplica,
           nullptr };
}

void
ReleaseSlot(CallContext& aContext, const Attempt& aAttempt)
{
  Replica& replica = *aAttempt.mReplica;
  --replica.mInFlight;
  if (aAttempt.mAlone) {
    replica.mExclusive = false;
    replica.mReservedUntil = {};
    EndSuspectRun(aContext.mEngine.mQuarantine, aAttempt.mFingerprint);
    aContext.mEngine.mResumePending.push_back(aAttempt.mQuery);
  }
  if (replica.mShard != nullptr) {
    --replica.mShard->mInFlight;
    UpdateFull(aContext.mEngine, *replica.mShard);
    if (!replica.mShard->mWaiting.empty()) {
      ScheduleDispatch(aContext.mEngine, *replica.mShard);
    }
  }
}

void
LogSent(CallContext& aContext, const RunningQuery& aQuery, AttemptId aId, const Attempt& aAttempt)
{
  if (!IsLogged(Event::SubrequestSent)) {
    return;
  }
  AddLog(aContext,
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

// Schedules the hedge of an attempt. Unrepeatable requests must run at most once, and suspect
// requests have one attempt at a time, so neither is hedged.
void
ScheduleHedge(CallContext& aContext, const RunningQuery& aQuery, AttemptId aId, Attempt& aAttempt)
{
  if (!aContext.mEngine.mTuning.mHedging || !aQuery.mKey.empty() || aAttempt.mAlone) {
    return;
  }
  const ShardState& shard = *aAttempt.mReplica->mShard;
  if (const auto delay = HedgeDelay(shard.mLatency, aQuery.mDeadline - aContext.mNow)) {
    aAttempt.mHedgeAt = aContext.mNow + *delay;
    aContext.mEngine.mTimers.insert({ *aAttempt.mHedgeAt, TimerKind::Hedge, aId });
  }
}

// Returns the time without a received byte after which a reused connection counts as silent; zero
// if the check does not apply.
Duration
SilenceTimeout(const ShardState& aShard, const SendSubrequest& aSend)
{
  const std::optional<Duration> slowest = LatencyQuantile(aShard.mLatency, kSlowestQuantile);
  if (!slowest || aSend.mFreshConnection) {
    return Duration::zero();
  }
  const Duration silence = std::max(kMinSilence, *slowest * kSilenceFactor);
  return silence < aSend.mTimeout ? silence : Duration::zero();
}

void
CountAttempt(Engine& aEngine, const RunningQuery& aQuery, Replica& aReplica, AttemptKind aKind)
{
  switch (aKind) {
    case AttemptKind::First:
      ++aEngine.mCounts.mFirstAttempts;
      Earn(aEngine.mHedges, aEngine.mTuning.mHedgeShare);
      break;
    case AttemptKind::Retry:
      ++aEngine.mCounts.mRetries;
      if (aEngine.mTuning.mRetryBudget) {
        Spend(aEngine.mClassRetries.at(aQuery.mClass.mName));
        Spend(aReplica.mRetries);
      }
      break;
    case AttemptKind::Reconnect:
      ++aEngine.mCounts.mRetries;
      break;
    case AttemptKind::Hedge:
      ++aEngine.mCounts.mHedges;
      Spend(aEngine.mHedges);
      break;
  }
}

void
SendAttempt(CallContext& aContext,
            RunningQuery& aQuery,
            std::uint32_t aIndex,
            Replica& aReplica,
            AttemptKind aKind,
            bool aAlone)
{
  Engine& engine = aContext.mEngine;
  Subrequest& subrequest = SubrequestOf(aQuery, aIndex);
  const AttemptId id = engine.mNextAttempt++;
  const Duration left = aQuery.mDeadline - aContext.mNow;
  CountAttempt(engine, aQuery, aReplica, aKind);
  ++aReplica.mInFlight;
  ++aReplica.mShard->mInFlight;
  Attempt attempt;
  attempt.mQuery = aQuery.mRequest.mId;
  attempt.mIndex = aIndex;
  attempt.mShard = subrequest.mShard->mKey;
  attempt.mReplica = &aReplica;
  attempt.mIncarnation = aReplica.mInfo.mIncarnation;
  attempt.mVersion = aQuery.mSnapshot.mVersion;
  attempt.mSentAt = aContext.mNow;
  attempt.mEndsBy = aQuery.mDeadline;
  attempt.mFingerprint = aQuery.mFingerprint;
  attempt.mIsFirst = aKind == AttemptKind::First;
  attempt.mAlone = aAlone;
  attempt.mKey = aQuery.mKey;
  if (aAlone) {
    aReplica.mExclusive = true;
    BeginSuspectRun(engine.mQuarantine, aQuery.mFingerprint);
  }
  if (aKind != AttemptKind::Hedge) {
    ScheduleHedge(aContext, aQuery, id, attempt);
  }
  SendSubrequest send{ id,
                       aQuery.mRequest.mId,
                       aReplica.mInfo.mId,
                       aReplica.mInfo.mAddress,
                       subrequest.mShard->mKey,
                       aQuery.mSnapshot.mVersion,
                       aQuery.mBody,
                       left };
  send.mFreshConnection = aKind == AttemptKind::Reconnect || !aQuery.mKey.empty();
  send.mSilence = SilenceTimeout(*subrequest.mShard, send);
  LogSent(aContext, aQuery, id, attempt);
  engine.mAttempts.emplace(id, std::move(attempt));
  subrequest.mAttempts.push_back(id);
  subrequest.mState = SubrequestState::Running;
  subrequest.mWasSent = true;
  subrequest.mReconnect = false;
  ++aQuery.mAttempts;
  aContext.mActions.emplace_back(std::move(send));
  UpdateFull(engine, *subrequest.mShard);
}

bool
HasFreeSlot(const ShardState& aShard)
{
  return std::any_of(aShard.mReplicas.begin(), aShard.mReplicas.end(), [](const Replica* aReplica) {
    return aReplica->mInfo.mState == UpstreamState::Ready &&
           aReplica->mInFlight < aReplica->mMaxInFlight;
  });
}

// Removes the sub-request from the wait queue of its shard.
void
StopWaiting(CallContext& aContext, const RunningQuery& aQuery, std::uint32_t aIndex)
{
  ShardState& shard = *aQuery.mSubrequests[aIndex].mShard;
  shard.mWaiting.erase(WaitKeyOf(aQuery, aIndex));
  UpdateFull(aContext.mEngine, shard);
}

void
ScheduleProbe(CallContext& aContext, ShardState& aShard)
{
  if (!aShard.mProbeScheduled) {
    aShard.mProbeScheduled = true;
    aContext.mEngine.mTimers.insert(
      { aContext.mNow + kProbeInterval, TimerKind::Probe, aShard.mNumber });
  }
}

void
Defer(CallContext& aContext, RunningQuery& aQuery, std::uint32_t aIndex, MissingReason aReason)
{
  Subrequest& subrequest = SubrequestOf(aQuery, aIndex);
  subrequest.mState = SubrequestState::Deferred;
  subrequest.mReason = aReason;
  subrequest.mShard->mDeferred.emplace_back(aQuery.mRequest.mId, aIndex);
  ScheduleProbe(aContext, *subrequest.mShard);
}

void
MarkMissing(RunningQuery& aQuery, Subrequest& aSubrequest, MissingReason aReason)
{
  aSubrequest.mState = SubrequestState::Missing;
  aSubrequest.mReason = aReason;
  --aQuery.mOpenSubrequests;
}

// Restarts the query on the current snapshot. Returns false without a restart if that is the pinned
// snapshot, if more services are missing from it, if the restart limit is reached, or if an attempt
// of an unrepeatable request may have run.
bool
Restart(CallContext& aContext, RunningQuery& aQuery)
{
  const auto plan = PlanFor(aContext.mEngine, *aQuery.mCollection);
  const bool same = plan->mSnapshot.mVersion == aQuery.mSnapshot.mVersion &&
                    plan->mSnapshot.mMaps == aQuery.mSnapshot.mMaps;
  const bool worse = plan->mNotAnnounced.size() > aQuery.mNotAnnounced.size();
  if (same || worse || aQuery.mRestarts >= kMaxRestarts || aQuery.mMayHaveRun) {
    return false;
  }
  if (IsLogged(Event::QueryRestarted)) {
    AddLog(aContext,
           Event::QueryRestarted,
           { { "request", aQuery.mRequest.mRequestId },
             { "from", aQuery.mSnapshot.mVersion },
             { "to", plan->mSnapshot.mVersion } });
  }
  for (std::uint32_t index = 0; index < aQuery.mSubrequests.size(); ++index) {
    ReleaseSubrequest(aContext, aQuery, index);
  }
  ++aQuery.mRestarts;
  ++aContext.mEngine.mCounts.mRestarts;
  StartQuery(aContext, aQuery, *plan);
  return true;
}

bool
ClassAllowsRetry(const CallContext& aContext, const RunningQuery& aQuery)
{
  return !aContext.mEngine.mTuning.mRetryBudget ||
         CanSpend(aContext.mEngine.mClassRetries.at(aQuery.mClass.mName));
}

// Result of the checks before a replica is chosen.
enum class AttemptCheck : std::uint8_t
{
  Allowed,
  TooLate,
  NoBudget,
  Busy,
  Stopped,
};

AttemptCheck
CheckAttempt(CallContext& aContext,
             const RunningQuery& aQuery,
             const Subrequest& aSubrequest,
             Permission aPermission)
{
  if (aPermission == Permission::Stopped) {
    return AttemptCheck::Stopped;
  }
  if (aPermission == Permission::Busy) {
    return AttemptCheck::Busy;
  }
  const Duration left = aQuery.mDeadline - aContext.mNow;
  const bool isRetry = aSubrequest.mWasSent;
  if (left <= Duration::zero() ||
      (isRetry && !RetryFits(left, LatencyQuantile(aSubrequest.mShard->mLatency, kFastQuantile)))) {
    return AttemptCheck::TooLate;
  }
  if (NextAttemptKind(aSubrequest) == AttemptKind::Retry && !ClassAllowsRetry(aContext, aQuery)) {
    return AttemptCheck::NoBudget;
  }
  return AttemptCheck::Allowed;
}

void
QueueForSlot(CallContext& aContext, RunningQuery& aQuery, std::uint32_t aIndex)
{
  Subrequest& subrequest = SubrequestOf(aQuery, aIndex);
  subrequest.mState = SubrequestState::Waiting;
  subrequest.mShard->mWaiting.insert(WaitKeyOf(aQuery, aIndex));
  UpdateFull(aContext.mEngine, *subrequest.mShard);
}

// Queues or defers a sub-request for which SelectReplica found no replica, or restarts the query.
// Returns false if the query was restarted.
bool
HandleNoSelection(CallContext& aContext,
                  RunningQuery& aQuery,
                  std::uint32_t aIndex,
                  SelectionStatus aStatus)
{
  switch (aStatus) {
    case SelectionStatus::NoSlot:
      QueueForSlot(aContext, aQuery, aIndex);
      return true;
    case SelectionStatus::VersionGone:
    case SelectionStatus::NoReplica:
      if (Restart(aContext, aQuery)) {
        return false;
      }
      Defer(aContext,
            aQuery,
            aIndex,
            aStatus == SelectionStatus::NoReplica ? MissingReason::NoReplica
                                                  : MissingReason::VersionGone);
      return true;
    case SelectionStatus::Exhausted:
    case SelectionStatus::NoBudget:
    case SelectionStatus::Selected:
      break;
  }
  Defer(aContext, aQuery, aIndex, MissingReason::Failed);
  return true;
}

} // namespace

bool
IsLogged(Event aEvent)
{
  return LogEnabled(Describe(aEvent).mLevel);
}

void
AddLog(CallContext& aContext, Event aEvent, std::vector<LogField> aFields)
{
  aContext.mActions.emplace_back(LogDecision{ aEvent, std::move(aFields) });
}

void
RecordReplicaOutcome(CallContext& aContext, Replica& aReplica, bool aSucceeded)
{
  RecordHealth(aReplica.mHealth, aSucceeded);
  ShardState* const shard = aReplica.mShard;
  if (shard == nullptr) {
    return;
  }
  const bool wasDown = shard->mConsecutiveFailures >= kFailuresUntilShardDown;
  shard->mConsecutiveFailures = aSucceeded ? 0 : shard->mConsecutiveFailures + 1;
  if (wasDown != (shard->mConsecutiveFailures >= kFailuresUntilShardDown)) {
    UpdateFull(aContext.mEngine, *shard);
  }
  if (!aContext.mEngine.mTuning.mEjection || aReplica.mHealth.mEjected) {
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
  Eject(aReplica.mHealth, aContext.mNow);
  ++aContext.mEngine.mCounts.mEjections;
  if (IsLogged(Event::ReplicaEjected)) {
    AddLog(aContext,
           Event::ReplicaEjected,
           { { "upstream", aReplica.mInfo.mId },
             { "error_rate", aReplica.mHealth.mFailureRate },
             { "mean_us", static_cast<std::int64_t>(aReplica.mLatency.mMeanUs) } });
  }
}

void
EndAttempt(CallContext& aContext, AttemptId aId, const Attempt& aAttempt)
{
  if (aAttempt.mHedgeAt) {
    aContext.mEngine.mTimers.erase({ *aAttempt.mHedgeAt, TimerKind::Hedge, aId });
  }
  auto& attempts =
    aContext.mEngine.mQueries.at(aAttempt.mQuery).mSubrequests[aAttempt.mIndex].mAttempts;
  attempts.erase(std::find(attempts.begin(), attempts.end(), aId));
  ReleaseSlot(aContext, aAttempt);
}

void
CancelAttempt(CallContext& aContext, AttemptId aAttempt)
{
  Engine& engine = aContext.mEngine;
  const auto node = engine.mAttempts.extract(aAttempt);
  Attempt attempt = node.mapped();
  if (attempt.mHedgeAt) {
    engine.mTimers.erase({ *attempt.mHedgeAt, TimerKind::Hedge, aAttempt });
  }
  auto& attempts = engine.mQueries.at(attempt.mQuery).mSubrequests[attempt.mIndex].mAttempts;
  attempts.erase(std::find(attempts.begin(), attempts.end(), aAttempt));
  Replica& replica = *attempt.mReplica;
  // The latency of a cancelled attempt is unknown, but at least the time it ran. Recording that
  // time keeps the quantile from shrinking with every hedge and a slow replica from looking fast.
  const Duration ran = aContext.mNow - attempt.mSentAt;
  if (replica.mShard != nullptr && replica.mShard->mKey == attempt.mShard) {
    const std::optional<Duration> slow = LatencyQuantile(replica.mShard->mLatency, kSlowQuantile);
    if (static_cast<double>(ran.count()) > replica.mLatency.mMeanUs) {
      RecordCancelledAttempt(replica.mLatency, ran, aContext.mNow);
      RecordLatency(replica.mShard->mLatency, ran, aContext.mNow);
    }
    if (slow && ran > *slow * kSlowCancelFactor) {
      RecordReplicaOutcome(aContext, replica, false);
    }
  }
  // An unrepeatable request is not cancelled at the upstream, so that its outcome becomes known.
  if (attempt.mKey.empty()) {
    aContext.mActions.emplace_back(CancelSubrequest{ aAttempt, replica.mInfo.mAddress });
  }
  const TimePoint release =
    std::max(aContext.mNow, std::min(attempt.mEndsBy, aContext.mNow + kMaxCancelTime)) +
    kProbeInterval;
  attempt.mHedgeAt.reset();
  attempt.mEndsBy = release;
  engine.mTimers.insert({ release, TimerKind::ReleaseSlot, aAttempt });
  engine.mCancelled.emplace(aAttempt, std::move(attempt));
}

void
ReleaseCancelled(CallContext& aContext, AttemptId aAttempt)
{
  const auto node = aContext.mEngine.mCancelled.extract(aAttempt);
  if (!node.empty()) {
    aContext.mEngine.mTimers.erase({ node.mapped().mEndsBy, TimerKind::ReleaseSlot, aAttempt });
    ReleaseSlot(aContext, node.mapped());
  }
}

void
ReleaseSubrequest(CallContext& aContext, RunningQuery& aQuery, std::uint32_t aIndex)
{
  Subrequest& subrequest = SubrequestOf(aQuery, aIndex);
  const auto attempts = subrequest.mAttempts;
  for (const AttemptId attempt : attempts) {
    CancelAttempt(aContext, attempt);
  }
  if (subrequest.mState == SubrequestState::Waiting) {
    StopWaiting(aContext, aQuery, aIndex);
  }
  --subrequest.mShard->mReferences;
}

bool
StartSubrequest(CallContext& aContext, RunningQuery& aQuery, std::uint32_t aIndex)
{
  Subrequest& subrequest = SubrequestOf(aQuery, aIndex);
  if (subrequest.mState == SubrequestState::Waiting) {
    StopWaiting(aContext, aQuery, aIndex);
  }
  const Quarantine& quarantine = aContext.mEngine.mQuarantine;
  const Permission permission =
    Permit(quarantine, aQuery.mFingerprint, aContext.mEngine.mHost, aContext.mNow);
  const AttemptKind kind = NextAttemptKind(subrequest);
  switch (CheckAttempt(aContext, aQuery, subrequest, permission)) {
    case AttemptCheck::Allowed:
      break;
    case AttemptCheck::TooLate:
      MarkMissing(aQuery, subrequest, MissingReason::TimedOut);
      return true;
    case AttemptCheck::NoBudget:
      Defer(aContext, aQuery, aIndex, MissingReason::Failed);
      return true;
    case AttemptCheck::Busy:
      Defer(aContext, aQuery, aIndex, MissingReason::Quarantined);
      return true;
    case AttemptCheck::Stopped:
      subrequest.mReason = MissingReason::Quarantined;
      FinishQuery(
        aContext, aQuery, aQuery.mAttempts > 0 ? Result::StoppedByQuarantine : Result::Quarantined);
      return false;
  }
  const bool alone = permission == Permission::Alone;
  // Once all replicas have been tried, a retry may use them again. Untried replicas are preferred.
  const bool newRound =
    subrequest.mState == SubrequestState::Deferred || kind == AttemptKind::Reconnect;
  Selection selection = SelectReplica(aContext, aQuery, subrequest, kind, alone);
  if (selection.mStatus == SelectionStatus::Exhausted && newRound) {
    subrequest.mTriedReplicas.clear();
    selection = SelectReplica(aContext, aQuery, subrequest, kind, alone);
  }
  if (selection.mReplica == nullptr) {
    return HandleNoSelection(aContext, aQuery, aIndex, selection.mStatus);
  }
  SendAttempt(aContext, aQuery, aIndex, *selection.mReplica, kind, alone);
  return true;
}

void
HedgeAttempt(CallContext& aContext, AttemptId aAttempt)
{
  Engine& engine = aContext.mEngine;
  const auto found = engine.mAttempts.find(aAttempt);
  if (found == engine.mAttempts.end()) {
    return;
  }
  found->second.mHedgeAt.reset();
  const std::uint32_t index = found->second.mIndex;
  RunningQuery& query = engine.mQueries.at(found->second.mQuery);
  const Subrequest& subrequest = SubrequestOf(query, index);
  if (subrequest.mAttempts.size() != 1 || !CanSpend(engine.mHedges) ||
      Permit(engine.mQuarantine, query.mFingerprint, engine.mHost, aContext.mNow) !=
        Permission::Unrestricted) {
    return;
  }
  const Selection selection = SelectReplica(aContext, query, subrequest, AttemptKind::Hedge, false);
  if (selection.mReplica == nullptr) {
    return;
  }
  if (IsLogged(Event::SubrequestHedged)) {
    AddLog(aContext,
           Event::SubrequestHedged,
           { { "request", query.mRequest.mRequestId },
             { "attempt", aAttempt },
             { "upstream", selection.mReplica->mInfo.mId },
             { "budget", engine.mHedges.mTokens } });
  }
  SendAttempt(aContext, query, index, *selection.mReplica, AttemptKind::Hedge, false);
}

void
DispatchWaiting(CallContext& aContext, ShardState& aShard)
{
  auto& waiting = aShard.mWaiting;
  int skipped = 0;
  for (auto next = waiting.begin(); next != waiting.end() && skipped < kMaxSkipped;) {
    const WaitKey key = *next;
    RunningQuery& query = aContext.mEngine.mQueries.at(key.mQuery);
    if (StartSubrequest(aContext, query, key.mIndex)) {
      const bool waits = SubrequestOf(query, key.mIndex).mState == SubrequestState::Waiting;
      if (waits && !HasFreeSlot(aShard)) {
        return;
      }
      skipped += waits ? 1 : 0;
      AnswerIfDone(aContext, query);
    }
    next = waiting.upper_bound(key);
  }
}

void
RetryDeferred(CallContext& aContext, ShardState& aShard, std::size_t aLimit)
{
  // The number of entries is fixed up front, so that sub-requests that are deferred again are not
  // retried in this call.
  for (std::size_t left = aShard.mDeferred.size(); left > 0 && aLimit > 0; --left) {
    const auto [id, index] = aShard.mDeferred.front();
    aShard.mDeferred.pop_front();
    const auto query = aContext.mEngine.mQueries.find(id);
    if (query == aContext.mEngine.mQueries.end() || index >= query->second.mSubrequests.size()) {
      continue;
    }
    const Subrequest& subrequest = query->second.mSubrequests[index];
    if (subrequest.mShard != &aShard || subrequest.mState != SubrequestState::Deferred) {
      continue;
    }
    --aLimit;
    if (StartSubrequest(aContext, query->second, index)) {
      AnswerIfDone(aContext, query->second);
    }
  }
  if (!aShard.mDeferred.empty()) {
    ScheduleProbe(aContext, aShard);
  }
}

void
StartQuery(CallContext& aContext, RunningQuery& aQuery, const SnapshotPlan& aPlan)
{
  aQuery.mSnapshot = aPlan.mSnapshot;
  aQuery.mNotAnnounced = aPlan.mNotAnnounced;
  aQuery.mItems.clear();
  aQuery.mAnswered = 0;
  aQuery.mSubrequests.assign(aPlan.mShards.size(), {});
  aQuery.mOpenSubrequests = static_cast<std::uint32_t>(aPlan.mShards.size());
  for (std::size_t i = 0; i < aPlan.mShards.size(); ++i) {
    aQuery.mSubrequests[i].mShard = aPlan.mShards[i];
    ++aPlan.mShards[i]->mReferences;
  }
  for (std::uint32_t index = 0; index < aQuery.mSubrequests.size(); ++index) {
    if (!StartSubrequest(aContext, aQuery, index)) {
      return;
    }
  }
  AnswerIfDone(aContext, aQuery);
}

} // namespace apricotyard
