#include "link_pacing.h"

#include <algorithm>

namespace apricotyard {

namespace {

// The pauses of gateways grow with their number, so that they keep no more of a small coordinator's
// processor than it has. A call takes about 0.2 ms of it. With pauses of at most 1 s, 1 s and 4 s,
// 300 gateways kept 5 coordinators of 0.15 of a core at 91 % of it, and no document was accepted.
struct PauseRange
{
  Duration mPerGateway;
  Duration mShortest;
  Duration mLongest;
};
// Pause of few active gateways for coordinators other than the primary.
constexpr PauseRange kFewGateways{ std::chrono::milliseconds(25),
                                   kFleetSyncPause,
                                   std::chrono::milliseconds(1000) };
// The same for many.
constexpr PauseRange kManyGateways{ std::chrono::milliseconds(7), {}, std::chrono::seconds(4) };
// Pauses of the other gateways. They are long enough that such gateways cost little, and short
// enough that one becomes active soon after callers need it.
constexpr PauseRange kInactivePrimary{ std::chrono::milliseconds(5),
                                       std::chrono::seconds(1),
                                       std::chrono::seconds(3) };
constexpr PauseRange kInactiveSecondary{ std::chrono::milliseconds(20),
                                         std::chrono::seconds(4),
                                         std::chrono::seconds(12) };
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
// Time in which a coordinator with 0.15 of a core accepts the connection of one host.
constexpr Duration kAcceptTime = std::chrono::milliseconds(30);
constexpr Duration kMinConnectTimeout = std::chrono::milliseconds(2500);
constexpr Duration kMinReplacementTime = std::chrono::milliseconds(1400);
// Bounds both, so that a host finds a coordinator soon after the network between them is back.
constexpr Duration kMaxBusyTime = std::chrono::seconds(8);
constexpr Duration kSeedInterval = std::chrono::milliseconds(400);
constexpr Duration kSeedSpread = std::chrono::milliseconds(500);

Duration
PauseOf(const PauseRange& aRange, std::size_t aGateways)
{
  return std::clamp(
    aRange.mPerGateway * static_cast<std::int64_t>(aGateways), aRange.mShortest, aRange.mLongest);
}

// Returns the time in which a coordinator accepts the connections of all hosts.
Duration
BusyTime(std::size_t aHosts)
{
  if (aHosts == kUnknownHosts) {
    return kMaxBusyTime;
  }
  return std::min(kMaxBusyTime, kAcceptTime * static_cast<std::int64_t>(aHosts));
}

} // namespace

Duration
ConnectTimeout(std::size_t aHosts)
{
  return std::max(kMinConnectTimeout, BusyTime(aHosts));
}

Duration
ReplacementTime(std::size_t aHosts)
{
  return std::max(kMinReplacementTime, BusyTime(aHosts));
}

LinkPauses
GatewayPauses(bool aActive, std::size_t aGateways)
{
  if (aActive) {
    return { kFleetSyncPause,
             std::max(PauseOf(kFewGateways, aGateways), PauseOf(kManyGateways, aGateways)) };
  }
  return { PauseOf(kInactivePrimary, aGateways), PauseOf(kInactiveSecondary, aGateways) };
}

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
  const std::size_t hosts = std::max(std::size_t{ 1 }, aStatus.mHosts);
  const Duration spread = kFirstCallSpreadPerHost * static_cast<std::int64_t>(hosts);
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
