#include "engine.h"

#include "snapshot.h"

#include <algorithm>

#include <fmt/format.h>

namespace apricotyard {

namespace {

void
AnswerQuery(Engine& aEngine, QueryId aQuery, TimePoint aNow, Actions& aActions)
{
  const auto node = aEngine.mQueries.extract(aQuery);
  const RunningQuery& query = node.mapped();
  aEngine.mDeadlines.erase({ query.mDeadline, aQuery });
  Answer answer;
  answer.mQuery = aQuery;
  answer.mSnapshot = query.mSnapshot;
  answer.mElapsed = aNow - query.mArrived;
  answer.mAttempts = query.mAttempts;
  answer.mItems = query.mItems;
  for (const auto& [key, shard] : query.mShards) {
    ++answer.mExpected;
    if (shard.mProgress == ShardProgress::Answered) {
      ++answer.mAnswered;
    } else {
      answer.mMissing.push_back({ key, shard.mReason });
    }
  }
  if (answer.mMissing.empty()) {
    answer.mResult = Result::Ok;
  } else if (answer.Coverage() >= query.mMinCoverage) {
    answer.mResult = Result::PartialAnswer;
  } else {
    answer.mResult = Result::CoverageBelowMinimum;
    answer.mItems.clear();
  }
  aActions.emplace_back(LogDecision{ Event::QueryAnswered,
                                     { { "request", query.mRequest.mRequestId },
                                       { "result", std::string(Describe(answer.mResult).mName) },
                                       { "coverage", fmt::format("{:.4f}", answer.Coverage()) },
                                       { "elapsed_us", fmt::to_string(answer.mElapsed.count()) },
                                       { "attempts", fmt::to_string(answer.mAttempts) } } });
  aActions.emplace_back(Respond{ std::move(answer) });
}

// Cancels the attempts that still run for a query that is about to be answered.
void
CancelAttempts(Engine& aEngine, QueryId aQuery, Actions& aActions)
{
  for (auto attempt = aEngine.mAttempts.begin(); attempt != aEngine.mAttempts.end();) {
    if (attempt->second.mQuery != aQuery) {
      ++attempt;
      continue;
    }
    const auto replica = aEngine.mReplicas.find(attempt->second.mUpstream);
    if (replica != aEngine.mReplicas.end()) {
      --replica->second.mInFlight;
      aActions.emplace_back(CancelSub{ attempt->first, replica->second.mInfo.mAddress });
    }
    aEngine.mAttempts.erase(attempt++);
  }
}

bool
IsUsable(const Replica& aReplica, const RunningQuery& aQuery, const ShardRun& aRun)
{
  const std::vector<IndexVersion>& versions = aReplica.mInfo.mVersions;
  return aReplica.mInfo.mState == UpstreamState::Ready &&
         !aRun.mTried.contains(aReplica.mInfo.mId) &&
         std::find(versions.begin(), versions.end(), aQuery.mSnapshot.mVersion) != versions.end();
}

Replica*
ChooseReplica(Engine& aEngine, const ShardKey& aShard, const RunningQuery& aQuery, Rng& aRng)
{
  const auto found = aEngine.mShardReplicas.find(aShard);
  if (found == aEngine.mShardReplicas.end()) {
    return nullptr;
  }
  const ShardRun& run = aQuery.mShards.at(aShard);
  Replica* best = nullptr;
  std::uint32_t equals = 0;
  for (const std::string& id : found->second) {
    Replica& replica = aEngine.mReplicas.at(id);
    if (!IsUsable(replica, aQuery, run)) {
      continue;
    }
    if (best == nullptr || replica.mInFlight < best->mInFlight) {
      best = &replica;
      equals = 1;
    } else if (replica.mInFlight == best->mInFlight && aRng() % ++equals == 0) {
      best = &replica;
    }
  }
  return best;
}

void
MarkMissing(RunningQuery& aQuery, ShardRun& aRun, MissingReason aReason)
{
  aRun.mProgress = ShardProgress::Missing;
  aRun.mReason = aReason;
  --aQuery.mOpenShards;
}

void
SendShard(Engine& aEngine,
          RunningQuery& aQuery,
          const ShardKey& aShard,
          MissingReason aReasonIfNone,
          TimePoint aNow,
          Rng& aRng,
          Actions& aActions)
{
  ShardRun& run = aQuery.mShards.at(aShard);
  Replica* const replica = ChooseReplica(aEngine, aShard, aQuery, aRng);
  if (replica == nullptr) {
    MarkMissing(aQuery, run, aReasonIfNone);
    return;
  }
  const AttemptId attempt = aEngine.mNextAttempt++;
  run.mTried.insert(replica->mInfo.mId);
  ++replica->mInFlight;
  ++aQuery.mAttempts;
  aEngine.mAttempts[attempt] = { aQuery.mRequest.mId, aShard, replica->mInfo.mId, aNow };
  aActions.emplace_back(LogDecision{ Event::SubrequestSent,
                                     { { "request", aQuery.mRequest.mRequestId },
                                       { "attempt", fmt::to_string(attempt) },
                                       { "service", aShard.mService },
                                       { "shard", fmt::to_string(aShard.mShard) },
                                       { "upstream", replica->mInfo.mId },
                                       { "in_flight", fmt::to_string(replica->mInFlight) } } });
  aActions.emplace_back(SendSub{ attempt,
                                 aQuery.mRequest.mId,
                                 replica->mInfo.mId,
                                 replica->mInfo.mAddress,
                                 aShard,
                                 aQuery.mSnapshot.mVersion,
                                 aQuery.mBody,
                                 aQuery.mDeadline - aNow });
}

void
Refuse(const QueryRequest& aRequest, Result aResult, Actions& aActions)
{
  Answer answer;
  answer.mQuery = aRequest.mId;
  answer.mResult = aResult;
  aActions.emplace_back(Respond{ std::move(answer) });
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
      return true;
  }
  return true;
}

std::string_view
FailureName(FailureKind aKind)
{
  constexpr std::string_view kNames[] = { "not_connected", "not_sent",  "shed",
                                          "version_gone",  "draining",  "lost",
                                          "timed_out",     "bad_reply", "error_status" };
  return kNames[static_cast<std::size_t>(aKind)];
}

std::string_view
MissingReasonName(MissingReason aReason)
{
  constexpr std::string_view kNames[] = {
    "not_announced", "no_replica", "version_gone", "failed", "timed_out"
  };
  return kNames[static_cast<std::size_t>(aReason)];
}

void
SetConfig(Engine& aEngine, std::shared_ptr<const Config> aConfig)
{
  aEngine.mConfig = std::move(aConfig);
}

void
SetUpstreams(Engine& aEngine, const std::vector<UpstreamInfo>& aUpstreams)
{
  std::map<std::string, Replica> replicas;
  aEngine.mShardReplicas.clear();
  for (const UpstreamInfo& info : aUpstreams) {
    Replica replica{ info, 0 };
    const auto known = aEngine.mReplicas.find(info.mId);
    if (known != aEngine.mReplicas.end()) {
      replica.mInFlight = known->second.mInFlight;
    }
    aEngine.mShardReplicas[{ info.mService, info.mMap, info.mShard }].push_back(info.mId);
    replicas.emplace(info.mId, std::move(replica));
  }
  aEngine.mReplicas = std::move(replicas);
}

void
SubmitQuery(Engine& aEngine, QueryRequest aRequest, TimePoint aNow, Rng& aRng, Actions& aActions)
{
  if (aEngine.mConfig == nullptr) {
    Refuse(aRequest, Result::NoConfiguration, aActions);
    return;
  }
  const auto collection = aEngine.mConfig->mCollections.find(aRequest.mCollection);
  if (collection == aEngine.mConfig->mCollections.end()) {
    Refuse(aRequest, Result::UnknownCollection, aActions);
    return;
  }
  const std::string className =
    aRequest.mClass.empty() ? collection->second.mDefaultClass : aRequest.mClass;
  const auto policy = aEngine.mConfig->mClasses.find(className);
  if (policy == aEngine.mConfig->mClasses.end()) {
    Refuse(aRequest, Result::UnknownClass, aActions);
    return;
  }
  const SnapshotChoice choice = ChooseSnapshot(aEngine, collection->second);
  const QueryId id = aRequest.mId;
  RunningQuery& query = aEngine.mQueries[id];
  query.mClass = policy->second;
  query.mMinCoverage = aRequest.mMinCoverage.value_or(policy->second.mMinCoverage);
  query.mArrived = aNow;
  query.mDeadline =
    aNow + std::min(aRequest.mDeadline.value_or(Duration::max()), policy->second.mDeadline);
  query.mSnapshot = choice.mSnapshot;
  query.mBody = std::make_shared<const std::string>(aRequest.mQuery);
  query.mRequest = std::move(aRequest);
  for (const ShardKey& shard : choice.mExpected) {
    query.mShards[shard];
  }
  query.mOpenShards = static_cast<std::uint32_t>(query.mShards.size());
  for (const MissingShard& missing : choice.mMissing) {
    MarkMissing(query, query.mShards.at(missing.mShard), missing.mReason);
  }
  aEngine.mDeadlines.emplace(query.mDeadline, id);
  aActions.emplace_back(LogDecision{ Event::QueryDispatched,
                                     { { "request", query.mRequest.mRequestId },
                                       { "collection", query.mRequest.mCollection },
                                       { "class", query.mClass.mName },
                                       { "version", fmt::to_string(query.mSnapshot.mVersion) },
                                       { "shards", fmt::to_string(query.mShards.size()) } } });
  for (auto& [shard, run] : query.mShards) {
    if (run.mProgress == ShardProgress::Waiting) {
      SendShard(aEngine, query, shard, MissingReason::NoReplica, aNow, aRng, aActions);
    }
  }
  if (query.mOpenShards == 0) {
    AnswerQuery(aEngine, id, aNow, aActions);
  }
}

void
OnReply(Engine& aEngine, SubReply aReply, TimePoint aNow, Rng& aRng, Actions& aActions)
{
  const auto found = aEngine.mAttempts.find(aReply.mAttempt);
  if (found == aEngine.mAttempts.end()) {
    ++aEngine.mDiscardedReplies;
    return;
  }
  RunningQuery& query = aEngine.mQueries.at(found->second.mQuery);
  if (aReply.mShard != found->second.mShard || aReply.mVersion != query.mSnapshot.mVersion) {
    ++aEngine.mDiscardedReplies;
    OnFailure(aEngine,
              { aReply.mAttempt, FailureKind::BadReply, "the reply has the wrong identity" },
              aNow,
              aRng,
              aActions);
    return;
  }
  const Attempt attempt = found->second;
  aEngine.mAttempts.erase(found);
  const auto replica = aEngine.mReplicas.find(attempt.mUpstream);
  if (replica != aEngine.mReplicas.end()) {
    --replica->second.mInFlight;
  }
  ShardRun& run = query.mShards.at(attempt.mShard);
  run.mProgress = ShardProgress::Answered;
  --query.mOpenShards;
  std::move(aReply.mItems.begin(), aReply.mItems.end(), std::back_inserter(query.mItems));
  if (query.mOpenShards == 0) {
    AnswerQuery(aEngine, attempt.mQuery, aNow, aActions);
  }
}

void
OnFailure(Engine& aEngine, const SubFailure& aFailure, TimePoint aNow, Rng& aRng, Actions& aActions)
{
  const auto found = aEngine.mAttempts.find(aFailure.mAttempt);
  if (found == aEngine.mAttempts.end()) {
    return;
  }
  const Attempt attempt = found->second;
  aEngine.mAttempts.erase(found);
  const auto replica = aEngine.mReplicas.find(attempt.mUpstream);
  if (replica != aEngine.mReplicas.end()) {
    --replica->second.mInFlight;
  }
  RunningQuery& query = aEngine.mQueries.at(attempt.mQuery);
  aActions.emplace_back(LogDecision{ Event::SubrequestFailed,
                                     { { "request", query.mRequest.mRequestId },
                                       { "attempt", fmt::to_string(aFailure.mAttempt) },
                                       { "upstream", attempt.mUpstream },
                                       { "failure", std::string(FailureName(aFailure.mKind)) },
                                       { "message", aFailure.mMessage } } });
  if (aNow >= query.mDeadline) {
    MarkMissing(query, query.mShards.at(attempt.mShard), MissingReason::TimedOut);
  } else {
    SendShard(aEngine, query, attempt.mShard, MissingReason::Failed, aNow, aRng, aActions);
  }
  if (query.mOpenShards == 0) {
    AnswerQuery(aEngine, attempt.mQuery, aNow, aActions);
  }
}

void
OnTimer(Engine& aEngine, TimePoint aNow, Rng& /*aRng*/, Actions& aActions)
{
  while (!aEngine.mDeadlines.empty() && aEngine.mDeadlines.begin()->first <= aNow) {
    const QueryId query = aEngine.mDeadlines.begin()->second;
    CancelAttempts(aEngine, query, aActions);
    AnswerQuery(aEngine, query, aNow, aActions);
  }
}

std::optional<TimePoint>
NextTimer(const Engine& aEngine)
{
  if (aEngine.mDeadlines.empty()) {
    return std::nullopt;
  }
  return aEngine.mDeadlines.begin()->first;
}

} // namespace apricotyard
