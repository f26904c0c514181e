#include "engine.h"

#include "attempts.h"
#include "upstreams.h"

#include <algorithm>

#include <fmt/format.h>

namespace apricotyard {

namespace {

// Deferred sub-requests of a shard that are retried after each successful reply, in addition to the
// periodic probes. The limit lets load return gradually after an outage.
constexpr std::size_t kDeferredPerSuccess = 2;
constexpr std::size_t kProbesPerInterval = 4;
constexpr double kMedianQuantile = 0.5;

void
Reject(CallContext& aContext,
       const QueryRequest& aRequest,
       Result aResult,
       Duration aRetryAfter = {})
{
  if (IsLogged(Event::QueryRefused)) {
    AddLog(aContext,
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
  aContext.mActions.emplace_back(Respond{ std::move(answer) });
}

// Rejects an accepted query that has not been dispatched.
void
RejectQueued(CallContext& aContext, RunningQuery& aQuery, Result aResult, Duration aRetryAfter = {})
{
  const QueryId id = aQuery.mRequest.mId;
  aContext.mEngine.mTimers.erase({ aQuery.mDeadline, TimerKind::Deadline, id });
  Reject(aContext, aQuery.mRequest, aResult, aRetryAfter);
  std::get<Respond>(aContext.mActions.back()).mAnswer.mElapsed = aContext.mNow - aQuery.mArrived;
  aContext.mEngine.mQueries.erase(id);
}

void
Dispatch(CallContext& aContext, RunningQuery& aQuery)
{
  Engine& engine = aContext.mEngine;
  const QueryId id = aQuery.mRequest.mId;
  aQuery.mQueued = false;
  aQuery.mDispatched = aContext.mNow;
  if (!aQuery.mKey.empty()) {
    aQuery.mClaiming = true;
    aContext.mActions.emplace_back(ClaimRequest{ id, aQuery.mKey, aQuery.mFingerprint });
    return;
  }
  const auto plan = PlanFor(engine, *aQuery.mCollection);
  if (aQuery.mClass.mCoverage == CoveragePolicy::Soon) {
    aQuery.mAnswerAfter = std::min(aQuery.mDeadline, aQuery.mArrived + aQuery.mClass.mAnswerAfter);
    engine.mTimers.insert({ *aQuery.mAnswerAfter, TimerKind::AnswerAfter, id });
  }
  if (IsLogged(Event::QueryDispatched)) {
    AddLog(aContext,
           Event::QueryDispatched,
           { { "request", aQuery.mRequest.mRequestId },
             { "collection", aQuery.mRequest.mCollection },
             { "class", aQuery.mClass.mName },
             { "version", plan->mSnapshot.mVersion },
             { "shards", plan->mShards.size() + plan->mNotAnnounced.size() },
             { "queued_us", (aContext.mNow - aQuery.mArrived).count() } });
  }
  StartQuery(aContext, aQuery, *plan);
}

// Dispatches queued queries of the collection while its shards have capacity. A query whose
// remaining time is at most the median latency is rejected instead, because it would probably miss
// its deadline and waste the slots.
void
DispatchQueued(CallContext& aContext, CollectionState& aState)
{
  while (aState.mQueue.mSize > 0) {
    const auto& anyClass = std::find_if(aState.mQueue.mClasses.begin(),
                                        aState.mQueue.mClasses.end(),
                                        [](const auto& aEntry) { return aEntry.second.mSize > 0; });
    const QueryId anyQuery = anyClass->second.mCallers.begin()->second.front();
    if (!HasCapacity(aContext.mEngine, *aContext.mEngine.mQueries.at(anyQuery).mCollection)) {
      return;
    }
    RunningQuery& query = aContext.mEngine.mQueries.at(*Dequeue(aState.mQueue, aContext.mNow));
    const auto median = LatencyQuantile(aState.mLatency, kMedianQuantile);
    if (query.mDeadline - aContext.mNow <= median.value_or(Duration::zero())) {
      RejectQueued(aContext, query, Result::ExpiredInQueue);
    } else {
      Dispatch(aContext, query);
    }
  }
}

void
ResumeQuery(CallContext& aContext, QueryId aQuery)
{
  const auto found = aContext.mEngine.mQueries.find(aQuery);
  if (found == aContext.mEngine.mQueries.end()) {
    return;
  }
  RunningQuery& query = found->second;
  for (std::uint32_t index = 0; index < query.mSubrequests.size(); ++index) {
    if (query.mSubrequests[index].mState == SubrequestState::Deferred &&
        !StartSubrequest(aContext, query, index)) {
      return;
    }
  }
  AnswerIfDone(aContext, query);
}

// Converts the recent connection losses of a crashed upstream into strikes and sends them to the
// other entry hosts.
void
ReportCrash(CallContext& aContext, const std::string& aUpstream)
{
  Engine& engine = aContext.mEngine;
  for (Strike& strike : ConfirmCrash(engine.mQuarantine, aUpstream, engine.mHost, aContext.mNow)) {
    AddLog(aContext,
           Event::UpstreamCrashed,
           { { "upstream", aUpstream },
             { "fingerprint", strike.mFingerprint },
             { "alone", strike.mAlone } });
    if (Permit(engine.mQuarantine, strike.mFingerprint, engine.mHost, aContext.mNow) ==
        Permission::Stopped) {
      AddLog(aContext, Event::RequestQuarantined, { { "fingerprint", strike.mFingerprint } });
    }
    aContext.mActions.emplace_back(ShareStrike{ std::move(strike) });
  }
}

// Does the part of SetUpstreams and SetShares that needs the time.
void
ApplyUpstreamChanges(CallContext& aContext)
{
  Engine& engine = aContext.mEngine;
  engine.mUpstreamsChanged = false;
  for (const std::string& upstream : std::exchange(engine.mRestartedUpstreams, {})) {
    ReportCrash(aContext, upstream);
  }
  for (auto& [id, replica] : engine.mReplicas) {
    if (std::exchange(replica->mSlowStartDue, false)) {
      BeginSlowStart(replica->mHealth, aContext.mNow);
    }
  }
  std::vector<std::uint64_t> deferred;
  for (const auto& [number, shard] : engine.mShardNumbers) {
    if (!shard->mDeferred.empty()) {
      deferred.push_back(number);
    }
  }
  for (const std::uint64_t number : deferred) {
    ShardState& shard = *engine.mShardNumbers.at(number);
    RetryDeferred(aContext, shard, shard.mDeferred.size());
  }
}

// Must be called first in every engine call that can emit actions.
CallContext
BeginCall(Engine& aEngine, TimePoint aNow, Rng& aRng, Actions& aActions)
{
  aEngine.mLastNow = std::max(aEngine.mLastNow, aNow);
  ExpireQuarantine(aEngine.mQuarantine, aNow);
  CallContext context{ aEngine, aNow, aRng, aActions };
  if (aEngine.mUpstreamsChanged) {
    ApplyUpstreamChanges(context);
  }
  return context;
}

// Must be called last in every engine call that can emit actions. Freed slots are given to waiting
// sub-requests first, then to queued queries.
void
FinishCall(CallContext& aContext)
{
  Engine& engine = aContext.mEngine;
  for (;;) {
    if (!engine.mDispatchPending.empty()) {
      ShardState* const shard = engine.mDispatchPending.back();
      engine.mDispatchPending.pop_back();
      shard->mDispatchScheduled = false;
      DispatchWaiting(aContext, *shard);
    } else if (!engine.mResumePending.empty()) {
      const QueryId query = engine.mResumePending.back();
      engine.mResumePending.pop_back();
      ResumeQuery(aContext, query);
    } else if (std::exchange(engine.mAdmissionPending, false)) {
      for (auto& [name, state] : engine.mCollections) {
        DispatchQueued(aContext, state);
      }
    } else {
      return;
    }
  }
}

struct PolicyLookup
{
  Result mResult = Result::Ok;
  const CollectionPolicy* mCollection = nullptr;
  const ClassPolicy* mClass = nullptr;
};

PolicyLookup
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
AddQuery(CallContext& aContext,
         QueryRequest aRequest,
         const PolicyLookup& aPolicies,
         std::string aKey)
{
  Engine& engine = aContext.mEngine;
  const QueryId id = aRequest.mId;
  RunningQuery& query = engine.mQueries[id];
  query.mClass = *aPolicies.mClass;
  query.mCollection = aPolicies.mCollection;
  query.mConfig = engine.mConfig;
  query.mMinCoverage = aRequest.mMinCoverage.value_or(query.mClass.mMinCoverage);
  query.mFingerprint = MakeFingerprint(aRequest.mCollection, aRequest.mQuery);
  query.mArrived = aContext.mNow;
  query.mDeadline =
    aContext.mNow + std::min(aRequest.mDeadline.value_or(Duration::max()), query.mClass.mDeadline);
  query.mBody = std::make_shared<const std::string>(aRequest.mQuery);
  query.mKey = std::move(aKey);
  query.mRequest = std::move(aRequest);
  engine.mTimers.insert({ query.mDeadline, TimerKind::Deadline, id });
  engine.mClassRetries.try_emplace(query.mClass.mName, MakeBucket(kClassRetryBurst));
  return query;
}

// Dispatches, queues or rejects the query.
void
Admit(CallContext& aContext, RunningQuery& aQuery)
{
  Engine& engine = aContext.mEngine;
  CollectionState& state = engine.mCollections[aQuery.mRequest.mCollection];
  if (!engine.mTuning.mAdmission ||
      (state.mQueue.mSize == 0 && HasCapacity(engine, *aQuery.mCollection))) {
    Dispatch(aContext, aQuery);
    return;
  }
  const EnqueueResult queued =
    Enqueue(state.mQueue, aQuery.mClass, aQuery.mRequest.mCaller, aQuery.mRequest.mId);
  if (queued.mOutcome == EnqueueOutcome::Refused) {
    RejectQueued(aContext, aQuery, Result::QueueFull, RetryAfter(state.mQueue));
    return;
  }
  aQuery.mQueued = true;
  if (queued.mOutcome == EnqueueOutcome::Displaced) {
    RejectQueued(
      aContext, engine.mQueries.at(queued.mDisplaced), Result::Displaced, RetryAfter(state.mQueue));
  }
}

// Runs the checks that do not depend on free slots. Returns null if the query was rejected.
RunningQuery*
Accept(CallContext& aContext, QueryRequest aRequest, std::string aKey)
{
  Engine& engine = aContext.mEngine;
  const PolicyLookup policies = FindPolicies(engine, aRequest);
  if (policies.mResult != Result::Ok) {
    Reject(aContext, aRequest, policies.mResult);
    return nullptr;
  }
  if (aKey.empty() && !policies.mClass->mRepeatable) {
    Reject(aContext, aRequest, Result::UseSubmit);
    return nullptr;
  }
  const Fingerprint fingerprint = MakeFingerprint(aRequest.mCollection, aRequest.mQuery);
  if (Permit(engine.mQuarantine, fingerprint, engine.mHost, aContext.mNow) == Permission::Stopped) {
    Reject(aContext, aRequest, Result::Quarantined);
    return nullptr;
  }
  if (!aKey.empty()) {
    const auto plan = PlanFor(engine, *policies.mCollection);
    if (plan->mShards.size() + plan->mNotAnnounced.size() != 1) {
      Reject(aContext, aRequest, Result::UnrepeatableNeedsOneShard);
      return nullptr;
    }
    if (plan->mShards.empty()) {
      Reject(aContext, aRequest, Result::NotRun);
      return nullptr;
    }
  }
  return &AddQuery(aContext, std::move(aRequest), policies, std::move(aKey));
}

// Builds an answer from the current state of the query, without the items.
Answer
MakeAnswer(const RunningQuery& aQuery, TimePoint aNow)
{
  Answer answer;
  answer.mQuery = aQuery.mRequest.mId;
  answer.mSnapshot = aQuery.mSnapshot;
  answer.mElapsed = aNow - aQuery.mArrived;
  answer.mAttempts = aQuery.mAttempts;
  answer.mExpected =
    static_cast<std::uint32_t>(aQuery.mSubrequests.size() + aQuery.mNotAnnounced.size());
  answer.mAnswered = aQuery.mAnswered;
  answer.mMissing = aQuery.mNotAnnounced;
  for (const Subrequest& subrequest : aQuery.mSubrequests) {
    const bool running = subrequest.mState == SubrequestState::Running ||
                         subrequest.mState == SubrequestState::Waiting;
    if (subrequest.mState != SubrequestState::Answered) {
      answer.mMissing.push_back(
        { subrequest.mShard->mKey, running ? MissingReason::TimedOut : subrequest.mReason });
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
  const bool running =
    std::any_of(aQuery.mSubrequests.begin(),
                aQuery.mSubrequests.end(),
                [](const Subrequest& aSubrequest) { return !aSubrequest.mAttempts.empty(); });
  return running || aQuery.mMayHaveRun ? Result::OutcomeUnknown : Result::NotRun;
}

std::string
OutcomeBody(const std::vector<std::string>& aItems)
{
  std::string body = fmt::format("{}", fmt::join(aItems, ","));
  return body.size() > kMaxOutcomeBody ? std::string() : body;
}

// Returns true if the reply is for the shard and version that were requested and may be merged.
bool
CheckIdentity(CallContext& aContext, const SubrequestReply& aReply, const Attempt& aAttempt)
{
  Engine& engine = aContext.mEngine;
  if (aReply.mShard == aAttempt.mShard && aReply.mVersion == aAttempt.mVersion) {
    return true;
  }
  ++engine.mDiscardedReplies;
  // The reply is from another version or map of the service, so this replica does not serve the
  // pinned snapshot.
  const bool otherSnapshot =
    aReply.mShard.mService == aAttempt.mShard.mService &&
    (aReply.mVersion != aAttempt.mVersion || aReply.mShard.mMap != aAttempt.mShard.mMap);
  if (otherSnapshot) {
    aAttempt.mReplica->mRejectedVersions.insert(aAttempt.mVersion);
    engine.mPlans.clear();
  }
  return false;
}

// Updates the state of the replica from a failed attempt: health, versions, draining, and possible
// crashes.
void
RecordFailure(CallContext& aContext, const SubrequestFailure& aFailure, const Attempt& aAttempt)
{
  Engine& engine = aContext.mEngine;
  Replica& replica = *aAttempt.mReplica;
  switch (aFailure.mKind) {
    case FailureKind::VersionGone:
      replica.mRejectedVersions.insert(aAttempt.mVersion);
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
      if (IsLogged(Event::ConnectionSilent)) {
        AddLog(aContext,
               Event::ConnectionSilent,
               { { "upstream", replica.mInfo.mId }, { "attempt", aFailure.mAttempt } });
      }
      return;
    case FailureKind::NotSent:
      return;
    case FailureKind::Lost:
      AddConnectionLoss(
        engine.mQuarantine,
        replica.mInfo.mId,
        { aAttempt.mFingerprint, aAttempt.mIncarnation, aAttempt.mAlone, aContext.mNow });
      break;
    case FailureKind::NotConnected:
      ReportCrash(aContext, replica.mInfo.mId);
      break;
    case FailureKind::Shed:
    case FailureKind::TimedOut:
    case FailureKind::BadReply:
    case FailureKind::ErrorStatus:
      break;
  }
  RecordReplicaOutcome(aContext, replica, false);
}

// Retries, defers or ends the sub-request after one of its attempts has failed and been removed.
void
AfterFailure(CallContext& aContext, const SubrequestFailure& aFailure, const Attempt& aAttempt)
{
  RunningQuery& query = aContext.mEngine.mQueries.at(aAttempt.mQuery);
  Subrequest& subrequest = query.mSubrequests[aAttempt.mIndex];
  if (IsLogged(Event::SubrequestFailed)) {
    AddLog(aContext,
           Event::SubrequestFailed,
           { { "request", query.mRequest.mRequestId },
             { "attempt", aFailure.mAttempt },
             { "upstream", aAttempt.mReplica->mInfo.mId },
             { "failure", FailureName(aFailure.mKind) },
             { "message", aFailure.mMessage } });
  }
  if (!query.mKey.empty() && MayHaveStarted(aFailure.mKind)) {
    query.mMayHaveRun = true;
    FinishQuery(aContext, query);
    return;
  }
  subrequest.mTriedReplicas.push_back(aAttempt.mReplica->mSerial);
  if (!subrequest.mAttempts.empty()) {
    return;
  }
  subrequest.mReconnect =
    aFailure.mKind == FailureKind::Silent && TrySpend(aContext.mEngine.mReconnects, aContext.mNow);
  if (StartSubrequest(aContext, query, aAttempt.mIndex)) {
    AnswerIfDone(aContext, query);
  }
}

void
FailAttempt(CallContext& aContext, const SubrequestFailure& aFailure, bool aRecord)
{
  Engine& engine = aContext.mEngine;
  if (engine.mCancelled.contains(aFailure.mAttempt)) {
    ReleaseCancelled(aContext, aFailure.mAttempt);
    return;
  }
  const auto node = engine.mAttempts.extract(aFailure.mAttempt);
  if (node.empty()) {
    return;
  }
  EndAttempt(aContext, aFailure.mAttempt, node.mapped());
  if (aRecord) {
    RecordFailure(aContext, aFailure, node.mapped());
  }
  AfterFailure(aContext, aFailure, node.mapped());
}

// Handles a reply to an attempt that was cancelled or is unknown. It is never merged, but for an
// unrepeatable request it makes the outcome known.
void
OnLateReply(CallContext& aContext, const SubrequestReply& aReply)
{
  Engine& engine = aContext.mEngine;
  ++engine.mDiscardedReplies;
  const auto found = engine.mCancelled.find(aReply.mAttempt);
  if (found == engine.mCancelled.end()) {
    return;
  }
  const Attempt& attempt = found->second;
  if (!attempt.mKey.empty() && aReply.mShard == attempt.mShard &&
      aReply.mVersion == attempt.mVersion) {
    aContext.mActions.emplace_back(
      RecordOutcome{ attempt.mKey, attempt.mFingerprint, Result::Ok, OutcomeBody(aReply.mItems) });
  }
  ReleaseCancelled(aContext, aReply.mAttempt);
}

void
RecordSuccess(CallContext& aContext, const Attempt& aAttempt)
{
  Engine& engine = aContext.mEngine;
  Replica& replica = *aAttempt.mReplica;
  const Duration latency = aContext.mNow - aAttempt.mSentAt;
  RecordReplicaLatency(replica.mLatency, latency, aContext.mNow);
  if (aAttempt.mIsFirst) {
    Earn(engine.mClassRetries.at(engine.mQueries.at(aAttempt.mQuery).mClass.mName), kRetryShare);
    Earn(replica.mRetries, kRetryShare);
  }
  ShardState* const shard = replica.mShard;
  if (shard != nullptr && shard->mKey == aAttempt.mShard) {
    RecordLatency(shard->mLatency, latency, aContext.mNow);
    if (aAttempt.mAlone) {
      std::vector<std::string> upstreams;
      for (const Replica* const other : shard->mReplicas) {
        upstreams.push_back(other->mInfo.mId);
      }
      ClearSuspicion(engine.mQuarantine, aAttempt.mFingerprint, upstreams);
    }
  }
  RecordReplicaOutcome(aContext, replica, true);
}

void
Merge(CallContext& aContext, SubrequestReply aReply, const Attempt& aAttempt)
{
  RunningQuery& query = aContext.mEngine.mQueries.at(aAttempt.mQuery);
  Subrequest& subrequest = query.mSubrequests[aAttempt.mIndex];
  const auto others = subrequest.mAttempts;
  for (const AttemptId other : others) {
    CancelAttempt(aContext, other);
  }
  subrequest.mState = SubrequestState::Answered;
  --query.mOpenSubrequests;
  ++query.mAnswered;
  std::move(aReply.mItems.begin(), aReply.mItems.end(), std::back_inserter(query.mItems));
  ShardState& shard = *subrequest.mShard;
  AnswerIfDone(aContext, query);
  if (!shard.mDeferred.empty()) {
    RetryDeferred(aContext, shard, kDeferredPerSuccess);
  }
}

void
OnDeadline(CallContext& aContext, QueryId aQuery)
{
  RunningQuery& query = aContext.mEngine.mQueries.at(aQuery);
  if (query.mQueued) {
    RemoveQueued(aContext.mEngine.mCollections[query.mRequest.mCollection].mQueue,
                 query.mClass.mName,
                 query.mRequest.mCaller,
                 aQuery);
    RejectQueued(aContext, query, Result::ExpiredInQueue);
  } else {
    FinishQuery(aContext, query);
  }
}

void
OnAnswerAfter(CallContext& aContext, QueryId aQuery)
{
  RunningQuery& query = aContext.mEngine.mQueries.at(aQuery);
  query.mAnswerAfter.reset();
  query.mAnswerAtMinimum = true;
  AnswerIfDone(aContext, query);
}

void
OnProbe(CallContext& aContext, std::uint64_t aShard)
{
  const auto found = aContext.mEngine.mShardNumbers.find(aShard);
  if (found != aContext.mEngine.mShardNumbers.end()) {
    found->second->mProbeScheduled = false;
    RetryDeferred(aContext, *found->second, kProbesPerInterval);
  }
}

void
RunTimer(CallContext& aContext, const Timer& aTimer)
{
  switch (aTimer.mKind) {
    case TimerKind::Deadline:
      OnDeadline(aContext, aTimer.mId);
      break;
    case TimerKind::AnswerAfter:
      OnAnswerAfter(aContext, aTimer.mId);
      break;
    case TimerKind::Hedge:
      HedgeAttempt(aContext, aTimer.mId);
      break;
    case TimerKind::ReleaseSlot:
      // The upstream answered neither the sub-request nor its cancellation.
      RecordReplicaOutcome(aContext, *aContext.mEngine.mCancelled.at(aTimer.mId).mReplica, false);
      ReleaseCancelled(aContext, aTimer.mId);
      break;
    case TimerKind::Probe:
      OnProbe(aContext, aTimer.mId);
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
FinishQuery(CallContext& aContext, RunningQuery& aQuery, std::optional<Result> aResult)
{
  Engine& engine = aContext.mEngine;
  const QueryId id = aQuery.mRequest.mId;
  Answer answer = MakeAnswer(aQuery, aContext.mNow);
  if (!aQuery.mKey.empty()) {
    answer.mResult = UnrepeatableResult(aQuery);
  }
  answer.mResult = aResult.value_or(answer.mResult);
  if (answer.mResult == Result::Ok || answer.mResult == Result::PartialAnswer) {
    answer.mItems = std::move(aQuery.mItems);
  }
  for (std::uint32_t index = 0; index < aQuery.mSubrequests.size(); ++index) {
    ReleaseSubrequest(aContext, aQuery, index);
  }
  if (!aQuery.mSubrequests.empty()) {
    RecordLatency(engine.mCollections[aQuery.mRequest.mCollection].mLatency,
                  aContext.mNow - aQuery.mDispatched,
                  aContext.mNow);
  }
  engine.mTimers.erase({ aQuery.mDeadline, TimerKind::Deadline, id });
  if (aQuery.mAnswerAfter) {
    engine.mTimers.erase({ *aQuery.mAnswerAfter, TimerKind::AnswerAfter, id });
  }
  // An outcome is recorded only if the claim was granted. If the grant arrives later, OnClaim
  // records the request as not run.
  if (aQuery.mClaimed) {
    aContext.mActions.emplace_back(RecordOutcome{
      aQuery.mKey, aQuery.mFingerprint, answer.mResult, OutcomeBody(answer.mItems) });
  }
  if (aQuery.mClaiming) {
    engine.mLateClaims[id] = { aQuery.mKey, aQuery.mFingerprint };
  }
  if (IsLogged(Event::QueryAnswered)) {
    AddLog(aContext,
           Event::QueryAnswered,
           { { "request", aQuery.mRequest.mRequestId },
             { "result", Describe(answer.mResult).mName },
             { "coverage", fmt::format("{:.4f}", answer.Coverage()) },
             { "elapsed_us", answer.mElapsed.count() },
             { "attempts", answer.mAttempts },
             { "restarts", aQuery.mRestarts } });
  }
  engine.mQueries.erase(id);
  aContext.mActions.emplace_back(Respond{ std::move(answer) });
}

bool
AnswerIfDone(CallContext& aContext, RunningQuery& aQuery)
{
  const std::size_t expected = aQuery.mSubrequests.size() + aQuery.mNotAnnounced.size();
  const bool enough =
    aQuery.mAnswerAtMinimum && expected > 0 &&
    static_cast<double>(aQuery.mAnswered) / static_cast<double>(expected) >= aQuery.mMinCoverage;
  if (aQuery.mOpenSubrequests == 0 || enough) {
    FinishQuery(aContext, aQuery);
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
  CallContext context = BeginCall(aEngine, aNow, aRng, aActions);
  if (RunningQuery* const query = Accept(context, std::move(aRequest), {})) {
    Admit(context, *query);
  }
  FinishCall(context);
}

void
SubmitUnrepeatable(Engine& aEngine,
                   UnrepeatableRequest aRequest,
                   TimePoint aNow,
                   Rng& aRng,
                   Actions& aActions)
{
  CallContext context = BeginCall(aEngine, aNow, aRng, aActions);
  if (aRequest.mKey.empty()) {
    Reject(context, aRequest.mQuery, Result::BadRequest);
  } else if (RunningQuery* const query =
               Accept(context, std::move(aRequest.mQuery), std::move(aRequest.mKey))) {
    Admit(context, *query);
  }
  FinishCall(context);
}

void
OnClaim(Engine& aEngine, ClaimReply aReply, TimePoint aNow, Rng& aRng, Actions& aActions)
{
  CallContext context = BeginCall(aEngine, aNow, aRng, aActions);
  const auto late = aEngine.mLateClaims.extract(aReply.mQuery);
  if (!late.empty()) {
    if (aReply.mState == ClaimState::Granted) {
      aActions.emplace_back(
        RecordOutcome{ late.mapped().first, late.mapped().second, Result::NotRun, {} });
    }
    FinishCall(context);
    return;
  }
  const auto found = aEngine.mQueries.find(aReply.mQuery);
  if (found == aEngine.mQueries.end() || !found->second.mClaiming) {
    return;
  }
  RunningQuery& query = found->second;
  query.mClaiming = false;
  if (IsLogged(Event::ClaimAnswered)) {
    AddLog(context,
           Event::ClaimAnswered,
           { { "request", query.mRequest.mRequestId },
             { "state", static_cast<int>(aReply.mState) },
             { "wait_us", (aNow - query.mDispatched).count() } });
  }
  switch (aReply.mState) {
    case ClaimState::Granted: {
      query.mClaimed = true;
      const auto plan = PlanFor(aEngine, *query.mCollection);
      // The partition may have changed since the request was accepted.
      if (plan->mShards.size() == 1 && plan->mNotAnnounced.empty()) {
        StartQuery(context, query, *plan);
      } else {
        FinishQuery(context, query, Result::NotRun);
      }
      break;
    }
    case ClaimState::Known:
      if (!aReply.mBody.empty()) {
        query.mItems.push_back(std::move(aReply.mBody));
      }
      FinishQuery(context, query, aReply.mResult);
      break;
    case ClaimState::OutcomeUnknown:
      FinishQuery(context, query, Result::OutcomeUnknown);
      break;
    case ClaimState::Refused:
      FinishQuery(context, query, aReply.mResult);
      break;
  }
  FinishCall(context);
}

void
OnSharedStrike(Engine& aEngine, const Strike& aStrike, TimePoint aNow)
{
  AddStrike(aEngine.mQuarantine, aStrike, aNow);
}

void
OnReply(Engine& aEngine, SubrequestReply aReply, TimePoint aNow, Rng& aRng, Actions& aActions)
{
  CallContext context = BeginCall(aEngine, aNow, aRng, aActions);
  const auto found = aEngine.mAttempts.find(aReply.mAttempt);
  if (found == aEngine.mAttempts.end()) {
    OnLateReply(context, aReply);
  } else if (!CheckIdentity(context, aReply, found->second)) {
    const bool record = !found->second.mReplica->mRejectedVersions.contains(found->second.mVersion);
    FailAttempt(
      context,
      { aReply.mAttempt, FailureKind::BadReply, "the reply is for another shard or version" },
      record);
  } else {
    const auto node = aEngine.mAttempts.extract(found);
    EndAttempt(context, aReply.mAttempt, node.mapped());
    RecordSuccess(context, node.mapped());
    Merge(context, std::move(aReply), node.mapped());
  }
  FinishCall(context);
}

void
OnFailure(Engine& aEngine,
          const SubrequestFailure& aFailure,
          TimePoint aNow,
          Rng& aRng,
          Actions& aActions)
{
  CallContext context = BeginCall(aEngine, aNow, aRng, aActions);
  FailAttempt(context, aFailure, true);
  FinishCall(context);
}

void
OnTimer(Engine& aEngine, TimePoint aNow, Rng& aRng, Actions& aActions)
{
  CallContext context = BeginCall(aEngine, aNow, aRng, aActions);
  while (!aEngine.mTimers.empty() && aEngine.mTimers.begin()->mWhen <= aNow) {
    const Timer timer = *aEngine.mTimers.begin();
    // ReleaseCancelled removes the timer that releases a slot.
    if (timer.mKind != TimerKind::ReleaseSlot) {
      aEngine.mTimers.erase(aEngine.mTimers.begin());
    }
    RunTimer(context, timer);
  }
  FinishCall(context);
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
