// Decides whether this gateway is cut off from all replicas, as opposed to a failure of some of
// them. Pure functions over a plain struct; not thread-safe.
//
// Silence of several replicas raises the suspicion, and new connections decide: a replica that is
// slow or full still accepts one, and after a crash of one service those of the others do.
#ifndef APRICOTYARD_REACHABILITY_H
#define APRICOTYARD_REACHABILITY_H

#include "types.h"

#include <set>
#include <string>

namespace apricotyard {

// Silence after which connections are checked. Longer than the pauses of a replica.
inline constexpr Duration kSuspiciousSilence = std::chrono::milliseconds(300);
// Replicas that must have been silent, or all if fewer are known: one request may be slow, and it
// is sent to a second replica long before kSuspiciousSilence.
inline constexpr std::size_t kSuspiciousReplicas = 2;
// Replicas to which one check opens connections.
inline constexpr std::size_t kCheckedReplicas = 5;
// Time limit of a check. A handshake takes tens of milliseconds.
inline constexpr Duration kReachabilityTimeout = std::chrono::milliseconds(400);
// Pause between two checks while no replica is reachable, and its random prolongation. It bounds
// the connections that gateways open at the same time when a partition ends.
inline constexpr Duration kRecheckPause = std::chrono::milliseconds(250);
inline constexpr Duration kRecheckSpread = std::chrono::milliseconds(250);
// Time for which replicas must be reachable until callers are sent to this gateway again. Doubles
// if the gateway is cut off again soon, up to the maximum.
inline constexpr Duration kMinStableTime = std::chrono::seconds(1);
inline constexpr Duration kMaxStableTime = std::chrono::seconds(16);

struct Reachability
{
  // No replica can be reached.
  bool mCutOff = false;
  // Replicas to which requests were sent since one replied, and the first such time.
  std::set<std::string> mSilent;
  TimePoint mSilentSince;
  // Connections of the latest check that are still being opened, and its number.
  std::size_t mPendingChecks = 0;
  std::uint64_t mCheckNumber = 0;
  TimePoint mNextCheckAt;
  // When replicas became reachable again, and how long that must last.
  TimePoint mReturnedAt = TimePoint::min();
  Duration mStableTime = kMinStableTime;
};

void
RecordSend(Reachability& aState, const std::string& aReplica, TimePoint aNow);

// A replica replied or accepted a connection. Returns true if the gateway was cut off until now.
bool
RecordReached(Reachability& aState, TimePoint aNow);

// Whether to check connections now. aKnown is the number of replicas that may be used.
bool
NeedsCheck(const Reachability& aState, std::size_t aKnown, TimePoint aNow);

// Starts a check of aConnections connections and returns its number. Precondition: NeedsCheck.
std::uint64_t
BeginCheck(Reachability& aState, std::size_t aConnections);

// One connection of the check aCheck was not accepted. aSpread is a random number in [0, 1).
// Returns true if that was the last one and the gateway is cut off from now on.
bool
RecordUnreached(Reachability& aState, std::uint64_t aCheck, double aSpread, TimePoint aNow);

// Whether callers should be sent to other gateways.
bool
ShouldAvoidCallers(const Reachability& aState, TimePoint aNow);

} // namespace apricotyard

#endif
