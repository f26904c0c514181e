#include "relay_policy.h"

#include <algorithm>
#include <cmath>

namespace apricotyard {

namespace {

constexpr int kMisdirected = 421;
constexpr int kFirstServerError = 500;
constexpr int kTooManyRequests = 429;
// One request in ten waits longer than this quantile; the second sends are bounded by the budget.
constexpr double kSecondSendQuantile = 0.92;
constexpr Duration kMinSecondSend = std::chrono::milliseconds(8);
// A second send must leave its own answer time to come within the objective.
constexpr double kMaxSecondSendShare = 0.45;
// Assumed share of the objective that a request takes, before anything is measured.
constexpr double kAssumedShare = 0.3;

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
    case TransferEnd::Crossed:
      return AttemptEnd::Lost;
    case TransferEnd::Complete:
      break;
  }
  if (aReply.mStatus == kMisdirected) {
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
MayRepeat(AttemptEnd aEnd, bool aRepeatable)
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
UsualLatency(const LatencyHistogram& aHistory, Duration aObjective)
{
  constexpr double kMedian = 0.5;
  const auto median = LatencyQuantile(aHistory, kMedian);
  return median ? *median : std::chrono::duration_cast<Duration>(aObjective * kAssumedShare);
}

Duration
SecondSendDelay(const LatencyHistogram& aHistory, Duration aObjective)
{
  const auto longest = std::max(
    kMinSecondSend, std::chrono::duration_cast<Duration>(aObjective * kMaxSecondSendShare));
  const auto quantile = LatencyQuantile(aHistory, kSecondSendQuantile);
  return quantile ? std::clamp(*quantile, kMinSecondSend, longest) : longest;
}

std::size_t
ShardsNeeded(std::size_t aShards, double aMinCoverage)
{
  // A product such as 0.9 * 10 may come out slightly above the whole number.
  constexpr double kRounding = 1e-9;
  const double needed = std::ceil(static_cast<double>(aShards) * aMinCoverage - kRounding);
  return std::clamp<std::size_t>(static_cast<std::size_t>(std::max(needed, 1.0)), 1, aShards);
}

GatherStep
DecideGather(const GatherProgress& aProgress)
{
  const std::size_t needed = ShardsNeeded(aProgress.mShards, aProgress.mMinCoverage);
  const bool enough = aProgress.mAnswered >= needed;
  if (aProgress.mPending == 0 || aProgress.mDeadlineOver) {
    return enough ? GatherStep::Answer : GatherStep::Fail;
  }
  if (enough && aProgress.mObjectiveOver) {
    return GatherStep::Answer;
  }
  // Shards that cannot answer any more leave too few.
  if (aProgress.mAnswered + aProgress.mPending < needed) {
    return GatherStep::Fail;
  }
  return GatherStep::Wait;
}

} // namespace apricotyard
