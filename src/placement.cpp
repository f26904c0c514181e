#include "placement.h"

#include "replica_signals.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace apricotyard {

namespace {

// Penalties for replicas that are probably paused or are avoided. They exceed any latency, so that
// such replicas are the last resort.
constexpr double kPausedPenaltyUs = 1e7;
constexpr double kAvoidedPenaltyUs = 1e8;
// Random share of the typical latency that is added to each cost, so that gateways do not all
// choose the same one of equal replicas.
constexpr double kJitter = 0.25;
// The same for remote replicas when connections are scarce. Exceeds random differences in latency,
// so that each gateway keeps its preferred replica.
constexpr double kAffinityWeight = 1.0;
// Latencies of a replica are stored relative to the typical one, which is scaled to this value,
// because one replica serves several kinds of request.
constexpr double kReferenceUs = 10'000;
// Samples are capped at this multiple of the typical latency. This limits the effect of a single
// pause, after which the replica is as fast as before, and still exposes a replica that is always
// slow.
constexpr double kMaxLatencyRatio = 3.0;
// Weight of a new result in the failure rate, which averages over about seven results.
constexpr double kFailureRateSmoothing = 0.15;
// Half-life of the failure rate without new results, so that a recovered replica is tried again.
constexpr Duration kFailureHalfLife = std::chrono::seconds(2);
// Cost of a failed request in typical latencies: the failed round trip and another send.
constexpr double kRetryCostFactor = 2.0;
// Keeps the cost of an always failing replica finite.
constexpr double kMinSuccessRate = 0.05;

// Share of the typical latency that breaks ties between replicas: random, or a fixed preference per
// gateway if connections are scarce.
double
TieBreakFraction(const ReplicaView& aReplica, const PlacementLimits& aLimits, Rng& aRng)
{
  if (!aLimits.mConnectionsScarce) {
    return kJitter * std::uniform_real_distribution<double>(0.0, 1.0)(aRng);
  }
  const bool local = aReplica.mInfo.mDataCentre == aLimits.mDataCentre;
  return (local ? kJitter : kAffinityWeight) * HashToFraction(aLimits.mHost, aReplica.mInfo.mId);
}

double
CostUs(const ReplicaView& aReplica,
       const PlacementLimits& aLimits,
       Duration aTypicalLatency,
       TimePoint aNow,
       Rng& aRng)
{
  const auto typicalUs = static_cast<double>(std::max<std::int64_t>(aTypicalLatency.count(), 1));
  const double latency =
    ExpectedLatencyUs(aReplica.mLatency, kReferenceUs, aNow) / kReferenceUs * typicalUs;
  // A request waits for those queued ahead of it, which the replica's slots serve in parallel.
  const double slots = std::max<std::uint32_t>(aReplica.mInfo.mSlots, 1);
  const double queueDepth = static_cast<double>(aReplica.mInFlightSince.size()) / slots;
  double cost = latency * (1.0 + queueDepth);
  cost += typicalUs * TieBreakFraction(aReplica, aLimits, aRng);
  const double failureRate = ExpectedFailureRate(aReplica, aNow);
  cost += kRetryCostFactor * typicalUs * failureRate / (1.0 - failureRate + kMinSuccessRate);
  if (aReplica.mInfo.mDataCentre != aLimits.mDataCentre) {
    cost += static_cast<double>(aLimits.mRemoteCost.count()) + aLimits.mRemoteCostShare * typicalUs;
  }
  if (!aReplica.mConnected) {
    cost += static_cast<double>(aLimits.mConnectCost.count());
  }
  if (IsLikelyPaused(aReplica, aTypicalLatency, aNow)) {
    cost += kPausedPenaltyUs;
  }
  if (aReplica.mAvoidUntil > aNow) {
    cost += kAvoidedPenaltyUs;
  }
  return cost;
}

void
RecordResult(ReplicaView& aReplica, bool aFailed, TimePoint aNow)
{
  const double failureRate = ExpectedFailureRate(aReplica, aNow);
  aReplica.mFailureRate =
    failureRate + kFailureRateSmoothing * ((aFailed ? 1.0 : 0.0) - failureRate);
  aReplica.mLastResultAt = aNow;
}

} // namespace

ConnectionQuota
AllocateConnections(std::uint32_t aMaxConnections,
                    std::size_t aGatewayCount,
                    std::size_t aDataCentreCount)
{
  const double usable = aMaxConnections * kUsableConnectionShare;
  const double share = usable / static_cast<double>(std::max<std::size_t>(aGatewayCount, 1));
  if (share >= 1.0) {
    const auto quota = static_cast<std::size_t>(share);
    return { quota, quota, false };
  }
  const double gatewaysPerDataCentre =
    static_cast<double>(aGatewayCount) /
    static_cast<double>(std::max<std::size_t>(aDataCentreCount, 1));
  return { usable >= gatewaysPerDataCentre ? std::size_t{ 2 } : std::size_t{ 1 }, 1, true };
}

