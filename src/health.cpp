#include "health.h"

#include <algorithm>

namespace apricotyard {

namespace {

constexpr double kErrorStep = 0.1;
constexpr std::uint32_t kFailuresToEject = 5;
constexpr std::uint32_t kMinOutcomes = 10;
constexpr double kBadErrorRate = 0.3;
// An outlier fails at least this many times as often, or is as many times slower, as the others.
constexpr double kErrorFactor = 3;
constexpr double kLatencyFactor = 8;
constexpr std::uint32_t kMinLatencySamples = 10;
constexpr std::uint32_t kSuccessesToTrust = 10;
constexpr Duration kFirstEjection = std::chrono::seconds(1);
constexpr Duration kMaxEjection = std::chrono::seconds(30);
constexpr Duration kSlowStart = std::chrono::seconds(5);
constexpr double kFirstShare = 0.1;

struct OthersView
{
  double mErrorRate = 0;
  double mLatencyUs = 0;
  std::size_t mUsable = 0;
  std::size_t mEjected = 0;
};

// The mean over the other replicas that are not ejected.
OthersView
ViewOthers(std::span<const HealthView> aShard, std::size_t aIndex)
{
  OthersView others;
  std::size_t measured = 0;
  for (std::size_t i = 0; i < aShard.size(); ++i) {
    if (aShard[i].mHealth->mEjected) {
      ++others.mEjected;
    } else if (i != aIndex) {
      ++others.mUsable;
      others.mErrorRate += aShard[i].mHealth->mErrorRate;
      if (aShard[i].mLatencySamples >= kMinLatencySamples) {
        others.mLatencyUs += aShard[i].mMeanLatencyUs;
        ++measured;
      }
    }
  }
  others.mErrorRate /= static_cast<double>(std::max<std::size_t>(1, others.mUsable));
  others.mLatencyUs /= static_cast<double>(std::max<std::size_t>(1, measured));
  return others;
}

} // namespace

void
RecordHealth(Health& aHealth, bool aSucceeded)
{
  ++aHealth.mOutcomes;
  aHealth.mErrorRate += kErrorStep * ((aSucceeded ? 0.0 : 1.0) - aHealth.mErrorRate);
  aHealth.mFailuresInARow = aSucceeded ? 0 : aHealth.mFailuresInARow + 1;
  if (aHealth.mOnProbation && aSucceeded && ++aHealth.mSuccessesOnProbation >= kSuccessesToTrust) {
    aHealth.mOnProbation = false;
    aHealth.mNextEjection = kFirstEjection;
  }
}

bool
ShouldEject(std::span<const HealthView> aShard, std::size_t aIndex)
{
  const HealthView& view = aShard[aIndex];
  const Health& health = *view.mHealth;
  const OthersView others = ViewOthers(aShard, aIndex);
  if (health.mEjected || others.mUsable == 0 || (others.mEjected + 1) * 3 > aShard.size()) {
    return false;
  }
  if (health.mOnProbation && health.mFailuresInARow > 0) {
    return true;
  }
  const bool worse = health.mErrorRate > kErrorFactor * others.mErrorRate;
  if (worse && (health.mFailuresInARow >= kFailuresToEject ||
                (health.mOutcomes >= kMinOutcomes && health.mErrorRate >= kBadErrorRate))) {
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
    aHealth.mErrorRate = 0;
    aHealth.mOutcomes = 0;
    aHealth.mFailuresInARow = 0;
    BeginSlowStart(aHealth, aHealth.mEjectedUntil);
  }
  if (aHealth.mWarming && aNow - aHealth.mWarmingSince >= kSlowStart) {
    aHealth.mWarming = false;
  }
}

void
BeginSlowStart(Health& aHealth, TimePoint aNow)
{
  aHealth.mWarming = true;
  aHealth.mWarmingSince = aNow;
}

double
WarmShare(const Health& aHealth, TimePoint aNow)
{
  if (!aHealth.mWarming) {
    return 1.0;
  }
  const auto age = static_cast<double>((aNow - aHealth.mWarmingSince).count());
  return std::clamp(age / static_cast<double>(kSlowStart.count()), kFirstShare, 1.0);
}

} // namespace apricotyard
