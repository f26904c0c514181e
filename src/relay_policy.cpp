#include "relay_policy.h"

#include <algorithm>
#include <cmath>

namespace apricotyard {

namespace {

constexpr int kMisdirectedRequest = 421;
constexpr int kFirstServerError = 500;
constexpr int kTooManyRequests = 429;
// About 8% of the requests take longer than this quantile. The extra-send budget bounds the hedges.
constexpr double kRelayHedgeQuantile = 0.92;
constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(8);
// A hedge must leave enough time for its reply to arrive within the objective.
constexpr double kMaxHedgeDelayShare = 0.45;
// Share of the objective that a request is expected to take while there are too few samples.
constexpr double kDefaultLatencyShare = 0.3;

} // namespace

AttemptEnd
ClassifyAttempt(const ClientReply& aReply, const HeaderNames& aHeaders)
{
  switch (aReply.mEnd) {
    case TransferEnd::NotConnected:
    case TransferEnd::NotSent:
      return AttemptEnd::NotRun;
    case TransferEnd::Lost:
    case TransferEnd::TimedOut:
    case TransferEnd::TooLarge:
    case TransferEnd::Mismatched:
      return AttemptEnd::Lost;
    case TransferEnd::Complete:
      break;
  }
  if (aReply.mStatus == kMisdirectedRequest) {
    return AttemptEnd::Misplaced;
  }
  if (!aReply.Header(aHeaders.mNotRun).empty()) {
    return AttemptEnd::NotRun;
  }
  if (aReply.Header(aHeaders.mSignature).empty()) {
    return AttemptEnd::Lost;
  }
  if (aReply.mStatus >= kFirstServerError || aReply.mStatus == kTooManyRequests) {
    return AttemptEnd::RanAndFailed;
  }
  return AttemptEnd::Answered;
}

bool
MayRetry(AttemptEnd aEnd, bool aRepeatable)
{
  switch (aEnd) {
    case AttemptEnd::Answered:
      return false;
    case AttemptEnd::NotRun:
    case AttemptEnd::Misplaced:
      return true;
    case AttemptEnd::RanAndFailed:
    case AttemptEnd::Lost:
      return aRepeatable;
  }
  return false;
}

Duration
TypicalLatency(const LatencyHistogram& aHistory, Duration aObjective)
{
  constexpr double kMedian = 0.5;
  const auto median = LatencyQuantile(aHistory, kMedian);
  return median ? *median : std::chrono::duration_cast<Duration>(aObjective * kDefaultLatencyShare);
}

Duration
RelayHedgeDelay(const LatencyHistogram& aHistory, Duration aObjective)
{
  const auto longestDelay = std::max(
    kMinHedgeDelay, std::chrono::duration_cast<Duration>(aObjective * kMaxHedgeDelayShare));
  const auto quantile = LatencyQuantile(aHistory, kRelayHedgeQuantile);
  return quantile ? std::clamp(*quantile, kMinHedgeDelay, longestDelay) : longestDelay;
}

std::size_t
RequiredShards(std::size_t aShards, double aMinCoverage)
{
  // Floating-point error can put a product such as 0.9 * 10 slightly above the integer.
  constexpr double kRoundingTolerance = 1e-9;
  const double needed = std::ceil(static_cast<double>(aShards) * aMinCoverage - kRoundingTolerance);
  return std::clamp<std::size_t>(static_cast<std::size_t>(std::max(needed, 1.0)), 1, aShards);
}

GatherDecision
DecideGather(const GatherProgress& aProgress)
{
  const std::size_t needed = RequiredShards(aProgress.mShards, aProgress.mMinCoverage);
  const bool reachesMinimum = aProgress.mAnswered >= needed;
  if (aProgress.mPending == 0 || aProgress.mDeadlinePassed) {
    return reachesMinimum ? GatherDecision::Answer : GatherDecision::Fail;
  }
  if (reachesMinimum && aProgress.mObjectivePassed) {
    return GatherDecision::Answer;
  }
  // Too many shards have failed for the rest to reach the minimum coverage.
  if (aProgress.mAnswered + aProgress.mPending < needed) {
    return GatherDecision::Fail;
  }
  return GatherDecision::Wait;
}

} // namespace apricotyard
