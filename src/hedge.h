// When to send one extra attempt of a slow sub-request. Pure; not thread-safe.
//
// After Dean and Barroso, "The Tail at Scale" (Communications of the ACM, 2013).
#ifndef APRICOTYARD_HEDGE_H
#define APRICOTYARD_HEDGE_H

#include "latency.h"
#include "retry_budget.h"

namespace apricotyard {

// Tokens earned per first attempt, and how many are saved up. The bucket starts empty, so that
// the extra load never exceeds the share.
inline constexpr double kHedgeShare = 0.05;
inline constexpr double kHedgeBurst = 20;
inline constexpr double kHedgeQuantile = 0.95;

// How long to wait for the first attempt before the extra one; nothing if there is no estimate or
// less time is left than the delay plus the 10th percentile of the latency.
std::optional<Duration>
HedgeDelay(const LatencyHistogram& aShard, Duration aLeft);

} // namespace apricotyard

#endif
