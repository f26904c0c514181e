// Decides when to retry or hedge a relayed request, and when to answer or fail a gather. Pure
// functions.
#ifndef APRICOTYARD_RELAY_POLICY_H
#define APRICOTYARD_RELAY_POLICY_H

#include "http_client.h"
#include "latency.h"
#include "platform_protocol.h"
#include "routing.h"

namespace apricotyard {

// Result of one attempt at a replica.
enum class AttemptEnd : std::uint8_t
{
  // Complete reply that may be forwarded to the caller.
  Answered,
  // The replica ran the request and replied with an error.
  RanAndFailed,
  // The replica did not run the request.
  NotRun,
  // The request reached another upstream, which now has the replica's address and did not run it.
  Misplaced,
  // No valid complete reply. The request may have run.
  Lost,
};

// Classifies a reply by its transfer, status and headers. A complete reply that has neither a
// not-run header nor a signature is Lost, unless its status is 421, which means Misplaced.
AttemptEnd
ClassifyAttempt(const ClientReply& aReply, const HeaderNames& aHeaders);

// True if the request may be retried at another replica after an attempt with this result.
// aRepeatable is false if the request may run at most once.
bool
MayRetry(AttemptEnd aEnd, bool aRepeatable);

// Delay after which an unanswered attempt is hedged at another replica. aHistory holds the
// latencies of the route's requests. An attempt that takes longer has most likely hit a pause of
// its replica.
Duration
RelayHedgeDelay(const LatencyHistogram& aHistory, Duration aObjective);

// Median latency of the route's requests. Without enough samples, a fixed share of the objective.
Duration
TypicalLatency(const LatencyHistogram& aHistory, Duration aObjective);

// Progress of a request that was sent to all shards.
struct GatherProgress
{
  std::size_t mShards = 0;
  std::size_t mAnswered = 0;
  // Shards that may still reply.
  std::size_t mPending = 0;
  double mMinCoverage = 0;
  bool mObjectivePassed = false;
  bool mDeadlinePassed = false;
};

enum class GatherDecision : std::uint8_t
{
  Wait,
  Answer,
  Fail,
};

// Waits for all shards until the objective, then answers as soon as the minimum coverage is
// reached. A timely response that lacks a few shards is worth more to the caller than a complete
// late one.
GatherDecision
DecideGather(const GatherProgress& aProgress);

// Smallest number of shards whose share reaches aMinCoverage, at least 1.
std::size_t
RequiredShards(std::size_t aShards, double aMinCoverage);

} // namespace apricotyard

#endif
