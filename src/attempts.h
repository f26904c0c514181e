// Sub-requests and their attempts: slots, waiting, sending, hedging, cancelling, restarts. Internal
// to the engine; see engine.h for the interface.
#ifndef APRICOTYARD_ATTEMPTS_H
#define APRICOTYARD_ATTEMPTS_H

#include "engine.h"

namespace apricotyard {

// What every step of one input needs.
struct Turn
{
  Engine& mEngine;
  TimePoint mNow;
  Rng& mRng;
  Actions& mActions;
};

// True if events of this kind are written, so that the caller builds the fields only then.
bool
WantsLog(Event aEvent);
void
LogTo(Turn& aTurn, Event aEvent, std::vector<LogField> aFields);

// Fills the query's shards from the plan and sends what has a slot. The query may be answered
// before this returns.
void
StartQuery(Turn& aTurn, RunningQuery& aQuery, const SnapshotPlan& aPlan);

// Gives the answer of a running query and releases all that it holds.
void
FinishQuery(Turn& aTurn, RunningQuery& aQuery, std::optional<Result> aResult = std::nullopt);

// Answers the query if all its shards are decided, or if it may answer early and has enough.
// Returns false if the query is gone.
bool
AnswerIfDone(Turn& aTurn, RunningQuery& aQuery);

// Cancels the attempts of a sub-request and takes it out of the queue of its shard.
void
ReleaseShard(Turn& aTurn, RunningQuery& aQuery, std::uint32_t aIndex);

// Sends the next attempt of an open sub-request, or lets it wait. Returns false if this ended or
// restarted the query; references into its shards are then invalid.
bool
StartShard(Turn& aTurn, RunningQuery& aQuery, std::uint32_t aIndex);

// Sends one more attempt of a slow sub-request if budget and slots allow it.
void
HedgeAttempt(Turn& aTurn, AttemptId aAttempt);

// Cancels a running attempt; it keeps its slot until OnReply, OnFailure or a time limit.
void
CancelAttempt(Turn& aTurn, AttemptId aAttempt);

// Takes an attempt off its sub-request and its slot off the replica.
void
EndAttempt(Turn& aTurn, AttemptId aId, const Attempt& aAttempt);

// Gives back the slot of a cancelled attempt.
void
ReleaseCancelled(Turn& aTurn, AttemptId aAttempt);

// Considers the waiting sub-requests of the shard again.
void
PumpShard(Turn& aTurn, ShardState& aShard);

// Sends up to aLimit parked sub-requests of the shard, oldest first.
void
Unpark(Turn& aTurn, ShardState& aShard, std::size_t aLimit);

// Judges the replica after an outcome, and ejects it if it is an outlier.
void
JudgeReplica(Turn& aTurn, Replica& aReplica, bool aSucceeded);

} // namespace apricotyard

#endif
