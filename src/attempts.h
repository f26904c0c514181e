// Life cycle of sub-requests and their attempts: slots, waiting, sending, hedging, cancellation and
// restarts. Internal to the engine; the public interface is in engine.h. Not thread-safe.
#ifndef APRICOTYARD_ATTEMPTS_H
#define APRICOTYARD_ATTEMPTS_H

#include "engine.h"

namespace apricotyard {

// Arguments of one engine call, passed to every function that takes part in it.
struct CallContext
{
  Engine& mEngine;
  TimePoint mNow;
  Rng& mRng;
  Actions& mActions;
};

// Returns true if the log level of the event is enabled. Callers check it before they build the
// fields.
bool
IsLogged(Event aEvent);
void
AddLog(CallContext& aContext, Event aEvent, std::vector<LogField> aFields);

// Creates the sub-requests of the query from the plan and sends those that get a slot. The query
// may be answered, and aQuery invalid, when this returns.
void
StartQuery(CallContext& aContext, RunningQuery& aQuery, const SnapshotPlan& aPlan);

// Answers a running query and releases all its resources. aResult overrides the result that follows
// from the coverage. aQuery is invalid afterwards.
void
FinishQuery(CallContext& aContext,
            RunningQuery& aQuery,
            std::optional<Result> aResult = std::nullopt);

// Answers the query if no sub-request is open, or if it may answer early and has the minimum
// coverage. Returns false if the query was answered; aQuery is then invalid.
bool
AnswerIfDone(CallContext& aContext, RunningQuery& aQuery);

// Cancels the attempts of a sub-request, removes it from the queue of its shard, and drops its
// reference to the shard.
void
ReleaseSubrequest(CallContext& aContext, RunningQuery& aQuery, std::uint32_t aIndex);

// Sends the next attempt of an open sub-request, or queues or defers it. Returns false if this
// answered or restarted the query; references to its sub-requests are then invalid.
bool
StartSubrequest(CallContext& aContext, RunningQuery& aQuery, std::uint32_t aIndex);

// Sends a second attempt of a slow sub-request if the hedging budget and the slots allow it.
void
HedgeAttempt(CallContext& aContext, AttemptId aAttempt);

// Cancels a running attempt. It occupies its slot until OnReply or OnFailure reports its end, or a
// time limit passes.
void
CancelAttempt(CallContext& aContext, AttemptId aAttempt);

// Removes an ended attempt from its sub-request and frees its slot.
void
EndAttempt(CallContext& aContext, AttemptId aId, const Attempt& aAttempt);

// Frees the slot of a cancelled attempt. Does nothing if the attempt is not a cancelled one.
void
ReleaseCancelled(CallContext& aContext, AttemptId aAttempt);

// Tries to send the waiting sub-requests of the shard, in queue order.
void
DispatchWaiting(CallContext& aContext, ShardState& aShard);

// Retries up to aLimit deferred sub-requests of the shard, oldest first.
void
RetryDeferred(CallContext& aContext, ShardState& aShard, std::size_t aLimit);

// Updates the health of the replica with the outcome of an attempt, and ejects the replica if it is
// an outlier.
void
RecordReplicaOutcome(CallContext& aContext, Replica& aReplica, bool aSucceeded);

} // namespace apricotyard

#endif
