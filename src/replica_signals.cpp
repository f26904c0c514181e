#include "replica_signals.h"

#include <algorithm>
#include <utility>

namespace apricotyard {

namespace {

void
Hold(ReplicaView& aReplica, Duration aTime, const LimitDivision& aDivision, TimePoint aNow)
{
  const Duration time = std::min(aTime, kMaxHoldTime);
  const auto prolonged =
    std::chrono::duration_cast<Duration>(time * (1.0 + kHoldSpread * aDivision.mFraction));
  // An earlier, longer wish still holds.
  if (aNow + prolonged > aReplica.mHeldUntil) {
    aReplica.mHeldUntil = aNow + prolonged;
    aReplica.mHoldCut = time < aTime;
  }
}

// The lower one of the limit that the replica names and that of its warm-up.
std::optional<double>
LimitOf(const ReplicaView& aReplica, TimePoint aNow)
{
  if (!IsWarmingUp(aReplica, aNow)) {
    return aReplica.mDeclaredLimit;
  }
  const double warmupLimit = aReplica.mWarmupRate * kWarmupUse;
  return std::min(aReplica.mDeclaredLimit.value_or(warmupLimit), warmupLimit);
}

} // namespace

SignalChange
ApplySignals(ReplicaView& aReplica,
             const UpstreamSignals& aSignals,
             const LimitDivision& aDivision,
             TimePoint aNow)
{
  SignalChange change;
  // A value that cannot be read takes nothing back.
  if (aSignals.mRequestLimit || aSignals.mUnreadable.empty()) {
    change.mLimitChanged =
      aReplica.mDeclaredLimit.has_value() != aSignals.mRequestLimit.has_value();
    aReplica.mDeclaredLimit = aSignals.mRequestLimit;
    UpdateRequestLimit(aReplica.mRequestLimit, LimitOf(aReplica, aNow), aDivision, aNow);
  }
  // A reply that was sent before the announcement may arrive after it, so it takes nothing back.
  change.mLeavingChanged = aSignals.mLeaving && !aReplica.mLeaving;
  aReplica.mLeaving |= aSignals.mLeaving;
  if (aSignals.mRetryAfter) {
    change.mHeld = aReplica.mHeldUntil <= aNow;
    Hold(aReplica, *aSignals.mRetryAfter, aDivision, aNow);
  } else if (aReplica.mHeldUntil <= aNow) {
    aReplica.mHoldCut = false;
  }
  return change;
}

bool
IsWarmingUp(const ReplicaView& aReplica, TimePoint aNow)
{
  return aReplica.mWarmupRate > 0 && aReplica.mInfo.mWarmupUntil > aNow;
}

bool
UpdateWarmup(ReplicaView& aReplica,
             double aWarmupRate,
             const LimitDivision& aDivision,
             TimePoint aNow)
{
  aReplica.mWarmupRate = aWarmupRate;
  const bool warmedUp = std::exchange(aReplica.mWarmingUp, IsWarmingUp(aReplica, aNow));
  if (warmedUp || aReplica.mWarmingUp) {
    UpdateRequestLimit(aReplica.mRequestLimit, LimitOf(aReplica, aNow), aDivision, aNow);
  }
  return warmedUp != aReplica.mWarmingUp;
}

bool
IsUsable(const ReplicaView& aReplica)
{
  return aReplica.mInfo.mState == UpstreamState::Ready && !aReplica.mMisplaced &&
         !aReplica.mLeaving && !aReplica.mEvacuated;
}

bool
TakesRequest(const ReplicaView& aReplica, TimePoint aNow)
{
  const bool held =
    aReplica.mHeldUntil > aNow || (aReplica.mHoldCut && !aReplica.mInFlightSince.empty());
  return IsUsable(aReplica) && !held && !aReplica.mIsolated &&
         AllowsRequest(aReplica.mRequestLimit, aNow);
}

TimePoint
TakesRequestAt(std::span<ReplicaView* const> aReplicas, std::size_t aAhead, TimePoint aNow)
{
  std::vector<const RequestLimit*> limits;
  TimePoint heldUntil = TimePoint::max();
  for (const ReplicaView* const replica : aReplicas) {
    if (!IsUsable(*replica)) {
      continue;
    }
    if (replica->mHeldUntil > aNow) {
      heldUntil = std::min(heldUntil, replica->mHeldUntil);
    } else {
      limits.push_back(&replica->mRequestLimit);
    }
  }
  if (!limits.empty()) {
    return std::min(NextRequestAt(limits, aAhead, aNow), heldUntil);
  }
  return heldUntil == TimePoint::max() ? aNow : heldUntil;
}

} // namespace apricotyard
