#include "engine.h"

#include "attempts.h"
#include "upstreams.h"

#include <algorithm>

#include <fmt/format.h>

namespace apricotyard {

namespace {

// Sub-requests of a shard that one success releases, besides the probes: load returns gradually.
constexpr std::size_t kUnparkedPerSuccess = 2;
constexpr std::size_t kProbesPerInterval = 4;
constexpr double kTypicalQuantile = 0.5;

void
Refuse(Turn& aTurn, const QueryRequest& aRequest, Result aResult, Duration aRetryAfter = {})
{
  if (WantsLog(Event::QueryRefused)) {
    LogTo(aTurn,
          Event::QueryRefused,
          { { "request", aRequest.mRequestId },
            { "result", Describe(aResult).mName },
            { "collection", aRequest.mCollection },
            { "caller", aRequest.mCaller } });
  }
  Answer answer;
  answer.mQuery = aRequest.mId;
  answer.mResult = aResult;
  answer.mRetryAfter = aRetryAfter;
  aTurn.mActions.emplace_back(Respond{ std::move(answer) });
}

// Ends a query that was never dispatched.
void
RefuseQueued(Turn& aTurn, RunningQuery& aQuery, Result aResult, Duration aRetryAfter = {})
{
  const QueryId id = aQuery.mRequest.mId;
  aTurn.mEngine.mTimers.erase({ aQuery.mDeadline, TimerKind::Deadline, id });
  Refuse(aTurn, aQuery.mRequest, aResult, aRetryAfter);
  std::get<Respond>(aTurn.mActions.back()).mAnswer.mElapsed = aTurn.mNow - aQuery.mArrived;
  aTurn.mEngine.mQueries.erase(id);
}

void
Dispatch(Turn& aTurn, RunningQuery& aQuery)
{
  Engine& engine = aTurn.mEngine;
  const QueryId id = aQuery.mRequest.mId;
  aQuery.mQueued = false;
  aQuery.mDispatched = aTurn.mNow;
  if (!aQuery.mKey.empty()) {
    aQuery.mClaiming = true;
    aTurn.mActions.emplace_back(ClaimRequest{ id, aQuery.mKey, aQuery.mFingerprint });
    return;
  }
  const auto plan = PlanFor(engine, *aQuery.mCollection);
  if (aQuery.mClass.mCoverage == CoveragePolicy::Soon) {
    aQuery.mAnswerAfter = std::min(aQuery.mDeadline, aQuery.mArrived + aQuery.mClass.mAnswerAfter);
    engine.mTimers.insert({ *aQuery.mAnswerAfter, TimerKind::AnswerAfter, id });
  }
  if (WantsLog(Event::QueryDispatched)) {
    LogTo(aTurn,
          Event::QueryDispatched,
          { { "request", aQuery.mRequest.mRequestId },
            { "collection", aQuery.mRequest.mCollection },
            { "class", aQuery.mClass.mName },
            { "version", plan->mSnapshot.mVersion },
            { "shards", plan->mShards.size() + plan->mNotAnnounced.size() },
            { "queued_us", (aTurn.mNow - aQuery.mArrived).count() } });
  }
  StartQuery(aTurn, aQuery, *plan);
}

// Dispatches queued queries of the collection while there is room. A query that would very likely
// end after its deadline is not worth the slots.
void
AdmitQueued(Turn& aTurn, CollectionState& aState)
{
  while (aState.mQueue.mSize > 0) {
    const auto& anyClass = std::find_if(aState.mQueue.mClasses.begin(),
                                        aState.mQueue.mClasses.end(),
                                        [](const auto& aEntry) { return aEntry.second.mSize > 0; });
    const QueryId sample = anyClass->second.mCallers.begin()->second.front();
    if (!HasRoom(aTurn.mEngine, *aTurn.mEngine.mQueries.at(sample).mCollection)) {
      return;
    }
    RunningQuery& query = aTurn.mEngine.mQueries.at(*Dequeue(aState.mQueue, aTurn.mNow));
    const auto typical = LatencyQuantile(aState.mLatency, kTypicalQuantile);
    if (query.mDeadline - aTurn.mNow <= typical.value_or(Duration::zero())) {
      RefuseQueued(aTurn, query, Result::ExpiredInQueue);
    } else {
      Dispatch(aTurn, query);
    }
  }
}

void
Resume(Turn& aTurn, QueryId aQuery)
{
  const auto found = aTurn.mEngine.mQueries.find(aQuery);
  if (found == aTurn.mEngine.mQueries.end()) {
    return;
  }
  RunningQuery& query = found->second;
  for (std::uint32_t index = 0; index < query.mShards.size(); ++index) {
    if (query.mShards[index].mProgress == ShardProgress::Parked &&
        !StartShard(aTurn, query, index)) {
      return;
    }
  }
  AnswerIfDone(aTurn, query);
}

// Shares the strikes that the death of a process gives.
void
ReportDeath(Turn& aTurn, const std::string& aUpstream)
{
  Engine& engine = aTurn.mEngine;
  for (Strike& strike : ConfirmDeath(engine.mQuarantine, aUpstream, engine.mHost, aTurn.mNow)) {
    LogTo(aTurn,
          Event::UpstreamCrashed,
          { { "upstream", aUpstream },
            { "fingerprint", strike.mFingerprint },
            { "alone", strike.mAlone } });
    if (Permit(engine.mQuarantine, strike.mFingerprint, engine.mHost, aTurn.mNow) ==
        Permission::Stopped) {
      LogTo(aTurn, Event::RequestQuarantined, { { "fingerprint", strike.mFingerprint } });
    }
    aTurn.mActions.emplace_back(ShareStrike{ std::move(strike) });
  }
}

// What SetUpstreams left to do, because it does not know the time.
void
ApplyUpstreamChanges(Turn& aTurn)
{
  Engine& engine = aTurn.mEngine;
  engine.mUpstreamsChanged = false;
  for (const std::string& upstream : std::exchange(engine.mRestartedUpstreams, {})) {
    ReportDeath(aTurn, upstream);
  }
  for (auto& [id, replica] : engine.mReplicas) {
    if (std::exchange(replica->mStartsCold, false)) {
      BeginSlowStart(replica->mHealth, aTurn.mNow);
    }
  }
  std::vector<std::uint64_t> parked;
  for (const auto& [number, shard] : engine.mShardNumbers) {
    if (!shard->mParked.empty()) {
      parked.push_back(number);
    }
  }
  for (const std::uint64_t number : parked) {
    ShardState& shard = *engine.mShardNumbers.at(number);
    Unpark(aTurn, shard, shard.mParked.size());
  }
}

// Called first in every input that receives the time.
Turn
Begin(Engine& aEngine, TimePoint aNow, Rng& aRng, Actions& aActions)
{
  aEngine.mLastNow = std::max(aEngine.mLastNow, aNow);
  ExpireQuarantine(aEngine.mQuarantine, aNow);
  Turn turn{ aEngine, aNow, aRng, aActions };
  if (aEngine.mUpstreamsChanged) {
    ApplyUpstreamChanges(turn);
  }
  return turn;
}

// Called last in every input that receives the time: freed slots go to waiting sub-requests first,
// then to queued queries.
void
Settle(Turn& aTurn)
{
  Engine& engine = aTurn.mEngine;
  for (;;) {
    if (!engine.mToPump.empty()) {
      ShardState* const shard = engine.mToPump.back();
      engine.mToPump.pop_back();
      shard->mPumpQueued = false;
      PumpShard(aTurn, *shard);
    } else if (!engine.mToResume.empty()) {
      const QueryId query = engine.mToResume.back();
      engine.mToResume.pop_back();
      Resume(aTurn, query);
    } else if (std::exchange(engine.mAdmissionDue, false)) {
      for (auto& [name, state] : engine.mCollections) {
        AdmitQueued(aTurn, state);
      }
    } else {
      return;
    }
  }
}

struct Lookup
{
  Result mResult = Result::Ok;
  const CollectionPolicy* mCollection = nullptr;
  const ClassPolicy* mClass = nullptr;
};

Lookup
FindPolicies(const Engine& aEngine, const QueryRequest& aRequest)
{
  if (aEngine.mConfig == nullptr) {
    return { Result::NoConfiguration };
  }
  const auto collection = aEngine.mConfig->mCollections.find(aRequest.mCollection);
  if (collection == aEngine.mConfig->mCollections.end()) {
    return { Result::UnknownCollection };
  }
  const auto policy = aEngine.mConfig->mClasses.find(
    aRequest.mClass.empty() ? collection->second.mDefaultClass : aRequest.mClass);
  if (policy == aEngine.mConfig->mClasses.end()) {
    return { Result::UnknownClass };
  }
  return { Result::Ok, &collection->second, &policy->second };
}

RunningQuery&
AddQuery(Turn& aTurn, QueryRequest aRequest, const Lookup& aLookup, std::string aKey)
{
  Engine& engine = aTurn.mEngine;
  const QueryId id = aRequest.mId;
  RunningQuery& query = engine.mQueries[id];
  query.mClass = *aLookup.mClass;
  query.mCollection = aLookup.mCollection;
  query.mConfig = engine.mConfig;
  query.mMinCoverage = aRequest.mMinCoverage.value_or(query.mClass.mMinCoverage);
  query.mFingerprint = MakeFingerprint(aRequest.mCollection, aRequest.mQuery);
  query.mArrived = aTurn.mNow;
  query.mDeadline =
    aTurn.mNow + std::min(aRequest.mDeadline.value_or(Duration::max()), query.mClass.mDeadline);
  query.mBody = std::make_shared<const std::string>(aRequest.mQuery);
  query.mKey = std::move(aKey);
  query.mRequest = std::move(aRequest);
  engine.mTimers.insert({ query.mDeadline, TimerKind::Deadline, id });
  engine.mClassRetries.try_emplace(query.mClass.mName, MakeBucket(kClassRetryBurst));
  return query;
}

// Dispatches the query, queues it, or refuses it.
void
Admit(Turn& aTurn, RunningQuery& aQuery)
{
  Engine& engine = aTurn.mEngine;
  CollectionState& state = engine.mCollections[aQuery.mRequest.mCollection];
  if (!engine.mTuning.mAdmission ||
      (state.mQueue.mSize == 0 && HasRoom(engine, *aQuery.mCollection))) {
    Dispatch(aTurn, aQuery);
    return;
  }
  const EnqueueResult queued =
    Enqueue(state.mQueue, aQuery.mClass, aQuery.mRequest.mCaller, aQuery.mRequest.mId);
  if (queued.mOutcome == EnqueueOutcome::Refused) {
    RefuseQueued(aTurn, aQuery, Result::QueueFull, RetryAfter(state.mQueue));
    return;
  }
  aQuery.mQueued = true;
  if (queued.mOutcome == EnqueueOutcome::Displaced) {
    RefuseQueued(
      aTurn, engine.mQueries.at(queued.mDisplaced), Result::Displaced, RetryAfter(state.mQueue));
  }
}

// Checks what needs no slots. Returns null after refusing.
RunningQuery*
Accept(Turn& aTurn, QueryRequest aRequest, std::string aKey)
{
  Engine& engine = aTurn.mEngine;
  const Lookup lookup = FindPolicies(engine, aRequest);
  if (lookup.mResult != Result::Ok) {
    Refuse(aTurn, aRequest, lookup.mResult);
    return nullptr;
  }
  if (aKey.empty() && !lookup.mClass->mRepeatable) {
    Refuse(aTurn, aRequest, Result::UseSubmit);
    return nullptr;
  }
  const Fingerprint fingerprint = MakeFingerprint(aRequest.mCollection, aRequest.mQuery);
  if (Permit(engine.mQuarantine, fingerprint, engine.mHost, aTurn.mNow) == Permission::Stopped) {
    Refuse(aTurn, aRequest, Result::Quarantined);
    return nullptr;
  }
  if (!aKey.empty()) {
    const auto plan = PlanFor(engine, *lookup.mCollection);
    if (plan->mShards.size() + plan->mNotAnnounced.size() != 1) {
      Refuse(aTurn, aRequest, Result::UnrepeatableNeedsOneShard);
      return nullptr;
    }
    if (plan->mShards.empty()) {
      Refuse(aTurn, aRequest, Result::NotRun);
      return nullptr;
    }
  }
  return &AddQuery(aTurn, std::move(aRequest), lookup, std::move(aKey));
}

// The result and coverage of a running query as it stands.
Answer
MakeAnswer(const RunningQuery& aQuery, TimePoint aNow)
{
  Answer answer;
  answer.mQuery = aQuery.mRequest.mId;
  answer.mSnapshot = aQuery.mSnapshot;
  answer.mElapsed = aNow - aQuery.mArrived;
  answer.mAttempts = aQuery.mAttempts;
  answer.mExpected =
    static_cast<std::uint32_t>(aQuery.mShards.size() + aQuery.mNotAnnounced.size());
  answer.mAnswered = aQuery.mAnswered;
  answer.mMissing = aQuery.mNotAnnounced;
  for (const ShardRun& run : aQuery.mShards) {
    const bool running =
      run.mProgress == ShardProgress::Running || run.mProgress == ShardProgress::Waiting;
    if (run.mProgress != ShardProgress::Answered) {
      answer.mMissing.push_back(
        { run.mShard->mKey, running ? MissingReason::TimedOut : run.mReason });
    }
  }
  answer.mResult = answer.mMissing.empty()                    ? Result::Ok
                   : answer.Coverage() >= aQuery.mMinCoverage ? Result::PartialAnswer
                                                              : Result::CoverageBelowMinimum;
  return answer;
}

Result
UnrepeatableResult(const RunningQuery& aQuery)
{
  if (aQuery.mAnswered > 0) {
    return Result::Ok;
  }
  const bool running = std::any_of(aQuery.mShards.begin(),
                                   aQuery.mShards.end(),
                                   [](const ShardRun& aRun) { return !aRun.mAttempts.empty(); });
  return running || aQuery.mMayHaveRun ? Result::OutcomeUnknown : Result::NotRun;
}

std::string
OutcomeBody(const std::vector<std::string>& aItems)
{
  std::string body = fmt::format("{}", fmt::join(aItems, ","));
  return body.size() > kMaxOutcomeBody ? std::string() : body;
}

// A wrong identity means the attempt failed. Returns true if the reply may be merged.
bool
CheckIdentity(Turn& aTurn, const SubReply& aReply, const Attempt& aAttempt)
{
  Engine& engine = aTurn.mEngine;
  if (aReply.mShard == aAttempt.mShard && aReply.mVersion == aAttempt.mVersion) {
    return true;
  }
  ++engine.mDiscardedReplies;
  // Another version or map of the same shard: this replica does not serve the pinned snapshot.
  const bool otherSnapshot =
    aReply.mShard.mService == aAttempt.mShard.mService &&
    (aReply.mVersion != aAttempt.mVersion || aReply.mShard.mMap != aAttempt.mShard.mMap);
  if (otherSnapshot) {
    aAttempt.mReplica->mGone.insert(aAttempt.mVersion);
    engine.mPlans.clear();
  }
  return false;
}

// What a failure says about the replica and its process.
void
LearnFromFailure(Turn& aTurn, const SubFailure& aFailure, const Attempt& aAttempt)
{
  Engine& engine = aTurn.mEngine;
  Replica& replica = *aAttempt.mReplica;
  switch (aFailure.mKind) {
    case FailureKind::VersionGone:
      replica.mGone.insert(aAttempt.mVersion);
      engine.mPlans.clear();
      return;
    case FailureKind::Draining:
      replica.mInfo.mState = UpstreamState::Draining;
      engine.mPlans.clear();
      if (replica.mShard != nullptr) {
        UpdateSlots(engine, *replica.mShard);
      }
      return;
    case FailureKind::Silent:
      ++engine.mCounts.mSilentConnections;
      if (WantsLog(Event::ConnectionSilent)) {
        LogTo(aTurn,
              Event::ConnectionSilent,
              { { "upstream", replica.mInfo.mId }, { "attempt", aFailure.mAttempt } });
      }
      return;
    case FailureKind::NotSent:
      return;
    case FailureKind::Lost:
      AddLoss(engine.mQuarantine,
              replica.mInfo.mId,
              { aAttempt.mFingerprint, aAttempt.mIncarnation, aAttempt.mAlone, aTurn.mNow });
      break;
    case FailureKind::NotConnected:
      ReportDeath(aTurn, replica.mInfo.mId);
      break;
    case FailureKind::Shed:
    case FailureKind::TimedOut:
    case FailureKind::BadReply:
    case FailureKind::ErrorStatus:
      break;
  }
  JudgeReplica(aTurn, replica, false);
}

// Decides what follows the failure of an attempt that was ended.
void
AfterFailure(Turn& aTurn, const SubFailure& aFailure, const Attempt& aAttempt)
{
  RunningQuery& query = aTurn.mEngine.mQueries.at(aAttempt.mQuery);
  ShardRun& run = query.mShards[aAttempt.mIndex];
  if (WantsLog(Event::SubrequestFailed)) {
    LogTo(aTurn,
          Event::SubrequestFailed,
          { { "request", query.mRequest.mRequestId },
            { "attempt", aFailure.mAttempt },
            { "upstream", aAttempt.mReplica->mInfo.mId },
            { "failure", FailureName(aFailure.mKind) },
            { "message", aFailure.mMessage } });
  }
  if (!query.mKey.empty() && MayHaveStarted(aFailure.mKind)) {
    query.mMayHaveRun = true;
    FinishQuery(aTurn, query);
    return;
  }
  run.mTried.push_back(aAttempt.mReplica->mSerial);
  if (!run.mAttempts.empty()) {
    return;
  }
  run.mFresh =
    aFailure.mKind == FailureKind::Silent && TrySpend(aTurn.mEngine.mConnects, aTurn.mNow);
  if (StartShard(aTurn, query, aAttempt.mIndex)) {
    AnswerIfDone(aTurn, query);
  }
}

void
FailAttempt(Turn& aTurn, const SubFailure& aFailure, bool aLearn)
{
  Engine& engine = aTurn.mEngine;
  if (engine.mCancelled.contains(aFailure.mAttempt)) {
    ReleaseCancelled(aTurn, aFailure.mAttempt);
    return;
  }
  const auto node = engine.mAttempts.extract(aFailure.mAttempt);
  if (node.empty()) {
    return;
  }
  EndAttempt(aTurn, aFailure.mAttempt, node.mapped());
  if (aLearn) {
    LearnFromFailure(aTurn, aFailure, node.mapped());
  }
  AfterFailure(aTurn, aFailure, node.mapped());
}

// A reply to an attempt that was cancelled or came too late. It is never merged, but the outcome of
// an unrepeatable request is now known.
void
OnLateReply(Turn& aTurn, const SubReply& aReply)
{
  Engine& engine = aTurn.mEngine;
  ++engine.mDiscardedReplies;
  const auto found = engine.mCancelled.find(aReply.mAttempt);
  if (found == engine.mCancelled.end()) {
    return;
  }
  const Attempt& attempt = found->second;
  if (!attempt.mKey.empty() && aReply.mShard == attempt.mShard &&
      aReply.mVersion == attempt.mVersion) {
    aTurn.mActions.emplace_back(
      RecordOutcome{ attempt.mKey, attempt.mFingerprint, Result::Ok, OutcomeBody(aReply.mItems) });
  }
  ReleaseCancelled(aTurn, aReply.mAttempt);
}

void
RecordSuccess(Turn& aTurn, const Attempt& aAttempt)
{
  Engine& engine = aTurn.mEngine;
  Replica& replica = *aAttempt.mReplica;
  const Duration latency = aTurn.mNow - aAttempt.mSentAt;
  RecordReplicaLatency(replica.mLatency, latency, aTurn.mNow);
  if (aAttempt.mIsFirst) {
    Earn(engine.mClassRetries.at(engine.mQueries.at(aAttempt.mQuery).mClass.mName), kRetryShare);
    Earn(replica.mRetries, kRetryShare);
  }
  ShardState* const shard = replica.mShard;
  if (shard != nullptr && shard->mKey == aAttempt.mShard) {
    RecordLatency(shard->mLatency, latency, aTurn.mNow);
    if (aAttempt.mAlone) {
      std::vector<std::string> upstreams;
      for (const Replica* const one : shard->mReplicas) {
        upstreams.push_back(one->mInfo.mId);
      }
      ClearSuspicion(engine.mQuarantine, aAttempt.mFingerprint, upstreams);
    }
  }
  JudgeReplica(aTurn, replica, true);
}

void
Merge(Turn& aTurn, SubReply aReply, const Attempt& aAttempt)
{
  RunningQuery& query = aTurn.mEngine.mQueries.at(aAttempt.mQuery);
  ShardRun& run = query.mShards[aAttempt.mIndex];
  const auto others = run.mAttempts;
  for (const AttemptId other : others) {
    CancelAttempt(aTurn, other);
  }
  run.mProgress = ShardProgress::Answered;
  --query.mOpenShards;
  ++query.mAnswered;
  std::move(aReply.mItems.begin(), aReply.mItems.end(), std::back_inserter(query.mItems));
  ShardState& shard = *run.mShard;
  AnswerIfDone(aTurn, query);
  if (!shard.mParked.empty()) {
    Unpark(aTurn, shard, kUnparkedPerSuccess);
  }
}

void
OnDeadline(Turn& aTurn, QueryId aQuery)
{
  RunningQuery& query = aTurn.mEngine.mQueries.at(aQuery);
  if (query.mQueued) {
    RemoveQueued(aTurn.mEngine.mCollections[query.mRequest.mCollection].mQueue,
                 query.mClass.mName,
                 query.mRequest.mCaller,
                 aQuery);
    RefuseQueued(aTurn, query, Result::ExpiredInQueue);
  } else {
    FinishQuery(aTurn, query);
  }
}

void
OnAnswerAfter(Turn& aTurn, QueryId aQuery)
{
  RunningQuery& query = aTurn.mEngine.mQueries.at(aQuery);
  query.mAnswerAfter.reset();
  query.mAnswerAtMinimum = true;
  AnswerIfDone(aTurn, query);
}

void
OnProbe(Turn& aTurn, std::uint64_t aShard)
{
  const auto found = aTurn.mEngine.mShardNumbers.find(aShard);
  if (found != aTurn.mEngine.mShardNumbers.end()) {
    found->second->mProbeArmed = false;
    Unpark(aTurn, *found->second, kProbesPerInterval);
  }
}

void
RunTimer(Turn& aTurn, const Timer& aTimer)
{
  switch (aTimer.mKind) {
    case TimerKind::Deadline:
      OnDeadline(aTurn, aTimer.mId);
      break;
    case TimerKind::AnswerAfter:
      OnAnswerAfter(aTurn, aTimer.mId);
      break;
    case TimerKind::Hedge:
      HedgeAttempt(aTurn, aTimer.mId);
      break;
    case TimerKind::ReleaseSlot:
      // The upstream did not even answer the cancellation.
      JudgeReplica(aTurn, *aTurn.mEngine.mCancelled.at(aTimer.mId).mReplica, false);
      ReleaseCancelled(aTurn, aTimer.mId);
      break;
    case TimerKind::Probe:
      OnProbe(aTurn, aTimer.mId);
      break;
  }
}

} // namespace

double
Answer::Coverage() const
{
  return mExpected == 0 ? 0.0 : static_cast<double>(mAnswered) / mExpected;
}

bool
MayHaveStarted(FailureKind aKind)
{
  switch (aKind) {
    case FailureKind::NotConnected:
    case FailureKind::NotSent:
    case FailureKind::Shed:
    case FailureKind::VersionGone:
    case FailureKind::Draining:
      return false;
    case FailureKind::Lost:
    case FailureKind::TimedOut:
    case FailureKind::BadReply:
    case FailureKind::ErrorStatus:
    case FailureKind::Silent:
      return true;
  }
  return true;
}

std::string_view
FailureName(FailureKind aKind)
{
  constexpr std::string_view kNames[] = { "not_connected", "not_sent", "shed",      "version_gone",
                                          "draining",      "lost",     "timed_out", "bad_reply",
                                          "error_status",  "silent" };
  return kNames[static_cast<std::size_t>(aKind)];
}

std::string_view
MissingReasonName(MissingReason aReason)
{
  constexpr std::string_view kNames[] = { "not_announced", "no_replica", "version_gone",
                                          "failed",        "timed_out",  "quarantined" };
  return kNames[static_cast<std::size_t>(aReason)];
}

void
FinishQuery(Turn& aTurn, RunningQuery& aQuery, std::optional<Result> aResult)
{
  Engine& engine = aTurn.mEngine;
  const QueryId id = aQuery.mRequest.mId;
  Answer answer = MakeAnswer(aQuery, aTurn.mNow);
  if (!aQuery.mKey.empty()) {
    answer.mResult = UnrepeatableResult(aQuery);
  }
  answer.mResult = aResult.value_or(answer.mResult);
  if (answer.mResult == Result::Ok || answer.mResult == Result::PartialAnswer) {
    answer.mItems = std::move(aQuery.mItems);
  }
  for (std::uint32_t index = 0; index < aQuery.mShards.size(); ++index) {
    ReleaseShard(aTurn, aQuery, index);
  }
  if (!aQuery.mShards.empty()) {
    RecordLatency(engine.mCollections[aQuery.mRequest.mCollection].mLatency,
                  aTurn.mNow - aQuery.mDispatched,
                  aTurn.mNow);
  }
  engine.mTimers.erase({ aQuery.mDeadline, TimerKind::Deadline, id });
  if (aQuery.mAnswerAfter) {
    engine.mTimers.erase({ *aQuery.mAnswerAfter, TimerKind::AnswerAfter, id });
  }
  // Without a grant there is nothing to record; a grant that is still on its way is recorded as
  // not run when it arrives.
  if (aQuery.mClaimed) {
    aTurn.mActions.emplace_back(RecordOutcome{
      aQuery.mKey, aQuery.mFingerprint, answer.mResult, OutcomeBody(answer.mItems) });
  }
  if (aQuery.mClaiming) {
    engine.mLateClaims[id] = { aQuery.mKey, aQuery.mFingerprint };
  }
  if (WantsLog(Event::QueryAnswered)) {
    LogTo(aTurn,
          Event::QueryAnswered,
          { { "request", aQuery.mRequest.mRequestId },
            { "result", Describe(answer.mResult).mName },
            { "coverage", fmt::format("{:.4f}", answer.Coverage()) },
            { "elapsed_us", answer.mElapsed.count() },
            { "attempts", answer.mAttempts },
            { "restarts", aQuery.mRestarts } });
  }
  engine.mQueries.erase(id);
  aTurn.mActions.emplace_back(Respond{ std::move(answer) });
}

bool
AnswerIfDone(Turn& aTurn, RunningQuery& aQuery)
{
  const std::size_t expected = aQuery.mShards.size() + aQuery.mNotAnnounced.size();
  const bool enough =
    aQuery.mAnswerAtMinimum && expected > 0 &&
    static_cast<double>(aQuery.mAnswered) / static_cast<double>(expected) >= aQuery.mMinCoverage;
  if (aQuery.mOpenShards == 0 || enough) {
    FinishQuery(aTurn, aQuery);
    return false;
  }
  return true;
}

void
SetConfig(Engine& aEngine, std::shared_ptr<const Config> aConfig)
{
  aEngine.mConfig = std::move(aConfig);
  aEngine.mPlans.clear();
}

void
SubmitQuery(Engine& aEngine, QueryRequest aRequest, TimePoint aNow, Rng& aRng, Actions& aActions)
{
  Turn turn = Begin(aEngine, aNow, aRng, aActions);
  if (RunningQuery* const query = Accept(turn, std::move(aRequest), {})) {
    Admit(turn, *query);
  }
  Settle(turn);
}

void
SubmitUnrepeatable(Engine& aEngine,
                   UnrepeatableRequest aRequest,
                   TimePoint aNow,
                   Rng& aRng,
                   Actions& aActions)
{
  Turn turn = Begin(aEngine, aNow, aRng, aActions);
  if (aRequest.mKey.empty()) {
    Refuse(turn, aRequest.mQuery, Result::BadRequest);
  } else if (RunningQuery* const query =
               Accept(turn, std::move(aRequest.mQuery), std::move(aRequest.mKey))) {
    Admit(turn, *query);
  }
  Settle(turn);
}

void
OnClaim(Engine& aEngine, ClaimReply aReply, TimePoint aNow, Rng& aRng, Actions& aActions)
{
  Turn turn = Begin(aEngine, aNow, aRng, aActions);
  const auto late = aEngine.mLateClaims.extract(aReply.mQuery);
  if (!late.empty()) {
    if (aReply.mState == ClaimState::Granted) {
      aActions.emplace_back(
        RecordOutcome{ late.mapped().first, late.mapped().second, Result::NotRun, {} });
    }
    Settle(turn);
    return;
  }
  const auto found = aEngine.mQueries.find(aReply.mQuery);
  if (found == aEngine.mQueries.end() || !found->second.mClaiming) {
    return;
  }
  RunningQuery& query = found->second;
  query.mClaiming = false;
  if (WantsLog(Event::ClaimAnswered)) {
    LogTo(turn,
          Event::ClaimAnswered,
          { { "request", query.mRequest.mRequestId },
            { "state", static_cast<int>(aReply.mState) },
            { "wait_us", (aNow - query.mDispatched).count() } });
  }
  switch (aReply.mState) {
    case ClaimState::Granted: {
      query.mClaimed = true;
      const auto plan = PlanFor(aEngine, *query.mCollection);
      // The shards may have changed since the request was accepted.
      if (plan->mShards.size() == 1 && plan->mNotAnnounced.empty()) {
        StartQuery(turn, query, *plan);
      } else {
        FinishQuery(turn, query, Result::NotRun);
      }
      break;
    }
    case ClaimState::Known:
      if (!aReply.mBody.empty()) {
        query.mItems.push_back(std::move(aReply.mBody));
      }
      FinishQuery(turn, query, aReply.mResult);
      break;
    case ClaimState::OutcomeUnknown:
      FinishQuery(turn, query, Result::OutcomeUnknown);
      break;
    case ClaimState::Refused:
      FinishQuery(turn, query, aReply.mResult);
      break;
  }
  Settle(turn);
}

void
OnSharedStrike(Engine& aEngine, const Strike& aStrike, TimePoint aNow)
{
  AddStrike(aEngine.mQuarantine, aStrike, aNow);
}

void
OnReply(Engine& aEngine, SubReply aReply, TimePoint aNow, Rng& aRng, Actions& aActions)
{
  Turn turn = Begin(aEngine, aNow, aRng, aActions);
  const auto found = aEngine.mAttempts.find(aReply.mAttempt);
  if (found == aEngine.mAttempts.end()) {
    OnLateReply(turn, aReply);
  } else if (!CheckIdentity(turn, aReply, found->second)) {
    const bool learn = !found->second.mReplica->mGone.contains(found->second.mVersion);
    FailAttempt(
      turn, { aReply.mAttempt, FailureKind::BadReply, "the reply has the wrong identity" }, learn);
  } else {
    const auto node = aEngine.mAttempts.extract(found);
    EndAttempt(turn, aReply.mAttempt, node.mapped());
    RecordSuccess(turn, node.mapped());
    Merge(turn, std::move(aReply), node.mapped());
  }
  Settle(turn);
}

void
OnFailure(Engine& aEngine, const SubFailure& aFailure, TimePoint aNow, Rng& aRng, Actions& aActions)
{
  Turn turn = Begin(aEngine, aNow, aRng, aActions);
  FailAttempt(turn, aFailure, true);
  Settle(turn);
}

void
OnTimer(Engine& aEngine, TimePoint aNow, Rng& aRng, Actions& aActions)
{
  Turn turn = Begin(aEngine, aNow, aRng, aActions);
  while (!aEngine.mTimers.empty() && aEngine.mTimers.begin()->mWhen <= aNow) {
    const Timer timer = *aEngine.mTimers.begin();
    if (timer.mKind != TimerKind::ReleaseSlot) {
      aEngine.mTimers.erase(aEngine.mTimers.begin());
    }
    RunTimer(turn, timer);
  }
  Settle(turn);
}

std::optional<TimePoint>
NextTimer(const Engine& aEngine)
{
  if (aEngine.mUpstreamsChanged) {
    return aEngine.mLastNow;
  }
  if (aEngine.mTimers.empty()) {
    return std::nullopt;
  }
  return aEngine.mTimers.begin()->mWhen;
}

} // namespace apricotyard
