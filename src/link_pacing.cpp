#include "link_pacing.h"

#include <algorithm>

namespace apricotyard {

namespace {

// First pause after a failed call to a near coordinator, and the longest one. Each failure doubles
// the pause.
constexpr Duration kMinNearRetry = std::chrono::milliseconds(60);
constexpr Duration kMaxNearRetry = std::chrono::milliseconds(1000);
constexpr int kMaxDoublings = 6;
// Longest pause after a failed call to another coordinator, for each host.
constexpr Duration kFarRetryPerHost = std::chrono::milliseconds(150);
constexpr Duration kMinFarRetry = std::chrono::seconds(2);
// Part of the pause that is random, so that hosts which failed together do not return together.
// Most hosts are in other data centres, so their calls are spread over most of the pause.
constexpr double kNearJitter = 0.5;
constexpr double kFarJitter = 0.9;
// Hosts that start at the same time call the coordinators of other data centres within this time
// for each host. A small coordinator then spends a tenth of its time on their connections.
constexpr Duration kFirstCallSpreadPerHost = std::chrono::milliseconds(300);
// Once they need them, within this time.
constexpr Duration kNeededCallSpread = std::chrono::seconds(2);
// A coordinator that restarts is back within this time.
constexpr Duration kMaxUnreachable = std::chrono::seconds(2);
// A group that lost its leader has a new one within this time.
constexpr Duration kMaxOutdated = std::chrono::seconds(5);
constexpr Duration kSeedInterval = std::chrono::milliseconds(400);
constexpr Duration kSeedSpread = std::chrono::milliseconds(500);

} // namespace

Duration
RegularPause(const LinkStatus& aStatus, const LinkPauses& aPauses)
{
  if (aStatus.mPrimary) {
    return aPauses.mPrimary;
  }
  const Duration longest =
    aStatus.mPrimaryUpToDate ? aPauses.mSecondary : std::min(aPauses.mSecondary, kMaxIsolatedPause);
  return std::max(aPauses.mPrimary, longest);
}

bool
NeedsFarLinks(Duration aUnreachable, Duration aOutdated)
{
  return aUnreachable >= kMaxUnreachable || aOutdated >= kMaxOutdated;
}

Duration
NeededLinkDelay(double aRandom)
{
  return std::chrono::duration_cast<Duration>(kNeededCallSpread * aRandom);
}

Duration
RetryPause(const LinkStatus& aStatus, double aRandom)
{
  if (!aStatus.mNear) {
    const Duration longest =
      std::max(kMinFarRetry, kFarRetryPerHost * static_cast<std::int64_t>(aStatus.mHosts));
    return std::chrono::duration_cast<Duration>(longest * (1.0 - kFarJitter * aRandom));
  }
  const int doublings = std::min(aStatus.mFailures - 1, kMaxDoublings);
  const Duration pause = std::min(kMaxNearRetry, kMinNearRetry * (1 << doublings));
  return std::chrono::duration_cast<Duration>(pause * (1.0 - kNearJitter * aRandom));
}

Duration
FirstCallDelay(const LinkStatus& aStatus, double aRandom)
{
  if (aStatus.mNear) {
    return Duration::zero();
  }
  const Duration spread = kFirstCallSpreadPerHost * static_cast<std::int64_t>(aStatus.mHosts);
  return std::chrono::duration_cast<Duration>(spread * aRandom);
}

Duration
FirstSeedCallDelay(std::size_t aIndex, double aRandom)
{
  return kSeedInterval * static_cast<std::int64_t>(aIndex) +
         std::chrono::duration_cast<Duration>(kSeedSpread * aRandom);
}

bool
PostponesCall(bool aAnswered, std::size_t aOpenCalls, Duration aPostponed)
{
  return !aAnswered && aOpenCalls > 0 && aPostponed < kMaxPostponement;
}

bool
AcceptsHosts(bool aKnowsLeader, Duration aSinceStart)
{
  return aKnowsLeader || aSinceStart >= kMaxElectionWait;
}

} // namespace apricotyard
