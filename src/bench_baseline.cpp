#include "bench_baseline.h"

#include <algorithm>

namespace apricotyard {

namespace {

// Attempts per shard of a query. Several of them may go to the same replica, because all queries
// share the position of the round robin.
constexpr std::uint32_t kMaxAttemptsPerShard = 3;

bool
Serves(const UpstreamInfo& aInfo, IndexVersion aVersion)
{
  return aInfo.mState == UpstreamState::Ready &&
         std::find(aInfo.mVersions.begin(), aInfo.mVersions.end(), aVersion) !=
           aInfo.mVersions.end();
}

// Returns the shards of the newest partition map of aService whose ready replicas cover the whole
// key space, or nothing if no map is complete.
std::vector<ShardKey>
NewestMapShards(const BaselineEngine& aBaseline, const std::string& aService)
{
  std::map<std::uint32_t, std::vector<ShardKey>> shards;
  std::map<std::uint32_t, std::uint64_t> covered;
  const auto first = aBaseline.mReplicas.lower_bound(ShardKey{ aService, 0, 0 });
  for (auto entry = first; entry != aBaseline.mReplicas.end(); ++entry) {
    if (entry->first.mService != aService) {
      break;
    }
    const auto ready = [](const UpstreamInfo& aInfo) {
      return aInfo.mState == UpstreamState::Ready;
    };
    const auto& replicas = entry->second;
    if (std::any_of(replicas.begin(), replicas.end(), ready)) {
      shards[entry->first.mMap].push_back(entry->first);
      const KeyRange& range = replicas.front().mRange;
      covered[entry->first.mMap] += range.mHigh - range.mLow;
    }
  }
  for (auto map = covered.rbegin(); map != covered.rend(); ++map) {
    if (map->second == kKeySpace) {
      return shards[map->first];
    }
  }
  return {};
}

// Returns the index version that the most shards serve. The newer version wins a tie.
IndexVersion
ChooseVersion(const BaselineEngine& aBaseline, const std::map<ShardKey, BaselineShard>& aShards)
{
  std::map<IndexVersion, std::uint32_t> offers;
  for (const auto& [shard, run] : aShards) {
    std::set<IndexVersion> versions;
    const auto found = aBaseline.mReplicas.find(shard);
    if (found == aBaseline.mReplicas.end()) {
      continue;
    }
    for (const UpstreamInfo& info : found->second) {
      if (info.mState == UpstreamState::Ready) {
        versions.insert(info.mVersions.begin(), info.mVersions.end());
      }
    }
    for (const IndexVersion version : versions) {
      ++offers[version];
    }
  }
  IndexVersion best = 0;
  std::uint32_t most = 0;
  for (const auto& [version, count] : offers) {
    if (count >= most) {
      most = count;
      best = version;
    }
  }
  return best;
}

void
FinishQuery(BaselineEngine& aBaseline, QueryId aQuery, TimePoint aNow, Actions& aActions)
{
  const auto node = aBaseline.mQueries.extract(aQuery);
  RunningQuery& run = node.mapped().mRun;
  aBaseline.mDeadlines.erase({ run.mDeadline, aQuery });
  for (const AttemptId attempt : node.mapped().mLiveAttempts) {
    const auto live = aBaseline.mAttempts.extract(attempt);
    aActions.emplace_back(CancelSubrequest{ attempt, live.mapped().mAddress });
  }
  Answer answer;
  answer.mQuery = aQuery;
  answer.mSnapshot = run.mSnapshot;
  answer.mElapsed = aNow - run.mArrived;
  answer.mAttempts = run.mAttempts;
  for (const auto& [shard, progress] : node.mapped().mShards) {
    ++answer.mExpected;
    if (progress.mAnswered) {
      ++answer.mAnswered;
    } else {
      answer.mMissing.push_back({ shard, progress.mReason });
    }
  }
  answer.mResult = answer.mMissing.empty()                 ? Result::Ok
                   : answer.Coverage() >= run.mMinCoverage ? Result::PartialAnswer
                                                           : Result::CoverageBelowMinimum;
  if (answer.mResult != Result::CoverageBelowMinimum) {
    answer.mItems = std::move(run.mItems);
  }
  aActions.emplace_back(Respond{ std::move(answer) });
}

void
SendNextAttempt(BaselineEngine& aBaseline,
                BaselineQuery& aQuery,
                const ShardKey& aShard,
                TimePoint aNow,
                Actions& aActions)
{
  RunningQuery& run = aQuery.mRun;
  const auto found = aBaseline.mReplicas.find(aShard);
  const std::size_t count = found == aBaseline.mReplicas.end() ? 0 : found->second.size();
  for (std::size_t i = 0; i < count && aQuery.mAttemptCounts[aShard] < kMaxAttemptsPerShard; ++i) {
    const UpstreamInfo& info = found->second[aBaseline.mNextReplica[aShard]++ % count];
    if (!Serves(info, run.mSnapshot.mVersion)) {
      continue;
    }
    ++aQuery.mAttemptCounts[aShard];
    ++run.mAttempts;
    const AttemptId attempt = aBaseline.mNextAttempt++;
    aQuery.mLiveAttempts.insert(attempt);
    aBaseline.mAttempts[attempt] = { run.mRequest.mId, aShard, info.mAddress };
    aActions.emplace_back(SendSubrequest{ attempt,
                                          run.mRequest.mId,
                                          info.mId,
                                          info.mAddress,
                                          aShard,
                                          run.mSnapshot.mVersion,
                                          run.mBody,
                                          run.mDeadline - aNow });
    return;
  }
  BaselineShard& shard = aQuery.mShards.at(aShard);
  shard.mReason = MissingReason::Failed;
  --run.mOpenSubrequests;
}

} // namespace

void
SetUpstreams(BaselineEngine& aBaseline, const std::vector<UpstreamInfo>& aUpstreams)
{
  aBaseline.mReplicas.clear();
  for (const UpstreamInfo& info : aUpstreams) {
    aBaseline.mReplicas[{ info.mService, info.mMap, info.mShard }].push_back(info);
  }
}

void
SubmitQuery(BaselineEngine& aBaseline, QueryRequest aRequest, TimePoint aNow, Actions& aActions)
{
  const CollectionPolicy& collection = aBaseline.mConfig->mCollections.at(aRequest.mCollection);
  const ClassPolicy& policy = aBaseline.mConfig->mClasses.at(aRequest.mClass);
  const QueryId id = aRequest.mId;
  BaselineQuery& query = aBaseline.mQueries[id];
  RunningQuery& run = query.mRun;
  run.mClass = policy;
  run.mMinCoverage = policy.mMinCoverage;
  run.mArrived = aNow;
  run.mDeadline = aNow + policy.mDeadline;
  run.mBody = std::make_shared<const std::string>(aRequest.mQuery);
  run.mRequest = std::move(aRequest);
  for (const std::string& service : collection.mServices) {
    const std::vector<ShardKey> shards = NewestMapShards(aBaseline, service);
    for (const ShardKey& shard : shards) {
      query.mShards[shard];
      run.mSnapshot.mMaps[service] = shard.mMap;
    }
    if (shards.empty()) {
      query.mShards[{ service, 0, 0 }].mReason = MissingReason::NotAnnounced;
    }
  }
  run.mSnapshot.mVersion = ChooseVersion(aBaseline, query.mShards);
  run.mOpenSubrequests = static_cast<std::uint32_t>(query.mShards.size());
  aBaseline.mDeadlines.emplace(run.mDeadline, id);
  for (const auto& [shard, progress] : query.mShards) {
    SendNextAttempt(aBaseline, query, shard, aNow, aActions);
  }
  if (run.mOpenSubrequests == 0) {
    FinishQuery(aBaseline, id, aNow, aActions);
  }
}

void
OnReply(BaselineEngine& aBaseline, SubrequestReply aReply, TimePoint aNow, Actions& aActions)
{
  const auto found = aBaseline.mAttempts.find(aReply.mAttempt);
  if (found == aBaseline.mAttempts.end()) {
    return;
  }
  BaselineQuery& query = aBaseline.mQueries.at(found->second.mQuery);
  RunningQuery& run = query.mRun;
  if (aReply.mShard != found->second.mShard || aReply.mVersion != run.mSnapshot.mVersion) {
    OnFailure(aBaseline, { aReply.mAttempt, FailureKind::BadReply, {} }, aNow, aActions);
    return;
  }
  const QueryId id = found->second.mQuery;
  aBaseline.mAttempts.erase(found);
  query.mLiveAttempts.erase(aReply.mAttempt);
  query.mShards.at(aReply.mShard).mAnswered = true;
  std::move(aReply.mItems.begin(), aReply.mItems.end(), std::back_inserter(run.mItems));
  if (--run.mOpenSubrequests == 0) {
    FinishQuery(aBaseline, id, aNow, aActions);
  }
}

void
OnFailure(BaselineEngine& aBaseline,
          const SubrequestFailure& aFailure,
          TimePoint aNow,
          Actions& aActions)
{
  const auto node = aBaseline.mAttempts.extract(aFailure.mAttempt);
  if (node.empty()) {
    return;
  }
  BaselineQuery& query = aBaseline.mQueries.at(node.mapped().mQuery);
  query.mLiveAttempts.erase(aFailure.mAttempt);
  if (!query.mRun.mClass.mRepeatable && MayHaveStarted(aFailure.mKind)) {
    query.mAttemptCounts[node.mapped().mShard] = kMaxAttemptsPerShard;
  }
  SendNextAttempt(aBaseline, query, node.mapped().mShard, aNow, aActions);
  if (query.mRun.mOpenSubrequests == 0) {
    FinishQuery(aBaseline, node.mapped().mQuery, aNow, aActions);
  }
}

void
OnTimer(BaselineEngine& aBaseline, TimePoint aNow, Actions& aActions)
{
  while (!aBaseline.mDeadlines.empty() && aBaseline.mDeadlines.begin()->first <= aNow) {
    FinishQuery(aBaseline, aBaseline.mDeadlines.begin()->second, aNow, aActions);
  }
}

std::optional<TimePoint>
NextTimer(const BaselineEngine& aBaseline)
{
  if (aBaseline.mDeadlines.empty()) {
    return std::nullopt;
  }
  return aBaseline.mDeadlines.begin()->first;
}

} // namespace apricotyard
