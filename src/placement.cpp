#include "placement.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace apricotyard {

namespace {

// Penalty in microseconds for a replica that seems to pause or is avoided: more than any latency,
// so that it is the last resort.
constexpr double kPausedPenaltyUs = 1e7;
constexpr double kAvoidedPenaltyUs = 1e8;
// Share of the expected latency by which equal replicas are told apart at random, so that gateways
// do not all choose the same one.
constexpr double kJitter = 0.25;
// The same when connections are scarce; above the differences that chance makes in the latencies.
constexpr double kPreference = 1.0;
// Latencies of a replica are kept as multiples of the usual one, scaled to this, because one
// replica serves several kinds of request.
constexpr double kReferenceUs = 10'000;
// A sample counts as at most this many times the usual latency. A replica that paused once is as
// fast as before after the pause; one that is slow throughout still shows.
constexpr double kMaxMultiple = 3.0;
// Weight of a new result in the share of failures: about the last seven count.
constexpr double kFailureStep = 0.15;
// The share halves in this time without a result, so that a replica that recovered is tried again.
constexpr Duration kFailureHalfLife = std::chrono::seconds(2);
// A failed request costs a further send after the way there and back.
constexpr double kRepeatCost = 2.0;
// Keeps the cost of a replica that always fails finite.
constexpr double kLeastSuccess = 0.05;

// What tells replicas of equal cost apart: chance, or the same preference each time if connections
// are scarce.
double
SpreadOf(const ReplicaView& aReplica, const PlacementLimits& aLimits, Rng& aRng)
{
  if (!aLimits.mScarce) {
    return kJitter * std::uniform_real_distribution<double>(0.0, 1.0)(aRng);
  }
  const bool local = aReplica.mInfo.mDataCentre == aLimits.mDataCentre;
  return (local ? kJitter : kPreference) * PairFraction(aLimits.mHost, aReplica.mInfo.mId);
}

double
CostUs(const ReplicaView& aReplica,
       const PlacementLimits& aLimits,
       Duration aUsual,
       TimePoint aNow,
       Rng& aRng)
{
  const auto usual = static_cast<double>(std::max<std::int64_t>(aUsual.count(), 1));
  const double latency =
    ExpectedLatencyUs(aReplica.mLatency, kReferenceUs, aNow) / kReferenceUs * usual;
  // A request that waits for a slot takes as long as those before it; a replica's slots work at the
  // same time.
  const double slots = std::max<std::uint32_t>(aReplica.mInfo.mSlots, 1);
  const double waiting = static_cast<double>(aReplica.mRunning.size()) / slots;
  double cost = latency * (1.0 + waiting);
  cost += usual * SpreadOf(aReplica, aLimits, aRng);
  const double failures = ExpectedFailures(aReplica, aNow);
  cost += kRepeatCost * usual * failures / (1.0 - failures + kLeastSuccess);
  if (aReplica.mInfo.mDataCentre != aLimits.mDataCentre) {
    cost += static_cast<double>(aLimits.mRemoteCost.count());
  }
  if (!aReplica.mConnected) {
    cost += static_cast<double>(aLimits.mConnectCost.count());
  }
  if (SeemsPaused(aReplica, aUsual, aNow)) {
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
  const double share = ExpectedFailures(aReplica, aNow);
  aReplica.mFailureShare = share + kFailureStep * ((aFailed ? 1.0 : 0.0) - share);
  aReplica.mJudgedAt = aNow;
}

} // namespace

ConnectionAllotment
AllotConnections(std::uint32_t aMaxConnections, std::size_t aGateways, std::size_t aDataCentres)
{
  const double usable = aMaxConnections * kConnectionUse;
  const double share = usable / static_cast<double>(std::max<std::size_t>(aGateways, 1));
  if (share >= 1.0) {
    const auto whole = static_cast<std::size_t>(share);
    return { whole, whole, false };
  }
  const double near =
    static_cast<double>(aGateways) / static_cast<double>(std::max<std::size_t>(aDataCentres, 1));
  return { usable >= near ? std::size_t{ 2 } : std::size_t{ 1 }, 1, true };
}

double
PairFraction(std::string_view aHost, std::string_view aOther)
{
  std::string pair(aHost);
  pair.append("/").append(aOther);
  const auto hash = static_cast<double>(XXH3_64bits(pair.data(), pair.size()) >> 11U);
  return hash / static_cast<double>(std::uint64_t{ 1 } << 53U);
}

std::size_t
PooledConnections(std::uint32_t aMaxConnections,
                  std::size_t aReplicas,
                  std::size_t aGateways,
                  double aRounding)
{
  const double share = aMaxConnections * kPoolUse * static_cast<double>(aReplicas) /
                       static_cast<double>(std::max<std::size_t>(aGateways, 1));
  return std::max<std::size_t>(1, static_cast<std::size_t>(share + aRounding));
}

double
ExpectedFailures(const ReplicaView& aReplica, TimePoint aNow)
{
  const double idle = std::chrono::duration<double>(aNow - aReplica.mJudgedAt) /
                      std::chrono::duration<double>(kFailureHalfLife);
  return aReplica.mFailureShare * std::exp2(-std::max(idle, 0.0));
}

bool
SeemsPaused(const ReplicaView& aReplica, Duration aUsual, TimePoint aNow)
{
  if (aReplica.mRunning.empty()) {
    return false;
  }
  const Duration limit =
    std::max(kMinPause, std::chrono::duration_cast<Duration>(aUsual * kPauseFactor));
  return *aReplica.mRunning.begin() + limit < aNow;
}

ReplicaView*
ChooseReplica(std::span<ReplicaView* const> aReplicas,
              const std::set<std::string>& aTried,
              const PlacementLimits& aLimits,
              Duration aUsual,
              TimePoint aNow,
              Rng& aRng)
{
  ReplicaView* best = nullptr;
  double bestCost = 0;
  for (ReplicaView* const replica : aReplicas) {
    const std::size_t room = replica->mInfo.mDataCentre == aLimits.mDataCentre
                               ? aLimits.mMaxRunning
                               : aLimits.mMaxRunningRemote;
    if (replica->mInfo.mState != UpstreamState::Ready || replica->mMisplaced ||
        aTried.contains(replica->mInfo.mId) || replica->mRunning.size() >= room) {
      continue;
    }
    const double cost = CostUs(*replica, aLimits, aUsual, aNow, aRng);
    if (best == nullptr || cost < bestCost) {
      best = replica;
      bestCost = cost;
    }
  }
  return best;
}

void
RecordSuccess(ReplicaView& aReplica, Duration aLatency, Duration aUsual, TimePoint aNow)
{
  aReplica.mFailuresInARow = 0;
  aReplica.mAvoidUntil = {};
  RecordResult(aReplica, false, aNow);
  const double usual = static_cast<double>(std::max<std::int64_t>(aUsual.count(), 1));
  const double multiple = std::min(kMaxMultiple, static_cast<double>(aLatency.count()) / usual);
  const double scaled = multiple * kReferenceUs;
  RecordReplicaLatency(aReplica.mLatency, Duration(std::llround(scaled)), aNow);
}

void
RecordFailure(ReplicaView& aReplica, TimePoint aNow)
{
  constexpr std::uint32_t kMaxDoublings = 8;
  const std::uint32_t doublings = std::min(aReplica.mFailuresInARow, kMaxDoublings);
  const Duration avoid = std::min(kLongestAvoid, kFirstAvoid * (1 << doublings));
  ++aReplica.mFailuresInARow;
  RecordResult(aReplica, true, aNow);
  aReplica.mAvoidUntil = std::max(aReplica.mAvoidUntil, aNow + avoid);
}

} // namespace apricotyard