double
HashToFraction(std::string_view aHost, std::string_view aResource)
{
  std::string pair(aHost);
  pair.append("/").append(aResource);
  const auto hash = static_cast<double>(XXH3_64bits(pair.data(), pair.size()) >> 11U);
  return hash / static_cast<double>(std::uint64_t{ 1 } << 53U);
}

std::size_t
IdleConnectionQuota(std::uint32_t aMaxConnections,
                    std::size_t aReplicaCount,
                    std::size_t aGatewayCount,
                    double aRoundingOffset)
{
  const double share = aMaxConnections * kIdleConnectionShare * static_cast<double>(aReplicaCount) /
                       static_cast<double>(std::max<std::size_t>(aGatewayCount, 1));
  return std::max<std::size_t>(1, static_cast<std::size_t>(share + aRoundingOffset));
}

double
ExpectedFailureRate(const ReplicaView& aReplica, TimePoint aNow)
{
  const double idle = std::chrono::duration<double>(aNow - aReplica.mLastResultAt) /
                      std::chrono::duration<double>(kFailureHalfLife);
  return aReplica.mFailureRate * std::exp2(-std::max(idle, 0.0));
}

bool
IsLikelyPaused(const ReplicaView& aReplica, Duration aTypicalLatency, TimePoint aNow)
{
  if (aReplica.mInFlightSince.empty()) {
    return false;
  }
  const Duration limit =
    std::max(kMinPause, std::chrono::duration_cast<Duration>(aTypicalLatency * kPauseFactor));
  return *aReplica.mInFlightSince.begin() + limit < aNow;
}

ReplicaView*
ChooseReplica(std::span<ReplicaView* const> aReplicas,
              const std::set<std::string>& aExcluded,
              const PlacementLimits& aLimits,
              Duration aTypicalLatency,
              TimePoint aNow,
              Rng& aRng)
{
  ReplicaView* best = nullptr;
  double bestCost = 0;
  for (ReplicaView* const replica : aReplicas) {
    const std::size_t limit = replica->mInfo.mDataCentre == aLimits.mDataCentre
                                ? aLimits.mMaxInFlight
                                : aLimits.mMaxInFlightRemote;
    if (!TakesRequest(*replica, aNow) || aExcluded.contains(replica->mInfo.mId) ||
        replica->mInFlightSince.size() >= limit ||
        (aLimits.mSpareLimited && replica->mRequestLimit.mTotal) ||
        (!aLimits.mOnlyDataCentres.empty() &&
         std::find(aLimits.mOnlyDataCentres.begin(),
                   aLimits.mOnlyDataCentres.end(),
                   replica->mInfo.mDataCentre) == aLimits.mOnlyDataCentres.end())) {
      continue;
    }
    const double cost = CostUs(*replica, aLimits, aTypicalLatency, aNow, aRng);
    if (best == nullptr || cost < bestCost) {
      best = replica;
      bestCost = cost;
    }
  }
  return best;
}

void
RecordSuccess(ReplicaView& aReplica, Duration aLatency, Duration aTypicalLatency, TimePoint aNow)
{
  aReplica.mConsecutiveFailures = 0;
  aReplica.mAvoidUntil = {};
  RecordResult(aReplica, false, aNow);
  const double typicalUs = static_cast<double>(std::max<std::int64_t>(aTypicalLatency.count(), 1));
  const double ratio =
    std::min(kMaxLatencyRatio, static_cast<double>(aLatency.count()) / typicalUs);
  const double scaled = ratio * kReferenceUs;
  RecordReplicaLatency(aReplica.mLatency, Duration(std::llround(scaled)), aNow);
}

void
RecordFailure(ReplicaView& aReplica, TimePoint aNow)
{
  constexpr std::uint32_t kMaxDoublings = 8;
  const std::uint32_t doublings = std::min(aReplica.mConsecutiveFailures, kMaxDoublings);
  const Duration avoid = std::min(kMaxAvoidTime, kMinAvoidTime * (1 << doublings));
  ++aReplica.mConsecutiveFailures;
  RecordResult(aReplica, true, aNow);
  aReplica.mAvoidUntil = std::max(aReplica.mAvoidUntil, aNow + avoid);
}

} // namespace apricotyard
