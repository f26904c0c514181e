// When a relayed request is sent again, answered in part or given up. Pure; not thread-safe.
#ifndef APRICOTYARD_RELAY_POLICY_H
#define APRICOTYARD_RELAY_POLICY_H

#include "dialect.h"
#include "http_client.h"
#include "latency.h"
#include "routing.h"

namespace apricotyard {

// What the end of one attempt means.
enum class AttemptEnd : std::uint8_t
{
  // A whole answer that may be passed on.
  Answered,
  // The replica answered with a failure of its own; it has run the request.
  RanAndFailed,
  // The replica did not run the request.
  NotRun,
  // Another upstream has the replica's address; it did not run the request.
  Misplaced,
  // No whole answer came; the request may have run.
  Lost,
};

AttemptEnd
ClassifyAttempt(const ClientReply& aReply, const HeaderNames& aHeaders);

// True if the request may be sent to a further replica after an attempt that ended like this.
bool
MayRepeat(AttemptEnd aEnd, bool aRepeatable);

// How long to wait for an attempt before a second one is sent elsewhere. aHistory holds the
// latencies of such requests. A request that waits longer has most likely met a pause.
Duration
SecondSendDelay(const LatencyHistogram& aHistory, Duration aObjective);

// The usual latency of such requests; a share of the objective while nothing is known.
Duration
UsualLatency(const LatencyHistogram& aHistory, Duration aObjective);

// How far the answer of a scattered request has come.
struct GatherProgress
{
  std::size_t mShards = 0;
  std::size_t mAnswered = 0;
  // Shards that may still answer.
  std::size_t mPending = 0;
  double mMinCoverage = 0;
  bool mObjectiveOver = false;
  bool mDeadlineOver = false;
};

enum class GatherStep : std::uint8_t
{
  Wait,
  Answer,
  Fail,
};

// An answer that lacks a few shards but comes within the objective serves a caller better than a
// whole one that comes late; after the objective the caller gets what reaches the minimum at once.
GatherStep
DecideGather(const GatherProgress& aProgress);

// The smallest number of shards that makes up aMinCoverage.
std::size_t
ShardsNeeded(std::size_t aShards, double aMinCoverage);

} // namespace apricotyard

#endif
