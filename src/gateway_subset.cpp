#include "gateway_subset.h"

#include <algorithm>
#include <cmath>

namespace apricotyard {

namespace {

// A data centre holds data if it has at least this share of the replicas of the largest one.
constexpr double kMinReplicaShare = 0.5;
// Floating-point error can put a multiple of the target load slightly above it.
constexpr double kRoundingTolerance = 1e-9;

// Orders gateways by data centre, and within it the same way on all coordinators.
std::map<std::string, std::vector<const GatewayCandidate*>>
GroupByDataCentre(std::span<const GatewayCandidate> aCandidates)
{
  std::map<std::string, std::vector<const GatewayCandidate*>> groups;
  for (const GatewayCandidate& candidate : aCandidates) {
    groups[candidate.mDataCentre].push_back(&candidate);
  }
  for (auto& [dataCentre, group] : groups) {
    std::sort(group.begin(), group.end(), [](const auto* aLeft, const auto* aRight) {
      return aLeft->mIp < aRight->mIp;
    });
  }
  return groups;
}

std::set<std::string>
FindDataCentresWithoutReplicas(
  const std::map<std::string, std::vector<const GatewayCandidate*>>& aGroups,
  const std::map<std::string, std::size_t>& aReplicas)
{
  std::size_t largest = 0;
  for (const auto& [dataCentre, group] : aGroups) {
    if (const auto count = aReplicas.find(dataCentre); count != aReplicas.end()) {
      largest = std::max(largest, count->second);
    }
  }
  std::set<std::string> without;
  for (const auto& [dataCentre, group] : aGroups) {
    const auto count = aReplicas.find(dataCentre);
    const std::size_t replicas = count == aReplicas.end() ? 0 : count->second;
    if (static_cast<double>(replicas) < kMinReplicaShare * static_cast<double>(largest)) {
      without.insert(dataCentre);
    }
  }
  return without;
}

// Returns the load to assume for a data centre while the real one may be unknown.
double
InitialLoad(std::span<const GatewayCandidate* const> aGroup, bool aAnyReady)
{
  const auto ready = std::count_if(
    aGroup.begin(), aGroup.end(), [](const auto* aGateway) { return aGateway->mReady; });
  const double active = aAnyReady ? static_cast<double>(ready)
                                  : kInitialActiveShare * static_cast<double>(aGroup.size());
  return active * kTargetGatewayLoad;
}

// Returns the load to plan for, and updates the peak.
double
UpdatePeak(LoadPeak& aPeak, double aLoad, TimePoint aNow)
{
  const double halfLives = std::chrono::duration<double>(aNow - aPeak.mAt) /
                           std::chrono::duration<double>(kLoadPeakHalfLife);
  aPeak.mLoad = std::max(aLoad, aPeak.mLoad * std::exp2(-halfLives));
  aPeak.mAt = aNow;
  return aPeak.mLoad;
}

} // namespace

void
UpdateGatewaySubset(GatewaySubset& aSubset,
                    std::span<const GatewayCandidate> aCandidates,
                    const std::map<std::string, std::size_t>& aReplicas,
                    TimePoint aNow)
{
  const auto groups = GroupByDataCentre(aCandidates);
  aSubset.mWithoutReplicas = FindDataCentresWithoutReplicas(groups, aReplicas);
  if (!aSubset.mLearningUntil) {
    aSubset.mLearningUntil = aNow + kLearningTime;
  }
  const bool learning = aNow < *aSubset.mLearningUntil;
  const bool anyReady = std::any_of(
    aCandidates.begin(), aCandidates.end(), [](const auto& aGateway) { return aGateway.mReady; });
  aSubset.mActive.clear();
  for (const auto& [dataCentre, group] : groups) {
    if (aSubset.mWithoutReplicas.contains(dataCentre)) {
      continue;
    }
    double load = 0;
    for (const GatewayCandidate* const gateway : group) {
      load += gateway->mLoad;
    }
    if (learning) {
      load = std::max(load, InitialLoad(group, anyReady));
    }
    const double planned = UpdatePeak(aSubset.mPeaks[dataCentre], load, aNow);
    const auto needed =
      static_cast<std::size_t>(std::ceil(planned / kTargetGatewayLoad - kRoundingTolerance));
    const std::size_t count = std::min(std::max(needed, kMinActiveGateways), group.size());
    for (std::size_t i = 0; i < count; ++i) {
      aSubset.mActive.insert(group[i]->mIp);
    }
  }
}

ActiveCounts
CountActive(const GatewaySubset& aSubset, std::span<const GatewayCandidate> aCandidates)
{
  ActiveCounts counts;
  for (const GatewayCandidate& candidate : aCandidates) {
    if (IsActive(aSubset, candidate.mIp)) {
      ++counts[candidate.mDataCentre];
    }
  }
  return counts;
}

std::size_t
SumActive(std::span<const ActiveCounts> aCountsOfCoordinators)
{
  ActiveCounts largest;
  for (const ActiveCounts& counts : aCountsOfCoordinators) {
    for (const auto& [dataCentre, count] : counts) {
      largest[dataCentre] = std::max(largest[dataCentre], count);
    }
  }
  std::size_t sum = 0;
  for (const auto& [dataCentre, count] : largest) {
    sum += count;
  }
  return sum;
}

bool
IsActive(const GatewaySubset& aSubset, const std::string& aIp)
{
  return aSubset.mActive.contains(aIp);
}

std::vector<std::string>
GatewaysForCaller(const GatewaySubset& aSubset,
                  std::span<const GatewayCandidate> aCandidates,
                  const std::string& aDataCentre)
{
  std::vector<const GatewayCandidate*> ready;
  std::vector<const GatewayCandidate*> active;
  std::vector<const GatewayCandidate*> all;
  for (const GatewayCandidate& candidate : aCandidates) {
    all.push_back(&candidate);
    if (IsActive(aSubset, candidate.mIp)) {
      active.push_back(&candidate);
      if (candidate.mReady) {
        ready.push_back(&candidate);
      }
    }
  }
  std::vector<const GatewayCandidate*>& gateways = !ready.empty()    ? ready
                                                   : !active.empty() ? active
                                                                     : all;
  const auto local =
    std::stable_partition(gateways.begin(), gateways.end(), [&](const GatewayCandidate* aGateway) {
      return aGateway->mDataCentre == aDataCentre;
    });
  if (local != gateways.begin() && !aSubset.mWithoutReplicas.contains(aDataCentre)) {
    gateways.erase(local, gateways.end());
  }
  // With too many, takes them at even distances, so that all data centres are represented.
  const std::size_t count = std::min(gateways.size(), kMaxNamedGateways);
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i < count; ++i) {
    addresses.push_back(gateways[i * gateways.size() / count]->mIp);
  }
  return addresses;
}

} // namespace apricotyard
