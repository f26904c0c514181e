#include "request_limit.h"

#include <algorithm>
#include <cmath>

namespace apricotyard {

namespace {

// A burst holds the requests of this time, so that the share is used in full although requests
// arrive irregularly.
constexpr std::chrono::duration<double> kBurstTime{ 0.5 };
// Part of the limit that is used when only some gateways have a share, because more of them than
// expected may be selected.
constexpr double kSelectedUse = 0.8;

double
BurstOf(const RequestLimit& aLimit)
{
  return std::max(1.0, aLimit.mShare * kBurstTime.count());
}

double
TokensAt(const RequestLimit& aLimit, TimePoint aNow)
{
  const std::chrono::duration<double> elapsed = aNow - aLimit.mRefilledAt;
  return std::min(BurstOf(aLimit), aLimit.mTokens + aLimit.mShare * std::max(elapsed.count(), 0.0));
}

double
ShareOf(double aTotal, const LimitDivision& aDivision)
{
  const double share = aTotal / static_cast<double>(aDivision.mGateways);
  if (share >= kMinRequestShare) {
    return share;
  }
  return aDivision.mFraction < share / kMinRequestShare ? kMinRequestShare * kSelectedUse : 0;
}

} // namespace

void
UpdateRequestLimit(RequestLimit& aLimit,
                   std::optional<double> aTotal,
                   const LimitDivision& aDivision,
                   TimePoint aNow)
{
  if (!aTotal) {
    aLimit = {};
    return;
  }
  aLimit.mTokens = aLimit.mTotal ? TokensAt(aLimit, aNow) : 0;
  aLimit.mRefilledAt = aNow;
  aLimit.mTotal = aTotal;
  aLimit.mShare = ShareOf(*aTotal, aDivision);
  const double probeRate = std::max(kMinProbeRate, kProbeUse * *aTotal);
  // Differs between gateways, so that they do not probe at the same time.
  aLimit.mProbeInterval = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(static_cast<double>(aDivision.mGateways) / probeRate) *
    (1.0 + aDivision.mFraction));
  aLimit.mProbeAt = aNow + aLimit.mProbeInterval;
}

bool
AllowsRequest(const RequestLimit& aLimit, TimePoint aNow)
{
  return NextRequestAt(aLimit, 0, aNow) <= aNow;
}

void
CountRequest(RequestLimit& aLimit, TimePoint aNow)
{
  if (!aLimit.mTotal) {
    return;
  }
  aLimit.mTokens = std::max(TokensAt(aLimit, aNow) - 1.0, 0.0);
  aLimit.mRefilledAt = aNow;
  aLimit.mProbeAt = aNow + aLimit.mProbeInterval;
}

TimePoint
NextRequestAt(const RequestLimit& aLimit, std::size_t aAhead, TimePoint aNow)
{
  if (!aLimit.mTotal) {
    return aNow;
  }
  if (aLimit.mShare <= 0) {
    return std::max(aLimit.mProbeAt, aNow) +
           aLimit.mProbeInterval * static_cast<std::int64_t>(aAhead);
  }
  const double missing = static_cast<double>(aAhead + 1) - TokensAt(aLimit, aNow);
  if (missing <= 0) {
    return aNow;
  }
  // Rounded up, so that the request is allowed at the time returned.
  return aNow + Duration(1) +
         std::chrono::duration_cast<Duration>(
           std::chrono::duration<double>(missing / aLimit.mShare));
}

TimePoint
NextRequestAt(std::span<const RequestLimit* const> aLimits, std::size_t aAhead, TimePoint aNow)
{
  TimePoint first = TimePoint::max();
  RequestLimit sum;
  sum.mRefilledAt = aNow;
  for (const RequestLimit* const limit : aLimits) {
    if (!limit->mTotal) {
      return aNow;
    }
    first = std::min(first, NextRequestAt(*limit, 0, aNow));
    sum.mShare += limit->mShare;
    // A part of a token cannot be combined with that of another replica.
    sum.mTokens += std::floor(TokensAt(*limit, aNow));
  }
  if (sum.mShare <= 0) {
    return first;
  }
  const double missing = static_cast<double>(aAhead + 1) - sum.mTokens;
  const Duration wait = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::max(missing - 1.0, 0.0) / sum.mShare));
  return first + wait;
}

} // namespace apricotyard
