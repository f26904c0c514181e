// Token buckets that limit retries, hedges and new connections. Not thread-safe.
#ifndef APRICOTYARD_RETRY_BUDGET_H
#define APRICOTYARD_RETRY_BUDGET_H

#include "types.h"

#include <optional>

namespace apricotyard {

// Retry tokens earned per successful first attempt. Limits retries to this share of useful work.
inline constexpr double kRetryShare = 0.1;
// Bucket capacity of a class and of a replica. Covers the failures between the loss of a replica
// and its ejection.
inline constexpr double kClassRetryBurst = 50;
inline constexpr double kReplicaRetryBurst = 10;

// Token bucket that is filled by work, not by time. It does not fill during an outage, so that the
// load does not surge when the outage ends.
struct TokenBucket
{
  double mTokens = 0;
  double mCapacity = 0;
};

// A full bucket.
TokenBucket
MakeBucket(double aCapacity);

void
Earn(TokenBucket& aBucket, double aTokens);

bool
CanSpend(const TokenBucket& aBucket);

// Takes one token. Precondition: CanSpend.
void
Spend(TokenBucket& aBucket);

// Token bucket that fills with time; limits new connections.
struct RateBucket
{
  double mPerSecond = 50;
  double mBurst = 20;
  double mTokens = 20;
  TimePoint mFilledAt;
};

// Takes one token if available. Returns false if there is none.
bool
TrySpend(RateBucket& aBucket, TimePoint aNow);

// False if a retry would very likely end after the deadline: aLeft, the time until the deadline,
// does not exceed the 10th percentile of the shard's latency. Without an estimate any time left is
// enough.
bool
RetryFits(Duration aLeft, std::optional<Duration> aLatencyP10);

} // namespace apricotyard

#endif
