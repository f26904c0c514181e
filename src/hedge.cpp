#include "hedge.h"

namespace apricotyard {

std::optional<Duration>
HedgeDelay(const LatencyHistogram& aShard, Duration aLeft)
{
  constexpr double kFastQuantile = 0.1;
  const std::optional<Duration> delay = LatencyQuantile(aShard, kHedgeQuantile);
  if (!delay || !RetryFits(aLeft - *delay, LatencyQuantile(aShard, kFastQuantile))) {
    return std::nullopt;
  }
  return delay;
}

} // namespace apricotyard
