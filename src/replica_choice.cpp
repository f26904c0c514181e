#include "replica_choice.h"

#include <algorithm>

namespace apricotyard {

namespace {

// A remote replica must be better by this much.
constexpr double kLocalMarginUs = 500;
constexpr double kMinServiceUs = 50;
// Keeps the cost of a replica that always fails finite.
constexpr double kMaxErrorRate = 0.95;

double
Cost(const Candidate& aCandidate, Duration aRemoteLink)
{
  return ExpectedCompletionUs(aCandidate, aRemoteLink) + (aCandidate.mLocal ? 0 : kLocalMarginUs);
}

// The lowest value of aKey; a random one of equals, so that many hosts do not all pick the same.
template<typename Key>
std::size_t
Lowest(std::span<const Candidate> aCandidates, Rng& aRng, const Key& aKey)
{
  std::size_t best = 0;
  std::uint64_t equals = 1;
  for (std::size_t i = 1; i < aCandidates.size(); ++i) {
    const double key = aKey(aCandidates[i]);
    const double bestKey = aKey(aCandidates[best]);
    if (key < bestKey) {
      best = i;
      equals = 1;
    } else if (key == bestKey && aRng() % ++equals == 0) {
      best = i;
    }
  }
  return best;
}

// A random local candidate against a random other one; two random ones if none is local.
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
  return Cost(aCandidates[second], aRemoteLink) < Cost(aCandidates[first], aRemoteLink) ? second
                                                                                        : first;
}

} // namespace

double
ExpectedCompletionUs(const Candidate& aCandidate, Duration aRemoteLink)
{
  const double link = aCandidate.mLocal ? 0 : static_cast<double>(aRemoteLink.count());
  const double service = std::max(kMinServiceUs, aCandidate.mLatencyUs - link);
  const double queue = static_cast<double>(aCandidate.mInFlight + 1) * service;
  return (queue / aCandidate.mWarmShare + link) /
         (1 - std::min(aCandidate.mErrorRate, kMaxErrorRate));
}

std::size_t
ChooseCandidate(std::span<const Candidate> aCandidates,
                ChoicePolicy aPolicy,
                Duration aRemoteLink,
                std::uint64_t& aTurn,
                Rng& aRng)
{
  switch (aPolicy) {
    case ChoicePolicy::RoundRobin:
      return aTurn++ % aCandidates.size();
    case ChoicePolicy::Random:
      return aRng() % aCandidates.size();
    case ChoicePolicy::LeastInFlight:
      return Lowest(aCandidates, aRng, [](const Candidate& aOne) { return aOne.mInFlight; });
    case ChoicePolicy::Nearest:
      return Lowest(aCandidates, aRng, [aRemoteLink](const Candidate& aOne) {
        constexpr double kFarUs = 1e12;
        return ExpectedCompletionUs(aOne, aRemoteLink) + (aOne.mLocal ? 0 : kFarUs);
      });
    case ChoicePolicy::PowerOfTwo:
      break;
  }
  return PowerOfTwo(aCandidates, aRemoteLink, aRng);
}

} // namespace apricotyard
