// Chooses the replica that gets a sub-request. Pure functions apart from the state that callers
// pass in.
#ifndef APRICOTYARD_REPLICA_CHOICE_H
#define APRICOTYARD_REPLICA_CHOICE_H

#include "types.h"

#include <span>

namespace apricotyard {

enum class ChoicePolicy : std::uint8_t
{
  PowerOfTwo, // the better of two random replicas by expected completion
  RoundRobin,
  Random,
  LeastInFlight,
  Nearest, // the local data centre first, then the lowest expected completion
};

// A usable replica with a free slot.
struct Candidate
{
  // Index of the replica in the caller's list; not used here.
  std::size_t mIndex = 0;
  std::uint32_t mInFlight = 0;
  double mLatencyUs = 0;
  bool mLocal = true;
  // Expected failure rate, from 0 to 1.
  double mFailureRate = 0;
  // Share of its slots that the replica may use during a slow start; above 0, at most 1.
  double mSlowStartShare = 1;
};

// Expected completion time in microseconds: (in-flight + 1) * (latency - link) / slow-start
// share + link, divided by the success rate. The link time is aRemoteLink, the round trip to
// another data centre, or 0 for a local replica.
double
ExpectedCompletionUs(const Candidate& aCandidate, Duration aRemoteLink);

// Returns the position of the chosen candidate. aRoundRobinCounter is the state of RoundRobin.
// Precondition: aCandidates is not empty.
std::size_t
ChooseCandidate(std::span<const Candidate> aCandidates,
                ChoicePolicy aPolicy,
                Duration aRemoteLink,
                std::uint64_t& aRoundRobinCounter,
                Rng& aRng);

} // namespace apricotyard

#endif
