// Chooses the replica that gets a sub-request. Pure.
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
  // The caller's own number of the replica.
  std::size_t mIndex = 0;
  std::uint32_t mInFlight = 0;
  double mLatencyUs = 0;
  bool mLocal = true;
  // Expected share of failures, from 0 to 1.
  double mErrorRate = 0;
  // Share of its slots that the replica may use during a slow start, above 0.
  double mWarmShare = 1;
};

// (in-flight + 1) x latency without the link + link, in microseconds, raised for a replica that
// fails or warms up. aRemoteLink is the round trip to another data centre.
double
ExpectedCompletionUs(const Candidate& aCandidate, Duration aRemoteLink);

// The position of the chosen candidate. aTurn is the state of RoundRobin. Precondition: aCandidates
// is not empty.
std::size_t
ChooseCandidate(std::span<const Candidate> aCandidates,
                ChoicePolicy aPolicy,
                Duration aRemoteLink,
                std::uint64_t& aTurn,
                Rng& aRng);

} // namespace apricotyard

#endif
