#include "link_pacing.h"

#include <algorithm>

namespace apricotyard {

namespace {

// The pauses of gateways grow with their number, which limits the processor time that their calls
// take on a coordinator, about 0.2 ms each. With pauses of at most 1 s (active, secondary) and 1 s
// (inactive, primary), 300 gateways used 91% of 5 coordinators with 0.15 of a core each, and no
// document was accepted.
struct PauseRange
{
  Duration mPerGateway;
  Duration mShortest;
  Duration mLongest;
};
// Pause of active gateways for coordinators other than the primary. The larger one of the two
// applies; they meet at 143 gateways.
constexpr PauseRange kActiveSecondary{ std::chrono::milliseconds(25),
                                       kFleetSyncPause,
                                       std::chrono::milliseconds(1000) };
constexpr PauseRange kActiveSecondaryOfMany{ std::chrono::milliseconds(7),
                                             {},
                                             std::chrono::seconds(4) };
// Pauses of inactive gateways. They are long enough that such gateways cost little, and short
// enough that one becomes active soon after callers need it. The primary's pause, kReadInterval and
// kLeaseMargin fit into kMinRevocationLimit, and the other one into the window of quotas, after
// whose end a report of shares comes too late.
constexpr PauseRange kInactivePrimary{ std::chrono::milliseconds(5),
                                       std::chrono::seconds(1),
                                       std::chrono::milliseconds(1400) };
constexpr Duration kInactiveSecondary = std::chrono::seconds(4);
constexpr PauseRange kIsolated{ std::chrono::milliseconds(7),
                                std::chrono::seconds(1),
                                std::chrono::seconds(4) };
constexpr Duration kMinCoordinatorSilence = std::chrono::seconds(2);
// Retry pause and round trip after a lost call.
constexpr Duration kRetryTime = std::chrono::milliseconds(200);
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
// Two failed calls.
constexpr Duration kMinReplacementTime = 2 * kCallTimeout;
// Upper limit of both times. Where the network drops the first packet of a connection, it is sent
// again after 1 s and 3 s, and after 4 s more the host had better open a new one.
constexpr Duration kMaxAcceptAllTime = std::chrono::seconds(4);
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
AcceptAllTime(std::size_t aHosts)
{
  if (aHosts == kUnknownHosts) {
    return kMaxAcceptAllTime;
  }
  return std::min(kMaxAcceptAllTime, kAcceptTime * static_cast<std::int64_t>(aHosts));
}

} // namespace

Duration
ConnectTimeout(std::size_t aHosts)
{
  return std::max(kMinConnectTimeout, AcceptAllTime(aHosts));
}

Duration
ReplacementTime(std::size_t aHosts)
{
  return std::max(kMinReplacementTime, AcceptAllTime(aHosts));
}

LinkPauses
GatewayPauses(bool aActive, std::size_t aGateways)
{
  const Duration isolated = PauseOf(kIsolated, aGateways);
  if (aActive) {
    const Duration secondary =
      std::max(PauseOf(kActiveSecondary, aGateways), PauseOf(kActiveSecondaryOfMany, aGateways));
    return { kFleetSyncPause, secondary, isolated };
  }
  return { PauseOf(kInactivePrimary, aGateways), kInactiveSecondary, isolated };
}

Duration
CoordinatorSilence(const LinkPauses& aPauses)
{
  return std::max(kMinCoordinatorSilence, aPauses.mPrimary + kCallTimeout + kRetryTime);
}

std::size_t
UpdateHostCount(HostCount& aCount, std::size_t aReported, TimePoint aNow)
{
  if (aReported >= aCount.mHosts || aCount.mReportedAt + kHostCountLifetime <= aNow) {
    aCount = { aReported, aNow };
  }
  return aCount.mHosts;
}

Duration
RegularPause(const LinkStatus& aStatus, const LinkPauses& aPauses)
{
  if (aStatus.mPrimary) {
    return aPauses.mPrimary;
  }
  const Duration longest =
    aStatus.mPrimaryUpToDate ? aPauses.mSecondary : std::min(aPauses.mSecondary, aPauses.mIsolated);
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
