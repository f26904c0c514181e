#include "replica_choice.h"

#include <algorithm>

namespace apricotyard {

namespace {

// A remote replica must be faster than a local one by this much to be chosen.
constexpr double kLocalMarginUs = 500;
constexpr double kMinServiceUs = 50;
// Keeps the cost of a replica that always fails finite.
constexpr double kMaxFailureRate = 0.95;

double
CostUs(const Candidate& aCandidate, Duration aRemoteLink)
{
  return ExpectedCompletionUs(aCandidate, aRemoteLink) + (aCandidate.mLocal ? 0 : kLocalMarginUs);
}

// Position of the candidate with the lowest aKey. Ties are broken at random, so that the hosts do
// not all pick the same replica.
template<typename Key>
std::size_t
PickLowest(std::span<const Candidate> aCandidates, Rng& aRng, const Key& aKey)
{
  std::size_t best = 0;
  std::uint64_t ties = 1;
  for (std::size_t i = 1; i < aCandidates.size(); ++i) {
    const double key = aKey(aCandidates[i]);
    const double bestKey = aKey(aCandidates[best]);
    if (key < bestKey) {
      best = i;
      ties = 1;
    } else if (key == bestKey && aRng() % ++ties == 0) {
      best = i;
    }
  }
  return best;
}

// Compares a random local candidate with any other random one, or two random ones if none is local.
std::size_t
PowerOfTwo(std::span<const Candidate> aCandidates, Duration aRemoteLink, Rng& aRng)
{
  const std::size_t count = aCandidates.size();
  if (count == 1) {
    return 0;
  }
  std::size_t first = aRng() % count;
  for (std::size_t step = 0; step < count && !aCandidates[first].mLocal; ++step) {
    first = (first + 1) % count;
  }
  const std::size_t second = (first + 1 + aRng() % (count - 1)) % count;
  return CostUs(aCandidates[second], aRemoteLink) < CostUs(aCandidates[first], aRemoteLink) ? second
                                                                                            : first;
}

} // namespace

double
ExpectedCompletionUs(const Candidate& aCandidate, Duration aRemoteLink)
{
  const double link = aCandidate.mLocal ? 0 : static_cast<double>(aRemoteLink.count());
  const double service = std::max(kMinServiceUs, aCandidate.mLatencyUs - link);
  const double queue = static_cast<double>(aCandidate.mInFlight + 1) * service;
  return (queue / aCandidate.mSlowStartShare + link) /
         (1 - std::min(aCandidate.mFailureRate, kMaxFailureRate));
}

std::size_t
ChooseCandidate(std::span<const Candidate> aCandidates,
                ChoicePolicy aPolicy,
                Duration aRemoteLink,
                std::uint64_t& aRoundRobinCounter,
                Rng& aRng)
{
  switch (aPolicy) {
    case ChoicePolicy::RoundRobin:
      return aRoundRobinCounter++ % aCandidates.size();
    case ChoicePolicy::Random:
      return aRng() % aCandidates.size();
    case ChoicePolicy::LeastInFlight:
      return PickLowest(
        aCandidates, aRng, [](const Candidate& aCandidate) { return aCandidate.mInFlight; });
    case ChoicePolicy::Nearest:
      return PickLowest(aCandidates, aRng, [aRemoteLink](const Candidate& aCandidate) {
        constexpr double kRemotePenaltyUs = 1e12;
        return ExpectedCompletionUs(aCandidate, aRemoteLink) +
               (aCandidate.mLocal ? 0 : kRemotePenaltyUs);
      });
    case ChoicePolicy::PowerOfTwo:
      break;
  }
  return PowerOfTwo(aCandidates, aRemoteLink, aRng);
}

} // namespace apricotyard
