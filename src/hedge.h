// Decides when to hedge a slow sub-request. Pure functions.
//
// After Dean and Barroso, "The Tail at Scale" (Communications of the ACM, 2013).
#ifndef APRICOTYARD_HEDGE_H
#define APRICOTYARD_HEDGE_H

#include "latency.h"
#include "retry_budget.h"

namespace apricotyard {

// Hedge tokens earned per first attempt, and the capacity of the bucket. The bucket starts empty,
// so that the extra load never exceeds the share.
inline constexpr double kHedgeShare = 0.05;
inline constexpr double kHedgeBurst = 20;
inline constexpr double kHedgeQuantile = 0.95;

// Delay after which the first attempt is hedged. Empty if there is no latency estimate, or if
// aLeft, the time until the deadline, is not longer than the delay plus the 10th percentile of the
// latency.
std::optional<Duration>
HedgeDelay(const LatencyHistogram& aShard, Duration aLeft);

} // namespace apricotyard

#endif
