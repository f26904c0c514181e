#include "health.h"

#include <algorithm>

namespace apricotyard {

namespace {

constexpr double kFailureRateSmoothing = 0.1;
constexpr std::uint32_t kFailuresToEject = 5;
constexpr std::uint32_t kMinOutcomes = 10;
constexpr double kHighFailureRate = 0.3;
// An outlier has more than this multiple of the failure rate or latency of the other replicas.
constexpr double kFailureRateFactor = 3;
constexpr double kLatencyFactor = 8;
constexpr std::uint32_t kMinLatencySamples = 10;
constexpr std::uint32_t kSuccessesToEndProbation = 10;
constexpr Duration kFirstEjection = std::chrono::seconds(1);
constexpr Duration kMaxEjection = std::chrono::seconds(30);
constexpr Duration kSlowStartTime = std::chrono::seconds(5);
constexpr double kInitialShare = 0.1;

struct OtherReplicas
{
  double mFailureRate = 0;
  double mLatencyUs = 0;
  std::size_t mUsable = 0;
  std::size_t mEjected = 0;
};

// Averages the other replicas that are not ejected, and counts the ejected ones.
OtherReplicas
SummarizeOthers(std::span<const HealthView> aShard, std::size_t aIndex)
{
  OtherReplicas others;
  std::size_t latencyCount = 0;
  for (std::size_t i = 0; i < aShard.size(); ++i) {
    if (aShard[i].mHealth->mEjected) {
      ++others.mEjected;
    } else if (i != aIndex) {
      ++others.mUsable;
      others.mFailureRate += aShard[i].mHealth->mFailureRate;
      if (aShard[i].mLatencySamples >= kMinLatencySamples) {
        others.mLatencyUs += aShard[i].mMeanLatencyUs;
        ++latencyCount;
      }
    }
  }
  others.mFailureRate /= static_cast<double>(std::max<std::size_t>(1, others.mUsable));
  others.mLatencyUs /= static_cast<double>(std::max<std::size_t>(1, latencyCount));
  return others;
}

} // namespace

void
RecordHealth(Health& aHealth, bool aSucceeded)
{
  ++aHealth.mOutcomes;
  aHealth.mFailureRate += kFailureRateSmoothing * ((aSucceeded ? 0.0 : 1.0) - aHealth.mFailureRate);
  aHealth.mConsecutiveFailures = aSucceeded ? 0 : aHealth.mConsecutiveFailures + 1;
  if (aHealth.mOnProbation && aSucceeded &&
      ++aHealth.mSuccessesOnProbation >= kSuccessesToEndProbation) {
    aHealth.mOnProbation = false;
    aHealth.mNextEjection = kFirstEjection;
  }
}

bool
ShouldEject(std::span<const HealthView> aShard, std::size_t aIndex)
{
  const HealthView& view = aShard[aIndex];
  const Health& health = *view.mHealth;
  const OtherReplicas others = SummarizeOthers(aShard, aIndex);
  if (health.mEjected || others.mUsable == 0 || (others.mEjected + 1) * 3 > aShard.size()) {
    return false;
  }
  if (health.mOnProbation && health.mConsecutiveFailures > 0) {
    return true;
  }
  const bool worse = health.mFailureRate > kFailureRateFactor * others.mFailureRate;
  if (worse && (health.mConsecutiveFailures >= kFailuresToEject ||
                (health.mOutcomes >= kMinOutcomes && health.mFailureRate >= kHighFailureRate))) {
    return true;
  }
  return others.mLatencyUs > 0 && view.mLatencySamples >= kMinLatencySamples &&
         view.mMeanLatencyUs > kLatencyFactor * others.mLatencyUs;
}

void
Eject(Health& aHealth, TimePoint aNow)
{
  aHealth.mEjected = true;
  aHealth.mEjectedUntil = aNow + aHealth.mNextEjection;
  aHealth.mNextEjection = std::min(kMaxEjection, aHealth.mNextEjection * 2);
}

void
RefreshHealth(Health& aHealth, TimePoint aNow)
{
  if (aHealth.mEjected && aNow >= aHealth.mEjectedUntil) {
    aHealth.mEjected = false;
    aHealth.mOnProbation = true;
    aHealth.mSuccessesOnProbation = 0;
    aHealth.mFailureRate = 0;
    aHealth.mOutcomes = 0;
    aHealth.mConsecutiveFailures = 0;
    BeginSlowStart(aHealth, aHealth.mEjectedUntil);
  }
  if (aHealth.mSlowStart && aNow - aHealth.mSlowStartedAt >= kSlowStartTime) {
    aHealth.mSlowStart = false;
  }
}

void
BeginSlowStart(Health& aHealth, TimePoint aNow)
{
  aHealth.mSlowStart = true;
  aHealth.mSlowStartedAt = aNow;
}

double
SlowStartShare(const Health& aHealth, TimePoint aNow)
{
  if (!aHealth.mSlowStart) {
    return 1.0;
  }
  const auto age = static_cast<double>((aNow - aHealth.mSlowStartedAt).count());
  return std::clamp(age / static_cast<double>(kSlowStartTime.count()), kInitialShare, 1.0);
}

} // namespace apricotyard
