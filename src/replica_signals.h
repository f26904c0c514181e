// Applies what a replica says about itself to this gateway's view of it. Functions without I/O. The
// view belongs to one incarnation of the replica, so a restarted one begins without any of it.
#ifndef APRICOTYARD_REPLICA_SIGNALS_H
#define APRICOTYARD_REPLICA_SIGNALS_H

#include "placement.h"
#include "upstream_signals.h"

namespace apricotyard {

// Longest time for which a replica is left alone at its own wish. After it, one request at a time
// is sent, so that a mistaken value does not take the replica out of use for good.
inline constexpr Duration kMaxHoldTime = std::chrono::seconds(60);
// Part of the time by which it is prolonged at random, so that gateways do not return together.
inline constexpr double kHoldSpread = 0.2;

struct SignalChange
{
  bool mLimitChanged = false;
  bool mLeavingChanged = false;
  bool mHeld = false;
};

// Returns what was new. aNow must not decrease for one view.
SignalChange
ApplySignals(ReplicaView& aReplica,
             const UpstreamSignals& aSignals,
             const LimitDivision& aDivision,
             TimePoint aNow);

// Part of the rate of the document that is used during a warm-up. Shares of one to two requests per
// second and gateway allow bursts of one request at each gateway; with this part they stay within
// 1.5 times the rate. See docs/design/evacuation.md.
inline constexpr double kWarmupUse = 0.75;

// Whether the replica gets fewer requests because it warms up.
bool
IsWarmingUp(const ReplicaView& aReplica, TimePoint aNow);

// Applies the end of the warm-up in the announcement and the rate that the document allows during
// it. Must be called after a change of either of them or of aDivision, and when the warm-up ends.
// Returns whether the replica began or ceased to get fewer requests. aNow must not decrease for one
// view.
bool
UpdateWarmup(ReplicaView& aReplica,
             double aWarmupRate,
             const LimitDivision& aDivision,
             TimePoint aNow);

// Whether the replica may get requests now or later, as far as its own words, its record and the
// operator's evacuations tell.
bool
IsUsable(const ReplicaView& aReplica);

// Whether the replica's own words allow a request now, and none is in flight that must be alone.
bool
TakesRequest(const ReplicaView& aReplica, TimePoint aNow);

// When the replicas that are usable take the request that follows aAhead others, as far as their
// own words tell; aNow if there is none.
TimePoint
TakesRequestAt(std::span<ReplicaView* const> aReplicas, std::size_t aAhead, TimePoint aNow);

} // namespace apricotyard

#endif
