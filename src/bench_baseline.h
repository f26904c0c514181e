// The plainest query policy, against which the decision bench compares the engine: round robin over
// the ready replicas, no hedging, no admission control, retries without a budget.
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
  std::map<ShardKey, std::uint32_t> mTries;
  std::set<AttemptId> mLive;
};

struct BaselineAttempt
{
  QueryId mQuery = 0;
  ShardKey mShard;
  SocketAddress mAddress;
};

struct Baseline
{
  std::shared_ptr<const Config> mConfig;
  std::map<ShardKey, std::vector<UpstreamInfo>> mReplicas;
  std::map<ShardKey, std::size_t> mNext;
  std::map<QueryId, BaselineQuery> mQueries;
  std::map<AttemptId, BaselineAttempt> mAttempts;
  std::set<std::pair<TimePoint, QueryId>> mDeadlines;
  AttemptId mNextAttempt = 1;
};

// The functions mirror those of engine.h; a Baseline needs no random source.
void
SetUpstreams(Baseline& aBaseline, const std::vector<UpstreamInfo>& aUpstreams);

void
SubmitQuery(Baseline& aBaseline, QueryRequest aRequest, TimePoint aNow, Actions& aActions);

void
OnReply(Baseline& aBaseline, SubReply aReply, TimePoint aNow, Actions& aActions);

void
OnFailure(Baseline& aBaseline, const SubFailure& aFailure, TimePoint aNow, Actions& aActions);

void
OnTimer(Baseline& aBaseline, TimePoint aNow, Actions& aActions);

std::optional<TimePoint>
NextTimer(const Baseline& aBaseline);

} // namespace apricotyard

#endif
