#include "retry_budget.h"

#include <algorithm>

namespace apricotyard {

TokenBucket
MakeBucket(double aCapacity)
{
  return { aCapacity, aCapacity };
}

void
Earn(TokenBucket& aBucket, double aTokens)
{
  aBucket.mTokens = std::min(aBucket.mCapacity, aBucket.mTokens + aTokens);
}

bool
CanSpend(const TokenBucket& aBucket)
{
  return aBucket.mTokens >= 1.0;
}

void
Spend(TokenBucket& aBucket)
{
  aBucket.mTokens -= 1.0;
}

bool
TrySpend(RateBucket& aBucket, TimePoint aNow)
{
  constexpr double kMicrosPerSecond = 1e6;
  const auto elapsed = static_cast<double>((aNow - aBucket.mFilledAt).count());
  aBucket.mFilledAt = aNow;
  aBucket.mTokens =
    std::min(aBucket.mBurst, aBucket.mTokens + elapsed * aBucket.mPerSecond / kMicrosPerSecond);
  if (aBucket.mTokens < 1.0) {
    return false;
  }
  aBucket.mTokens -= 1.0;
  return true;
}

bool
RetryFits(Duration aLeft, std::optional<Duration> aLatencyP10)
{
  return aLeft > aLatencyP10.value_or(Duration::zero());
}

} // namespace apricotyard
