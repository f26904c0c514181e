// A simple query policy that the decision bench compares with the engine: round robin over the
// replicas, skipping those that are not ready; no hedging, no admission control and no retry
// budget.
#ifndef APRICOTYARD_BENCH_BASELINE_H
#define APRICOTYARD_BENCH_BASELINE_H

#include "engine.h"

namespace apricotyard {

struct BaselineShard
{
  bool mAnswered = false;
  MissingReason mReason = MissingReason::TimedOut;
};

struct BaselineQuery
{
  RunningQuery mRun;
  std::map<ShardKey, BaselineShard> mShards;
  // Attempts sent, by shard. Set to the maximum when no further attempt is allowed.
  std::map<ShardKey, std::uint32_t> mAttemptCounts;
  std::set<AttemptId> mLiveAttempts;
};

struct BaselineAttempt
{
  QueryId mQuery = 0;
  ShardKey mShard;
  SocketAddress mAddress;
};

struct BaselineEngine
{
  std::shared_ptr<const Config> mConfig;
  std::map<ShardKey, std::vector<UpstreamInfo>> mReplicas;
  // Position of the round robin, by shard.
  std::map<ShardKey, std::size_t> mNextReplica;
  std::map<QueryId, BaselineQuery> mQueries;
  std::map<AttemptId, BaselineAttempt> mAttempts;
  std::set<std::pair<TimePoint, QueryId>> mDeadlines;
  AttemptId mNextAttempt = 1;
};

// The functions correspond to those of engine.h, but need no random source. An engine belongs to
// one simulated host; the functions are not thread-safe. SubmitQuery throws std::out_of_range if
// the configuration lacks the collection or the class of the request.
void
SetUpstreams(BaselineEngine& aBaseline, const std::vector<UpstreamInfo>& aUpstreams);

void
SubmitQuery(BaselineEngine& aBaseline, QueryRequest aRequest, TimePoint aNow, Actions& aActions);

void
OnReply(BaselineEngine& aBaseline, SubrequestReply aReply, TimePoint aNow, Actions& aActions);

void
OnFailure(BaselineEngine& aBaseline,
          const SubrequestFailure& aFailure,
          TimePoint aNow,
          Actions& aActions);

void
OnTimer(BaselineEngine& aBaseline, TimePoint aNow, Actions& aActions);

std::optional<TimePoint>
NextTimer(const BaselineEngine& aBaseline);

} // namespace apricotyard

#endif
