// Budgets that bound extra load: retries, hedges and new connections. Pure; not thread-safe.
#ifndef APRICOTYARD_RETRY_BUDGET_H
#define APRICOTYARD_RETRY_BUDGET_H

#include "types.h"

#include <optional>

namespace apricotyard {

// Tokens earned per successful first attempt: retries are at most this share of useful work.
inline constexpr double kRetryShare = 0.1;
// Tokens that a class, and a replica, may save up. They cover the first failures after a replica is
// lost, before its ejection.
inline constexpr double kClassRetryBurst = 50;
inline constexpr double kReplicaRetryBurst = 10;

// A bucket of tokens that are earned by work and not by time, so that nothing is saved up during an
// outage and load does not surge when it ends.
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

// A bucket that fills with time, for new connections.
struct RateBucket
{
  double mPerSecond = 50;
  double mBurst = 20;
  double mTokens = 20;
  TimePoint mFilledAt;
};

// Takes one token if there is one.
bool
TrySpend(RateBucket& aBucket, TimePoint aNow);

// False if a retry would very likely end after the deadline: less time is left than the 10th
// percentile of the shard's latency. Without an estimate any time left is enough.
bool
RetryFits(Duration aLeft, std::optional<Duration> aLatencyP10);

} // namespace apricotyard

#endif
